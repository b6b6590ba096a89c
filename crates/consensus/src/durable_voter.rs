//! A voter and its write-ahead log as one.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use tulipgap_leases::Name;
use tulipgap_write_ahead_log::{Disk, Recovered, WriteAheadLog};

use crate::config::Config;
use crate::error::{LoadError, VoterError};
use crate::event::{Action, Event};
use crate::identity::Identity;
use crate::peer_message::VoterId;
use crate::voter::Voter;

/// The file beside the log that names the voter whose directory it is.
const IDENTITY_FILE: &str = "identity";

/// A voter whose writes are durable before anything that follows them is returned. It owns both the
/// voter and its log. A failed write ends it for good: what was sent and what is on the disk may
/// differ from then on.
pub struct DurableVoter<D: Disk> {
    voter: Voter,
    log: WriteAheadLog<D>,
}

impl<D: Disk> DurableVoter<D> {
    /// Continues what is on the disk, or makes a new voter of an empty one. `initial_voters` are
    /// configured, this voter among them or not.
    ///
    /// # Errors
    /// [`VoterError::Log`] where the log is damaged, [`VoterError::Load`] where its content is not
    /// this voter's.
    pub fn open(
        config: Config,
        name: &Name,
        initial_voters: Vec<Name>,
        disk: D,
        seed: u64,
    ) -> Result<Self, VoterError> {
        let (mut log, recovered) = WriteAheadLog::open(disk)?;
        let identity = Self::load_identity(&mut log, &recovered, name, seed)?;
        let voter = Voter::load(config, name, initial_voters, identity, &recovered, seed)?;
        Ok(DurableVoter { voter, log })
    }

    fn load_identity(
        log: &mut WriteAheadLog<D>,
        recovered: &Recovered,
        name: &Name,
        seed: u64,
    ) -> Result<Identity, VoterError> {
        if let Some(bytes) = log.read_file(IDENTITY_FILE)? {
            return Ok(Identity::decode(&bytes)?);
        }
        if recovered.snapshot.is_some() || !recovered.records.is_empty() {
            return Err(LoadError::MissingIdentity.into());
        }
        let id = VoterId(fastrand::Rng::with_seed(seed).u64(1..));
        let identity = Identity::new(name.clone(), id);
        log.write_file(IDENTITY_FILE, &identity.encode())?;
        Ok(identity)
    }

    /// Makes the voter and its log behave as though they had those bugs.
    #[cfg(feature = "injected-bugs")]
    pub fn inject_bugs(
        &mut self,
        voter_bug: Option<crate::InjectedBug>,
        log_bug: Option<tulipgap_write_ahead_log::InjectedBug>,
    ) {
        self.voter.inject_bug(voter_bug);
        self.log.inject_bug(log_bug);
    }

    /// The voter's state.
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    /// Handles events and returns the actions that are left to perform, in order; all writes are
    /// done and durable. `now` is a clock that stood near zero when the voter was opened; see
    /// [`Voter::handle_events`].
    ///
    /// # Errors
    /// With an error the voter has ended, and only the returned actions may still be performed:
    /// they came before the failed write.
    pub fn handle_events(
        &mut self,
        now: Duration,
        events: Vec<Event>,
    ) -> (Vec<Action>, Result<(), VoterError>) {
        // The consensus panics where its log contradicts itself; that must end this voter and
        // nothing else.
        let Ok(actions) = catch_unwind(AssertUnwindSafe(|| self.voter.handle_events(now, events)))
        else {
            return (Vec::new(), Err(VoterError::ConsensusPanicked));
        };
        let mut remaining = Vec::new();
        for action in actions {
            let written = match &action {
                Action::AppendRecord(bytes) => self.log.append(bytes),
                Action::WriteSnapshot(bytes) => self.log.write_snapshot(bytes),
                Action::WriteIdentity(bytes) => self.log.write_file(IDENTITY_FILE, bytes),
                _ => {
                    remaining.push(action);
                    continue;
                }
            };
            if let Err(error) = written {
                return (remaining, Err(error.into()));
            }
        }
        (remaining, Ok(()))
    }
}
