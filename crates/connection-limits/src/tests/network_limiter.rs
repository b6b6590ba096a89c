use super::{address, ms};
use crate::config::{ConnectionLimit, NetworkLimits};
use crate::event::RejectReason;
use crate::network_limiter::NetworkLimiter;

fn limit(max_connections: u32, max_rate: u32) -> ConnectionLimit {
    ConnectionLimit {
        max_connections,
        max_rate,
    }
}

fn limiter(address: ConnectionLimit) -> NetworkLimiter {
    let limits = NetworkLimits {
        address,
        network: limit(1000, 1000),
        wide_network: limit(1000, 1000),
    };
    NetworkLimiter::new(Some(limits), 1000, 7)
}

#[test]
fn known_clients_may_have_four_times_the_connections() {
    let mut limiter = limiter(limit(2, 1000));
    let client = address(1);
    for open in 0..8 {
        let admitted = limiter.admit(ms(0), client, false);
        assert_eq!(admitted.is_ok(), open < 2, "{open} open connections");
        assert_eq!(limiter.admit(ms(0), client, true), Ok(()));
        limiter.record_open(client);
    }
    let rejected = Err(RejectReason::AddressConnections);
    assert_eq!(limiter.admit(ms(0), client, true), rejected);
    limiter.record_close(client);
    assert_eq!(limiter.admit(ms(0), client, true), Ok(()));
}

#[test]
fn burst_of_three_seconds_is_admitted_and_rejected_connections_do_not_count() {
    let mut limiter = limiter(limit(1000, 1));
    let client = address(1);
    for _ in 0..3 {
        assert_eq!(limiter.admit(ms(0), client, false), Ok(()));
    }
    for at in [0, 500, 1000, 2000] {
        let rejected = Err(RejectReason::AddressRate);
        assert_eq!(limiter.admit(ms(at), client, false), rejected);
    }
    assert_eq!(limiter.admit(ms(2000), client, true), Ok(()), "known");
    assert_eq!(limiter.admit(ms(4000), client, false), Ok(()));
}
