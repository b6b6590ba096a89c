//! Snapshots of the replicated state: taken at an interval of entries, and restored from the
//! leader's.

use raft::prelude::Snapshot;

use super::{Phase, Voter};
use crate::error::LoadError;
use crate::event::Action;
use crate::replicated_state::ReplicatedState;

/// Entries that stay in the log after a snapshot, for voters that are a little behind.
const KEPT_ENTRIES: u64 = 200;

impl Voter {
    /// Replaces the replicated state by the leader's. A voter that was outside votes where the
    /// snapshot names it.
    pub(super) fn restore_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), LoadError> {
        let state = ReplicatedState::decode(snapshot.get_data())?;
        self.applied_index = snapshot.get_metadata().index;
        self.snapshot_index = self.applied_index;
        let id = self.identity.id;
        if state.voters.contains_key(&id) || state.joining.contains_key(&id) {
            self.phase = Phase::Voting;
        }
        self.state = state;
        Ok(())
    }

    pub(super) fn take_snapshot_if_due(&mut self, actions: &mut Vec<Action>) {
        if self.applied_index < self.snapshot_index + self.config.snapshot_interval_entries {
            return;
        }
        let Some(node) = &mut self.node else { return };
        let conf_state = node.raft.prs().conf().to_conf_state();
        let store = node.mut_store();
        store.compact(self.applied_index, conf_state, &self.state, KEPT_ENTRIES);
        self.snapshot_index = self.applied_index;
        actions.push(Action::WriteSnapshot(store.encode()));
    }
}
