//! Golden transcripts: the limiter handles seeded random events, and the checksum of its actions is
//! compared with the recorded one. Guards against unintended changes of decisions: a change that is
//! meant to preserve them must not change a checksum.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::Duration;

use tulipgap_connection_limits::{
    AcceptError, Action, CloseReason, Config, ConnectionId, ConnectionLimit, DescriptorOwner,
    Event, FullPolicy, Limiter, NetworkLimits, RejectReason, Reservation,
};

/// The number of random steps of a transcript.
const STEPS: u32 = 6000;
/// The number of connection indices that the host has.
const MAX_CONNECTIONS: usize = 80;

/// The checksum of the actions before the drain, for each seed.
const EXPECTED_BEFORE_DRAIN: [u32; 10] = [
    3425429894, 3233449900, 1030476316, 1228536159, 3412639718, 992618503, 3420096810, 9928888,
    1756346914, 1254896479,
];

/// The checksum of all actions, for each seed. During the drain at the end the limiter closes an
/// unused connection like an idle one, and a busy one as soon as no request is in flight.
const EXPECTED: [u32; 10] = [
    2365371043, 2337232852, 1969199380, 1841844573, 115085716, 541477784, 378476256, 2213672859,
    2627076406, 37813737,
];

fn limit(max_connections: u32, max_rate: u32) -> ConnectionLimit {
    ConnectionLimit {
        max_connections,
        max_rate,
    }
}

fn reservation(owner: DescriptorOwner, descriptors: usize) -> Reservation {
    Reservation { owner, descriptors }
}

/// Network limits under which connections reach the limit on open connections before the rate
/// limit.
fn few_connections() -> NetworkLimits {
    NetworkLimits {
        address: limit(4, 8),
        network: limit(6, 16),
        wide_network: limit(16, 30),
    }
}

/// Network limits under which connections reach the rate limit before the limit on open
/// connections.
fn low_rates() -> NetworkLimits {
    NetworkLimits {
        address: limit(9, 2),
        network: limit(14, 3),
        wide_network: limit(26, 9),
    }
}

/// The configurations differ by seed: both policies, with and without network limits, warm and
/// cold, with and without trusted networks.
fn config(seed: u64) -> Config {
    let has_network_limits = !seed.is_multiple_of(3);
    let is_cold = seed.is_multiple_of(4);
    Config {
        max_descriptors: 40 + 4 * seed as usize,
        reservations: vec![
            reservation(DescriptorOwner::Process, 6),
            reservation(DescriptorOwner::Store, 4),
            reservation(DescriptorOwner::KnownClients, 8),
        ],
        network_limits: has_network_limits.then_some(if seed.is_multiple_of(2) {
            few_connections()
        } else {
            low_rates()
        }),
        full_policy: if seed.is_multiple_of(2) {
            FullPolicy::Wait
        } else {
            FullPolicy::Reject
        },
        trusted_networks: if seed.is_multiple_of(5) {
            vec!["10.0.3.0/24".parse().unwrap()]
        } else {
            Vec::new()
        },
        reputation_half_life: Duration::from_secs(20),
        message_timeout: Duration::from_millis(1500),
        idle_timeout: Duration::from_secs(4),
        cold_start_fraction: if is_cold { 0.25 } else { 1.0 },
        warm_up: Duration::from_secs(if is_cold { 15 } else { 0 }),
    }
}

/// The state that the host keeps of an open connection.
#[derive(Default)]
struct OpenConnection {
    open_requests: u32,
    has_partial_message: bool,
    /// Whether the limiter has instructed the host to close it.
    is_closing: bool,
}

/// A host that carries out the limiter's actions and generates random events.
struct RandomHost {
    limiter: Limiter,
    now: Duration,
    timer_at: Option<Duration>,
    open: BTreeMap<ConnectionId, OpenConnection>,
    rng: fastrand::Rng,
    checksum: crc32fast::Hasher,
    /// The kinds of the actions so far, with their reasons.
    kinds: BTreeSet<String>,
}

