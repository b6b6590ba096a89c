//! Connections of an edge node. The messages are encoded here, without the program's codec, so that
//! they can be invalid.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use socket2::{Domain, Socket, Type};

use super::LONG_TIMEOUT;
use super::backend::TestBackend;

/// The kinds of messages from the backend.
#[derive(Debug, PartialEq)]
pub(crate) enum AnswerKind {
    /// The result of a request, or the reply to a health check.
    Answer,
    /// The request was rejected, so it may be sent again.
    Rejected,
    /// The request failed, perhaps after it was run.
    Crashed,
    /// The message was invalid.
    Exception,
    /// The drain notification.
    NoMore,
}

/// A message from the backend.
pub(crate) struct ReceivedAnswer {
    pub(crate) kind: AnswerKind,
    /// The sequence of the message that this message answers.
    pub(crate) sequence: u32,
    /// The message without its length prefix.
    pub(crate) bytes: Vec<u8>,
}

impl ReceivedAnswer {
    pub(crate) fn contains(&self, text: &[u8]) -> bool {
        self.bytes.windows(text.len()).any(|window| window == text)
    }
}

/// A connection from an edge node.
pub(crate) struct EdgeConnection {
    pub(crate) stream: TcpStream,
}

/// Encodes a string for Thrift's binary protocol: its length as four bytes, the highest first, and
/// its bytes.
pub(crate) fn encode_string(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_be_bytes(), bytes].concat()
}

/// A request id that this test process has not used for any other request with an id from here.
pub(crate) fn new_request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0x10c0_0000);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The fields of a valid request with this id, which needs `need` KB of memory.
pub(crate) fn request_fields(id: &str, need: &str) -> Vec<(&'static str, String)> {
    let ts = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis();
    let mut fields = vec![
        ("kind", "page".to_owned()),
        ("req", id.to_owned()),
        ("ts", ts.to_string()),
    ];
    fields.extend([
        ("owner", "acme".to_owned()),
        ("ms", "5.00".to_owned()),
        ("need", need.to_owned()),
    ]);
    fields.extend([
        ("via", "4".to_owned()),
        ("level", "0.5".to_owned()),
        ("unheard", "of".to_owned()),
    ]);
    fields
}

/// The fields of a valid request, with one of them changed.
pub(crate) fn request_fields_with(
    id: &str,
    name: &str,
    value: &str,
) -> Vec<(&'static str, String)> {
    let mut fields = request_fields(id, "20.0");
    fields.iter_mut().find(|(key, _)| *key == name).unwrap().1 = value.to_owned();
    fields
}

fn call(sequence: u32, method: &str, arguments: &[u8]) -> Vec<u8> {
    let head = [
        &b"\x80\x01\0\x01"[..],
        &encode_string(method.as_bytes()),
        &sequence.to_be_bytes(),
    ]
    .concat();
    encode_string(&[&head, arguments].concat())
}

impl EdgeConnection {
    pub(crate) fn send_call(&mut self, sequence: u32, method: &str, arguments: &[u8]) {
        self.stream
            .write_all(&call(sequence, method, arguments))
            .unwrap();
    }

    /// Encodes a health check.
    pub(crate) fn encode_health_check(&self, sequence: u32) -> Vec<u8> {
        call(sequence, "probe", b"\0")
    }

    /// Encodes a health check for which the executor completes a test job.
    pub(crate) fn encode_deep_health_check(&self, sequence: u32) -> Vec<u8> {
        call(sequence, "probe", b"\x02\0\x01\x01\0")
    }

    /// Encodes a one-way message without arguments.
    pub(crate) fn encode_oneway(&self, sequence: u32, method: &str) -> Vec<u8> {
        let head = [
            &b"\x80\x01\0\x04"[..],
            &encode_string(method.as_bytes()),
            &sequence.to_be_bytes(),
        ]
        .concat();
        encode_string(&[&head[..], b"\0"].concat())
    }

    pub(crate) fn send_oneway(&mut self, sequence: u32, method: &str) {
        let message = self.encode_oneway(sequence, method);
        self.stream.write_all(&message).unwrap();
    }

    pub(crate) fn send_request_with_fields(
        &mut self,
        sequence: u32,
        fields: &[(&str, String)],
        body: &[u8],
    ) {
        let message = self.encode_request(sequence, fields, body);
        self.stream.write_all(&message).unwrap();
    }

