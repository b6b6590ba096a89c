//! Not a case: many disruptions at once, to look for broken rules.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::backend::Platform;
use crate::edge::{Edge, Send};
use crate::kernel::{Kernel, KernelRules};
use crate::store::{Store, StoreRules};
use crate::world::{Answer, Shared, World, ms};
use crate::{Place, Verdict};

pub fn env(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(default)
}

pub fn settings(window_ms: u64) -> String {
    let halt = std::env::var("HALT").unwrap_or("drop".into());
    let below = std::env::var("BELOW").unwrap_or("shared".into());
    let (share, cores, deadline) = (env("SHARE", 20), env("CORES", 6), env("DEADLINE", 2000));
    format!(
        r#"{{"classes":[
{{"name":"read","objective":900.0,"deadline":{deadline}.0,"worth":1.0,"effect":"pure"}},
{{"name":"order","objective":900.0,"deadline":{deadline}.0,"worth":3.0,"effect":"token","memory_span":{window_ms}.0,"write":true}},
{{"name":"trigger","objective":900.0,"deadline":{deadline}.0,"worth":3.0,"effect":"side_effect","write":true}}],
"clients":{{"marks_retry":true}},
"family_info":{{"below":"{below}","calls_out":{share}.0,"share_span":5000.0,"stays_for":200.0,"blowup":4.0,"cores":{cores},"entry_kb":6.0,
"class_calls":[true,true,true],"class_skip_worth":[0.5,0.0,0.0],"halt":"{halt}","idle":15000.0,"mem_limit_kb":60768.0,"say":"weight",
"cancel_seen":true,"callers":4,"own_stats":["core_use","on_cores","heap_share","links"]}},
"limits":{{"max_retry_after":1000.0,"retry_after":true}},"tenants":[{{"name":"acme","allowance_per_s":400.0}}],
"rules":{{"cold_from":0.3,"drain_grace":1000.0,"fall":3000.0,"fall_multiple":8.0,"grace_to_answer":80.0,"warm_up":9000.0}}}}"#
    )
}

pub fn check(world: &Shared, window: Duration) -> Vec<String> {
    let tries = world.tries.lock().unwrap();
    let mut faults = Vec::new();
    let mut by_key: HashMap<&str, Vec<(&String, &crate::world::Try)>> = HashMap::new();
    for (id, entry) in tries.iter() {
        if entry.wrong > 0 {
            faults.push(format!("wrong data {id}"));
        }
        if entry.answers.len() > 1 {
            faults.push(format!("two answers {id}"));
        }
        if !entry.gone && !entry.reset && !entry.failed_to_send {
            match entry.answers.first() {
                None => {
                    let age = entry.cut_at.map(|at| at - entry.sent_at.unwrap());
                    if age.is_some_and(|age| age < ms(50)) && entry.runs == 0 {
                        continue; // It crossed a close, and would be sent once more.
                    }
                    faults.push(format!(
                        "lost {id} cut={age:?} class={} runs={}",
                        entry.class, entry.runs
                    ));
                }
                Some((at, _)) if *at > entry.due_at.unwrap() + ms(50) => {
                    faults.push(format!("late {id} by {:?}", *at - entry.due_at.unwrap()))
                }
                _ => {}
            }
        }
        if entry.class != "read" {
            if entry.runs > 1 {
                faults.push(format!("ran twice {id} {}", entry.class));
            }
            if entry.calls > 1 {
                faults.push(format!("called twice {id} {}", entry.class));
            }
            if entry.runs > 0 && entry.answers.iter().any(|(_, a)| *a == Answer::Rejected) {
                faults.push(format!("rejected after run {id} {}", entry.class));
            }
        }
        if !entry.key.is_empty() {
            by_key.entry(&entry.key).or_default().push((id, entry));
        }
    }
    for (key, mut all) in by_key {
        all.sort_by_key(|(_, entry)| entry.sent_at);
        let first_run = all.iter().filter_map(|(_, entry)| entry.run_at).min();
        for (id, entry) in &all {
            let is_rejected_late = entry
                .answers
                .iter()
                .any(|(at, a)| *a == Answer::Rejected && first_run.is_some_and(|run| run < *at));
            if is_rejected_late {
                faults.push(format!("key {key}: {id} rejected after a run"));
            }
        }
        for (at, (id, entry)) in all.iter().enumerate() {
            for (other, later) in &all[at + 1..] {
                let gap = later.sent_at.unwrap() - entry.sent_at.unwrap();
                if entry.runs > 0 && gap < window {
                    if later.runs > 0 {
                        faults.push(format!("key {key} ran twice: {id} {other} gap {gap:?}"));
                    }
                    if later
                        .answers
                        .iter()
                        .any(|(at, a)| *a == Answer::Rejected && Some(*at) > entry.run_at)
                    {
                        faults.push(format!("key {key} rejected after run: {id} {other}"));
                    }
                }
            }
        }
    }
    faults
}

