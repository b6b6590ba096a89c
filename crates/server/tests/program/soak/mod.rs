//! A seeded soak of the real program: clients that go on past the drain notification, signals in
//! series, crowds and troubles of its peers, up to the kill. Each seed draws a run and prints it,
//! so that it can be played again; CONTRIBUTING.md has the commands.

mod checks;
mod clients;
pub(crate) mod crowd;
pub(crate) mod delays;
mod process_end;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::harness::backend::{BackendSetup, TestBackend};
use checks::{RunRecord, violations};
use clients::{Answer, ClientPlan, run_client};
use crowd::{Crowd, CrowdKind};
use delays::Delays;
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
/// Seeds of the run in CI.
const CI_SEEDS: std::ops::Range<u64> = 0..12;

/// Seeds of the run whose kill comes close behind the grace.
const CLOSE_KILL_SEEDS: std::ops::Range<u64> = 500..524;

/// Connections of a crowd in the runs that are about crowds.
const CROWD_CONNECTIONS: std::ops::Range<usize> = 300..900;

/// From the end of the drain grace to the kill, in milliseconds: one of them is drawn.
#[derive(Clone, Copy, Debug)]
struct KillMargins(&'static [u64]);

/// Longer than the time before the kill in which the program starts nothing more.
const USUAL_MARGINS: KillMargins = KillMargins(&[600, 700, 1000, 2000]);
/// Shorter than that.
const CLOSE_MARGINS: KillMargins = KillMargins(&[100, 300, 450]);

/// What is wrong with a peer of the backend for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// The executor's link breaks.
    ExecutorLinkBreaks,
    /// The store closes all its connections.
    StoreDown,
}

/// A signal to the backend, after a pause behind the one before.
#[derive(Clone, Copy, Debug)]
struct TimedSignal {
    after: Duration,
    name: &'static str,
}

/// One run, drawn from a seed.
#[derive(Debug)]
struct RunPlan {
    seed: u64,
    sockets: usize,
    effect: &'static str,
    grace: Duration,
    /// From the first SIGTERM to the kill.
    stop: Duration,
    clients: Vec<ClientPlan>,
    /// Connections of the crowd.
    crowd: usize,
    crowd_kind: CrowdKind,
    trouble: Trouble,
    /// Before the shutdown notice.
    signals_before: Vec<TimedSignal>,
    /// The shutdown notice is the first of them.
    signals_from_notice: Vec<TimedSignal>,
}

fn milliseconds(rng: &mut fastrand::Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

impl RunPlan {
    fn draw(seed: u64, margins: KillMargins) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let grace = Duration::from_millis(rng.choice([100, 300, 1000]).unwrap());
        let margin = Duration::from_millis(*rng.choice(margins.0).unwrap());
        let clients = (0..rng.usize(2..9)).map(|_| ClientPlan::draw(&mut rng));
        let clients = clients.collect();
        let before = ["HUP", "HUP", "STOP"];
        let signals_before = (0..rng.usize(0..4)).map(|_| TimedSignal {
            after: milliseconds(&mut rng, 0..200),
            name: rng.choice(before).unwrap(),
        });
        let signals_before = signals_before.collect();
        let notice = TimedSignal {
            after: milliseconds(&mut rng, 50..600),
            name: "TERM",
        };
        let behind = (0..rng.usize(0..4)).map(|_| TimedSignal {
            after: milliseconds(&mut rng, 0..300),
            name: rng.choice(["TERM", "HUP"]).unwrap(),
        });
        let signals_from_notice = std::iter::once(notice).chain(behind).collect();
        RunPlan {
            seed,
            sockets: rng.choice([128, 256, 1024]).unwrap(),
            effect: rng.choice(["pure", "side_effect"]).unwrap(),
            grace,
            stop: grace + margin,
            clients,
            crowd: match rng.u8(..3) {
                0 => rng.usize(100..600),
                _ => 0,
            },
            crowd_kind: CrowdKind::HalfMessage,
            trouble: rng
                .choice([
                    Trouble::None,
                    Trouble::None,
                    Trouble::ExecutorLinkBreaks,
                    Trouble::StoreDown,
                ])
                .unwrap(),
            signals_before,
            signals_from_notice,
        }
    }

    /// The same run behind a crowd of this kind.
    fn with_crowd(mut self, kind: CrowdKind) -> Self {
        let mut rng = fastrand::Rng::with_seed(!self.seed);
        self.crowd = rng.usize(CROWD_CONNECTIONS);
        self.crowd_kind = kind;
        self
    }

    fn start_backend(&self) -> TestBackend {
        let (grace, stop) = (self.grace.as_millis(), self.stop.as_millis());
        BackendSetup::new()
            .change("1024", &self.sockets.to_string())
            .change("\"pure\"", &format!("\"{}\"", self.effect))
            .change(
                "\"drain_grace\":1000.0",
                &format!("\"drain_grace\":{grace}.0"),
            )
            .change("\"stop_ms\":4000", &format!("\"stop_ms\":{stop}"))
            .start()
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
            }
        });
        record.requests.extend(crowd.into_requests());
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
        }
    }
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
            broken.push(plan.seed);
        }
    }
    println!("soak: {runs} runs, {requests} requests, broken: {broken:?}");
    assert!(broken.is_empty(), "seeds {broken:?} broke a rule");
}

fn draw_all(seeds: std::ops::Range<u64>, margins: KillMargins) -> impl Iterator<Item = RunPlan> {
    seeds.map(move |seed| RunPlan::draw(seed, margins))
}

/// The rules of the service hold on drawn runs up to the kill.
#[test]
fn the_four_rules_hold_in_a_short_soak() {
    soak(draw_all(CI_SEEDS, USUAL_MARGINS));
}

/// Guards against a platform whose kill comes sooner behind the grace than the program reckons with:
/// it is to have answered everything and to have ended by then.
#[test]
fn the_four_rules_hold_with_a_kill_close_behind_the_grace() {
    soak(draw_all(CLOSE_KILL_SEEDS, CLOSE_MARGINS));
}

/// Guards against connections that keep their places at a shutdown while requests wait behind them
/// in the backlog, whatever their callers sent before or leave unread.
#[test]
fn the_four_rules_hold_behind_each_kind_of_crowd() {
    let plans = CROWD_SEEDS.zip(CrowdKind::ALL.into_iter().cycle());
    soak(plans.map(|(seed, kind)| RunPlan::draw(seed, USUAL_MARGINS).with_crowd(kind)));
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
    soak(
        draw_all(first..first + count, margins).map(|plan| match kind {
            Some(kind) => plan.with_crowd(kind),
            None => plan,
        }),
    );
}
