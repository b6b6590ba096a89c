//! Dependency calls: when a call is made, skipped, retried or abandoned.

mod call_budget;
mod call_decision;
mod call_retry;
mod call_timeout;
#[cfg(test)]
mod tests;
mod usual_call_time;

pub(crate) use call_budget::{CallBudget, DependencyLoad, PlannedCall};
pub(crate) use call_decision::{CallDecision, PendingCall};
pub(crate) use call_retry::{FailedCall, lost_calls_are_rare, may_attempt_again};
pub(crate) use call_timeout::CallTimeoutInput;
pub(crate) use usual_call_time::UsualCallTime;
