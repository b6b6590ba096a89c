//! The module alone: against a plain model of the rules, and on each failure found.

mod common;
mod failures;
mod rules;
