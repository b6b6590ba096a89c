//! The cost of a recording and of a cluster: CPU time per request and response times, with and
//! without it, in pairs of runs. Run manually, in a release build with the cores free:
//! `TULIPGAP_CORE=0 cargo test --release -p tulipgap-server --test program cost -- --ignored
//! --nocapture`

use std::time::{Duration, Instant};

use crate::harness::backend::{TestBackend, start_backend_with_settings};
use crate::harness::edge_node::{AnswerKind, ReceivedAnswer, request_fields_with};
use crate::harness::unique_address;
use crate::recording::recording_settings;

const PAIRS: usize = 9;
const EDGE_NODES: usize = 4;
const REQUESTS_PER_EDGE: u32 = 20_000;

/// CPU seconds that the threads of a process have used, by thread name.
fn cpu_seconds_by_thread(pid: u32) -> std::collections::BTreeMap<String, f64> {
    let mut all = std::collections::BTreeMap::new();
    for task in std::fs::read_dir(format!("/proc/{pid}/task"))
        .unwrap()
        .flatten()
    {
        let read = |file: &str| std::fs::read_to_string(task.path().join(file)).unwrap_or_default();
        let nanoseconds = read("schedstat")
            .split(' ')
            .next()
            .and_then(|word| word.parse::<f64>().ok());
        *all.entry(read("comm").trim().to_owned()).or_default() += nanoseconds.unwrap_or(0.0) / 1e9;
    }
    all
}

/// Measures the CPU microseconds of the process per request, those of the writer thread alone, and
/// the median and 99th percentile of the response times in microseconds.
fn measure(settings: Option<&std::path::Path>) -> [f64; 4] {
    let mut backend = start_backend_with_settings(1024, settings);
    let before = cpu_seconds_by_thread(backend.child.id());
    let edges: Vec<_> = (0..EDGE_NODES)
        .map(|edge| {
            let mut node = backend.connect();
            std::thread::spawn(move || {
                let mut times = Vec::with_capacity(REQUESTS_PER_EDGE as usize);
                for sequence in 1..=REQUESTS_PER_EDGE {
                    let start = Instant::now();
                    node.send_request(
                        sequence,
                        &format!("{:016x}", (edge as u64) << 32 | u64::from(sequence)),
                        b"run",
                    );
                    node.expect_answer(sequence, AnswerKind::Answer);
                    times.push(start.elapsed());
                }
                times
            })
        })
        .collect();
    let mut times: Vec<Duration> = edges
        .into_iter()
        .flat_map(|edge| edge.join().unwrap())
        .collect();
    let after = cpu_seconds_by_thread(backend.child.id());
    let used: f64 = after
        .iter()
        .map(|(name, used)| used - before.get(name).unwrap_or(&0.0))
        .sum();
    let writer = after
        .get("trace")
        .map_or(0.0, |used| used - before.get("trace").unwrap_or(&0.0));
    times.sort();
    let at = |part: f64| times[(times.len() as f64 * part) as usize].as_secs_f64() * 1e6;
    backend.signal("TERM");
    assert!(backend.wait_for_exit().success());
    let each = |seconds: f64| seconds * 1e6 / times.len() as f64;
    [each(used), each(writer), at(0.5), at(0.99)]
}

/// Measures with and without these settings in `count` pairs, and prints the medians.
fn compare_in_pairs(settings: &std::path::Path, count: usize) {
    let mut pairs = Vec::new();
    for pair in 0..count {
        // The order alternates, so that neither side always runs on the warmer machine.
        let (on, off) = if pair % 2 == 0 {
            let on = measure(Some(settings));
            (on, measure(None))
        } else {
            let off = measure(None);
            (measure(Some(settings)), off)
        };
        println!(
            "with {on:.1?}, without {off:.1?} (us of CPU a req, of the writer; median, 99th percentile)"
        );
        pairs.push((on, off));
    }
    for (at, name) in ["CPU a req", "of the writer", "median", "99th percentile"]
        .iter()
        .enumerate()
    {
        let mut ratios: Vec<f64> = pairs.iter().map(|(on, off)| on[at] / off[at]).collect();
        let mut more: Vec<f64> = pairs.iter().map(|(on, off)| on[at] - off[at]).collect();
        ratios.sort_by(f64::total_cmp);
        more.sort_by(f64::total_cmp);
        println!(
            "{name}: ratio {:.3}, {:+.2} us, medians of {count} pairs",
            ratios[count / 2],
            more[count / 2]
        );
    }
}

/// Compares a backend with a recording to a backend without one.
#[test]
#[ignore = "a measurement"]
fn cost_of_a_recording() {
    let (_folder, settings) = recording_settings("5s");
    compare_in_pairs(&settings, PAIRS);
}

/// Compares a member of a cluster of five with three voters to a backend without a cluster.
#[test]
#[ignore = "a measurement"]
fn cost_of_a_cluster() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(
        folder.path().join("key"),
        b"long enough to keep anybody out",
    )
    .unwrap();
    let hosts: Vec<String> = (0..5).map(|_| unique_address()).collect();
    let settings = |at: usize| {
        let path = |name: &str| folder.path().join(name).display().to_string();
        let text = format!(
            "cluster {{\n name = \"c\"\n member = \"m{at}\"\n listen = \"{}:7100\"\n region = \"r\"\n zone = \"z\"\n key = {:?}\n seeds = [\"{}:7100\"]\n voters = [\"m1\", \"m2\", \"m3\"]\n folder = {:?}\n}}\n",
            hosts[at],
            path("key"),
            hosts[1],
            path(&format!("m{at}")),
        );
        let file = folder.path().join(format!("m{at}.hcl"));
        std::fs::write(&file, text).unwrap();
        file
    };
    let _others: Vec<TestBackend> = (1..5)
        .map(|at| start_backend_with_settings(1024, Some(&settings(at))))
        .collect();
    compare_in_pairs(&settings(0), 5);
}

