//! Reachability: the outcome of direct and relayed probes tells a crashed member from a cut between
//! two live ones.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::member_table::Member;
use crate::membership::Membership;
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
    /// The member answers the probes of this node.
    Reachable,
    /// Messages of the member arrive, but it answers no probe of this node: what is sent to it is
    /// lost.
    AsymmetricPartition,
    /// No message of the member arrives, but it answers others: the link between the two is cut.
    IndirectOnly,
    /// No node has had an answer of the member recently.
    Unreachable,
}

impl Member {
    /// How this node reaches the member. What happened within `recent_window` before `now` is
    /// recent.
    pub(crate) fn reachability(&self, now: Duration, recent_window: Duration) -> Reachability {
        let is_recent =
            |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) <= recent_window);
        if self.is_directly_unreachable {
            return if is_recent(self.last_message) {
                Reachability::AsymmetricPartition
            } else {
                Reachability::IndirectOnly
            };
        }
        if self.is_live() && is_recent(self.last_ack.or(self.last_message)) {
            Reachability::Reachable
        } else {
            Reachability::Unreachable
        }
    }
}

impl Membership {
    /// How long an answer or a message counts as recent.
    pub(crate) fn recent_window(&self) -> Duration {
        let cluster_size = self.members.alive().count() as u32 + 1;
        self.config.probe_interval * cluster_size * RECENT_ROUNDS
    }

    /// Announces the members that this node does not reach directly, where they have changed.
    pub(crate) fn publish_unreachable_peers(&mut self) {
        let unreachable = self
            .members
            .iter()
            .filter(|member| member.is_directly_unreachable);
        let peers: BTreeSet<NodeName> = unreachable
            .take(MAX_UNREACHABLE_PEERS)
            .map(|member| member.update.node.name.clone())
            .collect();
        if *self.local.unreachable_peers != peers {
            self.local.unreachable_peers = Arc::new(peers);
            self.announce_local_update(self.local.incarnation);
        }
    }
}
