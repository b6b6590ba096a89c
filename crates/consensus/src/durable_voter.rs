//! A voter together with its write-ahead log.

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

/// The file next to the log that stores the voter's [`Identity`].
const IDENTITY_FILE: &str = "identity";

/// A voter whose writes are durable before it returns any action that follows them. It owns both
/// the voter and its log. After a failed write the host must not use it any more: the state in
/// memory and the content of the disk may differ.
pub struct DurableVoter<D: Disk> {
    voter: Voter,
    log: WriteAheadLog<D>,
}

impl<D: Disk> DurableVoter<D> {
    /// Loads the voter from its disk, or creates a new voter on an empty one. `initial_voters` are
    /// the configured ones, which may or may not include this voter.
    ///
    /// # Errors
    /// [`VoterError::Log`] if the log is damaged or can't be read or written, [`VoterError::Load`]
    /// if its content is invalid or belongs to another voter, or if `initial_voters` are invalid.
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

    /// Makes the voter and its log behave as if they had these bugs.
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

    /// Handles events, performs all writes durably, and returns the other actions for the host to
    /// perform, in order. `now` is a clock that showed nearly zero when the voter was opened; see
    /// [`Voter::handle_events`].
    ///
    /// # Errors
    /// After an error the voter has ended. The host may still perform the returned actions: they
    /// precede the failed write.
    pub fn handle_events(
        &mut self,
        now: Duration,
        events: Vec<Event>,
    ) -> (Vec<Action>, Result<(), VoterError>) {
        // The crate `raft` panics if its log is inconsistent or a message contradicts it. This must
        // end only this voter, not the process.
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
