//! Clients that send a request again as soon as it is turned away, on more connections than the
//! backend has places for.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::backend::Platform;
use crate::edge::{self, Edge, Send};
use crate::kernel::{Kernel, KernelRules};
use crate::store::Store;
use crate::world::{World, ms, unix_ms};
use crate::{Place, Verdict};

/// Connections of the bad clients, and the pause of each after it was turned away.
const BAD_CONNECTIONS: u64 = 340; // `BAD` sets another number.
const PAUSE: Duration = Duration::from_millis(20);
/// The edge nodes, and the requests of all of them in a second.
const EDGE_NODES: usize = 4;
const RATE: f64 = 60.0;
const BEFORE: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(25);
const DEADLINE_MS: u64 = 4500;
/// On a day with bad clients so many of 1,000 requests may go without an answer in time.
const ALLOWED_IN_THOUSAND: usize = 3;

pub fn settings() -> String {
    r#"{"classes":[
{"name":"preview-page","objective":1800.0,"deadline":4500.0,"worth":1.0,"effect":"pure"},
{"name":"subscriber-page","objective":1800.0,"deadline":4500.0,"worth":2.0,"effect":"pure"},
{"name":"bought-page","objective":1800.0,"deadline":4500.0,"worth":3.0,"effect":"pure"}],
"clients":{"marks_retry":true},
"family_info":{"below":"shared","calls_out":6.0,"share_span":5000.0,"stays_for":200.0,"blowup":16.0,"cores":6,"entry_kb":138.43,
"class_calls":[true,false,true],"class_skip_worth":[0.5,0.0,0.6],"halt":"drop","idle":15000.0,"mem_limit_kb":60768.0,"say":"weight",
"callers":4,"own_stats":["core_use","on_cores","heap_share","links"]},
"limits":{"max_retry_after":1000.0,"retry_after":true},"tenants":[{"name":"acme","allowance_per_s":400.0}],
"rules":{"cold_from":0.26,"drain_grace":2500.0,"fall":3000.0,"fall_multiple":8.0,"grace_to_answer":80.0,"warm_up":18000.0}}"#
        .to_owned()
}

/// A request whose figure for the work is far out of range, so that it is turned away.
fn bad_request(sequence: i32) -> Vec<u8> {
    let id = edge::new_id();
    let fields = [
        ("kind", "preview-page".to_owned()),
        ("req", format!("{id:016x}")),
        ("ts", unix_ms().to_string()),
        ("via", "99".to_owned()),
        ("owner", "acme".to_owned()),
        ("ms", "900000.00".to_owned()),
        ("need", "24.5".to_owned()),
        ("level", "0.1000".to_owned()),
    ];
    edge::process(sequence, &fields, b"w5 r10 bad")
}

/// One connection of a bad client at a time: one request is in flight, and the next one follows
/// when it is answered.
fn bad_client(address: SocketAddr, stop: &AtomicBool, refusals: &AtomicU64) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(1000)) else {
            std::thread::sleep(PAUSE);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(500)));
        let mut sequence = 0;
        while !stop.load(Ordering::Relaxed) {
            sequence += 1;
            if stream.write_all(&bad_request(sequence)).is_err() {
                break;
            }
            let mut length = [0; 4];
            let mut is_answered = false;
            while !stop.load(Ordering::Relaxed) && !is_answered {
                match stream.read_exact(&mut length) {
                    Ok(()) => is_answered = true,
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
            let mut frame = vec![0; u32::from_be_bytes(length) as usize];
            if !is_answered || stream.read_exact(&mut frame).is_err() {
                break;
            }
            refusals.fetch_add(1, Ordering::Relaxed);
            std::thread::sleep(PAUSE);
        }
    }
}

pub fn run(place: &Place) -> Verdict {
    let bad_connections = crate::env("BAD", BAD_CONNECTIONS);
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
    let mut backend = platform.start();
    let edges: Vec<_> = (0..EDGE_NODES)
        .map(|_| Edge::new(&world, platform.listen))
        .collect();
    if !edges[0].wait_until_healthy(Duration::from_secs(20)) {
        return Verdict::CouldNotRun("the backend is not healthy".into());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let refusals = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let mut is_flooded = false;
    let (mut next, mut count) = (Instant::now(), 0u64);
    while start.elapsed() < LENGTH {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        // The gaps between requests are exponential.
        let uniform = (world.random(1_000_000) + 1) as f64 / 1_000_001.0;
        next += Duration::from_secs_f64(-uniform.ln() / RATE);
        if place.trouble && !is_flooded && start.elapsed() > BEFORE {
            is_flooded = true;
            world.note(format!("{bad_connections} connections of bad clients"));
            for _ in 0..bad_connections {
                let (stop, refusals) = (stop.clone(), refusals.clone());
                let address = platform.listen;
                let _ = std::thread::Builder::new()
                    .stack_size(128 * 1024)
                    .spawn(move || bad_client(address, &stop, &refusals));
            }
        }
        count += 1;
        let (class, calls) = match world.random(100) {
            0..49 => ("preview-page", "c w5 "),
            49..90 => ("subscriber-page", ""),
            _ => ("bought-page", "c w5 "),
        };
        let send = Send {
            class: class.into(),
            key: String::new(),
            body: format!("w15 {calls}r400 {count}").into_bytes(),
            deadline_ms: DEADLINE_MS,
            says_wait: false,
            slack_ms: 80,
            work_ms: 20.0,
            need_kb: 24.5,
            is_retry: false,
        };
        edges[(world.random(EDGE_NODES as u64)) as usize].send(&send, 8);
        if let Some(code) = backend.has_ended() {
            return Verdict::Broken(format!("the backend ended with {code}"));
        }
    }
    std::thread::sleep(ms(DEADLINE_MS + 500));
    stop.store(true, Ordering::Relaxed);
    let tries = world.tries.lock().unwrap();
    let (mut lost, mut answered) = (0, 0);
    for (id, entry) in tries.iter() {
        // What crossed the end of its connection would be sent once more.
        let crossed = entry.runs == 0
            && entry
                .cut_at
                .is_some_and(|at| at - entry.sent_at.unwrap() < ms(50));
        let is_in_time = entry
            .answers
            .first()
            .is_some_and(|(at, _)| *at <= entry.due_at.unwrap() + ms(50));
        if is_in_time {
            answered += 1;
        } else if !crossed && !entry.failed_to_send {
            lost += 1;
            world.note(format!("LOST {id}"));
        }
    }
    let refused: u64 = edges
        .iter()
        .map(|edge| edge.refused.load(Ordering::Relaxed))
        .sum();
    let opened: u64 = edges
        .iter()
        .map(|edge| edge.opened.load(Ordering::Relaxed))
        .sum();
    let ended = tries.values().filter(|entry| entry.cut).count();
    let refusals = refusals.load(Ordering::Relaxed);
    let text = format!(
        "{lost} of {} requests of the edge nodes got no answer in time, {answered} did; {refused} connections refused, \
         {opened} accepted by the machine, {ended} requests whose connection ended; \
         {refusals} answers to bad clients",
        tries.len()
    );
    println!("{text}");
    world.note(&text);
    world.flush();
    if lost * 1000 > ALLOWED_IN_THOUSAND * tries.len() {
        Verdict::Broken("requests were lost".into())
    } else {
        Verdict::Held
    }
}
