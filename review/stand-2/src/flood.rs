//! Clients that send the same requests again as soon as they are turned away, at full speed.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::backend::Platform;
use crate::edge::{self, Edge, Send};
use crate::kernel::{Kernel, KernelRules};
use crate::store::{Store, StoreRules};
use crate::world::{Shared, World, ms, unix_ms};
use crate::{Place, Verdict};

fn request(sequence: i32) -> Vec<u8> {
    let id = edge::new_id();
    let fields = [
        ("kind", "read".to_owned()),
        ("req", format!("{id:016x}")),
        ("ts", unix_ms().to_string()),
        ("via", "9".to_owned()),
        ("owner", "acme".to_owned()),
        ("ms", "900000.0".to_owned()),
        ("need", "24.5".to_owned()),
        ("level", "0.1000".to_owned()),
    ];
    edge::process(sequence, &fields, b"w5 r10 bad")
}

/// One such client: it keeps `window` requests in flight.
fn client(address: SocketAddr, window: i32, stop: &AtomicBool, sent: &AtomicU64) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(1000)) else {
            continue;
        };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let mut sequence = 0;
        let mut out = Vec::new();
        for _ in 0..window {
            sequence += 1;
            out.extend(request(sequence));
        }
        if stream.write_all(&out).is_err() {
            continue;
        }
        let mut buffer = Vec::new();
        let mut chunk = [0; 65536];
        while !stop.load(Ordering::Relaxed) {
            let Ok(length) = stream.read(&mut chunk) else {
                break;
            };
            if length == 0 {
                break;
            }
            buffer.extend_from_slice(&chunk[..length]);
            let mut out = Vec::new();
            let mut at = 0;
            while buffer.len() - at >= 4 {
                let length = u32::from_be_bytes(buffer[at..at + 4].try_into().unwrap()) as usize;
                if buffer.len() - at < 4 + length {
                    break;
                }
                at += 4 + length;
                sequence += 1;
                out.extend(request(sequence));
                sent.fetch_add(1, Ordering::Relaxed);
            }
            buffer.drain(..at);
            if stream.write_all(&out).is_err() {
                break;
            }
        }
    }
}

pub fn run(place: &Place) -> Verdict {
    let world: Shared = World::new(&place.case.join("record.txt"), 7);
    let rules = KernelRules {
        can_halt: true,
        can_skip: true,
        state: "steady",
    };
    let (_k, ka) = Kernel::start(&world, rules);
    let (_s, sa) = Store::start(
        &world,
        StoreRules {
            delay_ms: 20,
            ..StoreRules::default()
        },
    );
    let mut platform = Platform::new(&place.root, &place.folder, ka, sa);
    platform.settings = crate::storm::settings(3000);
    let mut backend = platform.start();
    let edge = Edge::new(&world, platform.listen);
    if !edge.wait_until_healthy(Duration::from_secs(5)) {
        return Verdict::CouldNotRun("not healthy".into());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let clients = crate::storm::env("CLIENTS", 10);
    let window = crate::storm::env("PIPE", 200) as i32;
    if place.trouble {
        for _ in 0..clients {
            let (stop, sent, address) = (stop.clone(), sent.clone(), platform.listen);
            std::thread::spawn(move || client(address, window, &stop, &sent));
        }
    }
    let end = Instant::now() + Duration::from_secs(crate::storm::env("LENGTH", 10));
    let mut next = Instant::now();
    let mut count = 0;
    while Instant::now() < end {
        crate::world::sleep_until(next);
        next += ms(crate::storm::env("GAP", 20));
        count += 1;
        let send = Send {
            class: "read".into(),
            key: String::new(),
            body: format!("w{} r400 {count}", if count % 5 == 0 { 2500 } else { 5 }).into_bytes(),
            deadline_ms: 2000,
            says_wait: false,
            slack_ms: 80,
            work_ms: 10.0,
            need_kb: 24.5,
            is_retry: false,
        };
        edge.send(&send, 8);
        if let Some(code) = backend.has_ended() {
            return Verdict::Broken(format!("ended with {code}"));
        }
    }
    std::thread::sleep(ms(2500));
    stop.store(true, Ordering::Relaxed);
    let tries = world.tries.lock().unwrap();
    let mut took: Vec<Duration> = Vec::new();
    let (mut lost, mut late) = (0, 0);
    let mut kinds: HashMap<String, u32> = HashMap::new();
    for entry in tries.values() {
        match entry.answers.first() {
            None => lost += 1,
            Some((at, kind)) => {
                *kinds.entry(format!("{kind:?}")).or_default() += 1;
                took.push(*at - entry.sent_at.unwrap());
                late += u32::from(*at > entry.due_at.unwrap() + ms(50));
            }
        }
    }
    took.sort();
    let at = |part: f64| took.get((took.len() as f64 * part) as usize).copied();
    println!(
        "sent {count} lost {lost} late {late} {kinds:?} p50 {:?} p90 {:?} p99 {:?} max {:?} flood {}",
        at(0.5),
        at(0.9),
        at(0.99),
        took.last(),
        sent.load(Ordering::Relaxed)
    );
    world.flush();
    Verdict::Held
}
