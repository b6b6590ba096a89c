//! Calls to the dependency: when one is made, skipped, made again or given up.

mod call_budget;
mod call_retry;
mod call_timeout;
mod optional_call;
#[cfg(test)]
mod tests;
mod usual_call_time;

pub(crate) use call_budget::{CallBudget, DependencyLoad, PlannedCall};
pub(crate) use call_retry::{FailedCall, lost_calls_are_rare, may_attempt_again};
pub(crate) use call_timeout::CallTimeoutInput;
pub(crate) use optional_call::OptionalCall;
pub(crate) use usual_call_time::UsualCallTime;
