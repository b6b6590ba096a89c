//! The arguments of the command line.

mod chaos;
mod operator;
mod trace;

use std::path::PathBuf;

use clap::{Parser, Subcommand};

pub(crate) use chaos::ChaosCommand;
pub(crate) use operator::{ClusterCommand, LeaseCommand, Target};
pub(crate) use trace::{ExportFormat, OutputArgs, Selection, TraceCommand};

#[derive(Parser)]
#[command(
    name = "tulipgap",
    version,
    about = "Tools for tulipgap: recordings, fault injection, clusters, leases and configuration"
)]
pub(crate) struct Args {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Recordings of the life of each request
    Trace {
        #[command(subcommand)]
        command: TraceCommand,
    },
    /// Fault injection between the members of a cluster
    #[command(visible_alias = "rig")]
    Chaos {
        #[command(subcommand)]
        command: ChaosCommand,
    },
    /// Members and voters as a process sees them
    Cluster {
        #[command(subcommand)]
        command: ClusterCommand,
    },
    /// Leases: list, take, release, transfer and revoke
    Lease {
        #[command(subcommand)]
        command: LeaseCommand,
    },
    /// Settings files of the product's own
    Config {
        #[command(subcommand)]
        command: ConfigCommand,
    },
}

#[derive(Subcommand)]
pub(crate) enum ConfigCommand {
    /// Report every problem of a file with its line and column
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}
