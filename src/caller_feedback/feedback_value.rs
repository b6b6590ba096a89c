//! The feedback value that answers carry.
//!
//! The fraction of the usual traffic that this server can serve is put into the form that callers
//! understand: a traffic weight, a priority threshold or a concurrency credit. The fraction is the
//! wanted one, less on a degraded server, and zero on one that is failing or whose callers are
//! asked to leave. Without it callers find out by rejections, each of which costs reading. The
//! value is rounded, so that small changes are not sent. The price: callers of a server that is
//! slow for good send less.
//!
//! A concurrency credit is zero on a failing server only: a draining one still grants
//! [`MIN_CREDIT_PER_CORE`] to all callers together. While less than all of the usual traffic is
//! wanted, the credit of the cores is divided by the number of callers. Otherwise it is not
//! divided: each caller may have as many requests outstanding as the whole server survives when
//! warm, and only the server's own limits bound their sum.

use crate::config::{CallerFeedback, Config};

/// Outstanding requests per core that all callers together are granted at least.
const MIN_CREDIT_PER_CORE: f64 = 0.5;

/// Outstanding requests per core that are granted beyond that for all of the usual traffic.
const EXTRA_CREDIT_PER_CORE: f64 = 3.5;

/// Steps to which a value is rounded, from one whole number to the next.
const STEPS_PER_UNIT: f64 = 20.0;

/// Value that no caller is ever sent, so that the first one always is.
const NO_VALUE: f64 = -1.0;

/// What the value follows from.
pub(crate) struct FeedbackInput {
    /// The server is draining, and its callers are asked to leave (at once or late in the grace).
    pub(crate) is_draining: bool,
    /// Runs on this server fail often.
    pub(crate) is_failing: bool,
    /// The fraction of the usual traffic that a server this slow serves as quickly as usual.
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

/// What callers were sent last.
pub(crate) struct Feedback {
    kind: CallerFeedback,
    callers: f64,
    last_value: f64,
}

impl Feedback {
    /// Callers have no value yet.
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

    /// The new value, where callers can be told one and it has changed.
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
