//! Golden transcripts: for a seed, the same events give the same actions, to the last bit.
//!
//! A change that only moves or renames code must not change a decision, the order of the actions or
//! the number of random samples. The test passes seeded random events to clusters of state machines
//! and compares a CRC of the text of all outputs with a literal value. A value changes only with an
//! intended change of behaviour.
//!
//! The events contain no suspect update without a reporter, which is ignored; `invalid_messages.rs`
//! covers it.

#[path = "../../../tests/golden_transcripts/recorded_words.rs"]
mod recorded_words;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use recorded_words::with_recorded_words;
use tulipgap_membership::{
    Action, Config, Event, Incarnation, MAX_METADATA_ENTRIES, MAX_METADATA_TEXT_BYTES,
    MAX_NAME_BYTES, MAX_UNREACHABLE_PEERS, MemberState, MemberUpdate, Membership, Message,
    MessageBody, Metadata, MetadataError, Node, Reachability, RelayedProbeOutcome, SequenceNumber,
};

/// Words of the library renamed since the checksums were recorded: each present word, and the
/// recorded word that takes its place in a transcript.
const RENAMED_WORDS: &[(&str, &str)] = &[];

const PROCESSES: usize = 7;
const SIMULATED_TIME: Duration = Duration::from_secs(600);

/// A process. Its address is fixed; its state machine is created at each start and dropped at each
/// stop.
struct Process {
    name: String,
    address: SocketAddr,
    membership: Option<Membership>,
    generation: u64,
    paused_until: Duration,
}

enum Delivery {
    Timer {
        process: usize,
        generation: u64,
    },
    Message {
        to: SocketAddr,
        from: SocketAddr,
        message: Message,
    },
    Restart {
        process: usize,
    },
    Fault,
}

/// A cluster in memory, whose messages are lost, delayed and duplicated.
struct Cluster {
    config: Config,
    rng: fastrand::Rng,
    now: Duration,
    processes: Vec<Process>,
    cut_links: BTreeSet<(SocketAddr, SocketAddr)>,
    queue: BTreeMap<(Duration, u64), Delivery>,
    queued: u64,
    events: u64,
    transcript: crc32fast::Hasher,
    seen: BTreeSet<&'static str>,
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn address(last_byte: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last_byte as u8], 7100))
}

fn node(name: &str, address: SocketAddr) -> Node {
    Node {
        name: name.into(),
        address,
        region: "region".into(),
        zone: "zone".into(),
        version: 1,
    }
}

fn message_kind(body: &MessageBody) -> &'static str {
    match body {
        MessageBody::Ping { .. } => "ping",
        MessageBody::Ack { .. } => "ack",
        MessageBody::IndirectPing { .. } => "indirect ping",
        MessageBody::IndirectPingResult {
            sequence_number: SequenceNumber(0),
            ..
        } => "updates alone",
        MessageBody::IndirectPingResult { outcome, .. } => match outcome {
            RelayedProbeOutcome::Nack => "relay nack",
            RelayedProbeOutcome::Ack => "relay ack",
        },
        MessageBody::Join => "join",
        MessageBody::PushPull {
            reply_requested: true,
        } => "push-pull",
        MessageBody::PushPull {
            reply_requested: false,
        } => "push-pull reply",
        MessageBody::NameConflict => "name conflict reply",
    }
}

fn action_kind(action: &Action) -> &'static str {
    match action {
        Action::Send { message, .. } => message_kind(&message.body),
        Action::SetTimer { .. } => "timer",
        Action::StateChanged { state, .. } => match state {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        },
        Action::NameConflict { .. } => "name conflict",
        Action::MetadataRejected { error } => match error {
            MetadataError::TooManyEntries { .. } => "too many entries",
            MetadataError::EmptyKey => "empty key",
            MetadataError::TooLong { .. } => "entry too long",
        },
    }
}

fn reachability_kind(reachability: Reachability) -> &'static str {
    match reachability {
        Reachability::Reachable => "reachable",
        Reachability::AsymmetricPartition => "asymmetric partition",
        Reachability::IndirectOnly => "indirect only",
        Reachability::Unreachable => "unreachable",
    }
}

