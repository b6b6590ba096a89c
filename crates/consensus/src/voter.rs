//! A voter: the state machine that owns the components in `voter/`, routes events to them and turns
//! their decisions into actions.
//!
//! `voter.rs` handles events, and `voter/ready.rs` processes the `Ready` states of the consensus.
//! The other modules are the components, none of which depends on [`Voter`].

mod leadership;
mod linearizable_reads;
mod membership_change;
mod peers;
mod phase;
mod proposals;
mod raft_node;
mod ready;
mod rollback;
mod snapshot;
#[cfg(test)]
mod tests;
mod tick_timer;

use std::collections::BTreeMap;
use std::time::Duration;

use protobuf::Message as _;
use raft::prelude::Message;
use tulipgap_leases::{ExpiryTracker, LeaseStateMachine, Name};
use tulipgap_write_ahead_log::Recovered;

use crate::bootstrap::{Bootstrap, BootstrapStep, PeerBootstrap};
use crate::config::{Config, MAX_VOTERS};
use crate::error::LoadError;
use crate::event::{Action, Event};
use crate::identity::Identity;
#[cfg(feature = "injected-bugs")]
use crate::injected_bug::InjectedBug;
use crate::log_store::LogStore;
use crate::notice::{InvalidData, Notice};
use crate::peer_message::{LogPosition, PeerMessage, VoterId};
use crate::replicated_state::ReplicatedState;
use crate::status::VoterStatus;
use leadership::Leadership;
use linearizable_reads::{LinearizableReads, ReadRequest};
use membership_change::{first_step, next_step};
use peers::{Peers, other_voters};
use phase::Phase;
use proposals::{Proposal, encode_entry};
use raft_node::{NodeConfig, RaftNode};
use ready::report_invalid;
use rollback::{ObservedLogs, contradicting_position, is_rolled_back};
use snapshot::SnapshotSchedule;
use tick_timer::TickTimer;

/// A voter. It owns the consensus log, the replicated state and, while it leads, the expiry of
/// leases. Its host owns the disk and the network and performs its [`Action`]s.
///
/// Invariants: a voter emits the action of a write before any message that depends on the write; it
/// applies each entry once and in order; after it has detected a rollback or an invalid state, it
/// sends nothing.
pub struct Voter {
    config: Config,
    identity: Identity,
    /// The configured initial voters, which may or may not include this one.
    initial_voter_names: Vec<Name>,
    /// Seed of the election timeouts.
    seed: u64,
    /// The latest time of an event, which never decreases.
    now: Duration,
    phase: Phase,
    bootstrap: Bootstrap,
    peers: Peers,
    observed_logs: ObservedLogs,
    timer: TickTimer,
    /// The consensus; `None` before bootstrap, and after a rollback or an invalid state was
    /// detected.
    node: Option<RaftNode>,
    leadership: Leadership,
    reads: LinearizableReads,
    state: ReplicatedState,
    /// The index of the last entry that is applied to the state.
    applied_index: u64,
    snapshots: SnapshotSchedule,
    expiry: ExpiryTracker,
    #[cfg(feature = "injected-bugs")]
    injected_bug: Option<InjectedBug>,
}

impl Voter {
    /// Creates a voter from the content of its directory. `initial_voter_names` are the configured
    /// ones, which may or may not include this voter. The host's clock, which times the later
    /// events, must be near zero now; see [`Self::handle_events`].
    pub(crate) fn load(
        config: Config,
        name: &str,
        initial_voter_names: Vec<Name>,
        identity: Identity,
        recovered: &Recovered,
        seed: u64,
    ) -> Result<Self, LoadError> {
        if &*identity.name != name {
            return Err(LoadError::OtherVoter(identity.name.to_string()));
        }
        check_initial_voters(&initial_voter_names)?;
        let store = LogStore::decode(recovered.snapshot.as_deref(), &recovered.records)?;
        let mut voter = Voter {
            bootstrap: Bootstrap::new(initial_voter_names.clone()),
            peers: Peers::default(),
            observed_logs: ObservedLogs::default(),
            timer: TickTimer::new(config.tick_interval),
            leadership: Leadership::default(),
            reads: LinearizableReads::default(),
            snapshots: SnapshotSchedule::new(config.snapshot_interval_entries),
            expiry: ExpiryTracker::new(config.max_clock_drift_permille),
            config,
            identity,
            initial_voter_names,
            seed,
            now: Duration::ZERO,
            phase: Phase::Bootstrapping,
            node: None,
            state: ReplicatedState::default(),
            applied_index: 0,
            #[cfg(feature = "injected-bugs")]
            injected_bug: None,
        };
        if let Some(store) = store {
            voter.restart_from(store)?;
        }
        Ok(voter)
    }

