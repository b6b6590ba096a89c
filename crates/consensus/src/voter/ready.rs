//! The ready loop: what the consensus wants is written first, then sent, then applied.

use raft::Ready;

use super::Voter;
use crate::error::LoadError;
use crate::event::{Action, InvalidData, Notice};
use crate::log_store::LogStore;

impl Voter {
    /// Processes everything that the consensus has ready, and what follows from it.
    pub(super) fn process_ready(&mut self, actions: &mut Vec<Action>) {
        while let Some(node) = self.node.as_mut().filter(|node| node.has_ready()) {
            let ready = node.ready();
            if let Err(error) = self.process_one_ready(ready, actions) {
                self.stop_node();
                return actions.push(Action::Notice(Notice::InvalidData(InvalidData::State(
                    error,
                ))));
            }
        }
        self.follow_role(actions);
        self.respond_pending_reads(actions);
        self.take_snapshot_if_due(actions);
        self.set_timer(actions);
    }

    fn process_one_ready(
        &mut self,
        mut ready: Ready,
        actions: &mut Vec<Action>,
    ) -> Result<(), LoadError> {
        let mut messages = ready.take_messages();
        messages.extend(ready.take_persisted_messages());
        let committed = ready.take_committed_entries();
        let confirmed_reads = ready.take_read_states();
        self.persist(&mut ready, actions)?;
        self.send_raft_messages(messages, actions);
        self.apply_entries(committed, actions);
        self.add_confirmed_reads(confirmed_reads);
        self.advance(ready, actions);
        Ok(())
    }

    /// Stores a snapshot, the hard state and entries, and writes what must be durable.
    fn persist(&mut self, ready: &mut Ready, actions: &mut Vec<Action>) -> Result<(), LoadError> {
        let Some(node) = &mut self.node else {
            return Ok(());
        };
        let must_sync = ready.must_sync();
        let snapshot = ready.snapshot().clone();
        let has_snapshot = snapshot.get_metadata().index > 0;
        let entries = ready.take_entries();
        let hard_state = ready.hs().cloned();
        let store = node.mut_store();
        if has_snapshot {
            store.install_snapshot(snapshot.clone());
        }
        if let Some(hard_state) = &hard_state {
            store.set_hard_state(hard_state.clone());
        }
        if must_sync && !has_snapshot {
            // A commit index alone is not worth a write: whoever reads the log finds it out again.
            let change = LogStore::encode_change(hard_state.as_ref(), &entries);
            actions.push(Action::AppendRecord(change));
        }
        let appended = store.append(entries);
        if has_snapshot {
            actions.push(Action::WriteSnapshot(store.encode()));
            self.restore_snapshot(&snapshot)?;
        }
        appended
    }

    /// Tells the consensus that all of it is done.
    fn advance(&mut self, ready: Ready, actions: &mut Vec<Action>) {
        let Some(node) = &mut self.node else { return };
        let mut light = node.advance(ready);
        if let Some(commit) = light.commit_index() {
            node.mut_store().set_commit(commit);
        }
        let (messages, committed) = (light.take_messages(), light.take_committed_entries());
        self.send_raft_messages(messages, actions);
        self.apply_entries(committed, actions);
        if let Some(node) = &mut self.node {
            node.advance_apply();
        }
        self.redraw_election_timeout();
    }
}
