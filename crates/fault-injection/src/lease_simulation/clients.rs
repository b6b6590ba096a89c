//! The lease clients' state machines, and the operations that their processes carry out under
//! leases.

use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

use tulipgap_leases::{Action, Event, FencingToken, Name};

use super::network::Message;
use super::processes::ActiveLease;
use super::{LeaseInvariant, LeaseSimulation, ProcessEvent, SimulationEvent};
use crate::history_checker::OperationError;
use crate::plan::MemberIndex;

/// How long a process rests between two operations under a lease, in seconds.
const REST_SECONDS: Range<f64> = 0.01..0.05;
/// How long an operation takes, as a fraction of the longest that it may take.
const OPERATION_FRACTION: Range<f64> = 0.4..0.95;
/// How long after a lease ended its process checks whether it holds the lease again.
const REACQUIRE_DELAY: Duration = Duration::from_millis(10);

fn draw(rng: &mut fastrand::Rng, range: Range<f64>) -> f64 {
    range.start + (range.end - range.start) * rng.f64()
}

impl LeaseSimulation<'_> {
    pub(super) fn handle_client_event(&mut self, member: MemberIndex, event: Event) {
        let now = self.local_time(member);
        let Some(client) = &mut self.processes[member].client else {
            return;
        };
        let actions = client.handle_event(now, event);
        self.perform_client_actions(member, actions);
    }

    fn perform_client_actions(&mut self, member: MemberIndex, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    to,
                    request,
                    command,
                } => {
                    self.send(member, &to, Message::Propose { request, command });
                }
                Action::SetTimer { at } => {
                    let generation = self.processes[member].generation;
                    self.schedule_timer(member, at, ProcessEvent::ClientTimer { generation });
                }
                Action::Acquired { lease, token } => self.handle_grant(member, lease, token),
                Action::Lost { .. } | Action::Rejected { .. } => {}
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
        if !self.processes[member].active_leases.contains_key(&lease) {
            self.schedule_operation(Duration::ZERO, member, lease);
        }
    }

    fn schedule_operation(&mut self, delay: Duration, member: MemberIndex, lease: Name) {
        let generation = self.processes[member].generation;
        let event = SimulationEvent::Process(ProcessEvent::Operation { generation, lease });
        self.scheduler.schedule_in(delay, member, event);
    }

    /// Ends the operation under a lease if one is under way, and begins one otherwise.
    pub(super) fn begin_or_end_operation(&mut self, member: MemberIndex, lease: Name) {
        let now = self.local_time(member);
        let process = &mut self.processes[member];
        let Some(client) = &mut process.client else {
            return;
        };
        let active = match process.active_leases.remove(&lease) {
            Some(active) => active,
            None => match client.acquire_guard(now, &lease) {
                Ok(guard) => ActiveLease {
                    guard,
                    operation: None,
                },
                Err(_) => return,
            },
        };
        match active.operation {
            Some(token) => self.end_operation(member, lease, active, token),
            None => self.begin_operation(member, lease, active),
        }
    }

    fn end_operation(
        &mut self,
        member: MemberIndex,
        lease: Name,
        active: ActiveLease,
        token: FencingToken,
    ) {
        let is_rejected = self.invariants.history.end(&lease, token).is_err();
        self.outcome.rejected_operations += u64::from(is_rejected);
        let active = ActiveLease {
            operation: None,
            ..active
        };
        self.processes[member]
            .active_leases
            .insert(lease.clone(), active);
        let rest = Duration::from_secs_f64(draw(&mut self.rng, REST_SECONDS));
        self.schedule_operation(rest, member, lease);
    }

    fn begin_operation(&mut self, member: MemberIndex, lease: Name, active: ActiveLease) {
        let now = self.local_time(member);
        let process = &mut self.processes[member];
        let Some(client) = &mut process.client else {
            return;
        };
        let Ok(token) = client.check_guard(now, &active.guard) else {
            let actions = client.release_guard(now, active.guard);
            self.perform_client_actions(member, actions);
            // It may have been lost and acquired again meanwhile.
            return self.schedule_operation(REACQUIRE_DELAY, member, lease);
        };
        process.active_leases.insert(
            lease.clone(),
            ActiveLease {
                operation: Some(token),
                ..active
            },
        );
        let paused = self.paused_operations(&lease);
        match self.invariants.history.begin(&lease, token, &paused) {
            Ok(()) => self.outcome.operations += 1,
            Err(OperationError::StaleToken) => self.outcome.rejected_operations += 1,
            Err(error @ OperationError::Overlap { .. }) => {
                let details = format!("{lease}: an operation with token {token} begins: {error}");
                self.violate(LeaseInvariant::OperationsDoNotOverlap, details);
            }
        }
        let max_operation = self
            .plan
            .lease(&lease)
            .map_or(0.0, |lease| lease.max_operation);
        let duration =
            Duration::from_secs_f64(max_operation * draw(&mut self.rng, OPERATION_FRACTION));
        self.schedule_operation(duration, member, lease);
    }

    /// The tokens of operations of paused processes: nothing but the token keeps those from doing
    /// harm when they resume.
    fn paused_operations(&self, lease: &Name) -> BTreeSet<FencingToken> {
        let paused = self.processes.iter().filter(|process| process.is_paused);
        paused
            .filter_map(|process| process.active_leases.get(lease)?.operation)
            .collect()
    }
}
