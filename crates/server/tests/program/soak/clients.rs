//! Clients of the soak. Each client keeps requests open on its connection until the connection
//! ends, also after the drain notification, and then reconnects.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::harness::edge_node::{AnswerKind, EdgeConnection, request_fields, reset_connection};
use crate::harness::{EDGE_PORT, LONG_TIMEOUT};

/// Interval at which a client tries again when its window is full or its connect was refused.
const CLIENT_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// Interval between two answers that a slow reader reads.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two pieces of a message.
const PIECE_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum number of requests in one write of a client that writes in batches.
const BATCH_REQUESTS: usize = 8;

/// How a client writes its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Writing {
    OneByOne,
    InPieces,
    /// Several requests in one write.
    InBatches,
}

/// The behaviour of one client.
#[derive(Debug)]
pub(super) struct ClientPlan {
    /// Maximum number of open requests.
    window: usize,
    writing: Writing,
    is_slow_reader: bool,
    /// The bodies of the requests, used in turn.
    bodies: Vec<&'static str>,
    /// The number of requests after which the client resets a connection, even with open requests.
    pub(super) resets_after: Option<u32>,
}

impl ClientPlan {
    pub(super) fn sample(rng: &mut fastrand::Rng) -> Self {
        let bodies = ["run", "run", "large", "call", "hang"];
        ClientPlan {
            window: rng.usize(1..=32),
            writing: rng
                .choice([Writing::OneByOne, Writing::InPieces, Writing::InBatches])
                .unwrap(),
            is_slow_reader: rng.u8(..4) == 0,
            bodies: (0..rng.usize(1..5))
                .map(|_| rng.choice(bodies).unwrap())
                .collect(),
            resets_after: None,
        }
    }
}

impl ClientPlan {
    fn reading_delay(&self) -> Duration {
        match self.is_slow_reader {
            true => SLOW_READ_INTERVAL * self.window as u32,
            false => Duration::ZERO,
        }
    }
}

/// An answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    Served,
    Rejected,
    Failed,
}

impl Answer {
    /// The answer that a message of this kind carries; `None` for a drain notification.
    pub(super) fn of(kind: &AnswerKind) -> Option<Answer> {
        match kind {
            AnswerKind::Answer => Some(Answer::Served),
            AnswerKind::Rejected => Some(Answer::Rejected),
            AnswerKind::Crashed | AnswerKind::Exception => Some(Answer::Failed),
            AnswerKind::NoMore => None,
        }
    }
}

/// A request that was written completely.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    pub(super) id: String,
    /// The time before the first byte was written.
    pub(super) begun_at: Instant,
    /// The time after the last byte was written.
    pub(super) sent_at: Instant,
    pub(super) answers: Vec<Answer>,
    /// The time at which the client saw the end of the connection.
    pub(super) connection_ended_at: Option<Instant>,
    /// How long the client may take to see the end of a connection: a slow reader first reads the
    /// answers that arrived before the end.
    pub(super) reading_delay: Duration,
    /// Whether the client reset the connection before the answer to this request arrived. Such a
    /// request may stay unanswered.
    pub(super) is_caller_gone: bool,
}

/// The answers and the end of a connection, as its reader thread has seen them.
#[derive(Default)]
struct ReadState {
    answers: HashMap<u32, Vec<Answer>>,
    answered: usize,
    ended_at: Option<Instant>,
}

/// Sends requests until the run is over. Returns all requests that were sent.
pub(super) fn run_client(
    host: &str,
    plan: &ClientPlan,
    prefix: u64,
    is_over: &AtomicBool,
) -> Vec<SentRequest> {
    let mut requests = Vec::new();
    while !is_over.load(Ordering::Acquire) {
        match TcpStream::connect((host, EDGE_PORT)) {
            Ok(stream) => use_connection(stream, plan, prefix, &mut requests, is_over),
            Err(_) => std::thread::sleep(CLIENT_RETRY_INTERVAL),
        }
    }
    requests
}

