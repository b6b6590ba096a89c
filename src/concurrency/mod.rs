//! How many requests run at once.

mod core_limit;
mod cores;
mod running_limit;
mod survivable;
#[cfg(test)]
mod tests;

pub(crate) use core_limit::CoreLimitInput;
pub(crate) use cores::CoreUsage;
pub(crate) use running_limit::RunningLimit;
pub(crate) use survivable::SurvivableConcurrency;
