//! A group of voters with disks in memory, for tests of complete groups.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use protobuf::Message as _;
use raft::prelude::{Message, MessageType};
use tulipgap_consensus::{Action, Config, DurableVoter, Event, PeerMessage, VoterPhase};
use tulipgap_leases::{Command, Incarnation, Name, Owner, RequestId};
use tulipgap_write_ahead_log::FaultyDisk;

/// The files of a folder, by name.
pub(crate) type Files = BTreeMap<String, Vec<u8>>;

const TICK: Duration = Duration::from_millis(100);
/// The time limit for a condition that a test waits for, in ticks: one minute.
pub(crate) const MAX_TICKS: usize = 600;
/// The configured initial voters.
pub(crate) const BOOTSTRAP_VOTERS: [&str; 3] = ["a", "b", "c"];

fn config() -> Config {
    // More than the 200 entries that stay in the log after a snapshot, so that each snapshot
    // removes entries from the log.
    Config {
        snapshot_interval_entries: 250,
        ..Config::default()
    }
}

/// How the group delivers a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    Immediate,
    Lost,
    /// Delivered immediately, and again after this number of ticks.
    Duplicated(usize),
    /// Delivered after this number of ticks.
    Delayed(usize),
}

/// A message that is delivered later.
struct DelayedMessage {
    ticks_left: usize,
    to: Name,
    event: Event,
}

/// Whether a message carries a snapshot.
pub(crate) fn is_snapshot(message: &PeerMessage) -> bool {
    let PeerMessage::Raft(bytes) = message else {
        return false;
    };
    let message = Message::parse_from_bytes(bytes).unwrap();
    message.get_msg_type() == MessageType::MsgSnapshot
}

/// Voters with disks in memory. Messages arrive immediately and in order, unless `choose_delivery`
/// chooses another delivery.
pub(crate) struct Group {
    /// Chooses the delivery of each message that a voter sends.
    pub(crate) choose_delivery: Box<dyn FnMut(&PeerMessage) -> Delivery>,
    delayed: Vec<DelayedMessage>,
    pub(crate) voters_by_name: BTreeMap<Name, DurableVoter<FaultyDisk>>,
    pub(crate) disks: BTreeMap<Name, FaultyDisk>,
    now: Duration,
    next_request: RequestId,
    /// Copies of folders, by the name of their fixture.
    pub(crate) captured: BTreeMap<&'static str, Files>,
}

impl Group {
    pub(crate) fn new(folders: BTreeMap<Name, Files>) -> Self {
        let (mut voters_by_name, mut disks) = (BTreeMap::new(), BTreeMap::new());
        for (at, (name, files)) in folders.into_iter().enumerate() {
            let disk = FaultyDisk::default();
            disk.restore_files(files);
            voters_by_name.insert(name.clone(), open_voter(&name, &disk, at as u64 + 1));
            disks.insert(name, disk);
        }
        Group {
            choose_delivery: Box::new(|_| Delivery::Immediate),
            delayed: Vec::new(),
            voters_by_name,
            disks,
            now: Duration::ZERO,
            next_request: RequestId(0),
            captured: BTreeMap::new(),
        }
    }

    pub(crate) fn deliver(&mut self, to: &Name, event: Event) {
        let mut queue = VecDeque::from([(to.clone(), event)]);
        while let Some((to, event)) = queue.pop_front() {
            let Some(voter) = self.voters_by_name.get_mut(&to) else {
                continue;
            };
            let (actions, written) = voter.handle_events(self.now, vec![event]);
            written.unwrap();
            self.capture();
            for action in actions {
                if let Action::Send { to: next, message } = action {
                    let delivery = (self.choose_delivery)(&message);
                    let event = Event::PeerMessage {
                        from: to.clone(),
                        message,
                    };
                    if let Delivery::Delayed(ticks_left) | Delivery::Duplicated(ticks_left) =
                        delivery
                    {
                        self.delayed.push(DelayedMessage {
                            ticks_left,
                            to: next.clone(),
                            event: event.clone(),
                        });
                    }
                    if let Delivery::Immediate | Delivery::Duplicated(_) = delivery {
                        queue.push_back((next, event));
                    }
                }
            }
        }
    }

