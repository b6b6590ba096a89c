//! The consensus algorithm: a node of the crate `raft` with its parameters, its log, and election
//! timeouts that are sampled from the voter's seed.

use raft::prelude::{ConfChange, ConfChangeV2, ConfState, Message};
use raft::{LightReady, ProgressState, RawNode, ReadOnlyOption, Ready, SnapshotStatus, StateRole};

use super::leadership::{ElectionTimeout, FollowerProgress, Role, transfer_target};
use super::membership_change::{ChangeStep, LearnerProgress};
use super::snapshot::SnapshotTransfers;
use crate::error::LoadError;
use crate::log_store::LogStore;
use crate::peer_message::{LogPosition, VoterId};

/// The maximum size of proposed entries that are not committed. Further proposals are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 1024 * 1024;
/// The maximum size of the entries in one message to a follower.
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;
/// The maximum number of messages with entries that are in flight to one follower.
const MAX_IN_FLIGHT_MESSAGES: usize = 64;
/// The interval between two heartbeats of a leader, in ticks.
const HEARTBEAT_TICKS: usize = 1;

/// The parameters to start a node with.
pub(super) struct NodeConfig {
    pub(super) id: VoterId,
    /// See [`Config::election_ticks`](crate::Config::election_ticks).
    pub(super) election_ticks: u32,
    /// The index of the last applied entry.
    pub(super) applied_index: u64,
    /// Seed of the election timeouts.
    pub(super) seed: u64,
}

/// The Raft node of one voter. It owns the log; the voter processes its `Ready` states.
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
    /// [`LoadError::Consensus`] if the crate `raft` does not accept the parameters or the log.
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

    /// Replaces the election timeout that the crate `raft` sampled. Called after each operation
    /// that may change the term or role.
    fn set_election_timeout(&mut self) {
        let (term, role) = (self.raw.raft.term, self.raw.raft.state);
        let ticks = self.election_timeout.ticks(term, role, self.election_ticks);
        self.raw.raft.set_randomized_election_timeout(ticks);
    }

    /// Advances the node by one tick.
    pub(super) fn tick(&mut self) {
        self.raw.tick();
        self.resend_stalled_snapshots();
        self.set_election_timeout();
    }

    /// Makes the consensus resend each snapshot that its receiver has not confirmed in time.
    /// Without this, the consensus would wait for the confirmation indefinitely, even if the
    /// message was lost.
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

    /// Handles another voter's message. Errors are ignored: a message that the consensus does not
    /// accept is out of date or from an unknown sender.
    pub(super) fn step(&mut self, message: Message) {
        let _ = self.raw.step(message);
        self.set_election_timeout();
    }

    /// Proposes an entry. Returns whether the consensus accepted it. The consensus rejects it if no
    /// leader is known, or if this voter leads and either has reached [`MAX_UNCOMMITTED_BYTES`] or
    /// transfers leadership. If another voter leads, the consensus accepts the entry and forwards
    /// it to that voter.
    pub(super) fn propose(&mut self, data: Vec<u8>) -> bool {
        self.raw.propose(Vec::new(), data).is_ok()
    }

    /// Proposes a step of a membership change. The consensus accepts one step at a time; the voter
    /// proposes a rejected step again at a later tick.
    pub(super) fn propose_change(&mut self, step: &ChangeStep) {
        let _ = self.raw.propose_conf_change(Vec::new(), step.encode());
    }

    /// Asks the quorum to confirm a read. The confirmation repeats `context`.
    pub(super) fn confirm_read(&mut self, context: Vec<u8>) {
        self.raw.read_index(context);
    }

    /// Transfers leadership if this voter leads and another voter is active.
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

    /// Steps down if this voter leads: it was removed, and the remaining voters elect another
    /// leader (Raft's dissertation, section 4.2.2).
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

    /// The leader's id; zero if the leader is not known.
    pub(super) fn leader_id(&self) -> VoterId {
        VoterId(self.raw.raft.leader_id)
    }

    /// The current term and the last entry of the log.
    pub(super) fn position(&self) -> LogPosition {
        LogPosition {
            term: self.raw.raft.term,
            index: self.raw.raft.raft_log.last_index(),
        }
    }

    /// The position of the log with the durable term instead of the current one.
    pub(super) fn durable_position(&self) -> LogPosition {
        LogPosition {
            term: self.raw.raft.store().term(),
            ..self.position()
        }
    }

    /// The replication progress of a learner, as known to the leader.
    pub(super) fn learner_progress(&self, learner: VoterId) -> LearnerProgress {
        let progress = self.raw.raft.prs().get(learner.0);
        LearnerProgress {
            matched_index: progress.map_or(0, |progress| progress.matched),
            committed_index: self.raw.raft.raft_log.committed,
        }
    }

    /// The next entries and messages to write, send and apply, if any.
    pub(super) fn next_ready(&mut self) -> Option<Ready> {
        self.raw.has_ready().then(|| self.raw.ready())
    }

    pub(super) fn store_mut(&mut self) -> &mut LogStore {
        self.raw.mut_store()
    }

    /// Reports that `ready` is written and applied. Returns the messages and committed entries that
    /// become ready as a result.
    pub(super) fn advance(&mut self, ready: Ready) -> LightReady {
        let light = self.raw.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.raw.mut_store().set_commit(commit);
        }
        light
    }

    /// Reports that the entries returned by [`advance`](Self::advance) are applied.
    pub(super) fn finish_advance(&mut self) {
        self.raw.advance_apply();
        self.set_election_timeout();
    }

    /// Applies a committed membership change. Returns whether the consensus accepted it: it rejects
    /// a change that would leave no voter.
    pub(super) fn apply_change(&mut self, change: &ConfChange) -> bool {
        self.raw.apply_conf_change(change).is_ok()
    }

    /// Applies a committed membership change in Raft's `ConfChangeV2` format. No voter proposes
    /// one.
    pub(super) fn apply_change_v2(&mut self, change: &ConfChangeV2) {
        let _ = self.raw.apply_conf_change(change);
    }

    /// The voters and learners.
    pub(super) fn membership(&self) -> ConfState {
        self.raw.raft.prs().conf().to_conf_state()
    }
}
