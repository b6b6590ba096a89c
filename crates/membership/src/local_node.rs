//! The update that this node announces about itself.
//!
//! Every change that other members have to see is announced under a new incarnation: at the same
//! incarnation, an update with the same state does not override the recorded one, and the other
//! members would not learn of the change.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::message::{Incarnation, MemberState, MemberUpdate};
use crate::metadata::{MetadataError, with_entry};
use crate::node::{Node, NodeName};

/// The update of this node about itself. No other component raises its incarnation.
pub(crate) struct LocalNode {
    update: MemberUpdate,
}

impl LocalNode {
    /// An alive node without metadata.
    pub(crate) fn new(node: Node, incarnation: Incarnation) -> Self {
        LocalNode {
            update: MemberUpdate {
                node,
                incarnation,
                state: MemberState::Alive,
                reported_by: None,
                metadata: Arc::default(),
                unreachable_peers: Arc::default(),
            },
        }
    }

    /// The current update.
    pub(crate) fn update(&self) -> &MemberUpdate {
        &self.update
    }

    /// The unique name of this node.
    pub(crate) fn name(&self) -> &NodeName {
        &self.update.node.name
    }

    /// Raises the incarnation above one that other members know; it never decreases.
    pub(crate) fn raise_incarnation_above(&mut self, known: Incarnation) {
        self.update.incarnation = known.next().max(self.update.incarnation);
    }

    /// Announces that this node leaves the cluster. The incarnation stays the same: `Left`
    /// overrides every other state at the same incarnation.
    pub(crate) fn leave(&mut self) {
        self.update.state = MemberState::Left;
    }

    /// Sets an entry of the metadata, or removes it if `value` is `None`. Returns whether there is
    /// a change to announce.
    ///
    /// # Errors
    ///
    /// [`MetadataError`] if the entry is out of bounds.
    pub(crate) fn set_metadata(
        &mut self,
        key: &str,
        value: Option<&str>,
    ) -> Result<bool, MetadataError> {
        let metadata = with_entry(&self.update.metadata, key, value)?;
        if metadata == *self.update.metadata {
            return Ok(false);
        }
        self.update.metadata = Arc::new(metadata);
        self.raise_incarnation_above(self.update.incarnation);
        Ok(true)
    }

    /// Sets the members that this node does not reach directly. Returns whether there is a change
    /// to announce.
    pub(crate) fn set_unreachable_peers(&mut self, peers: BTreeSet<NodeName>) -> bool {
        if *self.update.unreachable_peers == peers {
            return false;
        }
        self.update.unreachable_peers = Arc::new(peers);
        self.raise_incarnation_above(self.update.incarnation);
        true
    }
}
