use super::{TICK, names, recipient, seconds};
use crate::failure_detector::{FailedProbe, FailureDetector, choose_relays};
use crate::message::{RelayedProbeOutcome, SequenceNumber};

fn probing(target: &str) -> (FailureDetector, SequenceNumber) {
    let mut detector = FailureDetector::default();
    let sequence_number = detector.start_probe(target.into(), seconds(10));
    (detector, sequence_number)
}

fn unanswered(target: &str, missing_reports: u32) -> Option<FailedProbe> {
    let target = target.into();
    Some(FailedProbe::Unanswered {
        target,
        missing_reports,
    })
}

#[test]
fn relays_are_asked_once_the_timeout_is_reached_and_not_again() {
    let (mut detector, sequence_number) = probing("t");
    let timeout = seconds(2);
    assert_eq!(detector.direct_deadline(timeout), Some(seconds(12)));
    assert_eq!(detector.overdue_target(seconds(12) - TICK, timeout), None);
    let target = detector.overdue_target(seconds(12), timeout);
    assert_eq!(target.map(|name| &**name), Some("t"));
    assert_eq!(detector.start_indirect_probe(3), Some(sequence_number));
    assert_eq!(detector.direct_deadline(timeout), None);
    assert_eq!(detector.overdue_target(seconds(99), timeout), None);
}

#[test]
fn answer_of_the_target_ends_the_probe_in_either_phase() {
    for asks_relays in [false, true] {
        let (mut detector, sequence_number) = probing("t");
        if asks_relays {
            detector.start_indirect_probe(3);
        }
        assert!(!detector.take_ack(&"other".into(), sequence_number));
        let earlier = SequenceNumber(sequence_number.0 - 1);
        assert!(!detector.take_ack(&"t".into(), earlier));
        assert!(detector.take_ack(&"t".into(), sequence_number));
        assert!(!detector.take_ack(&"t".into(), sequence_number));
        assert_eq!(detector.finish_probe(), None);
    }
}

#[test]
fn relay_reports_distinguish_a_broken_link_from_a_crash_and_from_bad_health() {
    let (mut detector, _) = probing("t");
    assert_eq!(
        detector.finish_probe(),
        unanswered("t", 0),
        "no relay was asked"
    );

    let (mut detector, sequence_number) = probing("t");
    detector.start_indirect_probe(3);
    detector.record_relay_report(sequence_number, RelayedProbeOutcome::Nack);
    detector.record_relay_report(SequenceNumber(99), RelayedProbeOutcome::Ack);
    assert_eq!(detector.finish_probe(), unanswered("t", 2));

    let (mut detector, sequence_number) = probing("t");
    detector.start_indirect_probe(3);
    for outcome in [RelayedProbeOutcome::Ack, RelayedProbeOutcome::Nack] {
        detector.record_relay_report(sequence_number, outcome);
    }
    let target = "t".into();
    assert_eq!(
        detector.finish_probe(),
        Some(FailedProbe::AnsweredRelayOnly { target })
    );
    assert_eq!(detector.finish_probe(), None);
}

#[test]
fn reports_beyond_the_number_of_relays_do_not_underflow() {
    let (mut detector, sequence_number) = probing("t");
    detector.start_indirect_probe(1);
    for _ in 0..3 {
        detector.record_relay_report(sequence_number, RelayedProbeOutcome::Nack);
    }
    assert_eq!(detector.finish_probe(), unanswered("t", 0));
}

#[test]
fn sequence_numbers_are_unique_and_above_no_probe() {
    let mut detector = FailureDetector::default();
    let first = detector.next_sequence_number();
    assert!(first > SequenceNumber::NO_PROBE);
    assert!(detector.start_probe("t".into(), seconds(1)) > first);
}

#[test]
fn number_of_relays_is_limited_by_the_candidates_and_by_indirect_checks() {
    let candidates = || vec![recipient("b", 2), recipient("c", 3), recipient("d", 4)];
    let mut rng = fastrand::Rng::with_seed(1);
    assert_eq!(choose_relays(candidates(), 2, &mut rng).len(), 2);
    assert_eq!(choose_relays(candidates(), 0, &mut rng).len(), 0);
    let all = choose_relays(candidates(), 9, &mut rng);
    let mut all = names(&all);
    all.sort_unstable();
    assert_eq!(all, ["b", "c", "d"]);
}
