//! The kernel of a backend takes requests and answers none for a while, and then works as before.
//! The backend then has to serve again.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use review_stand::case::{BROKEN, Case, HELD};
use review_stand::edge::{Connection, Request};
use review_stand::kernel::Kernel;
use review_stand::platform::{Backend, Config, free_address, start_announce_service};
use review_stand::store::Store;
use review_stand::thrift::Answer;

/// Requests a second: less than half of what eight cores can do.
const RATE: f64 = 40.0;
/// How long the kernel hangs. The page: 6.5 to 23 s.
const HANG: Duration = Duration::from_secs(18);
const BEFORE: Duration = Duration::from_secs(8);
/// The time after the hang that does not count.
const RECOVERY: Duration = Duration::from_secs(10);
/// The last third of the case's 54 s.
const LAST: Duration = Duration::from_secs(18);

/// A handler: its name, the work before and after its call in milliseconds, its client timeout.
struct Handler(&'static str, f64, f64);

const REPAYMENT: Handler = Handler("repayment", 27.0, 1070.0);
const SCHEDULE: Handler = Handler("schedule", 46.0, 1870.0);
const SAVE_QUOTE: Handler = Handler("save-quote", 46.0, 1870.0);

fn settings() -> String {
    // As at nairobi-calc, its times scaled to a real backend (service/LATER.md).
    r#"{"classes":[
      {"name":"repayment","objective":330.0,"deadline":1070.0,"worth":1.0,"late_worth":0.0,"effect":"pure"},
      {"name":"schedule","objective":560.0,"deadline":1870.0,"worth":2.0,"late_worth":0.0,"effect":"pure"},
      {"name":"save-quote","objective":560.0,"deadline":1870.0,"worth":5.0,"late_worth":0.0,"effect":"token","memory_span":8000.0,"write":true}],
     "clients":{"marks_retry":false},
     "family_info":{"below":"tier","class_calls":[true,true,true],"class_skip_worth":[0.0,0.0,0.0],"blowup":8.0,"callers":8,
      "cores":8,"mem_limit_kb":32000.0,"halt":"pause","idle":8000.0,"say":"silent","list_follows":true,"cancel_seen":true,
      "passes_deadline":true,"entry_kb":37.0,"own_stats":["core_use","on_cores","heap_share","links"]},
     "fleet_size":6,"limits":{"retry_after":true,"max_retry_after":1000.0},
     "rules":{"cold_from":0.22,"warm_up":16000.0,"drain_grace":2500.0,"fall":2000.0,"fall_multiple":8.0,"grace_to_answer":80.0},
     "tenants":[]}"#
        .lines()
        .map(str::trim)
        .collect()
}

/// Sends requests for `time` and returns how many were served, and how many were sent.
fn send_for(case: &Case, edge: &mut Connection, name: &str, time: Duration) -> (usize, usize) {
    let start = Instant::now();
    let (mut sent, mut sequences) = (0usize, Vec::new());
    while start.elapsed() < time {
        // The shares of the handlers at the site: 44, 34 and 22 in 100.
        let Handler(class, work, patience) = match sent % 9 {
            0 | 2 | 4 | 6 => REPAYMENT,
            1 | 5 | 8 => SCHEDULE,
            _ => SAVE_QUOTE,
        };
        let mut request = Request::new(class, &format!("work={work} calls=1"));
        request.work_ms = None;
        request.wait_ms = Some(patience);
        request.key = (class == SAVE_QUOTE.0).then(|| format!("key-{}", request.id));
        // One connection carries up to 32 open requests.
        if edge.open_requests() < 32 {
            sent += 1;
            sequences.extend(edge.send(&request).ok());
        }
        std::thread::sleep(Duration::from_secs_f64(1.0 / RATE));
    }
    let mut served = 0;
    for sequence in &sequences {
        let answer = edge.answer(*sequence, Duration::from_secs(3));
        served += usize::from(answer.is_some_and(|answer| answer.word() == "served"));
    }
    case.say(format!("{name}: {served} of {sent} requests served"));
    (served, sent)
}

fn run(case: &Case) -> std::io::Result<u8> {
    let kernel = Kernel::start("127.0.0.2", 8, false, &case.record)?;
    let store = Store::start("127.0.0.3", Duration::from_millis(5), &case.record)?;
    let config = Config {
        name: "n1".to_owned(),
        listen: free_address("127.0.0.4")?,
        kernel: kernel.address,
        store: store.address,
        announce: start_announce_service("127.0.0.5")?,
        stop_ms: 3400,
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
    // The kernel learns which requests are over, as on the protocol page.
    let shared = kernel.clone();
    let tell = Arc::new(move |id: &str| shared.request_is_over(id));
    let mut edge = Connection::open_with(config.listen, &case.record, tell)?;
    let before = send_for(case, &mut edge, "before", BEFORE);
    case.require(
        before.0 * 10 >= before.1 * 9,
        "the backend serves before the disruption",
    );
    if case.trouble {
        case.say(format!(
            "the kernel takes requests and answers none for {} s",
            HANG.as_secs()
        ));
        kernel.state.lock().unwrap().hangs = true;
    }
    send_for(case, &mut edge, "meanwhile (does not count)", HANG);
    kernel.state.lock().unwrap().hangs = false;
    case.say("the kernel works as before");
    send_for(case, &mut edge, "recovery (does not count)", RECOVERY);
    let (served, sent) = send_for(case, &mut edge, "the last third", LAST);
    let is_up = backend.exit().is_none();
    if is_up {
        let mut check = Connection::open(config.listen, &case.record)?;
        let sequence = check.probe(true)?;
        let answer = check.answer(sequence, Duration::from_secs(3));
        let is_good = matches!(answer, Some(Answer::Served { good: true, .. }));
        let runs = kernel.running();
        case.say(format!(
            "a deep health check says good: {is_good}; runs in the kernel: {runs}"
        ));
    }
    // FLEET.md: a fifth for each third of a day of what a policy serves that sees the true state
    // late. In the last third the kernel works and is idle, so such a policy serves everything. A
    // backend that has ended has crashed.
    Ok(if served * 5 < sent || !is_up {
        BROKEN
    } else {
        HELD
    })
}

fn main() -> ExitCode {
    Case::main(PathBuf::from(env!("CARGO_MANIFEST_DIR")), run)
}
