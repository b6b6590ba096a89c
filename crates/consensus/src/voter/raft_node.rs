//! The consensus algorithm: the crate `raft` with its parameters, its log, and the election
//! timeouts drawn from the voter's seed.

use raft::prelude::{ConfChange, ConfChangeV2, ConfState, Message};
use raft::{LightReady, ProgressState, RawNode, ReadOnlyOption, Ready, SnapshotStatus, StateRole};

use super::leadership::{ElectionTimeout, FollowerProgress, Role, transfer_target};
use super::membership_change::{ChangeStep, LearnerProgress};
use super::snapshot::SnapshotTransfers;
use crate::error::LoadError;
use crate::log_store::LogStore;
use crate::peer_message::{LogPosition, VoterId};

/// Entries that are proposed and not committed, in bytes, at most. Further proposals are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 1024 * 1024;
/// Entries in one message to a follower, in bytes, at most.
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;
/// Messages with entries that are sent to one follower before it confirms the first.
const MAX_IN_FLIGHT_MESSAGES: usize = 64;
/// Ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 1;

/// How a node is started.
pub(super) struct NodeConfig {
    pub(super) id: VoterId,
    /// See [`Config::election_ticks`](crate::Config::election_ticks).
    pub(super) election_ticks: u32,
    /// The entry up to which the log is applied.
    pub(super) applied_index: u64,
    /// Seed of the election timeouts.
    pub(super) seed: u64,
}

/// The node of one voter. It owns the log; the voter performs what it has ready.
pub(super) struct RaftNode {
    raw: RawNode<LogStore>,
    election_ticks: usize,
    election_timeout: ElectionTimeout,
    snapshot_transfers: SnapshotTransfers,
}

impl RaftNode {
    /// Starts the consensus from a log.
    ///
    /// # Errors
    /// [`LoadError::Consensus`] where the log is not accepted.
    pub(super) fn start(config: &NodeConfig, store: LogStore) -> Result<Self, LoadError> {
        let election_ticks = config.election_ticks as usize;
        let raft_config = raft::Config {
            id: config.id.0,
            election_tick: election_ticks,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: config.applied_index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_IN_FLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            read_only_option: ReadOnlyOption::Safe,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            ..raft::Config::default()
        };
        let no_log = slog::Logger::root(slog::Discard, slog::o!());
        let mut node = RaftNode {
            raw: RawNode::new(&raft_config, store, &no_log)?,
            election_ticks,
            election_timeout: ElectionTimeout::new(config.seed),
            snapshot_transfers: SnapshotTransfers::default(),
        };
        node.set_election_timeout();
        Ok(node)
    }

    /// Replaces the timeout that the consensus drew. Called after whatever may change term or role.
    fn set_election_timeout(&mut self) {
        let (term, role) = (self.raw.raft.term, self.raw.raft.state);
        let ticks = self.election_timeout.ticks(term, role, self.election_ticks);
        self.raw.raft.set_randomized_election_timeout(ticks);
    }

    /// One tick has passed.
    pub(super) fn tick(&mut self) {
        self.raw.tick();
        self.resend_stalled_snapshots();
        self.set_election_timeout();
    }

    /// Has the consensus send a snapshot again that its receiver has not confirmed in time: it
    /// waits for that confirmation for ever, and the message may be lost.
    fn resend_stalled_snapshots(&mut self) {
        let progress = self.raw.raft.prs().iter();
        let receivers = progress
            .filter(|(_, progress)| progress.state == ProgressState::Snapshot)
            .map(|(id, _)| *id)
            .collect();
        for id in self.snapshot_transfers.tick(receivers, self.election_ticks) {
            self.raw.report_snapshot(id, SnapshotStatus::Failure);
        }
    }

    /// Handles another voter's message. One that is not accepted is out of date or from an unknown
    /// sender.
    pub(super) fn step(&mut self, message: Message) {
        let _ = self.raw.step(message);
        self.set_election_timeout();
    }

    /// Proposes an entry. Returns whether it was accepted: it is not where this voter does not lead
    /// or [`MAX_UNCOMMITTED_BYTES`] are reached.
    pub(super) fn propose(&mut self, data: Vec<u8>) -> bool {
        self.raw.propose(Vec::new(), data).is_ok()
    }

