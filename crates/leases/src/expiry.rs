//! Expiry of owners that did not renew: an owner loses its slot or queue place after its TTL has
//! ended, even if the leader's clock is fast by the maximum drift. Only the leader decides this,
//! and proposes it as a command.
//!
//! If an expiry came too early, a second owner would be granted the slot while the former owner
//! still acts, and two guards would be valid at the same time. Three rules make an expiry late
//! rather than early:
//!
//! - The tracker lengthens every TTL by the maximum clock drift.
//! - A new leader restarts every TTL in full, because the owner may have renewed just before.
//! - The tracker counts at most [`MAX_COUNTED_STEP`] between two readings of the clock. A clock
//!   that jumps ahead, or a pause of the leader while renewals wait in its socket, adds no more
//!   than that to the age of a lease.
//!
//! The cost: after a change of leader, the slot of a dead owner stays taken for up to two TTLs.
//!
//! The tracker's state is neither replicated nor stored. The scheme is that of Gray and Cheriton;
//! see the crate documentation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::injected_bug::{BugSwitch, InjectedBug};
use crate::protocol::{Command, Incarnation, Name, Owner, PERMILLE, RenewalNumber};
use crate::state_machine::LeaseStateMachine;

/// Maximum time that is counted between two readings of the clock.
const MAX_COUNTED_STEP: Duration = Duration::from_millis(500);
/// Time after which the leader proposes an expiry again if it was not applied.
const EXPIRE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A lease and one of its holders or queued owners.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct OwnedLease {
    lease: Name,
    owner: Owner,
}

/// When the leader proposes to expire an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Deadline {
    /// The number of the owner's latest request.
    renewal: RenewalNumber,
    /// The end of the TTL or, after an expiry was proposed, the time of its retry; in counted time.
    at: Duration,
}

/// Tracks the TTLs of all owners while its voter leads, and returns the commands that expire the
/// owners that did not renew. It owns all deadlines and only reads the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExpiryTracker {
    max_clock_drift_permille: u32,
    is_leading: bool,
    /// The latest reading of the clock.
    last_reading: Duration,
    /// The time counted so far. Deadlines are in counted time.
    counted: Duration,
    deadlines: BTreeMap<OwnedLease, Deadline>,
    /// The same deadlines, ordered by time.
    by_time: BTreeSet<(Duration, OwnedLease)>,
    bug: BugSwitch,
}

impl ExpiryTracker {
    /// Creates the tracker of a voter that does not lead yet. The rate of a clock may be off by
    /// `max_clock_drift_permille` thousandths.
    pub fn new(max_clock_drift_permille: u32) -> Self {
        ExpiryTracker {
            max_clock_drift_permille,
            is_leading: false,
            last_reading: Duration::ZERO,
            counted: Duration::ZERO,
            deadlines: BTreeMap::new(),
            by_time: BTreeSet::new(),
            bug: BugSwitch::default(),
        }
    }

    /// Injects a bug; `None` removes it.
    #[cfg(feature = "injected-bugs")]
    pub fn inject_bug(&mut self, bug: Option<InjectedBug>) {
        self.bug = BugSwitch::new(bug);
    }

    /// Starts to track TTLs because the voter has become the leader. Every TTL restarts now,
    /// because any owner may have renewed just before.
    pub fn start_leading(&mut self, now: Duration, state: &LeaseStateMachine) {
        self.stop_leading();
        self.last_reading = now;
        self.is_leading = true;
        for (lease, _) in state.leases() {
            self.track(lease, state);
        }
    }

    /// Stops tracking because the voter is no longer the leader.
    pub fn stop_leading(&mut self) {
        self.is_leading = false;
        self.deadlines.clear();
        self.by_time.clear();
    }

    /// Updates the deadlines of a lease after a command about it was applied.
    pub fn handle_applied_command(
        &mut self,
        now: Duration,
        lease: &Name,
        state: &LeaseStateMachine,
    ) {
        if self.is_leading {
            self.read_clock(now);
            self.track(lease, state);
        }
    }

