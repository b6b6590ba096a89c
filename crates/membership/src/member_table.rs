//! The records of the other members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::message::{MemberState, MemberUpdate};
use crate::node::NodeName;
use crate::reachability::Reachability;
use crate::suspicion::Suspicion;

/// A member as this node sees it; a copy for the host.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRecord {
    /// The last update that holds.
    pub update: MemberUpdate,
    /// Since when the member has this state, on the clock of the events.
    pub state_since: Duration,
    /// The members that suspect it.
    pub suspected_by: Vec<NodeName>,
    /// How this node reaches it.
    pub reachability: Reachability,
}

/// The record of a member. Owned by the [`MemberTable`].
pub(crate) struct Member {
    pub(crate) update: MemberUpdate,
    pub(crate) state_since: Duration,
    /// The suspicion, exactly where the state is suspect.
    pub(crate) suspicion: Option<Suspicion>,
    /// When it last answered a probe of this node.
    pub(crate) last_ack: Option<Duration>,
    /// When a message of any kind last came from it.
    pub(crate) last_message: Option<Duration>,
    /// Its last probe by this node failed while a relay got an answer.
    pub(crate) is_directly_unreachable: bool,
}

impl Member {
    pub(crate) fn is_live(&self) -> bool {
        self.update.state.is_live()
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.update.state == MemberState::Alive
    }

    pub(crate) fn recipient(&self) -> Recipient {
        Recipient {
            name: Some(self.update.node.name.clone()),
            address: self.update.node.address,
        }
    }
}

/// The destination of a message.
#[derive(Clone, Debug)]
pub(crate) struct Recipient {
    /// The node that is expected at the address; not known of a seed.
    pub(crate) name: Option<NodeName>,
    pub(crate) address: SocketAddr,
}

/// The members that are recorded, by name, without this node itself. Owned by the membership.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<NodeName, Member>,
}

impl MemberTable {
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// All members in the order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The members that are alive or suspect.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.is_live())
    }

    /// The members that are alive and not suspect.
    pub(crate) fn alive(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.is_alive())
    }

    pub(crate) fn live_count(&self) -> usize {
        self.live().count()
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.members.get_mut(name)
    }

    pub(crate) fn get_live(&self, name: &str) -> Option<&Member> {
        self.get(name).filter(|member| member.is_live())
    }

    pub(crate) fn insert(&mut self, member: Member) {
        self.members.insert(member.update.node.name.clone(), member);
    }

    pub(crate) fn remove(&mut self, name: &str) -> Option<Member> {
        self.members.remove(name)
    }

    /// Drops the members that have been dead or gone for `retention`.
    pub(crate) fn remove_expired(&mut self, now: Duration, retention: Duration) {
        self.members.retain(|_, member| {
            member.is_live() || now.saturating_sub(member.state_since) < retention
        });
    }
}
