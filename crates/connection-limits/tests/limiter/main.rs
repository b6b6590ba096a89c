//! The limiter against a plain model: whatever the events and their order, the budget of
//! descriptors and its reservations hold, no connection with an open request is closed, and each
//! connection is open or was rejected or closed for a reason.

mod admission;
mod eviction;
mod harness;
mod invariants;
mod timeouts;