    fn restart_from(&mut self, store: LogStore) -> Result<(), LoadError> {
        self.start_node(store)?;
        // After a crash during bootstrap, the log may be stored while the identity does not yet say
        // that bootstrap is complete.
        let is_voter = self.state.voters.contains_key(&self.identity.id);
        self.identity.is_bootstrapped |= self.identity.promised.is_some() && is_voter;
        // A time on the host's clock, which is near zero when the voter is opened.
        let until = self.config.tick_interval * self.config.election_ticks;
        self.phase = Phase::Waiting { until };
        Ok(())
    }

    /// Makes the voter behave as if it had this bug.
    #[cfg(feature = "injected-bugs")]
    pub fn inject_bug(&mut self, bug: Option<InjectedBug>) {
        self.injected_bug = bug;
        if let Some(InjectedBug::Leases(bug)) = bug {
            self.expiry.inject_bug(Some(bug));
        }
    }

    /// A summary for operators.
    pub fn status(&self) -> VoterStatus {
        VoterStatus {
            id: self.identity.id,
            term: self.node.as_ref().map_or(0, RaftNode::term),
            leader: self.leader(),
            applied_index: self.applied_index,
            phase: self.phase.into(),
            voters: self.state.voters.clone(),
        }
    }

    /// Whether this voter is the leader by its own state. Another voter may already lead in a later
    /// term.
    pub fn is_leader(&self) -> bool {
        self.node.as_ref().is_some_and(RaftNode::is_leader)
    }

    /// The replicated leases, as of [`applied_index`](Self::applied_index).
    pub fn leases(&self) -> &LeaseStateMachine {
        &self.state.leases
    }

