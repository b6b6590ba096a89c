//! Signals: SIGTERM and SIGINT are the shutdown notice, SIGHUP reloads the configuration.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel, sync_channel};
use std::time::Instant;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::config::{PeerAddresses, ReloadedConfig, ServerConfig};
use crate::server::Server;

/// The signals that this process handles. They stay pending until they are read.
pub(crate) struct Signals(signal_hook::iterator::Signals);

impl Signals {
    /// Registers handlers for these signals.
    ///
    /// # Errors
    /// The error of the operating system.
    pub(crate) fn register() -> std::io::Result<Self> {
        signal_hook::iterator::Signals::new([SIGHUP, SIGTERM, SIGINT]).map(Signals)
    }

    /// Blocks until the shutdown notice, and returns the time at which it was received. A thread
    /// reloads the configuration on SIGHUP, during the drain as well, because peers may move while
    /// this server drains.
    pub(crate) fn wait_for_shutdown(
        mut self,
        config: ServerConfig,
        path: Option<&Path>,
        server: &Arc<Server>,
    ) -> Instant {
        let (notices, first_notice) = channel();
        // One queued request is enough: it reads the file as it is when the request is handled.
        let (reload_requests, requested) = sync_channel(1);
        std::thread::spawn(move || {
            for signal in &mut self.0 {
                if signal == SIGHUP {
                    let _ = reload_requests.try_send(());
                } else {
                    // The first notice counts; further ones are ignored.
                    let _ = notices.send(Instant::now());
                }
            }
        });
        // Reading the file may take long, and blocks indefinitely on a pipe without a writer. On
        // the thread that reads signals or the thread that waits for the shutdown notice, it would
        // delay the shutdown.
        let (path, server) = (path.map(Path::to_owned), server.clone());
        std::thread::spawn(move || reload_on_request(&requested, &config, path, &server));
        first_notice.recv().unwrap_or_else(|_| Instant::now())
    }
}

fn reload_on_request(
    requested: &Receiver<()>,
    config: &ServerConfig,
    path: Option<PathBuf>,
    server: &Server,
) {
    for () in requested {
        match config.reload(path.as_deref()) {
            Ok(ReloadedConfig {
                peers,
                needs_restart,
            }) => {
                log_reloaded(&peers);
                if !needs_restart.is_empty() {
                    ::log::warn!(
                        "configuration change ignored needs_restart={}",
                        needs_restart.join(",")
                    );
                }
                server.move_peers(peers);
            }
            Err(error) => ::log::error!("configuration not reloaded error=\"{error}\""),
        }
    }
}

fn log_reloaded(peers: &PeerAddresses) {
    let or_none =
        |address: Option<SocketAddr>| address.map_or("none".to_owned(), |a| a.to_string());
    ::log::info!(
        "configuration reloaded executor={} service_registry={} store={}",
        peers.executor,
        or_none(peers.registry),
        or_none(peers.store)
    );
}
