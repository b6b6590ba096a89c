//! Times as they are given and told: offsets, or RFC 3339.

use std::str::FromStr;
use std::time::{Duration, UNIX_EPOCH};

use tulipgap_trace::Micros;

/// A moment of a recording.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Moment {
    After(Duration),
    At(Micros),
}

impl Moment {
    pub fn since(self, first: Micros) -> Micros {
        match self {
            Moment::After(span) => first.saturating_add(micros(span)),
            Moment::At(at) => at,
        }
    }
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

impl FromStr for Moment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if let Ok(span) = humantime::parse_duration(text) {
            return Ok(Moment::After(span));
        }
        match humantime::parse_rfc3339_weak(text) {
            Ok(at) => {
                let since = at.duration_since(UNIX_EPOCH).map_err(|_| "a time before 1970".to_owned())?;
                Ok(Moment::At(micros(since)))
            }
            Err(_) => {
                Err("neither an offset such as 37m or 1h 5s, nor a time such as 2026-12-01T16:05:00Z".into())
            }
        }
    }
}

/// What is added to the times of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Offset {
    pub server: String,
    pub by: Micros,
}

impl FromStr for Offset {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let form = || "not of the form NAME=+1.5s or NAME=-20ms".to_owned();
        let (server, span) = text.rsplit_once('=').ok_or_else(form)?;
        let (sign, span) = match span.strip_prefix('-') {
            Some(span) => (-1.0, span),
            None => (1.0, span.strip_prefix('+').unwrap_or(span)),
        };
        let at = span.find(|c: char| !c.is_ascii_digit() && c != '.').ok_or_else(form)?;
        let (number, unit) = span.split_at(at);
        let unit = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "m" => 60e6,
            "h" => 3600e6,
            _ => return Err(format!("'{unit}' is no unit: us, ms, s, m or h")),
        };
        let number: f64 = number.parse().map_err(|_| form())?;
        Ok(Offset { server: server.to_owned(), by: (sign * number * unit).round() as Micros })
    }
}

/// A time as it is told.
pub fn shown(at: Micros) -> String {
    match u64::try_from(at).ok().and_then(|at| UNIX_EPOCH.checked_add(Duration::from_micros(at))) {
        // Beyond the year 9999 it cannot be written.
        Some(time) if at < 253_402_300_800_000_000 => humantime::format_rfc3339_millis(time).to_string(),
        _ => format!("{at} us"),
    }
}

pub fn span(micros: Micros) -> String {
    let whole = Duration::from_millis(u64::try_from(micros / 1000).unwrap_or(0));
    humantime::format_duration(whole).to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn moments_and_offsets_are_read() {
        assert_eq!("37m".parse(), Ok(Moment::After(Duration::from_secs(37 * 60))));
        assert_eq!("1970-01-01T00:00:01.5Z".parse(), Ok(Moment::At(1_500_000)));
        assert!("soon".parse::<Moment>().is_err());
        assert_eq!("n=1=+1.5s".parse(), Ok(Offset { server: "n=1".into(), by: 1_500_000 }));
        assert_eq!("n2=-20ms".parse(), Ok(Offset { server: "n2".into(), by: -20_000 }));
        assert!("n2=20".parse::<Offset>().is_err() && "n2".parse::<Offset>().is_err());
        assert_eq!(shown(1_764_576_000_000_000), "2025-12-01T08:00:00.000Z");
        assert_eq!(shown(i64::MAX), "9223372036854775807 us");
    }
}
