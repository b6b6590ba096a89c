//! `tulipgapd`: one real backend. It reads what `LB_CONFIG` tells, serves until SIGTERM, answers all that it
//! has read, and ends with 0. What it cannot work with ends it with one line on standard error and 2. SIGHUP has
//! it read again where its peers are.

mod clock;
mod cluster;
mod config;
mod control;
mod gate;
mod log;
mod must;
mod net;
mod trace;
mod trial;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, sync_channel};
use std::time::{Duration, Instant};

use clap::Parser;
use may::net::TcpListener;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tulipgap_config::{Admitting, Cap};
use tulipgap_connection_limits::{
    Config, ConnectionLimit, DescriptorOwner, FullPolicy, Limiter, NetworkLimits, Reservation,
};

use cluster::Cluster;
use config::{SOCKETS_LEAST, Told, Where};
use gate::Gate;
use net::clients::{Clients, IDLE_MORE, KEPT, MESSAGE_MOST};
use net::kernel::Kernel;
use net::list;
use net::spawn;
use net::store::Store;
use trace::Tracer;

/// A coroutine's stack in words; only what is touched takes memory.
const STACK_WORDS: usize = 8 * 1024;
/// Stacks kept for reuse.
const STACKS_KEPT: usize = 256;
/// Of the descriptors, one in so many may go to the store.
const STORE_PART: usize = 8;
/// Between two looks at idle connections.
const SWEEP: Duration = Duration::from_millis(100);
/// Looks between two summaries in the log.
const SUMMARY: u32 = 300;
/// The time before the stop that edge nodes get to close their connections, at the least.
const FAREWELL: Duration = Duration::from_secs(1);
/// Before the stop all is to be over.
const STOP_MARGIN: Duration = Duration::from_millis(100);

/// One real backend. LB_CONFIG names the JSON file that tells it who it is, where its peers are, its limits and the
/// settings; LB_LOG sets the level of the log (error, warn, info, debug).
#[derive(Parser)]
#[command(name = "tulipgapd", version)]
struct Args {
    /// The product's own configuration, in HCL; what it leaves out is off
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    // Before anything else: a signal that nobody has asked for ends the program.
    let signals = Signals::new([SIGHUP, SIGTERM, SIGINT]);
    log::start(std::env::var("LB_LOG").ok().as_deref());
    let path = std::env::var_os("LB_CONFIG");
    let path = path.as_deref().map(Path::new);
    let mut told = match config::read(path) {
        Ok(told) => told,
        Err(error) => return refuse(&error.to_string()),
    };
    let product = match args.settings.as_deref().map(tulipgap_config::read).transpose() {
        Ok(product) => product.unwrap_or_default(),
        Err(error) => return refuse(&error.to_string()),
    };
    // One core is shared with others: one worker, which sleeps while there is nothing to do.
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(STACKS_KEPT);
    may::config().set_worker_pin(false);
    let (signals, listener) = match (signals, TcpListener::bind(told.listen)) {
        (Ok(signals), Ok(listener)) => (signals, listener),
        (Err(error), _) => return refuse(&format!("signals: {error}")),
        (_, Err(error)) => return refuse(&format!("{}: {error}", told.listen)),
    };
    let tracer = match product.trace.filter(|told| told.enabled) {
        None => None,
        Some(trace) => match Tracer::start(&trace, &told.name, &told.given, &told.names) {
            Ok(tracer) => Some(Arc::new(tracer)),
            Err(error) => return refuse(&format!("trace: {error}")),
        },
    };
    // Nothing listens, talks to peers or writes a folder without that block.
    let cluster = match product.cluster.filter(|told| told.enabled) {
        None => None,
        Some(among) => {
            let Some(left) =
                told.sockets.checked_sub(cluster::DESCRIPTORS).filter(|left| *left >= SOCKETS_LEAST)
            else {
                return refuse(&format!(
                    "limits.sockets: {} are too few to be one of a cluster",
                    told.sockets
                ));
            };
            told.sockets = left;
            match cluster::start(&among, &told.name, told.seed) {
                Ok(cluster) => Some(cluster),
                Err(problem) => return refuse(&problem),
            }
        }
    };
    serve(told, path, listener, signals, tracer.clone(), product.admission, cluster);
    if let Some(tracer) = tracer {
        tracer.finish();
        ::log::info!("{}", tracer.told());
    }
    ::log::logger().flush();
    ExitCode::SUCCESS
}

