//! One voter: its state and the dispatch of events. The modules beneath each hold one concern.

mod handshake;
mod leadership;
mod linearizable_reads;
mod membership_change;
mod proposals;
mod raft_messages;
mod ready;
mod snapshot;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use raft::{RawNode, ReadOnlyOption, StateRole};
use tulipgap_leases::{ExpiryTracker, LeaseStateMachine, Name};
use tulipgap_write_ahead_log::Recovered;

use crate::bootstrap::{Bootstrap, Identity};
use crate::error::LoadError;
use crate::event::{Action, Config, Event, MAX_VOTERS, VoterPhase, VoterStatus};
#[cfg(feature = "injected-bugs")]
use crate::injected_bug::InjectedBug;
use crate::log_store::LogStore;
use crate::peer_message::{LogPosition, PeerMessage, VoterId};
use crate::replicated_state::ReplicatedState;
use leadership::ElectionTimeout;
use linearizable_reads::{PendingRead, ReadRequest};
use proposals::Proposal;

/// Entries that are proposed and not committed, in bytes.
const MAX_UNCOMMITTED_BYTES: u64 = 1024 * 1024;
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;
const MAX_IN_FLIGHT_MESSAGES: usize = 64;
/// Voters of which something is remembered, former and future ones included.
const MAX_REMEMBERED_VOTERS: usize = 4 * MAX_VOTERS;

/// How far a voter takes part; see [`VoterPhase`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Bootstrapping,
    Waiting { until: Duration },
    Voting,
    Outside,
    RolledBack,
}

impl From<Phase> for VoterPhase {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Bootstrapping => VoterPhase::Bootstrapping,
            Phase::Waiting { .. } => VoterPhase::Waiting,
            Phase::Voting => VoterPhase::Voting,
            Phase::Outside => VoterPhase::Outside,
            Phase::RolledBack => VoterPhase::RolledBack,
        }
    }
}

/// A voter. It owns the consensus log, the replicated state and, while it leads, the expiry of
/// leases; its host owns the disk and the network and performs its [`Action`]s.
///
/// Invariants: it sends nothing that depends on a write before the action of that write; it applies
/// entries once and in order; once rolled back it sends nothing any more.
pub struct Voter {
    config: Config,
    identity: Identity,
    initial_voter_names: Vec<Name>,
    random: fastrand::Rng,
    now: Duration,
    phase: Phase,
    bootstrap: Bootstrap,
    /// The consensus; `None` before bootstrap and after a rollback.
    node: Option<RawNode<LogStore>>,
    state: ReplicatedState,
    applied_index: u64,
    /// The entry of the latest snapshot.
    snapshot_index: u64,
    expiry: ExpiryTracker,
    /// The term in which it leads and counts TTLs.
    leading_term: Option<u64>,
    election_timeout: ElectionTimeout,
    next_tick_at: Duration,
    /// The timer that the host was last asked for and that has not elapsed yet.
    timer_at: Option<Duration>,
    pending_reads: Vec<PendingRead>,
    /// How far other voters have confirmed their logs.
    observed: BTreeMap<VoterId, LogPosition>,
    /// The id that each name last sent.
    peer_ids: BTreeMap<Name, VoterId>,
    /// Who has replied to a handshake since the start.
    replied: Vec<Name>,
    #[cfg(feature = "injected-bugs")]
    injected_bug: Option<InjectedBug>,
}

