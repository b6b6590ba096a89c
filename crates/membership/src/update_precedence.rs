//! Precedence of updates: which of two updates about a member overrides the other.
//!
//! **Decision**: whether an update is accepted at all, whether it overrides the recorded one, and
//! whether a death that the other half of a partitioned cluster reports takes effect at once.
//!
//! **When it binds**: on each update about another member, and on each death in a complete state.
//!
//! **Failure it guards against**: updates arrive late, duplicated and in any order. Without
//! precedence, an old update would resurrect a dead member, and the views of the members would
//! differ indefinitely.
//!
//! **Why it holds**: only a member raises its own incarnation, and at the same incarnation the
//! worse state takes precedence. Every member therefore ends with the same update, regardless of
//! the order of arrival.
//!
//! **Price**: a live member that is declared dead has to receive that update before it can refute
//! it.
//!
//! Source: SWIM, section 4.2 (incarnation numbers).

use crate::message::{Incarnation, MemberState, MemberUpdate};
use crate::name_conflict::NameClaim;
use crate::node::{NodeName, SUPPORTED_VERSIONS, is_valid_name};
use crate::reachability::MAX_UNREACHABLE_PEERS;

/// Whether an update can be applied: its protocol version is supported, its name and its list of
/// peers are within bounds, and a suspicion names its reporter, since the time limit depends on the
/// number of reporters.
pub(crate) fn is_well_formed(update: &MemberUpdate) -> bool {
    let has_reporter = update.state != MemberState::Suspect || update.reported_by.is_some();
    SUPPORTED_VERSIONS.contains(&update.node.version)
        && is_valid_name(&update.node.name)
        && update.unreachable_peers.len() <= MAX_UNREACHABLE_PEERS
        && has_reporter
}

/// The precedence of an update: the higher incarnation overrides, and at the same incarnation the
/// worse state.
pub(crate) fn precedence(update: &MemberUpdate) -> (Incarnation, MemberState) {
    (update.incarnation, update.state)
}

/// Whether an update replaces the recorded one. If two processes use one name, all members keep the
/// same process.
pub(crate) fn overrides(new: &MemberUpdate, recorded: &MemberUpdate) -> bool {
    let has_stronger_name_claim =
        is_name_used_twice(new, recorded) && NameClaim::of(new) > NameClaim::of(recorded);
    has_stronger_name_claim || precedence(new) > precedence(recorded)
}

/// Whether two live processes use one name, which happens when a partition heals.
fn is_name_used_twice(a: &MemberUpdate, b: &MemberUpdate) -> bool {
    a.node.address != b.node.address
        && a.incarnation == b.incarnation
        && a.state == MemberState::Alive
        && b.state == MemberState::Alive
}

/// Converts a death that `sender` reports in its complete state, about a member that is live here,
/// to a suspicion. When the halves of a partitioned cluster meet again, each has declared the other
/// dead; a member that is only suspected can refute that.
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
