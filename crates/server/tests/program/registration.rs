//! Registration with the service registry.

use crate::harness::backend::start_backend;
use crate::harness::{LONG_TIMEOUT, REGISTRY_PORT};

/// Guards against a backend that stays unregistered because the service registry is down when the
/// backend starts, and again for a while later. The backend repeats its report, so it is registered
/// as soon as the registry listens. Guards also against a backend that stays registered after its
/// shutdown: it sends the deregistration several times, because each datagram may be lost, and no
/// report after it.
#[test]
fn a_backend_is_registered_whenever_the_service_registry_listens() {
    let mut backend = start_backend();
    let receives = |socket: &std::net::UdpSocket, expected: &[u8]| {
        let mut report = [0; 64];
        let length = socket.recv(&mut report).unwrap();
        &report[..length] == expected
    };
    let listen = |host: &str| {
        let socket = std::net::UdpSocket::bind((host, REGISTRY_PORT)).unwrap();
        socket.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
        socket
    };
    // No socket has received reports so far; the registry then listens, closes and listens again.
    for _ in 0..2 {
        assert!(receives(&listen(&backend.host), b"announce n3 true"));
        std::thread::sleep(std::time::Duration::from_millis(200));
    }
    let registry = listen(&backend.host);
    backend.signal("TERM");
    while !receives(&registry, b"announce n3 false") {}
    // The backend repeats the deregistration and sends no report after it.
    for _ in 0..2 {
        assert!(receives(&registry, b"announce n3 false"));
    }
    assert_eq!(backend.wait_for_exit().code(), Some(0));
    registry.set_nonblocking(true).unwrap();
    assert!(
        registry.recv(&mut [0; 64]).is_err(),
        "a report after the deregistration"
    );
}
