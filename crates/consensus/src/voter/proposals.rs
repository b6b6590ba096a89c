//! Commands as log entries, which the leader proposes and every voter applies once committed.

use serde::{Deserialize, Serialize};
use tulipgap_leases::{Command, LeaseStateMachine, Name, RequestId};

use crate::event::Action;

/// A command and the process to respond to. A log entry is a list of proposals, serialized by
/// position.
#[derive(Serialize, Deserialize)]
pub(super) struct Proposal {
    /// The process that gets the response. Empty if the leader itself proposes the command.
    pub(super) from: Name,
    pub(super) request: RequestId,
    pub(super) command: Command,
}

impl Proposal {
    /// A proposal of the leader itself to expire an owner whose TTL has ended.
    pub(super) fn expiration(command: Command) -> Self {
        Proposal {
            from: "".into(),
            request: RequestId::default(),
            command,
        }
    }

    /// Rejects the proposal. `leader` is the voter to send it to instead, if known.
    pub(super) fn reject(self, leader: Option<Name>) -> Action {
        Action::RejectNotLeader {
            to: self.from,
            request: self.request,
            leader,
        }
    }
}

/// Encodes these proposals as one log entry.
pub(super) fn encode_entry(proposals: &[Proposal]) -> Vec<u8> {
    postcard::to_stdvec(proposals).unwrap_or_default()
}

/// Decodes the proposals of a log entry; `None` if it can't be decoded.
pub(super) fn decode_entry(data: &[u8]) -> Option<Vec<Proposal>> {
    postcard::from_bytes(data).ok()
}

/// Notifications after a command was applied, to the queued owners that would now be granted a
/// slot. None follow an `Acquire`, which frees no slot.
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
