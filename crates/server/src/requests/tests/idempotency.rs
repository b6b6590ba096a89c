//! Idempotency keys: which requests are duplicates, which response they get, and when a key is free
//! again.

use std::sync::Arc;
use std::time::Duration;

use tulipgap::Idempotency;

use super::common::{config, ms};
use super::{
    CLIENT_TIMEOUT, RETENTION, bytes, incoming, next_command, registry, registry_at_capacity,
};
use crate::requests::{
    Command, IncomingRequest, KeyLimits, Outcome, RegisterError, RequestEvent, RequestRegistry,
    Response,
};

/// A duplicate that arrives while the first attempt runs, or later within the retention, is not run
/// and gets the result of the first attempt. After the retention, a request with the key is run.
#[test]
fn duplicates_within_the_retention_get_the_first_result() {
    let registry = registry();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&first), Some(Command::Start));
    let second = registry.register(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&second), None);
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::Succeeded,
            result: bytes("page"),
            work: None,
        },
    );
    assert_eq!(
        next_command(&second),
        Some(Command::Respond(Response::Completed(bytes("page"))))
    );
    // A duplicate that arrives after the end of the first attempt gets its result too, until the
    // retention has passed.
    registry.advance_time(ms(RETENTION - 100));
    let third = registry.register(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(
        next_command(&third),
        Some(Command::Respond(Response::Completed(bytes("page"))))
    );
    registry.advance_time(ms(500));
    let fourth = registry.register(incoming("d", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&fourth), Some(Command::Start));
}

/// Guards against a request that gets another request's result: a coalesced request whose caller is
/// gone frees its index, and a new request reuses the index.
#[test]
fn a_reused_index_is_not_taken_for_a_coalesced_request() {
    let registry = registry();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&first), Some(Command::Start));
    let second = registry.register(incoming("b", 1, Some("k"))).unwrap();
    registry.report("b", RequestEvent::CallerGone);
    drop(second);
    let third = registry.register(incoming("c", 0, None)).unwrap();
    assert_eq!(next_command(&third), Some(Command::Start));
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::Succeeded,
            result: bytes("another's page"),
            work: None,
        },
    );
    assert_eq!(next_command(&third), None, "the request is not coalesced");
}

/// Guards against keys that accumulate in memory. A key is kept for its retention and a client
/// timeout, because a duplicate that arrived within the retention may be read that much later.
/// After that it is removed completely.
#[test]
fn expired_keys_are_removed() {
    let registry = registry();
    for at in 0..5 {
        let ticket = registry
            .register(incoming(&format!("r{at}"), 1, Some(&format!("k{at}"))))
            .unwrap();
        registry.report(
            &format!("r{at}"),
            RequestEvent::RunFinished {
                outcome: Outcome::Succeeded,
                result: bytes("page"),
                work: None,
            },
        );
        drop(ticket);
    }
    assert_eq!(registry.state.lock().key_sizes().0, 5);
    // A request that arrived within the retention may still be read until its client times out.
    registry.advance_time(ms(RETENTION + 500));
    drop(registry.register(incoming("between", 0, None)).unwrap());
    assert_eq!(registry.state.lock().key_sizes().0, 5);
    registry.advance_time(ms(CLIENT_TIMEOUT));
    drop(registry.register(incoming("last", 0, None)).unwrap());
    assert_eq!(registry.state.lock().key_sizes(), (0, 0, 0));
}

/// Guards against a lookup by the key alone: callers choose their keys, and a request of another
/// tenant or for another handler got a result of a different request and never ran. A key is scoped
/// to its tenant and handler.
#[test]
fn a_key_is_scoped_to_its_tenant_and_handler() {
    let mut config = config();
    config.handlers[0].idempotency = Idempotency::Keyed;
    config.handlers[0].key_retention = ms(RETENTION);
    let registry = Arc::new(RequestRegistry::new(
        config,
        7,
        KeyLimits::for_memory(192.0),
        None,
    ));
    assert!(registry.start(false, Duration::ZERO));
    let of = |id: &str, handler, tenant| IncomingRequest {
        tenant,
        ..incoming(id, handler, Some("k"))
    };
    for (id, handler, tenant) in [
        ("a", 1, Some(0)),
        ("b", 1, Some(1)),
        ("c", 0, Some(0)),
        ("d", 1, None),
    ] {
        let ticket = registry.register(of(id, handler, tenant)).unwrap();
        assert_eq!(
            next_command(&ticket),
            Some(Command::Start),
            "{id} is not a duplicate"
        );
        registry.report(
            id,
            RequestEvent::RunFinished {
                outcome: Outcome::Succeeded,
                result: bytes(id),
                work: None,
            },
        );
        assert_eq!(
            next_command(&ticket),
            Some(Command::Respond(Response::Completed(bytes(id))))
        );
        let repeat = format!("{id}2");
        let ticket = registry.register(of(&repeat, handler, tenant)).unwrap();
        assert_eq!(
            next_command(&ticket),
            Some(Command::Respond(Response::Completed(bytes(id)))),
            "the repeated request is a duplicate"
        );
    }
}

