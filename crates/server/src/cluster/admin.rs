//! Operators' commands, as the control socket hands them on.

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
        let result = match request {
            AdminRequest::Leases { lease } => {
                let lease = lease.map(Name::from);
                return self.submit(node, reply, |request| Message::ReadLeases {
                    request,
                    lease,
                });
            }
            AdminRequest::Revoke { lease, token } => {
                let command = Command::Revoke {
                    lease: lease.into(),
                    token: FencingToken(token),
                };
                return self.submit(node, reply, |request| Message::LeaseRequest {
                    request,
                    command,
                });
            }
            AdminRequest::Transfer { lease, token, to } => {
                let command = Command::Transfer {
                    lease: lease.into(),
                    token: FencingToken(token),
                    to: to.into(),
                };
                return self.submit(node, reply, |request| Message::LeaseRequest {
                    request,
                    command,
                });
            }
            AdminRequest::Members => Ok(AdminResponse::Members(list_members(node))),
            AdminRequest::Own => Ok(AdminResponse::Own(own_status(node))),
            AdminRequest::Acquire {
                lease,
                ttl_ms,
                capacity,
            } => {
                let spec = LeaseSpec {
                    ttl: Duration::from_millis(ttl_ms),
                    capacity,
                };
                acquire(node, &lease, spec, Duration::ZERO)
            }
            AdminRequest::Drain => match &self.drain {
                Some(drain) => acquire(node, drain.name(), drain.spec(), drain.max_step()),
                None => Err(AdminError::NoDrainLease),
            },
            AdminRequest::Release { lease } => {
                node.handle_lease_event(LeaseEvent::Release {
                    lease: lease.into(),
                });
                Ok(AdminResponse::DONE)
            }
            AdminRequest::ReplaceVoter { old, new } => {
                self.replace_voter(node, &old.into(), &new.into());
                Ok(AdminResponse::REQUESTED)
            }
        };
        let _ = reply.try_send(result);
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

    fn submit(
        &mut self,
        node: &LocalNode,
        reply: SyncSender<AdminResult>,
        message: impl FnOnce(RequestId) -> Message,
    ) {
        self.pending
            .submit(node.clock().now(), node.router(), reply, message);
    }

    /// Asks all voters; the leader carries it out.
    fn replace_voter(&self, node: &LocalNode, old: &Name, new: &Name) {
        for voter in self.pending.voters() {
            node.router().send(
                voter,
                Message::ReplaceVoter {
                    old: old.clone(),
                    new: new.clone(),
                },
            );
        }
    }
}

fn acquire(node: &mut LocalNode, lease: &str, spec: LeaseSpec, max_step: Duration) -> AdminResult {
    node.acquire_lease(lease, spec, max_step)?;
    Ok(AdminResponse::acquiring(lease))
}

fn own_status(node: &LocalNode) -> OwnStatus {
    OwnStatus {
        name: node.router().local_name().to_string(),
        wanted: node
            .leases()
            .iter()
            .map(|(name, status)| WantedLeaseRow::new(name, *status))
            .collect(),
        voter: node.voter().map(|voter| VoterRow::from(voter.status())),
        dropped_frames: node.router().dropped_frames(),
    }
}

fn list_members(node: &LocalNode) -> MemberList {
    let (now, membership) = (node.clock().now(), node.membership());
    let remote = membership
        .members()
        .map(|record| MemberRow::remote(now, &record));
    MemberList {
        members: std::iter::once(MemberRow::local(membership.local()))
            .chain(remote)
            .collect(),
        health_score: membership.health_score(),
        ignored_updates: membership.ignored_updates(),
    }
}
