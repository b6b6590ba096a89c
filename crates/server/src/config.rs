//! What `LB_CONFIG` tells: who this backend is, where its peers are, its limits and the settings; and what of it
//! may change while it runs.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Map, Value};
use tulipgap::Config;
use tulipgap_settings::{Facts, Names, Steering, millis, steering, understand};

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    #[serde(flatten)]
    peers: Peers,
    seed: String,
    stop_ms: f64,
    limits: Limits,
    settings: Facts,
}

/// Where its peers are. They may move while it runs.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Peers {
    pub kernel: SocketAddr,
    pub announce: Option<SocketAddr>,
    pub store: Option<SocketAddr>,
}

impl Peers {
    const NAMES: [&str; 3] = ["kernel", "announce", "store"];
}

/// Where a peer is now.
pub struct Where<T>(Mutex<T>);

impl<T: Copy + PartialEq> Where<T> {
    pub fn new(at: T) -> Self {
        Where(Mutex::new(at))
    }

    pub fn now(&self) -> T {
        *self.0.lock()
    }

    /// Whether that is news.
    pub fn set(&self, at: T) -> bool {
        std::mem::replace(&mut *self.0.lock(), at) != at
    }
}

/// All that this backend is told, checked.
pub struct Told {
    pub name: String,
    pub listen: SocketAddr,
    pub peers: Peers,
    pub seed: u64,
    pub stop: Duration,
    pub memory_mb: f64,
    pub sockets: usize,
    pub given: Config,
    pub names: Names,
    /// How callers are asked to send less, as the settings say.
    pub steering: Steering,
    /// The file as it was, to tell later what of it has changed.
    entries: Map<String, Value>,
}

impl Told {
    /// Reads the file again: where the peers are now, and what else has changed, which takes a restart. What
    /// makes no sense as a whole changes nothing.
    pub fn reread(&self, path: Option<&Path>) -> Result<(Peers, Vec<String>), ConfigError> {
        let told = read(path)?;
        // Where another backend's peers are is no news of ours: its kernel would be taken for this one's.
        if (&told.name, told.listen) != (&self.name, self.listen) {
            let problem = format!("it is of {} on {}, and this is {}", told.name, told.listen, self.name);
            let path = path.map(|path| path.display().to_string()).unwrap_or_default();
            return Err(ConfigError::File { path, problem });
        }
        let mut rest: Vec<String> = (told.entries.keys().chain(self.entries.keys()))
            .filter(|&name| !Peers::NAMES.contains(&&name[..]))
            .filter(|&name| told.entries.get(name) != self.entries.get(name))
            .cloned()
            .collect();
        rest.sort();
        rest.dedup();
        Ok((told.peers, rest))
    }
}

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("LB_CONFIG is not set")]
    Unset,
    #[error("{path}: {problem}")]
    File { path: String, problem: String },
}

/// The fewest descriptors with which a backend can serve at all.
pub const SOCKETS_LEAST: usize = 32;

pub fn read(path: Option<&Path>) -> Result<Told, ConfigError> {
    let path = path.ok_or(ConfigError::Unset)?;
    let problem = |problem: String| ConfigError::File { path: path.display().to_string(), problem };
    let text = std::fs::read_to_string(path).map_err(|error| problem(error.to_string()))?;
    understood(&text).map_err(problem)
}

fn understood(text: &str) -> Result<Told, String> {
    // A wrong word or figure is told by its key as well as its line: "at line 12" alone leaves the reader to
    // count braces.
    let file: File = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text))
        .map_err(|error| match error.path().to_string() {
            path if path == "." => error.inner().to_string(),
            path => format!("{path}: {}", error.inner()),
        })?;
    let entries = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let (given, names) = understand(&file.settings).map_err(|problem| format!("settings: {problem}"))?;
    given.validate().map_err(|problem| format!("settings: {problem}"))?;
    let steering = steering(&file.settings).map_err(|problem| format!("settings: {problem}"))?;
    let seed =
        u64::from_str_radix(&file.seed, 16).map_err(|_| format!("seed: '{}' is no hex number", file.seed))?;
    if file.limits.sockets < SOCKETS_LEAST {
        return Err(format!("limits.sockets: {} are too few to serve", file.limits.sockets));
    }
    if !(file.limits.memory_mb.is_finite() && file.limits.memory_mb > 0.0) {
        return Err(format!("limits.memory_mb: {} is out of range", file.limits.memory_mb));
    }
    if file.name.is_empty() || file.name.contains(char::is_whitespace) {
        return Err(format!("name: '{}' is no word", file.name));
    }
    Ok(Told {
        name: file.name,
        listen: file.listen,
        peers: file.peers,
        seed,
        stop: millis("stop_ms", file.stop_ms)?,
        memory_mb: file.limits.memory_mb,
        sockets: file.limits.sockets,
        given,
        names,
        steering,
        entries,
    })
}
