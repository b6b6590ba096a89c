use std::time::Duration;

use tulipgap_membership::{
    Action, Event, MemberState, MessageBody, Reachability, RelayedProbeOutcome,
};

use crate::{address, joined, ping, receive, update};

#[test]
fn member_reached_only_by_relays_is_distinguished_from_a_crashed_one_and_published() {
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
    // Messages from c arrive, so only messages to it are lost.
    receive(&mut membership, now_ms, "c", 3, ping(5), Vec::new());
    let member = membership
        .members()
        .find(|member| &*member.update.node.name == "c")
        .unwrap();
    assert_eq!(member.reachability, Reachability::AsymmetricPartition);
}
