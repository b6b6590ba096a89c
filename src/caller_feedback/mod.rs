//! Feedback to callers: how much traffic to send here, when to retry, and whether to try another
//! server.

mod feedback_value;
mod retry_after;
mod retry_other_server;
#[cfg(test)]
mod tests;
mod wanted_traffic;

pub(crate) use feedback_value::{Feedback, FeedbackInput};
pub(crate) use retry_after::RetryAfterInput;
pub(crate) use retry_other_server::{FleetSample, RejectedRequest, ServerState};
pub(crate) use wanted_traffic::{WantedTraffic, WantedTrafficInput};
