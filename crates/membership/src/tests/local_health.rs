use super::seconds;
use crate::local_health::LocalHealth;

#[test]
fn score_stays_between_zero_and_the_maximum() {
    let mut health = LocalHealth::new(8);
    health.record_ack();
    assert_eq!(health.score(), 0);
    health.record_failed_probe(6);
    assert_eq!(health.score(), 7, "one for the probe, one for each relay");
    health.record_refutation();
    assert_eq!(health.score(), 8);
    health.record_refutation();
    assert_eq!(health.score(), 8);
    health.record_ack();
    assert_eq!(health.score(), 7);
}

#[test]
fn times_are_multiplied_by_the_score_plus_one() {
    let mut health = LocalHealth::new(8);
    assert_eq!(health.scale(seconds(2)), seconds(2));
    health.record_failed_probe(0);
    assert_eq!(health.scale(seconds(2)), seconds(4));
    health.record_failed_probe(100);
    assert_eq!(health.scale(seconds(2)), seconds(18));
}

#[test]
fn maximum_score_of_zero_disables_stretching() {
    let mut health = LocalHealth::new(0);
    health.record_failed_probe(3);
    assert_eq!(health.scale(seconds(2)), seconds(2));
}
