//! Registration with the service registry, from which edge nodes learn of this backend.
//!
//! A datagram may be lost, and is not repeated by itself. A heartbeat that is lost is made good by
//! the next one, sent every `HEARTBEAT_INTERVAL`; a deregistration has none that follows it, so it
//! is sent `DEREGISTRATION_ATTEMPTS` times. Without either, edge nodes would not send to a backend
//! that serves, or go on sending to one that has left.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use may::net::UdpSocket;

use crate::clock;
use crate::config::CurrentAddress;
use crate::log::LogLimit;

/// The interval of heartbeats. The service registry removes a backend 3 s after its last heartbeat.
/// With a quarter of the datagrams lost, all 19 within 3 s are lost with a probability of 10^-11;
/// at an interval of 700 ms it would be one in 256.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// How many times the deregistration is sent.
const DEREGISTRATION_ATTEMPTS: usize = 3;

static SEND_FAILURES: LogLimit = LogLimit::new();

/// What the service registry is to be notified of.
pub(crate) enum Registration {
    /// The executor has not started: nothing is sent.
    NotYet,
    /// This backend serves: heartbeats are sent.
    Serving,
    /// This backend drains: the deregistration is sent.
    Deregister,
}

/// Sends heartbeats while `registration` returns [`Registration::Serving`]; deregisters once this
/// backend drains, and returns.
pub(crate) fn run(
    address: &CurrentAddress<Option<SocketAddr>>,
    name: &str,
    registration: impl Fn() -> Registration,
) {
    let mut socket = None;
    loop {
        match (address.get(), registration()) {
            (Some(address), Registration::Serving) => {
                send(&mut socket, address, &heartbeat(name));
            }
            (Some(address), Registration::Deregister) => {
                for _ in 0..DEREGISTRATION_ATTEMPTS {
                    send(&mut socket, address, &deregistration(name));
                }
                return;
            }
            (None, _) | (_, Registration::NotYet) => {}
        }
        clock::sleep(HEARTBEAT_INTERVAL);
    }
}

fn heartbeat(name: &str) -> String {
    format!("announce {name} true")
}

fn deregistration(name: &str) -> String {
    format!("announce {name} false")
}

/// Sends one datagram. A socket that fails is replaced with the next one.
fn send(socket: &mut Option<UdpSocket>, address: SocketAddr, text: &str) {
    let any: SocketAddr = if address.is_ipv4() {
        ([0, 0, 0, 0], 0).into()
    } else {
        ([0u16; 8], 0).into()
    };
    let sent = match socket {
        Some(socket) => socket.send_to(text.as_bytes(), address),
        None => UdpSocket::bind(any)
            .and_then(|new| socket.insert(new).send_to(text.as_bytes(), address)),
    };
    // `ConnectionRefused` says that the datagram before found no listener.
    if let Err(error) = sent
        && error.kind() != io::ErrorKind::ConnectionRefused
    {
        *socket = None;
        if let Some(count) = SEND_FAILURES.pass() {
            log::warn!("registration send failed error=\"{error}\" count={count}");
        }
    }
}
