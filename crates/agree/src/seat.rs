//! A voter and its journal as one: what is to be written is durable before anything that follows it gets out. A write that
//! fails ends the seat, for good: what was told and what is on the disk may differ from then on.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use tulipgap_leases::Name;
use tulipgap_write_ahead_log::{Disk, LogError, WriteAheadLog};

use crate::interface::*;
use crate::voter::Voter;

/// The file beside the log that says whose folder it is.
const IDENTITY: &str = "identity";

/// Why a seat could not be taken, or was lost.
#[derive(Debug, thiserror::Error)]
pub enum Lost {
    #[error(transparent)]
    Journal(#[from] LogError),
    #[error(transparent)]
    Unread(#[from] Unread),
    #[error("the consensus met what it holds to be impossible, and this voter is no more")]
    Impossible,
}

pub struct Seat<D: Disk> {
    voter: Voter,
    journal: WriteAheadLog<D>,
}

impl<D: Disk> Seat<D> {
    /// Takes what is on the disk up, or makes a new folder of it.
    pub fn take(terms: Terms, name: &Name, names: Vec<Name>, disk: D, seed: u64) -> Result<Self, Lost> {
        let (journal, found) = WriteAheadLog::open(disk)?;
        Self::of(terms, name, names, journal, found, seed)
    }

    pub fn of(
        terms: Terms,
        name: &Name,
        names: Vec<Name>,
        mut journal: WriteAheadLog<D>,
        found: tulipgap_write_ahead_log::Recovered,
        seed: u64,
    ) -> Result<Self, Lost> {
        let identity = match journal.read_file(IDENTITY)? {
            Some(identity) => identity,
            None if found.snapshot.is_some() || !found.records.is_empty() => {
                let what = "a log without it is no new folder".to_owned();
                return Err(Unread::Bytes("the identity", what).into());
            }
            None => {
                let fresh = Voter::identity(name.clone(), fastrand::Rng::with_seed(seed).u64(1..));
                journal.write_file(IDENTITY, &fresh)?;
                fresh
            }
        };
        let (state, records) = (found.snapshot.as_deref(), &found.records[..]);
        let voter = Voter::new(terms, name, names, &identity, state, records, seed)?;
        Ok(Seat { voter, journal })
    }

    #[cfg(feature = "flaws")]
    pub fn plant(&mut self, flaw: Option<Flaw>, durable: Option<tulipgap_write_ahead_log::InjectedBug>) {
        self.voter.plant(flaw);
        self.journal.inject_bug(durable);
    }

    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    pub fn journal(&self) -> &WriteAheadLog<D> {
        &self.journal
    }

    /// What is left to be said, in order. With an error nothing of it may be said but what was returned before.
    pub fn decide(&mut self, now: Duration, events: Vec<Event>) -> (Vec<Action>, Result<(), Lost>) {
        let mut said = Vec::new();
        // The consensus panics where its log contradicts itself; that must end this voter and nothing else.
        let actions = match catch_unwind(AssertUnwindSafe(|| self.voter.decide(now, events))) {
            Ok(actions) => actions,
            Err(_) => return (said, Err(Lost::Impossible)),
        };
        for action in actions {
            let written = match &action {
                Action::Write(bytes) => self.journal.append(bytes),
                Action::Whole(bytes) => self.journal.write_snapshot(bytes),
                Action::Identity(bytes) => self.journal.write_file(IDENTITY, bytes),
                _ => {
                    said.push(action);
                    continue;
                }
            };
            if let Err(error) = written {
                return (said, Err(error.into()));
            }
        }
        (said, Ok(()))
    }
}
