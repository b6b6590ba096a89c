//! The name=value fields of one line of the wire.

use std::time::Duration;

use tulipgap::{Gauges, Outcome};
use tulipgap_settings::{gauge_mut, milliseconds};

/// Invalid input, with its line and field, or a failure of the standard streams.
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
    /// An error in that field of a line.
    pub(crate) fn at(line: usize, field: &str, problem: impl Into<String>) -> Self {
        WireError::Malformed {
            line,
            field: field.to_owned(),
            problem: problem.into(),
        }
    }
}

/// The field with a backend's settings, in JSON. Its value extends to the end of the line, because
/// it may contain spaces.
pub(crate) const SETTINGS: &str = "facts";
/// The initial capacity for the fields of a line, which is enough for most lines.
const INITIAL_FIELD_CAPACITY: usize = 14;

/// The name=value pairs of one line.
pub(crate) struct Fields<'a> {
    pub(crate) line: usize,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Parses the fields of a line.
    ///
    /// # Errors
    /// [`WireError`] if a field has no `=`.
    pub(crate) fn parse(line: usize, mut rest: &'a str) -> Result<Self, WireError> {
        let mut pairs = Vec::with_capacity(INITIAL_FIELD_CAPACITY);
        while !rest.is_empty() {
            let Some((name, after)) = rest.split_once('=') else {
                return Err(WireError::at(line, rest, "not a name=value pair"));
            };
            let (value, next) = if name == SETTINGS {
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

    /// An error in the named field of this line.
    pub(crate) fn error(&self, name: &str, problem: impl Into<String>) -> WireError {
        WireError::at(self.line, name, problem)
    }

    /// The value of a field that must be present and not empty.
    pub(crate) fn text(&self, name: &str) -> Result<&'a str, WireError> {
        self.find(name)
            .filter(|value| !value.is_empty())
            .ok_or_else(|| self.error(name, "the field is missing"))
    }

    /// The value of a field that must be a non-negative integer.
    pub(crate) fn integer(&self, name: &str) -> Result<u64, WireError> {
        let value = self.text(name)?;
        value
            .parse()
            .map_err(|_| self.error(name, format!("'{value}' is not a non-negative integer")))
    }

    /// The value of an optional field: a finite number of at least 0.
    pub(crate) fn number(&self, name: &str) -> Result<Option<f64>, WireError> {
        let Some(value) = self.find(name) else {
            return Ok(None);
        };
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(Some(number)),
            _ => Err(self.error(name, format!("'{value}' is not a non-negative number"))),
        }
    }

    /// The value of a required field: a finite number of at least 0.
    pub(crate) fn required_number(&self, name: &str) -> Result<f64, WireError> {
        self.number(name)?
            .ok_or_else(|| self.error(name, "the field is missing"))
    }

    /// Converts the value of the named field, in milliseconds, to a duration.
    pub(crate) fn time(&self, name: &str, value: f64) -> Result<Duration, WireError> {
        milliseconds(name, value).map_err(|error| self.error(name, error.to_string()))
    }

    /// Whether a field is 1. A missing field counts as 0.
    pub(crate) fn flag(&self, name: &str) -> Result<bool, WireError> {
        match self.find(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.error(name, format!("'{value}' is not 0 or 1"))),
        }
    }

    /// The value of an optional field; `None` if the field is missing, empty or 0.
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
            other => return Err(self.error("reason", format!("'{other}' is not an outcome"))),
        })
    }

    /// The gauges in the field `feedback`. Unknown gauges are ignored.
    pub(crate) fn gauges(&self) -> Result<Gauges, WireError> {
        let mut gauges = Gauges::default();
        for pair in self
            .find("feedback")
            .unwrap_or("")
            .split(',')
            .filter(|pair| !pair.is_empty())
        {
            let Some((name, value)) = pair.split_once(':') else {
                return Err(self.error("feedback", format!("'{pair}' is not a name:value pair")));
            };
            let Some(gauge) = gauge_mut(&mut gauges, name) else {
                continue;
            };
            match value.parse::<f64>() {
                Ok(number) if number.is_finite() => *gauge = Some(number),
                _ => return Err(self.error("feedback", format!("'{value}' is not a number"))),
            }
        }
        Ok(gauges)
    }
}
