//! Frames on the wire: the bytes of version 1, and the rejection of foreign or damaged frames.

mod common;

use std::time::Duration;

use common::{KEY, codec};
use quickcheck::quickcheck;
use tulipgap_consensus::{BootstrapStage, LogPosition, PeerMessage, VoterId};
use tulipgap_leases::{
    Command, FencingToken, Incarnation, Lease, LeaseHolder, LeaseSpec, Owner, QueuedOwner,
    RejectReason, RenewalNumber, RequestId, Response,
};
use tulipgap_peer_protocol::{Envelope, FrameCodec, FrameError, Message};

/// An indirect ping of the membership protocol, with an update.
fn indirect_ping() -> tulipgap_membership::Message {
    let node = tulipgap_membership::Node {
        name: "north-1".into(),
        address: ([127, 0, 0, 1], 7100).into(),
        region: "coast".into(),
        zone: "north".into(),
        version: 1,
    };
    let update = tulipgap_membership::MemberUpdate {
        node,
        incarnation: tulipgap_membership::Incarnation(3),
        state: tulipgap_membership::MemberState::Suspect,
        reported_by: Some("west-1".into()),
        metadata: Default::default(),
        unreachable_peers: Default::default(),
    };
    tulipgap_membership::Message {
        from: "north-1".into(),
        to: Some("west-1".into()),
        body: tulipgap_membership::MessageBody::IndirectPing {
            sequence_number: tulipgap_membership::SequenceNumber(4),
            target: "south-1".into(),
            address: ([127, 0, 0, 3], 7100).into(),
        },
        updates: vec![update],
    }
}

/// A lease that this owner holds and for which it is queued again.
fn lease_with_queue(owner: Owner) -> Lease {
    Lease {
        spec: LeaseSpec {
            ttl: Duration::from_secs(2),
            capacity: 1,
        },
        holders: vec![LeaseHolder {
            owner: owner.clone(),
            token: FencingToken(5),
            renewal: RenewalNumber(9),
            revoked: false,
        }],
        queue: vec![QueuedOwner {
            owner,
            renewal: RenewalNumber(10),
        }],
    }
}

/// One message of each kind.
fn one_of_each_kind() -> Vec<Envelope> {
    let owner = Owner {
        name: "north-1".into(),
        incarnation: Incarnation(7),
    };
    let command = Command::Acquire {
        lease: "prober".into(),
        owner: owner.clone(),
        ttl: Duration::from_secs(2),
        capacity: 1,
        wait: true,
    };
    let lease = lease_with_queue(owner);
    let handshake = PeerMessage::Handshake {
        wants_reply: true,
        id: VoterId(11),
        initial_voters: [("north-1".into(), VoterId(11))].into(),
        stage: BootstrapStage::Promised,
        observed: LogPosition { term: 2, index: 30 },
    };
    let messages = vec![
        Message::Member(indirect_ping()),
        Message::Voter(handshake),
        Message::Voter(PeerMessage::Raft(vec![1, 2, 3])),
        Message::LeaseRequest {
            request: RequestId(1),
            command,
        },
        Message::LeaseResponse {
            incarnation: Incarnation(7),
            request: RequestId(1),
            response: Response::Granted {
                token: FencingToken(5),
            },
        },
        Message::LeaseResponse {
            incarnation: Incarnation(7),
            request: RequestId(2),
            response: Response::Rejected(RejectReason::AtCapacity),
        },
        Message::NotLeader {
            request: RequestId(3),
            leader: Some("west-1".into()),
        },
        Message::SlotAvailable {
            lease: "prober".into(),
        },
        Message::ReadLeases {
            request: RequestId(1),
            lease: None,
        },
        Message::LeaseList {
            request: RequestId(1),
            leases: vec![("prober".into(), lease)],
        },
        Message::ReplaceVoter {
            old: "a".into(),
            new: "b".into(),
        },
    ];
    let envelope = |message| Envelope {
        from: "north-1".into(),
        address: ([127, 0, 0, 1], 7100).into(),
        incarnation: Incarnation(7),
        message,
    };
    messages.into_iter().map(envelope).collect()
}

/// Guards against a change of the frame format without a new protocol version.
#[test]
fn the_bytes_of_version_1_are_unchanged() {
    common::assert_golden("version-1.bin", one_of_each_kind());
}

#[test]
fn foreign_frames_are_rejected_with_their_reason() {
    let envelope = &one_of_each_kind()[3];
    let frame = codec().encode(envelope);
    let other = |cluster: &str, key: &[u8]| {
        FrameCodec::new(cluster, key)
            .unwrap()
            .decode_datagram(&frame)
    };
    assert_eq!(other("elsewhere", KEY), Err(FrameError::OtherCluster));
    assert_eq!(
        other("penhoat", b"another key of length"),
        Err(FrameError::OtherKey)
    );
    assert!(FrameCodec::new("penhoat", b"short").is_err());
    let mut newer = frame.clone();
    newer[2] = 9;
    assert_eq!(
        codec().decode_datagram(&newer),
        Err(FrameError::UnknownVersion(9))
    );
    let mut long = frame.clone();
    long[8..12].fill(0xff);
    assert_eq!(
        codec().decode_datagram(&long),
        Err(FrameError::BodyTooLong(u32::MAX as usize))
    );
}

quickcheck! {
    fn arbitrary_bytes_are_rejected(bytes: Vec<u8>) -> bool {
        codec().decode_datagram(&bytes).is_err()
    }

    fn a_flipped_bit_or_a_truncated_frame_is_rejected(at: usize, bit: usize) -> bool {
        let envelopes = one_of_each_kind();
        let frame = codec().encode(&envelopes[at % envelopes.len()]);
        let mut flipped = frame.clone();
        flipped[bit / 8 % frame.len()] ^= 1 << (bit % 8);
        codec().decode_datagram(&flipped).is_err() && codec().decode_datagram(&frame[..bit % frame.len()]).is_err()
    }
}
