//! What is acted on under leases: it sees each act begin and end with its token, and refuses a token that is older than one
//! it has seen. The same in simulated time and between real processes.

use std::collections::{BTreeMap, BTreeSet};

use crate::plan::{Plan, Wanted};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// A newer token was seen.
    Older,
    /// More act at a time than may.
    Overlaps(Vec<u64>),
}

struct Watched {
    places: u32,
    step: f64,
    newest: u64,
    acting: BTreeSet<u64>,
}

pub struct Witness(BTreeMap<String, Watched>);

impl Witness {
    pub fn new(plan: &Plan) -> Self {
        let watched = |lease: &Wanted| {
            let (places, step) = (lease.places, lease.step);
            (lease.name.clone(), Watched { places, step, newest: 0, acting: BTreeSet::new() })
        };
        Witness(plan.leases.iter().map(watched).collect())
    }

    pub fn places(&self, lease: &str) -> u32 {
        self.0.get(lease).map_or(0, |watched| watched.places)
    }

    pub fn step(&self, lease: &str) -> f64 {
        self.0.get(lease).map_or(0.0, |watched| watched.step)
    }

    /// An act begins. Of those that have not ended, the ones under `asleep` belong to processes that are stopped: a newer
    /// token shuts them out.
    pub fn begin(&mut self, lease: &str, token: u64, asleep: &BTreeSet<u64>) -> Result<(), Refused> {
        let Some(watched) = self.0.get_mut(lease) else { return Err(Refused::Older) };
        if watched.places == 1 && token < watched.newest {
            return Err(Refused::Older);
        }
        watched.newest = watched.newest.max(token);
        watched.acting.retain(|other| !asleep.contains(other) || *other == token);
        watched.acting.insert(token);
        match watched.acting.len() > watched.places as usize {
            true => Err(Refused::Overlaps(watched.acting.iter().copied().collect())),
            false => Ok(()),
        }
    }

    /// An act ends; what was shut out meanwhile is told so.
    pub fn end(&mut self, lease: &str, token: u64) -> Result<(), Refused> {
        let known = self.0.get_mut(lease).is_some_and(|watched| watched.acting.remove(&token));
        if known { Ok(()) } else { Err(Refused::Older) }
    }

    /// Who acted has died.
    pub fn gone(&mut self, lease: &str, token: u64) {
        if let Some(watched) = self.0.get_mut(lease) {
            watched.acting.remove(&token);
        }
    }
}
