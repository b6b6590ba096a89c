//! A seeded soak of the real program: clients that go on past the drain notification, signals in
//! series, crowds and troubles of its peers, up to the kill. Each seed draws a run and prints it,
//! so that it can be played again; CONTRIBUTING.md has the commands.

mod checks;
mod clients;
pub(crate) mod crowd;
pub(crate) mod delays;
mod plan;
mod process_end;

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::harness::backend::{BackendSetup, TestBackend};
use crate::harness::executor::{SharedExecutor, serve_executor};
use crate::harness::store::start_store;
use crate::harness::{EDGE_PORT, unique_address, wait_until};
use checks::{RunRecord, violations};
use clients::{Answer, run_client};
use crowd::{Crowd, CrowdKind};
use delays::Delays;
use plan::{CLOSE_MARGINS, KillMargins, RunPlan, TimedSignal, Trouble, USUAL_MARGINS};
use process_end::watch_until_kill;

/// How often descriptors are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The first seed of the long run, and its number of seeds: `SOAK_SEEDS=FIRST,COUNT`.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";
/// Set, the kill comes closer behind the grace than the program reckons with.
const CLOSE_KILL_VARIABLE: &str = "SOAK_CLOSE_KILL";
/// The kind of the crowd of each seed, such as `RequestThenHalf`: `SOAK_CROWD=KIND`.
const CROWD_VARIABLE: &str = "SOAK_CROWD";
/// Seeds of the runs about crowds in CI: two of each kind.
const CROWD_SEEDS: std::ops::Range<u64> = 40..54;
/// Seeds of the runs with a crowd and a close kill.
const CLOSE_KILL_CROWD_SEEDS: [u64; 3] = [9011, 9029, 9032];
/// Seeds of the wide run in CI.
const WIDE_SEEDS: std::ops::Range<u64> = 60..68;
/// Calls that a silent store leaves without a reply.
const SILENT_REPLIES: usize = 100;
/// Set, the runs are drawn wider: `SOAK_WIDE=1`.
const WIDE_VARIABLE: &str = "SOAK_WIDE";
/// Seeds of the run in CI.
const CI_SEEDS: std::ops::Range<u64> = 0..12;

/// Seeds of the run whose kill comes close behind the grace.
const CLOSE_KILL_SEEDS: std::ops::Range<u64> = 500..524;

impl RunPlan {
    fn start_backend(&self) -> TestBackend {
        let (grace, stop) = (self.grace.as_millis(), self.stop.as_millis());
        let is_late = self.trouble == Trouble::ExecutorLate;
        let setup = match is_late {
            true => setup_without_executor(),
            false => BackendSetup::new(),
        };
        let setup = setup
            .change("1024", &self.sockets.to_string())
            .change("\"pure\"", &format!("\"{}\"", self.effect))
            .change(
                "\"drain_grace\":1000.0",
                &format!("\"drain_grace\":{grace}.0"),
            )
            .change("\"stop_ms\":4000", &format!("\"stop_ms\":{stop}"));
        if !is_late {
            return setup.start();
        }
        let backend = setup.spawn();
        wait_until("the backend listens", || {
            TcpStream::connect((&backend.host[..], EDGE_PORT)).is_ok()
        });
        backend
    }

