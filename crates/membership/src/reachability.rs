//! Reachability: the outcome of direct and relayed probes distinguishes a crashed member from a
//! broken link between two live ones.
//!
//! **Decision**: how this node reaches another, and which members it publishes as unreachable.
//!
//! **When it binds**: a member that answered a probe of this node only through a relay is directly
//! unreachable until it answers this node again. The mark stays while the member is suspect, and is
//! cleared when it is dead or has left.
//!
//! **Failure it guards against**: to each of two zones, a network partition between them looks like
//! a crash of the other zone. The members would be declared dead while they serve requests.
//!
//! **Why it holds**: a relay with a working link to the target reports its answer, so the link is
//! recorded as broken and the target is not suspected.
//!
//! **Price**: a change of the published set raises this node's incarnation and is disseminated to
//! all members.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::node::NodeName;

/// The maximum number of members that a node publishes as unreachable. It bounds the matrix of
/// which node reaches which.
pub const MAX_UNREACHABLE_PEERS: usize = 16;

/// How long an answer or a message counts as recent, in rounds. A round is one protocol period for
/// each member.
const RECENT_ROUNDS: u32 = 2;

/// How this node reaches another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The member has recently answered a probe of this node or, if it has never answered one, has
    /// recently sent a message.
    Reachable,
    /// Messages of the member arrive, but it answers no probe of this node: messages to it are
    /// lost.
    AsymmetricPartition,
    /// The member answers relays, but its messages do not arrive: the link between the two nodes is
    /// broken.
    IndirectOnly,
    /// None of the above: the member is dead or has left, its last answer to this node is not
    /// recent, or it has never answered this node and its last message is not recent. A member
    /// whose messages arrive but whose last answer is not recent is unreachable as well.
    Unreachable,
}

/// The age up to which an answer or a message counts as recent. `alive_members` is the number of
/// other members that are alive and not suspect.
pub(crate) fn recent_window(probe_interval: Duration, alive_members: usize) -> Duration {
    let cluster_size = alive_members as u32 + 1;
    probe_interval * cluster_size * RECENT_ROUNDS
}

/// Selects the peers that a node publishes as unreachable: the first [`MAX_UNREACHABLE_PEERS`] in
/// the given order.
pub(crate) fn peers_to_publish(
    directly_unreachable: impl Iterator<Item = NodeName>,
) -> BTreeSet<NodeName> {
    directly_unreachable.take(MAX_UNREACHABLE_PEERS).collect()
}

/// The state of the link from this node to one member. Times are on the clock of the events.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkState {
    /// When the member last answered a probe of this node.
    last_ack: Option<Duration>,
    /// When a message of any kind last arrived from it.
    last_message: Option<Duration>,
    /// Whether the member answered a relay but not this node, and has not answered this node since.
    is_directly_unreachable: bool,
}

impl LinkState {
    /// Records that a message arrived from the member.
    pub(crate) fn record_message(&mut self, now: Duration) {
        self.last_message = Some(now);
    }

    /// Records that the member answered a probe of this node. Returns whether it was directly
    /// unreachable until now.
    pub(crate) fn record_ack(&mut self, now: Duration) -> bool {
        self.last_ack = Some(now);
        std::mem::replace(&mut self.is_directly_unreachable, false)
    }

    /// Records that the member answered a relay but not this node. Returns whether it was directly
    /// reachable until now.
    pub(crate) fn record_answer_to_relay_only(&mut self) -> bool {
        !std::mem::replace(&mut self.is_directly_unreachable, true)
    }

    /// Whether the member answered a relay but not this node, and has not answered this node since.
    pub(crate) fn is_directly_unreachable(&self) -> bool {
        self.is_directly_unreachable
    }

    /// Returns the link state to keep after an update about the member. Times are dropped if the
    /// address has changed, since they belong to the old address; the unreachable mark is dropped
    /// if the member is no longer live.
    pub(crate) fn after_update(&self, is_same_address: bool, is_live: bool) -> Self {
        LinkState {
            last_ack: self.last_ack.filter(|_| is_same_address),
            last_message: self.last_message.filter(|_| is_same_address),
            is_directly_unreachable: is_live && self.is_directly_unreachable,
        }
    }

    /// How this node reaches the member. Answers and messages up to `recent_window` before `now`
    /// are recent.
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
