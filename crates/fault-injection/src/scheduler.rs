//! Simulated time: an event queue that advances the time, and a fingerprint for the comparison of
//! runs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::plan::MemberIndex;

/// The number of starts of a process. It identifies timers of an earlier start, which have no
/// effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ProcessGeneration(pub(crate) u64);

impl ProcessGeneration {
    pub(crate) fn next(self) -> Self {
        ProcessGeneration(self.0 + 1)
    }
}

/// The simulated time and the queued events. Each event belongs to one member. Events with the same
/// time are handled in the order in which they were scheduled. Only this module advances the time.
pub(crate) struct Scheduler<E> {
    now: Duration,
    sequence: u64,
    events: BTreeMap<(Duration, u64), (MemberIndex, E)>,
}

impl<E> Scheduler<E> {
    pub(crate) fn new() -> Self {
        Scheduler {
            now: Duration::ZERO,
            sequence: 0,
            events: BTreeMap::new(),
        }
    }

    /// The time since the start of the run.
    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    /// Returns a number that no event and no other caller gets.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Schedules an event for a member at a time since the start of the run.
    pub(crate) fn schedule(&mut self, at: Duration, member: MemberIndex, event: E) {
        let sequence = self.next_sequence();
        self.events.insert((at, sequence), (member, event));
    }

    /// Schedules an event for a member after a delay.
    pub(crate) fn schedule_in(&mut self, delay: Duration, member: MemberIndex, event: E) {
        self.schedule(self.now + delay, member, event);
    }
}

/// A simulation: members that handle events, and invariants that are checked at intervals.
pub(crate) trait Simulation {
    type Event;

    /// How often the invariants are checked, in simulated time.
    const CHECK_INTERVAL: Duration;

    fn scheduler(&mut self) -> &mut Scheduler<Self::Event>;

    fn handle(&mut self, member: MemberIndex, event: Self::Event);

    fn check_invariants(&mut self);

    /// Whether an invariant was violated. The run then ends.
    fn has_failed(&self) -> bool;
}

/// Runs a simulation until its length is over, no event is left, or an invariant is violated.
pub(crate) fn run_simulation<S: Simulation>(simulation: &mut S, length: Duration) {
    let mut next_check = S::CHECK_INTERVAL;
    while let Some(((at, _), (member, event))) = simulation.scheduler().events.pop_first() {
        while next_check <= at.min(length) {
            simulation.scheduler().now = next_check;
            simulation.check_invariants();
            next_check += S::CHECK_INTERVAL;
        }
        if at > length || simulation.has_failed() {
            return;
        }
        simulation.scheduler().now = at;
        simulation.handle(member, event);
    }
}

/// A hash of the events of a run that the simulation mixes in (FNV-1a over 64-bit values). Equal
/// runs have equal fingerprints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fingerprint(u64);

impl Fingerprint {
    /// The hash of empty input, as FNV-1a defines it for 64 bits.
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    /// The multiplier, as FNV-1a defines it for 64 bits.
    const PRIME: u64 = 0x0100_0000_01b3;

    pub(crate) fn new() -> Self {
        Fingerprint(Self::OFFSET_BASIS)
    }

    pub(crate) fn mix(&mut self, values: [u64; 3]) {
        for value in values {
            self.0 = (self.0 ^ value).wrapping_mul(Self::PRIME);
        }
    }

    pub(crate) fn value(self) -> u64 {
        self.0
    }
}
