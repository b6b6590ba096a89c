//! What a recording comes to: for each handler and tenant what was asked, how it ended and why, how long answers
//! took, and the service: the value answered within the response target over the value asked for, with further tries
//! counted as part of the first.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::Micros;
use crate::heads::Names;
use crate::join::{Joiner, Seen};
use crate::record::{Outcome, Record};

/// The longest response time that is told apart (us).
const LONGEST: u64 = 3_600_000_000;
const MINUTE: Micros = 60_000_000;

/// Response times of what was done.
#[derive(Clone)]
struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        // These bounds make sense, and a histogram without bounds of its own would, too.
        let times = Histogram::new_with_bounds(1, LONGEST, 3).or_else(|_| Histogram::new(3));
        Times(times.unwrap_or_else(|_| unreachable!("three digits are fine")))
    }
}

/// Percentiles of response time, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub most: f64,
}

/// Counts of one group.
#[derive(Clone, Default)]
pub struct Tally {
    /// First tries, further ones joined to them, and further ones of which the first is not known.
    pub asked: u64,
    pub again: u64,
    pub stray: u64,
    pub done_in_target: u64,
    pub done_late: u64,
    pub degraded: u64,
    pub errored: u64,
    pub gone: u64,
    /// By reason.
    pub shed: BTreeMap<String, u64>,
    pub errors: BTreeMap<String, u64>,
    value_asked: f64,
    value_answered: f64,
    times: Times,
}

impl Tally {
    /// The part of the value asked for that was answered in time; `None` where none was asked for.
    pub fn service(&self) -> Option<f64> {
        (self.value_asked > 0.0).then(|| self.value_answered / self.value_asked)
    }

    pub fn tries(&self) -> u64 {
        self.asked + self.again + self.stray
    }

    pub fn shed_in_all(&self) -> u64 {
        self.shed.values().sum()
    }

    pub fn percentiles(&self) -> Option<Percentiles> {
        let at = |part: f64| self.times.0.value_at_quantile(part) as f64 / 1e3;
        (!self.times.0.is_empty()).then(|| Percentiles {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            most: self.times.0.max() as f64 / 1e3,
        })
    }

    fn add(&mut self, record: &Record, seen: Seen, names: &Names) {
        let handler = names.handlers.get(record.handler as usize);
        let value = handler.map_or(0.0, |handler| handler.value);
        match seen {
            Seen::First => {
                self.asked += 1;
                self.value_asked += value;
            }
            Seen::Again { .. } => self.again += 1,
            Seen::Stray => self.stray += 1,
        }
        match record.outcome {
            Outcome::Done => {
                let took = record.answered.unwrap_or(0);
                let target = handler.map_or(Micros::MAX, |handler| handler.target(record.hint));
                let in_time = took <= target;
                *(if in_time { &mut self.done_in_target } else { &mut self.done_late }) += 1;
                let degraded = record.skipped > 0;
                self.degraded += u64::from(degraded);
                // What was answered before is worth nothing a second time.
                if in_time && seen != (Seen::Again { done: true }) {
                    self.value_answered += value
                        * if degraded { handler.map_or(1.0, |handler| handler.skip_value) } else { 1.0 };
                }
                self.times.0.saturating_record(took.max(1) as u64);
            }
            Outcome::Shed => *self.shed.entry(record.reason.name().into_owned()).or_default() += 1,
            Outcome::Errored => {
                self.errored += 1;
                *self.errors.entry(record.reason.name().into_owned()).or_default() += 1;
            }
            Outcome::Gone => self.gone += 1,
        }
    }
}

/// Who a row is about; an empty name is all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Group {
    pub minute: Option<Micros>,
    pub handler: String,
    pub tenant: String,
}

/// Sums up records as they come, in the order of time.
#[derive(Default)]
pub struct Summary {
    joiner: Joiner,
    pub groups: BTreeMap<Group, Tally>,
    pub all: Tally,
    by_minute: bool,
}

impl Summary {
    pub fn new(by_minute: bool) -> Self {
        Summary { by_minute, ..Summary::default() }
    }

    pub fn add(&mut self, record: &Record, names: &Names) {
        let seen = self.joiner.see(record);
        self.all.add(record, seen, names);
        let handler = names.handler(record.handler);
        let tenant = record.tenant.map_or_else(|| "-".to_owned(), |tenant| names.tenant(tenant));
        let of = |minute, handler: &str, tenant: &str| Group {
            minute,
            handler: handler.to_owned(),
            tenant: tenant.to_owned(),
        };
        let mut groups = vec![of(None, &handler, ""), of(None, &handler, &tenant)];
        if self.by_minute {
            groups.push(of(Some(record.reached.div_euclid(MINUTE) * MINUTE), "", ""));
        }
        for group in groups {
            self.groups.entry(group).or_default().add(record, seen, names);
        }
    }

    /// The rows as they are told, each with its group.
    pub fn rows(&self) -> Vec<Row> {
        let all = Row::new(Group::default(), &self.all);
        std::iter::once(all).chain(self.groups.iter().map(|(g, t)| Row::new(g.clone(), t))).collect()
    }
}

/// A row of a summary, as it is written in JSON.
#[derive(Debug, Serialize)]
pub struct Row {
    #[serde(flatten)]
    pub group: Group,
    pub asked: u64,
    pub tries: u64,
    pub joined: u64,
    pub stray: u64,
    pub done_in_target: u64,
    pub done_late: u64,
    pub degraded: u64,
    pub shed: BTreeMap<String, u64>,
    pub errored: BTreeMap<String, u64>,
    pub gone: u64,
    pub service: Option<f64>,
    pub response_ms: Option<Percentiles>,
}

impl Row {
    fn new(group: Group, tally: &Tally) -> Self {
        Row {
            group,
            asked: tally.asked,
            tries: tally.tries(),
            joined: tally.again,
            stray: tally.stray,
            done_in_target: tally.done_in_target,
            done_late: tally.done_late,
            degraded: tally.degraded,
            shed: tally.shed.clone(),
            errored: tally.errors.clone(),
            gone: tally.gone,
            service: tally.service(),
            response_ms: tally.percentiles(),
        }
    }
}
