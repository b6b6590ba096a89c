//! What `LB_CONFIG` tells: who this backend is, where its peers are, its limits and the settings.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use tulipgap::Given;
use tulipgap_settings::{Facts, Names, millis, understand};

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    kernel: SocketAddr,
    announce: Option<SocketAddr>,
    store: Option<SocketAddr>,
    seed: String,
    stop_ms: f64,
    limits: Limits,
    settings: Facts,
}

/// All that this backend is told, checked.
pub struct Told {
    pub name: String,
    pub listen: SocketAddr,
    pub kernel: SocketAddr,
    pub announce: Option<SocketAddr>,
    pub store: Option<SocketAddr>,
    pub seed: u64,
    pub stop: Duration,
    pub memory_mb: f64,
    pub sockets: usize,
    pub given: Given,
    pub names: Names,
}

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("LB_CONFIG is not set")]
    Unset,
    #[error("{path}: {problem}")]
    File { path: String, problem: String },
}

/// The fewest descriptors with which a backend can serve at all.
const SOCKETS_LEAST: usize = 32;

pub fn read(path: Option<&Path>) -> Result<Told, ConfigError> {
    let path = path.ok_or(ConfigError::Unset)?;
    let problem = |problem: String| ConfigError::File { path: path.display().to_string(), problem };
    let text = std::fs::read_to_string(path).map_err(|error| problem(error.to_string()))?;
    understood(&text).map_err(problem)
}

fn understood(text: &str) -> Result<Told, String> {
    let file: File = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let (given, names) = understand(&file.settings).map_err(|problem| format!("settings: {problem}"))?;
    given.check().map_err(|problem| format!("settings: {problem}"))?;
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
        kernel: file.kernel,
        announce: file.announce,
        store: file.store,
        seed,
        stop: millis("stop_ms", file.stop_ms)?,
        memory_mb: file.limits.memory_mb,
        sockets: file.limits.sockets,
        given,
        names,
    })
}
