//! The queue: the order in which requests wait, and whether a request that waits there is likely to
//! be answered in time.

mod order;
mod prediction;
#[cfg(test)]
mod tests;

pub(crate) use order::{Queue, QueueHeads};
pub(crate) use prediction::{RequestForecast, ServerForecast};
