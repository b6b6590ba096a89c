//! Operators' commands, as the control socket hands them on.
//!
//! The event loop drives [`Admin`]. A command that concerns this process alone is answered at once;
//! one that changes or reads leases is sent to the voters and waits in [`PendingRequests`] for the
//! response of their leader. A command that fails shows as the [`AdminError`] of its reply, which
//! the control socket sends to the operator.

use std::sync::mpsc::SyncSender;
use std::time::Duration;

use tulipgap_leases::{
    Command, Event as LeaseEvent, FencingToken, Lease, LeaseSpec, Name, RequestId, Response,
};
use tulipgap_peer_protocol::Message;

use super::control_protocol::{
    AdminError, AdminRequest, AdminResponse, AdminResult, MemberList, MemberRow, OwnStatus,
    VoterRow, WantedLeaseRow,
};
use super::drain::DrainLease;
use super::local_node::LocalNode;
use super::pending_requests::PendingRequests;

/// Carries out operators' commands. It owns those that wait for the leader of the voters.
pub(crate) struct Admin {
    pending: PendingRequests,
    /// Where the configuration bounds how many processes drain.
    drain: Option<DrainLease>,
}

impl Admin {
    /// No commands so far; those about leases go to these voters.
    pub(crate) fn new(voters: Vec<Name>, drain: Option<DrainLease>) -> Self {
        Admin {
            pending: PendingRequests::new(voters),
            drain,
        }
    }

    /// Carries out a command. The result goes to `reply`, now or when a leader has responded.
    pub(crate) fn handle_request(
        &mut self,
        node: &mut LocalNode,
        request: AdminRequest,
        reply: SyncSender<AdminResult>,
    ) {
        match request {
            AdminRequest::Members => respond(&reply, Ok(list_members(node))),
            AdminRequest::Own => respond(&reply, Ok(own_status(node))),
            AdminRequest::Acquire {
                lease,
                ttl_ms,
                capacity,
            } => respond(&reply, acquire(node, &lease, lease_spec(ttl_ms, capacity))),
            AdminRequest::Drain => respond(&reply, self.acquire_drain_lease(node)),
            AdminRequest::Release { lease } => respond(&reply, release(node, lease.into())),
            AdminRequest::ReplaceVoter { old, new } => {
                respond(&reply, self.replace_voter(node, &old.into(), &new.into()));
            }
            AdminRequest::Leases { lease } => {
                self.read_leases(node, lease.map(Name::from), reply);
            }
            AdminRequest::Revoke { lease, token } => {
                self.submit_command(node, revocation(lease, token), reply);
            }
            AdminRequest::Transfer { lease, token, to } => {
                self.submit_command(node, transfer(lease, token, to), reply);
            }
        }
    }

    /// When [`retry_due`](Self::retry_due) is to be called next.
    pub(crate) fn next_attempt_at(&self) -> Option<Duration> {
        self.pending.next_attempt_at()
    }

    /// Sends the commands again whose next attempt is due.
    pub(crate) fn retry_due(&mut self, node: &LocalNode, now: Duration) {
        self.pending.retry_due(now, node.router());
    }

    /// A leader has applied a command.
    pub(crate) fn handle_response(&mut self, request: RequestId, response: Response) {
        let result = match response {
            Response::Rejected(reason) => Err(AdminError::Rejected(reason)),
            Response::Granted { .. } | Response::Queued { .. } | Response::Done => {
                Ok(AdminResponse::DONE)
            }
        };
        self.pending.complete(request, result);
    }

    /// A leader has read leases.
    pub(crate) fn handle_lease_list(&mut self, request: RequestId, leases: &[(Name, Lease)]) {
        self.pending
            .complete(request, Ok(AdminResponse::leases(leases)));
    }

    /// A voter that does not lead has rejected a command. Where it knows no leader, the next
    /// attempt is made when it is due.
    pub(crate) fn handle_not_leader(
        &mut self,
        node: &LocalNode,
        request: RequestId,
        leader: Option<&Name>,
    ) {
        if let Some(leader) = leader {
            self.pending
                .redirect(node.clock().now(), node.router(), request, leader);
        }
    }

