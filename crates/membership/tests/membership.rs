//! Single cases of the membership, message by message; whole clusters are simulated by
//! `tulipgap-fault-injection`.

use std::net::SocketAddr;
use std::time::Duration;

use tulipgap_membership::{
    Action, Config, ConfigError, Event, Incarnation, MAX_METADATA_ENTRIES, MAX_METADATA_TEXT_BYTES,
    MAX_NAME_BYTES, MemberState, MemberUpdate, Membership, Message, MessageBody, MetadataError,
    Node, Reachability, RelayedProbeOutcome, SequenceNumber,
};

fn address(last_byte: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last_byte], 7100))
}

fn node(name: &str, last_byte: u8) -> Node {
    Node {
        name: name.into(),
        address: address(last_byte),
        region: "r".into(),
        zone: "z".into(),
        version: 1,
    }
}

fn update(name: &str, last_byte: u8, incarnation: u64, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        node: node(name, last_byte),
        incarnation: Incarnation(incarnation),
        state,
        reported_by: (state != MemberState::Alive).then(|| "c".into()),
        metadata: Default::default(),
        unreachable_peers: Default::default(),
    }
}

fn ping(number: u64) -> MessageBody {
    MessageBody::Ping {
        sequence_number: SequenceNumber(number),
    }
}

fn new_membership(config: Config, node: Node) -> Result<Membership, ConfigError> {
    Membership::new(config, node, Incarnation(0), 1)
}

/// Member `a` at the first address, which has joined and been told of others.
fn joined(updates: Vec<MemberUpdate>) -> Membership {
    let mut membership = new_membership(Config::default(), node("a", 1)).unwrap();
    membership.handle_events(Duration::ZERO, &[Event::Started]);
    receive(
        &mut membership,
        1,
        "b",
        2,
        MessageBody::PushPull {
            reply_requested: false,
        },
        updates,
    );
    membership
}

/// Hands a message to `a`.
fn receive(
    membership: &mut Membership,
    at_ms: u64,
    from: &str,
    last_byte: u8,
    body: MessageBody,
    updates: Vec<MemberUpdate>,
) -> Vec<Action> {
    let message = Message {
        from: from.into(),
        to: Some("a".into()),
        body,
        updates,
    };
    let event = Event::Received {
        from: address(last_byte),
        message,
    };
    membership.handle_events(Duration::from_millis(at_ms), &[event])
}

fn sent_messages(actions: &[Action]) -> Vec<&Message> {
    (actions.iter())
        .filter_map(|action| match action {
            Action::Send { message, .. } => Some(message),
            _ => None,
        })
        .collect()
}

#[test]
fn wrong_update_about_self_is_refuted_under_a_higher_incarnation() {
    let mut membership = joined(vec![update("b", 2, 0, MemberState::Alive)]);
    let wrong = vec![update("a", 1, 4, MemberState::Dead)];
    let actions = receive(&mut membership, 5, "b", 2, ping(9), wrong);
    let local = membership.local();
    assert_eq!(
        (local.incarnation, local.state),
        (Incarnation(5), MemberState::Alive)
    );
    let sent = sent_messages(&actions);
    // At once to the member that reported it, and with the answer.
    let refutes = |message: &Message| {
        let mut updates = message.updates.iter();
        updates.any(|update| &*update.node.name == "a" && update.incarnation == Incarnation(5))
    };
    let (refutation, answer) = (sent[0], sent[1]);
    let no_probe = SequenceNumber(0);
    let is_refutation = |body: &MessageBody| match body {
        MessageBody::IndirectPingResult {
            sequence_number, ..
        } => *sequence_number == no_probe,
        _ => false,
    };
    assert!(is_refutation(&refutation.body), "{sent:?}");
    assert!(refutes(refutation), "{sent:?}");
    assert!(
        matches!(
            answer.body,
            MessageBody::Ack {
                sequence_number: SequenceNumber(9)
            }
        ) && refutes(answer),
        "{sent:?}"
    );
}

#[test]
fn restart_under_the_same_name_and_address_continues_above_the_earlier_incarnation() {
    let mut membership = joined(vec![
        update("a", 1, 7, MemberState::Alive),
        update("b", 2, 0, MemberState::Alive),
    ]);
    assert_eq!(membership.local().incarnation, Incarnation(8));
    assert!(
        !membership
            .handle_events(Duration::from_secs(1), &[Event::TimerExpired])
            .is_empty()
    );
}

