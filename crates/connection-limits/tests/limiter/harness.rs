//! A simulated server that carries out the limiter's actions and checks each of them against a
//! model of its connections.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use tulipgap_connection_limits::{
    Action, CloseReason, Config, ConnectionId, ConnectionLimit, DescriptorOwner, Event, FullPolicy,
    Limiter, NetworkLimits, RejectReason, Reservation,
};

pub(crate) const fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

pub(crate) fn v4(a: u8, b: u8, c: u8, d: u8) -> IpAddr {
    Ipv4Addr::new(a, b, c, d).into()
}

pub(crate) fn config() -> Config {
    Config {
        max_descriptors: 60,
        reservations: vec![
            Reservation {
                owner: DescriptorOwner::Process,
                descriptors: 6,
            },
            Reservation {
                owner: DescriptorOwner::Store,
                descriptors: 4,
            },
            Reservation {
                owner: DescriptorOwner::KnownClients,
                descriptors: 10,
            },
        ],
        network_limits: Some(NetworkLimits {
            address: ConnectionLimit {
                max_connections: 8,
                max_rate: 10,
            },
            network: ConnectionLimit {
                max_connections: 24,
                max_rate: 30,
            },
            wide_network: ConnectionLimit {
                max_connections: 40,
                max_rate: 60,
            },
        }),
        full_policy: FullPolicy::Reject,
        trusted_networks: Vec::new(),
        reputation_half_life: Duration::from_secs(60),
        message_timeout: ms(2000),
        idle_timeout: ms(5000),
        cold_start_fraction: 1.0,
        warm_up: Duration::ZERO,
    }
}

/// An open connection of the model.
pub(crate) struct OpenConnection {
    pub(crate) open_requests: u32,
    pub(crate) is_close_requested: bool,
    pub(crate) is_closing: bool,
}

/// A simulated server with a model of its connections.
pub(crate) struct Server {
    pub(crate) limiter: Limiter,
    pub(crate) now: Duration,
    pub(crate) open: BTreeMap<ConnectionId, OpenConnection>,
    pub(crate) free: BTreeSet<ConnectionId>,
    pub(crate) rejected: Vec<RejectReason>,
    pub(crate) closed: Vec<(ConnectionId, CloseReason)>,
    pub(crate) paused_until: Duration,
    pub(crate) max_descriptors: usize,
}

impl Server {
    pub(crate) fn new(config: Config) -> Self {
        let max_descriptors = config.max_descriptors;
        Server {
            limiter: Limiter::new(config, 1).unwrap(),
            now: Duration::ZERO,
            open: BTreeMap::new(),
            free: (0..1000).map(ConnectionId).collect(),
            rejected: Vec::new(),
            closed: Vec::new(),
            paused_until: Duration::ZERO,
            max_descriptors,
        }
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.limiter.handle_event(self.now, event, &mut actions);
        let mut is_decided = false;
        for action in actions {
            match action {
                Action::Serve { connection } => {
                    let Event::Accepted {
                        connection: accepted,
                        ..
                    } = event
                    else {
                        panic!("no connection was accepted")
                    };
                    assert!(accepted == connection && !std::mem::replace(&mut is_decided, true));
                    let model = OpenConnection {
                        open_requests: 0,
                        is_close_requested: false,
                        is_closing: false,
                    };
                    assert!(self.open.insert(connection, model).is_none());
                }
                Action::Reject { connection, reason } => {
                    assert!(
                        matches!(event, Event::Accepted { connection: c, .. } if c == connection)
                    );
                    assert!(!std::mem::replace(&mut is_decided, true));
                    self.free.insert(connection);
                    self.rejected.push(reason);
                }
                Action::RequestClose { connection } => {
                    let model = self.open.get_mut(&connection).expect("it is open");
                    assert!(
                        !std::mem::replace(&mut model.is_close_requested, true),
                        "requested once"
                    );
                }
                Action::Close { connection, reason } => {
                    let model = self.open.get_mut(&connection).expect("it is open");
                    assert_eq!(
                        model.open_requests, 0,
                        "no request is open on a connection that is closed"
                    );
                    assert!(
                        !std::mem::replace(&mut model.is_closing, true),
                        "closed once"
                    );
                    self.closed.push((connection, reason));
                }
                Action::PauseAccepting { until } => self.paused_until = until,
                Action::SetTimer { at } => assert!(at > self.now, "a timer is set in the future"),
            }
        }
        let is_accept = matches!(event, Event::Accepted { .. });
        assert_eq!(
            is_decided, is_accept,
            "each accepted connection is served or rejected"
        );
        let descriptors = self.limiter.descriptors();
        assert!(descriptors.total_in_use() <= self.max_descriptors);
        // New clients take no descriptor that is reserved for another owner.
        let reserved = 6 + 4 + 10;
        assert!(descriptors.in_use(DescriptorOwner::NewClients) <= self.max_descriptors - reserved);
        assert_eq!(self.limiter.open_connections(), self.open.len());
    }

    /// Accepts a connection. Returns it if the limiter serves it.
    pub(crate) fn accept(&mut self, address: IpAddr) -> Option<ConnectionId> {
        let connection = self.free.pop_first().expect("a connection index is free");
        self.handle(Event::Accepted {
            connection,
            address,
        });
        self.open.contains_key(&connection).then_some(connection)
    }

    pub(crate) fn model(&mut self, connection: ConnectionId) -> &mut OpenConnection {
        self.open.get_mut(&connection).expect("it is open")
    }

    pub(crate) fn start_request(&mut self, connection: ConnectionId) {
        self.model(connection).open_requests += 1;
        self.handle(Event::RequestStarted { connection });
    }

    pub(crate) fn finish_request(&mut self, connection: ConnectionId, is_answered: bool) {
        self.model(connection).open_requests -= 1;
        self.handle(Event::RequestFinished {
            connection,
            is_answered,
        });
    }

    /// Reads and answers a complete request.
    pub(crate) fn serve(&mut self, connection: ConnectionId) {
        self.handle(Event::MessageCompleted { connection });
        self.start_request(connection);
        self.finish_request(connection, true);
    }

    /// Reads and rejects a complete request.
    pub(crate) fn reject(&mut self, connection: ConnectionId) {
        self.handle(Event::MessageCompleted { connection });
        self.start_request(connection);
        self.handle(Event::RequestRejected { connection });
        self.finish_request(connection, false);
    }

    pub(crate) fn close(&mut self, connection: ConnectionId) {
        self.open.remove(&connection);
        self.free.insert(connection);
        self.handle(Event::Closed { connection });
    }

    /// Advances the time in ticks of 10 ms, and closes connections as soon as the limiter asks for
    /// it.
    pub(crate) fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + ms(10)).min(end);
            self.handle(Event::TimerExpired);
            self.finish_closing();
        }
    }

    pub(crate) fn finish_closing(&mut self) {
        let closing = self.open.iter().filter(|(_, model)| model.is_closing);
        let closing: Vec<ConnectionId> = closing.map(|(&connection, _)| connection).collect();
        closing
            .into_iter()
            .for_each(|connection| self.close(connection));
    }

    /// Serves requests of an address until its client is known. Returns the connection.
    pub(crate) fn become_known(&mut self, address: IpAddr) -> ConnectionId {
        let connection = self.accept(address).unwrap();
        for _ in 0..8 {
            self.serve(connection);
            self.advance(ms(400));
        }
        connection
    }
}
