//! The line format in which a process reports that an operation begins or ends.

use std::str::FromStr;
use std::time::Duration;

use tulipgap_leases::FencingToken;

use super::OperationPhase;

/// The word for the beginning of an operation.
const BEGIN: &str = "begin";
/// The word for the end of an operation.
const END: &str = "end";

/// A report from a process: `PHASE LEASE TOKEN MEMBER CHECKED_AT_NS`.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct OperationReport {
    pub(super) phase: OperationPhase,
    pub(super) lease: String,
    pub(super) token: FencingToken,
    pub(super) member: String,
    /// When the member checked that it holds the lease, by the machine's monotonic clock.
    pub(super) checked_at: Duration,
}

/// The line is not a valid report.
#[derive(Debug, thiserror::Error)]
#[error("malformed report: expected begin|end LEASE TOKEN MEMBER CHECKED_AT_NS")]
pub(super) struct MalformedReportError;

impl FromStr for OperationReport {
    type Err = MalformedReportError;

    fn from_str(line: &str) -> Result<Self, MalformedReportError> {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let [phase, lease, token, member, checked_at_ns] = words[..] else {
            return Err(MalformedReportError);
        };
        let phase = match phase {
            BEGIN => OperationPhase::Begin,
            END => OperationPhase::End,
            _ => return Err(MalformedReportError),
        };
        let number = |word: &str| word.parse().map_err(|_| MalformedReportError);
        Ok(OperationReport {
            phase,
            lease: lease.to_owned(),
            token: FencingToken(number(token)?),
            member: member.to_owned(),
            checked_at: Duration::from_nanos(number(checked_at_ns)?),
        })
    }
}
