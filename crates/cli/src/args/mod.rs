//! The arguments of the command line.

mod operator;
mod rig;
mod trace;

use std::path::PathBuf;

use clap::{Parser, Subcommand};

pub(crate) use operator::{ClusterCommand, LeaseCommand, Target};
pub(crate) use rig::RigCommand;
pub(crate) use trace::{ExportFormat, OutputArgs, Selection, TraceCommand};

#[derive(Parser)]
#[command(
    name = "tulipgap",
    version,
    about = "Tools around tulipgap: recordings, configuration, clusters and the rig that breaks them"
)]
pub(crate) struct Args {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Recordings of what happened to each request
    Trace {
        #[command(subcommand)]
        command: TraceCommand,
    },
    /// Faults injected between the members of a cluster
    Rig {
        #[command(subcommand)]
        command: RigCommand,
    },
    /// What a process knows of the others
    Cluster {
        #[command(subcommand)]
        command: ClusterCommand,
    },
    /// Leases: which member may do what alone
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
pub(crate) enum ConfigCommand {
    /// Print every problem of a file with its line and column
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}
