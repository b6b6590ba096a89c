//! What a run of the soak is drawn to be, from a seed.

use std::time::Duration;

use super::clients::ClientPlan;
use super::crowd::CrowdKind;

/// Connections of a crowd in the runs that are about crowds.
const CROWD_CONNECTIONS: std::ops::Range<usize> = 300..900;

/// Connections of a crowd in the wide runs: no more than the backlog of the listener and the fewest
/// places hold.
const WIDE_CROWD_CONNECTIONS: std::ops::Range<usize> = 100..1_000;
/// How long a process is stopped.
const PAUSE: Duration = Duration::from_millis(100);
/// The drain grace and `stop_ms` of the platform's pages.
const PAGE_GRACE: Duration = Duration::from_millis(2500);
const PAGE_STOP: Duration = Duration::from_millis(3200);

/// From the end of the drain grace to the kill, in milliseconds: one of them is drawn.
#[derive(Clone, Copy, Debug)]
pub(super) struct KillMargins(&'static [u64]);

/// Longer than the time before the kill in which the program starts nothing more.
pub(super) const USUAL_MARGINS: KillMargins = KillMargins(&[600, 700, 1000, 2000]);
/// Shorter than that.
pub(super) const CLOSE_MARGINS: KillMargins = KillMargins(&[100, 300, 450]);

/// What is wrong with a peer of the backend for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trouble {
    None,
    /// The executor's link breaks.
    ExecutorLinkBreaks,
    /// The store closes all its connections.
    StoreDown,
    /// The store leaves calls without a reply.
    StoreSilent,
    /// The executor comes up only after the signals before the notice.
    ExecutorLate,
}

/// A signal to the backend, after a pause behind the one before.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimedSignal {
    pub(super) after: Duration,
    pub(super) name: &'static str,
}

/// One run, drawn from a seed.
#[derive(Debug)]
pub(super) struct RunPlan {
    pub(super) seed: u64,
    pub(super) sockets: usize,
    pub(super) effect: &'static str,
    pub(super) grace: Duration,
    /// From the first SIGTERM to the kill.
    pub(super) stop: Duration,
    pub(super) clients: Vec<ClientPlan>,
    /// Connections of the crowd.
    pub(super) crowd: usize,
    pub(super) crowd_kind: CrowdKind,
    pub(super) trouble: Trouble,
    /// Before the shutdown notice.
    pub(super) signals_before: Vec<TimedSignal>,
    /// The shutdown notice is the first of them.
    pub(super) signals_from_notice: Vec<TimedSignal>,
}

fn milliseconds(rng: &mut fastrand::Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

impl RunPlan {
    pub(super) fn draw(seed: u64, margins: KillMargins) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let grace = Duration::from_millis(rng.choice([100, 300, 1000]).unwrap());
        let margin = Duration::from_millis(*rng.choice(margins.0).unwrap());
        let clients = (0..rng.usize(2..9)).map(|_| ClientPlan::draw(&mut rng));
        let clients = clients.collect();
        let before = ["HUP", "HUP", "STOP"];
        let signals_before = (0..rng.usize(0..4)).map(|_| TimedSignal {
            after: milliseconds(&mut rng, 0..200),
            name: rng.choice(before).unwrap(),
        });
        let signals_before = signals_before.collect();
        let notice = TimedSignal {
            after: milliseconds(&mut rng, 50..600),
            name: "TERM",
        };
        let behind = (0..rng.usize(0..4)).map(|_| TimedSignal {
            after: milliseconds(&mut rng, 0..300),
            name: rng.choice(["TERM", "HUP"]).unwrap(),
        });
        let signals_from_notice = std::iter::once(notice).chain(behind).collect();
        RunPlan {
            seed,
            sockets: rng.choice([128, 256, 1024]).unwrap(),
            effect: rng.choice(["pure", "side_effect"]).unwrap(),
            grace,
            stop: grace + margin,
            clients,
            crowd: match rng.u8(..3) {
                0 => rng.usize(100..600),
                _ => 0,
            },
            crowd_kind: CrowdKind::HalfMessage,
            trouble: rng
                .choice([
                    Trouble::None,
                    Trouble::None,
                    Trouble::ExecutorLinkBreaks,
                    Trouble::StoreDown,
                ])
                .unwrap(),
            signals_before,
            signals_from_notice,
        }
    }

    /// The same run behind a crowd of this kind.
    pub(super) fn with_crowd(mut self, kind: CrowdKind) -> Self {
        let mut rng = fastrand::Rng::with_seed(!self.seed);
        self.crowd = rng.usize(CROWD_CONNECTIONS);
        self.crowd_kind = kind;
        self
    }

    /// A run with more than [`RunPlan::draw`] has: the grace and the kill of the platform's page,
    /// callers that reset their connections, a store without replies, an executor that is late,
    /// pauses of the process behind the notice, and crowds of all kinds.
    pub(super) fn draw_wide(seed: u64) -> Self {
        let mut plan = RunPlan::draw(seed, USUAL_MARGINS);
        let mut rng = fastrand::Rng::with_seed(!seed);
        if rng.bool() {
            (plan.grace, plan.stop) = (PAGE_GRACE, PAGE_STOP);
        }
        for client in &mut plan.clients {
            client.resets_after = (rng.u8(..6) == 0).then(|| rng.u32(1..200));
        }
        let troubles = [
            plan.trouble,
            plan.trouble,
            Trouble::StoreSilent,
            Trouble::ExecutorLate,
        ];
        plan.trouble = rng.choice(troubles).unwrap();
        if rng.u8(..3) == 0 {
            plan.signals_from_notice
                .extend(pause_of_the_process(&mut rng));
        }
        plan.crowd = match rng.u8(..3) {
            0 => rng.usize(WIDE_CROWD_CONNECTIONS),
            _ => 0,
        };
        plan.crowd_kind = rng.choice(CrowdKind::ALL).unwrap();
        plan
    }
}

/// The process is stopped and goes on.
fn pause_of_the_process(rng: &mut fastrand::Rng) -> [TimedSignal; 2] {
    let stop = TimedSignal {
        after: milliseconds(rng, 0..300),
        name: "STOP",
    };
    let go_on = TimedSignal {
        after: PAUSE,
        name: "CONT",
    };
    [stop, go_on]
}
