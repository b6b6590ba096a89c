//! Errors of commands that cannot be carried out, which exit with 2, and the status of all others.

use std::io;
use std::path::{Path, PathBuf};

use tulipgap_config::ConfigError;
use tulipgap_fault_injection::{PlanError, RunError};
use tulipgap_trace::{KeyError, RewriteError, TraceError, WriteError};

/// Why a command cannot be carried out.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    /// An argument is invalid, or does not match the other arguments or the file.
    #[error("{0}")]
    Argument(#[from] ArgumentError),
    /// A file cannot be opened, read, written or moved to its path.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    /// A recording cannot be read.
    #[error("{}: {source}", path.display())]
    Trace { path: PathBuf, source: TraceError },
    /// A key for anonymising is not accepted.
    #[error("{}: {source}", path.display())]
    Key { path: PathBuf, source: KeyError },
    /// A synthetic recording could not be written in full.
    #[error("{}: {source}; {missing_records} records were lost", path.display())]
    Recording {
        path: PathBuf,
        source: WriteError,
        missing_records: u64,
    },
    /// A recording cannot be made from others.
    #[error("{0}")]
    Rewrite(#[from] RewriteError),
    /// A recording cannot be written.
    #[error("{0}")]
    Write(#[from] WriteError),
    /// Reading or writing a stream failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A configuration file cannot be read.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// A fault injection plan is invalid.
    #[error("{}: {source}", path.display())]
    Plan { path: PathBuf, source: PlanError },
    /// A plan cannot be run with real processes.
    #[error("{}: {source}", path.display())]
    Run { path: PathBuf, source: RunError },
    /// A process cannot be reached over its socket, or does not answer in time.
    #[error("{}: {source}", socket.display())]
    Socket { socket: PathBuf, source: io::Error },
    /// The answer of a process is not JSON.
    #[error("{}: {source}", socket.display())]
    Answer {
        socket: PathBuf,
        source: serde_json::Error,
    },
}

/// An argument that is invalid, or does not match the other arguments or the file.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum ArgumentError {
    #[error("--minutes {0}: expected more than 0, and at most a month")]
    Minutes(f64),
    #[error("--rate {0}: expected more than 0, and at most 1000000")]
    Rate(f64),
    #[error("unknown handler '{name}'; the handlers are {}", known.join(", "))]
    UnknownHandler { name: String, known: Vec<String> },
    #[error("unknown outcome '{0}'; the outcomes are done, shed, errored and gone")]
    UnknownOutcome(String),
    #[error("--from is not before --to")]
    EmptyTimeSpan,
    #[error("no key is given")]
    MissingKey,
    #[error("--offset: no file is from server '{0}'")]
    UnknownServer(String),
    #[error("{}: random faults are supported only for plans with leases", .0.display())]
    RandomFaultsWithoutLeases(PathBuf),
}

impl CliError {
    /// The error for a file of that path.
    pub(crate) fn file(path: &Path) -> impl Fn(io::Error) -> CliError {
        move |source| CliError::File {
            path: path.to_owned(),
            source,
        }
    }

    /// The error for a recording of that path.
    pub(crate) fn trace(path: &Path) -> impl Fn(TraceError) -> CliError {
        move |source| CliError::Trace {
            path: path.to_owned(),
            source,
        }
    }

    /// Whether the error is that the reader of the output has closed it.
    pub(crate) fn is_closed_pipe(&self) -> bool {
        let error = match self {
            CliError::Io(error) | CliError::File { source: error, .. } => error,
            CliError::Write(WriteError::Io(error)) => error,
            CliError::Rewrite(RewriteError::Write(WriteError::Io(error))) => error,
            _ => return false,
        };
        error.kind() == io::ErrorKind::BrokenPipe
    }
}

/// Whether a command's result is complete.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Status {
    /// Nothing is missing. The exit code is 0.
    Complete,
    /// Something is missing, damaged or rejected; everything else was returned. The exit code is
    /// 1.
    Incomplete,
}

impl Status {
    /// Returns [`Status::Incomplete`] unless `is_complete`; otherwise leaves the status as it is.
    pub(crate) fn and(self, is_complete: bool) -> Status {
        if is_complete {
            self
        } else {
            Status::Incomplete
        }
    }

    pub(crate) fn of(is_complete: bool) -> Status {
        Status::Complete.and(is_complete)
    }
}

/// The result of a command.
pub(crate) type CommandResult = Result<Status, CliError>;
