//! A link to the kernel that breaks now and then, with commands of its last 50 ms lost.

use std::time::{Duration, Instant};

use crate::backend::Platform;
use crate::edge::{Edge, Send};
use crate::kernel::{Kernel, KernelRules};
use crate::store::Store;
use crate::world::{Answer, World, ms};
use crate::{Place, Verdict};

const RATE: u64 = 120;
const DEADLINE_MS: u64 = 4500;
/// The three thirds of a run: before, with the breaks, and after them.
const THIRD: Duration = Duration::from_secs(28);
/// The link breaks once in this time.
const BREAK_EVERY: Duration = Duration::from_secs(8);
/// Commands of so long before a break may be lost.
const LOST: Duration = Duration::from_millis(45);

pub fn run(place: &Place) -> Verdict {
    let world = World::new(&place.case.join("record.txt"), 7);
    let rules = KernelRules {
        can_halt: true,
        can_skip: true,
        state: "steady",
    };
    let (kernel, kernel_address) = Kernel::start(&world, rules);
    let store_address = Store::start(&world, 10);
    let mut platform = Platform::new(&place.root, &place.folder, kernel_address, store_address);
    platform.settings = crate::lockout::settings();
    let mut backend = platform.start();
    let edge = Edge::new(&world, platform.listen);
    if !edge.wait_until_healthy(Duration::from_secs(20)) {
        return Verdict::CouldNotRun("the backend is not healthy".into());
    }
    let start = Instant::now();
    if place.trouble {
        let (kernel, world) = (kernel.clone(), world.clone());
        // `LOSE_ALL=1` is a kernel that does not answer for the gauges in that time either.
        let loses_all = crate::env("LOSE_ALL", 0) == 1;
        std::thread::spawn(move || {
            std::thread::sleep(THIRD);
            while start.elapsed() < 2 * THIRD - BREAK_EVERY {
                std::thread::sleep(BREAK_EVERY - LOST);
                let lost = kernel.break_link(LOST, loses_all);
                world.note(format!("{lost} commands were lost"));
            }
        });
    }
    let mut next = Instant::now();
    let mut count = 0u64;
    let mut sent = Vec::new();
    while start.elapsed() < 3 * THIRD {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += Duration::from_micros(1_000_000 / RATE);
        kernel.sweep();
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
        if let Some(id) = edge.send(&send, 8) {
            sent.push((start.elapsed(), id));
        }
        if let Some(code) = backend.has_ended() {
            return Verdict::Broken(format!("the backend ended with {code}"));
        }
    }
    std::thread::sleep(ms(DEADLINE_MS + 500));
    let mut thirds = [(0u32, 0u32, 0u32); 3];
    for (at, id) in &sent {
        let third = ((at.as_secs_f64() / THIRD.as_secs_f64()) as usize).min(2);
        thirds[third].0 += 1;
        let answer = world.with(id, |entry| entry.answers.first().map(|(_, answer)| *answer));
        match answer.flatten() {
            Some(Answer::Served) => thirds[third].1 += 1,
            None => thirds[third].2 += 1,
            _ => {}
        }
    }
    let text = format!(
        "served {} of {} before, {} of {} with the breaks, {} of {} after them; without an answer {}; running in the kernel {}; a deep health check says {:?}",
        thirds[0].1,
        thirds[0].0,
        thirds[1].1,
        thirds[1].0,
        thirds[2].1,
        thirds[2].0,
        thirds.iter().map(|third| third.2).sum::<u32>(),
        kernel.running(),
        edge.probe(ms(3000))
    );
    println!("{text}");
    world.note(&text);
    world.flush();
    // A fifth of what a policy serves that sees the true state: all, since the kernel is idle.
    if thirds[2].1 * 5 < thirds[2].0 {
        Verdict::Broken("hardly anything is served any more".into())
    } else {
        Verdict::Held
    }
}
