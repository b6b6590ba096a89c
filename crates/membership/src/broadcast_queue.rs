//! The broadcast queue: updates that ride on the messages of the failure detector.
//!
//! **Decision**: which updates a message carries, and when an update has been sent often enough.
//!
//! **When it binds**: on every message but push-pull (which carries the complete state) and the
//! answer to a name conflict. The limit on updates for a message binds after many changes at once,
//! such as a partition.
//!
//! **Failure it guards against**: without the limit on transmissions every message would carry
//! every update for ever; without the order by transmissions, older updates would hold up new ones.
//! Both show as messages that grow with the cluster, and as views that differ for long.
//!
//! **Why it holds**: an infection reaches all members after a number of rounds that grows with the
//! logarithm of their number (SWIM, section 4.1); what is missed all the same, push-pull repairs.
//! The update about the recipient goes first, so that a suspect can refute (Lifeguard's Buddy
//! System).
//!
//! **Price**: each change costs about `retransmit_mult * log2(members)` transmissions from each
//! member.

use std::collections::BTreeMap;

use crate::message::MemberUpdate;
use crate::node::NodeName;

/// The nodes that count for the transmission limit beside the other live members: this node, and
/// one more, since the logarithm for a lone node would be 0.
const UNCOUNTED_NODES: usize = 2;

/// How often an update is sent before it leaves the queue. `live_members` are those other than this
/// node.
pub(crate) fn max_transmissions(retransmit_mult: f64, live_members: usize) -> u32 {
    let cluster_size = live_members + UNCOUNTED_NODES;
    (retransmit_mult * (cluster_size as f64).log2()).ceil() as u32
}

/// What a message may carry.
pub(crate) struct MessageLimits {
    /// The most updates in the message.
    pub(crate) max_updates: usize,
    /// How often an update is sent before it leaves the queue; see [`max_transmissions`].
    pub(crate) max_transmissions: u32,
}

/// An update and how often it was sent.
struct Broadcast {
    transmissions: u32,
    update: MemberUpdate,
}

/// The updates to be sent, one for each member at most.
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

    /// Takes the updates for one message: first the one about `recipient`, then those sent least
    /// often, each group in the order of their names.
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