/// Every kind of action, message and reachability.
const ALL_KINDS: &str = "ack, alive, asymmetric partition, dead, empty key, entry too long, indirect only, \
    indirect ping, join, left, name conflict, name conflict reply, ping, push-pull, \
    push-pull reply, reachable, relay ack, relay nack, suspect, timer, too many entries, \
    unreachable, updates alone";

impl Cluster {
    fn new(seed: u64) -> Self {
        let config = Config {
            seeds: vec![address(1), address(2)],
            dead_member_retention: ms(if seed.is_multiple_of(2) {
                9_000
            } else {
                60_000
            }),
            max_members: if seed % 3 == 1 { 6 } else { 40 },
            max_updates_per_message: if seed % 4 == 2 { 2 } else { 12 },
            ..Config::default()
        };
        let processes = (0..PROCESSES)
            .map(|index| Process {
                // The last two processes share one name.
                name: format!("n{}", index.min(PROCESSES - 2)),
                address: address(index + 1),
                membership: None,
                generation: 0,
                paused_until: Duration::ZERO,
            })
            .collect();
        let mut cluster = Cluster {
            config,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            processes,
            cut_links: BTreeSet::new(),
            queue: BTreeMap::new(),
            queued: 0,
            events: 0,
            transcript: crc32fast::Hasher::new(),
            seen: BTreeSet::new(),
        };
        for process in 0..PROCESSES - 1 {
            cluster.start(process);
        }
        cluster.push(ms(1000), Delivery::Fault);
        cluster
    }

    fn run(&mut self) {
        while let Some(((at, _), delivery)) = self.queue.pop_first() {
            if at > SIMULATED_TIME {
                return;
            }
            self.now = at;
            match delivery {
                Delivery::Timer {
                    process,
                    generation,
                } => self.expire_timer(process, generation),
                Delivery::Message { to, from, message } => self.deliver(to, from, message),
                Delivery::Restart { process } if self.processes[process].membership.is_none() => {
                    self.start(process);
                }
                Delivery::Restart { .. } => {}
                Delivery::Fault => {
                    self.inject_fault();
                    let pause = ms(self.rng.u64(50..1500));
                    self.push(pause, Delivery::Fault);
                }
            }
        }
    }

    fn push(&mut self, after: Duration, delivery: Delivery) {
        self.queued += 1;
        self.queue.insert((self.now + after, self.queued), delivery);
    }

    fn start(&mut self, index: usize) {
        let seed = self.rng.u64(..);
        let process = &mut self.processes[index];
        process.generation += 1;
        process.paused_until = Duration::ZERO;
        let node = node(&process.name, process.address);
        let membership = Membership::new(self.config.clone(), node, Incarnation(0), seed).unwrap();
        process.membership = Some(membership);
        self.handle(index, Event::Started);
    }

    fn expire_timer(&mut self, index: usize, generation: u64) {
        let process = &self.processes[index];
        if process.generation != generation {
            return;
        }
        if process.paused_until > self.now {
            let after = process.paused_until - self.now;
            let process = index;
            return self.push(
                after,
                Delivery::Timer {
                    process,
                    generation,
                },
            );
        }
        self.handle(index, Event::TimerExpired);
    }