/// Guards against a duplicate run: a duplicate that arrived at the machine within the retention,
/// but was read after its end because the process was paused, was taken as a new request and run.
/// The key is kept for a client timeout longer than its retention.
#[test]
fn a_duplicate_that_arrived_within_the_retention_and_is_read_later_is_not_run() {
    let registry = registry();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&first), Some(Command::Start));
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::Succeeded,
            result: bytes("page"),
            work: None,
        },
    );
    registry.advance_time(ms(RETENTION + 1000));
    let late = registry
        .register(IncomingRequest {
            age: ms(1500),
            ..incoming("b", 1, Some("k"))
        })
        .unwrap();
    assert_eq!(
        next_command(&late),
        Some(Command::Respond(Response::Completed(bytes("page"))))
    );
    assert!(registry.is_duplicate(&IncomingRequest {
        age: ms(1500),
        ..incoming("c", 1, Some("k"))
    }));
    assert!(!registry.is_duplicate(&incoming("c", 1, Some("k"))));
    let next = registry.register(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&next), Some(Command::Start));
}

/// Guards against a key without a run: a queued request was dropped with its broken connection, but
/// its key was kept, and all further attempts failed for the whole retention. The key of a request
/// that never ran is removed with the request.
#[test]
fn the_key_of_a_request_that_never_ran_is_removed() {
    let (registry, running) = registry_at_capacity();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&first), None, "queued");
    registry.report("a", RequestEvent::CallerGone);
    let again = registry.register(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&again), None, "queued instead");
    for at in 0..running.len() {
        let id = format!("full{at}");
        registry.report(
            &id,
            RequestEvent::RunFinished {
                outcome: Outcome::Succeeded,
                result: bytes("page"),
                work: None,
            },
        );
    }
    assert_eq!(next_command(&again), Some(Command::Start));
}

/// Guards against malicious clients that send a known key with another body to get the result of
/// the first request. Such a request is an error and is not run.
#[test]
fn a_known_key_with_another_body_gets_no_result() {
    let registry = registry();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    let other = |id: &str| IncomingRequest {
        body_hash: 1,
        ..incoming(id, 1, Some("k"))
    };
    assert_eq!(
        registry.register(other("b")).err(),
        Some(RegisterError::KeyReused),
        "while the first request runs"
    );
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::Succeeded,
            result: bytes("page"),
            work: None,
        },
    );
    assert_eq!(
        registry.register(other("b")).err(),
        Some(RegisterError::KeyReused),
        "after it has ended"
    );
    drop(first);
    let repeat = registry.register(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(
        next_command(&repeat),
        Some(Command::Respond(Response::Completed(bytes("page"))))
    );
}

/// Guards against a forged request that arrives first with the key of another client. The executor
/// does not start its run, because it does not know the id, but all attempts of the key's owner
/// failed for the whole retention. A run that never started frees its key, and the owner is served.
#[test]
fn the_key_of_a_run_that_never_started_is_free() {
    let registry = registry();
    let forged = registry
        .register(IncomingRequest {
            body_hash: 1,
            ..incoming("a", 1, Some("k"))
        })
        .unwrap();
    assert_eq!(next_command(&forged), Some(Command::Start));
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::NotStarted,
            result: bytes(""),
            work: None,
        },
    );
    assert_eq!(
        next_command(&forged),
        Some(Command::Respond(Response::Failed))
    );
    let owner = registry.register(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&owner), Some(Command::Start));
}
