//! The records of the other members.
//!
//! **Decision**: what an update about another member changes.
//! [`update_precedence`](crate::update_precedence) decides which of two updates takes precedence.
//!
//! **When it binds**: on each well-formed update about another member.
//!
//! **Failure it guards against**: an older update that arrives late would resurrect a dead member,
//! and updates with invented names would exhaust the memory.
//!
//! **Why it holds**: a dead member stays recorded for a retention time, so that a late update is
//! recognized as older. The number of records is bounded.
//!
//! **Price**: members beyond the bound are not recorded at all. Updates about them are counted in
//! [`Membership::ignored_updates`](crate::Membership::ignored_updates).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::{MemberState, MemberUpdate};
use crate::node::{NodeName, Recipient};
use crate::reachability::{LinkState, Reachability};
use crate::suspicion::{Suspicion, SuspicionParameters};
use crate::update_precedence::{overrides, precedence};

/// A copy of a member's record for the host.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRecord {
    /// The update that is in effect.
    pub update: MemberUpdate,
    /// When the member entered this state, on the clock of the events.
    pub state_since: Duration,
    /// The members that suspect this member.
    pub suspected_by: Vec<NodeName>,
    /// How this node reaches the member.
    pub reachability: Reachability,
}

/// The record of a member. Owned by the [`MemberTable`].
pub(crate) struct Member {
    update: MemberUpdate,
    /// When the member entered this state, on the clock of the events.
    state_since: Duration,
    /// Set exactly while the state is `Suspect`.
    suspicion: Option<Suspicion>,
    /// The state of the link from this node to the member.
    link: LinkState,
}

impl Member {
    /// The update that is in effect.
    pub(crate) fn update(&self) -> &MemberUpdate {
        &self.update
    }

    /// The unique name of the member.
    pub(crate) fn name(&self) -> &NodeName {
        &self.update.node.name
    }

    /// The member as the destination of a message.
    pub(crate) fn recipient(&self) -> Recipient {
        Recipient {
            name: Some(self.name().clone()),
            address: self.update.node.address,
        }
    }

    /// The state of the link from this node to the member.
    pub(crate) fn link_mut(&mut self) -> &mut LinkState {
        &mut self.link
    }

    fn is_live(&self) -> bool {
        self.update.state.is_live()
    }

    fn record(&self, now: Duration, recent_window: Duration) -> MemberRecord {
        let reporters = self.suspicion.iter().flat_map(Suspicion::reporters);
        MemberRecord {
            update: self.update.clone(),
            state_since: self.state_since,
            suspected_by: reporters.cloned().collect(),
            reachability: self.link.reachability(self.is_live(), now, recent_window),
        }
    }
}

/// The limits on records and confirmations in the table.
pub(crate) struct TableLimits {
    /// The maximum number of records; [`Config::max_members`](crate::Config::max_members).
    pub(crate) max_members: usize,
    /// The maximum number of confirmations that shorten a suspicion;
    /// [`Config::indirect_checks`](crate::Config::indirect_checks).
    pub(crate) max_confirmations: usize,
}

/// The effect of an update on the table.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum UpdateEffect {
    /// None: the update is known or out of date.
    Ignored,
    /// None: the update is about a new member and the table is full.
    TableFull,
    /// The update confirms a suspicion and shortens its time limit.
    SuspicionConfirmed,
    /// The update is recorded.
    Recorded {
        /// Whether the member is new or its state has changed.
        has_state_changed: bool,
    },
}

/// The records of the other members, by name.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<NodeName, Member>,
}

impl MemberTable {
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
        self.in_state(MemberState::Alive)
    }

    /// The members in one state.
    pub(crate) fn in_state(&self, state: MemberState) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(move |member| member.update.state == state)
    }

    /// The members that this node does not reach directly while a relay does.
    pub(crate) fn directly_unreachable(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|member| member.link.is_directly_unreachable())
    }

    /// The member with a name, if it is recorded.
    pub(crate) fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// The member with a name, if it is recorded, to change its link state.
    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.members.get_mut(name)
    }

    /// The member with a name, if it is alive or suspect.
    pub(crate) fn get_live(&self, name: &str) -> Option<&Member> {
        self.get(name).filter(|member| member.is_live())
    }

    /// Copies of all records for the host.
    pub(crate) fn records(
        &self,
        now: Duration,
        recent_window: Duration,
    ) -> impl Iterator<Item = MemberRecord> + '_ {
        self.iter()
            .map(move |member| member.record(now, recent_window))
    }

    /// Applies a well-formed update about another member.
    pub(crate) fn apply(
        &mut self,
        update: &MemberUpdate,
        now: Duration,
        limits: &TableLimits,
    ) -> UpdateEffect {
        let is_full = self.members.len() >= limits.max_members;
        let Some(member) = self.members.get_mut(&update.node.name) else {
            if is_full {
                return UpdateEffect::TableFull;
            }
            // An unknown member that is dead is recorded too: otherwise an older update would
            // resurrect it.
            return self.record(update, now);
        };
        if overrides(update, &member.update) {
            return self.record(update, now);
        }
        if precedence(update) == precedence(&member.update)
            && let (Some(suspicion), Some(reporter)) = (&mut member.suspicion, &update.reported_by)
            && suspicion.confirm(reporter, limits.max_confirmations)
        {
            return UpdateEffect::SuspicionConfirmed;
        }
        UpdateEffect::Ignored
    }

    fn record(&mut self, update: &MemberUpdate, now: Duration) -> UpdateEffect {
        let previous = self.members.remove(&update.node.name);
        let same_state = previous
            .as_ref()
            .filter(|member| member.update.state == update.state);
        let has_state_changed = same_state.is_none();
        let state_since = same_state.map_or(now, |member| member.state_since);
        let link = previous.as_ref().map_or_else(LinkState::default, |member| {
            let is_same_address = member.update.node.address == update.node.address;
            member
                .link
                .after_update(is_same_address, update.state.is_live())
        });
        let is_suspect = update.state == MemberState::Suspect;
        let suspicion = is_suspect.then(|| Suspicion::new(now, update.reported_by.as_ref()));
        let member = Member {
            update: update.clone(),
            state_since,
            suspicion,
            link,
        };
        self.members.insert(update.node.name.clone(), member);
        UpdateEffect::Recorded { has_state_changed }
    }

    /// The deadline of each suspicion, on the clock of the events.
    pub(crate) fn suspicion_deadlines(
        &self,
        parameters: &SuspicionParameters,
    ) -> impl Iterator<Item = Duration> {
        self.suspicions(parameters).map(|(_, deadline)| deadline)
    }

    /// The updates of the members whose suspicion has expired.
    pub(crate) fn expired_suspicions(
        &self,
        now: Duration,
        parameters: &SuspicionParameters,
    ) -> Vec<MemberUpdate> {
        self.suspicions(parameters)
            .filter(|(_, deadline)| now >= *deadline)
            .map(|(member, _)| member.update.clone())
            .collect()
    }

    fn suspicions(
        &self,
        parameters: &SuspicionParameters,
    ) -> impl Iterator<Item = (&Member, Duration)> {
        self.iter().filter_map(move |member| {
            let suspicion = member.suspicion.as_ref()?;
            Some((member, suspicion.deadline(parameters)))
        })
    }

    /// Removes the members that died or left at least `retention` ago.
    pub(crate) fn remove_expired(&mut self, now: Duration, retention: Duration) {
        self.members.retain(|_, member| {
            member.is_live() || now.saturating_sub(member.state_since) < retention
        });
    }
}
