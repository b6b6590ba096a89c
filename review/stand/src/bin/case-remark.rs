//! The kernel sends one long remark, which has no meaning. The backend then has to serve as before.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use review_stand::case::{BROKEN, Case, HELD};
use review_stand::edge::{Connection, Request};
use review_stand::kernel::Kernel;
use review_stand::platform::{Backend, Config, free_address, start_announce_service};
use review_stand::store::Store;

/// Requests a second of the edge node: a twentieth of what two cores can do at 10 ms each.
const RATE: u32 = 10;
// Three thirds of 10 s: 10 s of load, the remark and 2 s of quiet, 8 s and 10 s of load.
const FIRST: Duration = Duration::from_secs(10);
const SECOND: Duration = Duration::from_secs(8);
const LAST: Duration = Duration::from_secs(10);
/// The work of a request in the kernel, and what the edge node states, in milliseconds.
const WORK_MS: f64 = 10.0;
/// The length of the remark's text in bytes: a little more than the longest result.
const LONG_REMARK_BYTES: usize = 4200;
const SHORT_REMARK_BYTES: usize = 60;

fn settings() -> String {
    // As at reader-brittany, with two cores and short work.
    r#"{"classes":[
      {"name":"preview-page","objective":1800.0,"deadline":4500.0,"worth":1.0,"late_worth":0.0,"effect":"pure"},
      {"name":"subscriber-page","objective":1800.0,"deadline":4500.0,"worth":2.0,"late_worth":0.2,"effect":"pure"},
      {"name":"bought-page","objective":1800.0,"deadline":4500.0,"worth":3.0,"late_worth":0.2,"effect":"pure"}],
     "clients":{"marks_retry":true},
     "family_info":{"below":"shared","calls_out":6.0,"share_span":5000.0,"stays_for":200.0,"class_calls":[true,false,true],
      "class_skip_worth":[0.5,0.0,0.6],"blowup":16.0,"callers":3,"cores":2,"mem_limit_kb":20256.0,"halt":"drop","idle":15000.0,
      "say":"weight","entry_kb":138.43,"own_stats":["core_use","on_cores","heap_share","links"]},
     "fleet_size":10,"limits":{"retry_after":true,"max_retry_after":1000.0},
     "rules":{"cold_from":0.26,"warm_up":18000.0,"drain_grace":2500.0,"fall":3000.0,"fall_multiple":8.0,"grace_to_answer":80.0},
     "tenants":[]}"#
        .lines()
        .map(str::trim)
        .collect()
}

/// What an edge node got for its requests of this time: served, and sent.
fn send_for(case: &Case, edge: &mut Connection, name: &str, time: Duration) -> (usize, usize) {
    let start = Instant::now();
    let (mut sent, mut sequences) = (0, Vec::new());
    while start.elapsed() < time {
        let mut request = Request::new("subscriber-page", &format!("work={WORK_MS}"));
        request.work_ms = Some(WORK_MS);
        sent += 1;
        sequences.extend(edge.send(&request).ok());
        std::thread::sleep(Duration::from_secs(1) / RATE);
    }
    let mut served = 0;
    for sequence in &sequences {
        let answer = edge.answer(*sequence, Duration::from_secs(6));
        served += usize::from(answer.is_some_and(|answer| answer.word() == "served"));
    }
    case.say(format!("{name}: {served} of {sent} requests served"));
    (served, sent)
}

fn run(case: &Case) -> std::io::Result<u8> {
    let kernel = Kernel::start("127.0.0.2", 2, true, &case.record)?;
    let store = Store::start("127.0.0.3", Duration::from_millis(2), &case.record)?;
    let config = Config {
        name: "n1".to_owned(),
        listen: free_address("127.0.0.4")?,
        kernel: kernel.address,
        store: store.address,
        announce: start_announce_service("127.0.0.5")?,
        stop_ms: 3200,
        memory_mb: 64,
        sockets: 384,
        settings: settings(),
    };
    let mut backend = Backend::start(&case.root, &case.folder, &config, &case.record)?;
    case.require(
        backend.wait_until_listening(Duration::from_secs(30)),
        "the backend listens",
    );
    std::thread::sleep(Duration::from_secs(2));
    let mut edge = Connection::open(config.listen, &case.record)?;
    let first = send_for(case, &mut edge, "before", FIRST);
    case.require(
        first.0 * 10 >= first.1 * 9,
        "the backend serves before the disruption",
    );
    // Without the disruption the remark is short.
    let length = if case.trouble {
        LONG_REMARK_BYTES
    } else {
        SHORT_REMARK_BYTES
    };
    case.say(format!("the kernel sends a remark of {length} bytes"));
    kernel.remark(&"word ".repeat(length / 5));
    std::thread::sleep(Duration::from_secs(2));
    send_for(case, &mut edge, "after it", SECOND);
    let (served, sent) = send_for(case, &mut edge, "the last third", LAST);
    let is_up = backend.exit().is_none();
    case.say(format!(
        "the backend still runs: {is_up}; runs in the kernel at the end: {}",
        kernel.running()
    ));
    case.say(format!("links that the kernel saw: {}", kernel.links()));
    // FLEET.md: a fifth for each third of a day of what a policy serves that sees the true state
    // late. In the last third the kernel is idle, so such a policy serves everything. A backend
    // that has ended has crashed.
    Ok(if served * 5 < sent || !is_up {
        BROKEN
    } else {
        HELD
    })
}

fn main() -> ExitCode {
    Case::main(PathBuf::from(env!("CARGO_MANIFEST_DIR")), run)
}
