//! The events of a run, and the conversion of fault actions into events.

use tulipgap_leases::Name;
use tulipgap_write_ahead_log::DiskFaults;

use super::message::Message;
use crate::fault_schedule::FaultAction;
use crate::plan::{DirectoryAfterCrash, DiskFault, MemberIndex};
use crate::scheduler::ProcessGeneration;

/// An event on a member's machine.
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

/// An event that a process handles itself. It is queued while the process is paused.
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
    /// The next operation under a lease begins, or the operation in progress ends.
    Operation {
        generation: ProcessGeneration,
        lease: Name,
    },
}

impl From<FaultAction> for SimulationEvent {
    fn from(action: FaultAction) -> Self {
        match action {
            FaultAction::Kill => SimulationEvent::Crash,
            FaultAction::Restart(directory) => SimulationEvent::Start { directory },
            FaultAction::Pause(_) => SimulationEvent::Pause,
            FaultAction::Resume => SimulationEvent::Resume,
            FaultAction::BackUpJournal => SimulationEvent::BackUpDirectory,
            FaultAction::InjectDiskFault(fault) => {
                SimulationEvent::SetDiskFaults(disk_faults(fault))
            }
            FaultAction::RepairDisk => SimulationEvent::SetDiskFaults(DiskFaults::default()),
            FaultAction::ReplaceVoter { old, new } => SimulationEvent::ReplaceVoter {
                old: old.as_str().into(),
                new: new.as_str().into(),
            },
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
