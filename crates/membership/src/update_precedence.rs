//! Precedence of updates: which of two updates about a member holds.
//!
//! **Decision**: whether an update is accepted at all, whether it overrides the one on record, and
//! whether a death that the other half of a cluster reports holds at once.
//!
//! **When it binds**: on each update about another member that is well-formed, and on each death
//! that arrives in a complete state.
//!
//! **Failure it guards against**: updates arrive late, twice and in any order. Without an order of
//! their own an old one would bring a dead member back, and views would differ for ever.
//!
//! **Why it holds**: only a member raises its own incarnation, and at the same incarnation the
//! worse state holds, so that every member ends with the same update whatever the order of arrival.
//!
//! **Price**: a live member that is declared dead has to hear of it before it can refute that.
//!
//! Source: SWIM, section 4.2 (incarnation numbers).

use crate::message::{Incarnation, MemberState, MemberUpdate};
use crate::name_conflict::NameClaim;
use crate::node::{NodeName, SUPPORTED_VERSIONS, is_valid_name};
use crate::reachability::MAX_UNREACHABLE_PEERS;

/// Whether the recipient of an update can make use of it: its version is known, its name and list
/// are within bounds, and a suspicion names its reporter, who counts for how long it stands.
pub(crate) fn is_well_formed(update: &MemberUpdate) -> bool {
    let has_reporter = update.state != MemberState::Suspect || update.reported_by.is_some();
    SUPPORTED_VERSIONS.contains(&update.node.version)
        && is_valid_name(&update.node.name)
        && update.unreachable_peers.len() <= MAX_UNREACHABLE_PEERS
        && has_reporter
}

/// The greater one overrides the other: the higher incarnation, and at the same incarnation the
/// worse state.
pub(crate) fn precedence(update: &MemberUpdate) -> (Incarnation, MemberState) {
    (update.incarnation, update.state)
}

/// Whether an update replaces the one that is recorded. Of two processes under one name all members
/// keep the same one.
pub(crate) fn overrides(new: &MemberUpdate, recorded: &MemberUpdate) -> bool {
    let wins_the_name =
        is_name_used_twice(new, recorded) && NameClaim::of(new) > NameClaim::of(recorded);
    wins_the_name || precedence(new) > precedence(recorded)
}

/// Whether two processes live under one name, which happens when a partition heals.
fn is_name_used_twice(a: &MemberUpdate, b: &MemberUpdate) -> bool {
    a.node.address != b.node.address
        && a.incarnation == b.incarnation
        && a.state == MemberState::Alive
        && b.state == MemberState::Alive
}

/// The suspicion in place of a death that `sender` reports in its complete state, about a member
/// that is live here. Where the halves of a cluster meet again, each has declared the other dead: a
/// member that is suspected first can refute that.
pub(crate) fn suspicion_in_place_of_death(
    update: &MemberUpdate,
    sender: &NodeName,
) -> Option<MemberUpdate> {
    (update.state == MemberState::Dead).then(|| MemberUpdate {
        state: MemberState::Suspect,
        reported_by: Some(sender.clone()),
        ..update.clone()
    })
}
