//! Clients of the soak. Each keeps requests open on its connection for as long as it lasts, past
//! the drain notification, and connects again.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::harness::edge_node::{AnswerKind, EdgeConnection, request_fields, reset_connection};
use crate::harness::{EDGE_PORT, LONG_TIMEOUT};

/// The pause of a client that has its requests open, or finds no listener.
const CLIENT_PAUSE: Duration = Duration::from_millis(2);
/// The pause of a client that reads slowly, before each answer.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(10);
/// The pause between two pieces of a message.
const PIECE_PAUSE: Duration = Duration::from_millis(1);
/// Requests that a client sends in one write.
const BATCH: usize = 8;

/// How a client writes its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Writing {
    OneByOne,
    InPieces,
    /// Several requests in one write.
    InBatches,
}

/// One client.
#[derive(Debug)]
pub(super) struct ClientPlan {
    /// Requests that it has open at a time.
    window: usize,
    writing: Writing,
    reads_slowly: bool,
    /// The bodies of its requests, in turn.
    bodies: Vec<&'static str>,
    /// After so many requests on a connection it resets it, whatever is open there.
    pub(super) resets_after: Option<u32>,
}

impl ClientPlan {
    pub(super) fn draw(rng: &mut fastrand::Rng) -> Self {
        let bodies = ["run", "run", "large", "call", "hang"];
        ClientPlan {
            window: rng.usize(1..=32),
            writing: rng
                .choice([Writing::OneByOne, Writing::InPieces, Writing::InBatches])
                .unwrap(),
            reads_slowly: rng.u8(..4) == 0,
            bodies: (0..rng.usize(1..5))
                .map(|_| rng.choice(bodies).unwrap())
                .collect(),
            resets_after: None,
        }
    }
}

impl ClientPlan {
    fn reading_delay(&self) -> Duration {
        match self.reads_slowly {
            true => SLOW_READ_PAUSE * self.window as u32,
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
    /// The answer that a message of this kind is, if it is one.
    pub(super) fn of(kind: &AnswerKind) -> Option<Answer> {
        match kind {
            AnswerKind::Answer => Some(Answer::Served),
            AnswerKind::Rejected => Some(Answer::Rejected),
            AnswerKind::Crashed | AnswerKind::Exception => Some(Answer::Failed),
            AnswerKind::NoMore => None,
        }
    }
}

/// A request of which the last byte was written.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    pub(super) id: String,
    /// Before its first byte was written.
    pub(super) begun_at: Instant,
    /// After its last byte was written.
    pub(super) sent_at: Instant,
    pub(super) answers: Vec<Answer>,
    /// When its connection was seen to have ended.
    pub(super) connection_ended_at: Option<Instant>,
    /// How long its client may take from the end of a connection to seeing it: one that reads
    /// slowly reads what is before the end first.
    pub(super) reading_delay: Duration,
    /// Its caller has reset the connection without an answer: it is known to be gone.
    pub(super) is_caller_gone: bool,
}

/// What the reader of a connection has seen.
#[derive(Default)]
struct ReadState {
    answers: HashMap<u32, Vec<Answer>>,
    answered: usize,
    ended_at: Option<Instant>,
}

/// Sends requests until the run is over. Returns all that were sent.
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
            Err(_) => std::thread::sleep(CLIENT_PAUSE),
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
        let reads_slowly = plan.reads_slowly;
        std::thread::spawn(move || read_answers(EdgeConnection { stream }, reads_slowly, &state))
    };
    let first = requests.len();
    let mut edge = EdgeConnection { stream };
    let mut sequence = 0;
    let mut has_reset = false;
    while state.lock().unwrap().ended_at.is_none() && !is_over.load(Ordering::Acquire) {
        let open = sequence as usize - state.lock().unwrap().answered;
        if open >= plan.window {
            std::thread::sleep(CLIENT_PAUSE);
            continue;
        }
        let count = match plan.writing {
            Writing::InBatches => BATCH.min(plan.window - open),
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
    // The process has ended, or ends the connection: the reader sees that.
    reader.join().unwrap();
    let state = state.lock().unwrap();
    for (request, sequence) in requests[first..].iter_mut().zip(1u32..) {
        request.connection_ended_at = state.ended_at;
        request.answers = state.answers.get(&sequence).cloned().unwrap_or_default();
        request.is_caller_gone = has_reset && request.answers.is_empty();
    }
}

/// Sends so many requests in the plan's way. Returns false once the connection takes no more; what
/// was not written whole then does not count as sent.
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
            std::thread::sleep(PIECE_PAUSE);
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

fn read_answers(mut edge: EdgeConnection, reads_slowly: bool, state: &Mutex<ReadState>) {
    while let Some(answer) = edge.read_answer() {
        let Some(kind) = Answer::of(&answer.kind) else {
            continue;
        };
        let mut state = state.lock().unwrap();
        state.answers.entry(answer.sequence).or_default().push(kind);
        state.answered += 1;
        drop(state);
        if reads_slowly {
            std::thread::sleep(SLOW_READ_PAUSE);
        }
    }
    state.lock().unwrap().ended_at = Some(Instant::now());
}
