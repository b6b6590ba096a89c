//! Idempotency keys: which requests are duplicates, what they get, and when a key is free.

use std::sync::Arc;
use std::time::Duration;

use tulipgap::Idempotency;

use super::common::{config, ms};
use super::{TIMEOUT, WINDOW, bytes, incoming, next_command, registry, registry_at_capacity};
use crate::requests::{
    Command, IncomingRequest, Outcome, RegisterError, RequestEvent, RequestRegistry, Response,
};

/// A duplicate that arrives while the first attempt runs is not run, and gets the first one's
/// result. So does one that arrives later within the retention window; after the window a duplicate
/// is run.
#[test]
fn duplicates_are_coalesced_and_answered_alike() {
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
    // A duplicate that arrives after the first has finished gets its result too, until the window
    // has passed.
    registry.pass_time(ms(WINDOW - 100));
    let third = registry.register(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(
        next_command(&third),
        Some(Command::Respond(Response::Completed(bytes("page"))))
    );
    registry.pass_time(ms(500));
    let fourth = registry.register(incoming("d", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&fourth), Some(Command::Start));
}

/// A coalesced request whose caller is gone frees its index, and a new request reuses it. The new
/// request must not be answered with the result that the old one waited for.
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
    assert_eq!(next_command(&third), None, "it is coalesced with nothing");
}

/// Keys would fill the memory without an expiry. A key is kept for its window and a client timeout,
/// because a duplicate that arrived within the window may be read that much later; then nothing of
/// it is left.
#[test]
fn keys_are_forgotten_when_they_expire() {
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
    // What arrived within the window can still be read and run until its client has timed out.
    registry.pass_time(ms(WINDOW + 500));
    drop(registry.register(incoming("between", 0, None)).unwrap());
    assert_eq!(registry.state.lock().key_sizes().0, 5);
    registry.pass_time(ms(TIMEOUT));
    drop(registry.register(incoming("last", 0, None)).unwrap());
    assert_eq!(registry.state.lock().key_sizes(), (0, 0, 0));
}

/// Callers choose their keys. The map was looked up by the key alone: a request of another tenant,
/// or for another handler, got a result that was not its own, and never ran. A key is now scoped to
/// its tenant and handler.
#[test]
fn a_key_is_scoped_to_its_tenant_and_handler() {
    let mut config = config();
    config.handlers[0].idempotency = Idempotency::Keyed;
    config.handlers[0].key_retention = ms(WINDOW);
    let registry = Arc::new(RequestRegistry::new(config, 7, None));
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
            "{id} is its own"
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
            "and known again"
        );
    }
}

/// The window counts by the arrival of an attempt at the machine. One that arrived within it and
/// was read after its end, as after a pause of the process, was taken for a new request and ran a
/// second time. The key is now kept a client timeout longer than its window.
#[test]
fn a_duplicate_that_arrived_in_its_window_and_is_read_after_it_is_not_run() {
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
    registry.pass_time(ms(WINDOW + 1000));
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

/// A queued request was dropped with its broken connection, but its key stayed: all further
/// attempts failed for the whole window, though nothing had run. The key is now forgotten together
/// with a request that never ran.
#[test]
fn a_key_is_forgotten_with_its_request_that_never_ran() {
    let (registry, running) = registry_at_capacity();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&first), None, "queued");
    registry.report("a", RequestEvent::CallerGone);
    let again = registry.register(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&again), None, "queued in its place");
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

/// Malicious clients sent a known key with a body of their own, and got the first request's result.
/// A known key with another body is now an error, and nothing is run.
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
        "while it runs"
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
        "and when it is over"
    );
    drop(first);
    let repeat = registry.register(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(
        next_command(&repeat),
        Some(Command::Respond(Response::Completed(bytes("page"))))
    );
}

/// A forged request comes first with somebody else's key, and the executor does not know its id.
/// The owner's attempts failed for the window. A run that never started now frees its key, and the
/// owner is served.
#[test]
fn a_key_of_a_run_that_never_started_is_free() {
    let registry = registry();
    let made_up = registry
        .register(IncomingRequest {
            body_hash: 1,
            ..incoming("a", 1, Some("k"))
        })
        .unwrap();
    assert_eq!(next_command(&made_up), Some(Command::Start));
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::NotStarted,
            result: bytes(""),
            work: None,
        },
    );
    assert_eq!(
        next_command(&made_up),
        Some(Command::Respond(Response::Failed))
    );
    let own = registry.register(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&own), Some(Command::Start));
}
