//! The time from the start of the process to its first answer, in each state of its peers.

use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use crate::harness::backend::{BackendSetup, TestBackend, spawn_program};
use crate::harness::edge_node::{AnswerKind, EdgeConnection};
use crate::harness::executor::{SharedExecutor, serve_executor, serve_executor_link};
use crate::harness::store::{StoreStub, start_store};
use crate::harness::{
    EDGE_PORT, EXECUTOR_PORT, LONG_TIMEOUT, REGISTRY_PORT, STORE_PORT, unique_address,
};

/// The bound on the time to the first answer; the rule allows 30 s from the start of the process.
const MAX_TIME_TO_FIRST_ANSWER: Duration = Duration::from_secs(5);

/// The state of a peer when the backend starts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PeerState {
    Absent,
    /// The peer accepts connections and sends nothing, the executor for a second, the store
    /// indefinitely. A slow service registry is like a present one.
    Slow,
    Present,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Peer {
    Executor,
    Store,
    Registry,
}

/// The times from the start of the process to the first answer of any kind, and to the first
/// result.
struct StartupTimes {
    first_answer: Duration,
    first_served: Option<Duration>,
}

/// Guards against a start that waits for a peer: a backend must answer soon after its start in each
/// state of its peers, and it rejects requests until the executor is up. Each case has five starts,
/// with one of executor, store and service registry absent, slow or present.
#[test]
fn the_first_answer_is_in_time_with_each_peer_absent_slow_and_present() {
    const STARTS: usize = 5;
    for peer in [Peer::Executor, Peer::Store, Peer::Registry] {
        for peer_state in [PeerState::Absent, PeerState::Slow, PeerState::Present] {
            let times = startup_times(peer, peer_state, STARTS);
            let (median, worst) =
                median_and_worst(times.iter().map(|times| times.first_answer).collect());
            print!("{peer:?} {peer_state:?}: first answer p50 {median:?}, worst {worst:?}");
            assert!(
                worst < MAX_TIME_TO_FIRST_ANSWER,
                "{peer:?} {peer_state:?}: {worst:?}"
            );
            let served: Vec<Duration> = times
                .iter()
                .filter_map(|times| times.first_served)
                .collect();
            if served.is_empty() {
                println!();
                assert_eq!((peer, peer_state), (Peer::Executor, PeerState::Absent));
            } else {
                let (median, worst) = median_and_worst(served);
                println!("; first served p50 {median:?}, worst {worst:?}");
                assert!(
                    worst < MAX_TIME_TO_FIRST_ANSWER,
                    "{peer:?} {peer_state:?}: {worst:?}"
                );
            }
        }
    }
}

fn median_and_worst(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() - 1])
}

/// Starts a backend `starts` times with the same peers, and measures each start.
fn startup_times(peer: Peer, peer_state: PeerState, starts: usize) -> Vec<StartupTimes> {
    let host = unique_address();
    let state_of = |other: Peer| {
        if other == peer {
            peer_state
        } else {
            PeerState::Present
        }
    };
    let executor = SharedExecutor::default();
    match state_of(Peer::Executor) {
        PeerState::Absent => {}
        PeerState::Slow => serve_executor_slowly(executor.clone(), &host),
        PeerState::Present => _ = serve_executor(executor.clone(), &host),
    }
    let mut silent_store = None;
    let store = match state_of(Peer::Store) {
        PeerState::Absent => StoreStub::default(),
        PeerState::Slow => {
            // Connections stay in the backlog of this listener.
            silent_store = Some(TcpListener::bind((&host[..], STORE_PORT)).unwrap());
            StoreStub::default()
        }
        PeerState::Present => start_store(&host),
    };
    let registry = match state_of(Peer::Registry) {
        PeerState::Absent => None,
        PeerState::Slow | PeerState::Present => {
            Some(UdpSocket::bind((&host[..], REGISTRY_PORT)).unwrap())
        }
    };
    let mut begin = Instant::now();
    let mut backend = BackendSetup::with_peers(host, executor, store).spawn();
    let may_serve = state_of(Peer::Executor) != PeerState::Absent;
    let mut times = Vec::new();
    loop {
        times.push(first_answers(&backend, begin, may_serve));
        if times.len() == starts {
            break;
        }
        backend.child.kill().unwrap();
        backend.child.wait().unwrap();
        begin = Instant::now();
        backend.child = spawn_program(&backend.config_file);
    }
    if peer == Peer::Registry && peer_state == PeerState::Present {
        let registry = registry.as_ref().unwrap();
        registry
            .set_read_timeout(Some(MAX_TIME_TO_FIRST_ANSWER))
            .unwrap();
        registry.recv(&mut [0; 64]).expect("a report");
    }
    drop((silent_store, registry));
    times
}

/// Sends requests on new connections until one is answered and, if `may_serve`, until one is
/// served.
fn first_answers(backend: &TestBackend, begin: Instant, may_serve: bool) -> StartupTimes {
    let mut first_answer = None;
    loop {
        assert!(
            begin.elapsed() < LONG_TIMEOUT,
            "no answer within the time limit"
        );
        if let Some(kind) = request_on_new_connection(backend, begin) {
            let now = begin.elapsed();
            let first_answer = *first_answer.get_or_insert(now);
            if kind == AnswerKind::Answer {
                return StartupTimes {
                    first_answer,
                    first_served: Some(now),
                };
            }
            if !may_serve {
                return StartupTimes {
                    first_answer,
                    first_served: None,
                };
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn request_on_new_connection(backend: &TestBackend, begin: Instant) -> Option<AnswerKind> {
    let stream = TcpStream::connect((&backend.host[..], EDGE_PORT)).ok()?;
    stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    let mut edge = EdgeConnection { stream };
    let id = format!("{:016x}", begin.elapsed().as_nanos());
    edge.send_request(1, &id, b"run");
    edge.read_answer().map(|answer| answer.kind)
}

/// Starts an executor that accepts a link immediately and replies on it a second later.
fn serve_executor_slowly(executor: SharedExecutor, host: &str) {
    let listener = TcpListener::bind((host, EXECUTOR_PORT)).unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let executor = executor.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs(1));
                serve_executor_link(&executor, stream);
            });
        }
    });
}
