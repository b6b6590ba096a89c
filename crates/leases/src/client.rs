//! The client of one process: it requests leases from the voters, renews them in time, and issues
//! guards.
//!
//! The client counts a TTL from the sending of its request, by this process's own clock, and
//! shortens it by the maximum clock drift. A lease therefore ends at its client before the voters
//! grant the slot to another owner.
//!
//! [`LeaseClient`] routes events to its components and turns their decisions into actions.
//! [`WantedLease`] stores the status of a lease and decides which grants it accepts,
//! [`RenewalSchedule`] computes request times, [`LeaderHint`] selects the voter, and
//! [`ReleasedTokens`] records the released tokens. The module `guard` contains the guards.

mod event;
mod guard;
mod leader_hint;
mod released_tokens;
mod renewal;
#[cfg(test)]
mod tests;
mod wanted_lease;

use std::collections::BTreeMap;
use std::time::Duration;

pub use event::{Action, Config, Event, LossReason};
pub use guard::{LeaseGuard, StaleGuard};
pub use wanted_lease::LeaseStatus;

use crate::injected_bug::{BugSwitch, InjectedBug};
use crate::protocol::{
    Command, FencingToken, LeaseSpec, MAX_WANTED_LEASES, Name, Owner, RejectReason, RequestId,
    Response, is_valid_name,
};
use leader_hint::LeaderHint;
use released_tokens::ReleasedTokens;
use renewal::RenewalSchedule;
use wanted_lease::{Grant, GrantOutcome, PendingRequest, WantedLease};

/// Delay before a request is sent to the voter that a hint named as leader.
const FOLLOW_HINT_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of consecutive `NotLeader` responses whose hint is followed after
/// [`FOLLOW_HINT_DELAY`]. Without the limit, two voters that name each other as the leader would
/// make the client alternate between them without a longer pause.
const MAX_FOLLOWED_HINTS: u32 = 2;

/// The leases that one process requests or holds. The client owns their state and reports changes
/// to its host as actions.
///
/// Invariants: a guard is valid only between the request that was granted and the end of its TTL,
/// both by this process's clock; a released token is never accepted again; a lease is released only
/// when it has no outstanding guard.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    owner: Owner,
    /// The time of the latest event, by this process's clock.
    now: Duration,
    schedule: RenewalSchedule,
    leader_hint: LeaderHint,
    last_request: RequestId,
    leases: BTreeMap<Name, WantedLease>,
    released: ReleasedTokens,
    /// The time of the timer that the host was last asked to set, until it elapses.
    timer_at: Option<Duration>,
    bug: BugSwitch,
}

impl LeaseClient {
    /// Creates the client of `owner`. It asks `voters` in turn until one names the leader. `seed`
    /// determines the jitter.
    pub fn new(owner: Owner, voters: Vec<Name>, config: Config, seed: u64) -> Self {
        LeaseClient {
            owner,
            now: Duration::ZERO,
            schedule: RenewalSchedule::new(config, seed),
            leader_hint: LeaderHint::new(voters),
            last_request: RequestId::default(),
            leases: BTreeMap::new(),
            released: ReleasedTokens::default(),
            timer_at: None,
            bug: BugSwitch::default(),
        }
    }

    /// Injects a bug; `None` removes it.
    #[cfg(feature = "injected-bugs")]
    pub fn inject_bug(&mut self, bug: Option<InjectedBug>) {
        self.bug = BugSwitch::new(bug);
        self.schedule.inject_bug(bug);
    }

    /// The wanted leases and their status.
    pub fn leases(&self) -> impl Iterator<Item = (&Name, LeaseStatus)> {
        self.leases
            .iter()
            .map(|(name, wanted)| (name, wanted.status))
    }

