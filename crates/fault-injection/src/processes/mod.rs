//! Plays a plan with real processes of the program, on loopback addresses: each link between them
//! leads through a proxy, faults are injected into proxies and processes, and a history checker
//! sees each operation under a lease.

mod addresses;
mod configuration;
mod history;
mod process;
mod proxy;
mod schedule;
mod views;

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use tulipgap_leases::FencingToken;

use crate::history_checker::OperationError;
use crate::invariants::WorstDurations;
use crate::plan::{MemberIndex, Plan};
use addresses::AddressBlock;
use history::SharedRecorder;
use process::MemberProcess;
use proxy::{Link, Network};
use schedule::Schedule;
use views::ViewPoller;

/// How often the schedule and the processes are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a run could not be played to its end.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The machine refused something.
    #[error("{task}: {source}")]
    Io {
        /// What was being done.
        task: &'static str,
        /// Why it failed.
        source: io::Error,
    },
    /// A process ended though the plan did not kill it.
    #[error("{member} ended by itself at {seconds:.2} s ({status}); its log is {}", log.display())]
    ProcessEnded {
        /// The member.
        member: String,
        /// When it was found, in seconds since the start.
        seconds: f64,
        /// How it ended.
        status: ExitStatus,
        /// Its log.
        log: PathBuf,
    },
}

impl RunError {
    fn io(task: &'static str) -> impl Fn(io::Error) -> RunError {
        move |source| RunError::Io { task, source }
    }
}

/// Whether an operation begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationPhase {
    /// It begins.
    Begin,
    /// It ends.
    End,
}

/// One report of a process about an operation under a lease.
#[derive(Clone, Debug, PartialEq)]
pub struct OperationRecord {
    /// When it was received, since the start of the run.
    pub at: Duration,
    /// When the member checked that it holds the lease, since the start of the run.
    pub checked_at: Duration,
    /// The member that carries the operation out.
    pub member: String,
    /// The lease that it holds.
    pub lease: String,
    /// The fencing token of the operation.
    pub token: FencingToken,
    /// Whether the operation begins or ends.
    pub phase: OperationPhase,
    /// Why the report was rejected, if it was.
    pub rejection: Option<OperationError>,
}

/// A member was paused: between the two times none of its threads ran.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberPause {
    /// The member.
    pub member: String,
    /// When it was seen to be paused, since the start of the run.
    pub paused_at: Duration,
    /// When it was about to be resumed; `None` while it is paused.
    pub resumed_at: Option<Duration>,
}

/// How an invariant was violated.
#[derive(Clone, Debug, PartialEq)]
pub struct RunViolation {
    /// When, since the start of the run.
    pub at: Duration,
    /// What was seen, for people.
    pub description: String,
}

/// The outcome of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunOutcome {
    /// The first violation of an invariant, which ends a run.
    pub violation: Option<RunViolation>,
    /// Operations that began under a lease.
    pub operations: u64,
    /// Reports rejected for their token.
    pub rejected: u64,
    /// Those of them whose process had not been paused since it checked the lease.
    pub rejected_while_running: u64,
    /// By lease: how many tokens were seen.
    pub tokens: BTreeMap<String, usize>,
    /// By lease: the longest without an operation, between the first and the last.
    pub longest_idle: BTreeMap<String, Duration>,
    /// The worst durations of the membership's invariants.
    pub worst: WorstDurations,
    /// Whether all views were right when they were last polled.
    pub is_converged: bool,
    /// How often a member came to consider a live, reachable one dead.
    pub false_deaths: u64,
    /// All reports in the order in which they were received.
    pub history: Vec<OperationRecord>,
    /// All pauses of members, in the order in which they began.
    pub pauses: Vec<MemberPause>,
}

/// Where a member serves requests, and where it looks for its executor.
#[derive(Clone, Debug)]
pub struct MemberEndpoints {
    /// The member's name.
    pub name: String,
    /// Where it serves requests.
    pub listen: SocketAddr,
    /// Where it looks for its executor.
    pub executor: SocketAddr,
}

/// What runs on this machine for one run. Owns the processes; dropping it ends proxies and
/// processes.
struct RunningCluster {
    network: Arc<Network>,
    addresses: AddressBlock,
    processes: Vec<MemberProcess>,
}

impl Drop for RunningCluster {
    fn drop(&mut self) {
        self.network.shut_down();
        self.processes.clear();
    }
}

