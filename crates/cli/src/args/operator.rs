//! The arguments of `tulipgap cluster` and `tulipgap lease`.

use std::path::PathBuf;

use clap::Subcommand;

/// Which process is asked, and how its answer is printed.
#[derive(clap::Args)]
pub(crate) struct Target {
    /// The Unix socket that its configuration names (cluster.control)
    #[arg(long)]
    pub(crate) socket: PathBuf,
    #[arg(long)]
    pub(crate) json: bool,
}

#[derive(Subcommand)]
pub(crate) enum ClusterCommand {
    /// Each member, its state, how it is reached, and who suspects it
    Members {
        #[command(flatten)]
        target: Target,
    },
    /// The state of this process's voter
    Voter {
        #[command(flatten)]
        target: Target,
    },
    /// Wait until this process may drain, as only so many of a zone may at a time; send it the
    /// shutdown notice after that
    Drain {
        /// Give up after this
        #[arg(long = "wait", value_name = "WAIT", default_value = "5m")]
        timeout: humantime::Duration,
        #[command(flatten)]
        target: Target,
    },
    /// Have one member vote in another's place; the same name where its folder was lost
    ReplaceVoter {
        old: String,
        new: String,
        #[command(flatten)]
        target: Target,
    },
}

#[derive(Subcommand)]
pub(crate) enum LeaseCommand {
    /// Each lease, who holds it and who waits
    List {
        #[command(flatten)]
        target: Target,
    },
    /// One lease
    Show {
        lease: String,
        #[command(flatten)]
        target: Target,
    },
    /// Have this process hold a lease until it is released or the process ends
    Take {
        lease: String,
        #[arg(long = "term", value_name = "TERM", default_value = "10s")]
        ttl: humantime::Duration,
        #[arg(long = "places", value_name = "PLACES", default_value_t = 1)]
        capacity: u32,
        /// Give up after this
        #[arg(long = "wait", value_name = "WAIT", default_value = "10s")]
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
    /// The holder with that token cannot renew it any more, and this member is next
    Transfer {
        lease: String,
        token: u64,
        to: String,
        #[command(flatten)]
        target: Target,
    },
    /// The holder with that token cannot renew it any more
    Revoke {
        lease: String,
        token: u64,
        #[command(flatten)]
        target: Target,
    },
}
