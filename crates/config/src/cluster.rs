//! The block `cluster`: processes that know one another. Without it nothing listens, talks to peers or writes a folder.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use garde::Validate;
use serde::Deserialize;

use crate::{named, yes};

#[derive(Clone, Debug, Deserialize, PartialEq, Validate)]
#[garde(context(()))]
pub struct Cluster {
    #[serde(default = "yes")]
    #[garde(skip)]
    pub enabled: bool,
    /// Of the whole cluster; frames of another are turned down.
    #[garde(length(bytes, min = 1, max = 64))]
    pub name: String,
    /// Of this process; the backend's own name where nothing is said.
    #[garde(inner(length(bytes, min = 1, max = 64)))]
    pub member: Option<String>,
    /// Address and port, UDP and TCP, as the others reach it.
    #[garde(custom(address))]
    pub listen: String,
    #[garde(length(bytes, min = 1, max = 64))]
    pub region: String,
    #[garde(length(bytes, min = 1, max = 64))]
    pub zone: String,
    /// A file of 16 bytes or more that all processes of the cluster have.
    #[garde(custom(|path: &PathBuf, context: &()| named(path, context)))]
    pub key: PathBuf,
    /// Where others may be found: some of each zone.
    #[serde(default)]
    #[garde(inner(custom(address)))]
    pub seeds: Vec<String>,
    /// The members that vote on leases, three or five.
    #[serde(default)]
    #[garde(length(max = 7), inner(length(bytes, min = 1, max = 64)), custom(once))]
    pub voters: Vec<String>,
    /// Where a voter writes; needed by those alone.
    #[garde(skip)]
    pub folder: Option<PathBuf>,
    /// A Unix socket for `tulipgap cluster` and `tulipgap lease`.
    #[garde(skip)]
    pub control: Option<PathBuf>,
    /// How far a clock's rate may be off.
    #[serde(default = "clock_off")]
    #[garde(range(min = 0.001, max = 0.3))]
    pub clock_off: f64,
    #[garde(dive)]
    pub drain: Option<Drain>,
    #[garde(dive)]
    pub trial: Option<Trial>,
}

/// Leave to drain: so many of a zone at a time. Who has notice to leave goes all the same.
#[derive(Clone, Debug, Deserialize, PartialEq, Validate)]
#[garde(context(()))]
pub struct Drain {
    #[serde(default = "one")]
    #[garde(range(min = 1, max = 1000))]
    pub at_once: u32,
}

/// For the rig alone: faults that only the program itself can play, and acts to watch.
#[derive(Clone, Debug, Deserialize, PartialEq, Validate)]
#[garde(context(()))]
pub struct Trial {
    /// Where acts under leases are told.
    #[garde(inner(custom(address)))]
    pub witness: Option<String>,
    /// Each as NAME TERM_MS PLACES STEP_MS.
    #[serde(default)]
    #[garde(inner(custom(trial_lease)))]
    pub leases: Vec<String>,
    /// Each as ADDRESS=ADDRESS: what is sent to the first goes to the second.
    #[serde(default)]
    #[garde(inner(custom(route)))]
    pub routes: Vec<String>,
    #[serde(default = "right")]
    #[garde(range(min = 0.5, max = 2.0))]
    pub clock_rate: f64,
    /// Files of this folder named `full` and `fails` make the disk so.
    #[garde(skip)]
    pub disk_trouble: Option<PathBuf>,
}

impl Default for Trial {
    /// No fault; a clock that is right above all.
    fn default() -> Self {
        let (leases, routes) = Default::default();
        Trial { witness: None, leases, routes, clock_rate: right(), disk_trouble: None }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct TrialLease {
    pub name: String,
    pub term: Duration,
    pub places: u32,
    pub step: Duration,
}

impl Cluster {
    /// What the checks have let through; one that they would not is left out.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.iter().filter_map(|seed| seed.parse().ok()).collect()
    }
}

impl Trial {
    pub fn leases(&self) -> Vec<TrialLease> {
        self.leases.iter().filter_map(|text| parsed(text)).collect()
    }

    pub fn routes(&self) -> Vec<(SocketAddr, SocketAddr)> {
        let one = |text: &String| {
            let (from, to) = text.split_once('=')?;
            Some((from.parse().ok()?, to.parse().ok()?))
        };
        self.routes.iter().filter_map(one).collect()
    }
}

fn one() -> u32 {
    1
}
fn clock_off() -> f64 {
    0.05
}
fn right() -> f64 {
    1.0
}

fn parsed(text: &str) -> Option<TrialLease> {
    let [name, term, places, step] = text.split(' ').collect::<Vec<_>>()[..] else { return None };
    let millis = |text: &str| Some(Duration::from_millis(text.parse().ok()?));
    Some(TrialLease {
        name: name.into(),
        term: millis(term)?,
        places: places.parse().ok()?,
        step: millis(step)?,
    })
}

fn address(text: &str, _: &()) -> garde::Result {
    let fine = text.parse::<SocketAddr>().is_ok();
    if fine { Ok(()) } else { Err(garde::Error::new(format!("'{text}' is no address and port"))) }
}

fn once(names: &[String], _: &()) -> garde::Result {
    let mut sorted = names.to_vec();
    sorted.sort();
    sorted.dedup();
    if sorted.len() == names.len() { Ok(()) } else { Err(garde::Error::new("a name stands twice")) }
}

fn trial_lease(text: &str, _: &()) -> garde::Result {
    let wrong = || garde::Error::new(format!("'{text}' is not NAME TERM_MS PLACES STEP_MS"));
    parsed(text).map(|_| ()).ok_or_else(wrong)
}

fn route(text: &str, _: &()) -> garde::Result {
    let both = text
        .split_once('=')
        .is_some_and(|(a, b)| a.parse::<SocketAddr>().is_ok() && b.parse::<SocketAddr>().is_ok());
    if both { Ok(()) } else { Err(garde::Error::new(format!("'{text}' is not ADDRESS=ADDRESS"))) }
}
