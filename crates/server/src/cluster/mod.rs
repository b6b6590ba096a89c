//! This process as a member of a cluster: membership, leases and, where it is one of the voters,
//! consensus. The process joins a cluster only if the block `cluster` of the configuration enables
//! it, and runs this module on dedicated threads.
//!
//! The packages `membership`, `leases` and `consensus` make the decisions. This module hands them
//! their input events and carries out their output actions:
//!
//! - [`Cluster`] is the server's handle to the cluster.
//! - [`event_loop`] owns the state of the cluster and takes all inputs; [`local_node`] holds the
//!   state machines, [`admin`] carries out operators' commands, which [`control_socket`] accepts.
//! - [`voter_thread`] runs the voter, whose writes wait for the disk.
//! - [`peer_links`] sends and receives frames; [`message_router`] finds the address of a member.
//! - [`lease_handle`] gives tasks access to leases: [`drain`], [`store_probe`] and, for
//!   `tulipgap chaos`, [`fault_injection`].

mod admin;
mod clock;
mod control_protocol;
mod control_socket;
mod drain;
mod error;
mod event_loop;
mod fault_injection;
mod input;
mod lease_handle;
mod local_node;
mod message_router;
mod peer_links;
mod pending_requests;
mod store_probe;
#[cfg(test)]
mod tests;
mod threads;
mod voter_thread;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use parking_lot::Mutex;
use tulipgap_config::FaultInjectionConfig;
use tulipgap_consensus::DurableVoter;
use tulipgap_leases::{Incarnation, LeaseClient, Name, Owner};
use tulipgap_membership::{Membership, Node, SUPPORTED_VERSIONS};
use tulipgap_peer_protocol::{Envelope, FrameCodec};
use tulipgap_write_ahead_log::Directory;

use self::admin::Admin;
use self::clock::ClusterClock;
use self::drain::DrainLease;
pub(crate) use self::error::ClusterError;
use self::event_loop::EventLoop;
use self::fault_injection::{FaultyDisk, LeaseWorker};
use self::input::{Input, MAX_QUEUED_INPUTS};
use self::lease_handle::LeaseHandle;
use self::local_node::{LocalNode, LocalNodeParts};
use self::message_router::MessageRouter;
use self::peer_links::{MAX_STREAMS, PeerLinks, PeerLinksConfig};
use self::store_probe::StoreProbe;
use self::threads::spawn_thread;
use self::voter_thread::VoterHandle;
use crate::net::store::StoreClient;

/// The number of descriptors besides those of streams: the datagram socket, the listeners, the
/// voter's files and the control socket.
const OTHER_DESCRIPTORS: usize = 8;
/// The number of descriptors that are reserved for the cluster.
pub(crate) const DESCRIPTORS: usize = MAX_STREAMS + OTHER_DESCRIPTORS;
/// The random part of the lease client's pauses, in thousandths of a pause.
const RETRY_JITTER_PERMILLE: u32 = 250;
/// How long the process waits at its end until the event loop has left the cluster.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// The handle to the cluster of this process. The event loop and the other threads own the state;
/// the handle sends them inputs.
pub(crate) struct Cluster {
    inputs: SyncSender<Input>,
    leases: LeaseHandle,
    /// Present if the configuration bounds how many processes drain.
    drain: Option<DrainLease>,
    zone: String,
    control_socket: Option<PathBuf>,
}

/// Joins the cluster. `default_name` is the name of this process if the configuration has none.
///
/// # Errors
/// [`ClusterError`] if the configuration is invalid, an address is in use, or the voter's folder
/// can't be used.
pub(crate) fn start(
    config: &tulipgap_config::ClusterConfig,
    default_name: &str,
    seed: u64,
) -> Result<Cluster, ClusterError> {
    Startup::new(config, default_name, seed)?.run()
}

impl Cluster {
    /// Begins to drain after a shutdown notice, whether or not other processes of the zone drain.
    /// The process requests a slot of the drain lease, so that processes that wait for a slot take
    /// this drain into account.
    pub(crate) fn start_drain(&self) {
        // Another voter should lead before this process is busy draining; otherwise this process
        // leads until it ends.
        let _ = self.inputs.try_send(Input::TransferLeadership);
        let Some(drain) = self.drain.clone() else {
            return;
        };
        let leases = self.leases.clone();
        // On a separate thread: the call blocks while the event loop's queue is full, which must
        // not delay the drain.
        if let Err(error) = spawn_thread("drain", move || drain.acquire(&leases)) {
            log::warn!("drain lease not requested error=\"{error}\"");
        }
    }

