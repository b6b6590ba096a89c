//! The running server: its parts, the coroutines that drive them, and its graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use may::net::TcpListener;
use tulipgap_config::ConnectionLimitsConfig;
use tulipgap_connection_limits::{FullPolicy, Limiter};
use tulipgap_settings::Steering;

use crate::clock;
use crate::cluster::Cluster;
use crate::config::{CurrentAddress, PeerAddresses, ServerConfig};
use crate::connection_limits;
use crate::net::executor::ExecutorClient;
use crate::net::frontend::Frontend;
use crate::net::registration::{self, Registration};
use crate::net::spawn;
use crate::net::store::StoreClient;
use crate::requests::{KeyLimits, RequestRegistry};
use crate::trace::Tracer;

/// The store client opens at most the configured number of sockets divided by this number.
const STORE_DESCRIPTOR_DIVISOR: usize = 8;
/// How often the server checks connections for idleness and timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// The number of sweeps between two summaries in the log.
const SWEEPS_PER_SUMMARY: u32 = 300;
/// The minimum time before the termination that edge nodes get to close their connections.
const MIN_CLOSE_TIME: Duration = Duration::from_secs(1);
/// The time before the termination at which a drain ends, even if requests are still open: the
/// process then writes the last lines of the log, and the operating system closes the connections.
/// If the termination soon follows the notice, [`MAX_TERMINATION_MARGIN_DIVISOR`] bounds this time.
const TERMINATION_MARGIN: Duration = Duration::from_millis(50);
/// The margin is at most the time from the shutdown notice to the termination divided by this
/// number; the drain has the rest.
const MAX_TERMINATION_MARGIN_DIVISOR: u32 = 4;
/// The time before the termination at which the process begins to leave the cluster, even if the
/// drain is not over. It has until the end of the drain to leave.
const CLUSTER_SHUTDOWN_MARGIN: Duration = Duration::from_millis(100);
/// Replaces a time between the shutdown notice and the termination that is too long for an
/// [`Instant`].
const MAX_TERMINATION: Duration = Duration::from_secs(365 * 24 * 3600);
/// During this time before the end of a drain, the server checks connections for idleness and
/// timeouts every [`DRAIN_POLL_INTERVAL`], so that it soon closes the connections that edge nodes
/// leave open. Until then only the periodic sweep closes them, so that fewer requests are in
/// transit when their connection is closed and have to be sent again.
const PROMPT_CLOSE_TIME: Duration = Duration::from_millis(200);
/// How often a drain checks whether all requests are answered and all connections closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running server. It owns its parts, each of which owns its own state, and the flag whether it
/// is draining.
pub(crate) struct Server {
    registry: Arc<RequestRegistry>,
    executor: Arc<ExecutorClient>,
    store: Arc<StoreClient>,
    frontend: Arc<Frontend>,
    service_registry: CurrentAddress<Option<SocketAddr>>,
    is_draining: AtomicBool,
    /// How long after the shutdown notice the controller still admits requests.
    drain_grace: Duration,
    /// How long after the shutdown notice the process is terminated.
    termination: Duration,
}

impl Server {
    /// Starts all parts and their coroutines.
    pub(crate) fn start(
        config: &ServerConfig,
        listener: TcpListener,
        tracer: Option<Arc<Tracer>>,
        admission: Option<&ConnectionLimitsConfig>,
        cluster: Option<&Cluster>,
    ) -> Result<Arc<Self>, tulipgap_connection_limits::ConfigError> {
        ::log::info!(
            "backend started name={} address={} caller_feedback={}",
            config.name,
            config.listen,
            caller_feedback(config.steering)
        );
        let registry = Arc::new(RequestRegistry::new(
            config.controller.clone(),
            config.seed,
            KeyLimits::for_memory(config.memory_mb),
            tracer,
        ));
        let gauge_names = config.names.gauges.clone();
        let executor = ExecutorClient::new(config.peers.executor, registry.clone(), gauge_names);
        let store_connections = config.sockets / STORE_DESCRIPTOR_DIVISOR;
        let store = StoreClient::new(config.peers.store, registry.clone(), store_connections);
        if let Some(cluster) = cluster {
            cluster.start_store_probe(&store);
        }
        let limits = connection_limits::limiter_config(config, store.max_connections(), admission);
        let rejects = limits.full_policy == FullPolicy::Reject;
        let frontend = Frontend::new(
            registry.clone(),
            executor.clone(),
            store.clone(),
            config.names.clone(),
            Limiter::new(limits, config.seed)?,
            rejects,
            config.memory_mb,
        );
        let server = Arc::new(Server {
            registry,
            executor,
            store,
            frontend,
            service_registry: CurrentAddress::new(config.peers.registry),
            is_draining: AtomicBool::new(false),
            drain_grace: config.controller.drain_grace,
            termination: config.termination,
        });
        server.spawn_coroutines(listener, config.name.clone());
        Ok(server)
    }

    fn spawn_coroutines(self: &Arc<Self>, listener: TcpListener, name: String) {
        let executor = self.executor.clone();
        spawn(move || executor.run());
        let frontend = self.frontend.clone();
        spawn(move || frontend.accept(listener));
        let server = self.clone();
        spawn(move || {
            loop {
                server.registry.tick(|| server.executor.gauges());
            }
        });
        let server = self.clone();
        spawn(move || server.sweep());
        let server = self.clone();
        spawn(move || registration::run(&server.service_registry, &name, || server.registration()));
    }

