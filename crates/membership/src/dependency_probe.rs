//! Probing of a dependency that all processes of a zone share, such as a store: one process finds
//! out that it is down and tells the others.
//!
//! A process whose calls are refused wants the lease on probing. The lease holder alone probes, and
//! publishes a verdict while the dependency does not answer; the others fail their calls at once
//! instead of making them. The holder renews its verdict, and one that is not renewed expires after
//! [`VERDICT_TTL`]: a prober that died blocks no calls for longer. Like the membership, this is a
//! state machine without I/O and without a clock.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::node::NodeName;

/// The number of calls refused in a row after which a process suspects the dependency to be down.
pub const SUSPECT_AFTER_REFUSALS: u32 = 3;
/// The number of probes failed in a row after which the lease holder publishes a verdict.
pub const DOWN_AFTER_FAILURES: u32 = 2;
/// The time between two probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The time between two renewals of a verdict.
pub const VERDICT_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// How long a verdict of another process holds without being renewed.
pub const VERDICT_TTL: Duration = Duration::from_secs(6);

/// A verdict that a live member of the zone has published in its metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The member.
    pub member: NodeName,
    /// The published text. It changes with each renewal; its meaning is the prober's own.
    pub text: String,
}

/// The outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The dependency answered.
    Succeeded,
    /// The dependency did not answer.
    Failed,
}

/// What the process knows when it calls [`DependencyProber::update`].
#[derive(Clone, Debug, Default)]
pub struct Input<'a> {
    /// The number of calls refused in a row up to now.
    pub consecutive_refusals: u32,
    /// Whether this process holds the lease on probing.
    pub has_lease: bool,
    /// The outcome of the probe that the last output asked for, where there was one.
    pub probe_outcome: Option<ProbeOutcome>,
    /// The verdicts of the other live members of the zone.
    pub verdicts: &'a [Verdict],
}

/// A change of the verdict that this process publishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VerdictChange {
    /// Publish this text in place of the last one.
    Publish(String),
    /// Remove the verdict.
    Withdraw,
}

/// What the process is to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Whether to acquire or keep the lease on probing.
    pub should_have_lease: bool,
    /// Whether to probe the dependency now.
    pub should_probe: bool,
    /// The change of the published verdict, where there is one.
    pub verdict_change: Option<VerdictChange>,
    /// Whether to fail calls to the dependency without making them.
    pub is_down: bool,
}

/// A verdict of another member, and since when it has this text.
#[derive(Debug)]
struct ObservedVerdict {
    text: String,
    since: Duration,
}

/// The state of one process for one dependency. It owns the process's own verdict and its memory of
/// those of others.
#[derive(Debug, Default)]
pub struct DependencyProber {
    consecutive_failures: u32,
    next_probe_at: Duration,
    /// The number of the last verdict that was published.
    verdict_number: u64,
    /// When the verdict was last published; nothing where there is none.
    published_at: Option<Duration>,
    observed: BTreeMap<NodeName, ObservedVerdict>,
}

impl DependencyProber {
    /// Takes what is known at `now` and returns what follows. To be called several times in a
    /// [`PROBE_INTERVAL`].
    pub fn update(&mut self, now: Duration, input: &Input) -> Output {
        self.observe_verdicts(now, input.verdicts);
        if input.has_lease {
            self.update_as_prober(now, input.probe_outcome)
        } else {
            self.update_without_lease(now, input.consecutive_refusals)
        }
    }

    fn observe_verdicts(&mut self, now: Duration, verdicts: &[Verdict]) {
        self.observed
            .retain(|name, _| verdicts.iter().any(|verdict| verdict.member == *name));
        for Verdict { member, text } in verdicts {
            let is_known = self
                .observed
                .get(member)
                .is_some_and(|observed| observed.text == *text);
            if !is_known {
                self.observed.insert(
                    member.clone(),
                    ObservedVerdict {
                        text: text.clone(),
                        since: now,
                    },
                );
            }
        }
    }

    fn update_without_lease(&mut self, now: Duration, consecutive_refusals: u32) -> Output {
        self.consecutive_failures = 0;
        let is_down = self
            .observed
            .values()
            .any(|observed| now.saturating_sub(observed.since) <= VERDICT_TTL);
        Output {
            should_have_lease: consecutive_refusals >= SUSPECT_AFTER_REFUSALS && !is_down,
            should_probe: false,
            verdict_change: self.withdraw_verdict(),
            is_down,
        }
    }

    fn update_as_prober(&mut self, now: Duration, probe_outcome: Option<ProbeOutcome>) -> Output {
        match probe_outcome {
            Some(ProbeOutcome::Succeeded) => {
                self.consecutive_failures = 0;
                return Output {
                    verdict_change: self.withdraw_verdict(),
                    ..Output::default()
                };
            }
            Some(ProbeOutcome::Failed) => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
            }
            None => {}
        }
        let verdict_change = self.renew_verdict(now);
        let should_probe = now >= self.next_probe_at;
        if should_probe {
            self.next_probe_at = now + PROBE_INTERVAL;
        }
        let is_down = self.published_at.is_some();
        Output {
            should_have_lease: true,
            should_probe,
            verdict_change,
            is_down,
        }
    }

    fn renew_verdict(&mut self, now: Duration) -> Option<VerdictChange> {
        let is_due = self
            .published_at
            .is_none_or(|at| now.saturating_sub(at) >= VERDICT_RENEWAL_INTERVAL);
        if self.consecutive_failures < DOWN_AFTER_FAILURES || !is_due {
            return None;
        }
        self.verdict_number += 1;
        self.published_at = Some(now);
        Some(VerdictChange::Publish(format!(
            "down {}",
            self.verdict_number
        )))
    }

    fn withdraw_verdict(&mut self) -> Option<VerdictChange> {
        self.published_at.take().map(|_| VerdictChange::Withdraw)
    }
}
