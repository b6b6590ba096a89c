//! The bytes of a membership message. Enums are serialized by the position of their variants and structs by that of
//! their fields, so a change of an order shows here.

use std::net::SocketAddr;

use tulipgap_cluster::{About, Body, Message, State, Update};

/// The sender `a`, the recipient `b`.
const HEAD: &[u8] = &[1, b'a', 1, 1, b'b'];
/// An address of version 4: 127.0.0.7, port 7100.
const ADDRESS: &[u8] = &[0, 127, 0, 0, 7, 0xbc, 0x37];

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 7], 7100))
}

fn assert_bytes(message: &Message, parts: &[&[u8]]) {
    let expected = parts.concat();
    assert_eq!(postcard::to_stdvec(message).unwrap(), expected, "{message:?}");
    assert_eq!(postcard::from_bytes::<Message>(&expected).unwrap(), *message);
}

fn message(body: Body) -> Message {
    Message { from: "a".into(), to: Some("b".into()), body, updates: Vec::new() }
}

#[test]
fn each_body_keeps_its_bytes() {
    let bodies: [(Body, Vec<u8>); 9] = [
        (Body::Ping { number: 300 }, vec![0, 0xac, 2]),
        (Body::Ack { number: 300 }, vec![1, 0xac, 2]),
        (
            Body::Ask { number: 3, target: "t".into(), address: address() },
            [&[2, 3, 1, b't'], ADDRESS].concat(),
        ),
        (Body::Told { number: 3, heard: false }, vec![3, 3, 0]),
        (Body::Told { number: 3, heard: true }, vec![3, 3, 1]),
        (Body::Join, vec![4]),
        (Body::Members { answer: false }, vec![5, 0]),
        (Body::Members { answer: true }, vec![5, 1]),
        (Body::Taken, vec![6]),
    ];
    for (body, bytes) in bodies {
        assert_bytes(&message(body), &[HEAD, &bytes, &[0]]);
    }
}

#[test]
fn a_message_without_a_recipient_keeps_its_bytes() {
    let message = Message { from: "a".into(), to: None, body: Body::Join, updates: Vec::new() };
    assert_bytes(&message, &[&[1, b'a', 0, 4, 0]]);
}

#[test]
fn an_update_keeps_its_bytes_in_each_state() {
    for (state, position) in [(State::Alive, 0), (State::Suspect, 1), (State::Dead, 2), (State::Left, 3)] {
        let about =
            About { name: "n".into(), address: address(), region: "r".into(), zone: "z".into(), version: 1 };
        let update = Update {
            about,
            incarnation: 200,
            state,
            by: Some("c".into()),
            facts: [("key".to_owned(), "value".to_owned())]
                .into_iter()
                .collect::<std::collections::BTreeMap<_, _>>()
                .into(),
            unheard: [tulipgap_cluster::Name::from("u")]
                .into_iter()
                .collect::<std::collections::BTreeSet<_>>()
                .into(),
        };
        let mut message = message(Body::Join);
        message.updates.push(update);
        let node: &[u8] = &[&[1, b'n'], ADDRESS, &[1, b'r', 1, b'z', 1]].concat();
        let rest = [
            &[0xc8, 1, position, 1, 1, b'c'][..],
            &[1, 3, b'k', b'e', b'y', 5, b'v', b'a', b'l', b'u', b'e'],
            &[1, 1, b'u'],
        ]
        .concat();
        assert_bytes(&message, &[HEAD, &[4, 1], node, &rest]);
    }
}
