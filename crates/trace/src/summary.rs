//! The summary of a recording: for each handler and tenant the requests, their outcomes and
//! reasons, the response times, and the service level. The service level is the priority weight
//! that was answered within the latency objective, divided by the priority weight of all requests.
//! Retries count as part of their first attempt.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Micros;
use crate::correlate::{Attempt, AttemptCorrelator};
use crate::dictionary::Dictionary;
use crate::record::{Outcome, Record};

/// Maximum response time of the histogram, in microseconds; longer response times count as the
/// maximum.
const MAX_RESPONSE_TIME_US: u64 = 3_600_000_000;
/// One minute, in microseconds.
const MINUTE: Micros = 60_000_000;
/// The name of the tenant of records that have none.
const NO_TENANT: &str = "-";

/// Response times of completed attempts, in microseconds.
#[derive(Clone)]
struct ResponseTimes(Histogram<u64>);

impl Default for ResponseTimes {
    fn default() -> Self {
        // The bounds and a precision of three digits are valid.
        let histogram =
            Histogram::new_with_bounds(1, MAX_RESPONSE_TIME_US, 3).or_else(|_| Histogram::new(3));
        ResponseTimes(histogram.unwrap_or_else(|_| unreachable!("three digits are valid")))
    }
}

/// Percentiles of response time, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The longest response time.
    #[serde(rename = "most")]
    pub max: f64,
}

/// Counts of one group of attempts.
#[derive(Clone, Default)]
pub struct GroupStatistics {
    /// First attempts.
    pub requests: u64,
    /// Retries that were correlated to a first attempt.
    pub retries: u64,
    /// Retries whose first attempt is not known.
    pub orphan_retries: u64,
    /// Attempts completed within their latency objective.
    pub completed_in_time: u64,
    /// Attempts completed after their latency objective.
    pub completed_late: u64,
    /// Completed attempts with skipped calls.
    pub degraded: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts whose caller had disconnected.
    pub abandoned: u64,
    /// Rejected attempts by the name of their reason.
    pub rejected_by_reason: BTreeMap<String, u64>,
    /// Failed attempts by the name of their reason.
    pub failed_by_reason: BTreeMap<String, u64>,
    requested_weight: f64,
    answered_weight: f64,
    response_times: ResponseTimes,
}

impl GroupStatistics {
    /// The fraction of the requested priority weight that was answered in time; `None` if no weight
    /// was requested.
    pub fn service_level(&self) -> Option<f64> {
        (self.requested_weight > 0.0).then(|| self.answered_weight / self.requested_weight)
    }

    /// All attempts.
    pub fn attempts(&self) -> u64 {
        self.requests + self.retries + self.orphan_retries
    }

    /// Percentiles of the response times of completed attempts; `None` if no attempt was completed.
    pub fn percentiles(&self) -> Option<Percentiles> {
        let times = &self.response_times.0;
        let at = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
        (!times.is_empty()).then(|| Percentiles {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: times.max() as f64 / 1e3,
        })
    }

    fn add(&mut self, record: &Record, attempt: Attempt, names: &Dictionary) {
        let handler = names.handlers.get(record.handler as usize);
        match attempt {
            Attempt::First => {
                self.requests += 1;
                self.requested_weight += handler.map_or(0.0, |handler| handler.priority_weight);
            }
            Attempt::Retry { .. } => self.retries += 1,
            Attempt::OrphanRetry => self.orphan_retries += 1,
        }
        let reason = || record.reason.name().into_owned();
        match record.outcome {
            Outcome::Completed => self.add_completed(record, attempt, names),
            Outcome::Rejected => *self.rejected_by_reason.entry(reason()).or_default() += 1,
            Outcome::Failed => {
                self.failed += 1;
                *self.failed_by_reason.entry(reason()).or_default() += 1;
            }
            Outcome::Abandoned => self.abandoned += 1,
        }
    }

    fn add_completed(&mut self, record: &Record, attempt: Attempt, names: &Dictionary) {
        let handler = names.handlers.get(record.handler as usize);
        let response_time = record.answered.unwrap_or(0);
        let objective = handler.map_or(Micros::MAX, |handler| {
            handler.objective(record.estimated_work)
        });
        let is_in_time = response_time <= objective;
        let is_degraded = record.skipped_calls > 0;
        if is_in_time {
            self.completed_in_time += 1;
        } else {
            self.completed_late += 1;
        }
        self.degraded += u64::from(is_degraded);
        // A retry of a request that was already completed adds no weight.
        if is_in_time
            && attempt
                != (Attempt::Retry {
                    was_completed: true,
                })
        {
            let weight = handler.map_or(0.0, |handler| handler.priority_weight);
            let degraded_weight = handler.map_or(1.0, |handler| handler.degraded_weight);
            self.answered_weight += weight * if is_degraded { degraded_weight } else { 1.0 };
        }
        self.response_times
            .0
            .saturating_record(response_time.max(1) as u64);
    }
}