/// Guards against records that are lost because requests arrive faster than the recording writes
/// them: sends as many requests as an hour has at 190 per second, as fast as possible. The
/// recording must have each of them.
#[test]
#[ignore = "a measurement"]
fn an_hour_of_requests() {
    const EDGE_NODES: u32 = 6;
    const REQUESTS: u32 = 684_000;
    let (folder, settings) = recording_settings("5s");
    let mut backend = start_backend_with_settings(1024, Some(&settings));
    let start = Instant::now();
    let edges: Vec<_> = (0..EDGE_NODES)
        .map(|edge| {
            let mut node = backend.connect();
            std::thread::spawn(move || {
                for sequence in 1..=REQUESTS / EDGE_NODES {
                    let id = format!(
                        "{:016x}",
                        fastrand::u64(..) << 32 | u64::from(edge << 24 | sequence)
                    );
                    let body: &[u8] = if sequence % 5 == 0 { b"call" } else { b"run" };
                    if sequence % 11 == 0 {
                        node.send_request_with_fields(
                            sequence,
                            &request_fields_with(&id, "ms", "60000.00"),
                            body,
                        );
                    } else {
                        node.send_request(sequence, &id, body);
                    }
                    node.read_answer().unwrap();
                }
            })
        })
        .collect();
    edges.into_iter().for_each(|edge| edge.join().unwrap());
    let took = start.elapsed();
    backend.signal("TERM");
    assert!(backend.wait_for_exit().success());
    let files = std::fs::read_dir(folder.path().join("trace"))
        .unwrap()
        .flatten();
    let bytes: u64 = files.map(|file| file.metadata().unwrap().len()).sum();
    let records = crate::recording::count_records(folder.path());
    let each = bytes as f64 / records as f64;
    println!(
        "{REQUESTS} requests in {:.0} s: {records} records, {bytes} bytes, {each:.1} a record",
        took.as_secs_f64()
    );
    assert_eq!(records as u32, REQUESTS);
}

/// CPU time that all ended children of the test process have used.
fn cpu_of_ended_children() -> Duration {
    let mut usage = std::mem::MaybeUninit::<libc::rusage>::zeroed();
    // Safe: the call fills the structure, for which all values are valid.
    let usage = unsafe {
        assert_eq!(
            libc::getrusage(libc::RUSAGE_CHILDREN, usage.as_mut_ptr()),
            0
        );
        usage.assume_init()
    };
    let time = |time: libc::timeval| {
        Duration::from_secs(time.tv_sec as u64) + Duration::from_micros(time.tv_usec as u64)
    };
    time(usage.ru_utime) + time(usage.ru_stime)
}

/// Measures the CPU time per request until the process has ended, including its connections, when
/// all requests are unread at a shutdown that leaves no time to run any. `COST_CONNECTIONS` and
/// `COST_REQUESTS` set the number of connections and of requests on each.
#[test]
#[ignore = "a measurement"]
fn cost_of_a_rejection() {
    let count = |variable: &str, usual: u32| {
        std::env::var(variable).map_or(usual, |text| text.parse().unwrap())
    };
    let connections = count("COST_CONNECTIONS", 256);
    let requests = count("COST_REQUESTS", 24);
    let mut each = Vec::new();
    for _ in 0..PAIRS {
        let mut backend = crate::harness::backend::start_backend_with_changes(&[
            ("\"drain_grace\":1000.0", "\"drain_grace\":100.0"),
            ("\"stop_ms\":4000", "\"stop_ms\":500"),
        ]);
        let mut edges: Vec<_> = (0..connections).map(|_| backend.connect()).collect();
        // Once this connection is served, all connections before it are accepted.
        let mut last = backend.connect();
        last.send_request(1, "00000000ffffffff", b"run");
        last.expect_answer(1, AnswerKind::Answer);
        backend.signal("STOP");
        for (at, edge) in edges.iter_mut().enumerate() {
            for sequence in 1..=requests {
                edge.send_request(sequence, &format!("{at:08x}{sequence:08x}"), b"run");
            }
        }
        let before: f64 = cpu_seconds_by_thread(backend.child.id()).values().sum();
        let ended_before = cpu_of_ended_children();
        backend.signal("TERM");
        let started_at = Instant::now();
        backend.signal("CONT");
        for edge in &mut edges {
            let is_rejection = |answer: &ReceivedAnswer| answer.kind == AnswerKind::Rejected;
            let mut answers = std::iter::from_fn(|| edge.read_answer()).filter(is_rejection);
            assert_eq!(
                answers.by_ref().take(requests as usize).count(),
                requests as usize
            );
        }
        let answered_after = started_at.elapsed();
        assert!(backend.wait_for_exit().success());
        let used = (cpu_of_ended_children() - ended_before).as_secs_f64() - before;
        let used = used * 1e6 / f64::from(connections * requests);
        println!("{used:.2} us of CPU a request, all answered after {answered_after:.1?}");
        each.push(used);
    }
    each.sort_by(f64::total_cmp);
    println!("median {:.2} us of CPU a request", each[each.len() / 2]);
}
