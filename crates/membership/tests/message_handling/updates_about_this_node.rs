use std::time::Duration;

use tulipgap_membership::{Event, Incarnation, MemberState, Message, MessageBody, SequenceNumber};

use crate::{joined, ping, receive, sent_messages, update};

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
    // The refutation is sent directly, and again with the ack.
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
