//! Tests of the request registry with the controller behind it. Whatever peers report, and in
//! whatever order, each request gets one response, and no effect happens twice.

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

use super::{Bytes, Command, Gauges, IdempotencyKey, IncomingRequest, RequestRegistry, Ticket};

/// Retention of a keyed result, in milliseconds.
const WINDOW: u64 = 2000;
/// The client timeout of the shared configuration, in milliseconds.
const TIMEOUT: u64 = 3000;

fn registry() -> Arc<RequestRegistry> {
    let registry = Arc::new(RequestRegistry::new(config(), 7, None));
    assert!(registry.start(false, Duration::ZERO));
    registry
}

impl RequestRegistry {
    /// Moves the clock on without waiting, and fires the timers.
    fn pass_time(&self, span: Duration) {
        self.state.lock().skip_time(span);
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

/// The next command, if there is one now.
fn next_command(ticket: &Ticket) -> Option<Command> {
    ticket.next_command(Some(Instant::now()))
}

/// A registry with every core taken, so that the next request is queued.
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
