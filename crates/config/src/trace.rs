//! The block `trace`: the recording of requests.

use std::path::PathBuf;
use std::time::Duration;

use bytesize::ByteSize;
use garde::Validate;
use serde::Deserialize;

use crate::validators::{default_true, duration_between, non_empty_path, size_between};

/// How much larger than `rotate_size` a file may become: by its last block, names and the index.
const FILE_SLACK: ByteSize = ByteSize::mib(2);

/// The recording of requests: one record for each, from its arrival to its release.
#[derive(Clone, Debug, Deserialize, PartialEq, Validate)]
#[garde(context(()))]
pub struct TraceConfig {
    /// Whether requests are recorded.
    #[serde(default = "default_true")]
    #[garde(skip)]
    pub enabled: bool,
    /// The directory of the recording.
    #[garde(custom(non_empty_path))]
    pub folder: PathBuf,
    /// The version of the file format.
    #[serde(default = "default_format")]
    #[garde(range(min = 1, max = 2))]
    pub format: u32,
    /// The maximum number of records that wait for the disk.
    #[serde(default = "default_queue")]
    #[garde(range(min = 64, max = 1_000_000))]
    pub queue: u64,
    /// The maximum number of records of a block.
    #[serde(default = "default_block")]
    #[garde(range(min = 1, max = 65_536))]
    pub block: u64,
    /// The maximum time from the first record of a block until the block is sealed.
    #[serde(default = "default_seal_after", with = "humantime_serde")]
    #[garde(custom(duration_between(Duration::from_millis(100), Duration::from_secs(60))))]
    pub seal_after: Duration,
    /// The size at which a file is closed.
    #[serde(default = "default_rotate_size")]
    #[garde(custom(size_between(ByteSize::kib(64), ByteSize::gib(16))))]
    pub rotate_size: ByteSize,
    /// The age at which a file is closed.
    #[serde(default = "default_rotate_after", with = "humantime_serde")]
    #[garde(custom(duration_between(Duration::from_secs(10), Duration::from_secs(7 * 86_400))))]
    pub rotate_after: Duration,
    /// The maximum size of all files together; the oldest files are removed first.
    #[serde(default = "default_keep_size")]
    #[garde(custom(holds_two_files(&self.rotate_size)))]
    pub keep_size: ByteSize,
    /// Whether blocks survive a crash of the machine, and not only a crash of the process.
    #[serde(default = "default_true")]
    #[garde(skip)]
    pub sync: bool,
}

fn default_format() -> u32 {
    2
}

fn default_queue() -> u64 {
    8192
}

fn default_block() -> u64 {
    4096
}

fn default_seal_after() -> Duration {
    Duration::from_secs(5)
}

fn default_rotate_size() -> ByteSize {
    ByteSize::mib(64)
}

fn default_rotate_after() -> Duration {
    Duration::from_secs(3600)
}

fn default_keep_size() -> ByteSize {
    ByteSize::gib(2)
}

/// Accepts a size that holds the current file and one earlier file.
fn holds_two_files(rotate_size: &ByteSize) -> impl FnOnce(&ByteSize, &()) -> garde::Result {
    let min = ByteSize(rotate_size.0.saturating_mul(2).saturating_add(FILE_SLACK.0));
    move |value, _| {
        let too_small = || {
            garde::Error::new(format!(
                "{value} is smaller than two files and {FILE_SLACK} of slack, which are {min}"
            ))
        };
        if *value >= min {
            Ok(())
        } else {
            Err(too_small())
        }
    }
}
