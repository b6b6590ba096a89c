//! The lifecycle of one request: its commands, its deadline, and a coroutine that ends early.

use std::time::{Duration, Instant};

use super::common::{config, ms};
use super::{bytes, incoming, next_command, registry, registry_at_capacity};
use crate::requests::{
    Command, KeyLimits, Outcome, RegisterError, RequestEvent, RequestRegistry, Response,
};

/// The normal lifecycle of a request: it is started, makes a call and gets the reply, has a second
/// call skipped, and completes. A second reply to the same call is ignored.
#[test]
fn a_request_runs_makes_calls_and_completes() {
    let registry = registry();
    let ticket = registry.register(incoming("a", 0, None)).unwrap();
    assert_eq!(next_command(&ticket), Some(Command::Start));
    assert_eq!(next_command(&ticket), None);
    assert_eq!(
        registry.register(incoming("a", 0, None)).err(),
        Some(RegisterError::DuplicateId)
    );
    registry.report(
        "a",
        RequestEvent::CallReached {
            call: 4,
            body: bytes("body"),
        },
    );
    assert!(
        matches!(next_command(&ticket), Some(Command::StartCall { body, .. }) if body == bytes("body"))
    );
    registry.report(
        "a",
        RequestEvent::CallFinished {
            outcome: Outcome::Succeeded,
            reply: bytes("reply"),
        },
    );
    assert_eq!(
        next_command(&ticket),
        Some(Command::Resume {
            reply: bytes("reply")
        })
    );
    // A second reply to the same call is ignored.
    registry.report(
        "a",
        RequestEvent::CallFinished {
            outcome: Outcome::Failed,
            reply: bytes(""),
        },
    );
    registry.report(
        "a",
        RequestEvent::CallReached {
            call: 5,
            body: bytes("body"),
        },
    );
    assert!(matches!(
        next_command(&ticket),
        Some(Command::StartCall { .. })
    ));
    registry.report(
        "a",
        RequestEvent::CallFinished {
            outcome: Outcome::Rejected,
            reply: bytes(""),
        },
    );
    assert_eq!(next_command(&ticket), Some(Command::SkipCall { call: 5 }));
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::Succeeded,
            result: bytes("page"),
            work: None,
        },
    );
    assert_eq!(
        next_command(&ticket),
        Some(Command::Respond(Response::Completed(bytes("page"))))
    );
    assert_eq!(next_command(&ticket), Some(Command::Finish));
    drop(ticket);
    assert_eq!(registry.open_count(), 0);
}

/// The executor reports whether it starts warm or cold; only the first report has an effect. After
/// a cold start, the clock starts at the uptime of the executor.
#[test]
fn the_clock_starts_at_zero_when_warm_and_at_the_uptime_when_cold() {
    for (cold, uptime) in [(false, Duration::ZERO), (true, ms(4000))] {
        let registry = RequestRegistry::new(config(), 7, KeyLimits::for_memory(192.0), None);
        assert!(!registry.is_started() && !registry.is_healthy());
        assert!(registry.start(cold, ms(4000)));
        assert!(
            !registry.start(cold, ms(9000)),
            "the second report has no effect"
        );
        assert!(registry.is_healthy());
        let now = registry.state.lock().now();
        assert!(now >= uptime && now < uptime + ms(3000));
    }
}

/// A coroutine ends while its request runs. The run continues until the executor reports its end,
/// and until then the request counts as open.
#[test]
fn a_request_without_its_coroutine_is_open_until_its_run_ends() {
    let registry = registry();
    let ticket = registry.register(incoming("a", 0, None)).unwrap();
    assert_eq!(next_command(&ticket), Some(Command::Start));
    drop(ticket);
    assert_eq!(registry.open_count(), 1, "the run continues");
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::Cancelled,
            result: bytes(""),
            work: None,
        },
    );
    assert_eq!(registry.open_count(), 0);
}

/// Guards against a coroutine that waits indefinitely because its deadline has passed by less than
/// a millisecond: calls were never abandoned, and timers stopped permanently when the executor link
/// broke during a query. A wait ends at once if its deadline has passed.
#[test]
fn a_ticket_waits_no_longer_than_its_deadline() {
    let (commands, received) = std::sync::mpsc::channel();
    crate::net::spawn(move || {
        let ticket = registry().register(incoming("a", 0, None)).unwrap();
        assert_eq!(ticket.next_command(None), Some(Command::Start));
        for span in (0..20).map(|step| Duration::from_micros(300 * step)) {
            commands
                .send(ticket.next_command(Some(Instant::now() + span)))
                .unwrap();
        }
    });
    for _ in 0..20 {
        assert_eq!(received.recv_timeout(Duration::from_secs(30)), Ok(None));
    }
}

/// The longest delays distinguish a request that waits in the queue from one that waits for the
/// executor. Without them, no log line showed where a request was delayed for seconds.
#[test]
fn longest_delays_distinguish_queue_time_from_run_time() {
    let (registry, mut running) = registry_at_capacity();
    let queued = registry.register(incoming("queued", 0, None)).unwrap();
    assert_eq!(next_command(&queued), None);
    std::thread::sleep(ms(5));
    let finish = |id: &str| {
        registry.report(
            id,
            RequestEvent::RunFinished {
                outcome: Outcome::Succeeded,
                result: bytes("result"),
                work: None,
            },
        );
    };
    finish("full0");
    running.clear();
    assert_eq!(next_command(&queued), Some(Command::Start));
    let delays = registry.take_longest_delays();
    assert!(delays.queued >= ms(5) && delays.run >= ms(5), "{delays:?}");
    finish("queued");
    let delays = registry.take_longest_delays();
    assert_eq!(delays.queued, Duration::ZERO);
    assert!(delays.run > Duration::ZERO, "{delays:?}");
    finish("queued");
    assert_eq!(registry.take_longest_delays().run, Duration::ZERO);
}
