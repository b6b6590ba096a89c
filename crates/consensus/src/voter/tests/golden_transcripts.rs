//! Guards against refactorings that change a voter's behaviour: for the same events a voter must
//! return the same actions in the same order, including every byte that it writes and sends.
//!
//! Each transcript is a run of three to five voters and two spare ones that may replace a voter.
//! Messages are lost, delayed, duplicated and blocked by partitions; voters restart from their
//! directory, from an older copy of it or from an empty one; clients send commands of every kind
//! and reads; operators transfer leadership and replace voters. All of this is sampled from the
//! seed. The test compares the checksum of all actions with the recorded one.

#[path = "../../../../../tests/golden_transcripts/recorded_words.rs"]
mod recorded_words;

use std::collections::{BTreeMap, BTreeSet};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use crc32fast::Hasher;
use recorded_words::with_recorded_words;
use tulipgap_leases::{
    Command, FencingToken, Incarnation, Name, Owner, RenewalNumber, RequestId, Response,
};
use tulipgap_write_ahead_log::Recovered;

use crate::config::Config;
use crate::event::{Action, Event};
use crate::identity::Identity;
use crate::notice::{InvalidData, Notice};
use crate::peer_message::{PeerMessage, VoterId};
use crate::voter::Voter;

/// The checksum of all actions for each seed, beginning with seed 1. Each bug fix of the
/// replacement of voters has changed the checksums of the seeds that replace a voter.
const TRANSCRIPTS: [u32; 10] = [
    2584850951, 1270609559, 1894439245, 4149774525, 2928454027, 2803591511, 2477492090, 1620789987,
    255726360, 1150758592,
];
/// Words of the library that were renamed since the checksums were recorded: each present word, and
/// the recorded word that replaces it in a transcript.
const RENAMED_WORDS: &[(&str, &str)] = &[("Stopped", "RolledBack")];
const DURATION: Duration = Duration::from_secs(60);
/// Recorded as the kind of an action when a voter panics. [`ALL_KINDS`] does not contain it, so the
/// test fails.
const PANIC: &str = "panic";
const SPARE_VOTERS: [&str; 2] = ["x", "y"];

/// The content of a voter's directory.
#[derive(Clone, Default)]
struct Directory {
    identity: Option<Identity>,
    snapshot: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
}

struct Process {
    voter: Option<Voter>,
    directory: Directory,
    backup: Directory,
    generation: u64,
    /// The side of a partition. Messages between processes of different groups are lost.
    group: u32,
}

enum Input {
    Timer { generation: u64 },
    Message { from: Name, message: PeerMessage },
    Start { rolled_back: bool, emptied: bool },
    Heal,
    Client,
}

struct Run {
    random: fastrand::Rng,
    now: Duration,
    initial_voters: Vec<Name>,
    names: Vec<Name>,
    processes: BTreeMap<Name, Process>,
    /// The scheduled inputs, by time and sequence number.
    inputs: BTreeMap<(Duration, u64), (Name, Input)>,
    last_input: u64,
    last_request: u64,
    last_token: u64,
    transcript: Hasher,
    kinds: BTreeSet<&'static str>,
}

fn config() -> Config {
    Config {
        snapshot_interval_entries: 60,
        ..Config::default()
    }
}

fn kind(action: &Action) -> &'static str {
    match action {
        Action::AppendRecord(_) => "append record",
        Action::WriteSnapshot(_) => "write snapshot",
        Action::WriteIdentity(_) => "write identity",
        Action::Send { message, .. } => match message {
            PeerMessage::Handshake { .. } => "send handshake",
            PeerMessage::Raft(_) => "send raft message",
        },
        Action::Respond { .. } => "respond",
        Action::RejectNotLeader { .. } => "reject",
        Action::NotifySlotAvailable { .. } => "notify",
        Action::RespondRead { .. } => "respond to a read",
        Action::SetTimer { .. } => "set timer",
        Action::Notice(notice) => match notice {
            Notice::Bootstrapped { .. } => "bootstrapped",
            Notice::BecameLeader { .. } => "became leader",
            Notice::LostLeadership => "lost leadership",
            Notice::NotAMember => "not a member",
            Notice::RolledBack { .. } => "rolled back",
            Notice::InvalidData(InvalidData::RaftMessage) => "invalid message",
            Notice::InvalidData(_) => "invalid data",
        },
    }
}

const ALL_KINDS: [&str; 16] = [
    "append record",
    "became leader",
    "bootstrapped",
    "invalid message",
    "lost leadership",
    "not a member",
    "notify",
    "reject",
    "respond",
    "respond to a read",
    "rolled back",
    "send handshake",
    "send raft message",
    "set timer",
    "write identity",
    "write snapshot",
];

