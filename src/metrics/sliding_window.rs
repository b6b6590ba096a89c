//! Sums of measurements over the recent past. No decision is taken here.

use std::time::Duration;

/// A measured quantity. Each bucket of the window has one sum per metric.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Metric {
    /// Requests whose run succeeded while their caller still waited.
    Completed,
    /// Response times of completed requests, in seconds, without the time for which the process was
    /// stalled.
    ResponseTime,
    /// The time on a core of runs that succeeded, in seconds.
    CoreTime,
    /// The expected work of runs that succeeded, in seconds on an average core.
    Work,
    /// Runs that failed.
    Failed,
    /// Dependency calls that ended, unless their connection failed.
    Calls,
    /// The durations of the calls in `Calls`, in seconds.
    CallTime,
    /// Call-seconds in flight at the dependency, abandoned calls included.
    CallsInFlight,
    /// Requests that arrived.
    Arrived,
    /// The expected work of requests that arrived, in seconds on an average core.
    ArrivedWork,
    /// Arrivals that are marked as retries.
    Retries,
    /// Seconds that arrivals waited unread, without the time for which the process was stalled.
    UnreadTime,
    /// Cores in demand for anything but runs, one reading per tick.
    ReadingCores,
    /// Requests that were rejected on arrival, except those that a draining server may no longer
    /// run.
    Rejected,
    /// Dependency calls that timed out.
    CallsTimedOut,
    /// The fraction of the cores that was busy, one reading per tick.
    CoresBusy,
    /// Requests that arrived at one priority level.
    ArrivedAtLevel(usize),
}

impl Metric {
    /// The number of metrics that do not depend on the priority levels.
    const FIXED: usize = 16;

    fn column(self) -> usize {
        match self {
            Metric::Completed => 0,
            Metric::ResponseTime => 1,
            Metric::CoreTime => 2,
            Metric::Work => 3,
            Metric::Failed => 4,
            Metric::Calls => 5,
            Metric::CallTime => 6,
            Metric::CallsInFlight => 7,
            Metric::Arrived => 8,
            Metric::ArrivedWork => 9,
            Metric::Retries => 10,
            Metric::UnreadTime => 11,
            Metric::ReadingCores => 12,
            Metric::Rejected => 13,
            Metric::CallsTimedOut => 14,
            Metric::CoresBusy => 15,
            Metric::ArrivedAtLevel(level) => Metric::FIXED + level,
        }
    }
}

/// Measurements in buckets of a fixed width, reused as a ring. It owns the only copy of every
/// metric.
pub(crate) struct SlidingWindow {
    bucket_width: Duration,
    /// The number of the current bucket, counted from the start.
    current: u64,
    buckets: Vec<Vec<f64>>,
}

impl SlidingWindow {
    /// A window over `span`, with one additional metric for each priority level.
    pub(crate) fn new(bucket_width: Duration, span: Duration, priority_levels: usize) -> Self {
        let buckets = span.as_millis().div_ceil(bucket_width.as_millis()) as usize + 1;
        let columns = Metric::FIXED + priority_levels;
        SlidingWindow {
            bucket_width,
            current: 0,
            buckets: vec![vec![0.0; columns]; buckets],
        }
    }

    /// Moves to the bucket of `now` and clears the buckets that are reused.
    pub(crate) fn advance(&mut self, now: Duration) {
        let target = (now.as_millis() / self.bucket_width.as_millis()) as u64;
        let length = self.buckets.len() as u64;
        for bucket in (self.current + 1..=target).rev().take(self.buckets.len()) {
            self.buckets[(bucket % length) as usize].fill(0.0);
        }
        self.current = self.current.max(target);
    }

    /// Adds to the current bucket.
    pub(crate) fn add(&mut self, metric: Metric, amount: f64) {
        let bucket = self.current as usize % self.buckets.len();
        self.buckets[bucket][metric.column()] += amount;
    }

    /// The sum over the current bucket and the full buckets before it that `span` needs, which
    /// cover from `span` to `span` plus one bucket width. A rate computed as the sum divided by
    /// `span` is therefore too high by up to the fraction `bucket_width / span`. The sum never
    /// covers more than the retained buckets.
    pub(crate) fn sum(&self, metric: Metric, span: Duration) -> f64 {
        let length = self.buckets.len() as u64;
        let wanted = span.as_millis().div_ceil(self.bucket_width.as_millis()) as u64 + 1;
        let column = metric.column();
        (0..wanted.min(length))
            .map(|back| self.buckets[((self.current + length - back) % length) as usize][column])
            .sum()
    }

    /// One metric divided by another over the last `span`; `None` where the divisor is 0.
    pub(crate) fn ratio(&self, dividend: Metric, divisor: Metric, span: Duration) -> Option<f64> {
        let divisor = self.sum(divisor, span);
        (divisor > 0.0).then(|| self.sum(dividend, span) / divisor)
    }

    /// A metric per request that arrived in the last `span`.
    pub(crate) fn per_arrival(&self, metric: Metric, span: Duration) -> f64 {
        self.sum(metric, span) / self.sum(Metric::Arrived, span).max(1.0)
    }
}
