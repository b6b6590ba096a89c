//! The requests that are open on this server. [`RequestRegistry`] hosts the overload controller: it
//! is the only place that sees the controller's events and actions, and knows no protocol. Whether
//! a request is admitted, queued, run or rejected is the controller's decision; the registry itself
//! turns away only what must not reach it: an id that is open, a key with another body.
//!
//! A request is [registered](RequestRegistry::register) when it is read. Its coroutine then takes
//! one [`Command`] after another from its [`Ticket`] and carries it out, while the links to the
//! executor and to the store report what became of runs and calls as [`RequestEvent`]s.

mod idempotency;
mod messages;
mod metrics;
mod open_request;
mod registry;
mod state;
mod ticket;
mod timers;

#[cfg(test)]
mod tests;

pub(crate) use messages::{
    Bytes, ClassName, Command, IdempotencyKey, IncomingRequest, RegisterError, RequestEvent,
    RequestId, Response,
};
pub(crate) use registry::RequestRegistry;
pub(crate) use ticket::Ticket;
pub(crate) use tulipgap::{Gauges, Outcome};
