//! The ready loop: the voter first writes the state that the consensus has ready, then sends its
//! messages, then applies its entries. A message may depend on a preceding write: if a voter sent a
//! vote and lost it in a crash, it could vote twice in one term.

use protobuf::Message as _;
use raft::Ready;
use raft::prelude::{
    ConfChange, ConfChangeType, ConfChangeV2, Entry, EntryType, Message, Snapshot,
};
use tulipgap_leases::Command;

use super::Voter;
use super::leadership::LeadershipChange;
use super::linearizable_reads::{ReadRequest, read_leases};
use super::membership_change::apply_step;
use super::phase::Phase;
use super::proposals::{Proposal, decode_entry, slot_notifications};
use super::snapshot::KEPT_ENTRIES;
use crate::error::LoadError;
use crate::event::Action;
use crate::log_store::{LogStore, SnapshotContent};
use crate::notice::{InvalidData, Notice};
use crate::peer_message::{PeerMessage, VoterId};
use crate::replicated_state::ReplicatedState;

impl Voter {
    /// Processes all `Ready` states of the consensus, then updates leadership, reads, snapshots and
    /// the timer.
    pub(super) fn process_ready(&mut self, actions: &mut Vec<Action>) {
        while let Some(ready) = self.node.as_mut().and_then(|node| node.next_ready()) {
            if let Err(error) = self.process_one_ready(ready, actions) {
                self.stop_node();
                return report_invalid(InvalidData::State(error), actions);
            }
        }
        self.update_leadership(actions);
        self.respond_applied_reads(actions);
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
        self.reads.add_confirmed(confirmed_reads);
        self.advance(ready, actions);
        Ok(())
    }

