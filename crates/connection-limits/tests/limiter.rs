//! The limiter against a plain model: whatever the events and their order, the budget of
//! descriptors and its reservations hold, no connection with an open request is closed, and each
//! connection is open or was rejected or closed for a reason.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, quickcheck};
use tulipgap_connection_limits::{
    AcceptError, Action, CloseReason, Config, ConnectionId, ConnectionLimit, DescriptorOwner,
    Event, FullPolicy, Limiter, NetworkLimits, RejectReason, Reservation,
};

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn v4(a: u8, b: u8, c: u8, d: u8) -> IpAddr {
    Ipv4Addr::new(a, b, c, d).into()
}

fn config() -> Config {
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
struct OpenConnection {
    open_requests: u32,
    is_close_requested: bool,
    is_closing: bool,
}

/// A server that keeps a model of its connections.
struct Server {
    limiter: Limiter,
    now: Duration,
    open: BTreeMap<ConnectionId, OpenConnection>,
    free: BTreeSet<ConnectionId>,
    rejected: Vec<RejectReason>,
    closed: Vec<(ConnectionId, CloseReason)>,
    paused_until: Duration,
    max_descriptors: usize,
}

impl Server {
    fn new(config: Config) -> Self {
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

    fn handle(&mut self, event: Event) {
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
                Action::SetTimer { at } => assert!(at > self.now, "a timer is set ahead"),
            }
        }
        let is_accept = matches!(event, Event::Accepted { .. });
        assert_eq!(
            is_decided, is_accept,
            "each accepted connection is served or rejected"
        );
        let descriptors = self.limiter.descriptors();
        assert!(descriptors.total_in_use() <= self.max_descriptors);
        // New clients take nothing that is reserved for known clients or others.
        let reserved = 6 + 4 + 10;
        assert!(descriptors.in_use(DescriptorOwner::NewClients) <= self.max_descriptors - reserved);
        assert_eq!(self.limiter.open_connections(), self.open.len());
    }

    /// Accepts a connection. Returns it where it is served.
    fn accept(&mut self, address: IpAddr) -> Option<ConnectionId> {
        let connection = self.free.pop_first().expect("indices are enough");
        self.handle(Event::Accepted {
            connection,
            address,
        });
        self.open.contains_key(&connection).then_some(connection)
    }

    fn model(&mut self, connection: ConnectionId) -> &mut OpenConnection {
        self.open.get_mut(&connection).expect("it is open")
    }

    fn start_request(&mut self, connection: ConnectionId) {
        self.model(connection).open_requests += 1;
        self.handle(Event::RequestStarted { connection });
    }

    fn finish_request(&mut self, connection: ConnectionId, is_answered: bool) {
        self.model(connection).open_requests -= 1;
        self.handle(Event::RequestFinished {
            connection,
            is_answered,
        });
    }

    /// A request that is read and answered completely.
    fn serve(&mut self, connection: ConnectionId) {
        self.handle(Event::MessageCompleted { connection });
        self.start_request(connection);
        self.finish_request(connection, true);
    }

    fn close(&mut self, connection: ConnectionId) {
        self.open.remove(&connection);
        self.free.insert(connection);
        self.handle(Event::Closed { connection });
    }

    /// Lets time pass; a connection that is to be closed is closed at once.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + ms(10)).min(end);
            self.handle(Event::TimerExpired);
            self.finish_closing();
        }
    }

    fn finish_closing(&mut self) {
        let closing = self.open.iter().filter(|(_, model)| model.is_closing);
        let closing: Vec<ConnectionId> = closing.map(|(&connection, _)| connection).collect();
        closing
            .into_iter()
            .for_each(|connection| self.close(connection));
    }

    /// Makes the client of an address known.
    fn become_known(&mut self, address: IpAddr) -> ConnectionId {
        let connection = self.accept(address).unwrap();
        for _ in 0..8 {
            self.serve(connection);
            self.advance(ms(400));
        }
        connection
    }
}

#[test]
fn address_at_its_connection_limit_is_rejected_and_others_are_served() {
    let mut server = Server::new(config());
    let flooding = v4(127, 9, 9, 9);
    let served = (0..5000)
        .filter(|_| server.accept(flooding).is_some())
        .count();
    assert_eq!(served, 8);
    assert_eq!(server.rejected.len(), 4992);
    assert!(
        server
            .rejected
            .iter()
            .all(|&reason| reason == RejectReason::AddressConnections)
    );
    assert!((1..20).all(|host| server.accept(v4(127, host, 1, 1)).is_some()));
}

