//! Output actions of the controller. No decision is taken here.

use std::time::Duration;

use crate::event::RequestIndex;

/// Why the controller rejected a request or answered it with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No memory is left to queue the request.
    MemoryLimit,
    /// Runs on this server fail so often that other servers are likely to do better.
    HighFailureRate,
    /// The brownout controller admits only a fraction of the arrivals, and did not admit this
    /// request.
    AdmissionControl,
    /// It was not expected to meet its latency objective.
    PredictedLate,
    /// It was queued and then no longer expected to meet its latency objective, for example because
    /// requests that arrived later precede it in the queue.
    Overtaken,
    /// Its latency objective passed before its run was completed.
    ObjectiveMissed,
    /// Its client is about to stop waiting.
    DeadlineNear,
    /// It arrived after the drain grace, or was read too close to the termination of the process.
    Draining,
    /// The process is about to be terminated.
    Terminating,
    /// Its mandatory dependency call failed.
    CallFailed,
    /// Its run was cancelled before it had an answer.
    Cancelled,
}

/// An action that the host has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request.
    Start {
        /// The request to start.
        request: RequestIndex,
    },
    /// Final answer: the request is rejected.
    Reject {
        /// The rejected request.
        request: RequestIndex,
        /// The delay after which the caller may retry on this server; `None` where answers cannot
        /// carry one.
        retry_after: Option<Duration>,
        /// Whether the caller should try another server.
        retry_other_server: bool,
        /// Why it was rejected.
        reason: Reason,
    },
    /// Final answer: an error.
    Fail {
        /// The failed request.
        request: RequestIndex,
        /// Why it failed.
        reason: Reason,
    },
    /// Cancel a run.
    Cancel {
        /// The request whose run is cancelled.
        request: RequestIndex,
    },
    /// Answer a duplicate with the result of the request that it duplicates.
    Coalesce {
        /// The duplicate.
        request: RequestIndex,
    },
    /// Remember the idempotency key of a request, so that duplicates are recognised.
    RememberKey {
        /// The request that carries the key.
        request: RequestIndex,
        /// How long the key is kept.
        retention: Duration,
    },
    /// Forget the idempotency key of a request before its retention is over.
    ForgetKey {
        /// The request that carries the key.
        request: RequestIndex,
    },
    /// Make the dependency call for which the request waits.
    StartCall {
        /// The request that makes the call.
        request: RequestIndex,
        /// The time limit of the call.
        timeout: Duration,
    },
    /// Continue the request without its dependency call.
    SkipCall {
        /// The request that skips its call.
        request: RequestIndex,
    },
    /// The feedback value that answers carry from now on; see
    /// [`CallerFeedback`](crate::CallerFeedback).
    SetFeedback {
        /// The value, in the unit of the feedback in use.
        value: f64,
    },
    /// Close connections that have been idle for this long, from now on.
    SetIdleTimeout {
        /// The time without a message.
        timeout: Duration,
    },
    /// The health that health checks report from now on.
    SetHealth {
        /// Whether the server is healthy.
        healthy: bool,
    },
    /// Send [`Event::TimerFired`](crate::Event::TimerFired) at this time.
    SetTimer {
        /// The time since the start of the process.
        at: Duration,
    },
    /// The controller no longer refers to this request; the host may reuse its index.
    Release {
        /// The released index.
        request: RequestIndex,
    },
}
