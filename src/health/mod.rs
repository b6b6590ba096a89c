//! The server's assessment of itself: its slowdown, its failure rate, and whether another server
//! would do better.

mod degraded;
mod failure_rate;
mod slowdown;
#[cfg(test)]
mod tests;

pub(crate) use degraded::is_degraded;
pub(crate) use failure_rate::{high_failure_fraction, is_shed_for_failures};
pub(crate) use slowdown::{RunTimes, Slowdown, SlowdownSample};
