//! Recent measurements, and the figures that more than one rule derives from them. No decision is
//! taken here.

mod sliding_window;
#[cfg(test)]
mod tests;

use std::ops::Range;
use std::time::Duration;

pub(crate) use sliding_window::Metric;
use sliding_window::SlidingWindow;

use crate::config::Dependency;
use crate::handlers::DEFAULT_WORK_SECONDS;

/// Width of the buckets in which metrics are kept.
pub(crate) const BUCKET_WIDTH: Duration = Duration::from_millis(250);

/// Window of the means that the control loops follow.
pub(crate) const MEASUREMENT_WINDOW: Duration = Duration::from_millis(2000);

/// Window of the mean work of arrivals.
const WORK_WINDOW: Duration = Duration::from_secs(5);

/// The minimum span that is retained, whatever the window of the dependency. It must cover every
/// window over which a rule sums; the controller asserts this for the windows of other modules.
pub(crate) const MIN_RETAINED_SPAN: Duration = WORK_WINDOW;

const _: () = assert!(MEASUREMENT_WINDOW.as_millis() <= MIN_RETAINED_SPAN.as_millis());

/// Recent measurements of one server.
pub(crate) struct Metrics {
    window: SlidingWindow,
    tick_interval: Duration,
}

impl Metrics {
    /// Metrics without measurements. The window covers that of a shared dependency, and there is
    /// one metric of arrivals for each priority level.
    pub(crate) fn new(
        dependency: Dependency,
        tick_interval: Duration,
        priority_levels: usize,
    ) -> Self {
        let dependency_window = match dependency {
            Dependency::Shared { window, .. } => window,
            Dependency::None | Dependency::Tier => Duration::ZERO,
        };
        let span = dependency_window.max(MIN_RETAINED_SPAN);
        Metrics {
            window: SlidingWindow::new(BUCKET_WIDTH, span, priority_levels),
            tick_interval,
        }
    }

    /// Moves to the bucket of `now`.
    pub(crate) fn advance(&mut self, now: Duration) {
        self.window.advance(now);
    }

    /// Adds `amount` to a metric at the current time.
    pub(crate) fn add(&mut self, metric: Metric, amount: f64) {
        self.window.add(metric, amount);
    }

    /// Adds 1 to a metric at the current time if `has_occurred` is set.
    pub(crate) fn count_if(&mut self, metric: Metric, has_occurred: bool) {
        self.window.add(metric, f64::from(u8::from(has_occurred)));
    }

    /// The sum of a metric over the last `span` and up to one [`BUCKET_WIDTH`] more, because the
    /// current bucket is added to the full buckets that `span` needs.
    pub(crate) fn sum_over(&self, metric: Metric, span: Duration) -> f64 {
        self.window.sum(metric, span)
    }

    /// The sum of a metric over the measurement window and up to one [`BUCKET_WIDTH`] more.
    pub(crate) fn recent(&self, metric: Metric) -> f64 {
        self.window.sum(metric, MEASUREMENT_WINDOW)
    }

    /// Recent arrivals at these priority levels.
    pub(crate) fn arrivals_at(&self, levels: Range<usize>) -> f64 {
        levels
            .map(|level| self.recent(Metric::ArrivedAtLevel(level)))
            .sum()
    }

    /// Mean seconds of work of recent arrivals.
    pub(crate) fn mean_work_seconds(&self) -> f64 {
        self.window
            .ratio(Metric::ArrivedWork, Metric::Arrived, WORK_WINDOW)
            .unwrap_or(DEFAULT_WORK_SECONDS)
    }

    /// Mean response time in seconds of recently completed requests, if there were any.
    pub(crate) fn mean_response_seconds(&self) -> Option<f64> {
        self.window
            .ratio(Metric::ResponseTime, Metric::Completed, MEASUREMENT_WINDOW)
    }

    /// Mean seconds of recent dependency calls; 0 where there was none.
    pub(crate) fn mean_call_seconds(&self) -> f64 {
        self.window
            .ratio(Metric::CallTime, Metric::Calls, MEASUREMENT_WINDOW)
            .unwrap_or(0.0)
    }

    /// Mean seconds that the arrivals of the last `span` waited unread.
    pub(crate) fn mean_unread_seconds(&self, span: Duration) -> f64 {
        self.window.per_arrival(Metric::UnreadTime, span)
    }

    /// The fraction of recent arrivals that was rejected on arrival.
    pub(crate) fn rejected_fraction(&self) -> f64 {
        self.window
            .per_arrival(Metric::Rejected, MEASUREMENT_WINDOW)
    }

    /// The mean over the measurement window of a metric that is added once per tick.
    ///
    /// The divisor is the number of ticks in the nominal window. The sum covers up to one
    /// [`BUCKET_WIDTH`] more, so the result may be an eighth too high. If ticks were late, the
    /// result is too low, because fewer readings were added.
    pub(crate) fn mean_per_tick(&self, metric: Metric) -> f64 {
        let sum = self.recent(metric);
        sum * self.tick_interval.as_secs_f64() / MEASUREMENT_WINDOW.as_secs_f64()
    }
}
