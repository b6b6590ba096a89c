//! Problems of a configuration file, with their positions.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// One problem of a file. Lines and columns count from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
    /// The problem at this position.
    pub kind: ProblemKind,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.kind)
    }
}

/// The kinds of problems. A path is a key with the blocks around it: `trace.folder`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProblemKind {
    /// The text is not HCL, or cannot be read as the configuration.
    #[error("{0}")]
    Syntax(String),
    /// The key is not in the schema.
    #[error("unknown key '{path}'{}", suggestion.map_or_else(String::new, |name| format!("; did you mean '{name}'?")))]
    UnknownKey {
        /// The path as written in the file.
        path: String,
        /// The known key that is most similar to the unknown one.
        suggestion: Option<&'static str>,
    },
    /// A key or block occurs more than once.
    #[error("'{0}' is defined more than once")]
    Duplicate(String),
    /// A required key is missing.
    #[error("'{0}' is missing")]
    Missing(String),
    /// A block has a label.
    #[error("block '{0}' must not have a label")]
    Label(String),
    /// A key is written as a block.
    #[error("'{0}' is not a block; write {0} = ...")]
    NotABlock(String),
    /// A block is written as a key.
    #[error("'{0}' is a block; write {0} {{ ... }}")]
    IsABlock(String),
    /// The value is of another type.
    #[error("{path}: expected {expected}")]
    WrongType {
        /// The path of the key.
        path: String,
        /// A description of the values that the key takes.
        expected: &'static str,
    },
    /// The value is of the right type, but not one that the key accepts.
    #[error("{path}: {reason}")]
    InvalidValue {
        /// The path of the key.
        path: String,
        /// Why the key rejects the value.
        reason: String,
    },
}

/// Why a file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is larger than the limit of 1 MiB.
    #[error("{}: the file is larger than 1 MiB", path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
    },
    /// The file has problems.
    #[error("{}", problem_lines(path, problems))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// All of its problems, in the order of their positions.
        problems: Vec<Problem>,
    },
}

/// One line for each problem: `file:line:column: problem`.
fn problem_lines(path: &std::path::Path, problems: &[Problem]) -> String {
    let line = |problem: &Problem| format!("{}:{problem}", path.display());
    problems.iter().map(line).collect::<Vec<_>>().join("\n")
}
