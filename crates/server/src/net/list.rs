//! The announce service, from which edge nodes learn of this backend.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use may::net::UdpSocket;

use crate::clock;
use crate::config::Where;
use crate::log::Bound;

/// A backend is taken off the list 3 s after its last report. Where a quarter of the reports are lost, all of
/// the 19 in such a span are with a chance of one in 10^11; at one in 700 ms it would be one in 256.
const PERIOD: Duration = Duration::from_millis(150);
/// How often its leaving is told, as nothing is told again afterwards.
const FAREWELLS: usize = 3;

static ENDS: Bound = Bound::new();

/// Reports while `state` tells that this serves; says that it does not once it leaves, and then falls silent.
pub fn run(address: &Where<Option<SocketAddr>>, name: &str, state: impl Fn() -> State) {
    let mut socket = None;
    loop {
        if let (Some(address), now @ (State::Serving | State::Leaving)) = (address.now(), state()) {
            let (serving, times) = if now == State::Serving { (true, 1) } else { (false, FAREWELLS) };
            for _ in 0..times {
                report(&mut socket, address, &format!("announce {name} {serving}"));
            }
            if !serving {
                return;
            }
        }
        clock::sleep(PERIOD);
    }
}

/// Sends one report. One that is lost is made good by the next; a socket that fails, by another one.
fn report(socket: &mut Option<UdpSocket>, address: SocketAddr, words: &str) {
    let here: SocketAddr = if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let sent = match socket {
        Some(socket) => socket.send_to(words.as_bytes(), address),
        None => {
            UdpSocket::bind(here).and_then(|fresh| socket.insert(fresh).send_to(words.as_bytes(), address))
        }
    };
    // Refused: nobody listened there to the report before.
    if let Err(error) = sent
        && error.kind() != io::ErrorKind::ConnectionRefused
    {
        *socket = None;
        if let Some(count) = ENDS.pass() {
            log::warn!("announce: {error} ({count} so far)");
        }
    }
}

#[derive(PartialEq)]
pub enum State {
    Coming,
    Serving,
    Leaving,
}
