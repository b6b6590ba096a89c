//! The plan of a run of the soak, sampled from a seed.

use std::time::Duration;

use super::clients::ClientPlan;
use super::connection_flood::FloodKind;

/// Number of connections of a flood in the runs that test floods.
const FLOOD_CONNECTIONS: std::ops::Range<usize> = 300..900;

/// Number of connections of a flood in the wide runs. The largest flood is smaller than the backlog
/// of the listener and the lowest connection limit together, so every connection is accepted or
/// waits in the backlog.
const WIDE_FLOOD_CONNECTIONS: std::ops::Range<usize> = 100..1_000;
/// How long the process is paused by SIGSTOP.
const PROCESS_PAUSE: Duration = Duration::from_millis(100);
/// The drain grace that the platform documents.
const PLATFORM_GRACE: Duration = Duration::from_millis(2500);
/// The `stop_ms` that the platform documents.
const PLATFORM_STOP: Duration = Duration::from_millis(3200);

/// Times from the end of the drain grace to the kill, in milliseconds; a run samples one of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct KillMargins(&'static [u64]);

/// Margins longer than the 500 ms that the program reserves: 500 ms before the kill it has answered
/// every request.
pub(super) const DEFAULT_MARGINS: KillMargins = KillMargins(&[600, 700, 1000, 2000]);
/// Margins shorter than the 500 ms that the program reserves before the kill.
pub(super) const SHORT_MARGINS: KillMargins = KillMargins(&[100, 300, 450]);

/// A fault of a peer of the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerFault {
    None,
    /// The link of the executor breaks.
    ExecutorLinkBreaks,
    /// The store closes all its connections.
    StoreDown,
    /// The store does not reply to calls.
    StoreSilent,
    /// The executor starts to listen only after the signals that precede the shutdown notice.
    ExecutorLate,
}

/// A signal to the backend, and the pause after the previous signal.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimedSignal {
    pub(super) after: Duration,
    pub(super) name: &'static str,
}

/// The plan of one run, sampled from a seed.
#[derive(Debug)]
pub(super) struct RunPlan {
    pub(super) seed: u64,
    pub(super) sockets: usize,
    pub(super) effect: &'static str,
    pub(super) grace: Duration,
    /// Time from the first SIGTERM to the kill.
    pub(super) stop: Duration,
    pub(super) clients: Vec<ClientPlan>,
    /// Number of connections of the flood.
    pub(super) flood_connections: usize,
    pub(super) flood_kind: FloodKind,
    pub(super) peer_fault: PeerFault,
    /// The signals before the shutdown notice.
    pub(super) signals_before: Vec<TimedSignal>,
    /// The shutdown notice and the signals after it.
    pub(super) signals_from_notice: Vec<TimedSignal>,
}

fn sample_milliseconds(rng: &mut fastrand::Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

impl RunPlan {
    pub(super) fn sample(seed: u64, margins: KillMargins) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let grace = Duration::from_millis(rng.choice([100, 300, 1000]).unwrap());
        let margin = Duration::from_millis(*rng.choice(margins.0).unwrap());
        let clients = (0..rng.usize(2..9)).map(|_| ClientPlan::sample(&mut rng));
        let clients = clients.collect();
        let names_before = ["HUP", "HUP", "STOP"];
        let signals_before = (0..rng.usize(0..4)).map(|_| TimedSignal {
            after: sample_milliseconds(&mut rng, 0..200),
            name: rng.choice(names_before).unwrap(),
        });
        let signals_before = signals_before.collect();
        let notice = TimedSignal {
            after: sample_milliseconds(&mut rng, 50..600),
            name: "TERM",
        };
        let after_notice = (0..rng.usize(0..4)).map(|_| TimedSignal {
            after: sample_milliseconds(&mut rng, 0..300),
            name: rng.choice(["TERM", "HUP"]).unwrap(),
        });
        let signals_from_notice = std::iter::once(notice).chain(after_notice).collect();
        RunPlan {
            seed,
            sockets: rng.choice([128, 256, 1024]).unwrap(),
            effect: rng.choice(["pure", "side_effect"]).unwrap(),
            grace,
            stop: grace + margin,
            clients,
            flood_connections: match rng.u8(..3) {
                0 => rng.usize(100..600),
                _ => 0,
            },
            flood_kind: FloodKind::HalfMessage,
            peer_fault: rng
                .choice([
                    PeerFault::None,
                    PeerFault::None,
                    PeerFault::ExecutorLinkBreaks,
                    PeerFault::StoreDown,
                ])
                .unwrap(),
            signals_before,
            signals_from_notice,
        }
    }

    /// The same run with a connection flood of this kind, which connects before the clients.
    pub(super) fn with_flood(mut self, kind: FloodKind) -> Self {
        let mut rng = fastrand::Rng::with_seed(!self.seed);
        self.flood_connections = rng.usize(FLOOD_CONNECTIONS);
        self.flood_kind = kind;
        self
    }

    /// Samples a run that may also have the drain grace and kill time of the platform, clients that
    /// reset their connections, a store without replies, an executor that listens late, a pause of
    /// the process after the notice, and a connection flood of any kind.
    pub(super) fn sample_wide(seed: u64) -> Self {
        let mut plan = RunPlan::sample(seed, DEFAULT_MARGINS);
        let mut rng = fastrand::Rng::with_seed(!seed);
        if rng.bool() {
            (plan.grace, plan.stop) = (PLATFORM_GRACE, PLATFORM_STOP);
        }
        for client in &mut plan.clients {
            client.resets_after = (rng.u8(..6) == 0).then(|| rng.u32(1..200));
        }
        let peer_faults = [
            plan.peer_fault,
            plan.peer_fault,
            PeerFault::StoreSilent,
            PeerFault::ExecutorLate,
        ];
        plan.peer_fault = rng.choice(peer_faults).unwrap();
        if rng.u8(..3) == 0 {
            plan.signals_from_notice
                .extend(sample_process_pause(&mut rng));
        }
        plan.flood_connections = match rng.u8(..3) {
            0 => rng.usize(WIDE_FLOOD_CONNECTIONS),
            _ => 0,
        };
        plan.flood_kind = rng.choice(FloodKind::ALL).unwrap();
        plan
    }
}

/// Samples a pause of the process: SIGSTOP, and SIGCONT after [`PROCESS_PAUSE`].
fn sample_process_pause(rng: &mut fastrand::Rng) -> [TimedSignal; 2] {
    let stop = TimedSignal {
        after: sample_milliseconds(rng, 0..300),
        name: "STOP",
    };
    let resume = TimedSignal {
        after: PROCESS_PAUSE,
        name: "CONT",
    };
    [stop, resume]
}
