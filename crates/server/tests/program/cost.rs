//! What a recording costs, pair by pair: CPU of the process for a req and response times, with it and without. Run by
//! hand, in a release build with the cores free:
//! `cargo test --release -p tulipgap-server --test program cost -- --ignored --nocapture`

use std::time::{Duration, Instant};

use crate::recording::recorded;
use crate::stand::*;

const PAIRS: usize = 9;
const EDGES: usize = 4;
const EACH: u32 = 20_000;

/// CPU seconds that a process has used.
fn cpu(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    // User and system time, in hundredths of a second.
    fields[11..13].iter().map(|ticks| ticks.parse::<f64>().unwrap()).sum::<f64>() / 100.0
}

/// CPU microseconds a req, and the median and 99th percentile of response times in microseconds.
fn measured(settings: Option<&std::path::Path>) -> [f64; 3] {
    let mut stand = stand_told(1024, settings);
    let before = cpu(stand.child.id());
    let edges: Vec<_> = (0..EDGES)
        .map(|edge| {
            let mut node = stand.edge();
            std::thread::spawn(move || {
                let mut times = Vec::with_capacity(EACH as usize);
                for sequence in 1..=EACH {
                    let start = Instant::now();
                    node.req(
                        sequence,
                        &format!("{:016x}", (edge as u64) << 32 | u64::from(sequence)),
                        b"run",
                    );
                    node.expect(sequence, Kind::Answer);
                    times.push(start.elapsed());
                }
                times
            })
        })
        .collect();
    let mut times: Vec<Duration> = edges.into_iter().flat_map(|edge| edge.join().unwrap()).collect();
    let used = cpu(stand.child.id()) - before;
    times.sort();
    let at = |part: f64| times[(times.len() as f64 * part) as usize].as_secs_f64() * 1e6;
    stand.signal("TERM");
    assert!(stand.ended().success());
    [used * 1e6 / times.len() as f64, at(0.5), at(0.99)]
}

#[test]
#[ignore = "a measurement"]
fn cost_of_a_recording() {
    let (_folder, settings) = recorded("5s");
    let mut pairs = Vec::new();
    for pair in 0..PAIRS {
        // Which comes first changes, so that neither has the warmer machine.
        let (on, off) = if pair % 2 == 0 {
            let on = measured(Some(&settings));
            (on, measured(None))
        } else {
            let off = measured(None);
            (measured(Some(&settings)), off)
        };
        println!("with {on:.1?}, without {off:.1?} (us of CPU a req, median, 99th percentile)");
        pairs.push((on, off));
    }
    for (at, what) in ["CPU a req", "median", "99th percentile"].iter().enumerate() {
        let mut ratios: Vec<f64> = pairs.iter().map(|(on, off)| on[at] / off[at]).collect();
        let mut more: Vec<f64> = pairs.iter().map(|(on, off)| on[at] - off[at]).collect();
        ratios.sort_by(f64::total_cmp);
        more.sort_by(f64::total_cmp);
        println!(
            "{what}: ratio {:.3}, {:+.2} us, medians of {PAIRS} pairs",
            ratios[PAIRS / 2],
            more[PAIRS / 2]
        );
    }
}