    /// Returns a command to propose for each owner whose TTL has ended. A command that is not
    /// applied is returned again later.
    pub fn due_expirations(&mut self, now: Duration) -> Vec<Command> {
        if !self.is_leading {
            return Vec::new();
        }
        self.read_clock(now);
        let mut commands = Vec::new();
        while let Some(owned) = self.take_due() {
            commands.extend(self.expire(owned));
        }
        commands
    }

    /// Removes the earliest deadline from `by_time` if it has passed, and returns its owner.
    fn take_due(&mut self) -> Option<OwnedLease> {
        let (at, _) = self.by_time.first()?;
        if *at > self.counted {
            return None;
        }
        self.by_time.pop_first().map(|(_, owned)| owned)
    }

    /// Returns the command that expires an owner, and schedules its retry.
    fn expire(&mut self, owned: OwnedLease) -> Option<Command> {
        let retry_at = self.counted + EXPIRE_RETRY_INTERVAL;
        let deadline = self.deadlines.get_mut(&owned)?;
        deadline.at = retry_at;
        let command = Command::Expire {
            lease: owned.lease.clone(),
            owner: owned.owner.clone(),
            renewal: deadline.renewal,
        };
        self.by_time.insert((retry_at, owned));
        Some(command)
    }

    /// When [`due_expirations`](Self::due_expirations) should be called next, by the voter's clock;
    /// `None` while there are no deadlines. The time is at most 250 ms after the latest reading of
    /// the clock. This is half of the maximum step, so that a somewhat late reading still counts in
    /// full.
    pub fn next_check_at(&self) -> Option<Duration> {
        let (deadline, _) = self.by_time.first()?;
        let remaining = deadline.saturating_sub(self.counted);
        Some(self.last_reading + remaining.min(MAX_COUNTED_STEP / 2))
    }

    /// How long this clock must count until a TTL has passed in true time, even if this clock is
    /// fast by the maximum drift. The client of the owner allows for a slow clock of the owner.
    fn longest_ttl(&self, ttl: Duration) -> Duration {
        if self.bug.is_on(InjectedBug::NoClockMargin) {
            return ttl;
        }
        ttl * (PERMILLE + self.max_clock_drift_permille) / PERMILLE
    }

    fn read_clock(&mut self, now: Duration) {
        self.counted += now.saturating_sub(self.last_reading).min(MAX_COUNTED_STEP);
        self.last_reading = now;
    }

    /// Updates the deadlines of one lease.
    fn track(&mut self, lease: &Name, state: &LeaseStateMachine) {
        self.remove_former_owners(lease, state);
        for (owner, renewal, ttl) in state.running_ttls(lease) {
            let owned = OwnedLease {
                lease: lease.clone(),
                owner: owner.clone(),
            };
            match self.deadlines.get(&owned) {
                Some(deadline) if deadline.renewal == renewal => continue,
                Some(deadline) => _ = self.by_time.remove(&(deadline.at, owned.clone())),
                None => {}
            }
            let at = self.counted + self.longest_ttl(ttl);
            self.deadlines
                .insert(owned.clone(), Deadline { renewal, at });
            self.by_time.insert((at, owned));
        }
    }

    fn remove_former_owners(&mut self, lease: &Name, state: &LeaseStateMachine) {
        let no_owner = Owner {
            name: "".into(),
            incarnation: Incarnation::default(),
        };
        let first = OwnedLease {
            lease: lease.clone(),
            owner: no_owner,
        };
        let tracked = self.deadlines.range(first..).map(|(owned, _)| owned);
        let former: Vec<OwnedLease> = tracked
            .take_while(|owned| owned.lease == *lease)
            .filter(|owned| {
                !state
                    .running_ttls(lease)
                    .any(|(owner, _, _)| *owner == owned.owner)
            })
            .cloned()
            .collect();
        for owned in former {
            if let Some(deadline) = self.deadlines.remove(&owned) {
                self.by_time.remove(&(deadline.at, owned));
            }
        }
    }
}
