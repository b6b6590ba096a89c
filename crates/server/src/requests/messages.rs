//! What connections, the executor link and the store client exchange with the registry.

use std::sync::Arc;
use std::time::Duration;

use tulipgap::{HandlerIndex, Outcome, TenantIndex};

use crate::trace::TraceContext;

/// The id of a request, as its caller chose it.
pub(crate) type RequestId = Arc<str>;

/// The name of a handler, as callers and the executor know it.
pub(crate) type ClassName = Arc<str>;

/// An idempotency key: as its caller chose it, or [within its tenant and
/// handler](IncomingRequest::scoped_key).
pub(crate) type IdempotencyKey = Arc<str>;

/// A body, a result or a reply, shared without a copy.
pub(crate) type Bytes = Arc<[u8]>;

/// A request as it was read.
pub(crate) struct IncomingRequest {
    pub(crate) id: RequestId,
    pub(crate) handler: HandlerIndex,
    pub(crate) tenant: Option<TenantIndex>,
    /// How long ago it reached the machine.
    pub(crate) age: Duration,
    /// How long its caller still waits, where the request states it.
    pub(crate) client_wait: Option<Duration>,
    /// The work that its caller expects, where the request states it.
    pub(crate) estimated_work: Option<Duration>,
    /// The memory that it takes while it is queued, in kilobytes.
    pub(crate) queued_kb: f64,
    pub(crate) is_retry: bool,
    /// The idempotency key that its caller chose.
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    /// The hash of its body; that of a duplicate is equal.
    pub(crate) body_hash: u64,
    /// What only a recording needs, where there is one.
    pub(crate) trace: Option<TraceContext>,
}

impl IncomingRequest {
    /// The idempotency key within its tenant and handler. Callers choose keys, so two tenants may
    /// choose the same, and neither may get the other's result.
    pub(super) fn scoped_key(&self) -> Option<IdempotencyKey> {
        let key = self.idempotency_key.as_ref()?;
        Some(match self.tenant {
            Some(tenant) => format!("{}/{tenant}/{key}", self.handler).into(),
            None => format!("{}/-/{key}", self.handler).into(),
        })
    }
}

/// What a request's coroutine is to do next.
#[derive(Debug, PartialEq)]
pub(crate) enum Command {
    /// Start its run.
    Start,
    /// Cancel its run.
    Cancel,
    /// Make the dependency call that it waits for.
    StartCall {
        /// The time limit of the call.
        timeout: Duration,
        /// What is sent to the dependency.
        body: Bytes,
    },
    /// Resume its run with the reply to its call.
    Resume {
        /// What the dependency replied.
        reply: Bytes,
    },
    /// Resume its run without the call of this number.
    SkipCall {
        /// The number of the call within the run.
        call: u64,
    },
    /// Send its final response.
    Respond(Response),
    /// Nothing: there are no further commands.
    Finish,
}

/// The one final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Response {
    Completed(Bytes),
    Rejected {
        retry_after: Option<Duration>,
        retry_other_server: bool,
    },
    Failed,
}

/// What became of a request's run or call.
#[derive(Debug)]
pub(crate) enum RequestEvent {
    RunFinished {
        outcome: Outcome,
        result: Bytes,
        /// How long the run took, where the executor states it.
        work: Option<Duration>,
    },
    CallReached {
        /// The number of the call within the run.
        call: u64,
        body: Bytes,
    },
    CallFinished {
        outcome: Outcome,
        reply: Bytes,
    },
    CallerGone,
}

/// Why a request could not be registered.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub(crate) enum RegisterError {
    /// A request with the same id is open.
    #[error("its id is open")]
    DuplicateId,
    /// Its idempotency key is remembered with another body.
    #[error("its key came with another body")]
    KeyReused,
    /// The executor was never up.
    #[error("the executor has not started")]
    NotStarted,
}
