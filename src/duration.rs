//! Conversion of computed seconds to a [`Duration`].
//!
//! Rules compute with seconds as `f64`, which may be infinite or no number where a divisor is 0. A
//! time limit is then no limit: the conversion never fails and gives the longest duration.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// A span of this many seconds. It is [`Duration::MAX`], and not zero, where `seconds` is negative,
/// no number or out of range: a caller for which a negative span means none must clamp it before.
pub(crate) fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
