//! The arguments of `tulipgap rig`.

use std::num::ParseIntError;
use std::ops::Range;
use std::path::PathBuf;

use clap::Subcommand;

#[derive(Subcommand)]
pub(crate) enum RigCommand {
    /// Play a plan in simulated time, once for each seed; ends with 1 where a promise is broken
    Simulate {
        file: PathBuf,
        /// Seeds, such as 0..100 (the last is left out)
        #[arg(long, default_value = "0..100", value_parser = parse_seeds)]
        seeds: Range<u64>,
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
    if seeds.is_empty() { Err(SeedsError::Empty) } else { Ok(seeds) }
}
