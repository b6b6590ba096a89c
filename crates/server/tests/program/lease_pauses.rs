//! Lease owners that are paused at one step of an operation, for half of the TTL to three times the
//! TTL. At every step, no operation of a running member may overlap an operation of another one.

use tulipgap_fault_injection::OperationStep;

use crate::harness::lease_runs::run_until_operations_resume;

/// The pauses: member, begin and end in seconds. The TTL is 2 s.
const PAUSES: [(&str, f64, f64); 5] = [
    ("a-1", 3.0, 4.0),
    ("b-1", 5.0, 7.0),
    ("a-2", 8.0, 11.0),
    ("b-2", 12.0, 16.0),
    ("c-1", 17.0, 23.0),
];

/// Pauses each member in turn once it reaches the step. A member that owns no lease is not paused.
fn pause_members_at(step: OperationStep) {
    let block = |(member, at, back): (&str, f64, f64)| {
        let step = step.keyword();
        format!("stop {{\n at = {at}\n of = \"{member}\"\n back = {back}\n step = \"{step}\"\n}}\n")
    };
    let outcome = run_until_operations_resume(step.keyword(), &PAUSES.map(block).concat());
    for pause in &outcome.pauses {
        println!("{}: {pause:?}", step.keyword());
    }
    assert!(!outcome.pauses.is_empty(), "no owner reached the step");
}

/// Guards against an operation under a lease that has ended: the owner is paused before it checks
/// its lease, and the lease is granted to another member during the pause. The operation after the
/// pause must not overlap an operation of the new owner.
#[test]
fn an_owner_paused_before_it_checks_its_lease_overlaps_no_other_owner() {
    pause_members_at(OperationStep::BeforeCheck);
}

/// Guards against an operation that takes effect because its lease was valid at the check: the
/// owner is paused after the check and before it reports the beginning of the operation, and the
/// lease is granted to another member. No more operations may overlap than the lease has capacity
/// for, except that a newer token may fence off the operation of the paused owner. Operations must
/// resume.
#[test]
fn an_owner_paused_between_check_and_operation_violates_no_invariant() {
    pause_members_at(OperationStep::Checked);
}

/// Guards against an operation that takes effect because its beginning was reported in time: the
/// owner is paused before it reads the response to that report, and the lease is granted to another
/// member. No more operations may overlap than the lease has capacity for, except that a newer
/// token may fence off the operation of the paused owner. Operations must resume.
#[test]
fn an_owner_paused_while_its_begin_is_in_transit_violates_no_invariant() {
    pause_members_at(OperationStep::BeginSent);
}

/// Guards against two operations that take effect at the same time: the owner is paused while its
/// operation is in progress, and the lease is granted to another member. No more operations may
/// overlap than the lease has capacity for, except that a newer token may fence off the operation
/// of the paused owner. Operations must resume.
#[test]
fn an_owner_paused_in_the_middle_of_an_operation_violates_no_invariant() {
    pause_members_at(OperationStep::UnderWay);
}

/// Guards against an operation that ends under a newer token: the owner is paused after the
/// operation is done and before it reports its end, and the lease is granted to another member. No
/// more operations may overlap than the lease has capacity for, except that a newer token may fence
/// off the operation of the paused owner. Operations must resume.
#[test]
fn an_owner_paused_before_it_reports_the_end_violates_no_invariant() {
    pause_members_at(OperationStep::BeforeEnd);
}
