//! The arguments of `tulipgap trace`.

use std::path::PathBuf;

use clap::{Subcommand, ValueEnum};

use crate::times::{Moment, ServerOffset};

#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum ExportFormat {
    /// One JSON object per line
    Jsonl,
    /// Comma-separated values with a header line
    Csv,
}

/// The records of a recording that are selected.
#[derive(clap::Args)]
pub(crate) struct Selection {
    /// Start time: an offset from the recording's first time (37m), or RFC 3339
    #[arg(long)]
    pub(crate) from: Option<Moment>,
    /// End time, exclusive
    #[arg(long)]
    pub(crate) to: Option<Moment>,
    /// Only this handler; may be given more than once
    #[arg(long = "handler", value_name = "HANDLER")]
    pub(crate) handlers: Vec<String>,
    /// Only this outcome (done, shed, errored, gone); may be given more than once
    #[arg(long = "outcome", value_name = "OUTCOME")]
    pub(crate) outcomes: Vec<String>,
}

/// The output file of a command that writes a recording.
#[derive(clap::Args)]
pub(crate) struct OutputArgs {
    /// Output file; - is standard output
    #[arg(short = 'o', long = "output", value_name = "OUTPUT")]
    pub(crate) path: PathBuf,
    /// Format version of the output
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=2))]
    pub(crate) format: u32,
}

#[derive(Subcommand)]
pub(crate) enum TraceCommand {
    /// Show the header, the contents and the column sizes of files
    Info {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Copy the records of a time span, of some handlers or outcomes
    Cut {
        /// - is standard input
        file: PathBuf,
        #[command(flatten)]
        selection: Selection,
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Merge files into one, ordered by time
    Merge {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(short, long)]
        output: PathBuf,
        /// Offset that is added to the times of a server: NAME=+1.5s, NAME=-20ms; may be given more
        /// than once
        #[arg(long = "offset", value_name = "OFFSET", allow_hyphen_values = true)]
        offsets: Vec<ServerOffset>,
        /// Estimate the offsets of the servers' clocks from retries that reached several of them
        #[arg(long)]
        estimate: bool,
    },
    /// Copy a file with ids, keys, subjects and callers replaced by keyed hashes
    Anonymise {
        file: PathBuf,
        #[arg(short, long)]
        output: PathBuf,
        /// File with the key: 64 hex digits, or 32 random bytes or more; - is standard input
        #[arg(long, conflicts_with = "key_fd", required_unless_present = "key_fd")]
        key_file: Option<PathBuf>,
        /// Descriptor to read the key from
        #[arg(long)]
        key_fd: Option<u32>,
        /// Also hide the names of tenants
        #[arg(long)]
        tenants: bool,
        /// Also hide the names of servers
        #[arg(long)]
        servers: bool,
        /// Also hide the names of handlers
        #[arg(long)]
        handlers: bool,
    },
    /// Summarise requests by handler and tenant: completed, rejected by reason, failed, service
    /// level, response times
    Summary {
        /// Several files are first merged, ordered by time
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[command(flatten)]
        selection: Selection,
        #[arg(long)]
        json: bool,
        /// Add a row for each minute
        #[arg(long)]
        by_minute: bool,
    },
    /// Read whole files and report damage and contradictions
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Write the intact records of a damaged file to a sound file that marks the gaps
    Repair {
        file: PathBuf,
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Write records as text
    Export {
        file: PathBuf,
        #[command(flatten)]
        selection: Selection,
        #[arg(short, long, default_value = "-")]
        output: PathBuf,
        #[arg(long = "form", value_name = "FORM", value_enum, default_value_t = ExportFormat::Jsonl)]
        format: ExportFormat,
    },
    /// Write a recording of synthetic load, and its raw log
    Synth {
        #[arg(long, default_value_t = 1.0)]
        minutes: f64,
        /// First attempts per second
        #[arg(long, default_value_t = 190.0)]
        rate: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of cores of the server
        #[arg(long, default_value_t = 12)]
        cores: usize,
        #[arg(long, default_value = "n1")]
        server: String,
        #[command(flatten)]
        output: OutputArgs,
        /// Output file of the raw log, one JSON object per request
        #[arg(long)]
        raw: Option<PathBuf>,
    },
}
