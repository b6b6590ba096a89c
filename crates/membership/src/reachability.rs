//! Reachability: the outcome of direct and relayed probes tells a crashed member from a cut between
//! two live ones.
//!
//! **Decision**: how this node reaches another, and which members it publishes as unreachable.
//!
//! **When it binds**: a member whose last probe by this node got an answer only through a relay is
//! directly unreachable until it answers this node again; that stays so while it is suspect, and
//! ends when it is dead.
//!
//! **Failure it guards against**: a cut between two zones looks like the crash of the other zone to
//! each of them. The members would be declared dead while they serve requests.
//!
//! **Why it holds**: a relay on the other side of the cut reports the answer of the target, so that
//! the member is not suspected and the link is blamed.
//!
//! **Price**: a change of the published set raises this node's incarnation and is disseminated to
//! all.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::node::NodeName;

/// The most members that a node publishes as unreachable: it bounds the matrix of which node
/// reaches which.
pub const MAX_UNREACHABLE_PEERS: usize = 16;

/// How long an answer or a message counts as recent, in rounds; a round is one protocol period for
/// each member.
const RECENT_ROUNDS: u32 = 2;

/// How this node reaches another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The member has answered a probe of this node recently or, where it never has, sent a message
    /// recently.
    Reachable,
    /// Messages of the member arrive, but it answers no probe of this node: what is sent to it is
    /// lost.
    AsymmetricPartition,
    /// No message of the member arrives, but it answers others: the link between the two is cut.
    IndirectOnly,
    /// None of the above: the member is dead or has left, or this node has had no recent answer of
    /// it, or no recent message where it never answered this node. A member whose messages arrive,
    /// but whose last answer is not recent, is unreachable as well.
    Unreachable,
}

/// How long before now an answer or a message counts as recent. `alive_members` are those other
/// than this node that are not suspect.
pub(crate) fn recent_window(probe_interval: Duration, alive_members: usize) -> Duration {
    let cluster_size = alive_members as u32 + 1;
    probe_interval * cluster_size * RECENT_ROUNDS
}

/// The members that a node publishes, out of all those that it does not reach directly: the first
/// ones in the order given.
pub(crate) fn peers_to_publish(
    directly_unreachable: impl Iterator<Item = NodeName>,
) -> BTreeSet<NodeName> {
    directly_unreachable.take(MAX_UNREACHABLE_PEERS).collect()
}

/// What this node knows of its link to one member. Times are on the clock of the events.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkState {
    /// When the member last answered a probe of this node.
    last_ack: Option<Duration>,
    /// When a message of any kind last came from it.
    last_message: Option<Duration>,
    /// Whether its last probe by this node failed while a relay got an answer.
    is_directly_unreachable: bool,
}

impl LinkState {
    /// Notes that a message came from the member.
    pub(crate) fn record_message(&mut self, now: Duration) {
        self.last_message = Some(now);
    }

    /// Notes that the member answered a probe of this node. Returns whether it was directly
    /// unreachable until now.
    pub(crate) fn record_ack(&mut self, now: Duration) -> bool {
        self.last_ack = Some(now);
        std::mem::replace(&mut self.is_directly_unreachable, false)
    }

    /// Notes that the member answered a relay but not this node. Returns whether it was directly
    /// reachable until now.
    pub(crate) fn record_answer_to_relay_only(&mut self) -> bool {
        !std::mem::replace(&mut self.is_directly_unreachable, true)
    }

    /// Whether the last probe of the member failed while a relay got an answer.
    pub(crate) fn is_directly_unreachable(&self) -> bool {
        self.is_directly_unreachable
    }

    /// What is still known of the link after an update about the member: its times where the
    /// address is the same, since those to another say nothing, and the cut while it is live.
    pub(crate) fn after_update(&self, is_same_address: bool, is_live: bool) -> Self {
        LinkState {
            last_ack: self.last_ack.filter(|_| is_same_address),
            last_message: self.last_message.filter(|_| is_same_address),
            is_directly_unreachable: is_live && self.is_directly_unreachable,
        }
    }

    /// How this node reaches the member. What happened within `recent_window` before `now` is
    /// recent.
    pub(crate) fn reachability(
        &self,
        is_live: bool,
        now: Duration,
        recent_window: Duration,
    ) -> Reachability {
        let is_recent =
            |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) <= recent_window);
        if self.is_directly_unreachable {
            return if is_recent(self.last_message) {
                Reachability::AsymmetricPartition
            } else {
                Reachability::IndirectOnly
            };
        }
        if is_live && is_recent(self.last_ack.or(self.last_message)) {
            Reachability::Reachable
        } else {
            Reachability::Unreachable
        }
    }
}