impl Run {
    fn new(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let count = random.usize(3..=5);
        let initial_voters: Vec<Name> = ["a", "b", "c", "d", "e"][..count]
            .iter()
            .map(|name| Name::from(*name))
            .collect();
        let spares = SPARE_VOTERS.map(Name::from);
        let names: Vec<Name> = initial_voters.iter().cloned().chain(spares).collect();
        let mut run = Run {
            random,
            now: Duration::ZERO,
            initial_voters,
            processes: BTreeMap::new(),
            inputs: BTreeMap::new(),
            last_input: 0,
            last_request: 0,
            last_token: 1,
            transcript: Hasher::new(),
            kinds: BTreeSet::new(),
            names: names.clone(),
        };
        for name in names {
            let process = Process {
                voter: None,
                directory: Directory::default(),
                backup: Directory::default(),
                generation: 0,
                group: 0,
            };
            run.processes.insert(name.clone(), process);
            let delay = Duration::from_millis(run.random.u64(0..400));
            run.schedule(
                delay,
                &name,
                Input::Start {
                    rolled_back: false,
                    emptied: false,
                },
            );
        }
        run.schedule(Duration::from_secs(2), &"a".into(), Input::Client);
        run
    }

    fn schedule(&mut self, delay: Duration, to: &Name, input: Input) {
        self.last_input += 1;
        self.inputs
            .insert((self.now + delay, self.last_input), (to.clone(), input));
    }

    fn record(&mut self, text: &str) {
        let text = with_recorded_words(text, RENAMED_WORDS);
        self.transcript.update(text.as_bytes());
        self.transcript.update(b"\n");
    }

    fn run(mut self) -> (u32, BTreeSet<&'static str>) {
        while let Some(((at, _), (to, input))) = self.inputs.pop_first() {
            if at > DURATION {
                break;
            }
            self.now = at;
            self.handle_input(&to, input);
        }
        (self.transcript.finalize(), self.kinds)
    }

    fn handle_input(&mut self, to: &Name, input: Input) {
        match input {
            Input::Timer { generation } => {
                if self.processes[to].generation == generation {
                    self.handle_events(to, vec![Event::TimerElapsed]);
                }
            }
            Input::Message { from, message } => {
                if self.processes[to].group == self.processes[&from].group {
                    self.handle_events(to, vec![Event::PeerMessage { from, message }]);
                }
            }
            Input::Start {
                rolled_back,
                emptied,
            } => self.start(to, rolled_back, emptied),
            Input::Heal => {
                for process in self.processes.values_mut() {
                    process.group = 0;
                }
            }
            Input::Client => {
                self.act_as_client();
                let pause = Duration::from_millis(self.random.u64(5..80));
                self.schedule(pause, to, Input::Client);
            }
        }
    }

    fn start(&mut self, name: &Name, rolled_back: bool, emptied: bool) {
        let seed = self.random.u64(1..);
        let initial_voters = self.initial_voters.clone();
        let process = self.processes.get_mut(name).unwrap();
        if rolled_back {
            process.directory = process.backup.clone();
        }
        if emptied {
            process.directory = Directory::default();
        }
        process.generation += 1;
        let directory = &mut process.directory;
        let identity = directory
            .identity
            .get_or_insert_with(|| Identity::new(name.clone(), VoterId(seed)))
            .clone();
        let recovered = Recovered {
            snapshot: directory.snapshot.clone(),
            records: directory.records.clone(),
            dropped_bytes: 0,
        };
        let voter = Voter::load(config(), name, initial_voters, identity, &recovered, seed);
        match voter {
            Ok(voter) => {
                process.voter = Some(voter);
                self.handle_events(name, vec![Event::TimerElapsed]);
            }
            Err(error) => self.record(&format!("{name} can't start: {error}")),
        }
    }

    fn handle_events(&mut self, name: &Name, events: Vec<Event>) {
        let now = self.now;
        let process = self.processes.get_mut(name).unwrap();
        let Some(voter) = &mut process.voter else {
            return;
        };
        let handled = catch_unwind(AssertUnwindSafe(|| voter.handle_events(now, events)));
        let Ok(actions) = handled else {
            process.voter = None;
            self.kinds.insert(PANIC);
            return self.record(&format!("{now:?} {name} panicked"));
        };
        let status = format!("{now:?} {name} {:?} {}", voter.status(), voter.is_leader());
        self.record(&status);
        for action in actions {
            self.record(&format!("{action:?}"));
            self.kinds.insert(kind(&action));
            self.perform(name, action);
        }
    }

    fn perform(&mut self, name: &Name, action: Action) {
        let process = self.processes.get_mut(name).unwrap();
        match action {
            Action::AppendRecord(bytes) => process.directory.records.push(bytes),
            Action::WriteSnapshot(bytes) => {
                process.directory.snapshot = Some(bytes);
                process.directory.records.clear();
            }
            Action::WriteIdentity(bytes) => {
                process.directory.identity = Some(Identity::decode(&bytes).unwrap());
            }
            Action::SetTimer { at } => {
                let generation = process.generation;
                let delay = at.saturating_sub(self.now);
                self.schedule(delay, name, Input::Timer { generation });
            }
            Action::Send { to, message } => self.send(name, &to, message),
            Action::Respond {
                response: Response::Granted { token },
                ..
            } => self.last_token = self.last_token.max(token.0),
            _ => {}
        }
    }

