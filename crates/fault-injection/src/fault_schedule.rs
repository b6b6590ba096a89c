//! Which actions a fault of a plan causes at which member, and when. Serves the simulations and the
//! runs of real processes.

use crate::plan::{
    DirectoryAfterCrash, DiskFault, Fault, Member, MemberIndex, OperationStep, matching,
};

/// What is done to a process. Faults of links and clocks are no actions: the network looks them up,
/// and a clock's rate is configured at the start.
#[derive(Clone, Debug)]
pub(crate) enum FaultAction {
    Kill,
    Restart(DirectoryAfterCrash),
    /// At a step of an operation under a lease, or at once. The simulations pause at once.
    Pause(Option<OperationStep>),
    Resume,
    BackUpJournal,
    InjectDiskFault(DiskFault),
    RepairDisk,
    ReplaceVoter {
        old: String,
        new: String,
    },
}

/// An action, its process, and its time in seconds since the start.
pub(crate) struct ScheduledAction {
    pub(crate) at: f64,
    pub(crate) member: MemberIndex,
    pub(crate) action: FaultAction,
}

/// An action and its time.
struct TimedAction {
    /// In seconds since the start.
    at: f64,
    action: FaultAction,
}

/// What a fault does to each member that it is about.
struct FaultEffect<'a> {
    target: &'a str,
    begin: TimedAction,
    /// `None` where it does not end.
    end: Option<TimedAction>,
}

/// How long a disk fault lasts where the plan does not say.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DefaultDiskFault {
    UntilEndOfRun,
    Seconds(f64),
}

impl DefaultDiskFault {
    /// When a disk is repaired whose fault begins at `at`, in seconds since the start.
    fn repaired_at(self, at: f64) -> Option<f64> {
        match self {
            DefaultDiskFault::UntilEndOfRun => None,
            DefaultDiskFault::Seconds(seconds) => Some(at + seconds),
        }
    }
}

/// The actions of a fault, member by member; of each member both ends of the fault.
pub(crate) fn scheduled_actions(
    fault: &Fault,
    members: &[Member],
    default_disk_fault: DefaultDiskFault,
) -> Vec<ScheduledAction> {
    let Some(FaultEffect { target, begin, end }) = effect_of(fault, default_disk_fault) else {
        return Vec::new();
    };
    let ends = [Some(begin), end];
    matching(members, target)
        .into_iter()
        .flat_map(|member| {
            ends.iter().flatten().map(move |end| ScheduledAction {
                at: end.at,
                member,
                action: end.action.clone(),
            })
        })
        .collect()
}

/// `None` for faults of links and clocks.
fn effect_of(fault: &Fault, default_disk_fault: DefaultDiskFault) -> Option<FaultEffect<'_>> {
    let (target, at, begin, end_at, end) = match fault {
        Fault::Crash {
            at,
            target,
            restart_at,
            directory,
        } => {
            let restart = FaultAction::Restart(*directory);
            (target, *at, FaultAction::Kill, *restart_at, Some(restart))
        }
        Fault::Pause {
            at,
            target,
            resume_at,
            step,
        } => {
            let pause = FaultAction::Pause(*step);
            let resume = FaultAction::Resume;
            (target, *at, pause, *resume_at, Some(resume))
        }
        Fault::Disk {
            at,
            target,
            repaired_at,
            fault,
        } => {
            let repaired_at = repaired_at.or_else(|| default_disk_fault.repaired_at(*at));
            let begin = FaultAction::InjectDiskFault(*fault);
            (
                target,
                *at,
                begin,
                repaired_at,
                Some(FaultAction::RepairDisk),
            )
        }
        Fault::ReplaceVoter { at, old, new } => {
            let (old, target) = (old.clone(), new);
            let new = new.clone();
            (
                target,
                *at,
                FaultAction::ReplaceVoter { old, new },
                None,
                None,
            )
        }
        Fault::Partition { .. } | Fault::DegradedLinks { .. } | Fault::ClockRate { .. } => {
            return None;
        }
    };
    let end = end_at.zip(end);
    Some(FaultEffect {
        target,
        begin: TimedAction { at, action: begin },
        end: end.map(|(at, action)| TimedAction { at, action }),
    })
}
