//! Whether something that all of a zone lean on is down, found out by one of them and told to all: no I/O, no clock. Whoever
//! finds it refusing wants the lease on probing it; its holder alone probes, and publishes a verdict while nobody answers.
//! A verdict is renewed, and one that is not runs out: a prober that died holds nobody back for longer than `STALE`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::interface::Name;

/// Refusals in a row after which it is suspected, and probes that must fail before that is a verdict.
pub const SUSPECT_AFTER: u32 = 3;
pub const VERDICT_AFTER: u32 = 2;
/// Between two probes, and two renewals of a verdict.
pub const PROBE_EVERY: Duration = Duration::from_millis(500);
pub const RENEW_EVERY: Duration = Duration::from_secs(2);
/// A verdict that was not renewed for so long counts no more.
pub const STALE: Duration = Duration::from_secs(6);

/// What is known at one look.
#[derive(Clone, Debug, Default)]
pub struct Look<'a> {
    /// Calls that were refused in a row, up to now.
    pub refused: u32,
    /// It holds the lease.
    pub holds: bool,
    /// What came of the probe that the last look asked for.
    pub probed: Option<bool>,
    /// The verdicts of live members of the zone, this one left out.
    pub verdicts: &'a [(Name, String)],
}

/// What follows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Course {
    /// The lease is wanted.
    pub wants: bool,
    pub probe: bool,
    /// To be published in place of what was, or withdrawn.
    pub publish: Option<Option<String>>,
    /// Calls are refused without being made.
    pub down: bool,
}

#[derive(Debug, Default)]
pub struct Probing {
    failed: u32,
    probe_at: Duration,
    /// The number of the last verdict, and when it was published.
    number: u64,
    published: Option<Duration>,
    /// Each verdict of others, and since when it says the same.
    seen: BTreeMap<Name, (String, Duration)>,
}

impl Probing {
    pub fn look(&mut self, now: Duration, look: &Look) -> Course {
        self.seen.retain(|name, _| look.verdicts.iter().any(|(other, _)| other == name));
        for (name, verdict) in look.verdicts {
            let known = self.seen.get(name).is_some_and(|(old, _)| old == verdict);
            if !known {
                self.seen.insert(name.clone(), (verdict.clone(), now));
            }
        }
        let told = self.seen.values().any(|(_, since)| now.saturating_sub(*since) <= STALE);
        let mut course = Course::default();
        if !look.holds {
            self.failed = 0;
            // Whoever holds it no more has no verdict either.
            if self.published.take().is_some() {
                course.publish = Some(None);
            }
            course.wants = look.refused >= SUSPECT_AFTER && !told;
            course.down = told;
            return course;
        }
        course.wants = true;
        match look.probed {
            Some(true) => {
                self.failed = 0;
                course.wants = false;
                if self.published.take().is_some() {
                    course.publish = Some(None);
                }
                return course;
            }
            Some(false) => self.failed = self.failed.saturating_add(1),
            None => {}
        }
        let renew = self.published.is_none_or(|at| now.saturating_sub(at) >= RENEW_EVERY);
        if self.failed >= VERDICT_AFTER && renew {
            self.number += 1;
            self.published = Some(now);
            course.publish = Some(Some(format!("down {}", self.number)));
        }
        course.down = self.published.is_some();
        if now >= self.probe_at {
            self.probe_at = now + PROBE_EVERY;
            course.probe = true;
        }
        course
    }
}
