//! Input events and output actions of the membership state machine.

use std::net::SocketAddr;
use std::time::Duration;

use crate::message::{MemberState, Message};
use crate::metadata::MetadataError;
use crate::node::NodeName;

/// An input of the state machine, passed to
/// [`Membership::handle_events`](crate::Membership::handle_events).
#[derive(Clone, Debug)]
pub enum Event {
    /// The process has started; the first event.
    Started,
    /// A message has arrived.
    Received {
        /// The address of the sender, to which answers are sent.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The time of the last [`Action::SetTimer`] has been reached.
    TimerExpired,
    /// The process is about to terminate and leaves the cluster. Later events have no effect.
    Leave,
    /// The host publishes an entry of this node's metadata.
    SetMetadata {
        /// The key, 1 to [`MAX_METADATA_TEXT_BYTES`](crate::MAX_METADATA_TEXT_BYTES) bytes.
        key: String,
        /// The value, up to the same length, or `None` to remove the entry.
        value: Option<String>,
    },
}

/// An output of the state machine, returned by
/// [`Membership::handle_events`](crate::Membership::handle_events) for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message. It may get lost.
    Send {
        /// The address of the recipient.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Pass in [`Event::TimerExpired`] at this time, on the clock of the events. An earlier timer
    /// replaces a later one; the event of a replaced timer is ignored.
    SetTimer {
        /// The time.
        at: Duration,
    },
    /// The state of a member has changed in the view of this node.
    StateChanged {
        /// The member.
        name: NodeName,
        /// Its new state.
        state: MemberState,
        /// The node that declared it suspect or dead.
        reported_by: Option<NodeName>,
    },
    /// Another live process has this node's name. This node sends nothing more, and later events
    /// have no effect.
    NameConflict {
        /// The address of the other process, or of the member that reported it.
        address: SocketAddr,
    },
    /// An entry of the metadata was rejected.
    MetadataRejected {
        /// The cause.
        error: MetadataError,
    },
}