    /// Starts the health check of the store.
    pub(crate) fn start_store_probe(&self, store: &Arc<StoreClient>) {
        let probe = StoreProbe::new(
            self.leases.clone(),
            self.inputs.clone(),
            &self.zone,
            store.clone(),
        );
        if let Err(error) = spawn_thread("cluster-probe", move || probe.run()) {
            log::error!("store probe not started error=\"{error}\"");
        }
    }

    /// Releases all leases, transfers the leadership and leaves the cluster. It takes at most
    /// the shorter of `timeout` and [`SHUTDOWN_TIMEOUT`].
    pub(crate) fn shutdown(self, timeout: Duration) {
        let (done, is_done) = sync_channel(1);
        if self.inputs.try_send(Input::Shutdown(done)).is_ok() {
            let _ = is_done.recv_timeout(timeout.min(SHUTDOWN_TIMEOUT));
        }
        if let Some(path) = self.control_socket {
            let _ = std::fs::remove_file(path);
        }
    }
}

/// The configuration and identity of this process, from which its threads are started.
struct Startup<'a> {
    config: &'a tulipgap_config::ClusterConfig,
    /// The faults to inject; none by default.
    faults: FaultInjectionConfig,
    local_name: Name,
    listen: SocketAddr,
    codec: FrameCodec,
    clock: ClusterClock,
    /// Sampled at each start, so that a response to a request of an earlier run is recognised.
    incarnation: Incarnation,
    seed: u64,
    voters: Vec<Name>,
}

impl<'a> Startup<'a> {
    fn new(
        config: &'a tulipgap_config::ClusterConfig,
        default_name: &str,
        seed: u64,
    ) -> Result<Self, ClusterError> {
        let listen = config.listen.parse().map_err(ClusterError::ListenAddress)?;
        let codec = read_codec(&config.name, &config.key)?;
        let faults = config.trial.clone().unwrap_or_default();
        let incarnation = Incarnation(fastrand::u64(1..));
        Ok(Startup {
            config,
            local_name: config.member.as_deref().unwrap_or(default_name).into(),
            listen,
            codec,
            clock: ClusterClock::start(faults.clock_rate),
            faults,
            incarnation,
            seed: seed ^ incarnation.0,
            voters: config
                .voters
                .iter()
                .map(|voter| voter.as_str().into())
                .collect(),
        })
    }

    /// Starts the threads, in the order of their dependencies.
    fn run(self) -> Result<Cluster, ClusterError> {
        let (inputs, queued_inputs) = sync_channel(MAX_QUEUED_INPUTS);
        let (received, envelopes) = sync_channel(MAX_QUEUED_INPUTS);
        let links = self.open_links(received)?;
        let membership = self.membership()?;
        let lease_client = Arc::new(Mutex::new(self.lease_client()));
        let router =
            MessageRouter::new(links, self.local_name.clone(), self.listen, inputs.clone());
        let voter = self.start_voter(&router)?;
        let leases = LeaseHandle::new(lease_client.clone(), self.clock, inputs.clone());
        start_forwarding(envelopes, inputs.clone())?;
        let drain = self.drain_lease();
        let node = LocalNode::from(LocalNodeParts {
            clock: self.clock,
            router,
            membership,
            lease_client,
            voter,
            voters: self.voters.clone(),
        });
        let event_loop = EventLoop::new(node, Admin::new(self.voters.clone(), drain.clone()));
        spawn_thread("cluster", move || event_loop.run(&queued_inputs))
            .map_err(ClusterError::SpawnThread)?;
        self.start_control_socket(&inputs)?;
        self.start_lease_workers(&leases)?;
        let (name, zone, member) = (&self.config.name, &self.config.zone, &self.local_name);
        log::info!(
            "cluster member started cluster={name} member={member} zone={zone} listen={}",
            self.listen
        );
        let control_socket = self.config.control.clone();
        Ok(Cluster {
            inputs,
            leases,
            drain,
            zone: zone.clone(),
            control_socket,
        })
    }

    /// The drain lease of this zone, if the configuration has one.
    fn drain_lease(&self) -> Option<DrainLease> {
        let drain = self.config.drain.as_ref()?;
        Some(DrainLease::for_zone(&self.config.zone, drain.at_once))
    }

    fn open_links(&self, received: SyncSender<Envelope>) -> Result<Arc<PeerLinks>, ClusterError> {
        let config = PeerLinksConfig {
            listen: self.listen,
            codec: self.codec.clone(),
            local_name: self.local_name.clone(),
            incarnation: self.incarnation,
            routes: self.faults.routes().into_iter().collect(),
        };
        PeerLinks::open(config, received).map_err(|source| ClusterError::Listen {
            address: self.listen,
            source,
        })
    }