/// The group that a row of a summary counts. An empty name means all handlers or tenants.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Group {
    /// The start of a minute, Unix time; `None` for the whole recording.
    pub minute: Option<Micros>,
    /// The name of a handler.
    pub handler: String,
    /// The name of a tenant; `-` for records without one.
    pub tenant: String,
}

/// Summarises records, which are added in time order. The summary owns the counts and the state for
/// correlating attempts.
#[derive(Default)]
pub struct Summary {
    correlator: AttemptCorrelator,
    groups: BTreeMap<Group, GroupStatistics>,
    total: GroupStatistics,
    is_by_minute: bool,
}

impl Summary {
    /// Creates an empty summary; with `is_by_minute` it also has a row for each minute.
    pub fn new(is_by_minute: bool) -> Self {
        Summary {
            is_by_minute,
            ..Summary::default()
        }
    }

    /// The statistics of all records.
    pub fn total(&self) -> &GroupStatistics {
        &self.total
    }

    /// Adds a record, with the dictionary of its file.
    pub fn add(&mut self, record: &Record, names: &Dictionary) {
        let attempt = self.correlator.observe(record);
        self.total.add(record, attempt, names);
        let handler = names.handler(record.handler);
        let tenant = record
            .tenant
            .map_or_else(|| NO_TENANT.to_owned(), |tenant| names.tenant(tenant));
        let group = |minute, handler: &str, tenant: &str| Group {
            minute,
            handler: handler.to_owned(),
            tenant: tenant.to_owned(),
        };
        let mut groups = vec![group(None, &handler, ""), group(None, &handler, &tenant)];
        if self.is_by_minute {
            groups.push(group(
                Some(record.reached.div_euclid(MINUTE) * MINUTE),
                "",
                "",
            ));
        }
        for group in groups {
            self.groups
                .entry(group)
                .or_default()
                .add(record, attempt, names);
        }
    }

    /// The rows of the summary: all records first, then the groups in their order.
    pub fn rows(&self) -> Vec<SummaryRow> {
        let total = SummaryRow::new(Group::default(), &self.total);
        let groups = self
            .groups
            .iter()
            .map(|(group, counts)| SummaryRow::new(group.clone(), counts));
        std::iter::once(total).chain(groups).collect()
    }
}

/// A row of a summary, as it is written in JSON.
#[derive(Debug, Serialize)]
pub struct SummaryRow {
    /// The group that the row counts.
    #[serde(flatten)]
    pub group: Group,
    /// First attempts.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// All attempts.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Retries that were correlated to a first attempt.
    #[serde(rename = "joined")]
    pub retries: u64,
    /// Retries whose first attempt is not known.
    #[serde(rename = "stray")]
    pub orphan_retries: u64,
    /// Attempts completed within their latency objective.
    #[serde(rename = "done_in_target")]
    pub completed_in_time: u64,
    /// Attempts completed after their latency objective.
    #[serde(rename = "done_late")]
    pub completed_late: u64,
    /// Completed attempts with skipped calls.
    pub degraded: u64,
    /// Rejected attempts by the name of their reason.
    #[serde(rename = "shed")]
    pub rejected_by_reason: BTreeMap<String, u64>,
    /// Failed attempts by the name of their reason.
    #[serde(rename = "errored")]
    pub failed_by_reason: BTreeMap<String, u64>,
    /// Attempts whose caller had disconnected.
    #[serde(rename = "gone")]
    pub abandoned: u64,
    /// The fraction of the requested priority weight that was answered in time.
    #[serde(rename = "service")]
    pub service_level: Option<f64>,
    /// Percentiles of the response times of completed attempts.
    pub response_ms: Option<Percentiles>,
}

impl SummaryRow {
    fn new(group: Group, statistics: &GroupStatistics) -> Self {
        SummaryRow {
            group,
            requests: statistics.requests,
            attempts: statistics.attempts(),
            retries: statistics.retries,
            orphan_retries: statistics.orphan_retries,
            completed_in_time: statistics.completed_in_time,
            completed_late: statistics.completed_late,
            degraded: statistics.degraded,
            rejected_by_reason: statistics.rejected_by_reason.clone(),
            failed_by_reason: statistics.failed_by_reason.clone(),
            abandoned: statistics.abandoned,
            service_level: statistics.service_level(),
            response_ms: statistics.percentiles(),
        }
    }
}