    /// Plays the run to the end of the process.
    fn play(&self) -> RunRecord {
        let mut backend = self.start_backend();
        let host = backend.host.clone();
        let crowd = Crowd::connect(&host, self.crowd_kind, self.crowd, self.seed << 32);
        let delays = Delays::default();
        let is_over = AtomicBool::new(false);
        let max_files = AtomicUsize::new(0);
        let mut record = std::thread::scope(|scope| {
            let clients: Vec<_> = (0u64..)
                .zip(&self.clients)
                .map(|(client, plan)| {
                    let (host, is_over) = (&host[..], &is_over);
                    let prefix = self.seed << 32 | client << 24;
                    scope.spawn(move || run_client(host, plan, prefix, is_over))
                })
                .collect();
            let process = backend.child.id();
            let (max_files, ended) = (&max_files, &is_over);
            scope.spawn(move || watch_descriptors(process, max_files, ended));
            scope.spawn(|| delays.measure(&is_over));
            scope.spawn(|| crowd.act(&is_over));
            self.send_signals(&backend, &self.signals_before);
            self.make_trouble(&backend);
            let (notice, later) = self.signals_from_notice.split_first().unwrap();
            self.send_signals(&backend, std::slice::from_ref(notice));
            let notified_at = Instant::now();
            let end = watch_until_kill(&mut backend, notified_at, later, self.stop);
            is_over.store(true, Ordering::Release);
            let requests = clients
                .into_iter()
                .flat_map(|client| client.join().unwrap())
                .collect();
            RunRecord {
                requests,
                notified_at,
                grace: self.grace,
                may_repeat: self.effect == "pure",
                ends: backend.executor().ends.clone(),
                end,
                max_files: 0,
                sockets: self.sockets,
                delays: Delays::default(),
                log: String::new(),
            }
        });
        record.requests.extend(crowd.into_requests());
        record.log = backend.read_log();
        record.delays = delays;
        record.max_files = max_files.load(Ordering::Acquire);
        record
    }

    fn send_signals(&self, backend: &TestBackend, signals: &[TimedSignal]) {
        for signal in signals {
            std::thread::sleep(signal.after);
            backend.signal(signal.name);
            if signal.name == "STOP" {
                std::thread::sleep(Duration::from_millis(100));
                backend.signal("CONT");
            }
        }
    }

    fn make_trouble(&self, backend: &TestBackend) {
        match self.trouble {
            Trouble::None => {}
            Trouble::ExecutorLinkBreaks => {
                if let Some(link) = backend.executor().link.take() {
                    let _ = link.shutdown(std::net::Shutdown::Both);
                }
            }
            Trouble::StoreDown => backend.store.is_down.store(true, Ordering::Release),
            Trouble::StoreSilent => backend.store.plan_replies(&[""; SILENT_REPLIES]),
            Trouble::ExecutorLate => {
                serve_executor(backend.executor.clone(), &backend.host);
            }
        }
    }
}

/// A backend whose executor does not listen yet.
fn setup_without_executor() -> BackendSetup {
    let host = unique_address();
    let store = start_store(&host);
    BackendSetup::with_peers(host, SharedExecutor::default(), store)
}

