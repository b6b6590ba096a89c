use std::time::Duration;

use tulipgap_membership::{Action, Event, MemberState, MessageBody, SequenceNumber};

use crate::{address, joined, receive, update};

/// Guards against timers that multiply. Every timer that expires sets the next one, so when each
/// suspicion and each relayed probe set an additional timer, each started a separate chain that
/// continued indefinitely, and a simulation of 100 members with slow links did not end.
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
