//! Why a process cannot join its cluster.

use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;

use tulipgap_consensus::VoterError;
use tulipgap_membership::ConfigError;
use tulipgap_peer_protocol::KeyTooShort;

/// Why a process cannot join its cluster. Each text names the setting or the file at fault.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ClusterError {
    /// The setting `listen` is not an address with a port.
    #[error("cluster: listen: {0}")]
    ListenAddress(#[source] AddrParseError),
    /// The key file can't be read.
    #[error("cluster: {}: {source}", path.display())]
    ReadKey {
        /// The key file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The key is too short.
    #[error("cluster: {}: {source}", path.display())]
    InvalidKey {
        /// The key file.
        path: PathBuf,
        /// The fault of the key.
        source: KeyTooShort,
    },
    /// The process can't listen on its address for peers.
    #[error("cluster: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The names of this process are outside their limits.
    #[error("cluster: member: {0}")]
    Member(#[source] ConfigError),
    /// The folder of the voter can't be opened.
    #[error("cluster: {}: {source}", path.display())]
    OpenFolder {
        /// The folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The voter can't be restored from its folder.
    #[error("cluster: {}: {source}", path.display())]
    RestoreVoter {
        /// The folder.
        path: PathBuf,
        /// The fault of its content.
        source: VoterError,
    },
    /// This process is one of the voters, but has no folder for its files.
    #[error("cluster: folder: a voter needs one")]
    VoterWithoutFolder,
    /// A thread can't be started.
    #[error("cluster: threads: {0}")]
    SpawnThread(#[source] io::Error),
    /// The process can't listen on the control socket.
    #[error("cluster: {}: {source}", path.display())]
    ControlSocket {
        /// The socket.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
}
