//! The queue: the order of queued requests, and whether a request is likely to be answered in time.

mod idle_probe;
mod order;
mod prediction;
#[cfg(test)]
mod tests;

pub(crate) use idle_probe::{IdleProbe, ProbeRequest};
pub(crate) use order::{Queue, QueueHeads};
pub(crate) use prediction::{RequestForecast, ServerForecast};
