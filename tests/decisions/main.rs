//! The controller alone: on generated days against the four rules, and on each failure that was
//! found.

mod common;
mod failures;
mod rules;
