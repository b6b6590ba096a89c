//! The product's own configuration: one HCL file, read whole or not at all. What is wrong with it is told all at
//! once, each with its line and column; a name that is not known with the nearest one that is.

mod cluster;
mod schema;

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytesize::ByteSize;
use garde::Validate;
use serde::Deserialize;

pub use cluster::{Cluster, Drain, Trial, TrialLease};

/// All that the file may tell. What is left out is off.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Validate)]
pub struct Product {
    #[garde(dive)]
    pub trace: Option<Tracing>,
    #[garde(dive)]
    pub admission: Option<Admitting>,
    #[garde(dive)]
    pub cluster: Option<Cluster>,
}

/// Which connections are let in. What is left out is derived from the descriptors and the number of callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Validate)]
pub struct Admitting {
    #[serde(default = "yes")]
    #[garde(skip)]
    pub enabled: bool,
    /// "refuse" newcomers at once when all places are taken, or have them "wait" in the backlog.
    #[serde(default = "refuse")]
    #[garde(custom(wait_or_refuse))]
    pub when_full: String,
    /// The part of the places that is kept for known clients.
    #[serde(default = "known_part")]
    #[garde(range(min = 0.0, max = 0.9))]
    pub known_part: f64,
    /// Networks that are known without having earned it.
    #[serde(default)]
    #[garde(inner(custom(one_network)))]
    pub known: Vec<String>,
    /// Standing of a known client halves in this time.
    #[serde(default = "half_life", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_secs(10), Duration::from_secs(86_400))))]
    pub half_life: Duration,
    /// A cold server lets in this part of its places, rising to all while it warms up.
    #[serde(default = "all")]
    #[garde(range(min = 0.05, max = 1.0))]
    pub cold_part: f64,
    #[serde(default)]
    #[garde(dive)]
    pub address: Cap,
    #[serde(default)]
    #[garde(dive)]
    pub network: Cap,
    #[serde(default)]
    #[garde(dive)]
    pub wide: Cap,
}

/// Bounds of an address (/32, /128), of the network around it (/24, /64), or of a wider one (/16, /48).
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Validate)]
pub struct Cap {
    /// Connections open at a time.
    #[garde(inner(range(min = 1, max = 1_000_000)))]
    pub open: Option<u32>,
    /// Connections opened in a second, as a mean over three.
    #[garde(inner(range(min = 1, max = 1_000_000)))]
    pub rate: Option<u32>,
}

/// Recording of what happens to each req.
#[derive(Clone, Debug, Deserialize, PartialEq, Validate)]
#[garde(context(()))]
pub struct Tracing {
    #[serde(default = "yes")]
    #[garde(skip)]
    pub enabled: bool,
    /// Where the files lie.
    #[garde(custom(named))]
    pub folder: PathBuf,
    #[serde(default = "newest")]
    #[garde(range(min = 1, max = 2))]
    pub format: u32,
    /// Records that may wait for the disk.
    #[serde(default = "queue")]
    #[garde(range(min = 64, max = 1_000_000))]
    pub queue: u64,
    /// Records of a block.
    #[serde(default = "block")]
    #[garde(range(min = 1, max = 65_536))]
    pub block: u64,
    /// A block is whole on disk so long after its first record.
    #[serde(default = "seal_after", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), Duration::from_secs(60))))]
    pub seal_after: Duration,
    /// A file is ended when it has so many bytes, or is so old.
    #[serde(default = "rotate_size")]
    #[garde(custom(sized(ByteSize::kib(64), ByteSize::gib(16))))]
    pub rotate_size: ByteSize,
    #[serde(default = "rotate_after", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_secs(10), Duration::from_secs(7 * 86_400))))]
    pub rotate_after: Duration,
    /// All files together have no more bytes; the oldest go.
    #[serde(default = "keep_size")]
    #[garde(custom(holds(&self.rotate_size)))]
    pub keep_size: ByteSize,
    /// Each block is to survive the machine, not only the process.
    #[serde(default = "yes")]
    #[garde(skip)]
    pub sync: bool,
}