    /// Stores a snapshot, the hard state and entries, and emits the writes that must be durable.
    fn persist(&mut self, ready: &mut Ready, actions: &mut Vec<Action>) -> Result<(), LoadError> {
        let Some(node) = &mut self.node else {
            return Ok(());
        };
        let needs_sync = ready.must_sync();
        let snapshot = ready.snapshot().clone();
        let has_snapshot = snapshot.get_metadata().index > 0;
        let entries = ready.take_entries();
        let hard_state = ready.hs().cloned();
        let store = node.store_mut();
        if has_snapshot {
            store.install_snapshot(snapshot.clone());
        }
        if let Some(hard_state) = &hard_state {
            store.set_hard_state(hard_state.clone());
        }
        if needs_sync && !has_snapshot {
            // A change of the commit index alone is not written, since a restarted voter learns the
            // index again.
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

    /// Reports to the consensus that `ready` is processed, and processes the rest that it returns.
    fn advance(&mut self, ready: Ready, actions: &mut Vec<Action>) {
        let Some(node) = &mut self.node else { return };
        let mut light = node.advance(ready);
        let (messages, committed) = (light.take_messages(), light.take_committed_entries());
        self.send_raft_messages(messages, actions);
        self.apply_entries(committed, actions);
        if let Some(node) = &mut self.node {
            node.finish_advance();
        }
    }

    fn send_raft_messages(&self, messages: Vec<Message>, actions: &mut Vec<Action>) {
        for message in messages {
            let id = VoterId(message.to);
            if let Some(to) = self.peers.name_of(id, &self.state, &self.identity) {
                let bytes = message.write_to_bytes().unwrap_or_default();
                let message = PeerMessage::Raft(bytes);
                actions.push(Action::Send { to, message });
            }
        }
    }

    fn apply_entries(&mut self, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        for entry in entries {
            self.applied_index = entry.index;
            match entry.get_entry_type() {
                // A new leader appends an empty entry.
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => self.apply_proposals(&entry, actions),
                EntryType::EntryConfChange => {
                    if let Ok(change) = ConfChange::parse_from_bytes(&entry.data) {
                        self.apply_change(&change);
                    }
                }
                EntryType::EntryConfChangeV2 => {
                    if let Ok(change) = ConfChangeV2::parse_from_bytes(&entry.data)
                        && let Some(node) = &mut self.node
                    {
                        node.apply_change_v2(&change);
                    }
                }
            }
        }
    }

    /// Applies a committed step of a membership change, unless the consensus rejects it.
    fn apply_change(&mut self, change: &ConfChange) {
        let Some(node) = &mut self.node else { return };
        if !node.apply_change(change) {
            return;
        }
        apply_step(&mut self.state, change);
        let is_removed = change.get_change_type() == ConfChangeType::RemoveNode
            && change.node_id == self.identity.id.0;
        if is_removed {
            node.step_down();
        }
    }

    fn apply_proposals(&mut self, entry: &Entry, actions: &mut Vec<Action>) {
        let Some(proposals) = decode_entry(&entry.data) else {
            let index = entry.index;
            return report_invalid(InvalidData::Entry { index }, actions);
        };
        for proposal in proposals {
            self.apply_proposal(proposal, actions);
        }
    }

    fn apply_proposal(&mut self, proposal: Proposal, actions: &mut Vec<Action>) {
        let Proposal {
            from,
            request,
            command,
        } = proposal;
        let response = self.state.leases.apply(&command);
        self.expiry
            .handle_applied_command(self.now, command.lease(), &self.state.leases);
        if !self.is_leader() {
            return;
        }
        if !from.is_empty() {
            let incarnation = Command::incarnation(&command);
            actions.push(Action::Respond {
                to: from,
                incarnation,
                request,
                response,
            });
        }
        actions.extend(slot_notifications(&self.state.leases, &command));
    }

    /// Starts or stops the leader's expiry of leases when leadership changes.
    fn update_leadership(&mut self, actions: &mut Vec<Action>) {
        let Some(node) = &self.node else { return };
        match self.leadership.update(node.role()) {
            Some(LeadershipChange::Began { term }) => {
                self.state.leases.handle_leader_change();
                self.expiry.start_leading(self.now, &self.state.leases);
                actions.push(Action::Notice(Notice::BecameLeader { term }));
            }
            Some(LeadershipChange::Ended) => {
                self.expiry.stop_leading();
                self.reads.clear();
                actions.push(Action::Notice(Notice::LostLeadership));
            }
            None => {}
        }
    }

    fn respond_applied_reads(&mut self, actions: &mut Vec<Action>) {
        for read in self.reads.take_applied(self.applied_index) {
            self.respond_read(read, actions);
        }
    }

    pub(super) fn respond_read(&self, read: ReadRequest, actions: &mut Vec<Action>) {
        actions.push(Action::RespondRead {
            to: read.from,
            request: read.request,
            leases: read_leases(&self.state.leases, read.lease.as_ref()),
        });
    }

    /// Replaces the replicated state with the leader's. A voter in the phase `Outside` changes to
    /// `Voting` if the snapshot lists it as a voter or learner.
    fn restore_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), LoadError> {
        let state = ReplicatedState::decode(snapshot.get_data())?;
        self.applied_index = snapshot.get_metadata().index;
        self.snapshots.record(self.applied_index);
        let id = self.identity.id;
        if state.voters.contains_key(&id) || state.joining.contains_key(&id) {
            self.phase = Phase::Voting;
        }
        self.state = state;
        Ok(())
    }

    fn take_snapshot_if_due(&mut self, actions: &mut Vec<Action>) {
        let Some(node) = &mut self.node else { return };
        let is_needed = node.store_mut().take_snapshot_request();
        if !is_needed && !self.snapshots.is_due(self.applied_index) {
            return;
        }
        let content = SnapshotContent {
            index: self.applied_index,
            membership: node.membership(),
            state: &self.state,
        };
        let store = node.store_mut();
        store.compact(content, KEPT_ENTRIES);
        self.snapshots.record(self.applied_index);
        actions.push(Action::WriteSnapshot(store.encode()));
    }

    /// Requests a timer if the next tick or expiry check is due before the requested one.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        if self.phase == Phase::Stopped {
            return;
        }
        let next_check_at = self.expiry.next_check_at();
        if let Some(at) = self.timer.request(self.now, next_check_at) {
            actions.push(Action::SetTimer { at });
        }
    }
}

pub(super) fn report_invalid(invalid: InvalidData, actions: &mut Vec<Action>) {
    actions.push(Action::Notice(Notice::InvalidData(invalid)));
}
