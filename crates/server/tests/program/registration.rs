//! Registration with the service registry.

use crate::harness::LONG_TIMEOUT;
use crate::harness::backend::start_backend;

/// The announce service is down at the start, and heard of it once it listens; of its leaving too,
/// whether or not the executor is up by then.
#[test]
fn a_backend_is_registered_whenever_the_service_registry_listens() {
    let mut backend = start_backend();
    let hears = |socket: &std::net::UdpSocket, what: &[u8]| {
        let mut report = [0; 64];
        let length = socket.recv(&mut report).unwrap();
        &report[..length] == what
    };
    let listens = |host: &str| {
        let socket = std::net::UdpSocket::bind((host, 7946)).unwrap();
        socket.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
        socket
    };
    // Until now its reports were refused; silent again, and back.
    for _ in 0..2 {
        assert!(hears(&listens(&backend.host), b"announce n3 true"));
        std::thread::sleep(std::time::Duration::from_millis(200));
    }
    let list = listens(&backend.host);
    backend.signal("TERM");
    while !hears(&list, b"announce n3 false") {}
    // Said more than once, as each may be lost, and nothing else any more.
    for _ in 0..2 {
        assert!(hears(&list, b"announce n3 false"));
    }
    assert_eq!(backend.wait_for_exit().code(), Some(0));
    list.set_nonblocking(true).unwrap();
    assert!(
        list.recv(&mut [0; 64]).is_err(),
        "a report behind the farewell"
    );
}
