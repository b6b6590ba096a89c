use super::seconds;
use crate::suspicion::{Suspicion, SuspicionParameters};

/// Nine other live members: the shortest limit is 2 s and the longest 12 s.
fn parameters() -> SuspicionParameters {
    SuspicionParameters {
        probe_interval: seconds(1) / 2,
        suspicion_mult: 4.0,
        max_timeout_mult: 6.0,
        max_confirmations: 3,
        live_members: 9,
        time_factor: 1,
    }
}

/// A suspicion raised at second 10 and confirmed by some members.
fn confirmed_by(confirmations: u32) -> Suspicion {
    let mut suspicion = Suspicion::new(seconds(10), Some(&"first".into()));
    for number in 0..confirmations {
        assert!(suspicion.confirm(&format!("c{number}").as_str().into(), 3));
    }
    suspicion
}

#[test]
fn limit_falls_from_the_longest_to_the_shortest_with_the_logarithm_of_the_confirmations() {
    let deadline = |confirmations| confirmed_by(confirmations).deadline(&parameters());
    assert_eq!(deadline(0), seconds(10) + seconds(12));
    assert_eq!(
        deadline(1),
        seconds(10) + seconds(7),
        "ln 2 is half of ln 4"
    );
    assert!(deadline(2) < deadline(1) && deadline(2) > deadline(3));
    assert_eq!(deadline(3), seconds(10) + seconds(2));
}

#[test]
fn limit_grows_with_the_decimal_logarithm_of_the_nodes_above_ten() {
    let deadline = |live_members| {
        confirmed_by(3).deadline(&SuspicionParameters {
            live_members,
            ..parameters()
        })
    };
    assert_eq!(deadline(4), seconds(10) + seconds(2));
    assert_eq!(deadline(9), seconds(10) + seconds(2));
    assert!(deadline(10) > deadline(9));
    assert_eq!(deadline(99), seconds(10) + seconds(4));
}

#[test]
fn fewer_members_than_indirect_checks_need_fewer_confirmations() {
    let deadline = |live_members, confirmations| {
        confirmed_by(confirmations).deadline(&SuspicionParameters {
            live_members,
            ..parameters()
        })
    };
    assert_eq!(deadline(3, 2), seconds(10) + seconds(2), "two others exist");
    assert_eq!(deadline(2, 1), seconds(10) + seconds(2), "one other exists");
    let alone = deadline(1, 0);
    assert_eq!(
        alone,
        seconds(10) + seconds(12),
        "no other member can confirm"
    );
}

#[test]
fn local_health_stretches_the_limit() {
    let stretched = SuspicionParameters {
        time_factor: 9,
        ..parameters()
    };
    let deadline = confirmed_by(3).deadline(&stretched);
    assert_eq!(deadline, seconds(10) + seconds(18));
}

#[test]
fn reporter_confirms_once_and_confirmations_stop_at_the_maximum() {
    let mut suspicion = confirmed_by(2);
    assert!(
        !suspicion.confirm(&"first".into(), 3),
        "it raised the suspicion"
    );
    assert!(
        !suspicion.confirm(&"c1".into(), 3),
        "it has already confirmed"
    );
    assert!(suspicion.confirm(&"third".into(), 3));
    assert!(!suspicion.confirm(&"fourth".into(), 3));
    assert_eq!(suspicion.reporters().count(), 4);
}
