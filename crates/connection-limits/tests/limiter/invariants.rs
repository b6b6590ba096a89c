//! Random events in random order: the invariants that the harness checks hold, and every connection
//! is closed in the end.

use quickcheck::{Arbitrary, Gen, quickcheck};
use tulipgap_connection_limits::{AcceptError, Action, Event, FullPolicy};

use crate::harness::{Server, config, ms, v4};

#[derive(Clone, Debug)]
struct Step {
    action: u8,
    selector: u8,
    span: u16,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Step {
            action: u8::arbitrary(g),
            selector: u8::arbitrary(g),
            span: u16::arbitrary(g),
        }
    }
}

quickcheck! {
    fn invariants_hold_for_any_events(steps: Vec<Step>, waits: bool, is_cold: bool) -> bool {
        let mut config = config();
        if waits {
            (config.full_policy, config.network_limits) = (FullPolicy::Wait, None);
        }
        if is_cold {
            (config.cold_start_fraction, config.warm_up) = (0.2, ms(3000));
        }
        let mut server = Server::new(config);
        for Step { action, selector, span } in steps {
            let selected = server.open.keys().nth(usize::from(selector) % server.open.len().max(1)).copied();
            match (action % 12, selected) {
                (0..=3, _) => {
                    let mut actions = Vec::new();
                    let backlog = (selector % 4 > 0).then_some(usize::from(selector % 7));
                    let may = server.limiter.may_accept(server.now, backlog, &mut actions);
                    for action in actions {
                        match action {
                            Action::Close { connection, .. } => {
                                let model = server.model(connection);
                                assert_eq!(model.open_requests, 0);
                                assert!(!std::mem::replace(&mut model.is_closing, true));
                            }
                            Action::RequestClose { connection } => {
                                server.model(connection).is_close_requested = true;
                            }
                            _ => {}
                        }
                    }
                    if may {
                        server.accept(v4(127, selector % 3, selector % 7, selector));
                    }
                }
                (4, Some(connection)) => server.handle(Event::MessageStarted { connection }),
                (5, Some(connection)) => server.handle(Event::MessageCompleted { connection }),
                // The host starts no request on a connection that is closing.
                (6 | 7, Some(connection)) if !server.open[&connection].is_closing => {
                    server.start_request(connection);
                }
                (8, Some(connection)) if server.open[&connection].open_requests > 0 => {
                    server.finish_request(connection, selector % 2 == 0);
                }
                (9, Some(connection)) if server.open[&connection].open_requests == 0 => {
                    server.close(connection);
                }
                (10, _) => server.advance(ms(u64::from(span) / 16)),
                (11, _) if selector < 16 => {
                    let error = AcceptError::ProcessDescriptorLimit;
                    server.handle(Event::AcceptFailed { error });
                }
                (11, Some(connection)) => server.handle(Event::ProtocolViolation { connection }),
                _ => {}
            }
        }
        // Every connection is closed after its requests have finished and its timeouts have
        // expired.
        for connection in server.open.keys().copied().collect::<Vec<_>>() {
            while server.open[&connection].open_requests > 0 {
                server.finish_request(connection, true);
            }
        }
        server.advance(ms(12_000));
        server.open.is_empty()
    }
}
