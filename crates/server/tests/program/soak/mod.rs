//! A soak of the real program. Each seed samples a run: clients that keep sending after the drain
//! notification, a series of signals, a connection flood and a fault of a peer, up to the kill. A
//! run that violates a rule is printed with its seed, so that it can be replayed; CONTRIBUTING.md
//! has the commands.

mod checks;
mod clients;
pub(crate) mod connection_flood;
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
use connection_flood::{ConnectionFlood, FloodKind};
use delays::Delays;
use plan::{DEFAULT_MARGINS, KillMargins, PeerFault, RunPlan, SHORT_MARGINS, TimedSignal};
use process_end::watch_until_kill;

/// How often the descriptors of the process are counted.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The first seed and the number of seeds of the long run: `SOAK_SEEDS=FIRST,COUNT`.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";
/// If set, the kill follows the end of the drain grace by less than the 500 ms that the program
/// reserves before the kill.
const SHORT_MARGIN_VARIABLE: &str = "SOAK_CLOSE_KILL";
/// The kind of the connection flood of each run, such as `RequestThenHalf`: `SOAK_CROWD=KIND`.
const FLOOD_KIND_VARIABLE: &str = "SOAK_CROWD";
/// Seeds of the runs with connection floods in CI: two for each kind.
const FLOOD_SEEDS: std::ops::Range<u64> = 40..54;
/// Seeds of the runs with a connection flood and a short kill margin.
const SHORT_MARGIN_FLOOD_SEEDS: [u64; 3] = [9011, 9029, 9032];
/// Seeds of the runs that [`RunPlan::sample_wide`] samples in CI.
const WIDE_SEEDS: std::ops::Range<u64> = 60..68;
/// Number of calls to which a silent store does not reply.
const UNANSWERED_CALLS: usize = 100;
/// If set, the runs are sampled by [`RunPlan::sample_wide`]: `SOAK_WIDE=1`.
const WIDE_VARIABLE: &str = "SOAK_WIDE";
/// Seeds of the short soak in CI.
const CI_SEEDS: std::ops::Range<u64> = 0..12;

/// Seeds of the runs with a short kill margin.
const SHORT_MARGIN_SEEDS: std::ops::Range<u64> = 500..524;

