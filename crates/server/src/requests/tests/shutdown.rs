//! The shutdown notice, before and after the start of the controller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::common::{config, ms};
use super::{incoming, next_command, registry};
use crate::requests::{Command, IncomingRequest, KeyLimits, RequestRegistry, Response};

/// Guards against a shutdown notice that is dropped because the executor is not up yet: once the
/// executor was up, requests were admitted and run until the termination. The registry keeps the
/// notice and notifies the controller right after the start.
#[test]
fn a_shutdown_notice_before_the_start_takes_effect_at_the_start() {
    let registry = Arc::new(RequestRegistry::new(
        config(),
        7,
        KeyLimits::for_memory(192.0),
        None,
    ));
    registry.shutdown_notice(Instant::now(), ms(9000));
    assert!(registry.start(false, Duration::ZERO));
    assert!(!registry.is_healthy());
    let ticket = registry.register(incoming("a", 0, None)).unwrap();
    assert_eq!(
        next_command(&ticket),
        Some(Command::Start),
        "the request arrived within the drain grace"
    );
    registry.advance_time(config().drain_grace + ms(50));
    let ticket = registry.register(incoming("b", 0, None)).unwrap();
    assert!(
        matches!(
            next_command(&ticket),
            Some(Command::Respond(Response::Rejected { .. }))
        ),
        "the request arrived after the drain grace"
    );
}

/// Guards against a drain grace that counts from the notification of the controller: if the
/// controller was notified late, requests ran that had arrived after the grace. The grace counts
/// from the receipt of the shutdown notice.
#[test]
fn drain_grace_counts_from_the_receipt_of_the_notice() {
    let registry = registry();
    let grace = config().drain_grace;
    registry.advance_time(grace * 4);
    let Some(notice) = Instant::now().checked_sub(grace) else {
        return;
    };
    let early = registry.register(incoming("a", 0, None)).unwrap();
    assert_eq!(next_command(&early), Some(Command::Start));
    registry.shutdown_notice(notice, grace + ms(3000));
    let ticket = registry
        .register(IncomingRequest {
            age: Duration::ZERO,
            ..incoming("b", 0, None)
        })
        .unwrap();
    assert!(matches!(
        next_command(&ticket),
        Some(Command::Respond(Response::Rejected { .. }))
    ));
    let ticket = registry
        .register(IncomingRequest {
            age: ms(700),
            ..incoming("c", 0, None)
        })
        .unwrap();
    assert_eq!(
        next_command(&ticket),
        Some(Command::Start),
        "the request arrived within the drain grace"
    );
}