    /// Proposes a step of a membership change. There is one at a time; what is not accepted is
    /// proposed again at a later tick.
    pub(super) fn propose_change(&mut self, step: &ChangeStep) {
        let _ = self.raw.propose_conf_change(Vec::new(), step.encode());
    }

    /// Asks the quorum to confirm a read. `context` comes back with the confirmation.
    pub(super) fn confirm_read(&mut self, context: Vec<u8>) {
        self.raw.read_index(context);
    }

    /// Hands leadership over, where this voter leads and another is active.
    pub(super) fn transfer_leadership(&mut self) {
        if !self.is_leader() || self.raw.raft.lead_transferee.is_some() {
            return;
        }
        let own_id = self.raw.raft.id;
        let voters = self.membership().take_voters();
        let progress = self.raw.raft.prs().iter();
        let followers = progress.filter(|(id, _)| **id != own_id && voters.contains(id));
        let target = transfer_target(followers.map(|(id, progress)| FollowerProgress {
            id: *id,
            matched_index: progress.matched,
            is_active: progress.recent_active,
        }));
        if let Some(id) = target {
            self.raw.transfer_leader(id);
        }
    }

    /// Stops leading, where this voter does: it was removed, and the others elect one of theirs
    /// (Raft's dissertation, section 4.2.2).
    pub(super) fn step_down(&mut self) {
        if self.is_leader() {
            let term = self.term();
            self.raw.raft.become_follower(term, raft::INVALID_ID);
        }
    }

    pub(super) fn term(&self) -> u64 {
        self.raw.raft.term
    }

    pub(super) fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    pub(super) fn role(&self) -> Role {
        Role {
            term: self.term(),
            is_leader: self.is_leader(),
            has_applied_own_term: self.raw.raft.apply_to_current_term(),
        }
    }

    /// Who leads; zero where that is not known.
    pub(super) fn leader_id(&self) -> VoterId {
        VoterId(self.raw.raft.leader_id)
    }

    /// The present term and the last entry of the log.
    pub(super) fn position(&self) -> LogPosition {
        LogPosition {
            term: self.raw.raft.term,
            index: self.raw.raft.raft_log.last_index(),
        }
    }

    /// The same with the term that was written.
    pub(super) fn durable_position(&self) -> LogPosition {
        LogPosition {
            term: self.raw.raft.store().term(),
            ..self.position()
        }
    }

    /// How far a learner's log has come, as the leader knows it.
    pub(super) fn learner_progress(&self, learner: VoterId) -> LearnerProgress {
        let progress = self.raw.raft.prs().get(learner.0);
        LearnerProgress {
            matched_index: progress.map_or(0, |progress| progress.matched),
            committed_index: self.raw.raft.raft_log.committed,
        }
    }

    /// What is to be written, sent and applied next.
    pub(super) fn next_ready(&mut self) -> Option<Ready> {
        self.raw.has_ready().then(|| self.raw.ready())
    }

    pub(super) fn store_mut(&mut self) -> &mut LogStore {
        self.raw.mut_store()
    }

    /// All of it is written and applied. Returns what has become ready by that.
    pub(super) fn advance(&mut self, ready: Ready) -> LightReady {
        let light = self.raw.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.raw.mut_store().set_commit(commit);
        }
        light
    }

    /// What [`advance`](Self::advance) returned is applied as well.
    pub(super) fn finish_advance(&mut self) {
        self.raw.advance_apply();
        self.set_election_timeout();
    }

    /// Applies a committed membership change. Returns whether it was accepted: one that would leave
    /// no voter is not.
    pub(super) fn apply_change(&mut self, change: &ConfChange) -> bool {
        self.raw.apply_conf_change(change).is_ok()
    }

    /// Applies a committed membership change of the second format. No voter proposes one.
    pub(super) fn apply_change_v2(&mut self, change: &ConfChangeV2) {
        let _ = self.raw.apply_conf_change(change);
    }

    /// Who votes and who learns.
    pub(super) fn membership(&self) -> ConfState {
        self.raw.raft.prs().conf().to_conf_state()
    }
}
