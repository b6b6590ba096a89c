//! Connection floods of the soak: hundreds of connections, usually more than the program may have
//! descriptors. Every other connection acts as the kind of the flood says, and the rest are silent.
//! The clients connect after the flood, so their connections wait in the backlog of a full server.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::clients::{Answer, SentRequest};
use crate::harness::EDGE_PORT;
use crate::harness::edge_node::{EdgeConnection, request_fields, reset_connection};

/// Interval between two bytes of a connection that writes one byte at a time.
const BYTE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between the resets of two connections of a [`FloodKind::Reset`].
const RESET_INTERVAL: Duration = Duration::from_millis(2);
/// Number of requests on a connection that does not read its replies.
const UNREAD_REPLY_REQUESTS: u32 = 24;
/// Lower bits of the id of a flood's first request; the upper bits are the prefix of the run.
const FIRST_REQUEST_NUMBER: u64 = 0xff << 24;
/// Time limit of a read once the process has ended.
const LAST_READ_TIMEOUT: Duration = Duration::from_millis(200);

/// The action of every other connection of a flood. `SOAK_CROWD` selects a kind by its name here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FloodKind {
    Silent,
    HalfMessage,
    RequestThenHalf,
    RequestThenSilence,
    RepliesNeverRead,
    OneByteATick,
    Reset,
}

impl FloodKind {
    pub(super) const ALL: [FloodKind; 7] = [
        FloodKind::Silent,
        FloodKind::HalfMessage,
        FloodKind::RequestThenHalf,
        FloodKind::RequestThenSilence,
        FloodKind::RepliesNeverRead,
        FloodKind::OneByteATick,
        FloodKind::Reset,
    ];

    /// The number of complete requests that a connection of this kind sends.
    fn requests(self) -> u32 {
        match self {
            FloodKind::Silent | FloodKind::HalfMessage | FloodKind::OneByteATick => 0,
            FloodKind::RequestThenHalf | FloodKind::RequestThenSilence | FloodKind::Reset => 1,
            FloodKind::RepliesNeverRead => UNREAD_REPLY_REQUESTS,
        }
    }

    fn sends_half_message(self) -> bool {
        matches!(self, FloodKind::HalfMessage | FloodKind::RequestThenHalf)
    }
}

/// A connection of a flood, and its complete requests in the order of their sequences from 1 on.
struct FloodConnection {
    edge: EdgeConnection,
    /// Whether it acts as the kind of the flood says; otherwise it is silent.
    is_of_kind: bool,
    requests: Vec<SentRequest>,
}

/// The connections of a flood.
pub(crate) struct ConnectionFlood {
    kind: FloodKind,
    connections: Vec<FloodConnection>,
}

impl ConnectionFlood {
    /// Opens this number of connections and sends their requests, whose ids begin with `prefix`.
    pub(crate) fn connect(host: &str, kind: FloodKind, connections: usize, prefix: u64) -> Self {
        let mut number = prefix | FIRST_REQUEST_NUMBER;
        let connect = |at: usize| {
            let stream = TcpStream::connect((host, EDGE_PORT)).ok()?;
            let mut connection = FloodConnection {
                edge: EdgeConnection { stream },
                is_of_kind: at.is_multiple_of(2),
                requests: Vec::new(),
            };
            if connection.is_of_kind {
                connection.send(kind, &mut number);
            }
            Some(connection)
        };
        let connections = (0..connections).filter_map(connect).collect();
        ConnectionFlood { kind, connections }
    }

    /// Writes to the connections one byte at a time, or resets them, as the kind of the flood says.
    /// Other kinds do nothing after they have connected.
    pub(super) fn drive_connections(&self, is_over: &AtomicBool) {
        match self.kind {
            FloodKind::OneByteATick => self.write_bytes(is_over),
            FloodKind::Reset => self.reset_connections(is_over),
            _ => {}
        }
    }

    fn connections_of_kind(&self) -> impl Iterator<Item = &FloodConnection> {
        let connections = self.connections.iter();
        connections.filter(|connection| connection.is_of_kind)
    }

    fn write_bytes(&self, is_over: &AtomicBool) {
        let message = self.connections.first().map(|connection| {
            let fields = request_fields("0000000000000000", "20.0");
            connection.edge.encode_request(1, &fields, b"run")
        });
        // The last byte is left out, so that no request is complete.
        for byte in message.iter().flat_map(|bytes| &bytes[..bytes.len() - 1]) {
            if is_over.load(Ordering::Acquire) {
                return;
            }
            for connection in self.connections_of_kind() {
                let _ = (&connection.edge.stream).write_all(&[*byte]);
            }
            std::thread::sleep(BYTE_INTERVAL);
        }
    }

    fn reset_connections(&self, is_over: &AtomicBool) {
        for connection in self.connections_of_kind() {
            if is_over.load(Ordering::Acquire) {
                return;
            }
            reset_connection(&connection.edge.stream);
            std::thread::sleep(RESET_INTERVAL);
        }
    }

    /// Reads the remaining answers after the end of the process, and returns the requests of the
    /// flood. For a [`FloodKind::Reset`] it returns none, because those callers are gone.
    pub(super) fn into_requests(self) -> Vec<SentRequest> {
        if self.kind == FloodKind::Reset {
            return Vec::new();
        }
        let connections = self.connections.into_iter();
        connections
            .flat_map(FloodConnection::into_requests)
            .collect()
    }
}

impl FloodConnection {
    fn send(&mut self, kind: FloodKind, number: &mut u64) {
        for sequence in 1..=kind.requests() {
            let id = format!("{number:016x}");
            *number += 1;
            let fields = request_fields(&id, "20.0");
            let message = self.edge.encode_request(sequence, &fields, b"run");
            let begun_at = Instant::now();
            if self.edge.stream.write_all(&message).is_err() {
                return;
            }
            self.requests.push(SentRequest {
                id,
                begun_at,
                sent_at: Instant::now(),
                answers: Vec::new(),
                connection_ended_at: None,
                reading_delay: Duration::ZERO,
                is_caller_gone: false,
            });
        }
        if kind.sends_half_message() {
            let _ = self.edge.stream.write_all(b"\0\0\0\x30\x80\x01");
        }
    }

    fn into_requests(mut self) -> Vec<SentRequest> {
        let ended_at = Instant::now();
        let timeout = Some(LAST_READ_TIMEOUT);
        self.edge.stream.set_read_timeout(timeout).unwrap();
        while let Some(answer) = self.edge.read_answer() {
            let request = self
                .requests
                .get_mut((answer.sequence as usize).wrapping_sub(1));
            if let (Some(request), Some(answer)) = (request, Answer::of(&answer.kind)) {
                request.answers.push(answer);
            }
        }
        for request in &mut self.requests {
            request.connection_ended_at = Some(ended_at);
        }
        self.requests
    }
}
