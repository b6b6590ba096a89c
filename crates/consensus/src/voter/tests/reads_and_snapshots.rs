//! Tests of linearizable reads, of notifications about free slots, and of taking and resending
//! snapshots.

use std::time::Duration;

use tulipgap_leases::{Command, Incarnation, LeaseStateMachine, Name, Owner, RequestId};

use crate::event::{Action, MAX_LISTED_LEASES};
use crate::voter::linearizable_reads::{
    LinearizableReads, MAX_PENDING_READS, ReadRequest, read_leases,
};
use crate::voter::proposals::slot_notifications;
use crate::voter::snapshot::{SnapshotSchedule, SnapshotTransfers};

fn read(request: u64) -> ReadRequest {
    ReadRequest {
        from: "reader".into(),
        request: RequestId(request),
        lease: None,
    }
}

fn confirmed(request: u64, index: u64) -> raft::ReadState {
    raft::ReadState {
        index,
        request_ctx: read(request).encode(),
    }
}

fn acquire(lease: &str, owner: &str) -> Command {
    Command::Acquire {
        lease: lease.into(),
        owner: owner_of(owner),
        ttl: Duration::from_secs(2),
        capacity: 1,
        wait: true,
    }
}

fn owner_of(name: &str) -> Owner {
    Owner {
        name: name.into(),
        incarnation: Incarnation(1),
    }
}

/// An entry that ends a lease may be committed before the read arrives but not applied when the
/// quorum confirms the read. An answer at that time would still show the former owner.
#[test]
fn a_confirmed_read_waits_until_its_entry_is_applied() {
    let mut reads = LinearizableReads::default();
    reads.add_confirmed(vec![confirmed(1, 10), confirmed(2, 12), confirmed(3, 11)]);
    assert_eq!(reads.take_applied(9), []);
    assert_eq!(reads.take_applied(11), [read(1), read(3)]);
    assert_eq!(reads.take_applied(12), [read(2)]);
}

#[test]
fn a_former_leader_answers_no_pending_read() {
    let mut reads = LinearizableReads::default();
    reads.add_confirmed(vec![confirmed(1, 10)]);
    reads.clear();
    assert_eq!(reads.take_applied(u64::MAX), []);
}

#[test]
fn reads_beyond_the_bound_have_no_capacity() {
    let mut reads = LinearizableReads::default();
    let last = MAX_PENDING_READS as u64;
    reads.add_confirmed((1..last).map(|request| confirmed(request, 10)).collect());
    assert!(reads.has_capacity());
    reads.add_confirmed(vec![confirmed(last, 10)]);
    assert!(!reads.has_capacity());
}

#[test]
fn a_read_of_all_leases_is_cut_at_the_bound() {
    let mut leases = LeaseStateMachine::default();
    for lease in 0..=MAX_LISTED_LEASES {
        leases.apply(&acquire(&format!("lease-{lease:04}"), "m"));
    }
    assert_eq!(read_leases(&leases, None).len(), MAX_LISTED_LEASES);
    let last: Name = format!("lease-{MAX_LISTED_LEASES:04}").into();
    assert_eq!(read_leases(&leases, Some(&last)).len(), 1);
    assert_eq!(read_leases(&leases, Some(&"other".into())).len(), 0);
}

#[test]
fn the_first_in_the_queue_is_notified_of_a_freed_slot() {
    let mut leases = LeaseStateMachine::default();
    for owner in ["m1", "m2", "m3"] {
        let command = acquire("x", owner);
        leases.apply(&command);
        assert_eq!(slot_notifications(&leases, &command).count(), 0);
    }
    let token = Some(leases.last_token());
    let release = Command::Release {
        lease: "x".into(),
        owner: owner_of("m1"),
        token,
    };
    leases.apply(&release);
    let notified: Vec<Name> = slot_notifications(&leases, &release)
        .filter_map(|action| match action {
            Action::NotifySlotAvailable { to, .. } => Some(to),
            _ => None,
        })
        .collect();
    assert_eq!(notified, ["m2".into()]);
    // An `Acquire` frees no slot, so no owner is notified.
    let command = acquire("x", "m3");
    leases.apply(&command);
    assert_eq!(slot_notifications(&leases, &command).count(), 0);
}

#[test]
fn a_snapshot_is_due_after_the_interval_of_entries() {
    let mut schedule = SnapshotSchedule::new(100);
    assert!(!schedule.is_due(99));
    assert!(schedule.is_due(100));
    schedule.record(140);
    assert!(!schedule.is_due(239));
    assert!(schedule.is_due(240));
}

/// Guards against a leader that waits indefinitely for the confirmation of a lost snapshot.
#[test]
fn a_snapshot_is_sent_again_once_it_is_unconfirmed_for_the_timeout() {
    let mut transfers = SnapshotTransfers::default();
    assert_eq!(transfers.tick(vec![7], 3), []);
    assert_eq!(transfers.tick(vec![7, 8], 3), []);
    assert_eq!(transfers.tick(vec![7, 8], 3), [7]);
    // The resend restarts the count for 7. The snapshot to 8 was confirmed, so its count is
    // dropped.
    assert_eq!(transfers.tick(vec![7], 3), []);
    assert_eq!(transfers.tick(vec![7, 8], 3), []);
    assert_eq!(transfers.tick(vec![7, 8], 3), [7]);
}
