//! Why a process cannot join its cluster.

use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;

use tulipgap_consensus::VoterError;
use tulipgap_membership::ConfigError;
use tulipgap_peer_protocol::KeyTooShort;

/// Why a process cannot join its cluster. Each text names the setting or the file that is to be
/// mended.
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
        /// What the system reported.
        source: io::Error,
    },
    /// The key is too short.
    #[error("cluster: {}: {source}", path.display())]
    InvalidKey {
        /// The key file.
        path: PathBuf,
        /// What is wrong with the key.
        source: KeyTooShort,
    },
    /// The address for peers can't be listened on.
    #[error("cluster: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
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
        /// What the system reported.
        source: io::Error,
    },
    /// The voter can't be restored from its folder.
    #[error("cluster: {}: {source}", path.display())]
    RestoreVoter {
        /// The folder.
        path: PathBuf,
        /// What is wrong with its content.
        source: VoterError,
    },
    /// This process is one of the voters, and has no folder to write to.
    #[error("cluster: folder: a voter needs one")]
    VoterWithoutFolder,
    /// A thread can't be started.
    #[error("cluster: threads: {0}")]
    SpawnThread(#[source] io::Error),
    /// The control socket can't be listened on.
    #[error("cluster: {}: {source}", path.display())]
    ControlSocket {
        /// The socket.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
}
