//! Name conflicts: two live processes with one name, distinguished by their addresses.
//!
//! **Decision**: which of the two keeps the name, and whether this node stops.
//!
//! **When it binds**: when a process is started with the name of another; when a partition heals
//! and each half has a process of that name; when a process is restarted at another address before
//! the old one is declared dead.
//!
//! **Failure it guards against**: two processes would act as one member. The symptom is a member
//! whose address and metadata change repeatedly, with a new incarnation each time.
//!
//! **Why it holds**: a process that has not joined yet always concedes the name. For two that have
//! joined, the order of [`NameClaim`] is the same at every member, so all keep the same process and
//! the other learns that it has to stop.
//!
//! **Price**: a process that restarts at another address cannot join until its old record is dead.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::message::{Incarnation, MemberUpdate};
use crate::node::NodeName;

/// The claim of a process to its name; the greater claim keeps the name. A higher incarnation is
/// greater, then a lower address.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NameClaim {
    incarnation: Incarnation,
    address: Reverse<SocketAddr>,
}

impl NameClaim {
    /// The claim of the process that an update is about.
    pub(crate) fn of(update: &MemberUpdate) -> Self {
        NameClaim {
            incarnation: update.incarnation,
            address: Reverse(update.node.address),
        }
    }
}

/// Whether this node concedes its name to another process that announces itself under it.
/// `has_joined` tells whether this node has joined the cluster.
pub(crate) fn should_concede_name(
    local: &MemberUpdate,
    other: &MemberUpdate,
    has_joined: bool,
) -> bool {
    !has_joined || NameClaim::of(other) > NameClaim::of(local)
}

/// Whether a joining node announces its name at another address than that of the live member with
/// this name.
pub(crate) fn is_name_in_use(
    live_member_address: SocketAddr,
    joining: &NodeName,
    updates: &[MemberUpdate],
) -> bool {
    let mut own_updates = updates.iter().filter(|update| update.node.name == *joining);
    own_updates.any(|update| update.node.address != live_member_address)
}
