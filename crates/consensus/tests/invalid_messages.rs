//! Messages that are well-formed on the wire but have invalid or contradictory contents. Any holder
//! of the cluster key can send them. A voter must not panic on any of them.

// This test uses only a part of the module.
#[allow(dead_code)]
mod common;

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use common::{BOOTSTRAP_VOTERS, Group};
use protobuf::Message as _;
use raft::prelude::{Entry, Message, MessageType, Snapshot};
use tulipgap_consensus::{BootstrapStage, Event, LogPosition, PeerMessage, VoterId};
use tulipgap_leases::Name;

/// A time long after the group has elected a leader.
const NOW: Duration = Duration::from_secs(3600);
const NUMBERS: [u64; 6] = [0, 1, 2, 5, u64::MAX - 1, u64::MAX];

/// Samples invalid messages.
struct MessageGenerator {
    rng: fastrand::Rng,
}

impl MessageGenerator {
    fn number(&mut self) -> u64 {
        match self.rng.bool() {
            true => self.rng.u64(..12),
            false => self.rng.choice(NUMBERS).unwrap(),
        }
    }

    fn bytes(&mut self) -> Vec<u8> {
        let length = self.rng.usize(..40);
        (0..length).map(|_| self.rng.u8(..)).collect()
    }

    fn name(&mut self) -> Name {
        self.rng.choice(["a", "b", "c", "d", ""]).unwrap().into()
    }

    /// The id of a voter in three of four cases, otherwise any number.
    fn id(&mut self, group: &Group) -> u64 {
        let voters = group.voters_by_name["a"].voter().status().voters;
        let known: Vec<u64> = voters.keys().map(|id| id.0).collect();
        match self.rng.choice(known) {
            Some(id) if self.rng.u8(..4) > 0 => id,
            _ => self.number(),
        }
    }

    fn entry(&mut self) -> Entry {
        let mut entry = Entry::default();
        entry.set_term(self.number());
        entry.set_index(self.number());
        entry.set_data(self.bytes().into());
        entry
    }

    fn raft_message(&mut self, group: &Group) -> Vec<u8> {
        let mut message = Message::default();
        let kinds = [
            MessageType::MsgHup,
            MessageType::MsgAppend,
            MessageType::MsgAppendResponse,
            MessageType::MsgRequestVote,
            MessageType::MsgRequestVoteResponse,
            MessageType::MsgSnapshot,
            MessageType::MsgHeartbeat,
            MessageType::MsgHeartbeatResponse,
            MessageType::MsgTransferLeader,
            MessageType::MsgTimeoutNow,
            MessageType::MsgReadIndex,
            MessageType::MsgReadIndexResp,
            MessageType::MsgRequestPreVote,
            MessageType::MsgRequestPreVoteResponse,
        ];
        message.set_msg_type(self.rng.choice(kinds).unwrap());
        message.from = self.id(group);
        message.to = self.id(group);
        message.term = self.number();
        message.log_term = self.number();
        message.index = self.number();
        message.commit = self.number();
        message.reject = self.rng.bool();
        message.reject_hint = self.number();
        let entries: Vec<Entry> = (0..self.rng.usize(..3)).map(|_| self.entry()).collect();
        message.set_entries(entries.into());
        if message.get_msg_type() == MessageType::MsgSnapshot {
            let mut snapshot = Snapshot::default();
            snapshot.mut_metadata().index = self.number();
            snapshot.mut_metadata().term = self.number();
            snapshot.set_data(self.bytes().into());
            message.set_snapshot(snapshot);
        }
        message.write_to_bytes().unwrap()
    }

    fn peer_message(&mut self, group: &Group) -> PeerMessage {
        match self.rng.u8(..10) {
            0 => PeerMessage::Raft(self.bytes()),
            1 => PeerMessage::Handshake {
                wants_reply: self.rng.bool(),
                id: VoterId(self.id(group)),
                initial_voters: BTreeMap::from([(self.name(), VoterId(self.id(group)))]),
                stage: BootstrapStage::Complete,
                observed: LogPosition { term: 0, index: 0 },
            },
            _ => PeerMessage::Raft(self.raft_message(group)),
        }
    }
}

/// The outcomes of the messages.
#[derive(Debug, Default)]
struct Outcome {
    /// Messages that the voter handled without an error.
    handled: u32,
    /// Runs in which the voter stopped with an error that its host handles.
    stopped: u32,
    /// The messages on which a voter panicked.
    panicked: Vec<String>,
}

fn receive_invalid_messages(seeds: std::ops::Range<u64>, messages: u32) -> Outcome {
    let mut outcome = Outcome::default();
    for seed in seeds {
        let folders = BOOTSTRAP_VOTERS.map(|name| (name.into(), BTreeMap::new()));
        let mut group = Group::new(BTreeMap::from(folders));
        group.tick_until("a leader", |group| group.leader().is_some());
        let rng = fastrand::Rng::with_seed(seed);
        let mut generator = MessageGenerator { rng };
        for _ in 0..messages {
            let message = generator.peer_message(&group);
            let (from, to) = (generator.name(), generator.name());
            let Some(voter) = group.voters_by_name.get_mut(&to) else {
                continue;
            };
            let event = Event::PeerMessage {
                from,
                message: message.clone(),
            };
            let handle = || voter.handle_events(NOW, vec![event]).1;
            match catch_unwind(AssertUnwindSafe(handle)) {
                Ok(Ok(())) => outcome.handled += 1,
                Ok(Err(_)) => {
                    outcome.stopped += 1;
                    break;
                }
                Err(_) => {
                    outcome.panicked.push(format!("seed {seed}: {message:?}"));
                    break;
                }
            }
        }
    }
    outcome
}

/// Guards against a peer's message that ends the process of a voter. The crate `raft` panics if a
/// message contradicts its invariants; the voter must then stop with an error, and the process must
/// continue.
#[test]
fn invalid_messages_do_not_panic() {
    let outcome = receive_invalid_messages(0..200, 500);
    println!("{} handled, {} stopped", outcome.handled, outcome.stopped);
    assert!(outcome.handled > 0, "no message was handled");
    assert!(outcome.panicked.is_empty(), "{:#?}", outcome.panicked);
}
