//! The broadcast queue: updates that are to be disseminated on the messages of the failure
//! detector, each a bounded number of times.

use std::collections::BTreeMap;

use crate::message::MemberUpdate;
use crate::node::NodeName;

/// An update and how often it was sent.
struct Broadcast {
    transmissions: u32,
    update: MemberUpdate,
}

/// The updates to be sent, one for each member at most. Owned by the membership.
#[derive(Default)]
pub(crate) struct BroadcastQueue {
    broadcasts: BTreeMap<NodeName, Broadcast>,
}

impl BroadcastQueue {
    /// Queues an update; it replaces an earlier one about the same member.
    pub(crate) fn push(&mut self, update: MemberUpdate) {
        self.broadcasts.insert(
            update.node.name.clone(),
            Broadcast {
                transmissions: 0,
                update,
            },
        );
    }

    /// Takes up to `max_updates` updates for one message: first the one about `recipient`, then
    /// those sent least often. An update that was sent `max_transmissions` times leaves the queue.
    pub(crate) fn take(
        &mut self,
        max_updates: usize,
        max_transmissions: u32,
        recipient: Option<&NodeName>,
    ) -> Vec<MemberUpdate> {
        let mut names: Vec<NodeName> = self.broadcasts.keys().cloned().collect();
        names.sort_by_key(|name| (Some(name) != recipient, self.broadcasts[name].transmissions));
        let mut updates = Vec::new();
        for name in names.into_iter().take(max_updates) {
            let Some(broadcast) = self.broadcasts.get_mut(&name) else {
                continue;
            };
            broadcast.transmissions += 1;
            updates.push(broadcast.update.clone());
            if broadcast.transmissions >= max_transmissions {
                self.broadcasts.remove(&name);
            }
        }
        updates
    }
}
