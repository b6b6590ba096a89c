//! Refutation: what this node does about updates about itself.
//!
//! **Decision**: whether an update about this node is wrong, and to whom the refutation goes at
//! once.
//!
//! **When it binds**: on an update with this node's name and its own incarnation or a later one;
//! one about an earlier incarnation is settled, unless another process claims the name.
//!
//! **Failure it guards against**: a node in bad health probes seldom. A refutation that only rode
//! on its probes came too late over slow links, which showed as slow members that all others
//! declared dead.
//!
//! **Why it holds**: the reporter gets the refutation at once, and a few others spread it further.
//!
//! **Price**: up to `indirect_checks + 1` messages for each wrong update.
//!
//! Source: SWIM, section 4.2; sending at once is this project's.

use crate::message::{MemberState, MemberUpdate};
use crate::name_conflict::should_give_way;
use crate::node::{NodeName, Recipient};

/// What an update about this node means for it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum UpdateAboutSelf {
    /// It is known or out of date.
    Settled,
    /// Another process has the name and keeps it.
    NameConceded,
    /// It calls this node suspect, dead or left, which is to be refuted.
    Wrong,
    /// It is about a later incarnation, from before a restart: this node continues above it.
    Ahead,
}

/// What an update means for this node. The address tells another process of the same name from an
/// update about an earlier incarnation of this one.
pub(crate) fn classify(
    local: &MemberUpdate,
    update: &MemberUpdate,
    has_joined: bool,
) -> UpdateAboutSelf {
    let is_other_process = update.node.address != local.node.address;
    if is_other_process && update.state.is_live() {
        return match should_give_way(local, update, has_joined) {
            true => UpdateAboutSelf::NameConceded,
            false => UpdateAboutSelf::Settled,
        };
    }
    if update.state != MemberState::Alive && update.incarnation >= local.incarnation {
        UpdateAboutSelf::Wrong
    } else if update.incarnation > local.incarnation {
        UpdateAboutSelf::Ahead
    } else {
        UpdateAboutSelf::Settled
    }
}

/// The recipients of a refutation: the reporter first, where it is one of the `alive` members, and
/// random others, `indirect_checks + 1` in all.
pub(crate) fn choose_recipients(
    mut alive: Vec<Recipient>,
    reporter: Option<&NodeName>,
    indirect_checks: usize,
    rng: &mut fastrand::Rng,
) -> Vec<Recipient> {
    rng.shuffle(&mut alive);
    alive.sort_by_key(|recipient| recipient.name.as_ref() != reporter);
    alive.truncate(indirect_checks + 1);
    alive
}