impl RandomHost {
    fn new(seed: u64) -> Self {
        RandomHost {
            limiter: Limiter::new(config(seed), seed).unwrap(),
            now: Duration::ZERO,
            timer_at: None,
            open: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            checksum: crc32fast::Hasher::new(),
            kinds: BTreeSet::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.limiter.handle_event(self.now, event, &mut actions);
        self.carry_out(&actions);
    }

    fn carry_out(&mut self, actions: &[Action]) {
        for action in actions {
            self.checksum.update(line(self.now, action).as_bytes());
            self.kinds.insert(kind(action));
            match *action {
                Action::Serve { connection } => {
                    self.open.insert(connection, OpenConnection::default());
                }
                Action::Close { connection, .. } => {
                    let connection = self.open.get_mut(&connection).unwrap();
                    connection.is_closing = true;
                }
                Action::SetTimer { at } => self.timer_at = Some(at),
                Action::Reject { .. }
                | Action::RequestClose { .. }
                | Action::PauseAccepting { .. } => {}
            }
        }
    }

    /// Advances the time, and expires the timers that are due.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.timer_at.filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.timer_at = None;
            self.handle(Event::TimerExpired);
        }
        self.now = end;
    }

    /// Samples an address; one in five is that of a regular client, which becomes known.
    fn sample_address(&mut self) -> IpAddr {
        if self.rng.u8(..) < 51 {
            return Ipv4Addr::new(10, 0, 9, 1).into();
        }
        let [wide, network, host] = std::array::from_fn(|_| self.rng.u8(..));
        if self.rng.u8(..) < 24 {
            return Ipv6Addr::new(0x2001, 0xdb8, 0, u16::from(network % 3), 0, 0, 0, 1).into();
        }
        Ipv4Addr::new(10, wide % 2, network % 6, host % 5).into()
    }

    fn accept(&mut self) {
        let mut actions = Vec::new();
        let may_accept = self.limiter.may_accept(self.now, None, &mut actions);
        self.checksum.update(&[u8::from(may_accept)]);
        self.carry_out(&actions);
        let free = (0..MAX_CONNECTIONS)
            .map(ConnectionId)
            .find(|id| !self.open.contains_key(id));
        if let Some(connection) = free.filter(|_| may_accept) {
            let address = self.sample_address();
            self.handle(Event::Accepted {
                connection,
                address,
            });
        }
    }

    fn sample_connection(&mut self) -> Option<ConnectionId> {
        let index = self.rng.usize(..self.open.len().max(1));
        self.open.keys().nth(index).copied()
    }

    /// Generates a random event of a connection: partial message, request, answer, violation or
    /// close.
    fn run_connection_step(&mut self, connection: ConnectionId) {
        let state = self.open.get_mut(&connection).unwrap();
        let is_answered = self.rng.u8(..) < 230;
        match self.rng.u8(..100) {
            0..8 if state.open_requests == 0 => {
                self.open.remove(&connection);
                self.handle(Event::Closed { connection });
            }
            8..20 if !state.has_partial_message && !state.is_closing => {
                state.has_partial_message = true;
                self.handle(Event::MessageStarted { connection });
            }
            20..56 if !state.is_closing => {
                state.has_partial_message = false;
                state.open_requests += 1;
                self.handle(Event::MessageCompleted { connection });
                self.handle(Event::RequestStarted { connection });
            }
            56..98 if state.open_requests > 0 => {
                state.open_requests -= 1;
                self.handle(Event::RequestFinished {
                    connection,
                    is_answered,
                });
            }
            98.. => self.handle(Event::ProtocolViolation { connection }),
            _ => {}
        }
    }

    fn fail_accept(&mut self) {
        let errors = [
            AcceptError::ProcessDescriptorLimit,
            AcceptError::SystemDescriptorLimit,
            AcceptError::OutOfMemory,
            AcceptError::ConnectionAborted,
        ];
        let error = errors[self.rng.usize(..errors.len())];
        self.handle(Event::AcceptFailed { error });
    }

    fn run_step(&mut self) {
        match self.rng.u16(..1000) {
            0..300 => self.accept(),
            300..860 => {
                if let Some(connection) = self.sample_connection() {
                    self.run_connection_step(connection);
                }
            }
            860..864 => self.fail_accept(),
            864..866 => {
                let timeout = Duration::from_millis(self.rng.u64(200..6000));
                self.handle(Event::SetIdleTimeout { timeout });
            }
            866..870 => {
                let span = Duration::from_millis(self.rng.u64(500..5000));
                self.advance(span);
            }
            _ => {
                let span = Duration::from_micros(self.rng.u64(..120_000));
                self.advance(span);
            }
        }
    }
}

