//! The time from the start of the process to its first answer, whatever state its peers are in.

use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use crate::harness::backend::{BackendSetup, TestBackend, spawn_program};
use crate::harness::edge_node::{AnswerKind, EdgeConnection};
use crate::harness::executor::{SharedExecutor, serve_executor, serve_executor_link};
use crate::harness::store::{StoreStub, start_store};
use crate::harness::{
    EDGE_PORT, EXECUTOR_PORT, LONG_TIMEOUT, REGISTRY_PORT, STORE_PORT, unique_address,
};

/// The rule allows 30 s from the start of the process to the first answer.
const MAX_TIME_TO_FIRST_ANSWER: Duration = Duration::from_secs(5);

/// The state of a peer as the backend starts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Presence {
    Absent,
    /// It accepts connections and sends nothing, for a second or for ever.
    Slow,
    Present,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Peer {
    Executor,
    Store,
    Registry,
}

/// The time from the start of the process to the first answer of any kind, and to the first request
/// that was served.
struct StartupTimes {
    first_answer: Duration,
    first_served: Option<Duration>,
}

/// A backend must answer soon after its start, whatever its peers do: before the executor is up it
/// rejects. Five starts with executor, store and service registry each absent, slow and present.
#[test]
fn the_first_answer_is_in_time_with_each_peer_absent_slow_and_present() {
    const STARTS: usize = 5;
    for peer in [Peer::Executor, Peer::Store, Peer::Registry] {
        for presence in [Presence::Absent, Presence::Slow, Presence::Present] {
            let times = startup_times(peer, presence, STARTS);
            let (median, worst) =
                median_and_worst(times.iter().map(|times| times.first_answer).collect());
            print!("{peer:?} {presence:?}: first answer p50 {median:?}, worst {worst:?}");
            assert!(
                worst < MAX_TIME_TO_FIRST_ANSWER,
                "{peer:?} {presence:?}: {worst:?}"
            );
            let served: Vec<Duration> = times
                .iter()
                .filter_map(|times| times.first_served)
                .collect();
            if served.is_empty() {
                println!();
                assert_eq!((peer, presence), (Peer::Executor, Presence::Absent));
            } else {
                let (median, worst) = median_and_worst(served);
                println!("; first served p50 {median:?}, worst {worst:?}");
                assert!(
                    worst < MAX_TIME_TO_FIRST_ANSWER,
                    "{peer:?} {presence:?}: {worst:?}"
                );
            }
        }
    }
}

fn median_and_worst(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() - 1])
}

/// Starts a backend so many times beside the same peers, and measures each start.
fn startup_times(peer: Peer, presence: Presence, starts: usize) -> Vec<StartupTimes> {
    let host = unique_address();
    let presence_of = |other: Peer| {
        if other == peer {
            presence
        } else {
            Presence::Present
        }
    };
    let executor = SharedExecutor::default();
    match presence_of(Peer::Executor) {
        Presence::Absent => {}
        Presence::Slow => serve_executor_late(executor.clone(), &host),
        Presence::Present => _ = serve_executor(executor.clone(), &host),
    }
    let mut silent_store = None;
    let store = match presence_of(Peer::Store) {
        Presence::Absent => StoreStub::default(),
        Presence::Slow => {
            // Connections stay in the backlog of this listener.
            silent_store = Some(TcpListener::bind((&host[..], STORE_PORT)).unwrap());
            StoreStub::default()
        }
        Presence::Present => start_store(&host),
    };
    let registry = match presence_of(Peer::Registry) {
        Presence::Absent => None,
        Presence::Slow | Presence::Present => {
            Some(UdpSocket::bind((&host[..], REGISTRY_PORT)).unwrap())
        }
    };
    let mut begin = Instant::now();
    let mut backend = BackendSetup::with_peers(host, executor, store).spawn();
    let may_serve = presence_of(Peer::Executor) != Presence::Absent;
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
    if peer == Peer::Registry && presence == Presence::Present {
        let registry = registry.as_ref().unwrap();
        registry
            .set_read_timeout(Some(MAX_TIME_TO_FIRST_ANSWER))
            .unwrap();
        registry.recv(&mut [0; 64]).expect("a report");
    }
    drop((silent_store, registry));
    times
}

/// Sends requests on new connections until one is answered, and, where it may be served, until one
/// is served.
fn first_answers(backend: &TestBackend, begin: Instant, may_serve: bool) -> StartupTimes {
    let mut first_answer = None;
    loop {
        assert!(begin.elapsed() < LONG_TIMEOUT, "no answer");
        if let Some(kind) = answer_on_new_connection(backend, begin) {
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

fn answer_on_new_connection(backend: &TestBackend, begin: Instant) -> Option<AnswerKind> {
    let stream = TcpStream::connect((&backend.host[..], EDGE_PORT)).ok()?;
    stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    let mut edge = EdgeConnection { stream };
    let id = format!("{:016x}", begin.elapsed().as_nanos());
    edge.send_request(1, &id, b"run");
    edge.read_answer().map(|answer| answer.kind)
}

/// An executor that accepts a link at once and answers it a second later.
fn serve_executor_late(executor: SharedExecutor, host: &str) {
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
