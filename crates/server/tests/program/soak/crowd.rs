//! Crowds of the soak: more connections than the program may have descriptors. Every other one is
//! of the crowd's kind, the others are silent; clients wait behind them in the backlog.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use super::clients::{Answer, SentRequest};
use crate::harness::EDGE_PORT;
use crate::harness::edge_node::{EdgeConnection, request_fields, reset_connection};

/// Between two bytes of a connection that writes one byte at a time.
const TICK: Duration = Duration::from_millis(20);
/// Between two resets of a crowd whose connections are reset.
const RESET_INTERVAL: Duration = Duration::from_millis(2);
/// Requests of a connection that never reads its replies.
const UNREAD_REQUESTS: u32 = 24;
/// Where the ids of a crowd's requests begin, behind the run's prefix.
const FIRST_REQUEST_NUMBER: u64 = 0xff << 24;
/// The wait for what is still to be read once the process has ended.
const LAST_READ_TIMEOUT: Duration = Duration::from_millis(200);

/// What every other connection of a crowd does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrowdKind {
    Silent,
    HalfMessage,
    RequestThenHalf,
    RequestThenSilence,
    RepliesNeverRead,
    OneByteATick,
    Reset,
}

impl CrowdKind {
    pub(super) const ALL: [CrowdKind; 7] = [
        CrowdKind::Silent,
        CrowdKind::HalfMessage,
        CrowdKind::RequestThenHalf,
        CrowdKind::RequestThenSilence,
        CrowdKind::RepliesNeverRead,
        CrowdKind::OneByteATick,
        CrowdKind::Reset,
    ];

    /// Whole requests that such a connection sends.
    fn requests(self) -> u32 {
        match self {
            CrowdKind::Silent | CrowdKind::HalfMessage | CrowdKind::OneByteATick => 0,
            CrowdKind::RequestThenHalf | CrowdKind::RequestThenSilence | CrowdKind::Reset => 1,
            CrowdKind::RepliesNeverRead => UNREAD_REQUESTS,
        }
    }

    fn sends_half_a_message(self) -> bool {
        matches!(self, CrowdKind::HalfMessage | CrowdKind::RequestThenHalf)
    }
}

/// A connection of a crowd, and its whole requests by their sequence from 1 on.
struct CrowdConnection {
    edge: EdgeConnection,
    /// It is of the crowd's kind; the others are silent.
    is_of_kind: bool,
    requests: Vec<SentRequest>,
}

/// The connections of a crowd.
pub(crate) struct Crowd {
    kind: CrowdKind,
    connections: Vec<CrowdConnection>,
}

impl Crowd {
    /// Connects so many; the ids of their requests begin with `prefix`.
    pub(crate) fn connect(host: &str, kind: CrowdKind, connections: usize, prefix: u64) -> Self {
        let mut number = prefix | FIRST_REQUEST_NUMBER;
        let connect = |at: usize| {
            let stream = TcpStream::connect((host, EDGE_PORT)).ok()?;
            let mut connection = CrowdConnection {
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
        Crowd { kind, connections }
    }

    /// What the crowd does while the run lasts: it writes a byte at a time, or is reset.
    pub(super) fn act(&self, is_over: &AtomicBool) {
        match self.kind {
            CrowdKind::OneByteATick => self.write_bytes(is_over),
            CrowdKind::Reset => self.reset(is_over),
            _ => {}
        }
    }

    fn of_kind(&self) -> impl Iterator<Item = &CrowdConnection> {
        let connections = self.connections.iter();
        connections.filter(|connection| connection.is_of_kind)
    }

    fn write_bytes(&self, is_over: &AtomicBool) {
        let message = self.connections.first().map(|connection| {
            let fields = request_fields("0000000000000000", "20.0");
            connection.edge.encode_request(1, &fields, b"run")
        });
        // The last byte is left out, so that no request is whole.
        for byte in message.iter().flat_map(|bytes| &bytes[..bytes.len() - 1]) {
            if is_over.load(Ordering::Acquire) {
                return;
            }
            for connection in self.of_kind() {
                let _ = (&connection.edge.stream).write_all(&[*byte]);
            }
            std::thread::sleep(TICK);
        }
    }

    fn reset(&self, is_over: &AtomicBool) {
        for connection in self.of_kind() {
            if is_over.load(Ordering::Acquire) {
                return;
            }
            reset_connection(&connection.edge.stream);
            std::thread::sleep(RESET_INTERVAL);
        }
    }

    /// The requests of the crowd, with the answers that are read now that the process has ended.
    /// Those of callers that reset their connections are left out: these callers are gone.
    pub(super) fn into_requests(self) -> Vec<SentRequest> {
        if self.kind == CrowdKind::Reset {
            return Vec::new();
        }
        let connections = self.connections.into_iter();
        connections
            .flat_map(CrowdConnection::into_requests)
            .collect()
    }
}

impl CrowdConnection {
    fn send(&mut self, kind: CrowdKind, number: &mut u64) {
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
        if kind.sends_half_a_message() {
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
