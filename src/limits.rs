//! How far the limits that the configuration states are used.
//!
//! The survivable concurrency, the memory limit and the share of a dependency are stated by the
//! configuration: measured in an overload test, or granted by the dependency. A server that goes up
//! to them exactly falls over when one measurement is late or one estimate too low, so every rule
//! that keeps such a limit stays below it by the same fraction. The price is a tenth of each limit.

/// Fraction of a stated limit (survivable concurrency, memory, dependency share) that is used.
pub(crate) const USABLE_LIMIT_FRACTION: f64 = 0.9;
