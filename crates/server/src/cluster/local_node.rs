//! The node of this process in the cluster: its membership, its leases and its voter. [`LocalNode`]
//! carries out their actions.
//!
//! The event loop passes events to [`LocalNode`], and calls it when a timer is due. Faults are
//! logged as `member name conflict`, `member metadata rejected`, `lease lost` and `lease rejected`;
//! a warning is logged if one zone has a majority of the voters.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tulipgap_consensus::Event as VoterEvent;
use tulipgap_leases::{
    Action as LeaseAction, Event as LeaseEvent, LeaseClient, LeaseSpec, LeaseStatus, Name,
    RejectReason,
};
use tulipgap_membership::{
    Action as MembershipAction, Event as MembershipEvent, MemberState, MemberUpdate, Membership,
};
use tulipgap_peer_protocol::Message;

use super::clock::{ClusterClock, Timer};
use super::input::PublishedValue;
use super::message_router::MessageRouter;
use super::voter_thread::VoterHandle;

/// The state machines of this process, with their timers and the message router. The event loop's
/// thread owns the node. The lease client is shared with the tasks'
/// [`LeaseHandle`](super::lease_handle::LeaseHandle)s, and the voter's thread owns the voter.
pub(crate) struct LocalNode {
    clock: ClusterClock,
    router: MessageRouter,
    membership: Membership,
    membership_timer: Timer,
    lease_client: Arc<Mutex<LeaseClient>>,
    lease_timer: Timer,
    voter: Option<VoterHandle>,
    /// The initial voters.
    voters: Vec<Name>,
    /// Whether it was logged that one zone has a majority of the voters.
    has_warned_of_zone_majority: bool,
}

/// The parts of a [`LocalNode`].
pub(crate) struct LocalNodeParts {
    /// The clock of the state machines.
    pub(crate) clock: ClusterClock,
    /// Delivers the messages of the state machines.
    pub(crate) router: MessageRouter,
    /// The membership.
    pub(crate) membership: Membership,
    /// The lease client.
    pub(crate) lease_client: Arc<Mutex<LeaseClient>>,
    /// The voter, if this process has one.
    pub(crate) voter: Option<VoterHandle>,
    /// The initial voters.
    pub(crate) voters: Vec<Name>,
}

impl From<LocalNodeParts> for LocalNode {
    fn from(parts: LocalNodeParts) -> Self {
        LocalNode {
            clock: parts.clock,
            router: parts.router,
            membership: parts.membership,
            membership_timer: Timer::default(),
            lease_client: parts.lease_client,
            lease_timer: Timer::default(),
            voter: parts.voter,
            voters: parts.voters,
            has_warned_of_zone_majority: false,
        }
    }
}

impl LocalNode {
    /// The clock of the cluster.
    pub(crate) fn clock(&self) -> ClusterClock {
        self.clock
    }

    /// The router that delivers messages to members.
    pub(crate) fn router(&self) -> &MessageRouter {
        &self.router
    }

    /// The membership, for reading.
    pub(crate) fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The voter, if this process has one.
    pub(crate) fn voter(&self) -> Option<&VoterHandle> {
        self.voter.as_ref()
    }

