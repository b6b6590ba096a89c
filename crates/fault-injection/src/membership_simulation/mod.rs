//! Simulates the membership: the members' state machines as in production, a network that follows
//! the plan, and a checker of the invariants. The same plan and seed give the same run down to the
//! last message.

mod driver;
mod injected_bugs;
mod outcome;
mod processes;
mod views;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tulipgap_membership::Message;

use crate::fault_schedule::{
    DefaultDiskFaultDuration, FaultAction, ScheduledAction, scheduled_actions,
};
use crate::invariants::{MembershipChecker, Observation};
use crate::plan::{MemberIndex, Plan};
use crate::scheduler::{Fingerprint, ProcessGeneration, Scheduler, Simulation, run_simulation};
use crate::simulated_network::{SimulatedNetwork, sample_start_time};
use processes::Process;
use views::Views;

pub use injected_bugs::MembershipBug;
pub use outcome::{DetectionTimes, MembershipOutcome};

/// The interval between checks of the invariants, in simulated time.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

enum SimulationEvent {
    Start,
    Crash,
    Pause,
    Resume,
    TimerExpired { generation: ProcessGeneration },
    Deliver { from: MemberIndex, message: Message },
}

/// The state of a run. It drives its parts, each of which owns its state: the network, the
/// processes, the views and the checker.
struct MembershipSimulation<'a> {
    plan: &'a Plan,
    bug: Option<MembershipBug>,
    rng: fastrand::Rng,
    scheduler: Scheduler<SimulationEvent>,
    network: SimulatedNetwork<'a>,
    processes: Vec<Process>,
    index_by_address: HashMap<SocketAddr, MemberIndex>,
    views: Views,
    checker: MembershipChecker,
    false_deaths: u64,
    detections: Vec<DetectionTimes>,
    fingerprint: Fingerprint,
}

/// Runs a plan once in simulated time. `bug` is injected to show that the checks can fail.
pub fn simulate_membership(
    plan: &Plan,
    seed: u64,
    bug: Option<MembershipBug>,
) -> MembershipOutcome {
    let mut simulation = MembershipSimulation::new(plan, seed, bug);
    simulation.schedule_starts();
    simulation.schedule_faults();
    run_simulation(&mut simulation, Duration::from_secs_f64(plan.length));
    MembershipOutcome {
        violation: simulation.checker.violation().cloned(),
        worst: simulation.checker.worst(),
        messages: simulation.network.messages(),
        false_deaths: simulation.false_deaths,
        detections: simulation.detections,
        fingerprint: simulation.fingerprint.value(),
    }
}

impl Simulation for MembershipSimulation<'_> {
    type Event = SimulationEvent;
    /// See [`CHECK_INTERVAL`].
    const CHECK_INTERVAL: Duration = CHECK_INTERVAL;

    fn scheduler(&mut self) -> &mut Scheduler<SimulationEvent> {
        &mut self.scheduler
    }

    fn handle(&mut self, member: MemberIndex, event: SimulationEvent) {
        match event {
            SimulationEvent::Start => self.start(member),
            SimulationEvent::Crash => self.processes[member].crash(self.scheduler.now()),
            SimulationEvent::Pause => self.processes[member].pause(),
            SimulationEvent::Resume => self.resume(member),
            SimulationEvent::TimerExpired { generation } => self.expire_timer(member, generation),
            SimulationEvent::Deliver { from, message } => self.deliver(member, from, message),
        }
    }

    fn check_invariants(&mut self) {
        let now = self.scheduler.now();
        let has_partition = self.plan.has_partition(now.as_secs_f64());
        for observer in 0..self.processes.len() {
            if !self.processes[observer].is_running() {
                continue;
            }
            for subject in (0..self.processes.len()).filter(|&subject| subject != observer) {
                let is_reachable = match has_partition {
                    true => self.is_reachable(observer, subject),
                    false => self.processes[subject].is_running(),
                };
                let observation = Observation {
                    observer,
                    subject,
                    members: self.network.members(),
                    state: self.views.state(observer, subject),
                    is_reachable,
                    is_dead: self.processes[subject].is_dead(),
                };
                self.checker.check(now, &observation);
            }
        }
    }

    fn has_failed(&self) -> bool {
        self.checker.violation().is_some()
    }
}

impl<'a> MembershipSimulation<'a> {
    fn new(plan: &'a Plan, seed: u64, bug: Option<MembershipBug>) -> Self {
        let network = SimulatedNetwork::new(plan);
        let processes: Vec<Process> = (0..network.members().len()).map(Process::new).collect();
        let index_by_address = processes
            .iter()
            .enumerate()
            .map(|(index, process)| (process.address, index))
            .collect();
        MembershipSimulation {
            plan,
            bug,
            rng: fastrand::Rng::with_seed(seed),
            scheduler: Scheduler::new(),
            processes,
            index_by_address,
            views: Views::new(network.members()),
            checker: MembershipChecker::new(plan.bounds, plan.faults_end()),
            false_deaths: 0,
            detections: Vec::new(),
            fingerprint: Fingerprint::new(),
            network,
        }
    }

    fn schedule_starts(&mut self) {
        for member in 0..self.processes.len() {
            let at = sample_start_time(&mut self.rng);
            self.scheduler.schedule(at, member, SimulationEvent::Start);
        }
    }

    fn schedule_faults(&mut self) {
        let members = self.network.members();
        let actions =
            |fault| scheduled_actions(fault, members, DefaultDiskFaultDuration::UntilEndOfRun);
        for ScheduledAction { at, member, action } in self.plan.faults.iter().flat_map(actions) {
            let event = match action {
                FaultAction::Kill => SimulationEvent::Crash,
                FaultAction::Restart(_) => SimulationEvent::Start,
                FaultAction::Pause(_) => SimulationEvent::Pause,
                FaultAction::Resume => SimulationEvent::Resume,
                // These actions apply to voters and their disks, which this simulation does not
                // have.
                FaultAction::BackUpJournal
                | FaultAction::InjectDiskFault(_)
                | FaultAction::RepairDisk
                | FaultAction::ReplaceVoter { .. } => continue,
            };
            self.scheduler
                .schedule(Duration::from_secs_f64(at), member, event);
        }
    }
}
