//! The announce service, from which edge nodes learn of this backend.

use std::net::SocketAddr;
use std::time::Duration;

use may::coroutine;
use may::net::UdpSocket;

/// A backend is taken off the list 3 s after its last report: two lost datagrams in a row change nothing.
const PERIOD: Duration = Duration::from_millis(700);
/// How often its leaving is told, as nothing is told again afterwards.
const FAREWELLS: usize = 3;

/// Reports while `state` tells that this serves; says that it does not once it leaves, and then falls silent.
pub fn run(address: SocketAddr, name: &str, state: impl Fn() -> State) {
    let here: SocketAddr = if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = match UdpSocket::bind(here) {
        Ok(socket) => socket,
        Err(error) => return log::error!("announce: {error}"),
    };
    loop {
        match state() {
            State::Coming => {}
            // A report that is lost is made good by the next.
            State::Serving => drop(socket.send_to(format!("announce {name} true").as_bytes(), address)),
            State::Leaving => {
                for _ in 0..FAREWELLS {
                    drop(socket.send_to(format!("announce {name} false").as_bytes(), address));
                }
                return;
            }
        }
        coroutine::sleep(PERIOD);
    }
}

pub enum State {
    Coming,
    Serving,
    Leaving,
}
