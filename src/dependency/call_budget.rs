//! Whether one more call keeps this server within its share of what the dependency survives.
//!
//! A shared dependency falls over when all servers together have too many calls in flight, and a
//! call that was given up may go on working there for a while (the linger time). The rule binds
//! where the configuration states a share: the calls in flight are summed over its window, and each
//! new call is booked with its whole timeout and linger time, so that the mean stays within the
//! share even if none comes back early. Where no share is stated, a fixed number of calls per core
//! bounds what a hanging dependency can tie up. The price: calls that return early leave some of
//! the share unused until they have.
//!
//! A call whose timeout is not above one tick is not made either, whatever the budget: the timeout
//! would pass between two ticks and could not be kept. An optional call is skipped then, and a
//! request with a mandatory one waits, in most cases until it is given up. The price shows where a
//! share is so small that [`CallBudget::max_call_seconds`] is not above a tick: no call is made.
//!
//! An optional call leaves budget for a mandatory one. Otherwise mandatory calls wait while the
//! budget is spent on optional ones, and are all made at once when it is free again.

use std::time::Duration;

use crate::config::{Config, Dependency};
use crate::duration::duration_from_seconds;
use crate::handlers::HandlerProfile;
use crate::limits::USABLE_LIMIT_FRACTION;

/// Calls in flight per core, where the dependency states no share.
const MAX_CALLS_PER_CORE: f64 = 4.0;

/// Calls of the longest timeout that fit into the budget. One call must not spend all of it.
const LONGEST_CALLS_PER_BUDGET: f64 = 4.0;

/// Optional calls that must fit into the budget beside what is reserved for a mandatory one.
const OPTIONAL_CALLS_BESIDE_RESERVE: f64 = 2.0;

/// A call that may be made now.
pub(crate) struct PlannedCall {
    /// Its time limit.
    pub(crate) timeout: Duration,
    /// It may be skipped.
    pub(crate) is_optional: bool,
}

/// What the dependency does for this server now.
pub(crate) struct DependencyLoad {
    /// The time since the start of the process.
    pub(crate) now: Duration,
    /// Calls that are in flight.
    pub(crate) calls_in_flight: usize,
    /// Seconds of calls in flight over [`CallBudget::window`].
    pub(crate) past_call_seconds: f64,
}

/// The budget and what is booked on it beyond the calls in flight.
pub(crate) struct CallBudget {
    /// Seconds of calls in flight that the share allows over `window`, where one is stated.
    budget_seconds: Option<f64>,
    window: Duration,
    linger: Duration,
    /// When calls that were given up leave the dependency.
    abandoned_call_ends: Vec<Duration>,
    /// Some requests make calls that may not be skipped.
    has_mandatory_calls: bool,
    /// Calls in flight where no share is stated.
    max_calls_in_flight: f64,
    /// Shorter timeouts pass between two ticks and cannot be kept.
    min_timeout: Duration,
}

impl CallBudget {
    /// A budget of which nothing is spent.
    pub(crate) fn new(
        config: &Config,
        handlers: &[HandlerProfile],
        tick_interval: Duration,
    ) -> Self {
        let (budget_seconds, window, linger) = match config.dependency {
            Dependency::Shared {
                share,
                window,
                linger,
            } => (
                Some(share * window.as_secs_f64() * USABLE_LIMIT_FRACTION),
                window,
                linger,
            ),
            Dependency::None | Dependency::Tier => (None, Duration::ZERO, Duration::ZERO),
        };
        CallBudget {
            budget_seconds,
            window,
            linger,
            abandoned_call_ends: Vec::new(),
            has_mandatory_calls: handlers
                .iter()
                .any(|handler| handler.makes_calls && !handler.calls_are_optional),
            max_calls_in_flight: f64::from(config.cores) * MAX_CALLS_PER_CORE,
            min_timeout: tick_interval,
        }
    }

    /// The window over which calls in flight are summed.
    pub(crate) fn window(&self) -> Duration {
        self.window
    }

    /// Calls that were given up and may still be at work.
    pub(crate) fn abandoned_calls(&self) -> usize {
        self.abandoned_call_ends.len()
    }

    /// A call was given up and may go on at the dependency for the linger time.
    pub(crate) fn abandon_call(&mut self, now: Duration) {
        self.abandoned_call_ends
            .push(now.saturating_add(self.linger));
    }

    /// Forgets abandoned calls that had left the dependency by then.
    pub(crate) fn forget_ended_calls(&mut self, by: Duration) {
        self.abandoned_call_ends.retain(|&end| end > by);
    }

    /// Seconds that one call may take at most, where a share is stated.
    pub(crate) fn max_call_seconds(&self) -> Option<f64> {
        self.budget_seconds
            .map(|budget| budget / LONGEST_CALLS_PER_BUDGET)
    }

    /// Whether a call can be made now: its timeout can be kept, and the budget has room for it.
    /// `calls_time_out_at` are the ends of those in flight.
    pub(crate) fn allows_call(
        &self,
        call: &PlannedCall,
        load: &DependencyLoad,
        calls_time_out_at: impl Iterator<Item = Duration>,
    ) -> bool {
        let reserved_seconds = if call.is_optional {
            self.reserved_seconds(call.timeout)
        } else {
            0.0
        };
        let booked = call
            .timeout
            .saturating_add(duration_from_seconds(reserved_seconds));
        call.timeout > self.min_timeout && self.has_room_for(booked, load, calls_time_out_at)
    }

    /// Seconds that an optional call with this timeout leaves for a mandatory one, as far as two of
    /// its own fit beside them.
    fn reserved_seconds(&self, timeout: Duration) -> f64 {
        let (Some(budget), Some(max_call_seconds)) = (self.budget_seconds, self.max_call_seconds())
        else {
            return 0.0;
        };
        if !self.has_mandatory_calls {
            return 0.0;
        }
        let (linger, own) = (self.linger.as_secs_f64(), timeout.as_secs_f64());
        (max_call_seconds + linger)
            .min(budget - OPTIONAL_CALLS_BESIDE_RESERVE * (own + linger))
            .max(0.0)
    }

    fn has_room_for(
        &self,
        booked: Duration,
        load: &DependencyLoad,
        calls_time_out_at: impl Iterator<Item = Duration>,
    ) -> bool {
        let Some(budget) = self.budget_seconds else {
            return (load.calls_in_flight as f64) < self.max_calls_in_flight;
        };
        let remaining_seconds = |end: Duration| end.saturating_sub(load.now).as_secs_f64();
        let in_flight: f64 = calls_time_out_at
            .map(|end| remaining_seconds(end.saturating_add(self.linger)))
            .sum();
        let abandoned: f64 = self
            .abandoned_call_ends
            .iter()
            .map(|&end| remaining_seconds(end))
            .sum();
        let ahead = in_flight + abandoned;
        let own = booked.saturating_add(self.linger).as_secs_f64();
        load.past_call_seconds + ahead + own <= budget
    }
}