    /// Acquires the drain lease of this process's zone.
    fn acquire_drain_lease(&self, node: &mut LocalNode) -> AdminResult {
        let drain = self.drain.as_ref().ok_or(AdminError::NoDrainLease)?;
        acquire_lease(node, drain.name(), drain.spec(), drain.max_step())
    }

    /// Asks all voters; the leader carries it out.
    fn replace_voter(&self, node: &LocalNode, old: &Name, new: &Name) -> AdminResult {
        for voter in self.pending.voters() {
            node.router().send(
                voter,
                Message::ReplaceVoter {
                    old: old.clone(),
                    new: new.clone(),
                },
            );
        }
        Ok(AdminResponse::REQUESTED)
    }

    /// Has the leader read one lease, or all.
    fn read_leases(
        &mut self,
        node: &LocalNode,
        lease: Option<Name>,
        reply: SyncSender<AdminResult>,
    ) {
        self.submit(node, reply, |request| Message::ReadLeases {
            request,
            lease,
        });
    }

    /// Has the leader apply a command.
    fn submit_command(
        &mut self,
        node: &LocalNode,
        command: Command,
        reply: SyncSender<AdminResult>,
    ) {
        self.submit(node, reply, |request| Message::LeaseRequest {
            request,
            command,
        });
    }

    fn submit(
        &mut self,
        node: &LocalNode,
        reply: SyncSender<AdminResult>,
        message: impl FnOnce(RequestId) -> Message,
    ) {
        self.pending
            .submit(node.clock().now(), node.router(), reply, message);
    }
}

/// Sends the result of a command that waits for no leader. An operator who has gone misses it.
fn respond(reply: &SyncSender<AdminResult>, result: AdminResult) {
    let _ = reply.try_send(result);
}

fn lease_spec(ttl_ms: u64, capacity: u32) -> LeaseSpec {
    LeaseSpec {
        ttl: Duration::from_millis(ttl_ms),
        capacity,
    }
}

fn revocation(lease: String, token: u64) -> Command {
    Command::Revoke {
        lease: lease.into(),
        token: FencingToken(token),
    }
}

fn transfer(lease: String, token: u64, to: String) -> Command {
    Command::Transfer {
        lease: lease.into(),
        token: FencingToken(token),
        to: to.into(),
    }
}

/// Acquires a lease under which this process takes no steps.
fn acquire(node: &mut LocalNode, lease: &str, spec: LeaseSpec) -> AdminResult {
    acquire_lease(node, lease, spec, Duration::ZERO)
}

fn acquire_lease(
    node: &mut LocalNode,
    lease: &str,
    spec: LeaseSpec,
    max_step: Duration,
) -> AdminResult {
    node.acquire_lease(lease, spec, max_step)?;
    Ok(AdminResponse::acquiring(lease))
}

fn release(node: &mut LocalNode, lease: Name) -> AdminResult {
    node.handle_lease_event(LeaseEvent::Release { lease });
    Ok(AdminResponse::DONE)
}

/// The leases of this process, and its voter.
fn own_status(node: &LocalNode) -> AdminResponse {
    AdminResponse::Own(OwnStatus {
        name: node.router().local_name().to_string(),
        wanted: node
            .leases()
            .iter()
            .map(|(name, status)| WantedLeaseRow::new(name, *status))
            .collect(),
        voter: node.voter().map(|voter| VoterRow::from(voter.status())),
        dropped_frames: node.router().dropped_frames(),
    })
}

/// The members of the cluster, this process first.
fn list_members(node: &LocalNode) -> AdminResponse {
    let (now, membership) = (node.clock().now(), node.membership());
    let remote = membership
        .members()
        .map(|record| MemberRow::remote(now, &record));
    AdminResponse::Members(MemberList {
        members: std::iter::once(MemberRow::local(membership.local()))
            .chain(remote)
            .collect(),
        health_score: membership.health_score(),
        ignored_updates: membership.ignored_updates(),
    })
}
