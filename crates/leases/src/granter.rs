//! Counts terms for whoever leads the voters. Nothing of it is agreed on or kept: a new leader counts every term anew and
//! in full, which can only make it wait longer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::interface::*;
use crate::table::Table;

/// Of one look at the clock no more than this is counted: a leader whose clock jumps ahead must not end terms by it, and
/// one that was stopped counts that time no further.
const LOOK_MOST: Duration = Duration::from_millis(500);
/// A word that a term is over and that came to nothing is said again after this.
const AGAIN: Duration = Duration::from_millis(500);

type Place = (Name, Who);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Granter {
    /// How far a clock may be off in its rate, in thousandths.
    off: u32,
    leading: bool,
    /// The clock when it was last looked at, and the time counted so far.
    clock: Duration,
    time: Duration,
    ends: BTreeMap<Place, (u64, Duration)>,
    order: BTreeSet<(Duration, Place)>,
    #[cfg(feature = "flaws")]
    flaw: Option<Flaw>,
}

impl Granter {
    pub fn new(off_thousandths: u32) -> Self {
        Granter {
            off: off_thousandths,
            leading: false,
            clock: Duration::ZERO,
            time: Duration::ZERO,
            ends: BTreeMap::new(),
            order: BTreeSet::new(),
            #[cfg(feature = "flaws")]
            flaw: None,
        }
    }

    #[cfg(feature = "flaws")]
    pub fn plant(&mut self, flaw: Option<Flaw>) {
        self.flaw = flaw;
    }

    /// How long by this clock a term lasts at the least by any other: the holder's may be slow and this one fast.
    fn in_full(&self, term: Duration) -> Duration {
        #[cfg(feature = "flaws")]
        if self.flaw == Some(Flaw::NoMargin) {
            return term;
        }
        term * (1000 + self.off) / 1000
    }

    fn look(&mut self, now: Duration) {
        self.time += now.saturating_sub(self.clock).min(LOOK_MOST);
        self.clock = now;
    }

    /// It leads from now on: what was held before may have been asked for just now.
    pub fn lead(&mut self, now: Duration, table: &Table) {
        self.clock = now;
        self.leading = true;
        self.ends.clear();
        self.order.clear();
        for (name, _) in table.leases() {
            self.count(name, table);
        }
    }

    pub fn rest(&mut self) {
        self.leading = false;
        self.ends.clear();
        self.order.clear();
    }

    /// A command on that lease was carried out.
    pub fn applied(&mut self, now: Duration, name: &Name, table: &Table) {
        if self.leading {
            self.look(now);
            self.count(name, table);
        }
    }

    fn count(&mut self, name: &Name, table: &Table) {
        let known = |who: &Who| (name.clone(), who.clone());
        let mut gone: Vec<Place> = Vec::new();
        let first = (name.clone(), Who { name: "".into(), life: 0 });
        for (place, _) in self.ends.range(first..).take_while(|(place, _)| place.0 == *name) {
            if !table.terms(name).any(|(who, _, _)| *who == place.1) {
                gone.push(place.clone());
            }
        }
        for place in gone {
            if let Some((_, end)) = self.ends.remove(&place) {
                self.order.remove(&(end, place));
            }
        }
        for (who, beat, term) in table.terms(name) {
            let place = known(who);
            match self.ends.get(&place) {
                Some((old, _)) if *old == beat => continue,
                Some((_, end)) => self.order.remove(&(*end, place.clone())),
                None => false,
            };
            let end = self.time + self.in_full(term);
            self.ends.insert(place.clone(), (beat, end));
            self.order.insert((end, place));
        }
    }

    /// What is over by now, to be agreed on.
    pub fn due(&mut self, now: Duration) -> Vec<Command> {
        if !self.leading {
            return Vec::new();
        }
        self.look(now);
        let mut due = Vec::new();
        while let Some((end, place)) = self.order.first().cloned().filter(|(end, _)| *end <= self.time) {
            self.order.remove(&(end, place.clone()));
            let again = self.time + AGAIN;
            if let Some((beat, end)) = self.ends.get_mut(&place) {
                *end = again;
                due.push(Command::Expire { lease: place.0.clone(), who: place.1.clone(), beat: *beat });
                self.order.insert((again, place));
            }
        }
        due
    }

    /// When something will be over, at the soonest; it wants to be looked at twice in each `LOOK_MOST` until then.
    pub fn next(&self) -> Option<Duration> {
        let (end, _) = self.order.first()?;
        Some(self.clock + end.saturating_sub(self.time).min(LOOK_MOST / 2))
    }
}
