//! The events of a run, and those that the faults of a plan cause.

use std::time::Duration;

use tulipgap_leases::Name;
use tulipgap_write_ahead_log::DiskFaults;

use super::message::Message;
use crate::plan::{DirectoryAfterCrash, DiskFault, Fault, Member, MemberIndex, matching};
use crate::scheduler::ProcessGeneration;

/// How long a disk fault lasts where the plan does not say, in seconds.
const DEFAULT_DISK_FAULT_SECONDS: f64 = 5.0;

/// What happens to a member's machine, or on it.
pub(super) enum SimulationEvent {
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
pub(super) enum ProcessEvent {
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

/// An event that a fault of the plan causes.
pub(super) struct FaultEvent {
    /// Since the start of the run.
    pub(super) at: Duration,
    pub(super) member: MemberIndex,
    pub(super) event: SimulationEvent,
}

impl FaultEvent {
    fn new(at_seconds: f64, member: MemberIndex, event: SimulationEvent) -> Self {
        FaultEvent {
            at: Duration::from_secs_f64(at_seconds),
            member,
            event,
        }
    }
}

/// Both ends of a fault of members, member by member. Faults of links and clocks are looked up when
/// they matter.
pub(super) fn fault_events(fault: &Fault, members: &[Member]) -> Vec<FaultEvent> {
    let (Fault::Crash { target, .. }
    | Fault::Pause { target, .. }
    | Fault::Disk { target, .. }
    | Fault::ReplaceVoter { new: target, .. }) = fault
    else {
        return Vec::new();
    };
    matching(members, target)
        .into_iter()
        .flat_map(|member| member_events(fault, member))
        .collect()
}

fn member_events(fault: &Fault, member: MemberIndex) -> Vec<FaultEvent> {
    let at = |seconds: f64, event| FaultEvent::new(seconds, member, event);
    match fault {
        Fault::Crash {
            at: crashed_at,
            restart_at,
            directory,
            ..
        } => {
            let start = |restart_at: f64| {
                let directory = *directory;
                at(restart_at, SimulationEvent::Start { directory })
            };
            let crash = at(*crashed_at, SimulationEvent::Crash);
            [crash].into_iter().chain(restart_at.map(start)).collect()
        }
        Fault::Pause {
            at: paused_at,
            resume_at,
            ..
        } => {
            let resume = |resume_at: f64| at(resume_at, SimulationEvent::Resume);
            let pause = at(*paused_at, SimulationEvent::Pause);
            [pause].into_iter().chain(resume_at.map(resume)).collect()
        }
        Fault::Disk {
            at: broken_at,
            repaired_at,
            fault,
            ..
        } => {
            let repaired_at = repaired_at.unwrap_or(*broken_at + DEFAULT_DISK_FAULT_SECONDS);
            let end = SimulationEvent::SetDiskFaults(DiskFaults::default());
            vec![
                at(
                    *broken_at,
                    SimulationEvent::SetDiskFaults(disk_faults(*fault)),
                ),
                at(repaired_at, end),
            ]
        }
        Fault::ReplaceVoter {
            at: replaced_at,
            old,
            new,
        } => {
            let (old, new) = (old.as_str().into(), new.as_str().into());
            vec![at(*replaced_at, SimulationEvent::ReplaceVoter { old, new })]
        }
        Fault::Partition { .. } | Fault::DegradedLinks { .. } | Fault::ClockRate { .. } => {
            Vec::new()
        }
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
