//! The configuration file that `LB_CONFIG` names: the name of this backend, the addresses of its
//! peers, its limits and its settings. Only the addresses of the peers may change while the backend
//! runs.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Map, Value};
use tulipgap::Config;
use tulipgap_settings::{Names, Settings, SettingsError, Steering, milliseconds};

/// The base of the digits of `seed`.
const HEXADECIMAL: u32 = 16;
/// The minimum number of descriptors with which a backend can serve requests.
pub(crate) const MIN_SOCKETS: usize = 32;

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    #[serde(flatten)]
    peers: PeerAddresses,
    seed: String,
    #[serde(rename = "stop_ms")]
    termination_ms: f64,
    limits: Limits,
    settings: Settings,
}

/// The addresses of the peers. They may change while the backend runs.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub(crate) struct PeerAddresses {
    /// The executor.
    #[serde(rename = "kernel")]
    pub(crate) executor: SocketAddr,
    /// The service registry.
    #[serde(rename = "announce")]
    pub(crate) registry: Option<SocketAddr>,
    pub(crate) store: Option<SocketAddr>,
}

impl PeerAddresses {
    /// The keys of the file that a reload applies.
    const KEYS: [&str; 3] = ["kernel", "announce", "store"];
}

/// The current address of a peer. The client of that peer owns it; a reload of the file sets it.
pub(crate) struct CurrentAddress<T>(Mutex<T>);

impl<T: Copy + PartialEq> CurrentAddress<T> {
    /// Creates the holder with the address that the file contains at the start of the backend.
    pub(crate) fn new(address: T) -> Self {
        CurrentAddress(Mutex::new(address))
    }

    pub(crate) fn get(&self) -> T {
        *self.0.lock()
    }

    /// Sets the address, and returns whether it has changed.
    pub(crate) fn set(&self, address: T) -> bool {
        std::mem::replace(&mut *self.0.lock(), address) != address
    }
}

/// The validated configuration of this backend.
pub(crate) struct ServerConfig {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) peers: PeerAddresses,
    pub(crate) seed: u64,
    /// How long after a shutdown notice the process is terminated.
    pub(crate) termination: Duration,
    pub(crate) memory_mb: f64,
    pub(crate) sockets: usize,
    pub(crate) controller: Config,
    pub(crate) names: Names,
    pub(crate) steering: Steering,
    /// The top-level entries of the file, which a reload compares with the new ones.
    entries: Map<String, Value>,
}

/// The changes that a reload of the file has found.
pub(crate) struct ReloadedConfig {
    pub(crate) peers: PeerAddresses,
    /// Other keys that have changed; they take effect at a restart.
    pub(crate) needs_restart: Vec<String>,
}

/// Why the file cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    #[error("LB_CONFIG is not set")]
    NotSet,
    #[error("{}: {source}", path.display())]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{}: {source}", path.display())]
    Invalid {
        path: PathBuf,
        source: InvalidConfig,
    },
}

/// An error in the text of the file, with the key at fault.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidConfig {
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("{key}: {source}")]
    Key {
        key: String,
        source: serde_json::Error,
    },
    #[error("settings: {0}")]
    Settings(SettingsError),
    #[error("{0}")]
    Time(SettingsError),
    #[error("seed: '{0}' is no hex number")]
    Seed(String),
    #[error("limits.sockets: {0} are too few to serve")]
    TooFewSockets(usize),
    #[error("limits.memory_mb: {0} is out of range")]
    Memory(f64),
    #[error("name: '{0}' is no word")]
    Name(String),
    #[error("it is of {name} on {listen}, and this is {own_name}")]
    OtherBackend {
        name: String,
        listen: SocketAddr,
        own_name: String,
    },
}

impl ServerConfig {
    /// Reads the file at `path`.
    pub(crate) fn read(path: Option<&Path>) -> Result<Self, ConfigError> {
        let path = path.ok_or(ConfigError::NotSet)?;
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text).map_err(|source| ConfigError::Invalid {
            path: path.to_owned(),
            source,
        })
    }

    fn parse(text: &str) -> Result<Self, InvalidConfig> {
        let file = parse_file(text)?;
        let entries = serde_json::from_str(text)?;
        let controller = file
            .settings
            .controller_config()
            .map_err(InvalidConfig::Settings)?;
        controller
            .validate()
            .map_err(|error| InvalidConfig::Settings(error.into()))?;
        let steering = file.settings.steering().map_err(InvalidConfig::Settings)?;
        let Ok(seed) = u64::from_str_radix(&file.seed, HEXADECIMAL) else {
            return Err(InvalidConfig::Seed(file.seed));
        };
        let Limits { memory_mb, sockets } = file.limits;
        if sockets < MIN_SOCKETS {
            return Err(InvalidConfig::TooFewSockets(sockets));
        }
        if !(memory_mb.is_finite() && memory_mb > 0.0) {
            return Err(InvalidConfig::Memory(memory_mb));
        }
        if file.name.is_empty() || file.name.contains(char::is_whitespace) {
            return Err(InvalidConfig::Name(file.name));
        }
        Ok(ServerConfig {
            name: file.name,
            listen: file.listen,
            peers: file.peers,
            seed,
            termination: milliseconds("stop_ms", file.termination_ms)
                .map_err(InvalidConfig::Time)?,
            memory_mb,
            sockets,
            controller,
            names: file.settings.names(),
            steering,
            entries,
        })
    }

    /// Reads the file again. A file of another backend is rejected: with its addresses, this
    /// backend would send its requests to the executor of the other backend.
    ///
    /// # Errors
    /// [`ConfigError`] if the file is invalid or belongs to another backend.
    pub(crate) fn reload(&self, path: Option<&Path>) -> Result<ReloadedConfig, ConfigError> {
        let new = Self::read(path)?;
        if (&new.name, new.listen) != (&self.name, self.listen) {
            let own_name = self.name.clone();
            let source = InvalidConfig::OtherBackend {
                name: new.name,
                listen: new.listen,
                own_name,
            };
            return Err(ConfigError::Invalid {
                path: path.unwrap_or(Path::new("")).to_owned(),
                source,
            });
        }
        let keys = new.entries.keys().chain(self.entries.keys());
        let mut needs_restart: Vec<String> = keys
            .filter(|&key| !PeerAddresses::KEYS.contains(&&key[..]))
            .filter(|&key| new.entries.get(key) != self.entries.get(key))
            .cloned()
            .collect();
        needs_restart.sort();
        needs_restart.dedup();
        Ok(ReloadedConfig {
            peers: new.peers,
            needs_restart,
        })
    }
}

/// Parses the file. An error names the key at fault as well as its line: with the line alone, the
/// reader would have to count braces to find the key.
fn parse_file(text: &str) -> Result<ConfigFile, InvalidConfig> {
    let parsed = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text));
    parsed.map_err(|error| match error.path().to_string() {
        key if key == "." => InvalidConfig::Json(error.into_inner()),
        key => InvalidConfig::Key {
            key,
            source: error.into_inner(),
        },
    })
}