#[test]
fn connections_beyond_the_rate_are_rejected_until_the_window_has_passed() {
    let mut server = Server::new(config());
    let flooding = v4(127, 9, 9, 9);
    let mut served = 0;
    for _ in 0..200 {
        if let Some(connection) = server.accept(flooding) {
            served += 1;
            server.close(connection);
        }
    }
    assert_eq!(served, 30, "three seconds' worth");
    assert!(
        server
            .rejected
            .iter()
            .all(|&reason| reason == RejectReason::AddressRate)
    );
    server.advance(ms(5000));
    assert!(
        server.accept(flooding).is_some(),
        "rejected attempts do not count"
    );
}

#[test]
fn networks_have_connection_limits_of_their_own() {
    let mut server = Server::new(config());
    let served = (0..200)
        .filter(|&host| server.accept(v4(127, 1, 1, host)).is_some())
        .count();
    assert_eq!(served, 24);
    assert!(
        server
            .rejected
            .iter()
            .all(|&reason| reason == RejectReason::NetworkConnections),
        "{:?}",
        server.rejected
    );
    // The owner of a /64 has all of its addresses, so it counts as one network.
    let mut server = Server::new(config());
    let v6 = |last: u16| Ipv6Addr::new(0x2001, 0xdb8, 1, 1, 0, 0, 0, last).into();
    assert_eq!(
        (0..200)
            .filter(|&last| server.accept(v6(last)).is_some())
            .count(),
        24
    );
}

#[test]
fn known_clients_are_served_while_new_ones_fill_the_shared_capacity() {
    let mut server = Server::new(config());
    let client = v4(127, 1, 1, 1);
    let connection = server.become_known(client);
    server.close(connection);
    // New clients of many networks, all of them silent.
    for host in 0..200u8 {
        server.accept(v4(127, 100 + host % 100, host, 1));
    }
    assert!(server.rejected.contains(&RejectReason::Full));
    for _ in 0..8 {
        assert!(
            server.accept(client).is_some(),
            "{:?}",
            server.rejected.last()
        );
    }
}

#[test]
fn reputation_takes_seconds_to_earn_and_decays() {
    let mut server = Server::new(config());
    let quick = v4(127, 1, 1, 1);
    let connection = server.accept(quick).unwrap();
    (0..100).for_each(|_| server.serve(connection));
    server.close(connection);
    let old = v4(127, 2, 2, 2);
    let connection = server.become_known(old);
    server.close(connection);
    let fill = |server: &mut Server| {
        for host in 0..200u8 {
            server.accept(v4(127, 100 + host % 100, host, 1));
        }
    };
    fill(&mut server);
    assert!(
        server.accept(quick).is_none(),
        "a burst of one moment earns nothing"
    );
    assert!(server.accept(old).is_some());
    server.advance(Duration::from_secs(300));
    fill(&mut server);
    assert!(server.accept(old).is_none(), "reputation decays");
}

#[test]
fn protocol_violation_loses_the_reputation() {
    let mut server = Server::new(config());
    let client = v4(127, 1, 1, 1);
    let connection = server.become_known(client);
    server.handle(Event::ProtocolViolation { connection });
    server.close(connection);
    for host in 0..200u8 {
        server.accept(v4(127, 100 + host % 100, host, 1));
    }
    assert!(server.accept(client).is_none());
}

#[test]
fn trusted_networks_are_known_from_the_start() {
    let mut server = Server::new(Config {
        trusted_networks: vec!["127.7.0.0/16".parse().unwrap()],
        ..config()
    });
    for host in 0..200u8 {
        server.accept(v4(127, 100 + host % 100, host, 1));
    }
    assert!(server.accept(v4(127, 7, 3, 9)).is_some() && server.accept(v4(127, 8, 3, 9)).is_none());
}