    /// When [`handle_timers`](Self::handle_timers) is due next.
    pub(crate) fn next_timer_at(&self) -> Option<Duration> {
        [self.membership_timer.at(), self.lease_timer.at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Handles the timers that are due at `now`.
    pub(crate) fn handle_timers(&mut self, now: Duration) {
        if self.membership_timer.take_if_due(now) {
            self.handle_membership_event_at(now, MembershipEvent::TimerExpired);
        }
        if self.lease_timer.take_if_due(now) {
            self.handle_lease_event(LeaseEvent::TimerElapsed);
        }
    }

    /// Sends an event to the voter, if this process has one.
    pub(crate) fn send_to_voter(&self, event: VoterEvent) {
        if let Some(voter) = &self.voter {
            voter.send(event);
        }
    }

    /// Passes an event to the membership, and carries out the resulting actions.
    pub(crate) fn handle_membership_event(&mut self, event: MembershipEvent) {
        self.handle_membership_event_at(self.clock.now(), event);
    }

    fn handle_membership_event_at(&mut self, now: Duration, event: MembershipEvent) {
        let actions = self.membership.handle_events(now, &[event]);
        let mut has_changed = false;
        for action in actions {
            has_changed |= matches!(action, MembershipAction::StateChanged { .. });
            self.carry_out_membership_action(action);
        }
        if has_changed {
            self.warn_of_zone_majority();
            for member in self.membership.members() {
                self.router
                    .learn_address(&member.update.node.name, member.update.node.address);
            }
        }
    }

    fn carry_out_membership_action(&mut self, action: MembershipAction) {
        match action {
            MembershipAction::Send { to, message } => {
                self.router.send_to_address(to, Message::Member(message));
            }
            MembershipAction::SetTimer { at } => self.membership_timer.set_earliest(at),
            MembershipAction::StateChanged {
                name,
                state,
                reported_by,
            } => {
                log_state_change(&name, state, reported_by.as_deref());
            }
            MembershipAction::NameConflict { address } => log_name_conflict(address),
            MembershipAction::MetadataRejected { error } => {
                log::warn!("member metadata rejected error=\"{error}\"");
            }
        }
    }

    /// Logs one warning if one zone has a majority of the voters: when that zone fails, no lease is
    /// granted or renewed.
    fn warn_of_zone_majority(&mut self) {
        let local = self.membership.local().clone();
        let members = self
            .membership
            .members()
            .map(|member| member.update)
            .chain([local]);
        let Some((zone, count)) = zone_with_majority(&self.voters, members) else {
            return;
        };
        if !std::mem::replace(&mut self.has_warned_of_zone_majority, true) {
            let total = self.voters.len();
            log::warn!(
                "voters of one zone are a majority zone={zone} voters={count} total={total}; \
                 no lease is granted while that zone is down"
            );
        }
    }

    /// The values that the other live members of this zone publish under a key.
    pub(crate) fn read_metadata(&self, key: &str) -> Vec<PublishedValue> {
        let zone = &self.membership.local().node.zone;
        let is_live_in_zone =
            |update: &MemberUpdate| update.node.zone == *zone && update.state == MemberState::Alive;
        (self.membership.members())
            .filter(|member| is_live_in_zone(&member.update))
            .filter_map(|member| {
                let value = member.update.metadata.get(key)?.clone();
                Some(PublishedValue {
                    member: member.update.node.name.clone(),
                    value,
                })
            })
            .collect()
    }

    /// Passes an event to the lease client, and carries out the resulting actions.
    pub(crate) fn handle_lease_event(&mut self, event: LeaseEvent) {
        let actions = self
            .lease_client
            .lock()
            .handle_event(self.clock.now(), event);
        self.carry_out_lease_actions(actions);
    }

    /// Carries out actions of the lease client.
    pub(crate) fn carry_out_lease_actions(&mut self, actions: Vec<LeaseAction>) {
        for action in actions {
            self.carry_out_lease_action(action);
        }
    }

    fn carry_out_lease_action(&mut self, action: LeaseAction) {
        match action {
            LeaseAction::Send {
                to,
                request,
                command,
            } => {
                self.router
                    .send(&to, Message::LeaseRequest { request, command });
            }
            LeaseAction::SetTimer { at } => self.lease_timer.set_earliest(at),
            LeaseAction::Acquired { lease, token } => {
                log::info!("lease acquired name={lease} token={token}");
            }
            LeaseAction::Lost {
                lease,
                token,
                reason,
            } => {
                log::info!("lease lost name={lease} token={token} reason={reason}");
            }
            LeaseAction::Rejected { lease, reason } => {
                log::warn!("lease rejected name={lease} reason=\"{reason}\"");
            }
        }
    }

    /// Requests a lease, and keeps it until it is released. If no slot is free, the request is
    /// queued.
    ///
    /// # Errors
    /// The reason, if the lease client rejects the request at once.
    pub(crate) fn acquire_lease(
        &mut self,
        lease: &str,
        spec: LeaseSpec,
        max_operation: Duration,
    ) -> Result<(), RejectReason> {
        let event = LeaseEvent::Acquire {
            lease: lease.into(),
            spec,
            max_operation,
            wait: true,
        };
        let actions = self
            .lease_client
            .lock()
            .handle_event(self.clock.now(), event);
        let rejected = actions.iter().find_map(|action| match action {
            LeaseAction::Rejected { reason, .. } => Some(reason.clone()),
            _ => None,
        });
        self.carry_out_lease_actions(actions);
        rejected.map_or(Ok(()), Err)
    }

    /// The leases that this process holds or requests.
    pub(crate) fn leases(&self) -> Vec<(Name, LeaseStatus)> {
        self.lease_client
            .lock()
            .leases()
            .map(|(name, status)| (name.clone(), status))
            .collect()
    }
}

/// The first zone, by name, that has more than half of the voters, and the number of its voters.
/// `None` if no zone has more than half, or if there is only one voter.
fn zone_with_majority(
    voters: &[Name],
    members: impl Iterator<Item = MemberUpdate>,
) -> Option<(Name, usize)> {
    let mut voters_by_zone: BTreeMap<Name, usize> = BTreeMap::new();
    for update in members.filter(|update| voters.contains(&update.node.name)) {
        *voters_by_zone.entry(update.node.zone).or_default() += 1;
    }
    let has_majority = |count: usize| voters.len() > 1 && count > voters.len() / 2;
    voters_by_zone
        .into_iter()
        .find(|(_, count)| has_majority(*count))
}

fn log_state_change(name: &Name, state: MemberState, reported_by: Option<&str>) {
    let state = format!("{state:?}").to_lowercase();
    match reported_by {
        Some(reporter) => {
            log::info!("member state changed name={name} state={state} reported_by={reporter}");
        }
        None => log::info!("member state changed name={name} state={state}"),
    }
}

fn log_name_conflict(address: SocketAddr) {
    log::error!(
        "member name conflict address={address}: another process has this name; this one sends nothing more"
    );
}
