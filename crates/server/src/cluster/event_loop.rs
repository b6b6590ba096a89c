//! The event loop of the cluster: it takes the [`Input`]s of other threads, and routes each to the
//! local node, its voter or the operators' commands.
//!
//! Only its thread calls [`LocalNode`] and [`Admin`], and it never waits for the disk or for a
//! peer. If it does not keep up, its queue fills: datagrams are dropped, streams of peers are no
//! longer read, and an operator's command waits and then fails with "no answer".

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::mpsc::{Receiver, SyncSender};
use std::time::Duration;

use tulipgap_consensus::Event as VoterEvent;
use tulipgap_leases::{Command, Event as LeaseEvent, Incarnation, Name, RequestId, Response};
use tulipgap_membership::{Event as MembershipEvent, Message as MemberMessage};
use tulipgap_peer_protocol::{Envelope, Message};

use super::admin::Admin;
use super::input::Input;
use super::local_node::LocalNode;
use super::pending_requests::PendingRequests;
use super::threads::receive_batch;

/// How long a shutdown waits for a transfer of the leadership to begin.
const LEADERSHIP_TRANSFER_PAUSE: Duration = Duration::from_millis(150);

/// The event loop. Its thread owns the state of the cluster, except the voter, which has a separate
/// thread, and the lease client, which it shares with tasks.
pub(crate) struct EventLoop {
    node: LocalNode,
    admin: Admin,
}

impl EventLoop {
    /// An event loop that owns `node` and `admin`.
    pub(crate) fn new(node: LocalNode, admin: Admin) -> Self {
        EventLoop { node, admin }
    }

    /// Joins the cluster, and runs until a shutdown.
    pub(crate) fn run(mut self, inputs: &Receiver<Input>) {
        self.node.handle_membership_event(MembershipEvent::Started);
        while let Some(batch) =
            receive_batch(inputs, self.node.clock().wait_until(self.next_timer_at()))
        {
            for input in batch {
                if self.handle_input(input).is_break() {
                    return;
                }
            }
            self.handle_timers();
        }
    }

    fn next_timer_at(&self) -> Option<Duration> {
        [self.node.next_timer_at(), self.admin.next_attempt_at()]
            .into_iter()
            .flatten()
            .min()
    }

    fn handle_timers(&mut self) {
        let now = self.node.clock().now();
        self.node.handle_timers(now);
        self.admin.retry_due(&self.node, now);
    }

    /// Handles an input. Breaks after a shutdown.
    fn handle_input(&mut self, input: Input) -> ControlFlow<()> {
        match input {
            Input::Received(envelope) => self.handle_envelope(envelope),
            Input::LeaseActions(actions) => self.node.carry_out_lease_actions(actions),
            Input::Admin { request, reply } => {
                self.admin.handle_request(&mut self.node, request, reply)
            }
            Input::ReadMetadata { key, reply } => _ = reply.try_send(self.node.read_metadata(key)),
            Input::PublishMetadata { key, value } => {
                let key = key.into();
                self.node
                    .handle_membership_event(MembershipEvent::SetMetadata { key, value });
            }
            Input::TransferLeadership => self.node.send_to_voter(VoterEvent::TransferLeadership),
            Input::Shutdown(done) => {
                self.shut_down(&done);
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }

    /// Routes a message from another process, or from this process to itself.
    fn handle_envelope(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            address,
            message,
            ..
        } = envelope;
        self.node.router().learn_address(&from, address);
        match message {
            Message::Member(message) => self.handle_member_message(&from, address, message),
            Message::Voter(message) => self
                .node
                .send_to_voter(VoterEvent::PeerMessage { from, message }),
            Message::LeaseRequest { request, command } => {
                self.handle_lease_request(from, request, command);
            }
            Message::ReadLeases { request, lease } => self.read_leases(from, request, lease),
            Message::ReplaceVoter { old, new } => self
                .node
                .send_to_voter(VoterEvent::ReplaceVoter { old, new }),
            Message::LeaseResponse {
                incarnation,
                request,
                response,
            } => self.handle_lease_response(incarnation, request, response),
            Message::NotLeader { request, leader } => self.handle_not_leader(request, leader),
            Message::SlotAvailable { lease } => self
                .node
                .handle_lease_event(LeaseEvent::SlotAvailable { lease }),
            Message::LeaseList { request, leases } => {
                self.admin.handle_lease_list(request, &leases);
            }
        }
    }

    /// Handles a message of the membership protocol. A message in the name of a member that did not
    /// send its frame is ignored, so that a faulty process cannot impersonate a healthy one.
    fn handle_member_message(&mut self, from: &Name, address: SocketAddr, message: MemberMessage) {
        if message.from == *from {
            self.node
                .handle_membership_event(MembershipEvent::Received {
                    from: address,
                    message,
                });
        }
    }

    /// Passes a read of leases to the voter of this process, if it has one.
    fn read_leases(&self, from: Name, request: RequestId, lease: Option<Name>) {
        self.node.send_to_voter(VoterEvent::Read {
            from,
            request,
            lease,
        });
    }

    /// Handles the response to an operator's command, or to a request of the lease client.
    fn handle_lease_response(
        &mut self,
        incarnation: Incarnation,
        request: RequestId,
        response: Response,
    ) {
        if PendingRequests::is_operator_request(request) {
            self.admin.handle_response(request, response);
        } else {
            self.node.handle_lease_event(LeaseEvent::Response {
                incarnation,
                request,
                response,
            });
        }
    }

    /// Handles the rejection of an operator's command, or of a request of the lease client, by a
    /// voter that does not lead.
    fn handle_not_leader(&mut self, request: RequestId, leader: Option<Name>) {
        if PendingRequests::is_operator_request(request) {
            self.admin
                .handle_not_leader(&self.node, request, leader.as_ref());
        } else {
            self.node
                .handle_lease_event(LeaseEvent::NotLeader { request, leader });
        }
    }

    /// Handles a request to change a lease. A process without a voter answers that it does not
    /// lead, so that the sender tries the next voter at once.
    fn handle_lease_request(&mut self, from: Name, request: RequestId, command: Command) {
        if !may_send(&from, &command) {
            return;
        }
        if self.node.voter().is_some() {
            self.node.send_to_voter(VoterEvent::Propose {
                from,
                request,
                command,
            });
        } else {
            self.node.router().send(
                &from,
                Message::NotLeader {
                    request,
                    leader: None,
                },
            );
        }
    }

    /// Releases all leases, transfers the leadership and leaves the cluster, because the process is
    /// about to end. All guards become stale, so tasks begin no further operation under a lease. A
    /// lease with a guard keeps its slot until its TTL ends.
    fn shut_down(&mut self, done: &SyncSender<()>) {
        for (lease, _) in self.node.leases() {
            self.node.handle_lease_event(LeaseEvent::Release { lease });
        }
        self.node.send_to_voter(VoterEvent::TransferLeadership);
        std::thread::sleep(LEADERSHIP_TRANSFER_PAUSE);
        self.node.handle_membership_event(MembershipEvent::Leave);
        let _ = done.try_send(());
    }
}

/// Whether a process may send a command. An owner may acquire and release only for itself, any
/// process may pass on an operator's command, and only the leader itself proposes expiries.
fn may_send(from: &Name, command: &Command) -> bool {
    match command {
        Command::Acquire { owner, .. } | Command::Release { owner, .. } => owner.name == *from,
        Command::Expire { .. } => false,
        Command::Revoke { .. } | Command::Transfer { .. } => true,
    }
}
