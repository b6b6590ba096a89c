use super::{TICK, recipient, seconds};
use crate::message::SequenceNumber;
use crate::relayed_probes::{RelayedProbe, RelayedProbes};

fn probes(count: u64) -> RelayedProbes {
    let mut probes = RelayedProbes::default();
    for number in 0..count {
        probes.push(RelayedProbe {
            sequence_number: SequenceNumber(number),
            requester: recipient("r", 2),
            requester_sequence_number: SequenceNumber(100 + number),
            deadline: seconds(10 + number),
        });
    }
    probes
}

#[test]
fn probes_are_relayed_while_pending_ones_do_not_exceed_the_member_limit() {
    assert!(probes(3).has_capacity(3));
    assert!(!probes(4).has_capacity(3));
}

#[test]
fn answer_takes_its_probe_once() {
    let mut probes = probes(3);
    let relayed = probes.take(SequenceNumber(1)).unwrap();
    assert_eq!(relayed.requester_sequence_number, SequenceNumber(101));
    assert!(probes.take(SequenceNumber(1)).is_none());
    assert!(probes.take(SequenceNumber(9)).is_none());
}

#[test]
fn probe_expires_at_its_deadline() {
    let mut probes = probes(3);
    assert_eq!(probes.deadlines().min(), Some(seconds(10)));
    assert_eq!(probes.take_expired(seconds(10) - TICK).len(), 0);
    let expired = probes.take_expired(seconds(11));
    let numbers: Vec<u64> = expired
        .iter()
        .map(|probe| probe.sequence_number.0)
        .collect();
    assert_eq!(numbers, [0, 1]);
    assert_eq!(probes.deadlines().collect::<Vec<_>>(), [seconds(12)]);
}