fn use_connection(
    stream: TcpStream,
    plan: &ClientPlan,
    prefix: u64,
    requests: &mut Vec<SentRequest>,
    is_over: &AtomicBool,
) {
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    let state = Arc::new(Mutex::new(ReadState::default()));
    let reader = {
        let (stream, state) = (stream.try_clone().unwrap(), state.clone());
        let is_slow_reader = plan.is_slow_reader;
        std::thread::spawn(move || read_answers(EdgeConnection { stream }, is_slow_reader, &state))
    };
    let first = requests.len();
    let mut edge = EdgeConnection { stream };
    let mut sequence = 0;
    let mut has_reset = false;
    while state.lock().unwrap().ended_at.is_none() && !is_over.load(Ordering::Acquire) {
        let open = sequence as usize - state.lock().unwrap().answered;
        if open >= plan.window {
            std::thread::sleep(CLIENT_RETRY_INTERVAL);
            continue;
        }
        let count = match plan.writing {
            Writing::InBatches => BATCH_REQUESTS.min(plan.window - open),
            _ => 1,
        };
        if !send_requests(&mut edge, plan, prefix, &mut sequence, count, requests) {
            break;
        }
        if plan.resets_after.is_some_and(|after| sequence >= after) {
            reset_connection(&edge.stream);
            has_reset = true;
            break;
        }
    }
    // The reader ends because the process has ended or closes the connection.
    reader.join().unwrap();
    let state = state.lock().unwrap();
    for (request, sequence) in requests[first..].iter_mut().zip(1u32..) {
        request.connection_ended_at = state.ended_at;
        request.answers = state.answers.get(&sequence).cloned().unwrap_or_default();
        request.is_caller_gone = has_reset && request.answers.is_empty();
    }
}

/// Sends `count` requests as the plan says. Returns false if a write fails; the requests of this
/// call then do not count as sent.
fn send_requests(
    edge: &mut EdgeConnection,
    plan: &ClientPlan,
    prefix: u64,
    sequence: &mut u32,
    count: usize,
    requests: &mut Vec<SentRequest>,
) -> bool {
    let begun_at = Instant::now();
    let mut bytes = Vec::new();
    let mut ids = Vec::new();
    for _ in 0..count {
        *sequence += 1;
        let number = requests.len() + ids.len();
        let id = format!("{:016x}", prefix | number as u64);
        let body = plan.bodies[number % plan.bodies.len()];
        let fields = request_fields(&id, "20.0");
        bytes.extend(edge.encode_request(*sequence, &fields, body.as_bytes()));
        ids.push(id);
    }
    let written = match plan.writing {
        Writing::InPieces => bytes.chunks(bytes.len() / 3 + 1).try_for_each(|piece| {
            std::thread::sleep(PIECE_INTERVAL);
            edge.stream.write_all(piece)
        }),
        _ => edge.stream.write_all(&bytes),
    };
    if written.is_err() {
        return false;
    }
    let sent_at = Instant::now();
    requests.extend(ids.into_iter().map(|id| SentRequest {
        id,
        begun_at,
        sent_at,
        answers: Vec::new(),
        connection_ended_at: None,
        reading_delay: plan.reading_delay(),
        is_caller_gone: false,
    }));
    true
}

fn read_answers(mut edge: EdgeConnection, is_slow_reader: bool, state: &Mutex<ReadState>) {
    while let Some(answer) = edge.read_answer() {
        let Some(kind) = Answer::of(&answer.kind) else {
            continue;
        };
        let mut state = state.lock().unwrap();
        state.answers.entry(answer.sequence).or_default().push(kind);
        state.answered += 1;
        drop(state);
        if is_slow_reader {
            std::thread::sleep(SLOW_READ_INTERVAL);
        }
    }
    state.lock().unwrap().ended_at = Some(Instant::now());
}