#[test]
fn connections_are_evicted_in_the_order_of_their_classes() {
    // Without limits by network and with long timeouts, so that only the descriptors count.
    let minute = Duration::from_secs(60);
    let mut server = Server::new(Config {
        network_limits: None,
        message_timeout: minute,
        idle_timeout: minute,
        ..config()
    });
    let client = server.become_known(v4(127, 1, 1, 1));
    server.close(client);
    let known = server.accept(v4(127, 1, 1, 1)).unwrap();
    server.serve(known);
    let busy = server.accept(v4(127, 2, 1, 1)).unwrap();
    server.handle(Event::MessageCompleted { connection: busy });
    server.start_request(busy);
    let idle = server.accept(v4(127, 3, 1, 1)).unwrap();
    server.serve(idle);
    let partial = server.accept(v4(127, 4, 1, 1)).unwrap();
    server.serve(partial);
    server.handle(Event::MessageStarted {
        connection: partial,
    });
    let silent = server.accept(v4(127, 5, 1, 1)).unwrap();
    server.advance(ms(1200));
    let mut order = Vec::new();
    for host in 0..250u8 {
        let Some(connection) = server.accept(v4(126, host, host, 1)) else {
            server.advance(ms(70));
            order.extend(server.closed.drain(..).map(|(connection, _)| connection));
            continue;
        };
        // These have an open request from the start, so that none of them is evicted.
        server.start_request(connection);
        server.advance(ms(70));
        order.extend(server.closed.drain(..).map(|(connection, _)| connection));
    }
    assert_eq!(
        order,
        [silent, partial, idle],
        "neither the busy one nor, for new clients, that of a known one"
    );
    assert!(server.open.contains_key(&busy) && server.open.contains_key(&known));
}

#[test]
fn two_active_clients_do_not_evict_each_other() {
    let mut server = Server::new(Config {
        network_limits: None,
        ..config()
    });
    // All connections but a few have an open request; two clients use theirs every 100 ms.
    for host in 0..38u8 {
        let connection = server.accept(v4(126, host, 1, 1)).unwrap();
        server.start_request(connection);
    }
    let pair: Vec<ConnectionId> = (1..=2)
        .map(|host| server.accept(v4(127, host, 1, 1)).unwrap())
        .collect();
    for turn in 0..50u8 {
        pair.iter().for_each(|&connection| server.serve(connection));
        if let Some(connection) = server.accept(v4(125, turn, 1, 1)) {
            server.serve(connection);
        }
        server.advance(ms(100));
    }
    assert!(
        pair.iter()
            .all(|connection| server.open.contains_key(connection)
                && !server.open[connection].is_close_requested),
        "{:?}",
        server.closed
    );
}

#[test]
fn connection_with_an_overdue_message_is_closed_after_its_open_request_is_answered() {
    let mut server = Server::new(config());
    let connection = server.accept(v4(127, 1, 1, 1)).unwrap();
    server.handle(Event::MessageCompleted { connection });
    server.start_request(connection);
    server.handle(Event::MessageStarted { connection });
    server.advance(ms(3000));
    assert!(server.closed.is_empty());
    server.finish_request(connection, true);
    assert_eq!(server.closed, [(connection, CloseReason::MessageTimeout)]);
    // A connection that never sends a message.
    let silent = server.accept(v4(127, 2, 1, 1)).unwrap();
    server.advance(ms(1990));
    assert!(server.open.contains_key(&silent));
    server.advance(ms(30));
    assert!(!server.open.contains_key(&silent));
}

#[test]
fn idle_connection_is_asked_to_close_and_then_closed_and_a_shorter_timeout_holds_at_once() {
    let mut server = Server::new(config());
    let connection = server.accept(v4(127, 1, 1, 1)).unwrap();
    server.serve(connection);
    server.advance(ms(4900));
    assert!(!server.open[&connection].is_close_requested);
    server.advance(ms(200));
    assert!(server.open[&connection].is_close_requested && server.closed.is_empty());
    server.advance(ms(2100));
    assert_eq!(server.closed, [(connection, CloseReason::CloseTimeout)]);
    let other = server.accept(v4(127, 2, 1, 1)).unwrap();
    server.serve(other);
    server.advance(ms(1000));
    server.handle(Event::SetIdleTimeout { timeout: ms(500) });
    assert!(server.open[&other].is_close_requested);
}

#[test]
fn accepting_pauses_and_a_connection_is_evicted_when_descriptors_run_out() {
    let mut server = Server::new(config());
    let connection = server.accept(v4(127, 1, 1, 1)).unwrap();
    server.handle(Event::AcceptFailed {
        error: AcceptError::ProcessDescriptorLimit,
    });
    assert_eq!(server.paused_until, ms(20));
    assert_eq!(server.closed, [(connection, CloseReason::Evicted)]);
    server.handle(Event::AcceptFailed {
        error: AcceptError::ConnectionAborted,
    });
    assert_eq!(
        server.paused_until,
        ms(20),
        "an aborted connection does not pause accepting"
    );
}

