//! Leases in simulated time: voters, lease clients and their disks as they are in production, a
//! network, clocks and processes that do what the plan says, and a history checker that sees each
//! operation. The same plan and seed give the same run to the last message.

mod clients;
mod injected_bugs;
mod invariants;
mod network;
mod outcome;
mod processes;
mod voters;

use std::collections::BTreeMap;
use std::time::Duration;

use tulipgap_leases::Name;
use tulipgap_write_ahead_log::{DiskFaults, DiskUsage};

use crate::plan::{
    BACKUP_AT, DirectoryAfterCrash, DiskFault, Fault, Member, MemberIndex, Plan, matching,
};
use crate::scheduler::{Fingerprint, ProcessGeneration, Scheduler, Simulation, play};
use invariants::InvariantState;
use network::{Message, PendingRead};
use processes::Process;

pub use injected_bugs::InjectedBugs;
pub use outcome::{LeaseInvariant, LeaseOutcome, LeaseViolation};

/// How often the invariants are checked, in simulated time.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often some member reads who holds a lease, in simulated time.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// The time within which all members start, in seconds.
const START_SPREAD_SECONDS: f64 = 0.2;
/// How long a disk fault lasts where the plan does not say, in seconds.
const DEFAULT_DISK_FAULT_SECONDS: f64 = 5.0;

/// What happens to a member's machine, or on it.
enum SimulationEvent {
    Start { directory: DirectoryAfterCrash },
    Crash,
    Pause,
    Resume,
    BackUpDirectory,
    SetDiskFaults(DiskFaults),
    ReplaceVoter { old: Name, new: Name },
    ReadLeases,
    Process(ProcessEvent),
}

/// What a process handles itself, and what waits while it is paused.
enum ProcessEvent {
    Deliver {
        from: MemberIndex,
        message: Message,
    },
    VoterTimer {
        generation: ProcessGeneration,
    },
    ClientTimer {
        generation: ProcessGeneration,
    },
    /// The next operation under a lease begins, or the one that is under way ends.
    Operation {
        generation: ProcessGeneration,
        lease: Name,
    },
}

/// A run. Owns the processes; what the invariants need to know of the past is in its
/// [`InvariantState`].
struct LeaseSimulation<'a> {
    plan: &'a Plan,
    bugs: InjectedBugs,
    members: Vec<Member>,
    /// The initial voters.
    voters: Vec<Name>,
    rng: fastrand::Rng,
    scheduler: Scheduler<SimulationEvent>,
    processes: Vec<Process>,
    invariants: InvariantState,
    pending_reads: BTreeMap<tulipgap_leases::RequestId, PendingRead>,
    fingerprint: Fingerprint,
    outcome: LeaseOutcome,
}

/// Plays a plan once in simulated time. Bugs are injected to show that the checks can fail.
pub fn simulate_leases(plan: &Plan, seed: u64, bugs: InjectedBugs) -> LeaseOutcome {
    let mut simulation = LeaseSimulation::new(plan, seed, bugs);
    simulation.schedule_starts();
    simulation
        .scheduler
        .schedule(READ_INTERVAL, 0, SimulationEvent::ReadLeases);
    for fault in &plan.faults {
        simulation.schedule_fault(fault);
    }
    play(&mut simulation, Duration::from_secs_f64(plan.length));
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
        let members = plan.members();
        let processes = members
            .iter()
            .map(|member| Process::new(&member.name, plan.clock_rate(member)))
            .collect();
        LeaseSimulation {
            plan,
            bugs,
            members,
            voters: plan
                .voters
                .iter()
                .map(|name| name.as_str().into())
                .collect(),
            rng: fastrand::Rng::with_seed(seed),
            scheduler: Scheduler::new(),
            processes,
            invariants: InvariantState::new(plan),
            pending_reads: BTreeMap::new(),
            fingerprint: Fingerprint::new(),
            outcome: LeaseOutcome::default(),
        }
    }

    fn schedule_starts(&mut self) {
        for member in 0..self.members.len() {
            let at = Duration::from_secs_f64(self.rng.f64() * START_SPREAD_SECONDS);
            let start = SimulationEvent::Start {
                directory: DirectoryAfterCrash::Kept,
            };
            self.scheduler.schedule(at, member, start);
            self.scheduler
                .schedule(BACKUP_AT, member, SimulationEvent::BackUpDirectory);
        }
    }

    /// Schedules both ends of a fault of members. Faults of links and clocks are looked up when
    /// they matter.
    fn schedule_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Crash {
                at,
                target,
                restart_at,
                directory,
            } => {
                for member in matching(&self.members, target) {
                    self.schedule_at(*at, member, SimulationEvent::Crash);
                    if let Some(restart_at) = restart_at {
                        let start = SimulationEvent::Start {
                            directory: *directory,
                        };
                        self.schedule_at(*restart_at, member, start);
                    }
                }
            }
            Fault::Pause {
                at,
                target,
                resume_at,
            } => {
                for member in matching(&self.members, target) {
                    self.schedule_at(*at, member, SimulationEvent::Pause);
                    if let Some(resume_at) = resume_at {
                        self.schedule_at(*resume_at, member, SimulationEvent::Resume);
                    }
                }
            }
            Fault::Disk {
                at,
                target,
                repaired_at,
                fault,
            } => {
                let repaired_at = repaired_at.unwrap_or(*at + DEFAULT_DISK_FAULT_SECONDS);
                for member in matching(&self.members, target) {
                    let broken = SimulationEvent::SetDiskFaults(disk_faults(*fault));
                    self.schedule_at(*at, member, broken);
                    let repaired = SimulationEvent::SetDiskFaults(DiskFaults::default());
                    self.schedule_at(repaired_at, member, repaired);
                }
            }
            Fault::ReplaceVoter { at, old, new } => {
                for member in matching(&self.members, new) {
                    let (old, new) = (old.as_str().into(), new.as_str().into());
                    self.schedule_at(*at, member, SimulationEvent::ReplaceVoter { old, new });
                }
            }
            Fault::Partition { .. } | Fault::DegradedLinks { .. } | Fault::ClockRate { .. } => {}
        }
    }

    fn schedule_at(&mut self, seconds: f64, member: MemberIndex, event: SimulationEvent) {
        self.scheduler
            .schedule(Duration::from_secs_f64(seconds), member, event);
    }

    fn into_outcome(mut self) -> LeaseOutcome {
        for process in &self.processes {
            let DiskUsage {
                syncs,
                written_bytes,
            } = process.disk.usage();
            self.outcome.syncs += syncs;
            self.outcome.written_bytes += written_bytes;
        }
        self.outcome.fingerprint = self.fingerprint.value();
        self.outcome
    }
}

fn disk_faults(fault: DiskFault) -> DiskFaults {
    match fault {
        DiskFault::Full => DiskFaults {
            is_full: true,
            ..DiskFaults::default()
        },
        DiskFault::SyncFails => DiskFaults {
            next_sync_fails: true,
            ..DiskFaults::default()
        },
    }
}
