//! Simulates leases: voters, lease clients and their disks as in production, and a network, clocks
//! and processes that follow the plan. A history checker checks each operation. The same plan and
//! seed give the same run down to the last message.

mod clients;
mod driver;
mod events;
mod injected_bugs;
mod invariants;
mod message;
mod outcome;
mod processes;
mod reads;
mod startup;
mod vacancy;
mod voters;

use std::time::Duration;

use tulipgap_leases::Name;
use tulipgap_write_ahead_log::DiskUsage;

use crate::fault_schedule::{DefaultDiskFaultDuration, ScheduledAction, scheduled_actions};
use crate::plan::{BACKUP_AT, DirectoryAfterCrash, Fault, MemberIndex, Plan};
use crate::scheduler::{Fingerprint, Scheduler, Simulation, run_simulation};
use crate::simulated_network::{SimulatedNetwork, sample_start_time};
use events::SimulationEvent;
use invariants::InvariantState;
use processes::Processes;
use reads::PendingReads;
use vacancy::VacancyTracker;

pub use injected_bugs::InjectedBugs;
pub use outcome::{LeaseInvariant, LeaseOutcome, LeaseViolation};

/// The interval between checks of the invariants, in simulated time.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The duration of a disk fault for which the plan has no end.
const DEFAULT_DISK_FAULT_DURATION: DefaultDiskFaultDuration =
    DefaultDiskFaultDuration::Seconds(5.0);
/// The interval between reads of a lease's holder, in simulated time.
const READ_INTERVAL: Duration = Duration::from_millis(700);

/// The state of a run. It passes events to its parts, each of which owns its state, and converts
/// their actions into messages and timers.
struct LeaseSimulation<'a> {
    plan: &'a Plan,
    bugs: InjectedBugs,
    /// The initial voters.
    voters: Vec<Name>,
    rng: fastrand::Rng,
    scheduler: Scheduler<SimulationEvent>,
    network: SimulatedNetwork<'a>,
    processes: Processes,
    invariants: InvariantState,
    vacancy: VacancyTracker,
    pending_reads: PendingReads,
    fingerprint: Fingerprint,
    outcome: LeaseOutcome,
}

/// Runs a plan once in simulated time. `bugs` are injected to show that the checks can fail.
pub fn simulate_leases(plan: &Plan, seed: u64, bugs: InjectedBugs) -> LeaseOutcome {
    let mut simulation = LeaseSimulation::new(plan, seed, bugs);
    simulation.schedule_starts();
    simulation
        .scheduler
        .schedule(READ_INTERVAL, 0, SimulationEvent::ReadLeases);
    for fault in &plan.faults {
        simulation.schedule_fault(fault);
    }
    run_simulation(&mut simulation, Duration::from_secs_f64(plan.length));
    simulation.into_outcome()
}

impl Simulation for LeaseSimulation<'_> {
    type Event = SimulationEvent;
    /// See [`CHECK_INTERVAL`].
    const CHECK_INTERVAL: Duration = CHECK_INTERVAL;

    fn scheduler(&mut self) -> &mut Scheduler<SimulationEvent> {
        &mut self.scheduler
    }

    fn handle(&mut self, member: MemberIndex, event: SimulationEvent) {
        match event {
            SimulationEvent::Start { directory } => self.start(member, directory),
            SimulationEvent::Crash => self.crash(member),
            SimulationEvent::Pause => self.processes[member].pause(),
            SimulationEvent::Resume => self.resume(member),
            SimulationEvent::BackUpDirectory => self.processes[member].back_up_directory(),
            SimulationEvent::SetDiskFaults(faults) => {
                self.processes[member].disk.set_faults(faults)
            }
            SimulationEvent::ReplaceVoter { old, new } => self.replace_voter(&old, &new),
            SimulationEvent::ReadLeases => self.read_leases(),
            SimulationEvent::Process(event) => self.handle_process_event(member, event),
        }
    }

    fn check_invariants(&mut self) {
        self.check_capacity();
        self.check_vacancy();
    }

    fn has_failed(&self) -> bool {
        self.outcome.violation.is_some()
    }
}

impl<'a> LeaseSimulation<'a> {
    fn new(plan: &'a Plan, seed: u64, bugs: InjectedBugs) -> Self {
        LeaseSimulation {
            plan,
            bugs,
            voters: plan
                .voters
                .iter()
                .map(|name| name.as_str().into())
                .collect(),
            rng: fastrand::Rng::with_seed(seed),
            scheduler: Scheduler::new(),
            network: SimulatedNetwork::new(plan),
            processes: Processes::new(plan),
            invariants: InvariantState::new(plan),
            vacancy: VacancyTracker::new(plan),
            pending_reads: PendingReads::default(),
            fingerprint: Fingerprint::new(),
            outcome: LeaseOutcome::default(),
        }
    }

    fn schedule_starts(&mut self) {
        for member in 0..self.network.members().len() {
            let at = sample_start_time(&mut self.rng);
            let start = SimulationEvent::Start {
                directory: DirectoryAfterCrash::Kept,
            };
            self.scheduler.schedule(at, member, start);
            self.scheduler
                .schedule(BACKUP_AT, member, SimulationEvent::BackUpDirectory);
        }
    }

    fn schedule_fault(&mut self, fault: &Fault) {
        let members = self.network.members();
        for ScheduledAction { at, member, action } in
            scheduled_actions(fault, members, DEFAULT_DISK_FAULT_DURATION)
        {
            self.scheduler
                .schedule(Duration::from_secs_f64(at), member, action.into());
        }
    }

    fn into_outcome(mut self) -> LeaseOutcome {
        for process in self.processes.iter() {
            let DiskUsage {
                syncs,
                written_bytes,
            } = process.disk.usage();
            self.outcome.syncs += syncs;
            self.outcome.written_bytes += written_bytes;
        }
        self.outcome.messages = self.network.messages();
        self.outcome.longest_vacancy = self.vacancy.longest();
        self.outcome.longest_vacancy_after_faults = self.vacancy.longest_after_faults();
        self.outcome.fingerprint = self.fingerprint.value();
        self.outcome
    }
}
