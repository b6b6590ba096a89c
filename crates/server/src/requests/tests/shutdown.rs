//! The shutdown notice, before and after the start.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::common::{config, ms};
use super::{incoming, next_command, registry};
use crate::requests::{Command, IncomingRequest, RequestRegistry, Response};

/// A shutdown notice that came before the executor was up was dropped: once it was up, requests
/// were admitted and run until the termination. The notice is now kept and passed on right after
/// the start.
#[test]
fn a_shutdown_notice_before_the_start_takes_effect_after_it() {
    let registry = Arc::new(RequestRegistry::new(config(), 7, None));
    registry.shutdown_notice(Instant::now(), ms(9000));
    assert!(registry.start(false, Duration::ZERO));
    assert!(!registry.is_healthy());
    let ticket = registry.register(incoming("a", 0, None)).unwrap();
    assert_eq!(
        next_command(&ticket),
        Some(Command::Start),
        "within the grace"
    );
    registry.pass_time(config().drain_grace + ms(50));
    let ticket = registry.register(incoming("b", 0, None)).unwrap();
    assert!(
        matches!(
            next_command(&ticket),
            Some(Command::Respond(Response::Rejected { .. }))
        ),
        "behind it"
    );
}

/// The grace counted from when the controller learned of the notice: where it learned late,
/// requests ran that had arrived after the grace. It now counts from the signal itself.
#[test]
fn the_drain_grace_counts_from_the_notice_however_late_it_is_passed_on() {
    let registry = registry();
    let grace = config().drain_grace;
    registry.pass_time(grace * 4);
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
        "it came within the grace"
    );
}
