//! Options of the program's sockets.

use std::os::fd::{AsRawFd, FromRawFd, OwnedFd};

use socket2::{Socket, Type};

use crate::harness::backend::start_backend;
use crate::harness::edge_node::AnswerKind;
use crate::harness::{EDGE_PORT, EXECUTOR_PORT, STORE_PORT};

/// Guards against small messages that wait for the acknowledgement of the message before:
/// TCP_NODELAY must be set on each TCP connection to which the backend writes, to callers, the
/// executor and the store.
#[test]
fn every_connection_has_tcp_nodelay() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.send_request(1, "000000000a0e0001", b"call");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"richer")
    );
    let mut ports = Vec::new();
    for socket in sockets_of(backend.child.id()) {
        let (Ok(local), Ok(peer)) = (socket.local_addr(), socket.peer_addr()) else {
            continue;
        };
        let (Some(local), Some(peer)) = (local.as_socket(), peer.as_socket()) else {
            continue;
        };
        if socket.r#type().unwrap() == Type::STREAM {
            let port = if local.port() == EDGE_PORT {
                EDGE_PORT
            } else {
                peer.port()
            };
            assert!(socket.tcp_nodelay().unwrap(), "{local} to {peer}");
            ports.push(port);
        }
    }
    for port in [EDGE_PORT, EXECUTOR_PORT, STORE_PORT] {
        assert!(
            ports.contains(&port),
            "no connection of port {port}: {ports:?}"
        );
    }
}

/// Duplicates the sockets of a child process into this process.
fn sockets_of(process: u32) -> Vec<Socket> {
    let process_fd = unsafe { libc::syscall(libc::SYS_pidfd_open, process, 0) };
    assert!(
        process_fd >= 0,
        "pidfd_open: {}",
        std::io::Error::last_os_error()
    );
    let process_fd = unsafe { OwnedFd::from_raw_fd(process_fd as i32) };
    let mut sockets = Vec::new();
    for entry in std::fs::read_dir(format!("/proc/{process}/fd"))
        .unwrap()
        .flatten()
    {
        let is_socket = std::fs::read_link(entry.path())
            .is_ok_and(|target| target.to_string_lossy().starts_with("socket:"));
        if !is_socket {
            continue;
        }
        let number: i32 = entry.file_name().to_str().unwrap().parse().unwrap();
        let copy =
            unsafe { libc::syscall(libc::SYS_pidfd_getfd, process_fd.as_raw_fd(), number, 0) };
        assert!(
            copy >= 0,
            "pidfd_getfd: {}",
            std::io::Error::last_os_error()
        );
        sockets.push(unsafe { Socket::from_raw_fd(copy as i32) });
    }
    sockets
}
