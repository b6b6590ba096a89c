//! Registration with the service registry, which announces this backend to edge nodes.
//!
//! Datagrams may be lost, and no protocol layer repeats them. A lost heartbeat is compensated by
//! the next one, which follows after `HEARTBEAT_INTERVAL`. No datagram follows a deregistration, so
//! it is sent `DEREGISTRATION_ATTEMPTS` times. Without this redundancy, edge nodes would send no
//! requests to a backend that serves, or continue to send requests to one that has left.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use may::net::UdpSocket;

use crate::clock;
use crate::config::CurrentAddress;
use crate::log::LogLimit;

/// The interval of heartbeats. The service registry removes a backend 3 s after its last heartbeat.
/// If a quarter of the datagrams are lost, the probability that all 19 within 3 s are lost is about
/// 4 * 10^-12; at an interval of 700 ms it would be 1 in 256.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// How many times the deregistration is sent.
const DEREGISTRATION_ATTEMPTS: usize = 3;

static SEND_FAILURES: LogLimit = LogLimit::new();

/// The registration state that this backend announces.
pub(crate) enum Registration {
    /// The executor has not started: no datagram is sent.
    NotStarted,
    /// This backend serves: heartbeats are sent.
    Serving,
    /// This backend drains: the deregistration is sent.
    Deregister,
}

/// Sends heartbeats while `registration` returns [`Registration::Serving`]. Once `registration`
/// returns [`Registration::Deregister`], deregisters this backend and returns. Sends nothing while
/// `address` is `None`.
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
            (None, _) | (_, Registration::NotStarted) => {}
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

/// Sends one datagram. After a failure, the next call opens a new socket.
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
    // `ConnectionRefused` means that an earlier datagram found no listener.
    if let Err(error) = sent
        && error.kind() != io::ErrorKind::ConnectionRefused
    {
        *socket = None;
        if let Some(count) = SEND_FAILURES.count_event() {
            log::warn!("registration send failed error=\"{error}\" count={count}");
        }
    }
}
