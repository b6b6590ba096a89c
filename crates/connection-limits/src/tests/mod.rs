//! Unit tests of each rule, at its thresholds. Guards against a decision that changes at another
//! time or count than documented.

mod accept_pause;
mod backlog_wait;
mod eviction;
mod network_limiter;
mod slow_start;
mod timeouts;

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use crate::connection::Connection;
use crate::descriptor_owner::DescriptorOwner;

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn address(host: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, host).into()
}

/// A connection of a new client that was accepted at time zero and has sent nothing.
fn silent_connection() -> Connection {
    Connection::new(address(1), DescriptorOwner::NewClients, Duration::ZERO)
}

/// An idle connection that was last used at time zero.
fn idle_connection(owner: DescriptorOwner) -> Connection {
    Connection {
        has_sent_message: true,
        message_awaited_since: None,
        ..Connection::new(address(1), owner, Duration::ZERO)
    }
}
