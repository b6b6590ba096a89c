//! The schedule of a run: the time at which each fault begins and ends, and its process.

use crate::fault_schedule::{
    DefaultDiskFaultDuration, FaultAction, ScheduledAction, scheduled_actions,
};
use crate::plan::{BACKUP_AT, Member, Plan};

/// The pending actions of a run, ordered by time.
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
        let faults = plan.faults.iter().flat_map(|fault| {
            scheduled_actions(fault, members, DefaultDiskFaultDuration::UntilEndOfRun)
        });
        let mut actions: Vec<ScheduledAction> = backups.chain(faults).collect();
        actions.sort_by(|a, b| a.at.total_cmp(&b.at));
        Schedule {
            actions: actions.into_iter().peekable(),
        }
    }

    /// Removes and returns the next action if it is due.
    pub(super) fn pop_due(&mut self, now: f64) -> Option<ScheduledAction> {
        self.actions.next_if(|next| next.at <= now)
    }

    pub(super) fn is_empty(&mut self) -> bool {
        self.actions.peek().is_none()
    }
}
