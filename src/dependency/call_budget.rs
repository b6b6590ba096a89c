//! Whether one more call keeps this server within its share of the calls that the dependency
//! survives.
//!
//! A shared dependency falls over when all servers together have too many calls in flight, and it
//! may keep working on an abandoned call for a while (the linger time). If the configuration states
//! a share, the calls in flight are summed over its window, and each new call is booked with its
//! whole timeout and linger time, so that the mean stays within the share even if no call returns
//! early. If no share is stated, a fixed number of calls per core limits how much a hanging
//! dependency can tie up. The cost is that calls which return early leave some of the share unused
//! until they have returned.
//!
//! A call whose timeout is not above one tick interval is not made either, whatever the budget: the
//! timeout would pass between two ticks and could not be enforced. An optional call is then
//! skipped, and a request with a mandatory call waits, in most cases until it is given up. The cost
//! shows if a share is so small that [`CallBudget::max_call_seconds`] is not above one tick
//! interval: then no call is made.
//!
//! An optional call leaves budget for a mandatory call. Otherwise mandatory calls would wait while
//! optional calls spend the budget, and would all be made at once when budget becomes free again.

use std::time::Duration;

use crate::config::{Config, Dependency};
use crate::duration::duration_from_seconds;
use crate::handlers::HandlerProfile;
use crate::limits::USABLE_LIMIT_FRACTION;

/// Maximum number of calls in flight per core, if the configuration states no share of the
/// dependency for this server.
const MAX_CALLS_PER_CORE: f64 = 4.0;

/// Number of calls with the longest timeout that fit into the budget, so that one call cannot spend
/// all of it.
const LONGEST_CALLS_PER_BUDGET: f64 = 4.0;

/// Optional calls that must fit into the budget in addition to the reserve for a mandatory call.
const OPTIONAL_CALLS_BEYOND_RESERVE: f64 = 2.0;

/// A call that may be made now.
pub(crate) struct PlannedCall {
    /// Its time limit.
    pub(crate) timeout: Duration,
    /// It may be skipped.
    pub(crate) is_optional: bool,
}

/// The load that this server puts on the dependency.
pub(crate) struct DependencyLoad {
    /// The time since the start of the process.
    pub(crate) now: Duration,
    /// The number of calls in flight, without abandoned calls.
    pub(crate) calls_in_flight: usize,
    /// Call-seconds in flight over the past [`CallBudget::window`].
    pub(crate) past_call_seconds: f64,
}

/// The budget, and the abandoned calls that are booked on it in addition to the calls in flight.
pub(crate) struct CallBudget {
    /// Call-seconds in flight that the share allows over `window`, if one is stated.
    budget_seconds: Option<f64>,
    window: Duration,
    linger: Duration,
    /// The latest times at which the dependency stops working on abandoned calls.
    abandoned_call_ends: Vec<Duration>,
    /// Whether some requests make calls that may not be skipped.
    has_mandatory_calls: bool,
    /// Maximum number of calls in flight, if no share is stated.
    max_calls_in_flight: f64,
    /// Timeouts up to this one pass between two ticks and cannot be enforced.
    min_timeout: Duration,
}

impl CallBudget {
    /// A budget before any call was made.
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

    /// The number of abandoned calls on which the dependency may still work.
    pub(crate) fn abandoned_calls(&self) -> usize {
        self.abandoned_call_ends.len()
    }

    /// Records an abandoned call, on which the dependency may work for the linger time.
    pub(crate) fn abandon_call(&mut self, now: Duration) {
        self.abandoned_call_ends
            .push(now.saturating_add(self.linger));
    }

    /// Forgets the abandoned calls whose linger time was over at the time `by`.
    pub(crate) fn forget_ended_calls(&mut self, by: Duration) {
        self.abandoned_call_ends.retain(|&end| end > by);
    }

    /// The longest timeout of one call, in seconds, if a share is stated.
    pub(crate) fn max_call_seconds(&self) -> Option<f64> {
        self.budget_seconds
            .map(|budget| budget / LONGEST_CALLS_PER_BUDGET)
    }

    /// Whether a call can be made now: its timeout can be enforced, and the budget has room for it.
    /// `calls_time_out_at` are the times at which the calls in flight time out.
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

    /// Call-seconds that an optional call with this timeout leaves for a mandatory call. The
    /// reserve shrinks if [`OPTIONAL_CALLS_BEYOND_RESERVE`] such optional calls would not fit in
    /// addition to it.
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
            .min(budget - OPTIONAL_CALLS_BEYOND_RESERVE * (own + linger))
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
        let remaining = in_flight + abandoned;
        let own = booked.saturating_add(self.linger).as_secs_f64();
        load.past_call_seconds + remaining + own <= budget
    }
}