    fn membership(&self) -> Result<Membership, ClusterError> {
        let node = Node {
            name: self.local_name.clone(),
            address: self.listen,
            region: self.config.region.as_str().into(),
            zone: self.config.zone.as_str().into(),
            version: *SUPPORTED_VERSIONS.end(),
        };
        let config = tulipgap_membership::Config {
            seeds: self.config.seeds(),
            ..Default::default()
        };
        let incarnation = tulipgap_membership::Incarnation::default();
        Membership::new(config, node, incarnation, self.seed).map_err(ClusterError::Member)
    }

    fn lease_client(&self) -> LeaseClient {
        let owner = Owner {
            name: self.local_name.clone(),
            incarnation: self.incarnation,
        };
        let config = tulipgap_leases::Config {
            max_clock_drift_permille: self.max_clock_drift_permille(),
            jitter_permille: RETRY_JITTER_PERMILLE,
        };
        LeaseClient::new(owner, self.voters.clone(), config, self.seed)
    }

    /// Starts the voter of this process, if it has one.
    fn start_voter(&self, router: &MessageRouter) -> Result<Option<VoterHandle>, ClusterError> {
        let Some(folder) = self.voter_folder()? else {
            return Ok(None);
        };
        let voter = self.open_voter(folder)?;
        VoterHandle::spawn(voter, self.clock, router.clone())
            .map(Some)
            .map_err(ClusterError::SpawnThread)
    }

    /// The folder of this process's voter, if it has one. A member with a folder has a voter even
    /// if it does not vote yet, because an operator may let it replace another voter.
    fn voter_folder(&self) -> Result<Option<&Path>, ClusterError> {
        match self.config.folder.as_deref() {
            Some(folder) if !self.voters.is_empty() => Ok(Some(folder)),
            None if self.voters.contains(&self.local_name) => Err(ClusterError::VoterWithoutFolder),
            Some(_) | None => Ok(None),
        }
    }

    /// Restores the voter from its folder.
    fn open_voter(
        &self,
        folder: &Path,
    ) -> Result<DurableVoter<FaultyDisk<Directory>>, ClusterError> {
        let config = tulipgap_consensus::Config {
            max_clock_drift_permille: self.max_clock_drift_permille(),
            ..Default::default()
        };
        let disk = Directory::open(folder).map_err(|source| ClusterError::OpenFolder {
            path: folder.into(),
            source,
        })?;
        let disk = FaultyDisk::new(disk, self.faults.fault_folder.clone());
        DurableVoter::open(
            config,
            &self.local_name,
            self.voters.clone(),
            disk,
            self.seed,
        )
        .map_err(|source| ClusterError::RestoreVoter {
            path: folder.into(),
            source,
        })
    }

    fn start_control_socket(&self, inputs: &SyncSender<Input>) -> Result<(), ClusterError> {
        let Some(path) = &self.config.control else {
            return Ok(());
        };
        control_socket::listen(path, inputs.clone()).map_err(|source| ClusterError::ControlSocket {
            path: path.clone(),
            source,
        })
    }

    /// For `tulipgap chaos`: starts the tasks that act under leases and report to a history
    /// recorder. Without a configured recorder, it starts none.
    fn start_lease_workers(&self, leases: &LeaseHandle) -> Result<(), ClusterError> {
        let recorder = self
            .faults
            .witness
            .as_deref()
            .and_then(|address| address.parse().ok());
        let Some(recorder) = recorder else {
            return Ok(());
        };
        for lease in self.faults.leases() {
            let worker = LeaseWorker::new(
                leases.clone(),
                lease,
                self.local_name.clone(),
                recorder,
                self.faults.fault_folder.clone(),
            );
            spawn_thread("trial", move || worker.run()).map_err(ClusterError::SpawnThread)?;
        }
        Ok(())
    }

    fn max_clock_drift_permille(&self) -> u32 {
        (self.config.clock_off * 1000.0).round() as u32
    }
}

fn read_codec(cluster: &str, key_file: &Path) -> Result<FrameCodec, ClusterError> {
    let path = || key_file.to_path_buf();
    let key = std::fs::read(key_file).map_err(|source| ClusterError::ReadKey {
        path: path(),
        source,
    })?;
    FrameCodec::new(cluster, &key).map_err(|source| ClusterError::InvalidKey {
        path: path(),
        source,
    })
}

/// Starts the thread that passes received envelopes from the links to the event loop. The
/// thread ends when the links or the event loop end.
fn start_forwarding(
    envelopes: Receiver<Envelope>,
    inputs: SyncSender<Input>,
) -> Result<(), ClusterError> {
    let forward = move || {
        for envelope in envelopes {
            if inputs.send(Input::Received(envelope)).is_err() {
                return;
            }
        }
    };
    spawn_thread("cluster-in", forward).map_err(ClusterError::SpawnThread)
}
