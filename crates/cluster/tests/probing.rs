//! One of a zone probes what is down; a verdict reaches all and never outlives who gave it for longer than its bound.

use std::time::Duration;

use tulipgap_cluster::probing::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_holder_probes_publishes_renews_and_withdraws() {
    let mut probing = Probing::default();
    let suspects = probing.look(ms(0), &Look { refused: SUSPECT_AFTER, ..Look::default() });
    assert_eq!(
        (suspects.wants, suspects.probe, suspects.down),
        (true, false, false),
        "none without the lease"
    );
    let (mut probed, mut published, mut probes) = (None, Vec::new(), 0);
    for at in (100..10_000).step_by(100) {
        let course = probing.look(ms(at), &Look { refused: 5, holds: true, probed, ..Look::default() });
        probed = course.probe.then_some(false);
        probes += u32::from(course.probe);
        published.extend(course.publish);
        assert_eq!(course.down, !published.is_empty(), "at {at}");
    }
    assert_eq!(probes, 20, "two a second");
    assert_eq!(published[..2], [Some("down 1".into()), Some("down 2".into())]);
    assert_eq!(published.len(), 5, "renewed every two seconds");
    let back = probing.look(ms(10_100), &Look { holds: true, probed: Some(true), ..Look::default() });
    assert_eq!(back, Course { publish: Some(None), ..Course::default() });
}

#[test]
fn a_verdict_holds_back_those_that_hear_it_and_runs_out() {
    let mut probing = Probing::default();
    let verdicts = [("p".into(), "down 1".to_owned())];
    let look = Look { refused: 9, verdicts: &verdicts, ..Look::default() };
    for at in (0..20_000).step_by(100) {
        let course = probing.look(ms(at), &look);
        // Its prober died and nobody has found out: after the bound each looks for itself, and wants the lease.
        let fresh = ms(at) <= STALE;
        assert_eq!((course.down, course.wants), (fresh, !fresh), "at {at}");
    }
    let renewed = [("p".into(), "down 2".to_owned())];
    assert!(probing.look(ms(20_000), &Look { verdicts: &renewed, ..look.clone() }).down);
    assert!(!probing.look(ms(20_100), &Look { verdicts: &[], refused: 0, ..Look::default() }).down);
}

#[test]
fn who_loses_the_lease_withdraws_its_verdict() {
    let mut probing = Probing::default();
    for at in [0, 600, 1200] {
        probing.look(ms(at), &Look { holds: true, probed: Some(false), ..Look::default() });
    }
    let course = probing.look(ms(1300), &Look { refused: 9, ..Look::default() });
    assert_eq!((course.publish, course.down), (Some(None), false));
}