    fn send(&mut self, from: &Name, to: &Name, message: PeerMessage) {
        if !self.processes.contains_key(to) {
            return;
        }
        let copies = match self.random.u32(0..100) {
            0..3 => 0,
            3..6 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let slow = self.random.u32(0..50) == 0;
            let max_us = if slow { 400_000 } else { 12_000 };
            let delay = Duration::from_micros(self.random.u64(200..max_us));
            let (from, message) = (from.clone(), message.clone());
            self.schedule(delay, to, Input::Message { from, message });
        }
    }

    fn sample_name(&mut self) -> Name {
        let at = self.random.usize(0..self.names.len());
        self.names[at].clone()
    }

    /// The voter to send a client's request to: the leader in nine of ten cases, if there is one,
    /// otherwise any voter.
    fn target(&mut self) -> Name {
        let leads = |process: &Process| process.voter.as_ref().is_some_and(Voter::is_leader);
        let leader = self.processes.iter().find(|(_, process)| leads(process));
        let leader = leader.map(|(name, _)| name.clone());
        match leader {
            Some(leader) if self.random.u32(0..10) > 0 => leader,
            _ => self.sample_name(),
        }
    }

    fn act_as_client(&mut self) {
        let target = self.target();
        match self.random.u32(0..1000) {
            0..770 => {
                let count = self.random.usize(1..4);
                let events = (0..count).map(|_| self.proposal()).collect();
                self.handle_events(&target, events);
            }
            770..900 => {
                let lease = (self.random.bool()).then(|| self.lease());
                let (from, request) = ("reader".into(), self.next_request());
                self.handle_events(
                    &target,
                    vec![Event::Read {
                        from,
                        request,
                        lease,
                    }],
                );
            }
            900..915 => self.handle_events(&target, vec![Event::TransferLeadership]),
            915..935 => {
                let (old, new) = (self.sample_name(), self.sample_name());
                self.handle_events(&target, vec![Event::ReplaceVoter { old, new }]);
            }
            935..950 => {
                let from = self.sample_name();
                let bytes = (0..9).map(|_| self.random.u8(..)).collect();
                let message = PeerMessage::Raft(bytes);
                self.handle_events(&target, vec![Event::PeerMessage { from, message }]);
            }
            950..970 => self.partition(),
            970..985 => self.restart(),
            _ => {
                let name = self.sample_name();
                let process = self.processes.get_mut(&name).unwrap();
                process.backup = process.directory.clone();
            }
        }
    }

    fn partition(&mut self) {
        for process in self.processes.values_mut() {
            process.group = u32::from(self.random.u32(0..10) < 3);
        }
        let delay = Duration::from_millis(self.random.u64(200..4000));
        self.schedule(delay, &"a".into(), Input::Heal);
    }

    fn restart(&mut self) {
        let name = self.sample_name();
        let directory = self.random.u32(0..20);
        let delay = Duration::from_millis(self.random.u64(10..3000));
        let process = self.processes.get_mut(&name).unwrap();
        process.voter = None;
        process.generation += 1;
        let (rolled_back, emptied) = (directory < 2, directory == 2);
        self.schedule(
            delay,
            &name,
            Input::Start {
                rolled_back,
                emptied,
            },
        );
    }

    fn next_request(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId(self.last_request)
    }

    fn lease(&mut self) -> Name {
        format!("lease-{}", self.random.u32(0..6)).into()
    }

    fn proposal(&mut self) -> Event {
        let lease = self.lease();
        let owner = Owner {
            name: format!("m{}", self.random.u32(0..5)).into(),
            incarnation: Incarnation(self.random.u64(1..3)),
        };
        let recent = self.random.u64(0..8);
        let token = FencingToken(self.last_token.saturating_sub(recent));
        let command = match self.random.u32(0..20) {
            0..13 => Command::Acquire {
                ttl: Duration::from_millis(1000 + 500 * (lease.len() as u64 % 2)),
                capacity: if &*lease == "lease-1" { 2 } else { 1 },
                lease,
                owner,
                wait: self.random.bool(),
            },
            13..15 => Command::Release {
                lease,
                owner,
                token: Some(token),
            },
            15 => Command::Release {
                lease,
                owner,
                token: None,
            },
            16 => {
                let renewal = RenewalNumber(self.random.u64(0..2000));
                Command::Expire {
                    lease,
                    owner,
                    renewal,
                }
            }
            17..19 => Command::Revoke { lease, token },
            _ => Command::Transfer {
                lease,
                token,
                to: owner.name,
            },
        };
        let (from, request) = ("client".into(), self.next_request());
        Event::Propose {
            from,
            request,
            command,
        }
    }
}

#[test]
fn voters_return_the_recorded_actions() {
    let (mut transcripts, mut kinds) = (Vec::new(), BTreeSet::new());
    for seed in 1..=TRANSCRIPTS.len() as u64 {
        let (transcript, run_kinds) = Run::new(seed).run();
        transcripts.push(transcript);
        kinds.extend(run_kinds);
    }
    assert_eq!(
        kinds,
        BTreeSet::from(ALL_KINDS),
        "not every kind of action occurred"
    );
    assert_eq!(transcripts, TRANSCRIPTS);
}
