//! The running server: its parts, the coroutines that drive them, and its graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
use crate::requests::RequestRegistry;
use crate::trace::Tracer;

/// The store client gets at most one in this many of the descriptors.
const STORE_DESCRIPTOR_DIVISOR: usize = 8;
/// How often connections are checked for idleness and timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Sweeps between two summaries in the log.
const SWEEPS_PER_SUMMARY: u32 = 300;
/// The least time before the termination in which edge nodes may close their connections.
const MIN_CLOSE_TIME: Duration = Duration::from_secs(1);
/// The time before the termination at which a drain ends, whether or not everything is answered.
const TERMINATION_MARGIN: Duration = Duration::from_millis(100);
/// The time before the termination by which the cluster is left.
const CLUSTER_SHUTDOWN_MARGIN: Duration = Duration::from_millis(50);
/// How often a drain checks whether everything is answered and closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The parts of a running server. Each owns its own state; the server owns the parts, and whether
/// it is draining.
pub(crate) struct Server {
    registry: Arc<RequestRegistry>,
    executor: Arc<ExecutorClient>,
    store: Arc<StoreClient>,
    frontend: Arc<Frontend>,
    service_registry: CurrentAddress<Option<SocketAddr>>,
    is_draining: AtomicBool,
    drain_grace: Duration,
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

    /// Logs what became of requests since the start, and the counters of the frontend.
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
            Registration::NotYet
        }
    }

    /// Moves the links to the addresses at which the peers are from now on.
    pub(crate) fn move_peers(&self, peers: PeerAddresses) {
        self.executor.move_to(peers.executor);
        self.store.move_to(peers.store);
        self.service_registry.set(peers.registry);
    }

    /// Warns where the backlog takes longer to be answered than the termination leaves.
    fn warn_of_a_long_backlog(&self, notice: Instant) {
        let Some(backlog) = self.frontend.backlog() else {
            return;
        };
        let taken = notice.elapsed() + TERMINATION_MARGIN;
        let left = self.termination.saturating_sub(taken);
        let bound = backlog.answer_bound();
        if bound > left {
            ::log::warn!(
                "backlog may not be answered waiting={} places={} bound_ms={} left_ms={}",
                backlog.waiting,
                backlog.places,
                bound.as_millis(),
                left.as_millis()
            );
        }
    }

    /// Logs what the termination cuts off.
    fn log_cut_short(&self) {
        ::log::warn!(
            "drain cut short waiting={} connections={} open_requests={}",
            self.frontend.backlog().map_or(0, |backlog| backlog.waiting),
            self.frontend.connections(),
            self.registry.open()
        );
    }

    /// Drains after the notice that was received at `notice`, and returns once everything is
    /// answered and closed, or shortly before the termination.
    pub(crate) fn drain(&self, notice: Instant, cluster: Option<Cluster>) {
        ::log::info!("shutdown notice received");
        self.log_summary();
        if let Some(cluster) = &cluster {
            cluster.start_drain();
        }
        self.is_draining.store(true, Ordering::Release);
        self.registry.shutdown_notice(notice, self.termination);
        let ends_at = notice + self.termination.saturating_sub(TERMINATION_MARGIN);
        self.frontend.shutdown_notice(ends_at);
        self.warn_of_a_long_backlog(notice);
        let accepting_time = accepting_time(self.drain_grace, self.termination);
        std::thread::sleep(accepting_time.saturating_sub(notice.elapsed()));
        self.frontend.close();
        let is_over = || self.frontend.is_over() && self.registry.open() == 0;
        while !is_over() && notice.elapsed() + TERMINATION_MARGIN < self.termination {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
            // Connections whose edge nodes do not close are closed on time.
            self.frontend.sweep();
        }
        if !is_over() {
            self.log_cut_short();
        }
        if let Some(cluster) = cluster {
            cluster.shutdown(
                self.termination
                    .saturating_sub(notice.elapsed() + CLUSTER_SHUTDOWN_MARGIN),
            );
        }
        let took = notice.elapsed().as_millis();
        ::log::info!("drain finished elapsed_ms={took}");
        self.log_summary();
    }
}

/// How long after a shutdown notice connections are still accepted. Edge nodes learn of the drain
/// only after some time, and the controller goes on admitting for `drain_grace`; a connection that
/// is refused in that time would be an error for its caller. Afterwards no request that arrives may
/// be run, and a refused connection sends its caller to another server sooner than a response
/// could. Edge nodes get `MIN_CLOSE_TIME` before the termination in any case.
fn accepting_time(drain_grace: Duration, termination: Duration) -> Duration {
    drain_grace.min(termination.saturating_sub(MIN_CLOSE_TIME))
}

/// By what callers learn how much to send here, as the log names it.
fn caller_feedback(steering: Steering) -> &'static str {
    match steering {
        Steering::FeedbackValue => "feedback_value",
        Steering::EndpointList => "health",
        Steering::Both => "feedback_value,health",
        Steering::RetryAfterOnly => "retry_after",
    }
}
