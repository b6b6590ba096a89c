//! The inputs that other threads send to the event loop.

use std::sync::mpsc::SyncSender;

use tulipgap_leases::{Action, Name};
use tulipgap_peer_protocol::Envelope;

use super::control_protocol::{AdminRequest, AdminResult};

/// The capacity of the event loop's queue of inputs, of the queue of received envelopes, and of the
/// voter's queue of events.
pub(crate) const MAX_QUEUED_INPUTS: usize = 4096;

/// An entry of the metadata that a member publishes.
pub(crate) struct PublishedValue {
    /// The member.
    pub(crate) member: Name,
    /// The value.
    pub(crate) value: String,
}

/// An input of the event loop.
pub(crate) enum Input {
    /// A message from another process, or from this one to itself.
    Received(Envelope),
    /// Actions of the lease client that follow from a call of a task.
    LeaseActions(Vec<Action>),
    /// An operator's command.
    Admin {
        /// The command.
        request: AdminRequest,
        /// Receives the result.
        reply: SyncSender<AdminResult>,
    },
    /// Reads the values that the other live members of this zone publish under a key.
    ReadMetadata {
        /// The key.
        key: &'static str,
        /// Receives the values.
        reply: SyncSender<Vec<PublishedValue>>,
    },
    /// Publishes an entry of this process's metadata, or removes the entry.
    PublishMetadata {
        /// The key.
        key: &'static str,
        /// The value; `None` removes the entry.
        value: Option<String>,
    },
    /// Transfers the leadership to another voter, if the voter of this process leads.
    TransferLeadership,
    /// Leaves the cluster and ends the loop. The event loop sends `()` to the given sender after it
    /// has sent or queued its messages to the other members.
    Shutdown(SyncSender<()>),
}