impl RunPlan {
    fn start_backend(&self) -> TestBackend {
        let (grace, stop) = (self.grace.as_millis(), self.stop.as_millis());
        let is_late = self.peer_fault == PeerFault::ExecutorLate;
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

    /// Executes the run until the process has ended, and returns its record.
    fn run(&self) -> RunRecord {
        let mut backend = self.start_backend();
        let host = backend.host.clone();
        let flood = ConnectionFlood::connect(
            &host,
            self.flood_kind,
            self.flood_connections,
            self.seed << 32,
        );
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
            scope.spawn(|| flood.drive_connections(&is_over));
            self.send_signals(&backend, &self.signals_before);
            self.inject_peer_fault(&backend);
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
        record.requests.extend(flood.into_requests());
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

    fn inject_peer_fault(&self, backend: &TestBackend) {
        match self.peer_fault {
            PeerFault::None => {}
            PeerFault::ExecutorLinkBreaks => {
                if let Some(link) = backend.executor().link.take() {
                    let _ = link.shutdown(std::net::Shutdown::Both);
                }
            }
            PeerFault::StoreDown => backend.store.is_down.store(true, Ordering::Release),
            PeerFault::StoreSilent => backend.store.plan_replies(&[""; UNANSWERED_CALLS]),
            PeerFault::ExecutorLate => {
                serve_executor(backend.executor.clone(), &backend.host);
            }
        }
    }
}

/// The setup of a backend whose executor does not listen yet.
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

/// Counts the requests of a run by answer.
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

/// Executes these runs; panics if one of them violates a rule.
fn run_plans(plans: impl Iterator<Item = RunPlan>) {
    let mut failed_seeds = Vec::new();
    let (mut runs, mut requests) = (0, 0);
    for plan in plans {
        let record = plan.run();
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
            failed_seeds.push(plan.seed);
        }
    }
    println!("soak: {runs} runs, {requests} requests, broken: {failed_seeds:?}");
    assert!(
        failed_seeds.is_empty(),
        "seeds {failed_seeds:?} broke a rule"
    );
}

fn sample_plans(
    seeds: std::ops::Range<u64>,
    margins: KillMargins,
) -> impl Iterator<Item = RunPlan> {
    seeds.map(move |seed| RunPlan::sample(seed, margins))
}

/// Samples the runs of CI with connection floods of these kinds, two for each kind.
fn sample_flood_plans(is_included: impl Fn(FloodKind) -> bool) -> impl Iterator<Item = RunPlan> {
    FLOOD_SEEDS
        .zip(FloodKind::ALL.into_iter().cycle())
        .filter(move |(_, kind)| is_included(*kind))
        .map(|(seed, kind)| RunPlan::sample(seed, DEFAULT_MARGINS).with_flood(kind))
}

/// Guards against lost requests, duplicate effects, a shutdown that is not graceful and too many
/// descriptors, which come about when signals, clients, floods and a fault of a peer coincide in an
/// order that no other test has.
#[test]
fn the_four_rules_hold_in_a_short_soak() {
    run_plans(sample_plans(CI_SEEDS, DEFAULT_MARGINS));
}

/// Guards against requests that are lost because the kill follows the end of the drain grace by
/// less than the 500 ms that the program reserves. The program must have answered every request and
/// exited by the kill.
#[test]
fn the_four_rules_hold_with_a_short_kill_margin() {
    run_plans(sample_plans(SHORT_MARGIN_SEEDS, SHORT_MARGINS));
}

/// Guards against requests in the backlog that are lost at a shutdown because the connections of a
/// flood stay open and occupy the descriptors, whatever the clients of the flood have sent.
#[test]
fn the_four_rules_hold_during_each_kind_of_connection_flood() {
    run_plans(sample_flood_plans(|kind| {
        kind != FloodKind::RepliesNeverRead
    }));
}

/// Guards against requests that are lost at a shutdown because half of the connections of a flood
/// have 24 requests each and do not read the replies. The program must answer these thousands of
/// requests before the kill.
#[test]
fn the_four_rules_hold_during_a_connection_flood_with_unread_replies() {
    run_plans(sample_flood_plans(|kind| {
        kind == FloodKind::RepliesNeverRead
    }));
}

/// Guards against lost requests when hundreds of connections have 24 requests each and the kill
/// leaves a tenth of a second for all of them.
#[test]
fn the_four_rules_hold_with_unread_replies_and_a_short_kill_margin() {
    let plans = SHORT_MARGIN_FLOOD_SEEDS.map(|seed| RunPlan::sample(seed, SHORT_MARGINS));
    let with_flood = |plan: RunPlan| plan.with_flood(FloodKind::RepliesNeverRead);
    run_plans(plans.into_iter().map(with_flood));
}

/// Guards against violations of the four rules under the faults that only [`RunPlan::sample_wide`]
/// samples, such as connections that clients reset, a store that does not reply and an executor
/// that listens late.
#[test]
fn the_four_rules_hold_in_a_wider_soak() {
    run_plans(WIDE_SEEDS.map(RunPlan::sample_wide));
}

/// Guards against violations of the four rules that the few seeds of CI do not meet. It runs as
/// many seeds as `SOAK_SEEDS` says, and is started manually.
#[test]
#[ignore = "runs as many seeds as SOAK_SEEDS=FIRST,COUNT says"]
fn the_four_rules_hold_in_a_long_soak() {
    let seeds = std::env::var(SEEDS_VARIABLE).unwrap_or_else(|_| "1000,50".to_owned());
    let (first, count) = seeds.split_once(',').expect("SOAK_SEEDS=FIRST,COUNT");
    let (first, count): (u64, u64) = (first.parse().unwrap(), count.parse().unwrap());
    let margins = match std::env::var_os(SHORT_MARGIN_VARIABLE) {
        Some(_) => SHORT_MARGINS,
        None => DEFAULT_MARGINS,
    };
    let kind = std::env::var(FLOOD_KIND_VARIABLE).ok().map(|name| {
        let mut kinds = FloodKind::ALL.into_iter();
        let is_named = |kind: &FloodKind| format!("{kind:?}") == name;
        kinds.find(is_named).expect("SOAK_CROWD=KIND")
    });
    if std::env::var_os(WIDE_VARIABLE).is_some() {
        return run_plans((first..first + count).map(RunPlan::sample_wide));
    }
    run_plans(
        sample_plans(first..first + count, margins).map(|plan| match kind {
            Some(kind) => plan.with_flood(kind),
            None => plan,
        }),
    );
}
