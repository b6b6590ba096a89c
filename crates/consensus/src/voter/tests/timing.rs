//! Tests of ticks, election timeouts, the start and end of leadership, and leadership transfers.

use std::time::Duration;

use raft::StateRole;

use crate::voter::leadership::{
    ElectionTimeout, FollowerProgress, Leadership, LeadershipChange, Role, transfer_target,
};
use crate::voter::tick_timer::TickTimer;

const TICK: Duration = Duration::from_millis(100);

/// A voter that was paused for five seconds must not count fifty ticks at once: it would campaign
/// while the leader's heartbeats are queued in its socket, and the leader would step down.
#[test]
fn a_late_timer_causes_one_tick() {
    let mut timer = TickTimer::new(TICK);
    assert!(timer.elapsed(Duration::ZERO));
    assert!(!timer.elapsed(TICK - Duration::from_nanos(1)));
    assert!(timer.elapsed(50 * TICK));
    assert!(!timer.elapsed(50 * TICK));
    assert!(timer.elapsed(51 * TICK));
}

#[test]
fn a_timer_is_requested_only_where_it_is_sooner() {
    let mut timer = TickTimer::new(TICK);
    assert!(timer.elapsed(Duration::ZERO));
    assert_eq!(timer.request(Duration::ZERO, None), Some(TICK));
    assert_eq!(timer.request(Duration::ZERO, Some(2 * TICK)), None);
    assert_eq!(
        timer.request(Duration::ZERO, Some(TICK / 2)),
        Some(TICK / 2)
    );
    // The earlier timer has elapsed, so the timer for the tick is requested again.
    assert!(!timer.elapsed(TICK / 2));
    assert_eq!(timer.request(TICK / 2, None), Some(TICK));
    // An overdue tick is requested for the current time.
    let mut timer = TickTimer::new(TICK);
    assert_eq!(timer.request(5 * TICK, None), Some(5 * TICK));
}

#[test]
fn an_election_timeout_is_sampled_for_each_term_and_role() {
    let mut timeout = ElectionTimeout::new(1);
    let mut sampled: Vec<usize> = (1..200)
        .map(|term| timeout.ticks(term, StateRole::Follower, 10))
        .collect();
    let last = timeout.ticks(199, StateRole::Follower, 10);
    assert_eq!(
        Some(&last),
        sampled.last(),
        "the timeout changed within one term and role"
    );
    sampled.sort_unstable();
    sampled.dedup();
    assert_eq!(sampled, (10..20).collect::<Vec<_>>());
}

/// If a new leader expired leases from its election on, it would use a state in which committed
/// renewals are not applied yet.
#[test]
fn leadership_begins_once_an_entry_of_the_current_term_is_applied() {
    let mut leadership = Leadership::default();
    let role = |term, is_leader, has_applied_own_term| Role {
        term,
        is_leader,
        has_applied_own_term,
    };
    assert_eq!(leadership.update(role(2, true, false)), None);
    let began = Some(LeadershipChange::Began { term: 2 });
    assert_eq!(leadership.update(role(2, true, true)), began);
    assert_eq!(leadership.update(role(2, true, true)), None);
    // The voter was deposed and elected again between two updates.
    let began = Some(LeadershipChange::Began { term: 5 });
    assert_eq!(leadership.update(role(5, true, true)), began);
    let ended = Some(LeadershipChange::Ended);
    assert_eq!(leadership.update(role(6, false, true)), ended);
    assert_eq!(leadership.update(role(6, false, true)), None);
}

#[test]
fn leadership_is_transferred_to_the_active_follower_with_the_highest_matched_index() {
    let follower = |id, matched_index, is_active| FollowerProgress {
        id,
        matched_index,
        is_active,
    };
    let target = |followers: &[FollowerProgress]| transfer_target(followers.iter().copied());
    assert_eq!(target(&[]), None);
    assert_eq!(target(&[follower(2, 9, false)]), None);
    let furthest = [
        follower(2, 9, false),
        follower(3, 7, true),
        follower(4, 6, true),
    ];
    assert_eq!(target(&furthest), Some(3));
    assert_eq!(
        target(&[follower(5, 7, true), follower(3, 7, true)]),
        Some(5)
    );
}
