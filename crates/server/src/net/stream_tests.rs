//! Draining: how far the output of a connection gets before its socket is closed.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::{BufferedStream, DrainTarget};

/// More bytes than the socket buffers of both sides hold.
const LARGE_BYTES: usize = 16 * 1024 * 1024;
/// Far longer than a drain that does not have to wait.
const LONG_PAUSE: Duration = Duration::from_millis(300);

/// A stream with an output buffer of `max_output_bytes`, and its peer.
fn connected(max_output_bytes: usize) -> (BufferedStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    let stream = crate::net::connect::adopt(stream).unwrap();
    (BufferedStream::new(stream, 4096, max_output_bytes), peer)
}

fn read_all(peer: &mut TcpStream) -> usize {
    let mut bytes = Vec::new();
    peer.read_to_end(&mut bytes).unwrap();
    bytes.len()
}

/// Without packet loss, sent output arrives although the socket is closed before the peer's system
/// has acknowledged it.
#[test]
fn sent_output_arrives_after_the_close() {
    let (mut stream, mut peer) = connected(4096);
    stream.output.try_send(&[&[7; 1000]]);
    stream.flush().unwrap();
    stream.drain_before_close(|| DrainTarget::Sent);
    drop(stream);
    assert_eq!(read_all(&mut peer), 1000);
}

/// A stream whose peer has no room for all output, the peer, and the number of written bytes.
fn connected_without_room() -> (BufferedStream, TcpStream, usize) {
    let (mut stream, peer) = connected(LARGE_BYTES);
    stream.output.try_send(&[&vec![7; LARGE_BYTES]]);
    stream.flush().unwrap();
    let waiting = stream.output.buffered_bytes();
    assert!(waiting > 0, "the socket buffers hold all bytes");
    (stream, peer, LARGE_BYTES - waiting)
}

/// Guards against a close while output waits for room at a peer that does not read: a reset would
/// drop the output.
#[test]
fn output_that_waits_for_room_is_not_acknowledged() {
    let (mut stream, mut peer, written) = connected_without_room();
    let is_drained = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            stream.drain_before_close(|| DrainTarget::Acknowledged);
            is_drained.store(true, Ordering::Release);
            drop(stream);
        });
        std::thread::sleep(LONG_PAUSE);
        assert!(
            !is_drained.load(Ordering::Acquire),
            "drained before the peer has read"
        );
        assert_eq!(read_all(&mut peer), written);
    });
}

/// Guards against a peer that does not read and so keeps its slot when time is short: the system
/// delivers the written bytes after the close.
#[test]
fn output_that_waits_for_room_is_delivered_after_the_close() {
    let (mut stream, mut peer, written) = connected_without_room();
    stream.drain_before_close(|| DrainTarget::Sent);
    drop(stream);
    assert_eq!(read_all(&mut peer), written);
}
