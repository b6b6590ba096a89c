//! `tulipgapd` runs one backend. It reads the file that `LB_CONFIG` names, serves requests until
//! SIGTERM or SIGINT, drains, and exits with 0. The drain answers every request that was read,
//! unless the termination cuts it short. If the program cannot start, it writes one line to
//! standard error and exits with 2. On SIGHUP it reads the addresses of its peers again.

mod clock;
mod cluster;
mod config;
mod connection_limits;
mod invariant;
mod log;
mod net;
mod requests;
mod server;
mod signals;
mod trace;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use may::net::TcpListener;

use cluster::{Cluster, ClusterError};
use config::{ConfigError, MIN_SOCKETS, ServerConfig};
use server::Server;
use signals::Signals;
use trace::Tracer;

/// The stack of a coroutine, in words of 8 bytes. Only the pages that are used take memory.
const STACK_WORDS: usize = 8 * 1024;
/// The maximum number of stacks that are kept for reuse.
const MAX_POOLED_STACKS: usize = 256;

/// The exit code if the program cannot start.
const CANNOT_START: u8 = 2;

/// Runs one backend. LB_CONFIG names the JSON file with the name of the backend, the addresses of
/// its peers, its limits and its settings; LB_LOG sets the log level (error, warn, info, debug).
#[derive(Parser)]
#[command(name = "tulipgapd", version)]
struct Args {
    /// The product configuration file, in HCL; a block that it omits is off
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
}

/// Why the program cannot start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("{0}")]
    Product(#[from] tulipgap_config::ConfigError),
    #[error("signals: {0}")]
    Signals(std::io::Error),
    #[error("{address}: {source}")]
    Listen {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[error("trace: {0}")]
    Trace(std::io::Error),
    #[error("limits.sockets: {0} are too few to be one of a cluster")]
    TooFewSockets(usize),
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    #[error("limits on connections: {0}")]
    ConnectionLimits(#[from] tulipgap_connection_limits::ConfigError),
}

fn main() -> ExitCode {
    let args = Args::parse();
    // The first step, because a signal that is not handled yet ends the program.
    let signals = Signals::register();
    log::start(std::env::var("LB_LOG").ok().as_deref());
    match run(&args, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tulipgapd: {error}");
            ExitCode::from(CANNOT_START)
        }
    }
}

fn run(args: &Args, signals: std::io::Result<Signals>) -> Result<(), StartError> {
    let path = std::env::var_os("LB_CONFIG").map(PathBuf::from);
    let mut config = ServerConfig::read(path.as_deref())?;
    let product = args
        .settings
        .as_deref()
        .map(tulipgap_config::read)
        .transpose()?
        .unwrap_or_default();
    // The server shares one core with other processes, so it has one worker, which sleeps while it
    // has nothing to do.
    may::config()
        .set_workers(1)
        .set_stack_size(STACK_WORDS)
        .set_pool_capacity(MAX_POOLED_STACKS);
    may::config().set_worker_pin(false);
    let signals = signals.map_err(StartError::Signals)?;
    let listener = TcpListener::bind(config.listen).map_err(|source| StartError::Listen {
        address: config.listen,
        source,
    })?;
    let tracer = start_tracer(product.trace.as_ref(), &config)?;
    let cluster = start_cluster(product.cluster.as_ref(), &mut config)?;
    serve(
        config,
        path.as_deref(),
        listener,
        signals,
        tracer.clone(),
        product.admission.as_ref(),
        cluster,
    )?;
    if let Some(tracer) = tracer {
        tracer.finish();
        tracer.log_summary();
    }
    ::log::logger().flush();
    Ok(())
}

fn start_tracer(
    tracing: Option<&tulipgap_config::TraceConfig>,
    config: &ServerConfig,
) -> Result<Option<Arc<Tracer>>, StartError> {
    let Some(tracing) = tracing.filter(|tracing| tracing.enabled) else {
        return Ok(None);
    };
    let tracer = Tracer::start(tracing, &config.name, &config.controller, &config.names);
    Ok(Some(Arc::new(tracer.map_err(StartError::Trace)?)))
}

/// Joins the cluster if the block `cluster` enables it. Without that block, the process neither
/// listens for peers nor contacts any, and writes no voter folder. The cluster's descriptors are
/// subtracted from the descriptors of the server.
fn start_cluster(
    block: Option<&tulipgap_config::ClusterConfig>,
    config: &mut ServerConfig,
) -> Result<Option<Cluster>, StartError> {
    let Some(block) = block.filter(|block| block.enabled) else {
        return Ok(None);
    };
    let left = config
        .sockets
        .checked_sub(cluster::DESCRIPTORS)
        .filter(|left| *left >= MIN_SOCKETS);
    config.sockets = left.ok_or(StartError::TooFewSockets(config.sockets))?;
    Ok(Some(cluster::start(block, &config.name, config.seed)?))
}

/// Serves until a shutdown notice, and drains.
fn serve(
    config: ServerConfig,
    path: Option<&Path>,
    listener: TcpListener,
    signals: Signals,
    tracer: Option<Arc<Tracer>>,
    admission: Option<&tulipgap_config::ConnectionLimitsConfig>,
    cluster: Option<Cluster>,
) -> Result<(), StartError> {
    let server = Server::start(&config, listener, tracer, admission, cluster.as_ref())?;
    let notice = signals.wait_for_shutdown(config, path, &server);
    server.drain(notice, cluster);
    Ok(())
}
