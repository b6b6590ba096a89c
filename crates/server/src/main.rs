//! `tulipgapd`: one real backend. It reads what `LB_CONFIG` tells, serves until SIGTERM, answers all that it
//! has read, and ends with 0. What it cannot work with ends it with one line on standard error and 2.

mod config;
mod gate;
mod log;
mod must;
mod net;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use may::coroutine;
use may::net::TcpListener;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use config::Told;
use gate::Gate;
use net::clients::Clients;
use net::kernel::Kernel;
use net::list;
use net::spawn;
use net::store::Store;

/// A coroutine's stack in words; only what is touched takes memory.
const STACK_WORDS: usize = 8 * 1024;
/// Stacks kept for reuse.
const STACKS_KEPT: usize = 256;
/// Between two looks at idle connections.
const SWEEP: Duration = Duration::from_millis(500);
/// Looks between two summaries in the log.
const SUMMARY: u32 = 60;
/// The time before the stop that edge nodes get to close their connections, at the least.
const FAREWELL: Duration = Duration::from_secs(1);
/// Before the stop all is to be over.
const STOP_MARGIN: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    log::start(std::env::var("LB_LOG").ok().as_deref());
    let told = match config::read(std::env::var_os("LB_CONFIG").as_deref().map(Path::new)) {
        Ok(told) => told,
        Err(error) => return refuse(&error.to_string()),
    };
    // One core is shared with others: one worker, which sleeps while there is nothing to do.
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(STACKS_KEPT);
    may::config().set_worker_pin(false);
    let signals = Signals::new([SIGTERM, SIGINT]);
    let (mut signals, listener) = match (signals, TcpListener::bind(told.listen)) {
        (Ok(signals), Ok(listener)) => (signals, listener),
        (Err(error), _) => return refuse(&format!("signals: {error}")),
        (_, Err(error)) => return refuse(&format!("{}: {error}", told.listen)),
    };
    serve(told, listener, &mut signals);
    ::log::logger().flush();
    ExitCode::SUCCESS
}

fn refuse(problem: &str) -> ExitCode {
    eprintln!("tulipgapd: {problem}");
    ExitCode::from(2)
}

fn serve(told: Told, listener: TcpListener, signals: &mut Signals) {
    ::log::info!("{} listens on {}", told.name, told.listen);
    let grace = told.given.drain_grace;
    let gate = Arc::new(Gate::new(told.given, told.seed));
    let kernel = Kernel::new(told.kernel, gate.clone(), told.names.gauges.clone());
    let store = Store::new(told.store, gate.clone());
    let clients =
        Clients::new(gate.clone(), kernel.clone(), store.clone(), told.names, told.sockets, told.memory_mb);
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
                coroutine::sleep(SWEEP);
                clients.sweep();
                store.sweep();
                if sweep.is_multiple_of(SUMMARY) {
                    ::log::info!("so far {}; {}", gate.counts(), clients.told());
                }
            }
        });
    }
    if let Some(address) = told.announce {
        let (gate, leaving) = (gate.clone(), leaving.clone());
        let name = told.name.clone();
        spawn(move || {
            list::run(address, &name, || match () {
                () if leaving.load(Ordering::Acquire) => list::State::Leaving,
                () if gate.started() => list::State::Serving,
                () => list::State::Coming,
            });
        });
    }
    signals.forever().next();
    let notice = Instant::now();
    ::log::info!("notice to leave; so far {}; {}", gate.counts(), clients.told());
    leaving.store(true, Ordering::Release);
    gate.leave(told.stop);
    // The module goes on taking reqs for a while. Once nothing that comes may be run any more, a connection
    // refused sends a caller elsewhere sooner than an answer could.
    std::thread::sleep(grace.min(told.stop.saturating_sub(FAREWELL)).saturating_sub(notice.elapsed()));
    if let Err(error) = clients.close(told.listen) {
        ::log::warn!("{}: {error}", told.listen);
    }
    while !(clients.none() && gate.open() == 0) && notice.elapsed() + STOP_MARGIN < told.stop {
        std::thread::sleep(Duration::from_millis(5));
    }
    ::log::info!("left after {} ms; {}; {}", notice.elapsed().as_millis(), gate.counts(), clients.told());
}
