//! Tests of the client's components at their thresholds.

use std::time::Duration;

use super::Config;
use super::leader_hint::LeaderHint;
use super::released_tokens::ReleasedTokens;
use super::renewal::RenewalSchedule;
use super::wanted_lease::{Grant, GrantOutcome, LeaseStatus, PendingRequest, WantedLease};
use crate::protocol::{FencingToken, LeaseSpec, RequestId};

const TTL: Duration = Duration::from_secs(2);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn wanted() -> WantedLease {
    let spec = LeaseSpec {
        ttl: TTL,
        capacity: 1,
    };
    WantedLease::new(spec, Duration::ZERO, true, Duration::ZERO)
}

fn grant(token: u64, valid_until: u64) -> Grant {
    Grant {
        token: FencingToken(token),
        valid_until: millis(valid_until),
        was_released: false,
    }
}

fn active(replaced: Option<u64>) -> GrantOutcome {
    let replaced = replaced.map(FencingToken);
    GrantOutcome::Active { replaced }
}

/// The release of a token may still be in flight when a late response grants the token again. A
/// client that relied on the grant would act at the same time as a second owner after the release
/// has freed the slot.
#[test]
fn a_released_token_is_released_again_and_not_accepted() {
    let mut wanted = wanted();
    let released = Grant {
        was_released: true,
        ..grant(4, 1900)
    };
    assert_eq!(wanted.accept_grant(released), GrantOutcome::ReleasedBefore);
    assert_eq!(wanted.status, LeaseStatus::Requested);
    assert_eq!(wanted.accept_grant(grant(5, 1900)), active(None));
}

#[test]
fn a_late_grant_neither_shortens_nor_replaces_a_newer_one() {
    let mut wanted = wanted();
    assert_eq!(wanted.accept_grant(grant(5, 1900)), active(None));
    assert_eq!(wanted.accept_grant(grant(5, 1500)), active(None));
    assert!(!wanted.has_expired(millis(1899)));
    assert!(wanted.has_expired(millis(1900)));
    assert_eq!(wanted.accept_grant(grant(4, 9000)), GrantOutcome::Ignored);
    assert!(wanted.has_expired(millis(1900)));
}

#[test]
fn a_grant_that_replaces_an_announced_one_reports_it_as_lost() {
    let mut wanted = wanted();
    wanted.accept_grant(grant(5, 1900));
    assert_eq!(wanted.accept_grant(grant(6, 1900)), active(None));
    assert!(wanted.announce(millis(10), millis(1900)));
    assert_eq!(wanted.accept_grant(grant(7, 1900)), active(Some(6)));
}

#[test]
fn a_grant_is_announced_once_and_only_while_it_is_valid() {
    let mut wanted = wanted();
    assert!(!wanted.announce(Duration::ZERO, millis(1900)));
    wanted.accept_grant(grant(5, 1900));
    assert!(!wanted.announce(millis(1900), millis(1900)));
    assert!(wanted.announce(millis(1899), millis(1900)));
    assert!(!wanted.announce(millis(1899), millis(1900)));
}

#[test]
fn a_grant_that_ends_is_reported_where_it_was_announced() {
    let mut unannounced = wanted();
    unannounced.accept_grant(grant(5, 1900));
    assert_eq!(unannounced.drop_grant(), None);
    let mut announced = wanted();
    announced.accept_grant(grant(5, 1900));
    announced.announce(Duration::ZERO, millis(1900));
    let token = FencingToken(5);
    assert_eq!(announced.begin_release(), Some(token));
    assert_eq!(announced.status, LeaseStatus::Releasing { token });
    assert_eq!(announced.begin_release(), None);
    assert_eq!(
        announced.accept_grant(grant(6, 1900)),
        GrantOutcome::Ignored
    );
}

#[test]
fn responses_to_the_latest_four_requests_are_accepted() {
    let mut wanted = wanted();
    for id in 1..=5 {
        wanted.add_pending(PendingRequest {
            id: RequestId(id),
            sent_at: Duration::ZERO,
        });
    }
    let first = wanted.pending.first().map(|pending| pending.id);
    assert_eq!((wanted.pending.len(), first), (4, Some(RequestId(2))));
    wanted.remove_requests_up_to(RequestId(3));
    assert_eq!(wanted.pending.len(), 2);
}

/// On an owner's clock that is slow by the maximum drift, a lease must end no later than on the
/// voters' clocks.
#[test]
fn the_usable_ttl_is_shorter_by_the_drift_and_renewed_after_a_third() {
    let config = Config {
        max_clock_drift_permille: 50,
        jitter_permille: 0,
    };
    let mut schedule = RenewalSchedule::new(config, 1);
    assert_eq!(schedule.usable_ttl(TTL), millis(1900));
    assert_eq!(
        schedule.renew_at(millis(100), TTL),
        millis(100) + millis(1900) / 3
    );
    assert!(schedule.allows_operation(TTL, millis(1900) / 3));
    assert!(!schedule.allows_operation(TTL, millis(1900) / 3 + Duration::from_nanos(1)));
    assert_eq!(schedule.retry_interval(TTL), TTL / 6);
    assert_eq!(schedule.retry_interval(millis(3001)), millis(500));
    assert_eq!(schedule.queue_poll_interval(TTL), millis(500));
}

#[test]
fn jitter_lengthens_a_pause_by_its_fraction_at_most() {
    let config = Config {
        max_clock_drift_permille: 50,
        jitter_permille: 250,
    };
    let mut schedule = RenewalSchedule::new(config, 1);
    let pauses: Vec<Duration> = (0..2000)
        .map(|_| schedule.with_jitter(millis(400)))
        .collect();
    assert_eq!(pauses.iter().min(), Some(&millis(400)));
    assert_eq!(pauses.iter().max(), Some(&millis(500)));
}

#[test]
fn a_hint_selects_the_target_and_otherwise_voters_are_tried_in_turn() {
    let mut hint = LeaderHint::new(vec!["v".into(), "w".into()]);
    assert!(hint.redirect(Some("new")), "an unknown voter is added");
    assert_eq!(hint.target(), Some(&"new".into()));
    assert!(!hint.redirect(Some("new")), "the target names itself");
    hint.try_next();
    assert_eq!(hint.target(), Some(&"v".into()));
    assert!(!hint.redirect(None));
    assert_eq!(hint.target(), Some(&"w".into()));
}

#[test]
fn hints_add_voters_up_to_the_bound() {
    let mut hint = LeaderHint::new(vec!["v1".into()]);
    for voter in 2..=16 {
        assert!(hint.redirect(Some(&format!("v{voter}"))));
    }
    assert!(!hint.redirect(Some("v17")), "the voter is not added");
    assert_eq!(hint.target(), Some(&"v1".into()));
}

#[test]
fn released_tokens_stay_rejected_beyond_the_bound() {
    let mut released = ReleasedTokens::default();
    for lease in 0..=4096 {
        released.insert(&format!("lease-{lease}").into(), FencingToken(lease + 1));
    }
    assert_eq!(
        released.latest("lease-0"),
        FencingToken(4096),
        "the maximum applies to all leases"
    );
    assert_eq!(released.latest("lease-4096"), FencingToken(4097));
    released.insert(&"lease-4096".into(), FencingToken(7));
    assert_eq!(released.latest("lease-4096"), FencingToken(4097));
}
