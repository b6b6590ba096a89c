//! The schedule of a run: which fault begins and ends at which process, and when.

use crate::plan::{
    BACKUP_AT, DirectoryAfterCrash, DiskFault, Fault, Member, MemberIndex, Plan, matching,
};

/// What is done to a process. Faults of links and clocks are no actions: proxies look them up, and
/// a clock's rate is configured at the start.
pub(super) enum FaultAction {
    Kill,
    Restart(DirectoryAfterCrash),
    Pause,
    Resume,
    BackUpJournal,
    InjectDiskFault(DiskFault),
    RepairDisk,
    ReplaceVoter { old: String, new: String },
}

/// An action, its process, and its time in seconds since the start.
pub(super) struct ScheduledAction {
    pub(super) at: f64,
    pub(super) member: MemberIndex,
    pub(super) action: FaultAction,
}

/// The actions of a run that are still to come, the next one first.
pub(super) struct Schedule {
    actions: std::iter::Peekable<std::vec::IntoIter<ScheduledAction>>,
}

impl Schedule {
    pub(super) fn new(plan: &Plan, members: &[Member]) -> Self {
        let backups = (0..members.len()).map(|member| ScheduledAction {
            at: BACKUP_AT.as_secs_f64(),
            member,
            action: FaultAction::BackUpJournal,
        });
        let faults = plan
            .faults
            .iter()
            .flat_map(|fault| actions_of(fault, members));
        let mut actions: Vec<ScheduledAction> = backups.chain(faults).collect();
        actions.sort_by(|a, b| a.at.total_cmp(&b.at));
        Schedule {
            actions: actions.into_iter().peekable(),
        }
    }

    /// Takes the next action, if it is due.
    pub(super) fn pop_due(&mut self, now: f64) -> Option<ScheduledAction> {
        self.actions.next_if(|next| next.at <= now)
    }

    pub(super) fn is_empty(&mut self) -> bool {
        self.actions.peek().is_none()
    }
}

fn actions_of(fault: &Fault, members: &[Member]) -> Vec<ScheduledAction> {
    let mut actions = Vec::new();
    let mut schedule = |at: f64, member: MemberIndex, action: FaultAction| {
        actions.push(ScheduledAction { at, member, action });
    };
    match fault {
        Fault::Crash {
            at,
            target,
            restart_at,
            directory,
        } => {
            for member in matching(members, target) {
                schedule(*at, member, FaultAction::Kill);
                if let Some(restart_at) = restart_at {
                    schedule(*restart_at, member, FaultAction::Restart(*directory));
                }
            }
        }
        Fault::Pause {
            at,
            target,
            resume_at,
        } => {
            for member in matching(members, target) {
                schedule(*at, member, FaultAction::Pause);
                if let Some(resume_at) = resume_at {
                    schedule(*resume_at, member, FaultAction::Resume);
                }
            }
        }
        Fault::Disk {
            at,
            target,
            repaired_at,
            fault,
        } => {
            for member in matching(members, target) {
                schedule(*at, member, FaultAction::InjectDiskFault(*fault));
                if let Some(repaired_at) = repaired_at {
                    schedule(*repaired_at, member, FaultAction::RepairDisk);
                }
            }
        }
        Fault::ReplaceVoter { at, old, new } => {
            for member in matching(members, new) {
                let action = FaultAction::ReplaceVoter {
                    old: old.clone(),
                    new: new.clone(),
                };
                schedule(*at, member, action);
            }
        }
        Fault::Partition { .. } | Fault::DegradedLinks { .. } | Fault::ClockRate { .. } => {}
    }
    actions
}
