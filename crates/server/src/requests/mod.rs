//! The requests that are open on this server. [`RequestRegistry`] hosts the overload controller: it
//! is the only place that sees the controller's events and actions. It takes no decision itself and
//! knows no protocol.
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
