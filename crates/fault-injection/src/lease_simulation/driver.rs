//! The driver of a run: passes events to the parts, converts the actions that they return into
//! messages, timers and counts, and checks the invariants.

use std::time::Duration;

use tulipgap_consensus::{Action as VoterAction, Event as VoterEvent, Notice};
use tulipgap_leases::{
    Action as ClientAction, Event as ClientEvent, FencingToken, Name, RequestId,
};

use super::clients::{
    OperationStep, REACQUIRE_DELAY, acquire_event, sample_idle_time, sample_operation_duration,
};
use super::events::{ProcessEvent, SimulationEvent};
use super::invariants::{ObservedGrant, ObservedLeader};
use super::message::Message;
use super::outcome::{Finding, LeaseInvariant};
use super::reads::PendingRead;
use super::startup::Startup;
use super::voters::VoterProgress;
use super::{LeaseSimulation, READ_INTERVAL};
use crate::history_checker::OperationError;
use crate::plan::{DirectoryAfterCrash, Fault, MemberIndex};

impl LeaseSimulation<'_> {
    pub(super) fn start(&mut self, member: MemberIndex, directory: DirectoryAfterCrash) {
        // If two crashes of a process overlap, the process is already running.
        if self.processes[member].client.is_running() {
            return;
        }
        let voters = self.voters.clone();
        let startup = Startup {
            voters: &voters,
            bugs: self.bugs,
            seed: self.rng.u64(..),
        };
        let now = self.scheduler.now();
        self.processes[member].start(now, directory, &startup);
        if self.is_ever_voter(member) {
            self.start_voter(member, &startup);
        }
        self.acquire_leases(member);
    }

    /// Whether the member is an initial voter, or the plan adds it as a voter.
    fn is_ever_voter(&self, member: MemberIndex) -> bool {
        let name = &self.processes[member].name;
        let adds = |fault: &Fault| matches!(fault, Fault::ReplaceVoter { new, .. } if new.as_str() == &**name);
        self.voters.contains(name) || self.plan.faults.iter().any(adds)
    }

    fn start_voter(&mut self, member: MemberIndex, startup: &Startup) {
        match self.processes[member].start_voter(startup) {
            true => self.handle_voter_event(member, VoterEvent::TimerElapsed),
            false => self.outcome.stopped_voters += 1,
        }
    }

    /// Makes the member's client acquire each lease that the plan makes the member want.
    fn acquire_leases(&mut self, member: MemberIndex) {
        let plan = self.plan;
        for lease in &plan.leases {
            if self.processes[member].wants(lease) {
                self.handle_client_event(member, acquire_event(lease));
            }
        }
    }

    pub(super) fn crash(&mut self, member: MemberIndex) {
        for (lease, token) in self.processes[member].crash(&mut self.rng) {
            self.invariants.history.abandon(&lease, token);
        }
    }

    pub(super) fn resume(&mut self, member: MemberIndex) {
        for event in self.processes[member].resume() {
            self.handle_process_event(member, event);
        }
    }

    pub(super) fn handle_process_event(&mut self, member: MemberIndex, event: ProcessEvent) {
        match self.processes[member].accept_event(event) {
            Some(ProcessEvent::Deliver { from, message }) => self.deliver(member, from, message),
            Some(ProcessEvent::VoterTimer { .. }) => {
                self.handle_voter_event(member, VoterEvent::TimerElapsed);
            }
            Some(ProcessEvent::ClientTimer { .. }) => {
                self.handle_client_event(member, ClientEvent::TimerElapsed);
            }
            Some(ProcessEvent::Operation { lease, .. }) => self.step_operation(member, lease),
            None => {}
        }
    }

    /// The current time of a member's own clock.
    fn local_time(&self, member: MemberIndex) -> Duration {
        self.processes[member].local_time(self.scheduler.now())
    }

    /// Schedules a timer that a state machine set to a time of its process's clock.
    fn schedule_timer(&mut self, member: MemberIndex, local_time: Duration, event: ProcessEvent) {
        let at = self.processes[member]
            .true_time(local_time)
            .max(self.scheduler.now());
        self.scheduler
            .schedule(at, member, SimulationEvent::Process(event));
    }

    fn send(&mut self, from: MemberIndex, to: &Name, message: Message) {
        let Some(to) = self.network.index_of(to) else {
            return;
        };
        self.network.count_message();
        let now = self.scheduler.now();
        for transit in self.network.sample_transits(now, from, to, &mut self.rng) {
            let event = ProcessEvent::Deliver {
                from,
                message: message.clone(),
            };
            self.scheduler
                .schedule_in(transit, to, SimulationEvent::Process(event));
        }
    }

    fn deliver(&mut self, to: MemberIndex, from: MemberIndex, message: Message) {
        let from = self.processes[from].name.clone();
        match message {
            Message::Peer(message) => {
                self.handle_voter_event(to, VoterEvent::PeerMessage { from, message });
            }
            Message::Propose { request, command } => {
                let propose = VoterEvent::Propose {
                    from,
                    request,
                    command,
                };
                self.handle_voter_event(to, propose);
            }
            Message::Read { request, lease } => {
                let read = VoterEvent::Read {
                    from,
                    request,
                    lease: Some(lease),
                };
                self.handle_voter_event(to, read);
            }
            Message::Response {
                incarnation,
                request,
                response,
            } => {
                let response = ClientEvent::Response {
                    incarnation,
                    request,
                    response,
                };
                self.handle_client_event(to, response);
            }
            Message::NotLeader { request, leader } => {
                self.handle_client_event(to, ClientEvent::NotLeader { request, leader });
            }
            Message::SlotAvailable { lease } => {
                self.handle_client_event(to, ClientEvent::SlotAvailable { lease });
            }
            Message::ReadResponse { request, leases } => {
                let checked = self.pending_reads.check_response(request, &leases);
                self.record(checked);
            }
        }
    }

    /// A random member asks every initial voter for the holder of the plan's first lease, if the
    /// lease has capacity 1. Only a voter that has confirmed that it is the leader may respond.
    pub(super) fn read_leases(&mut self) {
        self.scheduler
            .schedule_in(READ_INTERVAL, 0, SimulationEvent::ReadLeases);
        let Some(lease) = self.plan.leases.first() else {
            return;
        };
        let lease: Name = lease.name.as_str().into();
        if self.capacity(&lease) != 1 {
            return;
        }
        let newest_token = self.invariants.newest_token(&lease);
        let reader = self.rng.usize(0..self.network.members().len());
        for voter in self.voters.clone() {
            let request = RequestId(self.scheduler.next_sequence());
            self.pending_reads.insert(
                request,
                PendingRead {
                    lease: lease.clone(),
                    newest_token,
                },
            );
            self.send(
                reader,
                &voter,
                Message::Read {
                    request,
                    lease: lease.clone(),
                },
            );
        }
        self.pending_reads.discard_oldest();
    }

    fn handle_voter_event(&mut self, member: MemberIndex, event: VoterEvent) {
        let now = self.local_time(member);
        let process = &mut self.processes[member];
        let Some(progress) = process.voter.handle_event(now, event) else {
            return;
        };
        let VoterProgress {
            replica,
            has_stopped,
            actions,
        } = progress;
        if let Some(replica) = replica {
            let checked = self.invariants.record_replica(&process.name, &replica);
            self.record(checked);
        }
        self.outcome.stopped_voters += u64::from(has_stopped);
        for action in actions {
            self.perform_voter_action(member, action);
        }
    }

    fn perform_voter_action(&mut self, member: MemberIndex, action: VoterAction) {
        match action {
            VoterAction::Send { to, message } => self.send(member, &to, Message::Peer(message)),
            VoterAction::Respond {
                to,
                incarnation,
                request,
                response,
            } => {
                self.send(
                    member,
                    &to,
                    Message::Response {
                        incarnation,
                        request,
                        response,
                    },
                );
            }
            VoterAction::RejectNotLeader {
                to,
                request,
                leader,
            } => {
                self.send(member, &to, Message::NotLeader { request, leader });
            }
            VoterAction::NotifySlotAvailable { to, lease } => {
                self.send(member, &to, Message::SlotAvailable { lease });
            }
            VoterAction::RespondRead {
                to,
                request,
                leases,
            } => {
                self.send(member, &to, Message::ReadResponse { request, leases });
            }
            VoterAction::SetTimer { at } => {
                let generation = self.processes[member].generation;
                self.schedule_timer(member, at, ProcessEvent::VoterTimer { generation });
            }
            VoterAction::Notice(notice) => self.handle_notice(member, &notice),
            // The durable voter performs these actions itself.
            VoterAction::AppendRecord(_)
            | VoterAction::WriteSnapshot(_)
            | VoterAction::WriteIdentity(_) => {}
        }
    }

    fn handle_notice(&mut self, member: MemberIndex, notice: &Notice) {
        match notice {
            Notice::BecameLeader { term } => {
                self.outcome.elections += 1;
                let now = self.scheduler.now().as_micros() as u64;
                self.fingerprint.mix([member as u64, *term, now]);
                self.check_leader(member, *term);
            }
            Notice::RolledBack { .. } | Notice::InvalidData(_) => self.outcome.stopped_voters += 1,
            _ => {}
        }
    }

    /// Makes each voter that considers itself the leader replace a voter, as an operator would
    /// request.
    pub(super) fn replace_voter(&mut self, old: &Name, new: &Name) {
        for member in 0..self.network.members().len() {
            if self.processes[member].voter.is_leader() {
                self.handle_voter_event(
                    member,
                    VoterEvent::ReplaceVoter {
                        old: old.clone(),
                        new: new.clone(),
                    },
                );
            }
        }
    }

    fn check_leader(&mut self, member: MemberIndex, term: u64) {
        let last_token = self.processes[member].voter.last_token();
        let leader = ObservedLeader {
            member,
            term,
            last_token: last_token.unwrap_or(FencingToken(u64::MAX)),
        };
        let checked = self
            .invariants
            .record_leader(&leader, self.network.members());
        self.record(checked);
    }

    fn handle_client_event(&mut self, member: MemberIndex, event: ClientEvent) {
        let now = self.local_time(member);
        if let Some(actions) = self.processes[member].client.handle_event(now, event) {
            self.perform_client_actions(member, actions);
        }
    }

    fn perform_client_actions(&mut self, member: MemberIndex, actions: Vec<ClientAction>) {
        for action in actions {
            match action {
                ClientAction::Send {
                    to,
                    request,
                    command,
                } => {
                    self.send(member, &to, Message::Propose { request, command });
                }
                ClientAction::SetTimer { at } => {
                    let generation = self.processes[member].generation;
                    self.schedule_timer(member, at, ProcessEvent::ClientTimer { generation });
                }
                ClientAction::Acquired { lease, token } => self.handle_grant(member, lease, token),
                ClientAction::Lost { .. } | ClientAction::Rejected { .. } => {}
            }
        }
        self.check_capacity();
    }

    fn handle_grant(&mut self, member: MemberIndex, lease: Name, token: FencingToken) {
        self.outcome.grants += 1;
        let now = self.scheduler.now();
        self.fingerprint
            .mix([member as u64, token.0, now.as_micros() as u64]);
        self.check_grant(member, &lease, token);
        if !self.processes[member].client.is_active(&lease) {
            self.schedule_operation(Duration::ZERO, member, lease);
        }
    }

    fn schedule_operation(&mut self, delay: Duration, member: MemberIndex, lease: Name) {
        let generation = self.processes[member].generation;
        let event = SimulationEvent::Process(ProcessEvent::Operation { generation, lease });
        self.scheduler.schedule_in(delay, member, event);
    }

    /// Ends the operation in progress under a lease, or begins one if there is none.
    fn step_operation(&mut self, member: MemberIndex, lease: Name) {
        let now = self.local_time(member);
        let step = self.processes[member].client.step_operation(now, &lease);
        let delay = match step {
            Some(OperationStep::Ended { token }) => {
                let is_rejected = self.invariants.history.end(&lease, token).is_err();
                self.outcome.rejected_operations += u64::from(is_rejected);
                sample_idle_time(&mut self.rng)
            }
            Some(OperationStep::Began { token }) => {
                self.record_operation(&lease, token);
                let planned = self.plan.lease(&lease);
                let max_operation = planned.map_or(0.0, |planned| planned.max_operation);
                sample_operation_duration(&mut self.rng, max_operation)
            }
            Some(OperationStep::Released { actions }) => {
                self.perform_client_actions(member, actions);
                // The lease may have been acquired again since it was lost.
                REACQUIRE_DELAY
            }
            None => return,
        };
        self.schedule_operation(delay, member, lease);
    }

    fn record_operation(&mut self, lease: &Name, token: FencingToken) {
        let paused = self.processes.paused_operations(lease);
        match self.invariants.history.begin(lease, token, &paused) {
            Ok(()) => self.outcome.operations += 1,
            Err(OperationError::StaleToken) => self.outcome.rejected_operations += 1,
            Err(error @ OperationError::Overlap { .. }) => self.record(Err(Finding {
                invariant: LeaseInvariant::OperationsDoNotOverlap,
                details: format!("{lease}: an operation with token {token} begins: {error}"),
            })),
        }
    }

    /// Records the finding of a check.
    fn record(&mut self, checked: Result<(), Finding>) {
        self.outcome.record(self.scheduler.now(), checked);
    }

    fn capacity(&self, lease: &str) -> u32 {
        self.plan.lease(lease).map_or(0, |lease| lease.capacity)
    }

    fn check_grant(&mut self, owner: MemberIndex, lease: &Name, token: FencingToken) {
        let grant = ObservedGrant {
            owner,
            lease,
            token,
            capacity: self.capacity(lease),
        };
        let checked = self.invariants.record_grant(&grant);
        self.record(checked);
    }

    pub(super) fn check_capacity(&mut self) {
        let now = self.scheduler.now();
        for lease in &self.plan.leases {
            let holders = self.processes.count_holders(now, &lease.name);
            if holders > lease.capacity as usize {
                let details = format!(
                    "{holders} owners hold {}, which has a capacity of {}",
                    lease.name, lease.capacity
                );
                let invariant = LeaseInvariant::CapacityRespected;
                self.record(Err(Finding { invariant, details }));
            }
        }
    }

    pub(super) fn check_vacancy(&mut self) {
        let now = self.scheduler.now();
        let has_quorum = self.processes.count_voting() > self.voters.len() / 2;
        for (index, lease) in self.plan.leases.iter().enumerate() {
            let is_wanted = has_quorum && self.processes.is_wanted(lease);
            let is_vacant = is_wanted && self.processes.count_holders(now, &lease.name) == 0;
            let checked = self.vacancy.observe(now, index, lease, is_vacant);
            self.record(checked);
        }
    }
}