    fn sweep(&self) {
        for sweep in 1u32.. {
            clock::sleep(SWEEP_INTERVAL);
            self.frontend.sweep();
            self.store.sweep();
            if sweep.is_multiple_of(SWEEPS_PER_SUMMARY) {
                self.log_summary();
                if let Some(tracer) = self.registry.tracer() {
                    tracer.log_summary();
                }
            }
        }
    }

    /// Logs the counts and longest delays of requests, and the counters of the frontend.
    fn log_summary(&self) {
        self.registry.counts().log();
        self.registry.take_longest_delays().log();
        self.frontend.summary().log();
    }

    fn registration(&self) -> Registration {
        if self.is_draining.load(Ordering::Acquire) {
            Registration::Deregister
        } else if self.registry.is_started() {
            Registration::Serving
        } else {
            Registration::NotStarted
        }
    }

    /// Moves the links to the new addresses of the peers.
    pub(crate) fn move_peers(&self, peers: PeerAddresses) {
        self.executor.move_to(peers.executor);
        self.store.move_to(peers.store);
        self.service_registry.set(peers.registry);
    }

    /// Logs a warning if answering the backlog may take longer than until `ends_at`.
    fn warn_if_backlog_is_long(&self, ends_at: Instant) {
        let Some(backlog) = self.frontend.backlog() else {
            return;
        };
        let left = ends_at.saturating_duration_since(Instant::now());
        let bound = backlog.answer_bound();
        if bound > left {
            ::log::warn!(
                "backlog may not be answered waiting={} places={} bound_ms={} left_ms={}",
                backlog.waiting,
                backlog.slots,
                bound.as_millis(),
                left.as_millis()
            );
        }
    }

    /// Logs the numbers of connections and requests that are still open at the end of the drain.
    fn log_cut_short(&self) {
        ::log::warn!(
            "drain cut short waiting={} connections={} unfinished={} open_requests={}",
            self.frontend.backlog().map_or(0, |backlog| backlog.waiting),
            self.frontend.connections(),
            self.frontend.unfinished_connections(),
            self.registry.open_count()
        );
    }

    /// Drains after the shutdown notice that was received at `notice`. Returns when all requests
    /// are answered and all connections closed, or shortly before the termination.
    pub(crate) fn drain(&self, notice: Instant, mut cluster: Option<Cluster>) {
        ::log::info!("shutdown notice received");
        self.log_summary();
        if let Some(cluster) = &cluster {
            cluster.start_drain();
        }
        let margin = TERMINATION_MARGIN.min(self.termination / MAX_TERMINATION_MARGIN_DIVISOR);
        let ends_at = time_after(notice, self.termination.saturating_sub(margin));
        self.is_draining.store(true, Ordering::Release);
        self.registry.shutdown_notice(notice, self.termination);
        self.frontend.shutdown_notice(ends_at);
        self.warn_if_backlog_is_long(ends_at);
        let accepting_time = accepting_time(self.drain_grace, self.termination);
        std::thread::sleep(accepting_time.saturating_sub(notice.elapsed()));
        self.frontend.close();
        let leave_at = time_after(
            notice,
            self.termination.saturating_sub(CLUSTER_SHUTDOWN_MARGIN),
        );
        let mut leaving = None;
        while !self.is_drained() && Instant::now() < ends_at {
            if Instant::now() >= leave_at {
                leaving = leaving.or_else(|| leave(cluster.take()?, ends_at));
            }
            std::thread::sleep(DRAIN_POLL_INTERVAL);
            if Instant::now() + PROMPT_CLOSE_TIME >= ends_at {
                self.frontend.sweep();
            }
        }
        if !self.is_drained() {
            self.log_cut_short();
        }
        let leaving = leaving.or_else(|| leave(cluster.take()?, ends_at));
        if let Some(leaving) = leaving {
            // The panic hook has reported a panic of that thread; the drain ends all the same.
            let _ = leaving.join();
        }
        let took = notice.elapsed().as_millis();
        ::log::info!("drain finished elapsed_ms={took}");
        self.log_summary();
    }

    /// Whether all requests are answered and all connections closed.
    fn is_drained(&self) -> bool {
        self.frontend.is_drained() && self.registry.open_count() == 0
    }
}

/// The time `duration` after `from`, or a distant time if an [`Instant`] cannot represent it.
fn time_after(from: Instant, duration: Duration) -> Instant {
    from.checked_add(duration).unwrap_or(from + MAX_TERMINATION)
}

/// Leaves the cluster on a separate thread, by `ends_at`.
fn leave(cluster: Cluster, ends_at: Instant) -> Option<JoinHandle<()>> {
    let left = ends_at.saturating_duration_since(Instant::now());
    Some(std::thread::spawn(move || cluster.shutdown(left)))
}

/// How long after a shutdown notice the server still accepts connections. Edge nodes learn of the
/// drain with a delay, and the controller still admits requests for `drain_grace`; a refused
/// connection in that time would be an error for its caller. After that time new requests may not
/// be run, and a refused connection sends its caller to another server sooner than a response
/// could. Edge nodes get at least `MIN_CLOSE_TIME` before the termination.
fn accepting_time(drain_grace: Duration, termination: Duration) -> Duration {
    drain_grace.min(termination.saturating_sub(MIN_CLOSE_TIME))
}

/// The log word for the means by which callers learn how much traffic to send.
fn caller_feedback(steering: Steering) -> &'static str {
    match steering {
        Steering::FeedbackValue => "feedback_value",
        Steering::EndpointList => "health",
        Steering::Both => "feedback_value,health",
        Steering::RetryAfterOnly => "retry_after",
    }
}
