//! Input events of the controller. No decision is taken here.

use std::time::Duration;

/// A small index that the host assigns to a request when it reads it. The host may reuse the index
/// after [`Action::Release`](crate::Action::Release).
pub type RequestIndex = usize;

/// The position of a handler in [`Config::handlers`](crate::Config::handlers).
pub type HandlerIndex = usize;

/// The position of a tenant in [`Config::tenants`](crate::Config::tenants).
pub type TenantIndex = usize;

/// A request that was read from a connection. The controller owns it until it releases its index.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The index that names the request from now on.
    pub request: RequestIndex,
    /// The handler that serves it.
    pub handler: HandlerIndex,
    /// The tenant that sent it, where one is known.
    pub tenant: Option<TenantIndex>,
    /// The time since it reached the machine.
    pub age: Duration,
    /// The time that its caller still waits, if the caller states it.
    pub client_wait: Option<Duration>,
    /// The expected work, as time on an average core, if the caller gives an estimate.
    pub estimated_work: Option<Duration>,
    /// The memory that it takes while it is queued, in kilobytes.
    pub queued_kb: f64,
    /// Whether it is known to be a retry or a hedged request.
    pub is_retry: bool,
    /// Whether it duplicates a request whose idempotency key is remembered, so that it can be
    /// coalesced.
    pub is_duplicate: bool,
}

/// How a run or a dependency call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It completed.
    Succeeded,
    /// It failed, and may still have had its effect.
    Failed,
    /// The dependency rejected it without running it.
    Rejected,
    /// No result came within its time limit; it may still have had its effect.
    TimedOut,
    /// The dependency could not be reached, so the call never ran.
    Unreachable,
    /// Its connection was lost; it may still have had its effect.
    ConnectionLost,
    /// The run was cancelled.
    Cancelled,
    /// No run was started: the request had already ended, or the start was refused.
    NotStarted,
}

impl Outcome {
    /// Whether the call certainly had no effect at the dependency.
    pub(crate) fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable)
    }

    /// Whether the dependency may still work on the call.
    pub(crate) fn may_still_run(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::ConnectionLost)
    }

    /// Whether the connection, and not the dependency, ended the call.
    pub(crate) fn is_connection_failure(self) -> bool {
        matches!(self, Outcome::ConnectionLost | Outcome::Unreachable)
    }
}

/// Gauges of the machine at one moment; each is `None` where the host does not measure it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// The fraction of the cores that was busy recently.
    pub busy_fraction: Option<f64>,
    /// The number of tasks that run or wait for a core: runs, reading of requests, health checks
    /// and new connections.
    pub runnable: Option<f64>,
    /// The number of open connections.
    pub open_connections: Option<f64>,
}

/// Something that happened on the host.
#[derive(Clone, Debug)]
pub enum Event {
    /// The server starts. It is sent once, before any other event.
    Started,
    /// A request was read.
    Arrived(Arrival),
    /// A run, or a coalesced request, ended; with `Succeeded` or `Failed` the caller has its
    /// answer.
    Finished {
        /// The request that ended.
        request: RequestIndex,
        /// How it ended.
        outcome: Outcome,
    },
    /// The caller no longer waits.
    CallerGone {
        /// The request whose caller is gone.
        request: RequestIndex,
    },
    /// A run has reached its dependency call and has left the cores.
    ReachedCall {
        /// The request that waits for its call.
        request: RequestIndex,
    },
    /// A dependency call ended. After `Succeeded` the run continues by itself; otherwise it waits
    /// at the call again.
    CallFinished {
        /// The request whose call ended.
        request: RequestIndex,
        /// How the call ended.
        outcome: Outcome,
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) fired.
    TimerFired {
        /// The readings at this moment.
        gauges: Gauges,
    },
    /// The shutdown notice.
    ShutdownNotice {
        /// The time since the notice came.
        since: Duration,
        /// The time from now until the process is terminated.
        left: Duration,
    },
}