/// The text of an action, spelled out here so that renaming a variant changes no checksum.
fn line(now: Duration, action: &Action) -> String {
    let text = match *action {
        Action::Serve { connection } => format!("serve {}", connection.0),
        Action::Reject { connection, reason } => {
            format!("reject {} {}", connection.0, reject_text(reason))
        }
        Action::RequestClose { connection } => format!("request close {}", connection.0),
        Action::Close { connection, reason } => {
            format!("close {} {}", connection.0, close_text(reason))
        }
        Action::PauseAccepting { until } => format!("pause {}", until.as_nanos()),
        Action::SetTimer { at } => format!("timer {}", at.as_nanos()),
    };
    format!("{} {text}\n", now.as_nanos())
}

/// The kind of an action and its reason, without the numbers.
fn kind(action: &Action) -> String {
    line(Duration::ZERO, action)
        .split_whitespace()
        .filter(|word| word.parse::<u128>().is_err())
        .collect::<Vec<_>>()
        .join(" ")
}

fn reject_text(reason: RejectReason) -> &'static str {
    match reason {
        RejectReason::AddressConnections => "address-connections",
        RejectReason::NetworkConnections => "network-connections",
        RejectReason::WideNetworkConnections => "wide-network-connections",
        RejectReason::AddressRate => "address-rate",
        RejectReason::NetworkRate => "network-rate",
        RejectReason::WideNetworkRate => "wide-network-rate",
        RejectReason::Full => "full",
        RejectReason::WarmingUp => "warming-up",
    }
}

fn close_text(reason: CloseReason) -> &'static str {
    match reason {
        CloseReason::Evicted => "evicted",
        CloseReason::MessageTimeout => "message-timeout",
        CloseReason::CloseTimeout => "close-timeout",
    }
}

/// Runs a transcript: random steps, the last tenth of them while the server drains. Also returns
/// the checksum before the drain.
fn run_transcript(seed: u64) -> (RandomHost, u32) {
    let mut host = RandomHost::new(seed);
    let mut before_drain = 0;
    for step in 0..STEPS {
        if step == STEPS / 10 * 9 {
            before_drain = host.checksum.clone().finalize();
            host.handle(Event::Drain);
            // Idle connections reach the timeout before their next use.
            host.advance(Duration::from_millis(150));
        }
        host.run_step();
    }
    (host, before_drain)
}

#[test]
fn limiter_decides_as_recorded() {
    let mut kinds = BTreeSet::new();
    let mut checksums = Vec::new();
    let mut checksums_before_drain = Vec::new();
    for seed in 0..EXPECTED.len() as u64 {
        let (host, before_drain) = run_transcript(seed);
        kinds.extend(host.kinds);
        checksums_before_drain.push(before_drain);
        checksums.push(host.checksum.finalize());
    }
    assert_eq!(checksums_before_drain, EXPECTED_BEFORE_DRAIN);
    assert_eq!(checksums, EXPECTED, "{kinds:?}");
    // There are six kinds of actions; rejections have eight reasons, and closes have three.
    assert_eq!(kinds.len(), 4 + 8 + 3, "{kinds:?}");
}