    /// Encodes a request.
    pub(crate) fn encode_request(
        &self,
        sequence: u32,
        fields: &[(&str, String)],
        body: &[u8],
    ) -> Vec<u8> {
        let mut map = [
            &b"\x0d\0\x01\x0b\x0b"[..],
            &(fields.len() as u32).to_be_bytes(),
        ]
        .concat();
        for (name, value) in fields {
            map.extend(
                [
                    encode_string(name.as_bytes()),
                    encode_string(value.as_bytes()),
                ]
                .concat(),
            );
        }
        let arguments = [&map[..], b"\x0b\0\x02", &encode_string(body), b"\0"].concat();
        call(sequence, "process", &arguments)
    }

    pub(crate) fn send_request(&mut self, sequence: u32, id: &str, body: &[u8]) {
        self.send_request_with_fields(sequence, &request_fields(id, "20.0"), body);
    }

    /// Reads the next message; `None` once the connection is closed.
    pub(crate) fn read_answer(&mut self) -> Option<ReceivedAnswer> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head).ok()?;
        let mut bytes = vec![0; u32::from_be_bytes(head) as usize];
        self.stream.read_exact(&mut bytes).ok()?;
        let name_end = 8 + u32::from_be_bytes(bytes[4..8].try_into().unwrap()) as usize;
        let sequence = u32::from_be_bytes(bytes[name_end..name_end + 4].try_into().unwrap());
        let kind = match (bytes[3], bytes.get(name_end + 4..name_end + 7)) {
            (4, _) => AnswerKind::NoMore,
            (3, _) => AnswerKind::Exception,
            (2, Some([12, 0, 0])) => AnswerKind::Answer,
            (2, Some([12, 0, 1])) => AnswerKind::Rejected,
            (2, Some([12, 0, 2])) => AnswerKind::Crashed,
            other => panic!("invalid answer: {other:?}"),
        };
        Some(ReceivedAnswer {
            kind,
            sequence,
            bytes,
        })
    }

    /// Waits until the connection is closed, and ignores the bytes that arrive before. Returns
    /// false if the connection ends with an error other than a reset.
    pub(crate) fn wait_until_closed(&mut self) -> bool {
        match self.stream.read_to_end(&mut Vec::new()) {
            Ok(_) => true,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Reads the next answer and asserts its sequence and kind.
    pub(crate) fn expect_answer(&mut self, sequence: u32, kind: AnswerKind) -> ReceivedAnswer {
        let answer = self.read_answer().expect("an answer");
        assert_eq!((answer.sequence, &answer.kind), (sequence, &kind));
        answer
    }
}

/// Opens a connection with a receive buffer of 4 KiB, so that answers wait in the backend's send
/// buffer.
pub(crate) fn connect_slow_reader(backend: &TestBackend) -> EdgeConnection {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let address: SocketAddr = format!("{}:6565", backend.host).parse().unwrap();
    socket.connect(&address.into()).unwrap();
    let stream: TcpStream = socket.into();
    stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    EdgeConnection { stream }
}

/// Resets a connection. Its descriptor stays open.
pub(crate) fn reset_connection(stream: &TcpStream) {
    // A connect to an address of the unspecified family makes the system reset the connection.
    let address = libc::sockaddr {
        sa_family: libc::AF_UNSPEC as libc::sa_family_t,
        sa_data: [0; 14],
    };
    let descriptor = stream.as_raw_fd();
    let length = size_of::<libc::sockaddr>() as libc::socklen_t;
    // Safe: the stream keeps the descriptor open, and the address outlives the call.
    unsafe { libc::connect(descriptor, &raw const address, length) };
}

/// Reads answers until the connection ends, and counts them by sequence without the drain
/// notifications.
pub(crate) fn answers_until_close(edge: &mut EdgeConnection) -> HashMap<u32, u32> {
    let mut counts = HashMap::new();
    while let Some(answer) = edge.read_answer() {
        if answer.kind != AnswerKind::NoMore {
            *counts.entry(answer.sequence).or_default() += 1;
        }
    }
    counts
}

/// Reads answers until the drain notification.
pub(crate) fn wait_for_drain_notification(edge: &mut EdgeConnection) {
    while edge.read_answer().expect("a drain notification").kind != AnswerKind::NoMore {}
}

/// Sends one request after the other while `running` is set; returns the longest time to an answer.
pub(crate) fn slowest_answer_while(
    backend: &TestBackend,
    running: &AtomicBool,
    prefix: &str,
) -> Duration {
    let mut edge = backend.connect();
    let mut slowest = Duration::ZERO;
    for sequence in 1.. {
        if !running.load(Ordering::Acquire) {
            break;
        }
        let begin = Instant::now();
        edge.send_request(sequence, &format!("{prefix}{sequence:08x}"), b"run");
        let answer = edge.read_answer().expect("an answer");
        assert_eq!(answer.sequence, sequence);
        slowest = slowest.max(begin.elapsed());
        std::thread::sleep(Duration::from_millis(5));
    }
    slowest
}
