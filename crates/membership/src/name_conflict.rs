//! Name conflicts: two live processes under one name, told apart by their addresses.
//!
//! **Decision**: which of the two keeps the name, and whether this node stops.
//!
//! **When it binds**: when a process is started under the name of another; when a partition heals
//! and each half has a process of that name; when a process is restarted at another address before
//! the old one is considered dead.
//!
//! **Failure it guards against**: two processes would answer for one member. That shows as a member
//! whose address and metadata change again and again, with a new incarnation each time.
//!
//! **Why it holds**: a process that has not joined yet gives way always. Of two that have joined,
//! the order of [`NameClaim`] is the same at every member, so that all keep the same one and the
//! other learns that it has to stop.
//!
//! **Price**: a process that restarts at another address cannot join until its old record is dead.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::message::{Incarnation, MemberUpdate};
use crate::node::NodeName;

/// How strong the claim of a process to its name is; the greater one keeps the name. The higher
/// incarnation is the greater, then the lower address.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NameClaim {
    incarnation: Incarnation,
    address: Reverse<SocketAddr>,
}

impl NameClaim {
    /// The claim that an update stands for.
    pub(crate) fn of(update: &MemberUpdate) -> Self {
        NameClaim {
            incarnation: update.incarnation,
            address: Reverse(update.node.address),
        }
    }
}

/// Whether this node gives its name up to another process, which announces itself under it.
/// `has_joined` tells whether this node has joined the cluster.
pub(crate) fn should_give_way(
    local: &MemberUpdate,
    other: &MemberUpdate,
    has_joined: bool,
) -> bool {
    !has_joined || NameClaim::of(other) > NameClaim::of(local)
}

/// Whether a node that wants to join announces its name at another address than the live member
/// that has it.
pub(crate) fn is_name_in_use(
    live_member_address: SocketAddr,
    joining: &NodeName,
    updates: &[MemberUpdate],
) -> bool {
    let mut own_updates = updates.iter().filter(|update| update.node.name == *joining);
    own_updates.any(|update| update.node.address != live_member_address)
}
