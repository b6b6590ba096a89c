//! Admission: which new connections are served, and for which reason the others are rejected.
//! Guards against one client or a few networks that take all descriptors, known clients that are
//! rejected during a connection flood, and a cold server that accepts more than its fraction.

use std::net::Ipv6Addr;
use std::time::Duration;

use tulipgap_connection_limits::{Config, Event, RejectReason};

use crate::harness::{Server, config, ms, v4};

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
fn networks_have_separate_connection_limits() {
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
    // A site controls all addresses of its /64, so the /64 counts as one network.
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
    // New clients from many networks, all of them silent.
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
        "a burst earns no reputation"
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
fn cold_server_serves_a_fraction_of_its_capacity_in_fair_shares() {
    let mut server = Server::new(Config {
        network_limits: None,
        cold_start_fraction: 0.25,
        warm_up: Duration::from_secs(10),
        ..config()
    });
    let single = v4(127, 1, 1, 1);
    let accepted = (0..100).filter(|_| server.accept(single).is_some()).count();
    assert!((5..=13).contains(&accepted), "{accepted}");
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
    // The server is nearly warm, so most of the capacity is available to other addresses.
    let others = (0..30u8)
        .filter(|&host| server.accept(v4(127, 2, host, 1)).is_some())
        .count();
    assert!(others >= 20, "{others}");
    // Many addresses together do not exceed that fraction either.
    let mut server = Server::new(Config {
        network_limits: None,
        cold_start_fraction: 0.25,
        warm_up: Duration::from_secs(10),
        ..config()
    });
    let accepted = (0..100u8)
        .filter(|&host| server.accept(v4(127, 3, host, 1)).is_some())
        .count();
    assert!((10..=13).contains(&accepted), "{accepted}");
}

#[test]
fn connections_of_a_million_addresses_are_all_released() {
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
    // The sketch has a constant size, the counts cover open connections only, and no client has a
    // reputation, so memory does not grow with the number of addresses.
    assert_eq!(server.limiter.open_connections(), 0);
}
