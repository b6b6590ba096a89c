//! The arguments of `tulipgap trace`.

use std::path::PathBuf;

use clap::{Subcommand, ValueEnum};

use crate::times::{Moment, ServerOffset};

#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum ExportFormat {
    /// One JSON object a line
    Jsonl,
    /// Values parted by commas, with a line of names
    Csv,
}

/// Which records of a recording are wanted.
#[derive(clap::Args)]
pub(crate) struct Selection {
    /// From this time on: an offset from the recording's first time (37m), or RFC 3339
    #[arg(long)]
    pub(crate) from: Option<Moment>,
    /// Until before this time
    #[arg(long)]
    pub(crate) to: Option<Moment>,
    /// Only this handler; may be given more than once
    #[arg(long = "handler", value_name = "HANDLER")]
    pub(crate) handlers: Vec<String>,
    /// Only this outcome (done, shed, errored, gone); may be given more than once
    #[arg(long = "outcome", value_name = "OUTCOME")]
    pub(crate) outcomes: Vec<String>,
}

/// Where a new recording goes.
#[derive(clap::Args)]
pub(crate) struct OutputArgs {
    /// Where the result goes; - is standard output
    #[arg(short = 'o', long = "output", value_name = "OUTPUT")]
    pub(crate) path: PathBuf,
    /// Format of what is written
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=2))]
    pub(crate) format: u32,
}

#[derive(Subcommand)]
pub(crate) enum TraceCommand {
    /// What a file is and holds
    Info {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// The records of a span of time, of some handlers or outcomes
    Cut {
        /// - is standard input
        file: PathBuf,
        #[command(flatten)]
        selection: Selection,
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Many files to one, in the order of time
    Merge {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(short, long)]
        output: PathBuf,
        /// What is added to the times of a server: NAME=+1.5s, NAME=-20ms; may be given more than
        /// once
        #[arg(long = "offset", value_name = "OFFSET", allow_hyphen_values = true)]
        offsets: Vec<ServerOffset>,
        /// Estimate how far the servers' clocks are apart, from retries at several of them
        #[arg(long)]
        estimate: bool,
    },
    /// A copy with ids, keys, subjects and callers replaced by keyed hashes
    Anonymise {
        file: PathBuf,
        #[arg(short, long)]
        output: PathBuf,
        /// File with the key: 64 hex digits, or 32 random bytes or more; - is standard input
        #[arg(long, conflicts_with = "key_fd", required_unless_present = "key_fd")]
        key_file: Option<PathBuf>,
        /// Descriptor from which the key is read
        #[arg(long)]
        key_fd: Option<u32>,
        /// Hide the names of tenants, too
        #[arg(long)]
        tenants: bool,
        /// Hide the names of servers, too
        #[arg(long)]
        servers: bool,
        /// Hide the names of handlers, too
        #[arg(long)]
        handlers: bool,
    },
    /// For each handler and tenant: requests, completed, rejected and why, failed, service level,
    /// response times
    Summary {
        /// Files of several servers are taken together, in the order of time
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[command(flatten)]
        selection: Selection,
        #[arg(long)]
        json: bool,
        /// A row for each minute, too
        #[arg(long)]
        by_minute: bool,
    },
    /// Read all of a file and report what is wrong with it
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// A sound file with all that is intact of a damaged one, and its gaps noted
    Repair {
        file: PathBuf,
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Records as text
    Export {
        file: PathBuf,
        #[command(flatten)]
        selection: Selection,
        #[arg(short, long, default_value = "-")]
        output: PathBuf,
        #[arg(long = "form", value_name = "FORM", value_enum, default_value_t = ExportFormat::Jsonl)]
        format: ExportFormat,
    },
    /// A recording of synthetic load, and its raw log
    Synth {
        #[arg(long, default_value_t = 1.0)]
        minutes: f64,
        /// First attempts a second
        #[arg(long, default_value_t = 190.0)]
        rate: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Cores of the server
        #[arg(long, default_value_t = 12)]
        cores: usize,
        #[arg(long, default_value = "n1")]
        server: String,
        #[command(flatten)]
        output: OutputArgs,
        /// Where the raw log goes: one JSON object a request
        #[arg(long)]
        raw: Option<PathBuf>,
    },
}
