//! The simulated network between processes: which messages there are, and when each copy of one
//! arrives.

use std::time::Duration;

use tulipgap_consensus::PeerMessage;
use tulipgap_leases::{Command, Incarnation, Lease, Name, RequestId, Response};

use crate::plan::{Member, MemberIndex, Plan};

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

/// The links between the members. Owns the count of messages; the scheduler has those in flight.
pub(super) struct Network<'a> {
    plan: &'a Plan,
    members: Vec<Member>,
    messages: u64,
}

impl<'a> Network<'a> {
    pub(super) fn new(plan: &'a Plan) -> Self {
        Network {
            plan,
            members: plan.members(),
            messages: 0,
        }
    }

    /// Messages sent to members of the plan.
    pub(super) fn messages(&self) -> u64 {
        self.messages
    }

    pub(super) fn index_of(&self, name: &str) -> Option<MemberIndex> {
        self.members.iter().position(|member| member.name == name)
    }

    /// Counts a message, and draws how long each copy of it that arrives takes.
    pub(super) fn draw_transits(
        &mut self,
        now: Duration,
        from: MemberIndex,
        to: MemberIndex,
        rng: &mut fastrand::Rng,
    ) -> Vec<Duration> {
        self.messages += 1;
        let (from, to) = (&self.members[from], &self.members[to]);
        self.plan
            .draw_transits(now.as_secs_f64(), from, to, rng)
            .collect()
    }
}
