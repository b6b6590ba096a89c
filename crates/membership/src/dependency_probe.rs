//! Probing of a dependency that all processes of a zone share, such as a store: one process detects
//! that the dependency is down and notifies the other processes.
//!
//! **Decision**: which process probes (by a lease), when it publishes that the dependency is down,
//! and whether a process fails its calls without making them.
//!
//! **When it binds**: a process whose calls are refused several times in a row requests the lease
//! on probing. Only the lease holder probes, and it publishes a verdict while the dependency does
//! not answer. The other processes fail their calls while they see a verdict that has not expired.
//!
//! **Failure it guards against**: every process keeps calling a dependency that is down. The
//! symptoms are requests that spend their time on calls that all fail, and a load of calls on a
//! dependency that is about to recover.
//!
//! **Why it holds**: the lease has one holder at a time. The holder renews its verdict, and a
//! verdict that is not renewed expires after [`VERDICT_TTL`], so a prober that has died does not
//! block calls for longer.
//!
//! **Price**: after the dependency has recovered, calls still fail for up to a probe interval plus
//! the time of dissemination.
//!
//! Like [`Membership`](crate::Membership), this is a state machine without I/O and without a clock.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::node::NodeName;

/// The number of consecutive refused calls after which a process suspects that the dependency is
/// down.
pub const SUSPECT_AFTER_REFUSALS: u32 = 3;

/// The number of consecutive failed probes after which the lease holder publishes a verdict.
pub const DOWN_AFTER_FAILURES: u32 = 2;

/// The time between two probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The time between two renewals of a verdict.
pub const VERDICT_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// How long a verdict of another process is valid without renewal: two renewals may be missed.
pub const VERDICT_TTL: Duration = Duration::from_secs(6);

/// A verdict that a live member of the zone has published in its metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The member that published the verdict.
    pub member: NodeName,
    /// The published text. It changes with each renewal. Other processes compare it with the last
    /// one and do not interpret it.
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

/// The input of [`DependencyProber::update`].
#[derive(Clone, Debug, Default)]
pub struct Input<'a> {
    /// The number of consecutive refused calls up to now.
    pub consecutive_refusals: u32,
    /// Whether this process holds the lease on probing.
    pub has_lease: bool,
    /// The outcome of the probe that the last output requested, if there was one.
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

/// The output of [`DependencyProber::update`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Whether to acquire or keep the lease on probing.
    pub should_have_lease: bool,
    /// Whether to probe the dependency now.
    pub should_probe: bool,
    /// The change of the published verdict, if there is one.
    pub verdict_change: Option<VerdictChange>,
    /// Whether to fail calls to the dependency without making them.
    pub is_down: bool,
}

/// A verdict of another member, and the time at which its text last changed.
#[derive(Debug)]
struct ObservedVerdict {
    text: String,
    /// On the clock of the observing process.
    since: Duration,
}

/// The verdicts of the other live members of the zone.
#[derive(Debug, Default)]
struct ObservedVerdicts {
    by_member: BTreeMap<NodeName, ObservedVerdict>,
}

impl ObservedVerdicts {
    /// Replaces the observed verdicts with those published now. A verdict whose text has changed
    /// was renewed.
    fn observe(&mut self, now: Duration, verdicts: &[Verdict]) {
        self.by_member
            .retain(|name, _| verdicts.iter().any(|verdict| verdict.member == *name));
        for Verdict { member, text } in verdicts {
            let observed = self.by_member.get(member);
            if observed.is_some_and(|observed| observed.text == *text) {
                continue;
            }
            let observed = ObservedVerdict {
                text: text.clone(),
                since: now,
            };
            self.by_member.insert(member.clone(), observed);
        }
    }

    /// Whether any verdict is still valid.
    fn is_down(&self, now: Duration) -> bool {
        self.by_member
            .values()
            .any(|observed| now.saturating_sub(observed.since) <= VERDICT_TTL)
    }
}

/// The verdict of this process.
#[derive(Debug, Default)]
struct OwnVerdict {
    /// The number of the last published verdict, which makes each text unique.
    number: u64,
    /// When the verdict was last published; `None` if none is published.
    published_at: Option<Duration>,
}

impl OwnVerdict {
    /// Publishes or renews the verdict, if that is due.
    fn renew(&mut self, now: Duration) -> Option<VerdictChange> {
        let is_due = self
            .published_at
            .is_none_or(|at| now.saturating_sub(at) >= VERDICT_RENEWAL_INTERVAL);
        if !is_due {
            return None;
        }
        self.number += 1;
        self.published_at = Some(now);
        Some(VerdictChange::Publish(format!("down {}", self.number)))
    }

    /// Removes the verdict, if there is one.
    fn withdraw(&mut self) -> Option<VerdictChange> {
        self.published_at.take().map(|_| VerdictChange::Withdraw)
    }
}

/// The state of one process for one dependency. It owns the verdict of this process and the
/// observed verdicts of the others.
#[derive(Debug, Default)]
pub struct DependencyProber {
    /// The number of consecutive failed probes while this process holds the lease.
    consecutive_failures: u32,
    /// When the next probe is due, on the clock of the inputs.
    next_probe_at: Duration,
    own_verdict: OwnVerdict,
    observed: ObservedVerdicts,
}

impl DependencyProber {
    /// Processes the input at `now` and returns the output. To be called several times per
    /// [`PROBE_INTERVAL`].
    pub fn update(&mut self, now: Duration, input: &Input) -> Output {
        self.observed.observe(now, input.verdicts);
        if !input.has_lease {
            return self.update_without_lease(now, input.consecutive_refusals);
        }
        if input.probe_outcome == Some(ProbeOutcome::Succeeded) {
            return self.finish_probing();
        }
        let has_failed = input.probe_outcome == Some(ProbeOutcome::Failed);
        self.update_as_prober(now, has_failed)
    }

    fn update_without_lease(&mut self, now: Duration, consecutive_refusals: u32) -> Output {
        self.consecutive_failures = 0;
        let is_down = self.observed.is_down(now);
        Output {
            should_have_lease: consecutive_refusals >= SUSPECT_AFTER_REFUSALS && !is_down,
            should_probe: false,
            verdict_change: self.own_verdict.withdraw(),
            is_down,
        }
    }

    /// Handles an answer of the dependency: releases the lease and withdraws the verdict.
    fn finish_probing(&mut self) -> Output {
        self.consecutive_failures = 0;
        Output {
            verdict_change: self.own_verdict.withdraw(),
            ..Output::default()
        }
    }

    fn update_as_prober(&mut self, now: Duration, has_failed: bool) -> Output {
        let failures = u32::from(has_failed);
        self.consecutive_failures = self.consecutive_failures.saturating_add(failures);
        let is_known_down = self.consecutive_failures >= DOWN_AFTER_FAILURES;
        let verdict_change = is_known_down.then(|| self.own_verdict.renew(now)).flatten();
        let should_probe = now >= self.next_probe_at;
        if should_probe {
            self.next_probe_at = now + PROBE_INTERVAL;
        }
        Output {
            should_have_lease: true,
            should_probe,
            verdict_change,
            is_down: self.own_verdict.published_at.is_some(),
        }
    }
}