/// The configuration of the limits on connections. As far as nothing is configured, newcomers wait in the backlog for a place and
/// nothing goes by address; what a configuration leaves out is derived from the places and the number of callers.
fn limits(told: &Told, store: usize, admitting: Option<&Admitting>) -> Config {
    let store = store.min(told.sockets.saturating_sub(KEPT + 1));
    let plain = Config {
        max_descriptors: told.sockets,
        reservations: vec![
            Reservation { owner: DescriptorOwner::Process, descriptors: KEPT },
            Reservation { owner: DescriptorOwner::Store, descriptors: store },
        ],
        network_limits: None,
        full_policy: FullPolicy::Wait,
        trusted_networks: Vec::new(),
        reputation_half_life: Duration::from_secs(600),
        message_timeout: MESSAGE_MOST,
        idle_timeout: told.given.idle_link.saturating_add(IDLE_MORE),
        cold_start_fraction: 1.0,
        warm_up: Duration::ZERO,
    };
    let Some(admitting) = admitting.filter(|admitting| admitting.enabled) else { return plain };
    let places = told.sockets - KEPT - store;
    // As many as all callers could have each, with room for twice that; never all of it.
    let each = (2 * places / told.given.callers.max(4) as usize).clamp(4, places.max(5) - 1) as u32;
    let limit = |cap: &Cap, open: u32| {
        let max_connections = cap.open.unwrap_or(open);
        ConnectionLimit { max_connections, max_rate: cap.rate.unwrap_or(max_connections.max(8)) }
    };
    let most = places as u32;
    let mut reservations = plain.reservations;
    let for_known_clients = (places as f64 * admitting.known_part) as usize;
    reservations.push(Reservation { owner: DescriptorOwner::KnownClients, descriptors: for_known_clients });
    Config {
        reservations,
        network_limits: Some(NetworkLimits {
            address: limit(&admitting.address, each),
            network: limit(&admitting.network, most.max(1)),
            wide_network: limit(&admitting.wide, most.max(1)),
        }),
        full_policy: if admitting.when_full == "wait" { FullPolicy::Wait } else { FullPolicy::Reject },
        // They were checked when the file was read.
        trusted_networks: admitting.known.iter().filter_map(|network| network.parse().ok()).collect(),
        reputation_half_life: admitting.half_life,
        cold_start_fraction: admitting.cold_part,
        warm_up: if told.given.cold { told.given.warm_up } else { Duration::ZERO },
        ..plain
    }
}

fn refuse(problem: &str) -> ExitCode {
    eprintln!("tulipgapd: {problem}");
    ExitCode::from(2)
}