fn yes() -> bool {
    true
}
fn newest() -> u32 {
    2
}
fn queue() -> u64 {
    8192
}
fn block() -> u64 {
    4096
}
fn seal_after() -> Duration {
    Duration::from_secs(5)
}
fn rotate_size() -> ByteSize {
    ByteSize::mib(64)
}
fn rotate_after() -> Duration {
    Duration::from_secs(3600)
}
fn keep_size() -> ByteSize {
    ByteSize::gib(2)
}

fn refuse() -> String {
    "refuse".into()
}
fn known_part() -> f64 {
    0.5
}
fn half_life() -> Duration {
    Duration::from_secs(600)
}
fn all() -> f64 {
    1.0
}

fn wait_or_refuse(word: &str, _: &()) -> garde::Result {
    let wrong = || garde::Error::new(format!("'{word}' is neither \"refuse\" nor \"wait\""));
    if matches!(word, "refuse" | "wait") { Ok(()) } else { Err(wrong()) }
}

fn one_network(text: &str, _: &()) -> garde::Result {
    text.parse::<tulipgap_connection_limits::NetworkPrefix>().map(|_| ()).map_err(garde::Error::new)
}

/// What a file needs beside its blocks: one that was begun, names, the index.
const BESIDE: ByteSize = ByteSize::mib(2);

fn named(path: &Path, _: &()) -> garde::Result {
    if path.as_os_str().is_empty() { Err(garde::Error::new("is empty")) } else { Ok(()) }
}

fn between(least: Duration, most: Duration) -> impl FnOnce(&Duration, &()) -> garde::Result {
    move |value, _| {
        let wrong = || garde::Error::new(format!("{value:?} is not from {least:?} to {most:?}"));
        if (least..=most).contains(value) { Ok(()) } else { Err(wrong()) }
    }
}

fn sized(least: ByteSize, most: ByteSize) -> impl FnOnce(&ByteSize, &()) -> garde::Result {
    move |value, _| {
        let wrong = || garde::Error::new(format!("{value} is not from {least} to {most}"));
        if (least..=most).contains(value) { Ok(()) } else { Err(wrong()) }
    }
}

fn holds(rotate: &ByteSize) -> impl FnOnce(&ByteSize, &()) -> garde::Result {
    let least = ByteSize(rotate.0.saturating_mul(2).saturating_add(BESIDE.0));
    move |value, _| {
        let wrong = || garde::Error::new(format!("{value} is less than two files and {BESIDE}: {least}"));
        if *value >= least { Ok(()) } else { Err(wrong()) }
    }
}

/// One thing that is wrong, and where. Lines and columns count from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    pub line: usize,
    pub column: usize,
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.what)
    }
}

/// Why a file was not taken.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("{path}: {error}")]
    Unread { path: String, error: std::io::Error },
    #[error("{}", problems.iter().map(|problem| format!("{path}:{problem}")).collect::<Vec<_>>().join("\n"))]
    Wrong { path: String, problems: Vec<Problem> },
}

/// The longest file that is read.
const FILE_MOST: u64 = 1024 * 1024;

/// Reads a file.
pub fn read(path: &Path) -> Result<Product, ConfigError> {
    let shown = path.display().to_string();
    let unread = |error| ConfigError::Unread { path: shown.clone(), error };
    if std::fs::metadata(path).map_err(unread)?.len() > FILE_MOST {
        return Err(unread(std::io::Error::other("it is longer than 1 MiB")));
    }
    let text = std::fs::read_to_string(path).map_err(unread)?;
    understand(&text).map_err(|problems| ConfigError::Wrong { path: shown.clone(), problems })
}

/// What a text tells, or all that is wrong with it, in the order of its lines.
pub fn understand(text: &str) -> Result<Product, Vec<Problem>> {
    let found = schema::walk(text);
    let mut problems = found.problems;
    if problems.is_empty() {
        match hcl::from_str::<Product>(text) {
            Ok(product) => match product.validate() {
                Ok(()) => return Ok(product),
                Err(report) => problems.extend(report.iter().map(|(path, error)| {
                    let path = path.to_string();
                    let (line, column) = found.places.of(&path);
                    Problem { line, column, what: format!("{path}: {error}") }
                })),
            },
            // The walk knows all that this does; what only this knows has no place.
            Err(error) => problems.push(Problem { line: 1, column: 1, what: error.to_string() }),
        }
    }
    problems.sort();
    Err(problems)
}

#[cfg(test)]
mod tests;
