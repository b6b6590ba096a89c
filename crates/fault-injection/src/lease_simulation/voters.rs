//! The voter of a process. It starts from its disk, and stops when the disk fails.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use tulipgap_consensus::{Action, Config, DurableVoter, Event, VoterPhase};
use tulipgap_leases::{FencingToken, LeaseStateMachine, Name};
use tulipgap_write_ahead_log::FaultyDisk;

use super::startup::Startup;

/// The state of a voter's copy of the leases after the voter applied an entry.
pub(super) struct ReplicaState {
    pub(super) applied_index: u64,
    pub(super) state_hash: u64,
}

/// The result of [`HostedVoter::handle_event`].
pub(super) struct VoterProgress {
    /// The voter's copy of the leases, if the voter applied entries.
    pub(super) replica: Option<ReplicaState>,
    /// Whether the voter stopped because its disk failed.
    pub(super) has_stopped: bool,
    pub(super) actions: Vec<Action>,
}

/// The voter of a process. There is no voter if the process is dead, does not vote, or has a failed
/// disk.
#[derive(Default)]
pub(super) struct HostedVoter {
    voter: Option<DurableVoter<FaultyDisk>>,
}

impl HostedVoter {
    /// Starts the voter. Returns whether it could start with the contents of the disk.
    pub(super) fn start(&mut self, name: &Name, disk: &FaultyDisk, startup: &Startup) -> bool {
        let opened = DurableVoter::open(
            Config::default(),
            name,
            startup.voters.to_vec(),
            disk.clone(),
            startup.seed,
        );
        let Ok(mut voter) = opened else {
            return false;
        };
        startup.bugs.inject_into_voter(&mut voter);
        self.voter = Some(voter);
        true
    }

    pub(super) fn stop(&mut self) {
        self.voter = None;
    }

    /// Handles an event; returns `None` if no voter runs. `now` is the time of the process's own
    /// clock.
    pub(super) fn handle_event(&mut self, now: Duration, event: Event) -> Option<VoterProgress> {
        let voter = self.voter.as_mut()?;
        let applied_before = voter.voter().applied_index();
        let (actions, result) = voter.handle_events(now, vec![event]);
        let applied_index = voter.voter().applied_index();
        let replica = (applied_index != applied_before).then(|| ReplicaState {
            applied_index,
            state_hash: hash_of(voter.voter().leases()),
        });
        let has_stopped = result.is_err();
        if has_stopped {
            self.stop();
        }
        Some(VoterProgress {
            replica,
            has_stopped,
            actions,
        })
    }

    /// The newest token in the voter's copy of the leases; `None` if no voter runs.
    pub(super) fn last_token(&self) -> Option<FencingToken> {
        let voter = self.voter.as_ref()?;
        Some(voter.voter().leases().last_token())
    }

    pub(super) fn is_leader(&self) -> bool {
        self.voter
            .as_ref()
            .is_some_and(|voter| voter.voter().is_leader())
    }

    pub(super) fn is_voting(&self) -> bool {
        self.voter
            .as_ref()
            .is_some_and(|voter| voter.voter().status().phase == VoterPhase::Voting)
    }
}

fn hash_of(leases: &LeaseStateMachine) -> u64 {
    let mut hasher = DefaultHasher::new();
    leases.hash(&mut hasher);
    hasher.finish()
}