    /// Handles an event. `now` is the reading of this process's clock; if the clock goes backwards,
    /// every lease is lost.
    pub fn handle_event(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.read_clock(now, &mut actions);
        match event {
            Event::Acquire {
                lease,
                spec,
                max_operation,
                wait,
            } => {
                self.add_wanted_lease(lease, spec, max_operation, wait, &mut actions);
            }
            Event::Release { lease } => self.handle_release(&lease, &mut actions),
            // A later leader may apply a request of an earlier run of this process, whose id may
            // equal one of this run.
            Event::Response { incarnation, .. } if incarnation != self.owner.incarnation => {}
            Event::Response {
                request, response, ..
            } => {
                self.handle_response(request, response, &mut actions);
            }
            Event::NotLeader { request, leader } => {
                self.handle_not_leader(request, leader.as_deref());
            }
            Event::SlotAvailable { lease } => self.handle_slot_available(&lease),
            Event::TimerElapsed => self.timer_at = self.timer_at.filter(|&at| at > self.now),
        }
        self.process_due_leases(&mut actions);
        actions
    }

    /// Records the reading of the clock. A clock that went backwards can't measure a TTL, so every
    /// grant ends.
    fn read_clock(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now < self.now {
            self.timer_at = None;
            for (lease, wanted) in &mut self.leases {
                wanted.pending.clear();
                wanted.next_request_at = now;
                let ended = wanted.drop_grant();
                report_ended(lease, ended, LossReason::ClockWentBackwards, actions);
            }
        }
        self.now = now;
    }

    fn handle_release(&mut self, lease: &Name, actions: &mut Vec<Action>) {
        if let Some(wanted) = self.leases.get_mut(lease) {
            wanted.is_released = true;
            self.end_lease(lease, LossReason::Released, actions);
        }
    }

    fn handle_slot_available(&mut self, lease: &Name) {
        if let Some(wanted) = self.leases.get_mut(lease)
            && matches!(wanted.status, LeaseStatus::Queued { .. })
        {
            wanted.next_request_at = self.now;
        }
    }

    /// Adds a lease that the host wants. A lease that is already wanted keeps its spec,
    /// `max_operation` and `wait`.
    fn add_wanted_lease(
        &mut self,
        lease: Name,
        spec: LeaseSpec,
        max_operation: Duration,
        wait: bool,
        actions: &mut Vec<Action>,
    ) {
        if let Err(reason) = self.check_wanted(&lease, spec, max_operation) {
            actions.push(Action::Rejected { lease, reason });
            return;
        }
        let now = self.now;
        let wanted = self
            .leases
            .entry(lease)
            .or_insert_with(|| WantedLease::new(spec, max_operation, wait, now));
        wanted.is_released = false;
    }

    fn check_wanted(
        &self,
        lease: &Name,
        spec: LeaseSpec,
        max_operation: Duration,
    ) -> Result<(), RejectReason> {
        if !is_valid_name(lease)
            || !spec.is_valid()
            || !self.schedule.allows_operation(spec.ttl, max_operation)
        {
            return Err(RejectReason::Invalid);
        }
        if self.leases.len() >= MAX_WANTED_LEASES && !self.leases.contains_key(lease) {
            return Err(RejectReason::TooManyWanted);
        }
        Ok(())
    }

    fn handle_response(
        &mut self,
        request: RequestId,
        response: Response,
        actions: &mut Vec<Action>,
    ) {
        // A response to a request that is no longer known is ignored, because the time at which the
        // request was sent is not known either.
        let Some((lease, sent_at)) = self.pending_request(request) else {
            return;
        };
        let Some(wanted) = self.leases.get_mut(&lease) else {
            return;
        };
        wanted.remove_requests_up_to(request);
        wanted.not_leader_responses = 0;
        let has_no_grant = wanted.has_no_grant();
        match response {
            Response::Granted { token } => self.handle_grant(&lease, sent_at, token, actions),
            Response::Queued { ahead } if has_no_grant => {
                wanted.status = LeaseStatus::Queued { ahead };
                self.poll_later(&lease);
            }
            Response::Rejected(RejectReason::Revoked)
                if wanted.status == LeaseStatus::Requested =>
            {
                self.poll_later(&lease);
            }
            Response::Rejected(RejectReason::Revoked) => {
                self.end_lease(&lease, LossReason::Revoked, actions)
            }
            Response::Rejected(reason) if has_no_grant => {
                actions.push(Action::Rejected {
                    lease: lease.clone(),
                    reason,
                });
                self.poll_later(&lease);
            }
            Response::Queued { .. } | Response::Rejected(_) | Response::Done => {}
        }
    }

