//! Conversion of computed seconds to a [`Duration`].
//!
//! Rules compute in seconds as `f64`, which are infinite or NaN where a divisor is 0. A time limit
//! of that kind counts as no limit, so the conversion never fails and returns the longest duration.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Converts seconds to a duration. The result is [`Duration::MAX`], and not zero, if `seconds` is
/// negative, NaN or out of range: a caller for which a negative time means zero must clamp it
/// first.
pub(crate) fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