#[test]
fn cold_server_serves_a_fraction_of_its_capacity_in_fair_shares() {
    let mut server = Server::new(Config {
        network_limits: None,
        cold_start_fraction: 0.25,
        warm_up: Duration::from_secs(10),
        ..config()
    });
    let single = v4(127, 1, 1, 1);
    let herd = (0..100).filter(|_| server.accept(single).is_some()).count();
    assert!((5..=13).contains(&herd), "{herd}");
    assert!(
        server
            .rejected
            .iter()
            .all(|&reason| reason == RejectReason::WarmingUp)
    );
    for connection in server.open.keys().copied().collect::<Vec<_>>() {
        server.serve(connection);
    }
    server.advance(ms(9000));
    // Nearly warm: most of the capacity is there for others.
    let others = (0..30u8)
        .filter(|&host| server.accept(v4(127, 2, host, 1)).is_some())
        .count();
    assert!(others >= 20, "{others}");
    // Many addresses together get no more than that fraction, either.
    let mut server = Server::new(Config {
        network_limits: None,
        cold_start_fraction: 0.25,
        warm_up: Duration::from_secs(10),
        ..config()
    });
    let herd = (0..100u8)
        .filter(|&host| server.accept(v4(127, 3, host, 1)).is_some())
        .count();
    assert!((10..=13).contains(&herd), "{herd}");
}

#[test]
fn drain_asks_all_clients_to_close_and_closes_what_stays() {
    let mut server = Server::new(config());
    let connection = server.accept(v4(127, 1, 1, 1)).unwrap();
    server.serve(connection);
    server.handle(Event::Drain);
    assert!(server.open[&connection].is_close_requested);
    let late = server.accept(v4(127, 2, 1, 1)).unwrap();
    assert!(
        server.open[&late].is_close_requested,
        "the client of a later connection is asked at once"
    );
    server.advance(ms(100));
    assert!(!server.open.contains_key(&connection));
}

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
            let any = server.open.keys().nth(usize::from(selector) % server.open.len().max(1)).copied();
            match (action % 12, any) {
                (0..=3, _) => {
                    let mut actions = Vec::new();
                    let may = server.limiter.may_accept(server.now, &mut actions);
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
                // No request starts on a connection that is closing.
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
        // Every connection ends once its requests have finished and time passes.
        for connection in server.open.keys().copied().collect::<Vec<_>>() {
            while server.open[&connection].open_requests > 0 {
                server.finish_request(connection, true);
            }
        }
        server.advance(ms(12_000));
        server.open.is_empty()
    }
}

#[test]
fn a_million_addresses_leave_no_open_connection() {
    let mut server = Server::new(config());
    for number in 0..1_000_000u32 {
        let [_, b, c, d] = number.to_be_bytes();
        if let Some(connection) = server.accept(v4(10 + (number >> 24) as u8, b, c, d)) {
            server.close(connection);
        }
        if number % 1000 == 0 {
            server.advance(ms(10));
        }
    }
    // The sketch has one size, counts are of open connections, and no client has a reputation.
    assert_eq!(server.limiter.open_connections(), 0);
}

/// Where new connections wait in the backlog, the one that filled the capacity was closed at once,
/// as the only silent one: its first message was in transit, and its client saw the connection
/// close.
#[test]
fn new_connection_that_fills_the_capacity_is_spared_while_its_first_message_is_in_transit() {
    let mut config = config();
    (config.full_policy, config.network_limits) = (FullPolicy::Wait, None);
    let mut server = Server::new(config);
    let evicted = |server: &mut Server| {
        let mut actions = Vec::new();
        let may = server.limiter.may_accept(server.now, &mut actions);
        let closed = |action: &Action| {
            if let Action::Close { connection, .. } = action {
                Some(*connection)
            } else {
                None
            }
        };
        (may, actions.iter().find_map(closed))
    };
    let mut last = None;
    while server
        .limiter
        .descriptors()
        .available(DescriptorOwner::NewClients)
        > 0
    {
        last = server.accept(v4(10, 0, 0, 1));
        assert!(last.is_some(), "a descriptor is available");
        if server
            .limiter
            .descriptors()
            .available(DescriptorOwner::NewClients)
            > 0
        {
            server.serve(last.unwrap());
        }
    }
    let (may, first) = evicted(&mut server);
    assert!(
        !may && first.is_some() && first != last,
        "{first:?} of {last:?}"
    );
    // Of several silent connections the oldest is evicted at once.
    let mut server = Server::new(Config {
        full_policy: FullPolicy::Wait,
        network_limits: None,
        ..self::config()
    });
    let mut silent = Vec::new();
    while server
        .limiter
        .descriptors()
        .available(DescriptorOwner::NewClients)
        > 0
    {
        silent.extend(server.accept(v4(10, 0, 0, 2)));
    }
    assert_eq!(evicted(&mut server), (false, silent.first().copied()));
}