    fn deliver_delayed(&mut self) {
        for message in &mut self.delayed {
            message.ticks_left = message.ticks_left.saturating_sub(1);
        }
        let due: Vec<_> = self
            .delayed
            .extract_if(.., |message| message.ticks_left == 0)
            .collect();
        for DelayedMessage { to, event, .. } in due {
            self.deliver(&to, event);
        }
    }

    pub(crate) fn capture(&mut self) {
        for disk in self.disks.values() {
            let files = disk.copy_files();
            if files.len() == 1 && files.contains_key("identity") {
                let promised = self.captured.get("a-new").is_some_and(|new| *new != files);
                let fixture = if promised { "b-promised" } else { "a-new" };
                self.captured.entry(fixture).or_insert(files);
            }
        }
    }

    pub(crate) fn tick(&mut self) {
        self.now += TICK;
        self.deliver_delayed();
        for name in self.voters_by_name.keys().cloned().collect::<Vec<_>>() {
            self.deliver(&name, Event::TimerElapsed);
        }
    }

    pub(crate) fn tick_until(&mut self, condition: &str, mut reached: impl FnMut(&Self) -> bool) {
        for _ in 0..MAX_TICKS {
            if reached(self) {
                return;
            }
            self.tick();
        }
        panic!("not reached within a minute: {condition}");
    }

    pub(crate) fn leader(&self) -> Option<Name> {
        self.voters_by_name
            .iter()
            .find(|(_, voter)| voter.voter().is_leader())
            .map(|(name, _)| name.clone())
    }

    /// Proposes a command to a voter, which need not be the leader.
    pub(crate) fn propose_to(&mut self, voter: &Name, command: Command) {
        self.next_request.0 += 1;
        let (from, request) = ("client".into(), self.next_request);
        self.deliver(
            voter,
            Event::Propose {
                from,
                request,
                command,
            },
        );
    }

    /// Adds a voter with an empty folder that is not one of the configured voters, and waits until
    /// it has learned of the bootstrapped group.
    pub(crate) fn add_new_voter(&mut self, name: &Name, seed: u64) {
        self.disks.insert(name.clone(), FaultyDisk::default());
        let new_voter = open_voter(name, &self.disks[name], seed);
        self.voters_by_name.insert(name.clone(), new_voter);
        let is_outside = |group: &Group| {
            group.voters_by_name[name].voter().status().phase == VoterPhase::Outside
        };
        self.tick_until("the new voter has learned of the group", is_outside);
    }

    /// The names of the voters in the replicated state of the voter `of`.
    pub(crate) fn voter_names(&self, of: &str) -> Vec<Name> {
        self.voters_by_name[of]
            .voter()
            .status()
            .voters
            .into_values()
            .collect()
    }
}

/// Opens a voter from its disk.
pub(crate) fn open_voter(name: &Name, disk: &FaultyDisk, seed: u64) -> DurableVoter<FaultyDisk> {
    DurableVoter::open(
        config(),
        name,
        BOOTSTRAP_VOTERS.map(Name::from).to_vec(),
        disk.clone(),
        seed,
    )
    .unwrap()
}

fn owner(name: &str) -> Owner {
    Owner {
        name: name.into(),
        incarnation: Incarnation(7),
    }
}

/// A command to acquire a lease that queues the owner if no slot is free.
pub(crate) fn acquire(lease: &str, owner_name: &str, ttl: Duration, capacity: u32) -> Command {
    Command::Acquire {
        lease: lease.into(),
        owner: owner(owner_name),
        ttl,
        capacity,
        wait: true,
    }
}
