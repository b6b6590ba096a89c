//! The name=value fields of one line of the wire.

use std::time::Duration;

use tulipgap::{Gauges, Outcome};
use tulipgap_settings::{gauge_mut, milliseconds};

/// Input that cannot be read, with its line and field.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    #[error("line {line}: {field}: {problem}")]
    Malformed {
        line: usize,
        field: String,
        problem: String,
    },
    #[error("standard streams: {0}")]
    Io(#[from] std::io::Error),
}

impl WireError {
    pub(crate) fn at(line: usize, field: &str, problem: impl Into<String>) -> Self {
        WireError::Malformed {
            line,
            field: field.to_owned(),
            problem: problem.into(),
        }
    }
}

/// The fields of most lines, for which space is reserved.
const USUAL_FIELDS: usize = 14;

/// The name=value pairs of one line.
pub(crate) struct Fields<'a> {
    pub(crate) line: usize,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    pub(crate) fn parse(line: usize, mut rest: &'a str) -> Result<Self, WireError> {
        let mut pairs = Vec::with_capacity(USUAL_FIELDS);
        while !rest.is_empty() {
            let Some((name, after)) = rest.split_once('=') else {
                return Err(WireError::at(line, rest, "it is no name=value pair"));
            };
            let text = name == "facts";
            let (value, next) = if text {
                (after, "")
            } else {
                after.split_once(' ').unwrap_or((after, ""))
            };
            pairs.push((name, value));
            rest = next;
        }
        Ok(Fields { line, pairs })
    }

    fn find(&self, name: &str) -> Option<&'a str> {
        self.pairs
            .iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| *value)
    }

    pub(crate) fn error(&self, name: &str, problem: impl Into<String>) -> WireError {
        WireError::at(self.line, name, problem)
    }

    /// The value of a field that may not be missing or empty.
    pub(crate) fn text(&self, name: &str) -> Result<&'a str, WireError> {
        self.find(name)
            .filter(|value| !value.is_empty())
            .ok_or_else(|| self.error(name, "it is missing"))
    }

    /// The value of a field that is a whole number.
    pub(crate) fn integer(&self, name: &str) -> Result<u64, WireError> {
        let value = self.text(name)?;
        value
            .parse()
            .map_err(|_| self.error(name, format!("'{value}' is no whole number")))
    }

    /// The value of a field, where it is given: a finite number of at least 0.
    pub(crate) fn number(&self, name: &str) -> Result<Option<f64>, WireError> {
        let Some(value) = self.find(name) else {
            return Ok(None);
        };
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(Some(number)),
            _ => Err(self.error(name, format!("'{value}' is no number of at least 0"))),
        }
    }

    /// The value of a field that may not be left out: a finite number of at least 0.
    pub(crate) fn required_number(&self, name: &str) -> Result<f64, WireError> {
        self.number(name)?
            .ok_or_else(|| self.error(name, "it is missing"))
    }

    /// A time of `value` milliseconds, which the field of this name holds.
    pub(crate) fn time(&self, name: &str, value: f64) -> Result<Duration, WireError> {
        milliseconds(name, value).map_err(|error| self.error(name, error.to_string()))
    }

    /// Whether a field is 1; it may be left out.
    pub(crate) fn flag(&self, name: &str) -> Result<bool, WireError> {
        match self.find(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.error(name, format!("'{value}' is not 0 or 1"))),
        }
    }

    /// An id that is left out, or 0, where there is none.
    pub(crate) fn optional(&self, name: &str) -> Option<&'a str> {
        self.find(name).filter(|value| !matches!(*value, "" | "0"))
    }

    /// The outcome of a run or call, which the field `reason` names.
    pub(crate) fn outcome(&self) -> Result<Outcome, WireError> {
        Ok(match self.text("reason")? {
            "success" => Outcome::Succeeded,
            "failure" => Outcome::Failed,
            "overloaded" => Outcome::Rejected,
            "timed_out" => Outcome::TimedOut,
            "unreachable" => Outcome::Unreachable,
            "broken" => Outcome::ConnectionLost,
            "withdrawn" => Outcome::Cancelled,
            "void" => Outcome::NotStarted,
            other => return Err(self.error("reason", format!("'{other}' is no outcome"))),
        })
    }

    /// The gauges in the field `feedback`; those that are not known are ignored.
    pub(crate) fn gauges(&self) -> Result<Gauges, WireError> {
        let mut gauges = Gauges::default();
        for pair in self
            .find("feedback")
            .unwrap_or("")
            .split(',')
            .filter(|pair| !pair.is_empty())
        {
            let Some((name, value)) = pair.split_once(':') else {
                return Err(self.error("feedback", format!("'{pair}' is no name:value pair")));
            };
            let Some(gauge) = gauge_mut(&mut gauges, name) else {
                continue;
            };
            match value.parse::<f64>() {
                Ok(number) if number.is_finite() => *gauge = Some(number),
                _ => return Err(self.error("feedback", format!("'{value}' is no number"))),
            }
        }
        Ok(gauges)
    }
}
