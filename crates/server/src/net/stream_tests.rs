//! Draining: how far the output of a connection gets before its socket is closed. Skipping of
//! remarks that are too long.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::{BufferedStream, DrainTarget};
use crate::net::lines::{LineFormat, MAX_SKIPPED_BYTES};

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

const FORMAT: LineFormat = LineFormat {
    has_body: |_| false,
    is_remark: |bytes| bytes.starts_with(b"DMESG "),
};

/// Sends bytes to a stream with an input buffer of 64 KB, and returns the first two words of the
/// lines that it reads, and the error with which it ends, if it does.
fn read_lines_of(bytes: Vec<u8>) -> (Vec<String>, Option<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    let stream = crate::net::connect::adopt(stream).unwrap();
    let mut stream = BufferedStream::new(stream, 64 * 1024, 4096);
    let writer = std::thread::spawn(move || peer.write_all(&bytes).is_ok());
    let mut lines = Vec::new();
    let error = loop {
        let end = stream.read_lines(FORMAT, |line| {
            lines.push(line.words[..line.words.len().min(2)].join(" "));
            Ok(())
        });
        assert!(stream.input.len() <= 64 * 1024);
        match end {
            Ok(()) => std::thread::sleep(Duration::from_millis(1)),
            Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => break None,
            Err(error) => break Some(error.to_string()),
        }
    };
    drop(stream);
    let _ = writer.join();
    (lines, error)
}

/// The rest of a long remark is skipped in an input buffer that is far smaller, and the next line
/// is read.
#[test]
fn a_remark_of_a_megabyte_is_skipped() {
    let remark = [&b"DMESG 7 "[..], &vec![b'\r'; 1 << 20], b"\nINFO 8\r\n"].concat();
    let (lines, error) = read_lines_of(remark);
    assert_eq!(lines, ["DMESG 7", "INFO 8"]);
    assert_eq!(error, None);
}

#[test]
fn a_remark_without_end_ends_the_connection() {
    let remark = [&b"DMESG 7 "[..], &vec![b'x'; 2 * MAX_SKIPPED_BYTES]].concat();
    let (lines, error) = read_lines_of(remark);
    assert_eq!(lines, ["DMESG 7"]);
    assert_eq!(
        error.as_deref(),
        Some("a remark is longer than 4194304 bytes")
    );
}
