//! Converts the faults of a plan into timed actions on members. The simulations and the runs of
//! real processes use the same actions.

use crate::plan::{
    DirectoryAfterCrash, DiskFault, Fault, Member, MemberIndex, OperationStep, matching_members,
};

/// An action on a process. Link and clock faults cause no actions: the network reads link faults
/// from the plan, and a clock's rate is set at the start.
#[derive(Clone, Debug)]
pub(crate) enum FaultAction {
    Kill,
    Restart(DirectoryAfterCrash),
    /// Pauses the process at a step of an operation under a lease, or immediately if `None`. The
    /// simulations always pause immediately.
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

/// An action, the member whose process it applies to, and its time in seconds since the start of
/// the run.
pub(crate) struct ScheduledAction {
    pub(crate) at: f64,
    pub(crate) member: MemberIndex,
    pub(crate) action: FaultAction,
}

/// An action and its time.
struct TimedAction {
    /// The time in seconds since the start of the run.
    at: f64,
    action: FaultAction,
}

/// The effect of a fault on each member that it targets.
struct FaultEffect<'a> {
    target: &'a str,
    begin: TimedAction,
    /// `None` if the fault does not end.
    end: Option<TimedAction>,
}

/// The duration of a disk fault for which the plan has no end.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DefaultDiskFaultDuration {
    UntilEndOfRun,
    Seconds(f64),
}

impl DefaultDiskFaultDuration {
    /// The time of the repair of a disk fault that begins at `at`. Both times are in seconds since
    /// the start of the run.
    fn repaired_at(self, at: f64) -> Option<f64> {
        match self {
            DefaultDiskFaultDuration::UntilEndOfRun => None,
            DefaultDiskFaultDuration::Seconds(seconds) => Some(at + seconds),
        }
    }
}

/// Returns the actions of a fault, ordered by member: for each member the beginning of the fault
/// and then its end.
pub(crate) fn scheduled_actions(
    fault: &Fault,
    members: &[Member],
    default_disk_fault_duration: DefaultDiskFaultDuration,
) -> Vec<ScheduledAction> {
    let Some(FaultEffect { target, begin, end }) = effect_of(fault, default_disk_fault_duration)
    else {
        return Vec::new();
    };
    let ends = [Some(begin), end];
    matching_members(members, target)
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

/// Returns the effect of a fault on its members; `None` for link and clock faults, which cause no
/// actions.
fn effect_of(
    fault: &Fault,
    default_disk_fault_duration: DefaultDiskFaultDuration,
) -> Option<FaultEffect<'_>> {
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
            let repaired_at = repaired_at.or_else(|| default_disk_fault_duration.repaired_at(*at));
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
