//! The server's view of itself: its slowdown, its failures, and whether another server would do
//! better.

mod failure_rate;
mod slowdown;
#[cfg(test)]
mod tests;

pub(crate) use failure_rate::high_failure_fraction;
pub(crate) use slowdown::{RunTimes, Slowdown, SlowdownSample};
