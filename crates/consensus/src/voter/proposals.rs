//! Commands as entries of the log: proposed by the leader, and applied by all once committed.

use serde::{Deserialize, Serialize};
use tulipgap_leases::{Command, LeaseStateMachine, Name, RequestId};

use crate::event::Action;

/// A command and whom to respond to. An entry of the log is a list of them, serialized by position.
#[derive(Serialize, Deserialize)]
pub(super) struct Proposal {
    /// Empty where the leader itself proposes.
    pub(super) from: Name,
    pub(super) request: RequestId,
    pub(super) command: Command,
}

impl Proposal {
    /// The leader's own proposal that an owner's TTL is over.
    pub(super) fn expiration(command: Command) -> Self {
        Proposal {
            from: "".into(),
            request: RequestId::default(),
            command,
        }
    }

    /// Rejects the proposal; `leader` is whom to ask instead, where that is known.
    pub(super) fn reject(self, leader: Option<Name>) -> Action {
        Action::RejectNotLeader {
            to: self.from,
            request: self.request,
            leader,
        }
    }
}

/// One entry of the log with all of these proposals.
pub(super) fn encode_entry(proposals: &[Proposal]) -> Vec<u8> {
    postcard::to_stdvec(proposals).unwrap_or_default()
}

/// The proposals of an entry; `None` where it is not one of these.
pub(super) fn decode_entry(data: &[u8]) -> Option<Vec<Proposal>> {
    postcard::from_bytes(data).ok()
}

/// Who is notified that a slot is free for it, after a command was applied: whoever would be
/// granted one now. An owner that acquired a slot freed none for others.
pub(super) fn slot_notifications(
    leases: &LeaseStateMachine,
    applied: &Command,
) -> impl Iterator<Item = Action> {
    let lease = applied.lease();
    let may_free_a_slot = !matches!(applied, Command::Acquire { .. });
    let next_owners = may_free_a_slot.then(|| leases.next_owners(lease));
    next_owners
        .into_iter()
        .flatten()
        .map(|owner| Action::NotifySlotAvailable {
            to: owner.name.clone(),
            lease: lease.clone(),
        })
}
