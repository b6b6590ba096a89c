//! Times on the command line and in reports: offsets, or RFC 3339.

#[cfg(test)]
mod tests;

use std::str::FromStr;
use std::time::{Duration, UNIX_EPOCH};

use tulipgap_trace::Micros;

/// The first Unix time that RFC 3339 cannot express, the year 10000, in microseconds.
const END_OF_RFC3339: Micros = 253_402_300_800_000_000;

/// Why a time on the command line is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum TimeError {
    #[error("neither an offset such as 37m or 1h 5s, nor a time such as 2026-12-01T16:05:00Z")]
    NotAMoment,
    #[error("a time before 1970")]
    BeforeUnixEpoch,
    #[error("not of the form NAME=+1.5s or NAME=-20ms")]
    NotAnOffset,
    #[error("unknown unit '{0}'; the units are us, ms, s, m and h")]
    UnknownUnit(String),
}

/// A moment of a recording.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Moment {
    /// An offset from the first record.
    AfterFirst(Duration),
    /// Unix time.
    At(Micros),
}

impl Moment {
    /// The Unix time of the moment in a recording whose first record has the time `first`.
    pub(crate) fn unix_time(self, first: Micros) -> Micros {
        match self {
            Moment::AfterFirst(span) => first.saturating_add(micros(span)),
            Moment::At(at) => at,
        }
    }
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

impl FromStr for Moment {
    type Err = TimeError;

    fn from_str(text: &str) -> Result<Self, TimeError> {
        if let Ok(span) = humantime::parse_duration(text) {
            return Ok(Moment::AfterFirst(span));
        }
        let time = humantime::parse_rfc3339_weak(text).map_err(|_| TimeError::NotAMoment)?;
        let since = time
            .duration_since(UNIX_EPOCH)
            .map_err(|_| TimeError::BeforeUnixEpoch)?;
        Ok(Moment::At(micros(since)))
    }
}

/// The offset that is added to the times of one server: `NAME=+1.5s`.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServerOffset {
    pub(crate) server: String,
    pub(crate) offset: Micros,
}

impl FromStr for ServerOffset {
    type Err = TimeError;

    fn from_str(text: &str) -> Result<Self, TimeError> {
        let (server, span) = text.rsplit_once('=').ok_or(TimeError::NotAnOffset)?;
        let (sign, span) = match span.strip_prefix('-') {
            Some(span) => (-1.0, span),
            None => (1.0, span.strip_prefix('+').unwrap_or(span)),
        };
        let unit_start = span
            .find(|c: char| !c.is_ascii_digit() && c != '.')
            .ok_or(TimeError::NotAnOffset)?;
        let (number, unit) = span.split_at(unit_start);
        let unit_micros = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "m" => 60e6,
            "h" => 3600e6,
            _ => return Err(TimeError::UnknownUnit(unit.to_owned())),
        };
        let number: f64 = number.parse().map_err(|_| TimeError::NotAnOffset)?;
        Ok(ServerOffset {
            server: server.to_owned(),
            offset: (sign * number * unit_micros).round() as Micros,
        })
    }
}

/// A Unix time in RFC 3339, or a number of microseconds if RFC 3339 cannot express it.
pub(crate) fn format_time(at: Micros) -> String {
    match u64::try_from(at)
        .ok()
        .and_then(|at| UNIX_EPOCH.checked_add(Duration::from_micros(at)))
    {
        Some(time) if at < END_OF_RFC3339 => humantime::format_rfc3339_millis(time).to_string(),
        _ => format!("{at} us"),
    }
}

/// A span of time, in whole milliseconds.
pub(crate) fn format_span(span: Micros) -> String {
    let span = Duration::from_millis(u64::try_from(span / 1000).unwrap_or(0));
    humantime::format_duration(span).to_string()
}
