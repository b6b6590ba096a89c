//! When an owner that did not renew loses its slot: once its TTL is over by any clock. The leader
//! alone decides, and proposes it as a command.
//!
//! The failure to guard against is an expiry that comes too early: the former owner still acts and
//! a second one is granted the slot. It would show as two valid guards at a time. Three things make
//! it too late rather than too early: every TTL is counted longer by the rate that clocks may be
//! off; a new leader counts every TTL anew and in full, as the owner may have renewed just before;
//! and little is counted between two readings of the clock, so that a clock that jumps ahead, or a
//! leader that was paused while renewals waited in its socket, expires nobody. The price: after a
//! change of leader a dead owner's slot stays taken for up to two TTLs.
//!
//! Nothing of this is replicated or stored. The scheme is that of Gray and Cheriton; see the crate.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::injected_bug::{BugSwitch, InjectedBug};
use crate::protocol::{Command, Incarnation, Name, Owner, PERMILLE, RenewalNumber};
use crate::state_machine::LeaseStateMachine;

/// The most time that is counted between two readings of the clock.
const MAX_COUNTED_STEP: Duration = Duration::from_millis(500);
/// How long until an expiry that was not applied is proposed again.
const EXPIRE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// An owner of a lease or of a place in its queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct OwnedLease {
    lease: Name,
    owner: Owner,
}

/// When an owner's TTL is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Deadline {
    /// The latest request of the owner.
    renewal: RenewalNumber,
    /// In counted time.
    at: Duration,
}

/// Counts the TTLs of all owners while its voter leads, and proposes to expire those that did not
/// renew. It owns all deadlines; the state machine is only read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExpiryTracker {
    max_clock_drift_permille: u32,
    is_leading: bool,
    /// What the clock showed when it was last read.
    clock: Duration,
    /// The time counted so far. Deadlines are in this time.
    counted: Duration,
    deadlines: BTreeMap<OwnedLease, Deadline>,
    /// The same deadlines, the soonest first.
    by_time: BTreeSet<(Duration, OwnedLease)>,
    bug: BugSwitch,
}

impl ExpiryTracker {
    /// The tracker of a voter that does not lead yet. Clocks may be off in rate by
    /// `max_clock_drift_permille` thousandths.
    pub fn new(max_clock_drift_permille: u32) -> Self {
        ExpiryTracker {
            max_clock_drift_permille,
            is_leading: false,
            clock: Duration::ZERO,
            counted: Duration::ZERO,
            deadlines: BTreeMap::new(),
            by_time: BTreeSet::new(),
            bug: BugSwitch::default(),
        }
    }

    /// Makes the tracker behave as though it had that bug.
    #[cfg(feature = "injected-bugs")]
    pub fn inject_bug(&mut self, bug: Option<InjectedBug>) {
        self.bug = BugSwitch::new(bug);
    }

    /// Its voter leads from now on: any owner may have renewed just before, so every TTL begins
    /// now.
    pub fn start_leading(&mut self, now: Duration, state: &LeaseStateMachine) {
        self.stop_leading();
        self.clock = now;
        self.is_leading = true;
        for (lease, _) in state.leases() {
            self.track(lease, state);
        }
    }

    /// Its voter leads no more.
    pub fn stop_leading(&mut self) {
        self.is_leading = false;
        self.deadlines.clear();
        self.by_time.clear();
    }

    /// A command about that lease was applied.
    pub fn command_applied(&mut self, now: Duration, lease: &Name, state: &LeaseStateMachine) {
        if self.is_leading {
            self.read_clock(now);
            self.track(lease, state);
        }
    }

    /// The owners whose TTL is over, each as a command to propose. One that is not applied is
    /// returned again later.
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

    /// Removes the soonest owner from the order of time, where its TTL is over.
    fn take_due(&mut self) -> Option<OwnedLease> {
        let (at, _) = self.by_time.first()?;
        if *at > self.counted {
            return None;
        }
        self.by_time.pop_first().map(|(_, owned)| owned)
    }

    /// The command that expires an owner, and the time at which it is returned again.
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

    /// When [`due_expirations`](Self::due_expirations) should be called next, by the voter's clock.
    /// At most a quarter of a second after the clock was last read: half of the most time that one
    /// reading counts, so that one which comes somewhat late still counts in full.
    pub fn next_check_at(&self) -> Option<Duration> {
        let (deadline, _) = self.by_time.first()?;
        let remaining = deadline.saturating_sub(self.counted);
        Some(self.clock + remaining.min(MAX_COUNTED_STEP / 2))
    }

    /// How long to count by this clock until a TTL is over by every clock: the owner's may be slow
    /// and this one fast.
    fn longest_ttl(&self, ttl: Duration) -> Duration {
        if self.bug.is_on(InjectedBug::NoClockMargin) {
            return ttl;
        }
        ttl * (PERMILLE + self.max_clock_drift_permille) / PERMILLE
    }

    fn read_clock(&mut self, now: Duration) {
        self.counted += now.saturating_sub(self.clock).min(MAX_COUNTED_STEP);
        self.clock = now;
    }

    /// Brings the deadlines of one lease up to date.
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
