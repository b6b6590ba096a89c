//! The simulated network between processes, and reads of who holds a lease.

use tulipgap_consensus::{Event as VoterEvent, PeerMessage};
use tulipgap_leases::{
    Command, Event as ClientEvent, FencingToken, Incarnation, Lease, Name, RequestId, Response,
};

use super::{LeaseInvariant, LeaseSimulation, ProcessEvent, READ_INTERVAL, SimulationEvent};
use crate::plan::MemberIndex;

/// Reads that wait for a response, at most; older ones are forgotten.
const MAX_PENDING_READS: usize = 1000;

/// A message from one process to another.
#[derive(Clone, Debug)]
pub(super) enum Message {
    Peer(PeerMessage),
    Propose {
        request: RequestId,
        command: Command,
    },
    Response {
        incarnation: Incarnation,
        request: RequestId,
        response: Response,
    },
    NotLeader {
        request: RequestId,
        leader: Option<Name>,
    },
    SlotAvailable {
        lease: Name,
    },
    Read {
        request: RequestId,
        lease: Name,
    },
    ReadResponse {
        request: RequestId,
        leases: Vec<(Name, Lease)>,
    },
}

/// A read that waits for its response.
pub(super) struct PendingRead {
    lease: Name,
    /// The newest token that an owner was notified of before the read.
    newest_token: FencingToken,
}

impl LeaseSimulation<'_> {
    pub(super) fn send(&mut self, from: MemberIndex, to: &Name, message: Message) {
        let Some(to) = self
            .processes
            .iter()
            .position(|process| process.name == *to)
        else {
            return;
        };
        self.outcome.messages += 1;
        let now = self.scheduler.now().as_secs_f64();
        let (from_member, to_member) = (&self.members[from], &self.members[to]);
        for transit in self
            .plan
            .draw_transits(now, from_member, to_member, &mut self.rng)
        {
            let event = ProcessEvent::Deliver {
                from,
                message: message.clone(),
            };
            self.scheduler
                .schedule_in(transit, to, SimulationEvent::Process(event));
        }
    }

    pub(super) fn deliver(&mut self, to: MemberIndex, from: MemberIndex, message: Message) {
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
            Message::ReadResponse { request, leases } => self.check_read(request, &leases),
        }
    }

    /// A random member asks every voter who holds the first lease of the plan, if its capacity is
    /// 1. Only a voter that has confirmed that it leads may answer.
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
        let reader = self.rng.usize(0..self.members.len());
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
        while self.pending_reads.len() > MAX_PENDING_READS {
            self.pending_reads.pop_first();
        }
    }

    fn check_read(&mut self, request: RequestId, leases: &[(Name, Lease)]) {
        let Some(PendingRead {
            lease,
            newest_token,
        }) = self.pending_reads.remove(&request)
        else {
            return;
        };
        let found = leases.iter().find(|(name, _)| *name == lease);
        let Some(holder) = found.and_then(|(_, lease)| lease.holders.last()) else {
            return;
        };
        if holder.token < newest_token {
            let token = holder.token;
            let details =
                format!("{lease}: {token} is read, {newest_token} had been granted before");
            self.violate(LeaseInvariant::ReadsAreLinearizable, details);
        }
    }
}
