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
    /// Inspect, copy, merge and summarise recordings of requests
    Trace {
        #[command(subcommand)]
        command: TraceCommand,
    },
    /// Run fault injection plans between the members of a cluster
    #[command(visible_alias = "rig")]
    Chaos {
        #[command(subcommand)]
        command: ChaosCommand,
    },
    /// Show the members and the voter of a process, acquire its drain lease, or replace a voter
    Cluster {
        #[command(subcommand)]
        command: ClusterCommand,
    },
    /// List, take, release, transfer and revoke leases
    Lease {
        #[command(subcommand)]
        command: LeaseCommand,
    },
    /// Check configuration files
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
