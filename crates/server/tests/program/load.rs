//! Requests to five real processes while the links between the processes break: each request is
//! answered once and run once.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tulipgap_fault_injection::{MemberEndpoints, Plan, RunOutcome, run};

use crate::harness::edge_node::{AnswerKind, EdgeConnection};
use crate::harness::executor::{SharedExecutor, serve_executor};
use crate::harness::{LONG_TIMEOUT, wait_until};

/// The outcomes of the requests of all edge nodes.
#[derive(Default)]
struct Load {
    is_over: AtomicBool,
    sent: AtomicU64,
    answered: AtomicU64,
    /// Requests without an answer because their connection broke.
    lost: AtomicU64,
    /// Unanswered requests to a member that was not killed, and answers with a wrong sequence.
    violations: Mutex<Vec<String>>,
    /// Response times in microseconds, by member.
    response_times: Mutex<HashMap<String, Vec<u64>>>,
}

/// Runs one edge node, which sends one request after the other to one member and waits for each
/// answer.
fn run_edge_node(load: &Load, member: &MemberEndpoints, at: usize, is_killed: bool) {
    let mut number = 0u64;
    while !load.is_over.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(member.listen) else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
        let mut edge = EdgeConnection { stream };
        while !load.is_over.load(Ordering::Relaxed) {
            number += 1;
            let (id, sequence) = (format!("{at:04x}{number:012x}"), number as u32);
            let sent_at = Instant::now();
            edge.send_request(sequence, &id, b"run");
            load.sent.fetch_add(1, Ordering::Relaxed);
            let answer = match edge.read_answer() {
                Some(answer) if answer.kind == AnswerKind::NoMore => edge.read_answer(),
                other => other,
            };
            match answer {
                Some(answer) if answer.sequence == sequence => {
                    load.answered.fetch_add(1, Ordering::Relaxed);
                    let response_time = sent_at.elapsed().as_micros() as u64;
                    load.response_times
                        .lock()
                        .unwrap()
                        .entry(member.name.clone())
                        .or_default()
                        .push(response_time);
                }
                Some(answer) => {
                    let violation = format!(
                        "{}: {:?} to {} in place of {sequence}",
                        member.name, answer.kind, answer.sequence
                    );
                    load.violations.lock().unwrap().push(violation);
                }
                None => {
                    load.lost.fetch_add(1, Ordering::Relaxed);
                    if !is_killed && !load.is_over.load(Ordering::Relaxed) {
                        load.violations
                            .lock()
                            .unwrap()
                            .push(format!("{}: {id} has no answer", member.name));
                    }
                    break;
                }
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Five members with three voters, and the faults: a partition, lossy links, a crash and a pause.
const PLAN: &str = r#"length = 150
        voters = ["a-1", "b-1", "c-1"]
        members {
          zone = "a"
          count = 2
        }
        members {
          zone = "b"
          count = 2
        }
        members {
          zone = "c"
          count = 1
        }
        lease {
          name = "one"
          term = 2
          step = 0.3
        }
        check {
          held_dead = 60
          known = 60
          agree = 100
        }
        cut {
          from = 4
          to = 9
          between = ["a", "b"]
        }
        links {
          from = 4
          to = 14
          loss = 0.2
          delay_ms = 100
          twice = 0.2
        }
        crash {
          at = 6
          of = "c-1"
          back = 8
        }
        stop {
          at = 10
          of = "a-1"
          back = 14
        }"#;

/// Guards against requests that are lost or run twice because the faults of a cluster disturb the
/// serving: five real members serve requests while links are partitioned and degraded, one member
/// is killed and one is paused. Requests have side effects, so none may run twice, and each is
/// answered unless its member was killed.
#[test]
fn each_request_is_answered_and_run_once_while_links_break_and_processes_die() {
    let plan = Plan::parse(PLAN).unwrap_or_else(|error| panic!("{error}"));
    let (folder, load) = (tempfile::tempdir().unwrap(), Arc::new(Load::default()));
    let executors: Mutex<Vec<SharedExecutor>> = Mutex::default();
    let start_edge_nodes = |members: &[MemberEndpoints]| {
        for (at, member) in members.iter().enumerate() {
            executors.lock().unwrap().push(serve_executor(
                SharedExecutor::default(),
                &member.executor.ip().to_string(),
            ));
            for connection in 0..2 {
                let (load, member) = (load.clone(), member.clone());
                std::thread::spawn(move || {
                    run_edge_node(&load, &member, at * 2 + connection, member.name == "c-1")
                });
            }
        }
    };
    let answered_before = Cell::new(0);
    let is_finished = |out: &RunOutcome| {
        let so_far = load.answered.load(Ordering::Relaxed);
        if answered_before.get() == 0 {
            answered_before.set(so_far);
        }
        let done = out.is_converged && so_far > answered_before.get() + 500;
        if done {
            // The processes end with the run, so open requests must be answered first.
            load.is_over.store(true, Ordering::Relaxed);
            wait_until("the last requests are answered", || {
                let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
                count(&load.sent) == count(&load.answered) + count(&load.lost)
            });
        }
        done
    };
    let program = Path::new(env!("CARGO_BIN_EXE_tulipgapd"));
    let outcome = run(&plan, program, folder.path(), start_edge_nodes, is_finished)
        .unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(outcome.violation, None);
    assert_eq!(*load.violations.lock().unwrap(), Vec::<String>::new());
    // Requests have side effects, so none may run twice.
    for executor in executors.lock().unwrap().iter() {
        let repeated: Vec<String> = executor
            .lock()
            .unwrap()
            .ends
            .iter()
            .filter(|(_, ends)| **ends > 1)
            .map(|(id, _)| id.clone())
            .collect();
        assert_eq!(repeated, Vec::<String>::new(), "run twice");
    }
    let (sent, answered) = (
        load.sent.load(Ordering::Relaxed),
        load.answered.load(Ordering::Relaxed),
    );
    println!(
        "{sent} sent, {answered} answered, {} lost with their process",
        load.lost.load(Ordering::Relaxed)
    );
    for (member, response_times) in load.response_times.lock().unwrap().iter_mut() {
        response_times.sort_unstable();
        println!(
            "{member}: p50 {} us, p99 {} us",
            response_times[response_times.len() / 2],
            response_times[response_times.len() * 99 / 100]
        );
    }
}
