//! Carries out the operators' commands that the control socket receives.
//!
//! The event loop calls [`Admin`]. A command that concerns only this process is answered at once; a
//! command that reads, revokes or transfers leases is sent to the voters and waits in
//! [`PendingRequests`] for the response of their leader. The reply to a failed command is an
//! [`AdminError`], which the control socket sends to the operator.

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

/// Carries out operators' commands. It owns the commands that wait for the leader of the voters.
pub(crate) struct Admin {
    pending: PendingRequests,
    /// Present if the configuration bounds how many processes drain.
    drain: Option<DrainLease>,
}

impl Admin {
    /// An instance without waiting commands. Commands for the leader are sent to `voters`.
    pub(crate) fn new(voters: Vec<Name>, drain: Option<DrainLease>) -> Self {
        Admin {
            pending: PendingRequests::new(voters),
            drain,
        }
    }

    /// Carries out a command. The result is sent to `reply`: at once, or when a leader has
    /// responded or the command has expired.
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

    /// When [`retry_due`](Self::retry_due) is due next.
    pub(crate) fn next_attempt_at(&self) -> Option<Duration> {
        self.pending.next_attempt_at()
    }

    /// Retries the commands whose next attempt is due.
    pub(crate) fn retry_due(&mut self, node: &LocalNode, now: Duration) {
        self.pending.retry_due(now, node.router());
    }

    /// Completes a command with the response of a leader.
    pub(crate) fn handle_response(&mut self, request: RequestId, response: Response) {
        let result = match response {
            Response::Rejected(reason) => Err(AdminError::Rejected(reason)),
            Response::Granted { .. } | Response::Queued { .. } | Response::Done => {
                Ok(AdminResponse::DONE)
            }
        };
        self.pending.complete(request, result);
    }

    /// Completes a read of leases with the response of a leader.
    pub(crate) fn handle_lease_list(&mut self, request: RequestId, leases: &[(Name, Lease)]) {
        self.pending
            .complete(request, Ok(AdminResponse::leases(leases)));
    }

    /// Handles the rejection of a command by a voter that does not lead. The command is redirected
    /// to the leader that the voter reports; if it reports none, the command waits for its next
    /// attempt.
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
        acquire_lease(node, drain.name(), drain.spec(), drain.max_operation())
    }

    /// Sends the request to all voters; the leader carries it out.
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

    /// Requests a read of one lease, or of all, from the leader.
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

    /// Requests that the leader applies a command.
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

/// Sends the result of a command that does not wait for a leader. The result is dropped if the
/// control socket no longer waits for it.
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

/// Acquires a lease under which this process carries out no operations.
fn acquire(node: &mut LocalNode, lease: &str, spec: LeaseSpec) -> AdminResult {
    acquire_lease(node, lease, spec, Duration::ZERO)
}

fn acquire_lease(
    node: &mut LocalNode,
    lease: &str,
    spec: LeaseSpec,
    max_operation: Duration,
) -> AdminResult {
    node.acquire_lease(lease, spec, max_operation)?;
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
