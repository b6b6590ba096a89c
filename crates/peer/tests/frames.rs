//! Frames as they are on the wire: the bytes of version 1, and what is turned down.

use std::time::Duration;

use quickcheck::quickcheck;
use tulipgap_consensus::{BootstrapStage, LogPosition, PeerMessage, VoterId};
use tulipgap_leases::{
    Command, FencingToken, Incarnation, Lease, LeaseHolder, LeaseSpec, Owner, QueuedOwner, RejectReason,
    RenewalNumber, RequestId, Response,
};
use tulipgap_peer::*;

const KEY: &[u8] = b"a key of twenty bytes";

fn frames() -> Frames {
    Frames::new("penhoat", KEY).unwrap()
}

/// One of each kind that is said.
fn all() -> Vec<Said> {
    let owner = Owner { name: "north-1".into(), incarnation: Incarnation(7) };
    let command = Command::Acquire {
        lease: "prober".into(),
        owner: owner.clone(),
        ttl: Duration::from_secs(2),
        capacity: 1,
        wait: true,
    };
    let lease = Lease {
        spec: LeaseSpec { ttl: Duration::from_secs(2), capacity: 1 },
        holders: vec![LeaseHolder {
            owner: owner.clone(),
            token: FencingToken(5),
            renewal: RenewalNumber(9),
            revoked: false,
        }],
        queue: vec![QueuedOwner { owner, renewal: RenewalNumber(10) }],
    };
    let about = tulipgap_cluster::About {
        name: "north-1".into(),
        address: ([127, 0, 0, 1], 7100).into(),
        region: "coast".into(),
        zone: "north".into(),
        version: 1,
    };
    let update = tulipgap_cluster::Update {
        about,
        incarnation: 3,
        state: tulipgap_cluster::State::Suspect,
        by: Some("west-1".into()),
        facts: Default::default(),
        unheard: Default::default(),
    };
    let message = tulipgap_cluster::Message {
        from: "north-1".into(),
        to: Some("west-1".into()),
        body: tulipgap_cluster::Body::Ask {
            number: 4,
            target: "south-1".into(),
            address: ([127, 0, 0, 3], 7100).into(),
        },
        updates: vec![update],
    };
    let hello = PeerMessage::Handshake {
        wants_reply: true,
        id: VoterId(11),
        initial_voters: [("north-1".into(), VoterId(11))].into(),
        stage: BootstrapStage::Promised,
        observed: LogPosition { term: 2, index: 30 },
    };
    let words = vec![
        Word::Member(message),
        Word::Peer(hello),
        Word::Peer(PeerMessage::Raft(vec![1, 2, 3])),
        Word::Ask { ask: RequestId(1), command },
        Word::Answer {
            life: Incarnation(7),
            ask: RequestId(1),
            answer: Response::Granted { token: FencingToken(5) },
        },
        Word::Answer {
            life: Incarnation(7),
            ask: RequestId(2),
            answer: Response::Rejected(RejectReason::AtCapacity),
        },
        Word::NotLeading { ask: RequestId(3), leader: Some("west-1".into()) },
        Word::Turn { lease: "prober".into() },
        Word::List { number: RequestId(1), lease: None },
        Word::Listing { number: RequestId(1), leases: vec![("prober".into(), lease)] },
        Word::Replace { old: "a".into(), new: "b".into() },
    ];
    let said = |word| Said {
        from: "north-1".into(),
        address: ([127, 0, 0, 1], 7100).into(),
        life: Incarnation(7),
        word,
    };
    words.into_iter().map(said).collect()
}

/// The bytes of version 1 are those of the file: a change of them needs another version.
#[test]
fn version_1_is_as_it_was() {
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/version-1.bin");
    let bytes: Vec<u8> = all().iter().flat_map(|said| frames().make(said)).collect();
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&file, &bytes).unwrap();
    }
    let golden = std::fs::read(file).unwrap();
    assert!(bytes == golden, "the bytes of version 1 have changed");
    let mut rest = &golden[..];
    for said in all() {
        let length = HEAD + frames().body(rest.first_chunk().unwrap()).unwrap();
        assert_eq!(frames().open_whole(&rest[..length]), Ok(said));
        rest = &rest[length..];
    }
}

#[test]
fn what_is_not_ours_is_told_apart() {
    let said = &all()[3];
    let frame = frames().make(said);
    let other = |cluster: &str, key: &[u8]| Frames::new(cluster, key).unwrap().open_whole(&frame);
    assert_eq!(other("elsewhere", KEY), Err(Bad::OtherCluster));
    assert_eq!(other("penhoat", b"another key of length"), Err(Bad::OtherKey));
    assert!(Frames::new("penhoat", b"short").is_none());
    let mut newer = frame.clone();
    newer[2] = 9;
    assert_eq!(frames().open_whole(&newer), Err(Bad::Version(9)));
    let mut long = frame.clone();
    long[8..12].fill(0xff);
    assert_eq!(frames().open_whole(&long), Err(Bad::TooLong(u32::MAX as usize)));
}

quickcheck! {
    fn no_bytes_make_it_panic(bytes: Vec<u8>) -> bool {
        frames().open_whole(&bytes).is_err()
    }

    fn a_flipped_bit_or_a_missing_end_is_never_taken(at: usize, bit: usize) -> bool {
        let all = all();
        let frame = frames().make(&all[at % all.len()]);
        let mut flipped = frame.clone();
        flipped[bit / 8 % frame.len()] ^= 1 << (bit % 8);
        frames().open_whole(&flipped).is_err() && frames().open_whole(&frame[..bit % frame.len()]).is_err()
    }
}