pub fn run(place: &Place) -> Verdict {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let rate: u64 = std::env::var("RATE")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(150);
    let modes = std::env::var("MODES").unwrap_or("link,store,hup,reset,retry".into());
    let has = |mode: &str| modes.split(',').any(|m| m == mode);
    let world = World::new(
        &place.case.join("record.txt"),
        seed.wrapping_mul(0x9e3779b97f4a7c15),
    );
    let (kernel, kernel_address) = Kernel::start(
        &world,
        KernelRules {
            can_halt: std::env::var("HALT").as_deref() != Ok("silent"),
            can_skip: true,
            state: if has("cold") { "booting" } else { "steady" },
        },
    );
    let rules = if has("store") {
        StoreRules {
            delay_ms: 20,
            busy: 40,
            silent: 20,
            reset: 30,
            noise: 30,
            twice: 60,
            stray: 60,
            error: 30,
            forgets: 30,
        }
    } else {
        StoreRules {
            delay_ms: 20,
            ..StoreRules::default()
        }
    };
    let delay_ms = std::env::var("DELAY")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(20);
    let rules = StoreRules { delay_ms, ..rules };
    let (store, store_address) = Store::start(&world, rules);
    let mut platform = Platform::new(&place.root, &place.folder, kernel_address, store_address);
    let window = ms(env("WINDOW", 3000));
    platform.settings = settings(env("WINDOW", 3000));
    platform.stop_ms = env("STOP", 3200);
    platform.sockets = env("SOCKETS", 384);
    let mut backend = platform.start();
    let edge = Edge::new(&world, platform.listen);
    if !edge.wait_until_healthy(Duration::from_secs(20)) {
        return Verdict::CouldNotRun("not healthy".into());
    }
    let stop = Arc::new(AtomicBool::new(false));
    {
        let (kernel, stop) = (kernel.clone(), stop.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                std::thread::sleep(ms(10));
                kernel.sweep();
            }
        });
    }
    let length: u64 = std::env::var("LENGTH")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(20);
    if has("link") {
        let (kernel, stop, world) = (kernel.clone(), stop.clone(), world.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                std::thread::sleep(ms(300 + world.random(700)));
                kernel.break_link(ms(world.random(50)), world.random(2) == 0);
            }
        });
    }
    if has("reset") {
        let (edge, stop, world) = (edge.clone(), stop.clone(), world.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                std::thread::sleep(ms(200 + world.random(500)));
                edge.reset_one();
            }
        });
    }
    if has("bad") {
        let (stop, world, address) = (stop.clone(), world.clone(), platform.listen);
        std::thread::spawn(move || crate::probe::bad_clients(&world, address, &stop));
    }
    if has("khang") {
        let (kernel, stop, world) = (kernel.clone(), stop.clone(), world.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                std::thread::sleep(ms(1000 + world.random(2000)));
                let length = 100 + world.random(1500);
                world.note(format!("kernel hangs {length}"));
                kernel.hang(ms(length));
            }
        });
    }
    let work: u64 = std::env::var("WORK")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(60);
    let drain_at: u64 = std::env::var("DRAIN")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(3500);
    let end = Instant::now() + Duration::from_secs(length);
    let mut next = Instant::now();
    let mut next_hup = Instant::now() + ms(1500);
    let mut repeats: Vec<(Instant, Send)> = Vec::new();
    let mut gone: Vec<(Instant, String)> = Vec::new();
    let mut next_pause = Instant::now() + ms(1000);
    let mut count = 0u64;
    let mut last_drain = None;
    while Instant::now() < end {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += Duration::from_micros(1_000_000 / rate);
        count += 1;
        let class = ["read", "order", "trigger"][world.random(3) as usize];
        let body = match world.random(4) {
            0 => format!("w{} r400 {count}", 5 + world.random(work)),
            1 => format!("w{} c w5 r400 {count}", 5 + world.random(work)),
            2 => format!("w5 c w5 c w5 r4000 {count}"),
            _ => format!("w{} r100 {count}", world.random(3)),
        };
        // One call at most for those that may not repeat it, so that a second one is a repeat.
        let body = if class == "read" {
            body
        } else {
            body.replacen("c w5 c", "c", 1)
        };
        let send = Send {
            class: class.into(),
            key: if class == "order" {
                format!("k{count}")
            } else {
                String::new()
            },
            body: body.into_bytes(),
            deadline_ms: if has("wait") {
                5 + world.random(env("DEADLINE", 2000) - 5)
            } else {
                env("DEADLINE", 2000)
            },
            says_wait: has("wait"),
            slack_ms: 80,
            work_ms: 20.0 + work as f64 / 3.0,
            need_kb: 24.5,
            is_retry: false,
        };
        let id = edge.send(&send, 8);
        if has("gone")
            && world.random(4) == 0
            && let Some(id) = id
        {
            gone.push((Instant::now() + ms(world.random(60)), id));
        }
        gone.retain(|(at, id)| {
            if *at <= Instant::now() {
                edge.give_up_any(id);
            }
            *at > Instant::now()
        });
        if has("pause") && Instant::now() > next_pause {
            let length = ms(50 + world.random(550));
            backend.signal("STOP");
            world.note(format!("backend pauses {length:?}"));
            let from = Instant::now();
            std::thread::sleep(length);
            backend.signal("CONT");
            let took = from.elapsed() + ms(5);
            for entry in world.tries.lock().unwrap().values_mut() {
                if entry.answers.is_empty() {
                    entry.due_at = entry.due_at.map(|due| due + took);
                }
            }
            next = Instant::now();
            next_pause = Instant::now() + ms(800 + world.random(2200));
        }
        if class == "order" && has("retry") && world.random(2) == 0 {
            let gaps = [1, 20, 60, 300, 1500, 2900];
            let at = Instant::now() + ms(gaps[world.random(6) as usize]);
            repeats.push((
                at,
                Send {
                    is_retry: true,
                    ..send
                },
            ));
        }
        let now = Instant::now();
        let mut rest = Vec::new();
        for (at, send) in repeats.drain(..) {
            if at <= now {
                edge.send(&send, 8);
            } else {
                rest.push((at, send));
            }
        }
        repeats = rest;
        if has("hup") && now > next_hup {
            next_hup = now + ms(1500 + world.random(2500));
            platform.kernel = kernel.listen();
            platform.store = store.listen();
            platform.write_config();
            backend.signal("HUP");
            world.note("SIGHUP");
        }
        if has("drain") && last_drain.is_none() && end - now < ms(drain_at) {
            last_drain = Some(now);
            backend.signal("TERM");
            world.note("SIGTERM");
        }
        if let Some(code) = backend.has_ended()
            && last_drain.is_none()
        {
            return Verdict::Broken(format!("ended with {code}"));
        }
    }
    std::thread::sleep(ms(2500));
    stop.store(true, Ordering::Relaxed);
    world.flush();
    let faults = check(&world, window);
    let tries = world.tries.lock().unwrap();
    let mut counts: HashMap<String, usize> = HashMap::new();
    for entry in tries.values() {
        let kind = entry
            .answers
            .first()
            .map_or("none".to_owned(), |(_, a)| format!("{a:?}"));
        *counts.entry(format!("{} {kind}", entry.class)).or_default() += 1;
    }
    println!(
        "{counts:?} refused={:?} left={}",
        edge.refused,
        kernel.running()
    );
    for fault in faults.iter().take(30) {
        println!("  {fault}");
    }
    if faults.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!("{} faults", faults.len()))
    }
}