    /// The index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    fn leader(&self) -> Option<Name> {
        let leader_id = self.node.as_ref()?.leader_id();
        self.state.voters.get(&leader_id).cloned()
    }

    /// Handles a batch of events and returns the actions to perform, in order. All
    /// [`Event::Propose`] of the batch become one entry. After it has detected a rollback or an
    /// invalid state, the voter handles no events: if an event of the batch reveals a rollback, the
    /// voter drops the later events and rejects the earlier proposals.
    ///
    /// `now` is the host's clock, which must be near zero when the voter is opened: a restarted
    /// voter waits until the clock shows `election_ticks` ticks. If the clock is already past that,
    /// the voter votes after its first tick and skips the wait that guards against a rollback.
    pub fn handle_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.now = now.max(self.now);
        let mut proposals = Vec::new();
        for event in events {
            if self.phase == Phase::Stopped {
                break;
            }
            self.handle_event(event, &mut proposals, &mut actions);
        }
        self.propose(proposals, &mut actions);
        self.process_ready(&mut actions);
        actions
    }

    fn handle_event(
        &mut self,
        event: Event,
        proposals: &mut Vec<Proposal>,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::TimerElapsed => self.handle_timer(actions),
            Event::PeerMessage { from, message } => {
                self.handle_peer_message(&from, message, actions);
            }
            Event::Propose {
                from,
                request,
                command,
            } => {
                let proposal = Proposal {
                    from,
                    request,
                    command,
                };
                match self.is_leader() {
                    true => proposals.push(proposal),
                    false => actions.push(proposal.reject(self.leader())),
                }
            }
            Event::Read {
                from,
                request,
                lease,
            } => {
                let read = ReadRequest {
                    from,
                    request,
                    lease,
                };
                self.handle_read(read, actions);
            }
            Event::TransferLeadership => {
                if let Some(node) = &mut self.node {
                    node.transfer_leadership();
                }
            }
            Event::ReplaceVoter { old, new } => self.replace_voter(&old, &new),
        }
    }

    fn handle_timer(&mut self, actions: &mut Vec<Action>) {
        if self.timer.elapsed(self.now) {
            self.tick(actions);
        }
        self.propose_expirations(actions);
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Bootstrapping | Phase::Waiting { .. } => self.send_handshakes(true, actions),
            Phase::Voting | Phase::Outside => {
                if let Some(node) = &mut self.node {
                    node.tick();
                }
                self.advance_membership_change();
            }
            Phase::Stopped => {}
        }
        self.phase = self.phase.after_tick(self.now);
    }

    /// Proposes to expire the owners whose TTL has ended. Only a leader tracks TTLs.
    fn propose_expirations(&mut self, actions: &mut Vec<Action>) {
        let expirations = self.expiry.due_expirations(self.now).into_iter();
        self.propose(expirations.map(Proposal::expiration).collect(), actions);
    }

    fn handle_peer_message(
        &mut self,
        from: &Name,
        message: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::Handshake {
                wants_reply,
                id,
                initial_voters,
                stage,
                observed,
            } => {
                self.peers.record_id(from, id, &self.initial_voter_names);
                match wants_reply {
                    true => self.send_handshake(from, false, actions),
                    false => self.peers.record_reply(from),
                }
                let peer = PeerBootstrap {
                    from,
                    id,
                    initial_voters: &initial_voters,
                    stage,
                };
                self.handle_handshake(peer, observed, actions);
            }
            PeerMessage::Raft(bytes) => self.handle_raft_message(&bytes, actions),
        }
    }

    /// `observed` is the furthest position of this voter's log that the sender has observed.
    fn handle_handshake(
        &mut self,
        peer: PeerBootstrap<'_>,
        observed: LogPosition,
        actions: &mut Vec<Action>,
    ) {
        let durable = self.node.as_ref().map(RaftNode::durable_position);
        if durable.is_some_and(|durable| is_rolled_back(durable, observed)) {
            return self.stop_after_rollback(observed, actions);
        }
        if self.phase == Phase::Bootstrapping {
            self.advance_bootstrap(peer, actions);
        }
        let replied = self.peers.replied();
        self.phase = self.phase.after_reply(&self.other_voters(), replied);
    }

    fn other_voters(&self) -> Vec<Name> {
        other_voters(&self.state, &self.initial_voter_names, &self.identity.name)
    }

    fn send_handshakes(&self, wants_reply: bool, actions: &mut Vec<Action>) {
        for to in self.other_voters() {
            self.send_handshake(&to, wants_reply, actions);
        }
    }

    fn send_handshake(&self, to: &Name, wants_reply: bool, actions: &mut Vec<Action>) {
        let id = self.peers.id_of(to);
        let observed = id.map(|id| self.observed_logs.position(id));
        let message = PeerMessage::Handshake {
            wants_reply,
            id: self.identity.id,
            initial_voters: self.bootstrap.known_voters(&self.identity),
            stage: self.identity.stage(),
            observed: observed.unwrap_or_default(),
        };
        actions.push(Action::Send {
            to: to.clone(),
            message,
        });
    }

    fn handle_raft_message(&mut self, bytes: &[u8], actions: &mut Vec<Action>) {
        if !self.phase.accepts_raft_messages() {
            return;
        }
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return report_invalid(InvalidData::RaftMessage, actions);
        };
        let is_local = raft::raw_node::is_local_msg(message.get_msg_type());
        if message.to != self.identity.id.0 || is_local {
            return;
        }
        let Some(node) = &mut self.node else { return };
        if let Some(observed) = contradicting_position(&message, node.position()) {
            return self.stop_after_rollback(observed, actions);
        }
        self.observed_logs.observe(&message, &self.state.voters);
        node.step(message);
    }

    /// Stops the voter because its directory is an older copy: another voter has observed the later
    /// position `observed` of this voter's log.
    fn stop_after_rollback(&mut self, observed: LogPosition, actions: &mut Vec<Action>) {
        let own = self.node.as_ref().map(RaftNode::position);
        let own = own.unwrap_or_default();
        self.stop_node();
        self.expiry.stop_leading();
        actions.push(Action::Notice(Notice::RolledBack { own, observed }));
    }

    fn advance_bootstrap(&mut self, peer: PeerBootstrap<'_>, actions: &mut Vec<Action>) {
        match self.bootstrap.handle_handshake(&self.identity, peer) {
            BootstrapStep::Wait => {}
            BootstrapStep::Promise(voters) => {
                self.identity.promise(voters);
                actions.push(Action::WriteIdentity(self.identity.encode()));
                self.send_handshakes(false, actions);
            }
            BootstrapStep::Complete(voters) => self.complete_bootstrap(voters, actions),
            BootstrapStep::Outside => {
                actions.push(Action::Notice(Notice::NotAMember));
                self.phase = Phase::Outside;
                let store = LogStore::default();
                actions.push(Action::WriteSnapshot(store.encode()));
                self.start_node_or_report(store, actions);
            }
        }
    }

    fn complete_bootstrap(
        &mut self,
        initial_voters: BTreeMap<Name, VoterId>,
        actions: &mut Vec<Action>,
    ) {
        let store = LogStore::bootstrapped(&initial_voters);
        let voters = initial_voters.keys().map(Name::to_string).collect();
        // The log is written first: an identity that says bootstrap is complete, without the
        // bootstrap log, would let the voter start with no log.
        actions.push(Action::WriteSnapshot(store.encode()));
        self.identity.complete_bootstrap(initial_voters);
        actions.push(Action::WriteIdentity(self.identity.encode()));
        actions.push(Action::Notice(Notice::Bootstrapped { voters }));
        self.phase = Phase::Voting;
        self.send_handshakes(false, actions);
        self.start_node_or_report(store, actions);
    }

    /// Starts the consensus from a log.
    fn start_node(&mut self, store: LogStore) -> Result<(), LoadError> {
        let snapshot = store.latest_snapshot();
        self.applied_index = snapshot.get_metadata().index;
        if self.applied_index > 0 {
            self.state = ReplicatedState::decode(snapshot.get_data())?;
        }
        self.snapshots.record(self.applied_index);
        let config = NodeConfig {
            id: self.identity.id,
            election_ticks: self.config.election_ticks,
            applied_index: self.applied_index,
            seed: self.seed,
        };
        self.node = Some(RaftNode::start(&config, store)?);
        Ok(())
    }

    fn start_node_or_report(&mut self, store: LogStore, actions: &mut Vec<Action>) {
        if let Err(error) = self.start_node(store) {
            report_invalid(InvalidData::State(error), actions);
        }
    }

    /// Stops the consensus permanently after a rollback or an invalid state was detected, since the
    /// voter could no longer take part safely.
    ///
    /// The phase is `Stopped` (`set back` on the control socket) in both cases. Only the notice
    /// distinguishes them: [`Notice::RolledBack`] after a rollback, [`Notice::InvalidData`] after
    /// an invalid state.
    fn stop_node(&mut self) {
        self.phase = Phase::Stopped;
        self.node = None;
    }

    /// Proposes commands as one entry. If the consensus does not accept the entry, the voter
    /// rejects the commands, and the clients retry them.
    fn propose(&mut self, proposals: Vec<Proposal>, actions: &mut Vec<Action>) {
        if proposals.is_empty() {
            return;
        }
        let entry = encode_entry(&proposals);
        let is_proposed = self.node.as_mut().is_some_and(|node| node.propose(entry));
        if !is_proposed {
            actions.extend(proposals.into_iter().map(|proposal| proposal.reject(None)));
        }
    }

    /// Asks the quorum to confirm a read, or rejects the read. A leader with too many pending reads
    /// also rejects it and names itself as the leader; see [`linearizable_reads`].
    fn handle_read(&mut self, read: ReadRequest, actions: &mut Vec<Action>) {
        if self.has_stale_read_bug() && self.is_leader() {
            return self.respond_read(read, actions);
        }
        let leader = self.leader();
        match &mut self.node {
            Some(node) if node.is_leader() && self.reads.has_capacity() => {
                node.confirm_read(read.encode());
            }
            _ => actions.push(Action::RejectNotLeader {
                to: read.from,
                request: read.request,
                leader,
            }),
        }
    }

    #[cfg(feature = "injected-bugs")]
    fn has_stale_read_bug(&self) -> bool {
        self.injected_bug == Some(InjectedBug::StaleRead)
    }

    #[cfg(not(feature = "injected-bugs"))]
    fn has_stale_read_bug(&self) -> bool {
        false
    }

    fn replace_voter(&mut self, old: &Name, new: &Name) {
        let Some(new_id) = self.peers.id_of(new) else {
            return;
        };
        let step = first_step(&self.state, old, new, new_id);
        if let (Some(step), Some(node)) = (step, &mut self.node) {
            node.propose_change(&step);
        }
    }

    /// Proposes the next step of a membership change in progress, if this voter leads. If the step
    /// removes this voter, it transfers the leadership instead, and the next leader proposes the
    /// step.
    fn advance_membership_change(&mut self) {
        let Some(node) = self.node.as_mut().filter(|node| node.is_leader()) else {
            return;
        };
        let has_caught_up = |learner| node.learner_progress(learner).has_caught_up();
        match next_step(&self.state, has_caught_up) {
            Some(step) if step.removes(self.identity.id) => node.transfer_leadership(),
            Some(step) => node.propose_change(&step),
            None => {}
        }
    }
}

/// Checks that there are 1 to [`MAX_VOTERS`] initial voters with distinct names.
fn check_initial_voters(names: &[Name]) -> Result<(), LoadError> {
    let mut distinct = names.to_vec();
    distinct.sort();
    distinct.dedup();
    let is_valid = distinct.len() == names.len() && (1..=MAX_VOTERS).contains(&names.len());
    if is_valid {
        Ok(())
    } else {
        Err(LoadError::InvalidVoters)
    }
}
