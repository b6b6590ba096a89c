//! The feedback value that answers carry.
//!
//! The fraction of the usual traffic that this server can serve is converted to the form that
//! callers understand: a traffic weight, a priority threshold or a concurrency credit. The fraction
//! is the wanted traffic, is lower on a degraded server, and is zero on a server that is failing or
//! whose callers are asked to leave. Without this value, callers learn of overload only from
//! rejections, each of which costs the server a read. The value is rounded, so that small changes
//! are not sent. The cost is that callers send less to a server that is permanently slow.
//!
//! Before it is rounded, a concurrency credit is zero only on a failing server: a draining server
//! still grants [`MIN_CREDIT_PER_CORE`] for each core to all callers together. While the fraction
//! is below 1, the credit of all cores is divided by the number of callers. Otherwise the credit is
//! not divided: each caller may have as many outstanding requests as the whole server survives when
//! warm, and only the server's own limits bound their sum.

use crate::config::{CallerFeedback, Config};

/// Minimum number of outstanding requests per core that all callers together are granted.
const MIN_CREDIT_PER_CORE: f64 = 0.5;

/// Additional outstanding requests per core that are granted for all of the usual traffic.
const EXTRA_CREDIT_PER_CORE: f64 = 3.5;

/// Number of steps into which a unit of the value is divided; a value is rounded to a whole step.
const STEPS_PER_UNIT: f64 = 20.0;

/// Initial value, which is never sent, so that the first computed value always differs.
const NO_VALUE: f64 = -1.0;

/// The input of the feedback value.
pub(crate) struct FeedbackInput {
    /// The server is draining, and its callers are asked to leave (at once or late in the grace).
    pub(crate) is_draining: bool,
    /// Runs on this server fail often.
    pub(crate) is_failing: bool,
    /// The fraction of the usual traffic that a server of this slowdown asks for; at least 1 while
    /// the server is not far slower than usual.
    pub(crate) slowdown_traffic_fraction: f64,
    /// The fraction of the usual traffic that is wanted.
    pub(crate) wanted_traffic_fraction: f64,
    /// Requests that a warm server survives at once.
    pub(crate) warm_concurrency: f64,
    /// The number of cores.
    pub(crate) cores: f64,
}

impl FeedbackInput {
    fn traffic_fraction(&self) -> f64 {
        if self.is_draining || self.is_failing {
            0.0
        } else {
            self.slowdown_traffic_fraction
                .min(self.wanted_traffic_fraction)
        }
    }
}

/// The feedback that was last sent to callers.
pub(crate) struct Feedback {
    kind: CallerFeedback,
    callers: f64,
    last_value: f64,
}

impl Feedback {
    /// Feedback before the first value is sent.
    pub(crate) fn new(config: &Config) -> Self {
        Feedback {
            kind: config.feedback,
            callers: f64::from(config.callers.max(1)),
            last_value: NO_VALUE,
        }
    }

    /// The number of callers, at least 1.
    pub(crate) fn callers(&self) -> f64 {
        self.callers
    }

    /// The new value, if callers receive feedback and it has changed.
    pub(crate) fn update(&mut self, input: &FeedbackInput) -> Option<f64> {
        let value = (self.value(input)? * STEPS_PER_UNIT).round() / STEPS_PER_UNIT;
        if value == self.last_value {
            return None;
        }
        self.last_value = value;
        Some(value)
    }

    /// The value before it is rounded: from 0 to 1 for a traffic weight and a priority threshold,
    /// outstanding requests per caller for a concurrency credit.
    fn value(&self, input: &FeedbackInput) -> Option<f64> {
        let fraction = input.traffic_fraction();
        match self.kind {
            CallerFeedback::None => None,
            CallerFeedback::TrafficWeight => Some(fraction),
            CallerFeedback::PriorityThreshold => Some(1.0 - fraction),
            CallerFeedback::ConcurrencyCredit if input.is_failing => Some(0.0),
            CallerFeedback::ConcurrencyCredit if fraction >= 1.0 => Some(input.warm_concurrency),
            CallerFeedback::ConcurrencyCredit => {
                let credit_per_core = MIN_CREDIT_PER_CORE + EXTRA_CREDIT_PER_CORE * fraction;
                Some(input.cores * credit_per_core / self.callers)
            }
        }
    }
}
