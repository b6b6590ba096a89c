//! Tests of the time at which the leader expires an owner that did not renew. An early expiry would
//! grant the slot to a second owner while the first still acts.

use std::time::Duration;

use tulipgap_leases::{Command, ExpiryTracker, Incarnation, LeaseStateMachine, Name, Owner};

const TTL: Duration = Duration::from_secs(2);
/// The TTL on a clock that is fast by 50 thousandths.
const LONGEST_TTL: Duration = Duration::from_millis(2100);
/// Maximum time that counts between two readings of the clock.
const MAX_COUNTED_STEP: Duration = Duration::from_millis(500);
const NANOSECOND: Duration = Duration::from_nanos(1);

struct Leader {
    state: LeaseStateMachine,
    expiry: ExpiryTracker,
}

impl Leader {
    fn new() -> Self {
        let state = LeaseStateMachine::default();
        let mut expiry = ExpiryTracker::new(50);
        expiry.start_leading(Duration::ZERO, &state);
        Leader { state, expiry }
    }

    fn acquire(&mut self, now: Duration, owner: &str) {
        let lease: Name = "x".into();
        self.state.apply(&Command::Acquire {
            lease: lease.clone(),
            owner: Owner {
                name: owner.into(),
                incarnation: Incarnation(1),
            },
            ttl: TTL,
            capacity: 1,
            wait: true,
        });
        self.expiry.handle_applied_command(now, &lease, &self.state);
    }

    /// Reads the clock often enough for all time to count. Returns the owners whose expiry is due
    /// at `to`.
    fn expired_at(&mut self, from: Duration, to: Duration) -> Vec<Name> {
        let mut now = from;
        while now + MAX_COUNTED_STEP < to {
            now += MAX_COUNTED_STEP;
            assert_eq!(self.expiry.due_expirations(now), []);
        }
        owners(self.expiry.due_expirations(to))
    }
}

fn owners(commands: Vec<Command>) -> Vec<Name> {
    let owner = |command| match command {
        Command::Expire { owner, .. } => Some(owner.name),
        _ => None,
    };
    commands.into_iter().filter_map(owner).collect()
}

#[test]
fn an_owner_expires_once_its_ttl_is_over_by_a_slow_clock() {
    let mut leader = Leader::new();
    leader.acquire(Duration::ZERO, "a");
    let before = LONGEST_TTL - NANOSECOND;
    assert_eq!(leader.expired_at(Duration::ZERO, before), [] as [Name; 0]);
    assert_eq!(leader.expired_at(before, LONGEST_TTL), ["a".into()]);
}

#[test]
fn a_renewal_restarts_the_ttl() {
    let mut leader = Leader::new();
    leader.acquire(Duration::ZERO, "a");
    let renewed = Duration::from_millis(400);
    leader.acquire(renewed, "a");
    let before = renewed + LONGEST_TTL - NANOSECOND;
    assert_eq!(leader.expired_at(renewed, before), [] as [Name; 0]);
    assert_eq!(leader.expired_at(before, before + NANOSECOND), ["a".into()]);
}

/// A leader that was paused for a minute finds renewals in its socket that arrived during the
/// pause. If it counted the whole minute, it would expire all owners before it reads the renewals.
#[test]
fn a_pause_of_the_leader_counts_as_half_a_second() {
    let mut leader = Leader::new();
    leader.acquire(Duration::ZERO, "a");
    let resumed = Duration::from_secs(60);
    assert_eq!(leader.expired_at(resumed, resumed), [] as [Name; 0]);
    let remaining = LONGEST_TTL - MAX_COUNTED_STEP;
    let due = resumed + remaining;
    assert_eq!(
        leader.expired_at(resumed, due - NANOSECOND),
        [] as [Name; 0]
    );
    assert_eq!(leader.expired_at(due - NANOSECOND, due), ["a".into()]);
}

/// An owner may have renewed with the former leader just before that leader failed.
#[test]
fn a_new_leader_counts_every_ttl_in_full() {
    let mut leader = Leader::new();
    leader.acquire(Duration::ZERO, "a");
    assert_eq!(
        leader.expired_at(Duration::ZERO, Duration::from_secs(2)),
        [] as [Name; 0]
    );
    leader.expiry.stop_leading();
    assert_eq!(leader.expiry.next_check_at(), None);
    let elected = Duration::from_secs(3);
    leader.expiry.start_leading(elected, &leader.state);
    let due = elected + LONGEST_TTL;
    assert_eq!(
        leader.expired_at(elected, due - NANOSECOND),
        [] as [Name; 0]
    );
    assert_eq!(leader.expired_at(due - NANOSECOND, due), ["a".into()]);
}

#[test]
fn an_expiry_that_is_not_applied_is_proposed_again_after_half_a_second() {
    let mut leader = Leader::new();
    leader.acquire(Duration::ZERO, "a");
    assert_eq!(leader.expired_at(Duration::ZERO, LONGEST_TTL), ["a".into()]);
    let retry_at = LONGEST_TTL + Duration::from_millis(500);
    let before = retry_at - NANOSECOND;
    assert_eq!(leader.expired_at(LONGEST_TTL, before), [] as [Name; 0]);
    assert_eq!(leader.expired_at(before, retry_at), ["a".into()]);
}

#[test]
fn the_next_check_is_due_within_half_the_maximum_counted_step() {
    let mut leader = Leader::new();
    leader.acquire(Duration::ZERO, "a");
    assert_eq!(leader.expiry.next_check_at(), Some(MAX_COUNTED_STEP / 2));
    assert_eq!(
        leader.expired_at(Duration::ZERO, Duration::from_secs(2)),
        [] as [Name; 0]
    );
    assert_eq!(leader.expiry.next_check_at(), Some(LONGEST_TTL));
}
