//! The open requests of this server. [`RequestRegistry`] hosts the overload controller: only the
//! registry handles the controller's events and actions, and it knows no protocol. The controller
//! decides whether a request is admitted, queued, run or rejected. The registry itself rejects only
//! requests that must not reach the controller: every request before the controller has started, a
//! request whose id is open, a request whose idempotency key was used with another body, and a
//! keyed request for whose key there is no memory.
//!
//! A request is [registered](RequestRegistry::register) after it was read. Its coroutine then takes
//! each [`Command`] from its [`Ticket`] and executes it, while the executor link and the store
//! client report the progress of runs and calls as [`RequestEvent`]s.

mod idempotency;
mod idle_rejections;
mod key_limits;
mod messages;
mod metrics;
mod open_request;
mod registry;
mod scoped_key;
mod state;
mod ticket;
mod timers;

#[cfg(test)]
mod tests;

pub(crate) use key_limits::KeyLimits;
pub(crate) use messages::{
    Bytes, ClassName, Command, IdempotencyKey, IncomingRequest, RegisterError, RequestEvent,
    RequestId, Response,
};
pub(crate) use registry::RequestRegistry;
pub(crate) use ticket::Ticket;
pub(crate) use tulipgap::{Gauges, Outcome};
