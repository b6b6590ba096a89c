//! The arguments of `tulipgap rig`.

use std::num::ParseIntError;
use std::ops::Range;
use std::path::PathBuf;

use clap::Subcommand;

#[derive(Subcommand)]
pub(crate) enum RigCommand {
    /// Play a plan in simulated time, once for each seed; exits with 1 where an invariant is
    /// violated
    Simulate {
        file: PathBuf,
        /// Seeds, such as 0..100 (the last is left out)
        #[arg(long, default_value = "0..100", value_parser = parse_seeds)]
        seeds: Range<u64>,
        /// Beside the plan's faults, draw some from each seed; faults that violate an invariant are
        /// minimized and printed
        #[arg(long)]
        chaos: bool,
        #[arg(long)]
        json: bool,
    },
    /// Play a plan with leases between real processes; exits with 1 where an invariant is violated
    Run {
        file: PathBuf,
        /// The backend's program; by default tulipgapd beside this program
        #[arg(long)]
        program: Option<PathBuf>,
        /// The seed of the faults that --chaos draws
        #[arg(long, default_value_t = 0)]
        seed: u64,
        /// Beside the plan's faults, draw some from the seed
        #[arg(long)]
        chaos: bool,
        /// The directory of configurations, logs and journals, which is kept; by default a
        /// temporary one that is removed unless the run failed
        #[arg(long)]
        folder: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
}

/// Why a range of seeds is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum SeedsError {
    #[error("two numbers with .. between")]
    NotARange,
    #[error("{0}")]
    NotANumber(#[from] ParseIntError),
    #[error("it holds no seed")]
    Empty,
}

fn parse_seeds(text: &str) -> Result<Range<u64>, SeedsError> {
    let (from, to) = text.split_once("..").ok_or(SeedsError::NotARange)?;
    let seeds = from.parse()?..to.parse()?;
    if seeds.is_empty() {
        Err(SeedsError::Empty)
    } else {
        Ok(seeds)
    }
}