impl Voter {
    /// A voter from what its directory holds. `initial_voter_names` are configured, this voter
    /// among them or not.
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
        check_names(&initial_voter_names)?;
        let store = LogStore::decode(recovered.snapshot.as_deref(), &recovered.records)?;
        let mut voter = Voter {
            bootstrap: Bootstrap::new(initial_voter_names.clone()),
            expiry: ExpiryTracker::new(config.max_clock_drift_permille),
            random: fastrand::Rng::with_seed(seed),
            config,
            identity,
            initial_voter_names,
            now: Duration::ZERO,
            phase: Phase::Bootstrapping,
            node: None,
            state: ReplicatedState::default(),
            applied_index: 0,
            snapshot_index: 0,
            leading_term: None,
            election_timeout: ElectionTimeout::default(),
            next_tick_at: Duration::ZERO,
            timer_at: None,
            pending_reads: Vec::new(),
            observed: BTreeMap::new(),
            peer_ids: BTreeMap::new(),
            replied: Vec::new(),
            #[cfg(feature = "injected-bugs")]
            injected_bug: None,
        };
        if let Some(store) = store {
            voter.start_node(store)?;
            // The log is written before the identity says that bootstrap is complete.
            let is_voter = voter.state.voters.contains_key(&voter.identity.id);
            voter.identity.is_bootstrapped |= voter.identity.promised.is_some() && is_voter;
            voter.phase = Phase::Waiting {
                until: config.tick_interval * config.election_ticks,
            };
        }
        Ok(voter)
    }

    /// Makes the voter behave as though it had that bug.
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
            term: self.node.as_ref().map_or(0, |node| node.raft.term),
            leader: self.leader(),
            applied_index: self.applied_index,
            phase: self.phase.into(),
            voters: self.state.voters.clone(),
        }
    }

    /// Whether it takes itself for the leader. Another may lead already in a later term.
    pub fn is_leader(&self) -> bool {
        self.node
            .as_ref()
            .is_some_and(|node| node.raft.state == StateRole::Leader)
    }

    /// The replicated leases, as of [`applied_index`](Self::applied_index).
    pub fn leases(&self) -> &LeaseStateMachine {
        &self.state.leases
    }

    /// The last entry that it applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    fn leader(&self) -> Option<Name> {
        let leader_id = VoterId(self.node.as_ref()?.raft.leader_id);
        self.state.voters.get(&leader_id).cloned()
    }

    /// Handles events, all proposals among them as one entry, and returns the actions to perform,
    /// in order. Once rolled back it returns none; events of the same batch that follow a rollback
    /// drop the actions before it as well.
    pub fn handle_events(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.now = now.max(self.now);
        let mut proposals = Vec::new();
        for event in events {
            if self.phase == Phase::RolledBack {
                return Vec::new();
            }
            match event {
                Event::TimerElapsed => self.handle_timer(&mut actions),
                Event::PeerMessage { from, message } => {
                    self.handle_peer_message(&from, message, &mut actions);
                }
                Event::Propose {
                    from,
                    request,
                    command,
                } if self.is_leader() => {
                    proposals.push(Proposal {
                        from,
                        request,
                        command,
                    });
                }
                Event::Propose { from, request, .. } => {
                    let leader = self.leader();
                    actions.push(Action::RejectNotLeader {
                        to: from,
                        request,
                        leader,
                    });
                }
                Event::Read {
                    from,
                    request,
                    lease,
                } => {
                    self.read(
                        ReadRequest {
                            from,
                            request,
                            lease,
                        },
                        &mut actions,
                    );
                }
                Event::TransferLeadership => self.transfer_leadership(),
                Event::ReplaceVoter { old, new } => self.replace_voter(&old, &new),
            }
        }
        self.propose(proposals, &mut actions);
        self.process_ready(&mut actions);
        actions
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
                self.remember_peer(from, id);
                if wants_reply {
                    self.send_handshake(from, false, actions);
                } else if !self.replied.contains(from) {
                    self.replied.push(from.clone());
                }
                if self.is_behind(observed) {
                    return self.roll_back(observed, actions);
                }
                if self.phase == Phase::Bootstrapping {
                    self.advance_bootstrap(from, id, &initial_voters, stage, actions);
                }
                self.vote_once_all_replied();
            }
            PeerMessage::Raft(bytes) => self.handle_raft_message(&bytes, actions),
        }
    }

    fn handle_timer(&mut self, actions: &mut Vec<Action>) {
        self.timer_at = self.timer_at.filter(|&at| at > self.now);
        if self.now >= self.next_tick_at {
            // One tick for each timer, however late it is: a process that was paused can't
            // conclude that the leader sent no heartbeat.
            self.next_tick_at = self.now + self.config.tick_interval;
            self.tick(actions);
        }
        self.propose_expirations(actions);
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Bootstrapping => self.send_handshakes(true, actions),
            Phase::Waiting { until } => {
                self.send_handshakes(true, actions);
                if self.now >= until {
                    self.phase = Phase::Voting;
                }
            }
            Phase::Voting | Phase::Outside => {
                if let Some(node) = &mut self.node {
                    node.tick();
                }
                self.redraw_election_timeout();
                self.advance_membership_changes();
            }
            Phase::RolledBack => {}
        }
    }

    /// Starts the consensus from a log.
    fn start_node(&mut self, store: LogStore) -> Result<(), LoadError> {
        let snapshot = store.latest_snapshot();
        self.applied_index = snapshot.get_metadata().index;
        if self.applied_index > 0 {
            self.state = ReplicatedState::decode(snapshot.get_data())?;
        }
        self.snapshot_index = self.applied_index;
        let config = raft::Config {
            id: self.identity.id.0,
            election_tick: self.config.election_ticks as usize,
            heartbeat_tick: 1,
            applied: self.applied_index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_IN_FLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            read_only_option: ReadOnlyOption::Safe,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            ..raft::Config::default()
        };
        let no_log = slog::Logger::root(slog::Discard, slog::o!());
        self.node = Some(RawNode::new(&config, store, &no_log)?);
        self.redraw_election_timeout();
        Ok(())
    }

    /// Ends the consensus for good, after a rollback or where its state is invalid: nothing sound
    /// could follow. Operators see the same phase for both.
    fn stop_node(&mut self) {
        self.phase = Phase::RolledBack;
        self.node = None;
    }

    /// Asks for a timer where something is due before the one that was asked for.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let next_check_at = self.expiry.next_check_at().unwrap_or(self.next_tick_at);
        let at = next_check_at.min(self.next_tick_at).max(self.now);
        let is_sooner = self.timer_at.is_none_or(|timer_at| at < timer_at);
        if self.phase != Phase::RolledBack && is_sooner {
            self.timer_at = Some(at);
            actions.push(Action::SetTimer { at });
        }
    }
}

/// The initial voters are some, not too many, and distinct.
fn check_names(names: &[Name]) -> Result<(), LoadError> {
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
