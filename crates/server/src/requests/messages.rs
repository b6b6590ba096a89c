//! The messages that connections, the executor link and the store client exchange with the
//! registry.

use std::sync::Arc;
use std::time::Duration;

use tulipgap::{HandlerIndex, Outcome, TenantIndex};

use crate::trace::TraceContext;

/// The id of a request, assigned by its caller.
pub(crate) type RequestId = Arc<str>;

/// The name of a handler in the protocols of callers and the executor.
pub(crate) type ClassName = Arc<str>;

/// An idempotency key, as assigned by its caller.
pub(crate) type IdempotencyKey = Arc<str>;

/// A body, a result or a reply that is shared without copying.
pub(crate) type Bytes = Arc<[u8]>;

/// A parsed request that is not registered yet.
pub(crate) struct IncomingRequest {
    pub(crate) id: RequestId,
    pub(crate) handler: HandlerIndex,
    pub(crate) tenant: Option<TenantIndex>,
    /// The time since the request reached the machine.
    pub(crate) age: Duration,
    /// How long its caller still waits, if the request states it.
    pub(crate) client_wait: Option<Duration>,
    /// The caller's work estimate, if the request states it.
    pub(crate) estimated_work: Option<Duration>,
    /// The memory that the request takes while it is queued, in kilobytes.
    pub(crate) queued_kb: f64,
    pub(crate) is_retry: bool,
    /// The idempotency key, as assigned by its caller.
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    /// The hash of its body. Duplicates have the same hash.
    pub(crate) body_hash: u64,
    /// The fields that only the recording needs; `None` without a recording.
    pub(crate) trace: Option<TraceContext>,
}

/// A command for a request's coroutine.
#[derive(Debug, PartialEq)]
pub(crate) enum Command {
    /// Start the run of the request.
    Start,
    /// Cancel the run.
    Cancel,
    /// Make the dependency call that the run waits for.
    StartCall {
        /// The time limit of the call.
        timeout: Duration,
        /// The body of the call.
        body: Bytes,
    },
    /// Resume the run with the reply to its call.
    Resume {
        /// The reply of the dependency.
        reply: Bytes,
    },
    /// Resume the run without the call with this number.
    SkipCall {
        /// The number of the call, which is unique among the calls of all runs.
        call: u64,
    },
    /// Send the final response to the caller.
    Respond(Response),
    /// End the coroutine: there are no further commands.
    Finish,
}

/// The final response to a request. Each request gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Response {
    Completed(Bytes),
    Rejected {
        retry_after: Option<Duration>,
        retry_other_server: bool,
    },
    Failed,
}

/// An event of an open request: of its run, its dependency call or its caller.
#[derive(Debug)]
pub(crate) enum RequestEvent {
    RunFinished {
        outcome: Outcome,
        result: Bytes,
        /// How long the run took, if the executor states it.
        work: Option<Duration>,
    },
    CallReached {
        /// The number of the call, which is unique among the calls of all runs.
        call: u64,
        body: Bytes,
    },
    CallFinished {
        outcome: Outcome,
        reply: Bytes,
    },
    CallerGone,
}

/// The reason why a request cannot be registered.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub(crate) enum RegisterError {
    /// A request with the same id is open.
    #[error("its id is open")]
    DuplicateId,
    /// Its idempotency key was used before with another body.
    #[error("its key came with another body")]
    KeyReused,
    /// No further idempotency key can be remembered.
    #[error("no memory for its key")]
    KeysFull,
    /// The executor has not been up yet.
    #[error("the executor has not started")]
    NotStarted,
}
