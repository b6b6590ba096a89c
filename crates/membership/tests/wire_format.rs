//! The bytes of a membership message. Enums are serialized by the position of their variants and
//! structs by that of their fields, so these tests fail if an order changes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use tulipgap_membership::{
    Incarnation, MemberState, MemberUpdate, Message, MessageBody, Metadata, Node,
    RelayedProbeOutcome, SequenceNumber,
};

/// The bytes of the sender `a` and the recipient `b`.
const HEAD: &[u8] = &[1, b'a', 1, 1, b'b'];
/// The bytes of an IPv4 address: 127.0.0.7, port 7100.
const ADDRESS: &[u8] = &[0, 127, 0, 0, 7, 0xbc, 0x37];

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 7], 7100))
}

fn assert_bytes(message: &Message, parts: &[&[u8]]) {
    let expected = parts.concat();
    assert_eq!(
        postcard::to_stdvec(message).unwrap(),
        expected,
        "{message:?}"
    );
    assert_eq!(
        postcard::from_bytes::<Message>(&expected).unwrap(),
        *message
    );
}

fn message(body: MessageBody) -> Message {
    Message {
        from: "a".into(),
        to: Some("b".into()),
        body,
        updates: Vec::new(),
    }
}

#[test]
fn each_body_keeps_its_bytes() {
    let bodies: [(MessageBody, Vec<u8>); 9] = [
        (
            MessageBody::Ping {
                sequence_number: SequenceNumber(300),
            },
            vec![0, 0xac, 2],
        ),
        (
            MessageBody::Ack {
                sequence_number: SequenceNumber(300),
            },
            vec![1, 0xac, 2],
        ),
        (
            MessageBody::IndirectPing {
                sequence_number: SequenceNumber(3),
                target: "t".into(),
                address: address(),
            },
            [&[2, 3, 1, b't'], ADDRESS].concat(),
        ),
        (
            MessageBody::IndirectPingResult {
                sequence_number: SequenceNumber(3),
                outcome: RelayedProbeOutcome::Nack,
            },
            vec![3, 3, 0],
        ),
        (
            MessageBody::IndirectPingResult {
                sequence_number: SequenceNumber(3),
                outcome: RelayedProbeOutcome::Ack,
            },
            vec![3, 3, 1],
        ),
        (MessageBody::Join, vec![4]),
        (
            MessageBody::PushPull {
                reply_requested: false,
            },
            vec![5, 0],
        ),
        (
            MessageBody::PushPull {
                reply_requested: true,
            },
            vec![5, 1],
        ),
        (MessageBody::NameConflict, vec![6]),
    ];
    for (body, bytes) in bodies {
        assert_bytes(&message(body), &[HEAD, &bytes, &[0]]);
    }
}

#[test]
fn a_message_without_a_recipient_keeps_its_bytes() {
    let message = Message {
        from: "a".into(),
        to: None,
        body: MessageBody::Join,
        updates: Vec::new(),
    };
    assert_bytes(&message, &[&[1, b'a', 0, 4, 0]]);
}

#[test]
fn an_update_keeps_its_bytes_in_each_state() {
    for (state, position) in [
        (MemberState::Alive, 0),
        (MemberState::Suspect, 1),
        (MemberState::Dead, 2),
        (MemberState::Left, 3),
    ] {
        let node = Node {
            name: "n".into(),
            address: address(),
            region: "r".into(),
            zone: "z".into(),
            version: 1,
        };
        let update = MemberUpdate {
            node,
            incarnation: Incarnation(200),
            state,
            reported_by: Some("c".into()),
            metadata: Arc::new(Metadata::from([("key".into(), "value".into())])),
            unreachable_peers: Arc::new(BTreeSet::from(["u".into()])),
        };
        let mut message = message(MessageBody::Join);
        message.updates.push(update);
        let node_bytes: &[u8] = &[&[1, b'n'], ADDRESS, &[1, b'r', 1, b'z', 1]].concat();
        let rest = [
            &[0xc8, 1, position, 1, 1, b'c'][..],
            &[1, 3, b'k', b'e', b'y', 5, b'v', b'a', b'l', b'u', b'e'],
            &[1, 1, b'u'],
        ]
        .concat();
        assert_bytes(&message, &[HEAD, &[4, 1], node_bytes, &rest]);
    }
}
