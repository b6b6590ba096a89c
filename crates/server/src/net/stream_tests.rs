//! How far the output of a connection gets before its socket is closed.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::{BufferedStream, DrainTarget};

/// More than the buffers of both systems take.
const LARGE_BYTES: usize = 16 * 1024 * 1024;
/// Far longer than a drain takes that waits for nothing.
const LONG_PAUSE: Duration = Duration::from_millis(300);

/// A stream with a buffer of so many bytes, and its peer.
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

/// Where nothing is lost on the way, what is sent arrives, although its socket is closed before the
/// peer's system has acknowledged it.
#[test]
fn output_that_is_sent_survives_the_close() {
    let (mut stream, mut peer) = connected(4096);
    stream.output.try_send(&[&[7; 1000]]);
    stream.flush().unwrap();
    stream.drain_before_close(|| DrainTarget::Sent);
    drop(stream);
    assert_eq!(read_all(&mut peer), 1000);
}

/// A stream whose peer has no room for all that was written, the peer, and what was written.
fn connected_without_room() -> (BufferedStream, TcpStream, usize) {
    let (mut stream, peer) = connected(LARGE_BYTES);
    stream.output.try_send(&[&vec![7; LARGE_BYTES]]);
    stream.flush().unwrap();
    let waiting = stream.output.buffered_bytes();
    assert!(waiting > 0, "the systems take all at once");
    (stream, peer, LARGE_BYTES - waiting)
}

/// Guards against a close before output that waits for room at a peer which does not read: a reset
/// would drop it.
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
        assert!(!is_drained.load(Ordering::Acquire), "closed unread");
        assert_eq!(read_all(&mut peer), written);
    });
}

/// Guards against a peer that does not read and holds its place where time is short: the system
/// goes on with what was written behind the close.
#[test]
fn output_that_waits_for_room_is_delivered_behind_the_close() {
    let (mut stream, mut peer, written) = connected_without_room();
    stream.drain_before_close(|| DrainTarget::Sent);
    drop(stream);
    assert_eq!(read_all(&mut peer), written);
}
