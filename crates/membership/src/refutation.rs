//! Refutation: how this node responds to updates about itself.
//!
//! **Decision**: whether an update about this node is wrong, and which members receive the
//! refutation directly.
//!
//! **When it binds**: on an update with this node's name and its current or a later incarnation. An
//! update about an earlier incarnation is ignored, unless another live process claims the name.
//!
//! **Failure it guards against**: a node in bad health probes rarely. Over slow links, a refutation
//! that is only piggybacked on its probes arrives too late, and all other members declare the node
//! dead although it is alive.
//!
//! **Why it holds**: the reporter receives the refutation directly, and a few other members
//! disseminate it.
//!
//! **Price**: up to `indirect_checks + 1` messages for each wrong update.
//!
//! Source: SWIM, section 4.2. Direct messages to the reporter and others are an addition of this
//! project.

use crate::message::{MemberState, MemberUpdate};
use crate::name_conflict::should_concede_name;
use crate::node::{NodeName, Recipient};

/// How this node handles an update about itself.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum UpdateAboutSelf {
    /// The update needs no response: it is known or out of date, or this node keeps its name.
    Ignored,
    /// Another process has the name and keeps it, so this node stops.
    NameConceded,
    /// The update calls this node suspect, dead or left, and has to be refuted.
    Wrong,
    /// The update is about a later incarnation, from before a restart. This node continues above
    /// it.
    LaterIncarnation,
}

/// Classifies an update about this node. The address distinguishes another process of the same name
/// from an earlier incarnation of this process.
pub(crate) fn classify(
    local: &MemberUpdate,
    update: &MemberUpdate,
    has_joined: bool,
) -> UpdateAboutSelf {
    let is_other_process = update.node.address != local.node.address;
    if is_other_process && update.state.is_live() {
        return match should_concede_name(local, update, has_joined) {
            true => UpdateAboutSelf::NameConceded,
            false => UpdateAboutSelf::Ignored,
        };
    }
    if update.state != MemberState::Alive && update.incarnation >= local.incarnation {
        UpdateAboutSelf::Wrong
    } else if update.incarnation > local.incarnation {
        UpdateAboutSelf::LaterIncarnation
    } else {
        UpdateAboutSelf::Ignored
    }
}

/// Selects the recipients of a refutation: the reporter first, if it is one of the `alive` members,
/// then random others, at most `indirect_checks + 1` in all.
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