#[test]
fn join_under_the_name_of_a_live_member_at_another_address_is_rejected_and_the_joining_node_stops()
{
    let mut membership = joined(vec![update("b", 2, 0, MemberState::Alive)]);
    let updates = vec![update("b", 9, 0, MemberState::Alive)];
    let message = Message {
        from: "b".into(),
        to: None,
        body: MessageBody::Join,
        updates,
    };
    let event = Event::Received {
        from: address(9),
        message,
    };
    let actions = membership.handle_events(Duration::from_millis(5), &[event]);
    let [rejection] = sent_messages(&actions)[..] else {
        panic!("{actions:?}")
    };
    assert_eq!(
        (&rejection.body, &rejection.updates[..]),
        (&MessageBody::NameConflict, &[][..])
    );
    let recorded = membership.members().next().unwrap().update;
    assert_eq!(
        recorded.node.address,
        address(2),
        "the first keeps the name"
    );

    let mut joining = new_membership(Config::default(), node("b", 9)).unwrap();
    joining.handle_events(Duration::ZERO, &[Event::Started]);
    let body = MessageBody::NameConflict;
    let message = Message {
        from: "a".into(),
        to: None,
        body,
        updates: Vec::new(),
    };
    let event = Event::Received {
        from: address(1),
        message,
    };
    let actions = joining.handle_events(Duration::from_millis(9), &[event]);
    assert_eq!(
        actions,
        [Action::NameConflict {
            address: address(1)
        }]
    );
    let later = joining.handle_events(Duration::from_secs(9), &[Event::TimerExpired]);
    assert_eq!(later, [], "it sends nothing more");
}

#[test]
fn of_two_live_processes_under_one_name_all_members_keep_the_same_one() {
    let updates = [
        update("t", 5, 2, MemberState::Alive),
        update("t", 6, 2, MemberState::Alive),
    ];
    let mut reversed = updates.clone();
    reversed.reverse();
    for order in [updates, reversed] {
        let membership = joined(order.to_vec());
        assert_eq!(
            membership.members().next().unwrap().update.node.address,
            address(5)
        );
    }
}

#[test]
fn old_update_does_not_bring_back_a_member_that_has_left() {
    let mut membership = joined(vec![update("g", 7, 3, MemberState::Left)]);
    receive(
        &mut membership,
        5,
        "b",
        2,
        ping(1),
        vec![update("g", 7, 3, MemberState::Alive)],
    );
    assert_eq!(membership.state("g"), Some(MemberState::Left));
    receive(
        &mut membership,
        6,
        "b",
        2,
        ping(2),
        vec![update("g", 7, 4, MemberState::Alive)],
    );
    assert_eq!(
        membership.state("g"),
        Some(MemberState::Alive),
        "its own higher incarnation does"
    );
}

#[test]
fn update_of_an_unknown_version_or_with_a_long_name_counts_as_an_anomaly_and_is_not_recorded() {
    let mut unknown_version = update("s", 8, 0, MemberState::Alive);
    unknown_version.node.version = 9;
    let mut long_name = update("l", 9, 0, MemberState::Alive);
    long_name.node.name = "x".repeat(MAX_NAME_BYTES + 1).into();
    let membership = joined(vec![unknown_version, long_name]);
    assert_eq!(
        (membership.members().count(), membership.anomalies()),
        (0, 2)
    );
}

#[test]
fn members_beyond_the_maximum_count_as_anomalies_and_are_not_recorded() {
    let config = Config {
        max_members: 3,
        ..Config::default()
    };
    let mut membership = new_membership(config, node("a", 1)).unwrap();
    let updates = (2..9)
        .map(|last| update(&format!("m{last}"), last, 0, MemberState::Alive))
        .collect();
    receive(
        &mut membership,
        1,
        "m2",
        2,
        MessageBody::PushPull {
            reply_requested: false,
        },
        updates,
    );
    assert_eq!(
        (membership.members().count(), membership.anomalies()),
        (3, 4)
    );
}

