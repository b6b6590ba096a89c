use std::time::Duration;

use tulipgap_membership::{Action, Config, Event, MemberState, Message, MessageBody};

use crate::{address, joined, new_membership, node, sent_messages, update};

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