/// Plays a plan once with processes of `program`, whose directories, journals and logs are kept in
/// `run_directory`.
///
/// Before the first process is started, `on_start` learns where each will serve. After the last
/// fault, `is_done` is asked with the outcome so far; it may end the run before its length.
///
/// # Errors
/// [`RunError::ProcessEnded`] where a process ends by itself, and [`RunError::Io`] where the
/// machine refuses something. A violation of an invariant is no error; it stands in the outcome.
pub fn run(
    plan: &Plan,
    program: &Path,
    run_directory: &Path,
    on_start: impl FnOnce(&[MemberEndpoints]),
    is_done: impl Fn(&RunOutcome) -> bool,
) -> Result<RunOutcome, RunError> {
    let start = Instant::now();
    let recorder = SharedRecorder::new(plan, start);
    let mut cluster = RunningCluster::set_up(plan, run_directory, start, &recorder)?;
    on_start(&cluster.endpoints());
    cluster.start(plan, program, run_directory)?;
    cluster.play(plan, program, &recorder, is_done)?;
    drop(cluster);
    let outcome = std::mem::take(&mut recorder.lock().outcome);
    Ok(outcome)
}

impl RunningCluster {
    /// Starts the proxies and the listener of the history; no process is started yet.
    fn set_up(
        plan: &Plan,
        run_directory: &Path,
        start: Instant,
        recorder: &SharedRecorder,
    ) -> Result<Self, RunError> {
        let network = Arc::new(Network::new(plan, start));
        let addresses = AddressBlock::claim().map_err(RunError::io("addresses"))?;
        let process = |member| MemberProcess::new(member, run_directory, plan.clock_rate(member));
        let processes = network.members.iter().map(process).collect();
        // From here on the proxies end with the cluster, also where setting it up fails.
        let cluster = RunningCluster {
            network,
            addresses,
            processes,
        };
        history::spawn_listener(cluster.addresses.history(), recorder, &cluster.network)
            .map_err(RunError::io("history listener"))?;
        cluster.spawn_proxies().map_err(RunError::io("proxies"))?;
        configuration::write_key(run_directory).map_err(RunError::io("run directory"))?;
        Ok(cluster)
    }

    fn spawn_proxies(&self) -> io::Result<()> {
        let socket = UdpSocket::bind(self.addresses.delayed_sender())?;
        let delayed = proxy::spawn_delayed_sender(&self.network, socket);
        let members = 0..self.processes.len();
        for from in members.clone() {
            for to in members.clone().filter(|&to| to != from) {
                let network = self.network.clone();
                let link = Link {
                    network,
                    from,
                    to,
                    target: self.addresses.peer(to),
                };
                proxy::spawn_proxy(&link, self.addresses.proxy(from, to), &delayed)?;
            }
        }
        Ok(())
    }

    fn endpoints(&self) -> Vec<MemberEndpoints> {
        let endpoints = |(index, process): (MemberIndex, &MemberProcess)| MemberEndpoints {
            name: process.member.name.clone(),
            listen: self.addresses.frontend(index),
            executor: self.addresses.executor(index),
        };
        self.processes.iter().enumerate().map(endpoints).collect()
    }

    fn start(&mut self, plan: &Plan, program: &Path, run_directory: &Path) -> Result<(), RunError> {
        for index in 0..self.processes.len() {
            let (processes, addresses) = (&self.processes, &self.addresses);
            configuration::write_configuration(plan, processes, index, addresses, run_directory)
                .map_err(RunError::io("configuration"))?;
            self.processes[index]
                .start(program)
                .map_err(RunError::io("processes"))?;
        }
        Ok(())
    }

    fn play(
        &mut self,
        plan: &Plan,
        program: &Path,
        recorder: &SharedRecorder,
        is_done: impl Fn(&RunOutcome) -> bool,
    ) -> Result<(), RunError> {
        let mut schedule = Schedule::new(plan, &self.network.members);
        let mut views = ViewPoller::new(plan, self.processes.len());
        while self.network.elapsed_seconds() < plan.length {
            thread::sleep(POLL_INTERVAL);
            while let Some(due) = schedule.pop_due(self.network.elapsed_seconds()) {
                self.processes[due.member]
                    .perform(&due.action, program, recorder)
                    .map_err(RunError::io("faults"))?;
            }
            for process in &mut self.processes {
                process
                    .detect_pause_at_step(recorder)
                    .map_err(RunError::io("faults"))?;
            }
            self.check_processes()?;
            views.poll_if_due(&self.network, &self.processes, recorder);
            let recorder = recorder.lock();
            let are_faults_over =
                schedule.is_empty() && self.network.start.elapsed() > plan.faults_end();
            if recorder.outcome.violation.is_some() || are_faults_over && is_done(&recorder.outcome)
            {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Fails where a process ended by itself.
    fn check_processes(&mut self) -> Result<(), RunError> {
        for process in &mut self.processes {
            if let Some(status) = process.exit_status().map_err(RunError::io("processes"))? {
                return Err(RunError::ProcessEnded {
                    member: process.member.name.clone(),
                    seconds: self.network.elapsed_seconds(),
                    status,
                    log: process.log_file.clone(),
                });
            }
        }
        Ok(())
    }
}
