//! Registration with the service registry, from which edge nodes learn of this backend.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use may::net::UdpSocket;

use crate::clock;
use crate::config::CurrentAddress;
use crate::log::LogLimit;

/// The interval of heartbeats. A backend is taken off the list 3 s after its last one. Where a
/// quarter of the datagrams are lost, all of the 19 in such a span are with a probability of one in
/// 10^11; at an interval of 700 ms it would be one in 256.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// How often the deregistration is sent, because nothing is sent again afterwards.
const DEREGISTRATION_ATTEMPTS: usize = 3;

static SEND_FAILURES: LogLimit = LogLimit::new();

/// What the service registry is to learn.
pub(crate) enum Registration {
    /// Nothing yet.
    NotYet,
    /// This backend serves.
    Serving,
    /// This backend leaves.
    Deregister,
}

/// Sends heartbeats while `registration` yields that this backend serves; deregisters once it
/// leaves, and returns.
pub(crate) fn run(
    address: &CurrentAddress<Option<SocketAddr>>,
    name: &str,
    registration: impl Fn() -> Registration,
) {
    let mut socket = None;
    loop {
        match (address.get(), registration()) {
            (Some(address), Registration::Serving) => {
                send(&mut socket, address, &format!("announce {name} true"));
            }
            (Some(address), Registration::Deregister) => {
                for _ in 0..DEREGISTRATION_ATTEMPTS {
                    send(&mut socket, address, &format!("announce {name} false"));
                }
                return;
            }
            (None, _) | (_, Registration::NotYet) => {}
        }
        clock::sleep(HEARTBEAT_INTERVAL);
    }
}

/// Sends one datagram. A lost one is made good by the next; a socket that fails is replaced.
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
    // Refused: nobody listened to the datagram before.
    if let Err(error) = sent
        && error.kind() != io::ErrorKind::ConnectionRefused
    {
        *socket = None;
        if let Some(count) = SEND_FAILURES.pass() {
            log::warn!("registration send failed error=\"{error}\" count={count}");
        }
    }
}
