//! How slow this server is: seconds on a core per second of work, at present and usually.
//!
//! Work is stated in seconds on an average core, so the slowdown is 1 on an average core and 2 on a
//! core of half that speed. Every prediction is multiplied by the slowdown. A server whose slowdown
//! is far above its usual one is degraded (a neighbour takes its cores, or its disk is slow), and
//! another server would do better: it then asks for less traffic and sends longer retry-afters.
//!
//! A few requests with rough estimates show little: on a server with two cores, two long requests
//! would make it look degraded, and it would reject requests while its cores are idle. The usual
//! slowdown therefore counts like several additional requests. While no run is on a core and none
//! has succeeded recently, only the usual slowdown counts, because a server that hung would
//! otherwise reject requests indefinitely. The cost is that a slow server is detected later.
//!
//! Both figures outlive the requests from which they were measured, so no request may move them to
//! a value from which they do not return. The measured slowdown is finite because every request
//! counts with some work (`handlers.rs`), and the usual slowdown stays between fixed limits: no run
//! shows that a machine is slower or faster than these.

use std::time::Duration;

use crate::config::Config;

/// Minimum speed that is assumed for a cold start, as a fraction of the warm speed.
const MIN_COLD_SPEED_FRACTION: f64 = 0.05;

/// Slowdown of an average core.
const AVERAGE_CORE_SLOWDOWN: f64 = 1.0;

/// Number of requests of mean work, at the usual slowdown, that are added to the measurement as a
/// prior.
const PRIOR_REQUESTS: f64 = 6.0;

/// Maximum of the usual slowdown: that of the slowest cold start.
const MAX_USUAL_SLOWDOWN: f64 = AVERAGE_CORE_SLOWDOWN / MIN_COLD_SPEED_FRACTION;

/// Minimum of the usual slowdown: a machine as much faster than the average as the slowest one is
/// slower.
const MIN_USUAL_SLOWDOWN: f64 = AVERAGE_CORE_SLOWDOWN / MAX_USUAL_SLOWDOWN;

/// Fraction by which a tick moves the usual slowdown while the measured one is better, or while the
/// server still learns the speed of its machine. The usual slowdown follows 63 percent of a change
/// in 50 ticks, which is 0.25 to 1.25 s: the tick interval is 5 to 25 ms, depending on the
/// configured response slack (`clock.rs`).
const USUAL_SLOWDOWN_GAIN: f64 = 0.02;

/// Fraction by which a tick moves the usual slowdown while the measured one is worse: a fault must
/// not become usual while it lasts. The usual slowdown follows 63 percent of a change in 2,000
/// ticks, which is 10 to 50 s.
const USUAL_SLOWDOWN_GAIN_WHEN_WORSE: f64 = 0.0005;

/// Age up to which a server that started warm learns the speed of its machine.
const LEARNING_TIME: Duration = Duration::from_secs(4);

/// Multiple of the usual slowdown above which a server is degraded.
const DEGRADED_FACTOR: f64 = 1.7;

/// Time on a core and expected work, of one run or summed over several runs.
pub(crate) struct RunTimes {
    /// Seconds on a core.
    pub(crate) core_seconds: f64,
    /// Seconds of work, on an average core.
    pub(crate) work_seconds: f64,
}

/// The input of one measurement.
pub(crate) struct SlowdownSample {
    /// All runs that recently succeeded.
    pub(crate) completed: RunTimes,
    /// Mean seconds of work of recent arrivals; above 0.
    pub(crate) mean_work_seconds: f64,
    /// The time since the start of the process.
    pub(crate) age: Duration,
    /// The server was warm when it started.
    pub(crate) started_warm: bool,
}

/// Seconds on a core for a second of work.
pub(crate) struct Slowdown {
    /// Finite and above 0.
    measured: f64,
    /// From [`MIN_USUAL_SLOWDOWN`] to [`MAX_USUAL_SLOWDOWN`].
    usual: f64,
}

impl Slowdown {
    /// The slowdown of a server that starts now, warm or cold.
    pub(crate) fn new(config: &Config) -> Self {
        let measured = if config.starts_cold {
            AVERAGE_CORE_SLOWDOWN / config.cold_speed.max(MIN_COLD_SPEED_FRACTION)
        } else {
            AVERAGE_CORE_SLOWDOWN
        };
        Slowdown {
            measured,
            usual: AVERAGE_CORE_SLOWDOWN,
        }
    }

    /// The measured slowdown, as a factor.
    pub(crate) fn measured(&self) -> f64 {
        self.measured
    }

    /// Measures the slowdown from recent runs and from the runs in `running` that take longer than
    /// expected, and moves the usual slowdown towards the result.
    pub(crate) fn update(
        &mut self,
        sample: &SlowdownSample,
        running: impl Iterator<Item = RunTimes>,
    ) {
        let mut core_seconds = sample.completed.core_seconds;
        let mut work_seconds = sample.completed.work_seconds;
        for run in running {
            if run.core_seconds > run.work_seconds * self.measured {
                core_seconds += run.core_seconds;
                work_seconds += run.work_seconds;
            }
        }
        let prior_seconds = PRIOR_REQUESTS * sample.mean_work_seconds;
        self.measured =
            (core_seconds + prior_seconds * self.usual) / (work_seconds + prior_seconds);
        // Otherwise a slow type of machine would look degraded from its start.
        let is_learning = sample.started_warm && sample.age < LEARNING_TIME;
        let is_better = self.measured < self.usual;
        let gain = if is_better || is_learning {
            USUAL_SLOWDOWN_GAIN
        } else {
            USUAL_SLOWDOWN_GAIN_WHEN_WORSE
        };
        let usual = self.usual + gain * (self.measured - self.usual);
        self.usual = usual.clamp(MIN_USUAL_SLOWDOWN, MAX_USUAL_SLOWDOWN);
        debug_assert!(
            self.measured.is_finite() && self.measured > 0.0,
            "the measured slowdown is {}",
            self.measured
        );
    }

    /// Whether this server is so slow that another would serve better.
    pub(crate) fn is_far_above_usual(&self) -> bool {
        self.measured > DEGRADED_FACTOR * self.usual
    }

    /// The fraction of the usual traffic that a server of this slowdown asks for; at least 1 while
    /// the server is not far slower than usual.
    pub(crate) fn traffic_fraction(&self) -> f64 {
        DEGRADED_FACTOR * self.usual / self.measured
    }
}