    fn pending_request(&self, request: RequestId) -> Option<(Name, Duration)> {
        self.leases.iter().find_map(|(lease, wanted)| {
            let pending = wanted
                .pending
                .iter()
                .find(|pending| pending.id == request)?;
            Some((lease.clone(), pending.sent_at))
        })
    }

    fn handle_grant(
        &mut self,
        lease: &Name,
        sent_at: Duration,
        token: FencingToken,
        actions: &mut Vec<Action>,
    ) {
        let Some(wanted) = self.leases.get_mut(lease) else {
            return;
        };
        let counted_from = if self.bug.is_on(InjectedBug::TtlFromResponse) {
            self.now
        } else {
            sent_at
        };
        let usable_ttl = self.schedule.usable_ttl(wanted.spec.ttl);
        let valid_until = counted_from + usable_ttl.saturating_sub(wanted.max_operation);
        let accepts_released = self.bug.is_on(InjectedBug::ReusedReleasedToken);
        let grant = Grant {
            token,
            valid_until,
            was_released: token <= self.released.latest(lease) && !accepts_released,
        };
        match wanted.accept_grant(grant) {
            GrantOutcome::Ignored => return,
            GrantOutcome::ReleasedBefore => return self.release(lease, token, actions),
            GrantOutcome::Active { replaced } => {
                report_ended(lease, replaced, LossReason::Expired, actions);
            }
        }
        if wanted.announce(self.now, valid_until) {
            actions.push(Action::Acquired {
                lease: lease.clone(),
                token,
            });
        }
        let renew_at = self
            .schedule
            .renew_at(counted_from, wanted.spec.ttl)
            .max(self.now);
        wanted.next_request_at = renew_at + self.schedule.renewal_jitter(wanted.spec.ttl);
    }

    fn handle_not_leader(&mut self, request: RequestId, leader: Option<&str>) {
        let Some((lease, _)) = self.pending_request(request) else {
            return;
        };
        let Some(wanted) = self.leases.get_mut(&lease) else {
            return;
        };
        // The voter has responded, so the request must not count as timed out: the next request
        // would otherwise skip the voter that the hint selects.
        wanted.remove_requests_up_to(request);
        wanted.not_leader_responses += 1;
        let follows_at_once = wanted.not_leader_responses <= MAX_FOLLOWED_HINTS;
        if self.leader_hint.redirect(leader) && follows_at_once {
            wanted.next_request_at = self.now + self.schedule.with_jitter(FOLLOW_HINT_DELAY);
        }
    }

    /// Ends a lease: no guard is issued or valid any more. The client releases the slot when no
    /// guard is outstanding.
    fn end_lease(&mut self, lease: &Name, reason: LossReason, actions: &mut Vec<Action>) {
        let Some(wanted) = self.leases.get_mut(lease) else {
            return;
        };
        match wanted.status {
            LeaseStatus::Active { .. } => {
                let ended = wanted.begin_release();
                report_ended(lease, ended, reason, actions);
            }
            LeaseStatus::Queued { .. } if wanted.is_released => {
                self.leases.remove(lease);
                self.send_release(lease, None, actions);
            }
            LeaseStatus::Requested if wanted.is_released => _ = self.leases.remove(lease),
            LeaseStatus::Releasing { .. } | LeaseStatus::Requested | LeaseStatus::Queued { .. } => {
            }
        }
    }

    fn release(&mut self, lease: &Name, token: FencingToken, actions: &mut Vec<Action>) {
        self.released.insert(lease, token);
        self.send_release(lease, Some(token), actions);
    }

    fn send_release(
        &mut self,
        lease: &Name,
        token: Option<FencingToken>,
        actions: &mut Vec<Action>,
    ) {
        let command = Command::Release {
            lease: lease.clone(),
            owner: self.owner.clone(),
            token,
        };
        self.send(command, actions);
    }

