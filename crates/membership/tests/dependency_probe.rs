//! Probing of a shared dependency: one process of a zone probes it, and its verdict reaches all
//! others. Guards against processes that all keep calling a dependency that is down, and against a
//! verdict that blocks calls longer than its TTL after its prober has died.

use std::time::Duration;

use tulipgap_membership::dependency_probe::{
    DOWN_AFTER_FAILURES, DependencyProber, Input, Output, PROBE_INTERVAL, ProbeOutcome,
    SUSPECT_AFTER_REFUSALS, VERDICT_RENEWAL_INTERVAL, VERDICT_TTL, Verdict, VerdictChange,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn published(text: &str) -> VerdictChange {
    VerdictChange::Publish(text.into())
}

fn verdict(text: &str) -> Verdict {
    Verdict {
        member: "p".into(),
        text: text.into(),
    }
}

#[test]
fn lease_holder_probes_and_publishes_renews_and_withdraws_its_verdict() {
    let mut prober = DependencyProber::default();
    let refused = Input {
        consecutive_refusals: SUSPECT_AFTER_REFUSALS,
        ..Input::default()
    };
    let suspecting = prober.update(ms(0), &refused);
    assert_eq!(
        (
            suspecting.should_have_lease,
            suspecting.should_probe,
            suspecting.is_down
        ),
        (true, false, false),
        "no probe without the lease"
    );
    let (mut probe_outcome, mut changes, mut probes) = (None, Vec::new(), 0);
    for at in (100..10_000).step_by(100) {
        let input = Input {
            consecutive_refusals: 5,
            has_lease: true,
            probe_outcome,
            ..Input::default()
        };
        let output = prober.update(ms(at), &input);
        probe_outcome = output.should_probe.then_some(ProbeOutcome::Failed);
        probes += u32::from(output.should_probe);
        changes.extend(output.verdict_change);
        assert_eq!(output.is_down, !changes.is_empty(), "at {at}");
    }
    assert_eq!(probes, 20, "two per second");
    assert_eq!(changes[..2], [published("down 1"), published("down 2")]);
    assert_eq!(changes.len(), 5, "renewed every two seconds");
    let succeeded = Input {
        has_lease: true,
        probe_outcome: Some(ProbeOutcome::Succeeded),
        ..Input::default()
    };
    let recovered = prober.update(ms(10_100), &succeeded);
    assert_eq!(
        recovered,
        Output {
            verdict_change: Some(VerdictChange::Withdraw),
            ..Output::default()
        }
    );
}

#[test]
fn verdict_of_another_member_fails_calls_until_it_expires() {
    let mut prober = DependencyProber::default();
    let verdicts = [verdict("down 1")];
    let input = Input {
        consecutive_refusals: 9,
        verdicts: &verdicts,
        ..Input::default()
    };
    for at in (0..20_000).step_by(100) {
        let output = prober.update(ms(at), &input);
        // The prober has died without withdrawing its verdict: after the TTL, each process requests
        // the probing lease itself.
        let is_fresh = ms(at) <= VERDICT_TTL;
        assert_eq!(
            (output.is_down, output.should_have_lease),
            (is_fresh, !is_fresh),
            "at {at}"
        );
    }
    let renewed = [verdict("down 2")];
    assert!(
        prober
            .update(
                ms(20_000),
                &Input {
                    verdicts: &renewed,
                    ..input.clone()
                }
            )
            .is_down
    );
    assert!(
        !prober
            .update(
                ms(20_100),
                &Input {
                    verdicts: &[],
                    consecutive_refusals: 0,
                    ..Input::default()
                }
            )
            .is_down
    );
}

#[test]
fn process_that_loses_the_lease_withdraws_its_verdict() {
    let mut prober = DependencyProber::default();
    let failed = Input {
        has_lease: true,
        probe_outcome: Some(ProbeOutcome::Failed),
        ..Input::default()
    };
    for at in [0, 600, 1200] {
        prober.update(ms(at), &failed);
    }
    let output = prober.update(
        ms(1300),
        &Input {
            consecutive_refusals: 9,
            ..Input::default()
        },
    );
    assert_eq!(
        (output.verdict_change, output.is_down),
        (Some(VerdictChange::Withdraw), false)
    );
}

#[test]
fn process_wants_the_lease_from_the_threshold_of_refusals_on() {
    for refusals in 0..=SUSPECT_AFTER_REFUSALS + 1 {
        let input = Input {
            consecutive_refusals: refusals,
            ..Input::default()
        };
        let output = DependencyProber::default().update(ms(0), &input);
        let wants_lease = refusals >= SUSPECT_AFTER_REFUSALS;
        assert_eq!(output.should_have_lease, wants_lease, "{refusals} refusals");
    }
}

#[test]
fn verdict_is_published_after_the_threshold_of_failures_and_renewed_at_its_interval() {
    let mut prober = DependencyProber::default();
    let failed = Input {
        has_lease: true,
        probe_outcome: Some(ProbeOutcome::Failed),
        ..Input::default()
    };
    for _ in 1..DOWN_AFTER_FAILURES {
        let output = prober.update(ms(0), &failed);
        assert_eq!((output.verdict_change, output.is_down), (None, false));
    }
    let output = prober.update(ms(0), &failed);
    assert_eq!(output.verdict_change, Some(published("down 1")));
    assert!(output.is_down);
    let early = prober.update(VERDICT_RENEWAL_INTERVAL - ms(1), &failed);
    assert_eq!(early.verdict_change, None);
    let due = prober.update(VERDICT_RENEWAL_INTERVAL, &failed);
    assert_eq!(due.verdict_change, Some(published("down 2")));
}

#[test]
fn lease_holder_probes_once_in_each_interval() {
    let mut prober = DependencyProber::default();
    let holding = Input {
        has_lease: true,
        ..Input::default()
    };
    let mut probes_at = |now| prober.update(now, &holding).should_probe;
    assert!(probes_at(ms(0)));
    assert!(!probes_at(PROBE_INTERVAL - ms(1)));
    assert!(probes_at(PROBE_INTERVAL));
}
