//! The arguments of `tulipgap cluster` and `tulipgap lease`.

use std::path::PathBuf;

use clap::Subcommand;

/// The process that is queried, and how its answer is printed.
#[derive(clap::Args)]
pub(crate) struct Target {
    /// Unix socket of the process, from its configuration (cluster.control)
    #[arg(long)]
    pub(crate) socket: PathBuf,
    /// Print the answer as JSON
    #[arg(long)]
    pub(crate) json: bool,
}

#[derive(Subcommand)]
pub(crate) enum ClusterCommand {
    /// List each member with its state, its reachability and the members that suspect it
    Members {
        #[command(flatten)]
        target: Target,
    },
    /// Show the state of the process's voter
    Voter {
        #[command(flatten)]
        target: Target,
    },
    /// Acquire the drain lease of the process's zone, which limits how many members drain at a
    /// time; send the process the shutdown notice after that
    Drain {
        /// Time limit
        #[arg(
            long = "timeout",
            alias = "wait",
            value_name = "TIMEOUT",
            default_value = "5m"
        )]
        timeout: humantime::Duration,
        #[command(flatten)]
        target: Target,
    },
    /// Replace a voter by another member, or by the same name if its directory was lost
    ReplaceVoter {
        old: String,
        new: String,
        #[command(flatten)]
        target: Target,
    },
}

#[derive(Subcommand)]
pub(crate) enum LeaseCommand {
    /// List each lease with its owners and the members that wait for it
    List {
        #[command(flatten)]
        target: Target,
    },
    /// Show one lease
    Show {
        lease: String,
        #[command(flatten)]
        target: Target,
    },
    /// Make the process hold a lease until the lease is released or the process exits
    Take {
        lease: String,
        /// How long the lease lasts without a renewal
        #[arg(
            long = "ttl",
            alias = "term",
            value_name = "TTL",
            default_value = "10s"
        )]
        ttl: humantime::Duration,
        /// How many members may hold the lease at a time
        #[arg(
            long = "capacity",
            alias = "places",
            value_name = "CAPACITY",
            default_value_t = 1
        )]
        capacity: u32,
        /// Time limit
        #[arg(
            long = "timeout",
            alias = "wait",
            value_name = "TIMEOUT",
            default_value = "10s"
        )]
        timeout: humantime::Duration,
        #[command(flatten)]
        target: Target,
    },
    /// Release a lease that was taken with `take`
    Release {
        lease: String,
        #[command(flatten)]
        target: Target,
    },
    /// Stop the owner with that token from renewing the lease, and grant it to member TO next
    Transfer {
        lease: String,
        token: u64,
        to: String,
        #[command(flatten)]
        target: Target,
    },
    /// Stop the owner with that token from renewing the lease
    Revoke {
        lease: String,
        token: u64,
        #[command(flatten)]
        target: Target,
    },
}
