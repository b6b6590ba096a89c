//! One frame of every kind of message, with every variant of its content, against a file that an
//! earlier release wrote. Guards against a changed field or variant order, with which processes of
//! different releases can't decode each other's frames.

mod common;

use std::time::Duration;

use tulipgap_consensus::{BootstrapStage, LogPosition, PeerMessage, VoterId};
use tulipgap_leases::{
    Command, FencingToken, Incarnation, Lease, LeaseHolder, LeaseSpec, Name, Owner, QueuedOwner,
    RejectReason, RenewalNumber, RequestId, Response,
};
use tulipgap_membership::{
    MemberState, MemberUpdate, Message as MemberMessage, MessageBody, Node, RelayedProbeOutcome,
    SequenceNumber,
};
use tulipgap_peer_protocol::{Envelope, Message};

fn member_messages() -> Vec<MemberMessage> {
    let address = |host| ([127, 0, 0, host], 7100).into();
    let node = |name: &str| Node {
        name: name.into(),
        address: address(2),
        region: "coast".into(),
        zone: "west".into(),
        version: 1,
    };
    let states = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
    ];
    let update = |(at, state): (usize, MemberState)| MemberUpdate {
        node: node("west-1"),
        incarnation: tulipgap_membership::Incarnation(3 + at as u64),
        state,
        reported_by: (at > 0).then(|| "south-1".into()),
        metadata: std::sync::Arc::new([("store".to_owned(), "down".to_owned())].into()),
        unreachable_peers: std::sync::Arc::new(["south-2".into()].into()),
    };
    let updates: Vec<MemberUpdate> = states.into_iter().enumerate().map(update).collect();
    let bodies = [
        MessageBody::Ping {
            sequence_number: SequenceNumber(300),
        },
        MessageBody::Ack {
            sequence_number: SequenceNumber(300),
        },
        MessageBody::IndirectPing {
            sequence_number: SequenceNumber(301),
            target: "south-1".into(),
            address: address(3),
        },
        MessageBody::IndirectPingResult {
            sequence_number: SequenceNumber(301),
            outcome: RelayedProbeOutcome::Ack,
        },
        MessageBody::IndirectPingResult {
            sequence_number: SequenceNumber(302),
            outcome: RelayedProbeOutcome::Nack,
        },
        MessageBody::Join,
        MessageBody::PushPull {
            reply_requested: true,
        },
        MessageBody::PushPull {
            reply_requested: false,
        },
        MessageBody::NameConflict,
    ];
    let message = |body| MemberMessage {
        from: "north-1".into(),
        to: Some("west-1".into()),
        body,
        updates: updates.clone(),
    };
    let unknown = MemberMessage {
        from: "north-1".into(),
        to: None,
        body: MessageBody::Join,
        updates: Vec::new(),
    };
    bodies.into_iter().map(message).chain([unknown]).collect()
}

fn commands() -> Vec<Command> {
    let (lease, owner): (Name, Owner) = (
        "prober".into(),
        Owner {
            name: "north-1".into(),
            incarnation: Incarnation(700),
        },
    );
    let ttl = Duration::from_millis(2500);
    vec![
        Command::Acquire {
            lease: lease.clone(),
            owner: owner.clone(),
            ttl,
            capacity: 3,
            wait: true,
        },
        Command::Acquire {
            lease: lease.clone(),
            owner: owner.clone(),
            ttl,
            capacity: 3,
            wait: false,
        },
        Command::Release {
            lease: lease.clone(),
            owner: owner.clone(),
            token: Some(FencingToken(500)),
        },
        Command::Release {
            lease: lease.clone(),
            owner: owner.clone(),
            token: None,
        },
        Command::Expire {
            lease: lease.clone(),
            owner,
            renewal: RenewalNumber(900),
        },
        Command::Revoke {
            lease: lease.clone(),
            token: FencingToken(500),
        },
        Command::Transfer {
            lease,
            token: FencingToken(500),
            to: "west-1".into(),
        },
    ]
}

fn responses() -> Vec<Response> {
    let rejections = [
        RejectReason::AtCapacity,
        RejectReason::QueueFull,
        RejectReason::TooManyLeases,
        RejectReason::SpecMismatch {
            ttl: Duration::from_secs(2),
            capacity: 4,
        },
        RejectReason::Invalid,
        RejectReason::Revoked,
        RejectReason::StaleToken,
        RejectReason::TooManyWanted,
    ];
    let others = [
        Response::Granted {
            token: FencingToken(500),
        },
        Response::Queued { ahead: 2 },
        Response::Done,
    ];
    others
        .into_iter()
        .chain(rejections.map(Response::Rejected))
        .collect()
}

fn voter_messages() -> Vec<PeerMessage> {
    let handshake = |wants_reply, stage| PeerMessage::Handshake {
        wants_reply,
        id: VoterId(u64::MAX),
        initial_voters: [
            ("north-1".into(), VoterId(11)),
            ("west-1".into(), VoterId(1200)),
        ]
        .into(),
        stage,
        observed: LogPosition {
            term: 2,
            index: 300,
        },
    };
    vec![
        handshake(true, BootstrapStage::Discovering),
        handshake(false, BootstrapStage::Promised),
        handshake(false, BootstrapStage::Complete),
        PeerMessage::Raft(vec![1, 2, 3]),
    ]
}

fn every_kind() -> Vec<Envelope> {
    let owner = Owner {
        name: "north-1".into(),
        incarnation: Incarnation(7),
    };
    let lease = Lease {
        spec: LeaseSpec {
            ttl: Duration::from_nanos(2_000_000_001),
            capacity: 2,
        },
        holders: vec![LeaseHolder {
            owner: owner.clone(),
            token: FencingToken(500),
            renewal: RenewalNumber(900),
            revoked: true,
        }],
        queue: vec![QueuedOwner {
            owner,
            renewal: RenewalNumber(1000),
        }],
    };
    let mut messages: Vec<Message> = member_messages().into_iter().map(Message::Member).collect();
    messages.extend(voter_messages().into_iter().map(Message::Voter));
    messages.extend(
        commands()
            .into_iter()
            .zip((1..).map(RequestId))
            .map(|(command, request)| Message::LeaseRequest { request, command }),
    );
    let incarnation = Incarnation(700);
    messages.extend(responses().into_iter().zip((1..).map(RequestId)).map(
        |(response, request)| Message::LeaseResponse {
            incarnation,
            request,
            response,
        },
    ));
    messages.extend([
        Message::NotLeader {
            request: RequestId(300),
            leader: Some("west-1".into()),
        },
        Message::NotLeader {
            request: RequestId(301),
            leader: None,
        },
        Message::SlotAvailable {
            lease: "prober".into(),
        },
        Message::ReadLeases {
            request: RequestId(400),
            lease: None,
        },
        Message::ReadLeases {
            request: RequestId(401),
            lease: Some("prober".into()),
        },
        Message::LeaseList {
            request: RequestId(401),
            leases: vec![("prober".into(), lease)],
        },
        Message::ReplaceVoter {
            old: "a".into(),
            new: "b".into(),
        },
    ]);
    let addresses = [
        ([127, 0, 0, 1], 7100).into(),
        "[2001:db8::7]:7100".parse().unwrap(),
    ];
    let envelope = |(at, message)| Envelope {
        from: "north-1".into(),
        address: addresses[at % 2],
        incarnation,
        message,
    };
    messages.into_iter().enumerate().map(envelope).collect()
}

#[test]
fn frames_of_every_kind_match_the_golden_file() {
    common::assert_golden("every-kind.bin", every_kind());
}
