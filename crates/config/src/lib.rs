//! The product configuration: one HCL file, which is accepted as a whole or rejected. [`read`]
//! takes the path of a file and returns a [`ProductConfig`], or a [`ConfigError`] with every
//! problem of the file at once, each with its line and column. For an unknown key, the problem
//! suggests the nearest known key.
//!
//! The fields of the configuration types have the names of their HCL keys, which the problems also
//! use. A key that is absent has its default, and a block that is absent is off.
//!
//! ```
//! let config = tulipgap_config::parse("trace {\n  folder = \"recordings\"\n}\n").unwrap();
//! assert_eq!(config.trace.unwrap().format, 2);
//!
//! let problems = tulipgap_config::parse("trace {\n  fodler = \"recordings\"\n}\n").unwrap_err();
//! assert_eq!(problems[1].to_string(), "2:3: unknown key 'trace.fodler'; did you mean 'folder'?");
//! ```

#![warn(missing_docs)]

mod cluster;
mod connection_limits;
mod error;
mod fault_injection;
mod schema;
mod structure;
mod trace;
mod validators;

#[cfg(test)]
mod tests;

use std::path::Path;

use garde::Validate;
use serde::Deserialize;

pub use cluster::{ClusterConfig, DrainConfig};
pub use connection_limits::{ConnectionLimitsConfig, NetworkLimitConfig};
pub use error::{ConfigError, Problem, ProblemKind};
pub use fault_injection::{FaultInjectionConfig, TestLease};
pub use trace::TraceConfig;

/// Maximum size of a file, in bytes.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// All blocks of the file. A block that is absent is off.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Validate)]
pub struct ProductConfig {
    /// The recording of requests.
    #[garde(dive)]
    pub trace: Option<TraceConfig>,
    /// The limits on client connections.
    #[garde(dive)]
    pub admission: Option<ConnectionLimitsConfig>,
    /// Membership of a cluster.
    #[garde(dive)]
    pub cluster: Option<ClusterConfig>,
}

/// Reads a file.
///
/// # Errors
/// [`ConfigError::Read`] or [`ConfigError::TooLong`] if the file cannot be read;
/// [`ConfigError::Invalid`], with all problems, if its content is invalid.
pub fn read(path: &Path) -> Result<ProductConfig, ConfigError> {
    let read_error = |source| ConfigError::Read {
        path: path.to_owned(),
        source,
    };
    if std::fs::metadata(path).map_err(read_error)?.len() > MAX_FILE_BYTES {
        return Err(ConfigError::TooLong {
            path: path.to_owned(),
        });
    }
    let text = std::fs::read_to_string(path).map_err(read_error)?;
    parse(&text).map_err(|problems| ConfigError::Invalid {
        path: path.to_owned(),
        problems,
    })
}

/// Parses a text.
///
/// # Errors
/// All problems of the text, in the order of their positions.
pub fn parse(text: &str) -> Result<ProductConfig, Vec<Problem>> {
    let structure = structure::check(text);
    let mut problems = structure.problems;
    if problems.is_empty() {
        match hcl::from_str::<ProductConfig>(text) {
            Ok(config) => match config.validate() {
                Ok(()) => return Ok(config),
                Err(report) => problems.extend(report.iter().map(|(path, error)| {
                    let path = path.to_string();
                    let position = structure.positions.of(&path);
                    position.problem(ProblemKind::InvalidValue {
                        path,
                        reason: error.to_string(),
                    })
                })),
            },
            // The structure check finds the same errors with their positions; an error that only
            // this step finds has none.
            Err(error) => {
                let kind = ProblemKind::Syntax(error.to_string());
                problems.push(structure::Position::START.problem(kind));
            }
        }
    }
    problems.sort_by_cached_key(|problem| (problem.line, problem.column, problem.kind.to_string()));
    Err(problems)
}
