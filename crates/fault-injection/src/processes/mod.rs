//! Runs a plan with real processes on loopback addresses. The run injects faults into the proxy of
//! each link and into the processes, and a history checker checks each operation under a lease.

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

/// The interval at which the schedule and the processes are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a run was aborted.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An operation of the operating system failed.
    #[error("{task}: {source}")]
    Io {
        /// The task that failed.
        task: &'static str,
        /// The error.
        source: io::Error,
    },
    /// A process exited although the plan did not kill it.
    #[error("{member} exited by itself at {seconds:.2} s ({status}); its log is {}", log.display())]
    ProcessEnded {
        /// The member.
        member: String,
        /// When the exit was detected, in seconds since the start of the run.
        seconds: f64,
        /// The exit status.
        status: ExitStatus,
        /// The log of the process.
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
    /// The operation begins.
    Begin,
    /// The operation ends.
    End,
}

/// One report from a process about an operation under a lease.
#[derive(Clone, Debug, PartialEq)]
pub struct OperationRecord {
    /// When the report was received, since the start of the run.
    pub at: Duration,
    /// When the member checked that it holds the lease, since the start of the run.
    pub checked_at: Duration,
    /// The member that carries out the operation.
    pub member: String,
    /// The lease under which the member carries out the operation.
    pub lease: String,
    /// The fencing token of the operation.
    pub token: FencingToken,
    /// Whether the operation begins or ends.
    pub phase: OperationPhase,
    /// Why the report was rejected; `None` if it was accepted.
    pub rejection: Option<OperationError>,
}

/// A pause of a member. None of its threads ran between the two times.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberPause {
    /// The member.
    pub member: String,
    /// When the run detected the pause, since the start of the run.
    pub paused_at: Duration,
    /// The time just before the member was resumed; `None` while it is paused.
    pub resumed_at: Option<Duration>,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct RunViolation {
    /// When the violation was found, since the start of the run.
    pub at: Duration,
    /// A description for people.
    pub description: String,
}

/// The outcome of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunOutcome {
    /// The first violation of an invariant, which ends a run.
    pub violation: Option<RunViolation>,
    /// The number of operations that began under a lease.
    pub operations: u64,
    /// The number of reports that the history checker rejected.
    pub rejected: u64,
    /// The number of rejected reports whose process had not been paused since it checked the lease.
    pub rejected_while_running: u64,
    /// The number of tokens seen for each lease.
    pub tokens: BTreeMap<String, usize>,
    /// For each lease, the longest time without an operation between the first operation and the
    /// last.
    pub longest_idle: BTreeMap<String, Duration>,
    /// The worst durations of the membership's invariants.
    pub worst: WorstDurations,
    /// Whether the views of all running members were correct at the last poll.
    pub is_converged: bool,
    /// How often a member started to consider a live, reachable member dead.
    pub false_deaths: u64,
    /// All reports in the order in which they were received.
    pub history: Vec<OperationRecord>,
    /// All pauses of members in the order in which they began.
    pub pauses: Vec<MemberPause>,
}

/// The addresses of a member for requests and for its executor.
#[derive(Clone, Debug)]
pub struct MemberEndpoints {
    /// The member's name.
    pub name: String,
    /// The address on which the member serves requests.
    pub listen: SocketAddr,
    /// The address on which the member expects its executor.
    pub executor: SocketAddr,
}

/// The proxies and processes of one run. It owns the processes; dropping it stops the proxies and
/// kills the processes.
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

/// Runs a plan once with processes of `program`. The directories, journals and logs of the
/// processes are kept in `run_directory`.
///
/// `on_start` is called before the first process starts, with the addresses of each member.
/// `is_done` is called repeatedly after the last fault, with the outcome so far; if it returns
/// true, the run ends early.
///
/// # Errors
/// [`RunError::ProcessEnded`] if a process exits by itself, and [`RunError::Io`] if an operation of
/// the operating system fails. A violation of an invariant is not an error; the outcome contains
/// it.
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
    cluster.run(plan, program, &recorder, is_done)?;
    drop(cluster);
    let outcome = std::mem::take(&mut recorder.lock().outcome);
    Ok(outcome)
}

impl RunningCluster {
    /// Starts the proxies and the listener of the history recorder, but no process.
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
        // Dropping the cluster stops the proxies, also if a later step of the setup fails.
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

    fn run(
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

    /// Fails if a process exited by itself.
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
