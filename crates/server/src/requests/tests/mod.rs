//! Tests of the request registry with its controller: for any reports of peers, in any order, each
//! request gets exactly one response, and no effect happens twice.

mod idempotency;
mod lifecycle;
mod model;
mod model_based;
mod shutdown;

#[path = "../../../../../tests/decisions/common.rs"]
#[allow(dead_code)]
mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{config, ms};

use super::{
    Bytes, Command, Gauges, IdempotencyKey, IncomingRequest, KeyLimits, RequestRegistry, Ticket,
};

/// The retention of a key, in milliseconds.
const RETENTION: u64 = 2000;
/// The client timeout of the shared configuration, in milliseconds.
const CLIENT_TIMEOUT: u64 = 3000;

fn registry() -> Arc<RequestRegistry> {
    let registry = Arc::new(RequestRegistry::new(
        config(),
        7,
        KeyLimits::for_memory(192.0),
        None,
    ));
    assert!(registry.start(false, Duration::ZERO));
    registry
}

impl RequestRegistry {
    /// Advances the clock without waiting, and fires the timers.
    fn advance_time(&self, span: Duration) {
        self.state.lock().advance_clock(span);
        self.fire_timers(Gauges::default());
    }
}

fn incoming(id: &str, handler: usize, key: Option<&str>) -> IncomingRequest {
    IncomingRequest {
        id: id.into(),
        handler,
        tenant: Some(0),
        age: ms(1),
        client_wait: None,
        estimated_work: Some(ms(50)),
        queued_kb: 10.0,
        is_retry: false,
        idempotency_key: key.map(IdempotencyKey::from),
        body_hash: 0,
        trace: None,
    }
}

fn bytes(text: &str) -> Bytes {
    text.as_bytes().into()
}

/// The next command, if one is queued.
fn next_command(ticket: &Ticket) -> Option<Command> {
    ticket.next_command(Some(Instant::now()))
}

/// A registry with a run on every core, so that the next request is queued.
fn registry_at_capacity() -> (Arc<RequestRegistry>, Vec<Ticket>) {
    let registry = registry();
    let running = (0..config().cores)
        .map(|at| {
            let ticket = registry
                .register(incoming(&format!("full{at}"), 0, None))
                .unwrap();
            assert_eq!(next_command(&ticket), Some(Command::Start));
            ticket
        })
        .collect();
    (registry, running)
}
