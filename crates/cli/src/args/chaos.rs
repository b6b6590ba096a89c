//! The arguments of `tulipgap chaos`.

use std::num::ParseIntError;
use std::ops::Range;
use std::path::PathBuf;

use clap::Subcommand;

#[derive(Subcommand)]
pub(crate) enum ChaosCommand {
    /// Run a plan in simulated time, once for each seed; exits with 1 if an invariant is violated
    Simulate {
        file: PathBuf,
        /// Range of seeds, such as 0..100 (the end is exclusive)
        #[arg(long, default_value = "0..100", value_parser = parse_seeds)]
        seeds: Range<u64>,
        /// Add random faults to the plan, sampled from each seed; the faults that violate an
        /// invariant are minimized and printed
        #[arg(long, visible_alias = "chaos")]
        random_faults: bool,
        #[arg(long)]
        json: bool,
    },
    /// Run a plan with leases between real processes; exits with 1 if an invariant is violated
    Run {
        file: PathBuf,
        /// Path of the backend program; by default tulipgapd in the directory of this program
        #[arg(long)]
        program: Option<PathBuf>,
        /// Seed of the random faults
        #[arg(long, default_value_t = 0)]
        seed: u64,
        /// Add random faults to the plan, sampled from the seed
        #[arg(long, visible_alias = "chaos")]
        random_faults: bool,
        /// Directory for configurations, logs and journals, which is kept; by default a temporary
        /// directory that is removed unless an invariant is violated
        #[arg(long)]
        folder: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
}

/// Why a range of seeds is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum SeedsError {
    #[error("expected two numbers separated by ..")]
    NotARange,
    #[error("{0}")]
    NotANumber(#[from] ParseIntError),
    #[error("the range is empty")]
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
