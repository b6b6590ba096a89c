//! The times until which an answer meets the latency objective of a request, and until which its
//! client waits.
//!
//! The deadline is the one that the caller states, or else the client timeout of the handler,
//! counted from the arrival at the machine: a request that waited unread has less time left. The
//! latency objective may grow with the work of the request, but never beyond the deadline, so that
//! no rule plans an answer for a client that has gone.

use std::time::Duration;

use crate::duration::duration_from_seconds;
use crate::handlers::HandlerProfile;

/// The latency objective and the deadline, as times since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Deadlines {
    /// An answer by then meets the latency objective.
    pub(crate) objective_at: Duration,
    /// The client waits until then.
    pub(crate) deadline: Duration,
}

/// When a request arrived, and how long its caller waits.
pub(crate) struct ArrivalTimes {
    /// The present time, since the start of the process.
    pub(crate) now: Duration,
    /// When it reached the machine, since the start of the process.
    pub(crate) arrived_at: Duration,
    /// How long its caller waits from `now` on, if the caller states it.
    pub(crate) client_wait: Option<Duration>,
}

impl Deadlines {
    /// The deadlines of a request with this work.
    pub(crate) fn new(profile: &HandlerProfile, times: &ArrivalTimes, work_seconds: f64) -> Self {
        let deadline = match times.client_wait {
            Some(wait) => times.now.saturating_add(wait),
            None => times.arrived_at.saturating_add(profile.client_timeout),
        };
        let stretch = duration_from_seconds(profile.objective_stretch * work_seconds);
        let objective_at = times
            .arrived_at
            .saturating_add(profile.latency_objective)
            .saturating_add(stretch)
            .min(deadline);
        Deadlines {
            objective_at,
            deadline,
        }
    }
}