#[test]
fn member_that_only_relays_reach_is_told_from_a_crashed_one_and_published() {
    let mut membership = joined(vec![
        update("b", 2, 0, MemberState::Alive),
        update("c", 3, 0, MemberState::Alive),
    ]);
    let (mut now_ms, mut indirect_only) = (1, None);
    // b answers every probe and reaches c; c never answers this node.
    while indirect_only.is_none() && now_ms < 60_000 {
        now_ms += 10;
        let actions =
            membership.handle_events(Duration::from_millis(now_ms), &[Event::TimerExpired]);
        for action in actions {
            let Action::Send { to, message } = action else {
                continue;
            };
            let answer = match message.body {
                MessageBody::Ping { sequence_number } if to == address(2) => {
                    MessageBody::Ack { sequence_number }
                }
                MessageBody::IndirectPing {
                    sequence_number, ..
                } if to == address(2) => MessageBody::IndirectPingResult {
                    sequence_number,
                    outcome: RelayedProbeOutcome::Ack,
                },
                _ => continue,
            };
            receive(&mut membership, now_ms, "b", 2, answer, Vec::new());
        }
        indirect_only = membership
            .members()
            .find(|member| member.reachability == Reachability::IndirectOnly);
    }
    let indirect_only = indirect_only.expect("within a minute");
    assert_eq!(
        (&*indirect_only.update.node.name, indirect_only.update.state),
        ("c", MemberState::Alive)
    );
    assert!(
        membership.local().unreachable_peers.contains("c"),
        "{:?}",
        membership.local()
    );
    // Messages of c arrive: what is sent to it is lost.
    receive(&mut membership, now_ms, "c", 3, ping(5), Vec::new());
    let member = membership
        .members()
        .find(|member| &*member.update.node.name == "c")
        .unwrap();
    assert_eq!(member.reachability, Reachability::AsymmetricPartition);
}

#[test]
fn configuration_names_and_metadata_out_of_bounds_are_rejected() {
    let config = Config {
        probe_timeout: Duration::from_secs(1),
        ..Config::default()
    };
    let error = new_membership(config, node("a", 1)).err();
    assert!(
        matches!(
            error,
            Some(ConfigError::OutOfRange {
                parameter: "probe_timeout",
                ..
            })
        ),
        "{error:?}"
    );
    let error = new_membership(Config::default(), node("", 1)).err();
    assert_eq!(
        error,
        Some(ConfigError::NameLength {
            field: "name",
            length: 0
        })
    );

    let mut membership = joined(Vec::new());
    let mut set = |key: &str| {
        let event = Event::SetMetadata {
            key: key.into(),
            value: Some("1".into()),
        };
        membership.handle_events(Duration::from_secs(1), &[event])
    };
    for index in 0..MAX_METADATA_ENTRIES {
        assert_eq!(set(&format!("k{index}")), []);
    }
    let error = MetadataError::TooManyEntries {
        count: MAX_METADATA_ENTRIES + 1,
    };
    assert_eq!(set("more"), [Action::MetadataRejected { error }]);
    let error = MetadataError::TooLong {
        key: "k".repeat(MAX_METADATA_TEXT_BYTES),
    };
    assert_eq!(
        set(&"k".repeat(MAX_METADATA_TEXT_BYTES + 1)),
        [Action::MetadataRejected { error }]
    );
    assert_eq!(
        set(""),
        [Action::MetadataRejected {
            error: MetadataError::EmptyKey
        }]
    );
    assert_eq!(membership.local().metadata.len(), MAX_METADATA_ENTRIES);
}

/// Every timer that expires sets the next one. When each suspicion and each relayed probe set one
/// more, those went on for ever beside it, and a simulation of 100 members with slow links did not
/// end.
#[test]
fn timers_do_not_multiply() {
    let updates = (2..6)
        .map(|last| update(&format!("m{last}"), last, 0, MemberState::Alive))
        .collect();
    let mut membership = joined(updates);
    let mut pending = vec![Duration::from_millis(500)];
    let mut count = 0;
    while let Some(at) = pending
        .iter()
        .copied()
        .min()
        .filter(|&at| at < Duration::from_secs(60))
    {
        pending.retain(|&other| other != at);
        let indirect_ping = MessageBody::IndirectPing {
            sequence_number: SequenceNumber(count),
            target: "m3".into(),
            address: address(3),
        };
        let mut actions = receive(
            &mut membership,
            at.as_millis() as u64,
            "m2",
            2,
            indirect_ping,
            Vec::new(),
        );
        actions.extend(membership.handle_events(at, &[Event::TimerExpired]));
        let timer = |action: &Action| {
            if let Action::SetTimer { at } = action {
                Some(*at)
            } else {
                None
            }
        };
        pending.extend(actions.iter().filter_map(timer));
        count += 1;
        assert!(
            pending.len() <= 4,
            "{} timers are due at {at:?}",
            pending.len()
        );
    }
    assert!(count > 100);
}
