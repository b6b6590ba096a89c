//! The memory that the remembered keys and results of a backend take, on the fast day.

use std::time::{Duration, Instant};

use crate::backend::Platform;
use crate::edge::{Edge, Send};
use crate::kernel::{Kernel, KernelRules};
use crate::store::Store;
use crate::world::{World, ms};
use crate::{Place, Verdict};

/// The limits and figures of the case.
const MEMORY_MB: u64 = 32;
const USUAL_RATE: u64 = 190;
const FAST_FACTOR: u64 = 6;
/// The share of the uniqued handler: that of the largest handler with an effect in MORE.md.
const UNIQUED_PERCENT: u64 = 42;
const RESULT_BYTES: u64 = 4096;
/// Connections of the edge nodes: fewer than half of the descriptors.
const CONNECTIONS: u64 = 150;
const LENGTH: Duration = Duration::from_secs(45);

fn settings() -> String {
    r#"{"classes":[
{"name":"repayment","objective":325.0,"deadline":800.0,"worth":1.0,"effect":"pure"},
{"name":"schedule","objective":550.0,"deadline":1400.0,"worth":2.0,"effect":"pure"},
{"name":"save-quote","objective":550.0,"deadline":1400.0,"worth":5.0,"effect":"token","memory_span":16743.0,"write":true}],
"clients":{"marks_retry":true},
"family_info":{"below":"silent","blowup":8.0,"cores":8,"entry_kb":4.4,"class_calls":[false,false,false],
"class_skip_worth":[0.0,0.0,0.0],"halt":"pause","idle":30000.0,"mem_limit_kb":120000.0,"say":"silent","list_follows":true,
"passes_deadline":true,"callers":4,"own_stats":["core_use","on_cores","heap_share","links"]},
"limits":{"max_retry_after":1000.0,"retry_after":true},"tenants":[{"name":"acme","allowance_per_s":4000.0}],
"rules":{"cold_from":0.3,"drain_grace":2500.0,"fall":2000.0,"fall_multiple":8.0,"grace_to_answer":80.0,"warm_up":9000.0}}"#
        .to_owned()
}

pub fn run(place: &Place) -> Verdict {
    let world = World::new(&place.case.join("record.txt"), 7);
    let rules = KernelRules {
        can_halt: true,
        can_skip: true,
        state: "steady",
    };
    let (_kernel, kernel_address) = Kernel::start(&world, rules);
    let store_address = Store::start(&world, 10);
    let mut platform = Platform::new(&place.root, &place.folder, kernel_address, store_address);
    platform.settings = settings();
    platform.memory_mb = MEMORY_MB;
    let mut backend = platform.start();
    let edge = Edge::new(&world, platform.listen);
    if !edge.wait_until_healthy(Duration::from_secs(20)) {
        return Verdict::CouldNotRun("the backend is not healthy".into());
    }
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let Some(connection) = edge.connect() else {
            return Verdict::CouldNotRun("a connection was refused".into());
        };
        connections.push(connection);
    }
    let rate = if place.trouble {
        USUAL_RATE * FAST_FACTOR
    } else {
        USUAL_RATE
    };
    let end = Instant::now() + LENGTH;
    let (mut next, mut next_sample) = (Instant::now(), Instant::now());
    let mut highest = 0;
    let mut count = 0u64;
    let mut verdict = None;
    while Instant::now() < end && verdict.is_none() {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += Duration::from_micros(1_000_000 / rate);
        count += 1;
        let class = match world.random(100) {
            0..UNIQUED_PERCENT => "save-quote",
            UNIQUED_PERCENT..70 => "repayment",
            _ => "schedule",
        };
        let send = Send {
            class: class.into(),
            key: if class == "save-quote" {
                format!("{count:016x}")
            } else {
                String::new()
            },
            body: format!("w3 r{RESULT_BYTES} {count}").into_bytes(),
            deadline_ms: if class == "repayment" { 800 } else { 1400 },
            says_wait: true,
            slack_ms: 80,
            work_ms: 3.0,
            need_kb: 24.5,
            is_retry: false,
        };
        let connection = &connections[(count % CONNECTIONS) as usize];
        if edge.send_on(connection, &send).is_none() {
            return Verdict::CouldNotRun("a connection ended".into());
        }
        if let Some(code) = backend.has_ended() {
            verdict = Some(Verdict::Broken(format!("the backend ended with {code}")));
        }
        if Instant::now() >= next_sample {
            next_sample += ms(100);
            let memory = backend.memory_kb().unwrap_or(0);
            if memory > highest + 256 {
                highest = memory;
                world.note(format!(
                    "memory of the backend: {memory} KB after {count} requests"
                ));
            }
            if memory > MEMORY_MB * 1024 {
                world.note("the platform kills the backend: it is over its memory");
                backend.signal("KILL");
                std::thread::sleep(ms(500));
                verdict = Some(Verdict::Broken(format!(
                    "the backend needed {memory} KB of {} KB after {count} requests and was killed",
                    MEMORY_MB * 1024
                )));
            }
        }
    }
    std::thread::sleep(ms(500));
    world.note(format!("highest memory {highest} KB"));
    println!("highest memory {highest} KB, {count} requests");
    world.flush();
    verdict.unwrap_or(Verdict::Held)
}
