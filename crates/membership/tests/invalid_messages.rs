//! Messages that are well-formed on the wire but have invalid or contradictory contents. Any holder
//! of the cluster key can send them. A member must not panic on any of them, and must stay within
//! its bounds.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tulipgap_membership::{
    Config, Event, Incarnation, MemberState, MemberUpdate, Membership, Message, MessageBody,
    Metadata, Node, RelayedProbeOutcome, SequenceNumber,
};

const MAX_MEMBERS: usize = 20;
const LOCAL_NAME: &str = "local";
/// The names of this node, of members and of unknown nodes, and invalid names.
const NAMES: [&str; 8] = ["local", "a", "b", "c", "d", "e", "", "x\0y z"];
const NUMBERS: [u64; 5] = [0, 1, 2, u64::MAX - 1, u64::MAX];

struct Sender {
    rng: fastrand::Rng,
}

impl Sender {
    fn name(&mut self) -> String {
        match self.rng.u8(..20) {
            0 => "long".repeat(self.rng.usize(..100)),
            1 => format!("member-{}", self.rng.u16(..)),
            _ => self.rng.choice(NAMES).unwrap().to_owned(),
        }
    }

    fn number(&mut self) -> u64 {
        self.rng.choice(NUMBERS).unwrap()
    }

    fn address(&mut self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, self.rng.u8(..6)], self.rng.u16(..3)))
    }

    fn update(&mut self) -> MemberUpdate {
        let states = [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Suspect,
            MemberState::Dead,
            MemberState::Left,
        ];
        let peers = self.rng.usize(..4) * 10;
        let peers: BTreeSet<_> = (0..peers).map(|_| self.name().as_str().into()).collect();
        MemberUpdate {
            node: Node {
                name: self.name().as_str().into(),
                address: self.address(),
                region: self.name().as_str().into(),
                zone: self.name().as_str().into(),
                version: self.rng.u16(..4),
            },
            incarnation: Incarnation(self.number()),
            state: self.rng.choice(states).unwrap(),
            reported_by: self.rng.bool().then(|| self.name().as_str().into()),
            metadata: Arc::new(Metadata::default()),
            unreachable_peers: Arc::new(peers),
        }
    }

    fn body(&mut self) -> MessageBody {
        let sequence_number = SequenceNumber(self.number());
        match self.rng.u8(..7) {
            0 => MessageBody::Ping { sequence_number },
            1 => MessageBody::Ack { sequence_number },
            2 => MessageBody::IndirectPing {
                sequence_number,
                target: self.name().as_str().into(),
                address: self.address(),
            },
            3 => MessageBody::IndirectPingResult {
                sequence_number,
                outcome: match self.rng.bool() {
                    true => RelayedProbeOutcome::Ack,
                    false => RelayedProbeOutcome::Nack,
                },
            },
            4 => MessageBody::Join,
            5 => MessageBody::NameConflict,
            _ => MessageBody::PushPull {
                reply_requested: self.rng.bool(),
            },
        }
    }

    fn message(&mut self) -> Message {
        let updates = self.rng.usize(..5);
        Message {
            from: self.name().as_str().into(),
            to: self.rng.bool().then(|| self.name().as_str().into()),
            body: self.body(),
            updates: (0..updates).map(|_| self.update()).collect(),
        }
    }
}

fn start(seed: u64) -> Membership {
    let config = Config {
        max_members: MAX_MEMBERS,
        seeds: vec![SocketAddr::from(([127, 0, 0, 1], 1))],
        ..Config::default()
    };
    let node = Node {
        name: LOCAL_NAME.into(),
        address: SocketAddr::from(([127, 0, 0, 9], 9)),
        region: "r".into(),
        zone: "z".into(),
        version: 1,
    };
    Membership::new(config, node, Incarnation(0), seed).unwrap()
}

fn receive_invalid_messages(seeds: std::ops::Range<u64>, messages: u32) {
    for seed in seeds {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut membership = start(seed);
        membership.handle_events(Duration::ZERO, &[Event::Started]);
        let mut sender = Sender { rng: rng.fork() };
        let mut now = Duration::ZERO;
        for _ in 0..messages {
            let pauses = [0, 1, 100, 600, 10_000, 700_000];
            now += Duration::from_millis(rng.choice(pauses).unwrap());
            let event = match rng.u8(..3) {
                0 => Event::TimerExpired,
                _ => Event::Received {
                    from: sender.address(),
                    message: sender.message(),
                },
            };
            membership.handle_events(now, &[event]);
            assert!(membership.members().count() <= MAX_MEMBERS, "seed {seed}");
        }
    }
}

/// Guards against a frame that crashes the process: the number of confirmations is the number of
/// reporters less one, which was below zero for a suspicion without a reporter.
#[test]
fn invalid_messages_do_not_panic() {
    receive_invalid_messages(0..200, 500);
}

#[test]
#[ignore = "a million messages: cargo test -p tulipgap-membership --test invalid_messages -- --ignored"]
fn a_million_invalid_messages_do_not_panic() {
    receive_invalid_messages(0..2000, 500);
}
