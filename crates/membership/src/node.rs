//! The identity of a node: its name, address, region, zone and protocol version.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The name of a node, unique in its cluster; 1 to [`MAX_NAME_BYTES`] bytes.
pub type NodeName = Arc<str>;

/// The longest name of a node, a region or a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The versions of the membership protocol that this build understands.
pub const SUPPORTED_VERSIONS: RangeInclusive<u16> = 1..=1;

/// The identity of a node, as the node announces it. Serialized by position: the order of the
/// fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The unique name.
    pub name: NodeName,
    /// The address at which the node receives membership messages.
    pub address: SocketAddr,
    /// The region, shown to operators.
    pub region: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The version of the membership protocol that the node speaks.
    pub version: u16,
}

/// The destination of a message.
#[derive(Clone, Debug)]
pub(crate) struct Recipient {
    /// The name of the node that is expected at the address; `None` for a seed whose name is not
    /// known yet.
    pub(crate) name: Option<NodeName>,
    /// The address to which the message is sent.
    pub(crate) address: SocketAddr,
}

/// Whether the length of a name is within bounds.
pub(crate) fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}