fn serve(
    told: Told,
    path: Option<&Path>,
    listener: TcpListener,
    mut signals: Signals,
    tracer: Option<Arc<Tracer>>,
    admitting: Option<Admitting>,
    cluster: Option<Cluster>,
) {
    let steering = match told.steering {
        tulipgap_settings::Steering::Advice => "by the value on answers",
        tulipgap_settings::Steering::List => "by health, which the list follows",
        tulipgap_settings::Steering::Both => "by the value on answers and by health, which the list follows",
        tulipgap_settings::Steering::Waits => "by the wait on what is turned away alone",
    };
    ::log::info!("{} listens on {}; callers are steered {steering}", told.name, told.listen);
    let grace = told.given.drain_grace;
    let gate = Arc::new(Gate::new(told.given.clone(), told.seed, tracer));
    let kernel = Kernel::new(told.peers.kernel, gate.clone(), told.names.gauges.clone());
    let store = Store::new(told.peers.store, gate.clone(), told.sockets / STORE_PART);
    if let Some(cluster) = &cluster {
        cluster.probe_store(&store);
    }
    let limits = limits(&told, store.most(), admitting.as_ref());
    let refuses = limits.full_policy == FullPolicy::Reject;
    let limiter = match Limiter::new(limits, told.seed) {
        Ok(limiter) => limiter,
        Err(error) => return ::log::error!("{error}"),
    };
    let announce = Arc::new(Where::new(told.peers.announce));
    let clients = Clients::new(
        gate.clone(),
        kernel.clone(),
        store.clone(),
        told.names.clone(),
        limiter,
        refuses,
        told.memory_mb,
    );
    let leaving = Arc::new(AtomicBool::new(false));
    {
        let kernel = kernel.clone();
        spawn(move || kernel.run());
    }
    {
        let clients = clients.clone();
        spawn(move || clients.accept(listener));
    }
    {
        let (gate, kernel) = (gate.clone(), kernel.clone());
        spawn(move || {
            loop {
                gate.tick(|| kernel.gauges());
            }
        });
    }
    {
        let (gate, clients, store) = (gate.clone(), clients.clone(), store.clone());
        spawn(move || {
            for sweep in 1u32.. {
                clock::sleep(SWEEP);
                clients.sweep();
                store.sweep();
                if sweep.is_multiple_of(SUMMARY) {
                    ::log::info!("so far {}; {}", gate.counts(), clients.told());
                    if let Some(tracer) = gate.tracer() {
                        ::log::info!("{}", tracer.told());
                    }
                }
            }
        });
    }
    {
        let (gate, leaving, announce) = (gate.clone(), leaving.clone(), announce.clone());
        let name = told.name.clone();
        spawn(move || {
            list::run(&announce, &name, || match () {
                () if leaving.load(Ordering::Acquire) => list::State::Leaving,
                () if gate.started() => list::State::Serving,
                () => list::State::Coming,
            });
        });
    }
    let (notice, noticed) = channel();
    // One that waits is enough: it reads what is there by then.
    let (again, reading) = sync_channel(1);
    let stop = told.stop;
    let path = path.map(Path::to_owned);
    // Reading takes a while, for ever where the file is one that gives nothing: no notice to leave waits for that.
    std::thread::spawn(move || {
        for signal in &mut signals {
            if signal == SIGHUP {
                let _ = again.try_send(());
            } else {
                // Told once; the second time nobody listens.
                let _ = notice.send(Instant::now());
            }
        }
    });
    // Peers may move while this leaves, too.
    std::thread::spawn(move || {
        for () in &reading {
            match told.reread(path.as_deref()) {
                Ok((peers, rest)) => {
                    ::log::info!("read again: {peers:?}");
                    if !rest.is_empty() {
                        ::log::warn!("read again: a change of {} takes a restart", rest.join(", "));
                    }
                    kernel.move_to(peers.kernel);
                    store.move_to(peers.store);
                    announce.set(peers.announce);
                }
                Err(error) => ::log::error!("read again, nothing taken: {error}"),
            }
        }
    });
    let notice = noticed.recv().unwrap_or_else(|_| Instant::now());
    ::log::info!("notice to leave; so far {}; {}", gate.counts(), clients.told());
    if let Some(cluster) = &cluster {
        cluster.drains();
    }
    leaving.store(true, Ordering::Release);
    gate.leave(notice, stop);
    // The module goes on taking reqs for a while. Once nothing that comes may be run any more, a connection
    // refused sends a caller elsewhere sooner than an answer could.
    std::thread::sleep(grace.min(stop.saturating_sub(FAREWELL)).saturating_sub(notice.elapsed()));
    clients.close();
    while !(clients.over() && gate.open() == 0) && notice.elapsed() + STOP_MARGIN < stop {
        std::thread::sleep(Duration::from_millis(5));
    }
    if let Some(cluster) = cluster {
        cluster.leave(stop.saturating_sub(notice.elapsed() + STOP_MARGIN / 2));
    }
    ::log::info!("left after {} ms; {}; {}", notice.elapsed().as_millis(), gate.counts(), clients.told());
}