    /// Sends a command to the presumed leader.
    fn send(&mut self, command: Command, actions: &mut Vec<Action>) -> RequestId {
        self.last_request.0 += 1;
        let request = self.last_request;
        if let Some(to) = self.leader_hint.target().cloned() {
            actions.push(Action::Send {
                to,
                request,
                command,
            });
        }
        request
    }

    /// Ends the leases that have expired, releases the slots of ended leases without outstanding
    /// guards, and sends the requests that are due.
    fn process_due_leases(&mut self, actions: &mut Vec<Action>) {
        let names: Vec<Name> = self.leases.keys().cloned().collect();
        for lease in &names {
            self.expire_if_due(lease, actions);
            let Some(wanted) = self.leases.get(lease) else {
                continue;
            };
            match wanted.status {
                LeaseStatus::Releasing { token } if wanted.guards == 0 => {
                    self.finish_release(lease, token, actions);
                }
                LeaseStatus::Releasing { .. } => {}
                LeaseStatus::Requested if wanted.is_released => _ = self.leases.remove(lease),
                _ if wanted.next_request_at <= self.now => self.request(lease, actions),
                _ => {}
            }
        }
        self.set_timer(actions);
    }

    /// Ends a lease that was not renewed in time. The client then requests it again, since the
    /// voters may still count it as held.
    fn expire_if_due(&mut self, lease: &Name, actions: &mut Vec<Action>) {
        let Some(wanted) = self.leases.get_mut(lease) else {
            return;
        };
        if wanted.has_expired(self.now) {
            let ended = wanted.drop_grant();
            report_ended(lease, ended, LossReason::Expired, actions);
        }
    }

    /// Releases the slot. If the host still wants the lease, because it was revoked or the host has
    /// requested it anew, the client requests it again later; with `wait`, it joins the end of the
    /// queue.
    fn finish_release(&mut self, lease: &Name, token: FencingToken, actions: &mut Vec<Action>) {
        let Some(wanted) = self.leases.remove(lease) else {
            return;
        };
        self.release(lease, token, actions);
        if !wanted.is_released {
            self.add_wanted_lease(
                lease.clone(),
                wanted.spec,
                wanted.max_operation,
                wanted.wait,
                actions,
            );
            self.poll_later(lease);
        }
    }

    /// Schedules the next request for a lease after a part of its TTL.
    fn poll_later(&mut self, lease: &Name) {
        if let Some(wanted) = self.leases.get_mut(lease) {
            wanted.next_request_at = self.now + self.schedule.queue_poll_interval(wanted.spec.ttl);
        }
    }

    /// Requests a lease or its renewal.
    fn request(&mut self, lease: &Name, actions: &mut Vec<Action>) {
        let Some(wanted) = self.leases.get(lease) else {
            return;
        };
        // An earlier request got no response in time, so the client asks another voter.
        if !wanted.pending.is_empty() {
            self.leader_hint.try_next();
        }
        let LeaseSpec { ttl, capacity } = wanted.spec;
        let command = Command::Acquire {
            lease: lease.clone(),
            owner: self.owner.clone(),
            ttl,
            capacity,
            wait: wanted.wait,
        };
        let id = self.send(command, actions);
        let retry_at = self.now + self.schedule.retry_interval(ttl);
        let Some(wanted) = self.leases.get_mut(lease) else {
            return;
        };
        wanted.add_pending(PendingRequest {
            id,
            sent_at: self.now,
        });
        wanted.next_request_at = retry_at;
    }

    /// Asks the host for a timer if a lease is due before the present timer.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let soonest = self.leases.values().filter_map(WantedLease::due_at).min();
        if let Some(at) = soonest.filter(|&at| self.timer_at.is_none_or(|timer_at| at < timer_at)) {
            self.timer_at = Some(at);
            actions.push(Action::SetTimer { at });
        }
    }
}

/// Reports the end of a grant to the host, if the grant was announced to it. `token` is the token
/// of an announced grant, and `None` if the grant was not announced or if there was none.
fn report_ended(
    lease: &Name,
    token: Option<FencingToken>,
    reason: LossReason,
    actions: &mut Vec<Action>,
) {
    actions.extend(token.map(|token| Action::Lost {
        lease: lease.clone(),
        token,
        reason,
    }));
}