    fn deliver(&mut self, to: SocketAddr, from: SocketAddr, message: Message) {
        let is_cut = self.cut_links.contains(&(from, to));
        let Some(index) = (self.processes.iter()).position(|process| process.address == to) else {
            return;
        };
        let process = &self.processes[index];
        if process.paused_until > self.now {
            let after = process.paused_until - self.now;
            return self.push(after, Delivery::Message { to, from, message });
        }
        if !is_cut && process.membership.is_some() {
            self.handle(index, Event::Received { from, message });
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        let (now, generation) = (self.now, self.processes[index].generation);
        let from = self.processes[index].address;
        let Some(membership) = &mut self.processes[index].membership else {
            return;
        };
        self.events += 1;
        let actions = membership.handle_events(now, &[event]);
        record(
            &mut self.transcript,
            &format!("{index} {now:?} {actions:?}\n"),
        );
        if self.events.is_multiple_of(16) {
            record(&mut self.transcript, &summary(membership));
            let members = membership.members();
            self.seen
                .extend(members.map(|member| reachability_kind(member.reachability)));
        }
        for action in actions {
            self.seen.insert(action_kind(&action));
            match action {
                Action::Send { to, message } => self.send(from, to, message),
                Action::SetTimer { at } => self.push(
                    at.saturating_sub(now),
                    Delivery::Timer {
                        process: index,
                        generation,
                    },
                ),
                // The host restarts the process later, as after a crash.
                Action::NameConflict { .. } => {
                    self.processes[index].membership = None;
                    let after = ms(self.rng.u64(1000..15_000));
                    self.push(after, Delivery::Restart { process: index });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        let copies = match self.rng.u32(0..100) {
            0..5 => 0,
            5..8 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let is_slow = self.rng.u32(0..20) == 0;
            let delay = ms(self.rng.u64(if is_slow { 100..900 } else { 1..40 }));
            let message = message.clone();
            self.push(delay, Delivery::Message { to, from, message });
        }
    }

    fn inject_fault(&mut self) {
        let index = self.rng.usize(0..PROCESSES);
        match self.rng.u32(0..20) {
            0..2 => self.partition(),
            2 => self.cut_one_way(),
            3 => self.cut_both_ways(),
            4..7 => self.cut_links.clear(),
            7 => self.processes[index].membership = None,
            8..11 if self.processes[index].membership.is_none() => self.start(index),
            11 => self.leave(index),
            12 => self.pause(index),
            13..15 => self.set_metadata(index),
            15 => self.handle(index, Event::TimerExpired),
            _ => self.receive_invalid_message(index),
        }
    }

    fn partition(&mut self) {
        let side: Vec<bool> = (0..PROCESSES).map(|_| self.rng.bool()).collect();
        for from in 0..PROCESSES {
            for to in (0..PROCESSES).filter(|&to| side[from] != side[to]) {
                self.cut_links.insert((address(from + 1), address(to + 1)));
            }
        }
    }

    fn cut_one_way(&mut self) {
        let (from, to) = (self.rng.usize(0..PROCESSES), self.rng.usize(0..PROCESSES));
        self.cut_links.insert((address(from + 1), address(to + 1)));
    }

    fn cut_both_ways(&mut self) {
        let (from, to) = (self.rng.usize(0..PROCESSES), self.rng.usize(0..PROCESSES));
        self.cut_links.insert((address(from + 1), address(to + 1)));
        self.cut_links.insert((address(to + 1), address(from + 1)));
    }

    fn leave(&mut self, index: usize) {
        self.handle(index, Event::Leave);
        self.processes[index].membership = None;
    }

    fn pause(&mut self, index: usize) {
        self.processes[index].paused_until = self.now + ms(self.rng.u64(200..6000));
    }

    fn set_metadata(&mut self, index: usize) {
        let key = match self.rng.u32(0..8) {
            0 => String::new(),
            1 => "k".repeat(MAX_METADATA_TEXT_BYTES + 1),
            2 => "k".repeat(MAX_METADATA_TEXT_BYTES),
            _ => format!("k{}", self.rng.u32(0..MAX_METADATA_ENTRIES as u32 + 4)),
        };
        let value = match self.rng.u32(0..6) {
            0 => None,
            1 => Some("v".repeat(MAX_METADATA_TEXT_BYTES + self.rng.usize(0..2))),
            _ => Some(self.rng.u32(0..3).to_string()),
        };
        for number in 0..self.rng.usize(1..MAX_METADATA_ENTRIES) {
            let (key, value) = (format!("{key}{number}"), value.clone());
            self.handle(index, Event::SetMetadata { key, value });
        }
        self.handle(index, Event::SetMetadata { key, value });
    }

    /// Delivers a message of valid types that no correct process would send.
    fn receive_invalid_message(&mut self, index: usize) {
        let from = address(self.rng.usize(1..=PROCESSES + 2));
        let message = Message {
            from: self.random_name().as_str().into(),
            to: match self.rng.u32(0..3) {
                0 => None,
                1 => Some(self.random_name().as_str().into()),
                _ => Some(self.processes[index].name.as_str().into()),
            },
            body: self.random_body(),
            updates: (0..self.rng.usize(0..4))
                .map(|_| self.random_update())
                .collect(),
        };
        self.handle(index, Event::Received { from, message });
    }

    fn random_name(&mut self) -> String {
        match self.rng.u32(0..24) {
            0 => String::new(),
            1 => "x".repeat(MAX_NAME_BYTES),
            2 => "x".repeat(MAX_NAME_BYTES + 1),
            3 => "stranger".to_owned(),
            _ => format!("n{}", self.rng.usize(0..PROCESSES - 1)),
        }
    }

    fn random_body(&mut self) -> MessageBody {
        let sequence_number = SequenceNumber(self.rng.u64(0..200));
        let outcome = match self.rng.bool() {
            true => RelayedProbeOutcome::Ack,
            false => RelayedProbeOutcome::Nack,
        };
        match self.rng.u32(0..14) {
            0..2 => MessageBody::Ping { sequence_number },
            2..4 => MessageBody::Ack { sequence_number },
            4..6 => MessageBody::IndirectPing {
                sequence_number,
                target: self.random_name().as_str().into(),
                address: address(self.rng.usize(1..=PROCESSES)),
            },
            6..9 => MessageBody::IndirectPingResult {
                sequence_number,
                outcome,
            },
            9 => MessageBody::Join,
            10 => MessageBody::NameConflict,
            _ => MessageBody::PushPull {
                reply_requested: self.rng.bool(),
            },
        }
    }

    fn random_update(&mut self) -> MemberUpdate {
        let name = self.random_name();
        let usual = (self.processes.iter()).find(|process| process.name == name);
        let usual = usual.map_or(address(99), |process| process.address);
        let is_moved = self.rng.u32(0..6) == 0;
        let states = [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Dead,
            MemberState::Left,
        ];
        let state = states[self.rng.usize(0..states.len())];
        let has_reporter = state == MemberState::Suspect || self.rng.bool();
        let mut node = node(&name, if is_moved { address(77) } else { usual });
        node.version = if self.rng.u32(0..15) == 0 { 9 } else { 1 };
        let peers = match self.rng.u32(0..8) {
            0 => MAX_UNREACHABLE_PEERS + 1,
            1 => MAX_UNREACHABLE_PEERS,
            _ => self.rng.usize(0..2),
        };
        MemberUpdate {
            node,
            incarnation: Incarnation(self.rng.u64(0..12)),
            state,
            reported_by: has_reporter.then(|| self.random_name().as_str().into()),
            metadata: Arc::new(Metadata::from([("garbage".into(), "1".into())])),
            unreachable_peers: Arc::new((0..peers).map(|n| format!("n{n}").into()).collect()),
        }
    }
}

fn record(transcript: &mut crc32fast::Hasher, text: &str) {
    transcript.update(with_recorded_words(text, RENAMED_WORDS).as_bytes());
}

/// The state of a membership that a host can read, as text.
fn summary(membership: &Membership) -> String {
    let members: Vec<_> = membership.members().collect();
    let (local, awareness) = (membership.local(), membership.health_score());
    let state = membership.state("n1");
    let ignored_updates = membership.ignored_updates();
    format!("{local:?} {awareness} {ignored_updates} {state:?} {members:?}\n")
}

#[test]
fn random_events_give_the_recorded_actions() {
    const EXPECTED: [u32; 10] = [
        0x8038494a, 0x7882fb8d, 0xb4da5484, 0x7ce58587, 0xf5a40708, 0x466c6d05, 0x6dbfa8b8,
        0x2f6fc9b5, 0x727b1000, 0x2a219af1,
    ];
    let mut seen = BTreeSet::new();
    let mut transcripts = Vec::new();
    for seed in 0..EXPECTED.len() as u64 {
        let mut cluster = Cluster::new(seed);
        cluster.run();
        assert!(cluster.events > 3000, "seed {seed}: {}", cluster.events);
        seen.append(&mut cluster.seen);
        transcripts.push(cluster.transcript.finalize());
    }
    assert_eq!(Vec::from_iter(seen).join(", "), ALL_KINDS);
    assert_eq!(transcripts, EXPECTED, "{transcripts:#010x?}");
}
