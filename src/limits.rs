//! The usable part of the limits that the configuration states.
//!
//! The survivable concurrency, the memory limit and the share of a dependency come from the
//! configuration: they were measured in an overload test or granted by the dependency. A server
//! that uses such a limit in full falls over when one measurement is late or one estimate is too
//! low, so every rule that keeps one of these limits stays below it by the same fraction. The cost
//! is a tenth of each limit.

/// Fraction of a stated limit (survivable concurrency, memory, dependency share) that is used.
pub(crate) const USABLE_LIMIT_FRACTION: f64 = 0.9;
