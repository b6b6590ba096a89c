use std::time::Duration;

use super::IdempotencyKeys;
use crate::requests::key_limits::{KeyLimits, RESULT_OVERHEAD_BYTES};
use crate::requests::messages::{Bytes, Response};
use crate::requests::scoped_key::ScopedKey;

const RETENTION: Duration = Duration::from_secs(10);
const RESULT_BYTES: usize = 1000;
/// The number of results for which there is room.
const MAX_RESULTS: usize = 3;

fn keys() -> IdempotencyKeys {
    let limits = KeyLimits {
        max_keys: 5,
        max_result_bytes: MAX_RESULTS * (RESULT_BYTES + RESULT_OVERHEAD_BYTES),
    };
    IdempotencyKeys::new(limits, Duration::ZERO)
}

fn key(number: usize) -> ScopedKey {
    ScopedKey::for_test(number as u128)
}

fn result() -> Response {
    Response::Completed(Bytes::from(vec![0; RESULT_BYTES]))
}

/// Guards against results that fill the memory of the process, and against a second effect: a key
/// outlives its result, and a duplicate fails in place of being run.
#[test]
fn the_oldest_results_are_forgotten_and_no_key_is() {
    let mut keys = keys();
    for number in 0..5 {
        assert!(!keys.is_full());
        keys.remember(key(number), number, 7, Duration::ZERO, RETENTION);
        keys.complete(key(number), number, result());
        assert_eq!(keys.take_answered(Duration::ZERO), []);
    }
    assert!(keys.is_full());
    for number in 0..5 {
        assert_eq!(
            keys.duplicated_body(Some(key(number)), RETENTION / 2),
            Some(7)
        );
        let duplicate = 100 + number;
        keys.coalesce(key(number), duplicate);
        let expected = if number < 5 - MAX_RESULTS {
            Response::Failed
        } else {
            result()
        };
        assert_eq!(keys.take_answered(RETENTION / 2), [(duplicate, expected)]);
    }
}

/// Guards against an account that stays full after its results have expired.
#[test]
fn expired_results_leave_their_account() {
    let mut keys = keys();
    for round in 1..=3 {
        let now = 2 * round * RETENTION;
        for number in 0..5 {
            keys.remember(key(number), number, 7, now, RETENTION);
            keys.complete(key(number), number, result());
        }
        keys.take_answered(now);
        let (_, bytes) = keys.result_sizes();
        assert_eq!(bytes, MAX_RESULTS * (RESULT_BYTES + RESULT_OVERHEAD_BYTES));
        keys.expire(now + RETENTION);
        assert_eq!(keys.sizes(), (0, 0, 0));
        assert_eq!(keys.result_sizes(), (0, 0));
    }
}

/// Guards against a result larger than its account, for which its own duplicates wait.
#[test]
fn the_last_result_is_kept_for_the_duplicates_that_wait() {
    let limits = KeyLimits {
        max_keys: 5,
        max_result_bytes: 0,
    };
    let mut keys = IdempotencyKeys::new(limits, Duration::ZERO);
    keys.remember(key(1), 1, 7, Duration::ZERO, RETENTION);
    keys.coalesce(key(1), 2);
    keys.complete(key(1), 1, result());
    assert!(keys.take_answered(Duration::ZERO).contains(&(2, result())));
}
