//! What other threads hand to the event loop.

use std::sync::mpsc::SyncSender;

use tulipgap_leases::{Action, Name};
use tulipgap_peer_protocol::Envelope;

use super::control_protocol::{AdminRequest, AdminResult};

/// Inputs that may wait for the event loop, or events for the voter.
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
    /// What follows from a call of a lease's task, to be carried out.
    LeaseActions(Vec<Action>),
    /// An operator's command.
    Admin {
        /// The command.
        request: AdminRequest,
        /// Where the result goes.
        reply: SyncSender<AdminResult>,
    },
    /// Reads what the other live members of this zone publish under a key.
    ReadMetadata {
        /// The key.
        key: &'static str,
        /// Where the values go.
        reply: SyncSender<Vec<PublishedValue>>,
    },
    /// Publishes an entry of this process's metadata, or removes it.
    PublishMetadata {
        /// The key.
        key: &'static str,
        /// The value, or nothing to remove it.
        value: Option<String>,
    },
    /// Another voter is to lead, where this one does.
    TransferLeadership,
    /// Leave the cluster and end the loop. The sender is notified once the messages to the other
    /// members are queued.
    Shutdown(SyncSender<()>),
}