fn watch_descriptors(process: u32, max_files: &AtomicUsize, is_over: &AtomicBool) {
    while !is_over.load(Ordering::Acquire) {
        if let Ok(files) = std::fs::read_dir(format!("/proc/{process}/fd")) {
            max_files.fetch_max(files.count(), Ordering::AcqRel);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// How many requests got which answer.
fn summary(record: &RunRecord) -> String {
    let count = |answer| {
        let requests = record.requests.iter();
        requests
            .filter(|request| request.answers == [answer])
            .count()
    };
    format!(
        "{} requests, {} served, {} rejected, {} failed",
        record.requests.len(),
        count(Answer::Served),
        count(Answer::Rejected),
        count(Answer::Failed)
    )
}

/// Plays these runs; fails where one broke a rule.
fn soak(plans: impl Iterator<Item = RunPlan>) {
    let mut broken = Vec::new();
    let (mut runs, mut requests) = (0, 0);
    for plan in plans {
        let record = plan.play();
        runs += 1;
        requests += record.requests.len();
        let violations = violations(&record);
        let RunRecord { end, max_files, .. } = &record;
        println!(
            "seed {}: {}, exit {:?} after {:.2?}, {max_files} descriptors",
            plan.seed,
            summary(&record),
            end.exit_code,
            end.after
        );
        if !violations.is_empty() {
            println!("{plan:#?}\nVIOLATED {violations:#?}");
            println!("broken: {} violations", violations.len());
            println!("{}", record.log);
            broken.push(plan.seed);
        }
    }
    println!("soak: {runs} runs, {requests} requests, broken: {broken:?}");
    assert!(broken.is_empty(), "seeds {broken:?} broke a rule");
}

fn draw_all(seeds: std::ops::Range<u64>, margins: KillMargins) -> impl Iterator<Item = RunPlan> {
    seeds.map(move |seed| RunPlan::draw(seed, margins))
}

/// The runs of CI behind crowds of these kinds, two of each.
fn draw_crowds(is_chosen: impl Fn(CrowdKind) -> bool) -> impl Iterator<Item = RunPlan> {
    CROWD_SEEDS
        .zip(CrowdKind::ALL.into_iter().cycle())
        .filter(move |(_, kind)| is_chosen(*kind))
        .map(|(seed, kind)| RunPlan::draw(seed, USUAL_MARGINS).with_crowd(kind))
}

/// The rules of the service hold on drawn runs up to the kill.
#[test]
fn the_four_rules_hold_in_a_short_soak() {
    soak(draw_all(CI_SEEDS, USUAL_MARGINS));
}

/// Guards against a platform whose kill comes sooner behind the grace than the program reckons
/// with: it is to have answered everything and to have ended by then.
#[test]
fn the_four_rules_hold_with_a_kill_close_behind_the_grace() {
    soak(draw_all(CLOSE_KILL_SEEDS, CLOSE_MARGINS));
}

/// Guards against connections that keep their places at a shutdown while requests wait behind them
/// in the backlog, whatever their callers sent before or leave unread.
#[test]
fn the_four_rules_hold_behind_each_kind_of_crowd() {
    soak(draw_crowds(|kind| kind != CrowdKind::RepliesNeverRead));
}

/// Guards against the same where each connection of the crowd has 24 requests: thousands are to be
/// answered in the second of the shutdown.
#[test]
fn the_four_rules_hold_behind_a_crowd_that_reads_no_replies() {
    soak(draw_crowds(|kind| kind == CrowdKind::RepliesNeverRead));
}

/// Guards against requests that are lost where each of hundreds of connections has many of them and
/// the kill leaves a tenth of a second for all.
#[test]
fn the_four_rules_hold_behind_unread_replies_with_a_close_kill() {
    let plans = CLOSE_KILL_CROWD_SEEDS.map(|seed| RunPlan::draw(seed, CLOSE_MARGINS));
    let with_crowd = |plan: RunPlan| plan.with_crowd(CrowdKind::RepliesNeverRead);
    soak(plans.into_iter().map(with_crowd));
}

/// Guards against requests that are lost among the troubles which the usual runs do not have.
#[test]
fn the_four_rules_hold_in_a_wider_soak() {
    soak(WIDE_SEEDS.map(RunPlan::draw_wide));
}

/// The long run, by hand.
#[test]
#[ignore = "takes as long as it is told: SOAK_SEEDS=FIRST,COUNT"]
fn the_four_rules_hold_in_a_long_soak() {
    let seeds = std::env::var(SEEDS_VARIABLE).unwrap_or_else(|_| "1000,50".to_owned());
    let (first, count) = seeds.split_once(',').expect("SOAK_SEEDS=FIRST,COUNT");
    let (first, count): (u64, u64) = (first.parse().unwrap(), count.parse().unwrap());
    let margins = match std::env::var_os(CLOSE_KILL_VARIABLE) {
        Some(_) => CLOSE_MARGINS,
        None => USUAL_MARGINS,
    };
    let kind = std::env::var(CROWD_VARIABLE).ok().map(|name| {
        let mut kinds = CrowdKind::ALL.into_iter();
        let is_named = |kind: &CrowdKind| format!("{kind:?}") == name;
        kinds.find(is_named).expect("SOAK_CROWD=KIND")
    });
    if std::env::var_os(WIDE_VARIABLE).is_some() {
        return soak((first..first + count).map(RunPlan::draw_wide));
    }
    soak(
        draw_all(first..first + count, margins).map(|plan| match kind {
            Some(kind) => plan.with_crowd(kind),
            None => plan,
        }),
    );
}
