//! Tests of the limiter against a model of its connections. Guards against a limiter that exceeds
//! the descriptor budget or ignores its reservations, closes a connection with an open request, or
//! neither serves, rejects nor closes a connection.

mod admission;
mod eviction;
mod harness;
mod invariants;
mod timeouts;
