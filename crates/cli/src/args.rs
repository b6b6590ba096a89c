//! What the command line takes.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

use crate::times::{Moment, Offset};

#[derive(Parser)]
#[command(
    name = "tulipgap",
    version,
    about = "Tools around tulipgap: recordings, configuration, clusters and the rig that breaks them"
)]
pub struct Args {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Recordings of what happened to each req
    Trace {
        #[command(subcommand)]
        command: TraceCommand,
    },
    /// Faults played between the members of a cluster
    Rig {
        #[command(subcommand)]
        command: RigCommand,
    },
    /// What a process knows of the others
    Cluster {
        #[command(subcommand)]
        command: ClusterCommand,
    },
    /// Who may do what alone
    Lease {
        #[command(subcommand)]
        command: LeaseCommand,
    },
    /// The product's own configuration
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
}

#[derive(Subcommand)]
pub enum RigCommand {
    /// Play a plan in simulated time, once for each seed; ends with 1 where a promise is broken
    Simulate {
        file: PathBuf,
        /// Seeds, such as 0..100 (the last is left out)
        #[arg(long, default_value = "0..100", value_parser = seeds)]
        seeds: std::ops::Range<u64>,
        /// Beside the plan's faults, draw some from each seed; one that breaks a promise is made as small as it goes and printed
        #[arg(long)]
        chaos: bool,
        #[arg(long)]
        json: bool,
    },
    /// Play a plan with leases between real processes; ends with 1 where a promise is broken
    Run {
        file: PathBuf,
        /// The backend's program; where nothing is said, the one beside this
        #[arg(long)]
        program: Option<PathBuf>,
        /// Of what is drawn with --chaos
        #[arg(long, default_value_t = 0)]
        seed: u64,
        /// Beside the plan's faults, draw some from the seed
        #[arg(long)]
        chaos: bool,
        /// Where configurations, logs and journals go; kept. Where nothing is said, a folder that is removed unless something failed
        #[arg(long)]
        folder: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
}

fn seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let (from, to) = text.split_once("..").ok_or("two numbers with .. between")?;
    let number = |text: &str| text.parse::<u64>().map_err(|error| error.to_string());
    let range = number(from)?..number(to)?;
    if range.is_empty() { Err("it holds no seed".into()) } else { Ok(range) }
}

/// Which process is asked.
#[derive(clap::Args)]
pub struct At {
    /// The Unix socket that its configuration names (cluster.control)
    #[arg(long)]
    pub socket: PathBuf,
    #[arg(long)]
    pub json: bool,
}

#[derive(Subcommand)]
pub enum ClusterCommand {
    /// Each member, its state, how it is reached, and who holds it so
    Members {
        #[command(flatten)]
        at: At,
    },
    /// How this process's voter stands
    Voter {
        #[command(flatten)]
        at: At,
    },
    /// Wait for leave to drain, so that no more of a zone than may do so at a time; then send it the notice to leave
    Drain {
        /// Give up after this
        #[arg(long, default_value = "5m")]
        wait: humantime::Duration,
        #[command(flatten)]
        at: At,
    },
    /// Have one member vote in another's place; the same name where its folder was lost
    ReplaceVoter {
        old: String,
        new: String,
        #[command(flatten)]
        at: At,
    },
}

#[derive(Subcommand)]
pub enum LeaseCommand {
    /// Each lease, who holds it and who waits
    List {
        #[command(flatten)]
        at: At,
    },
    /// One lease
    Show {
        lease: String,
        #[command(flatten)]
        at: At,
    },
    /// Have this process hold a lease until it is released or the process ends
    Take {
        lease: String,
        #[arg(long, default_value = "10s")]
        term: humantime::Duration,
        #[arg(long, default_value_t = 1)]
        places: u32,
        /// Give up after this
        #[arg(long, default_value = "10s")]
        wait: humantime::Duration,
        #[command(flatten)]
        at: At,
    },
    /// Give it back
    Release {
        lease: String,
        #[command(flatten)]
        at: At,
    },
    /// Its holder with that token gets no further term, and this member is next
    Transfer {
        lease: String,
        token: u64,
        to: String,
        #[command(flatten)]
        at: At,
    },
    /// Its holder with that token gets no further term
    Revoke {
        lease: String,
        token: u64,
        #[command(flatten)]
        at: At,
    },
}

#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Tell every problem of a file with its line and column
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Form {
    /// One JSON object a line
    Jsonl,
    /// Values parted by commas, with a line of names
    Csv,
}

#[derive(clap::Args)]
pub struct Choice {
    /// From this time on: an offset from the recording's first time (37m), or RFC 3339
    #[arg(long)]
    pub from: Option<Moment>,
    /// Until before this time
    #[arg(long)]
    pub to: Option<Moment>,
    /// Only this handler; may be given more than once
    #[arg(long)]
    pub handler: Vec<String>,
    /// Only this outcome (done, shed, errored, gone); may be given more than once
    #[arg(long)]
    pub outcome: Vec<String>,
}

#[derive(clap::Args)]
pub struct Output {
    /// Where the result goes; - is standard output
    #[arg(short, long)]
    pub output: PathBuf,
    /// Format of what is written
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=2))]
    pub format: u32,
}

#[derive(Subcommand)]
pub enum TraceCommand {
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
        choice: Choice,
        #[command(flatten)]
        output: Output,
    },
    /// Many files to one, in the order of time
    Merge {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(short, long)]
        output: PathBuf,
        /// What is added to the times of a server: NAME=+1.5s, NAME=-20ms; may be given more than once
        #[arg(long, allow_hyphen_values = true)]
        offset: Vec<Offset>,
        /// Estimate how far the servers' clocks are apart, from tries at several of them
        #[arg(long)]
        estimate: bool,
    },
    /// A copy with ids, keys, subjects and callers behind keyed hashes
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
    /// For each handler and tenant: asked, done, shed and why, errored, service, response times
    Summary {
        /// Files of several servers are taken together, in the order of time
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[command(flatten)]
        choice: Choice,
        #[arg(long)]
        json: bool,
        /// A row for each minute, too
        #[arg(long)]
        by_minute: bool,
    },
    /// Read a file whole and tell what cannot be
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// A sound file with all that is whole of a damaged one, and its gaps noted
    Repair {
        file: PathBuf,
        #[command(flatten)]
        output: Output,
    },
    /// Records as text
    Export {
        file: PathBuf,
        #[command(flatten)]
        choice: Choice,
        #[arg(short, long, default_value = "-")]
        output: PathBuf,
        #[arg(long, value_enum, default_value_t = Form::Jsonl)]
        form: Form,
    },
    /// A recording of synthetic load, and its raw log
    Synth {
        #[arg(long, default_value_t = 1.0)]
        minutes: f64,
        /// First tries a second
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
        output: Output,
        /// Where the raw log goes: one JSON object a req
        #[arg(long)]
        raw: Option<PathBuf>,
    },
}
