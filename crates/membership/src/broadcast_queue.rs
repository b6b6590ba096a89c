//! The broadcast queue: updates that are piggybacked on the messages of the failure detector.
//!
//! **Decision**: which updates a message carries, and when an update has been sent often enough.
//!
//! **When it binds**: on every message except push-pull (which carries the complete state), an
//! update that is sent directly, and the answer to a name conflict. The limit on updates per
//! message takes effect after many simultaneous changes, such as a partition.
//!
//! **Failure it guards against**: without the limit on transmissions, every message would carry
//! every update indefinitely; without the order by transmissions, older updates would delay new
//! ones. The symptoms are messages that grow with the cluster and views that differ for a long
//! time.
//!
//! **Why it holds**: an update reaches all members after a number of rounds that grows with the
//! logarithm of the number of members (SWIM, section 4.1); push-pull repairs updates that a member
//! missed. The update about the recipient is sent first, so that a suspect can refute (Lifeguard's
//! Buddy System).
//!
//! **Price**: each change costs about `retransmit_mult * log2(members)` transmissions from each
//! member.

use std::collections::BTreeMap;

use crate::message::MemberUpdate;
use crate::node::NodeName;

/// The nodes that the transmission limit counts in addition to the other live members: this node,
/// and one more because the logarithm would be 0 for a lone node.
const UNCOUNTED_NODES: usize = 2;

/// How many times an update is sent before it leaves the queue. `live_members` is the number of
/// other members that are alive or suspect.
pub(crate) fn max_transmissions(retransmit_mult: f64, live_members: usize) -> u32 {
    let cluster_size = live_members + UNCOUNTED_NODES;
    (retransmit_mult * (cluster_size as f64).log2()).ceil() as u32
}

/// The limits on the updates of a message.
pub(crate) struct MessageLimits {
    /// The maximum number of updates in the message.
    pub(crate) max_updates: usize,
    /// How many times an update is sent before it leaves the queue; see [`max_transmissions`].
    pub(crate) max_transmissions: u32,
}

/// An update and the number of times it was sent.
struct Broadcast {
    transmissions: u32,
    update: MemberUpdate,
}

/// The updates to send, at most one for each member.
#[derive(Default)]
pub(crate) struct BroadcastQueue {
    broadcasts: BTreeMap<NodeName, Broadcast>,
}

impl BroadcastQueue {
    /// Queues an update; it replaces an earlier one about the same member.
    pub(crate) fn push(&mut self, update: MemberUpdate) {
        let broadcast = Broadcast {
            transmissions: 0,
            update,
        };
        self.broadcasts
            .insert(broadcast.update.node.name.clone(), broadcast);
    }

    /// Returns the updates for one message: first the one about `recipient`, then the others, the
    /// least sent first and ties in the order of names. Updates that reach the limit of
    /// transmissions leave the queue.
    pub(crate) fn take(
        &mut self,
        limits: &MessageLimits,
        recipient: Option<&NodeName>,
    ) -> Vec<MemberUpdate> {
        let mut names: Vec<NodeName> = self.broadcasts.keys().cloned().collect();
        names.sort_by_cached_key(|name| {
            (Some(name) != recipient, self.broadcasts[name].transmissions)
        });
        let mut updates = Vec::new();
        for name in names.into_iter().take(limits.max_updates) {
            let Some(broadcast) = self.broadcasts.get_mut(&name) else {
                continue;
            };
            broadcast.transmissions += 1;
            updates.push(broadcast.update.clone());
            if broadcast.transmissions >= limits.max_transmissions {
                self.broadcasts.remove(&name);
            }
        }
        updates
    }
}
