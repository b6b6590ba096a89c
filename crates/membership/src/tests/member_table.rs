use super::{TICK, seconds, update};
use crate::member_table::{MemberTable, TableLimits, UpdateEffect};
use crate::message::{MemberState, MemberUpdate};

const LIMITS: TableLimits = TableLimits {
    max_members: 2,
    max_confirmations: 3,
};

const NEW_STATE: UpdateEffect = UpdateEffect::Recorded {
    has_state_changed: true,
};

fn table(updates: &[MemberUpdate]) -> MemberTable {
    let mut table = MemberTable::default();
    for update in updates {
        assert_eq!(table.apply(update, seconds(1), &LIMITS), NEW_STATE);
    }
    table
}

#[test]
fn full_table_accepts_only_updates_about_recorded_members() {
    let mut table = table(&[
        update("b", 2, 0, MemberState::Alive),
        update("c", 3, 0, MemberState::Alive),
    ]);
    let unknown_member = update("d", 4, 0, MemberState::Alive);
    let effect = table.apply(&unknown_member, seconds(2), &LIMITS);
    assert_eq!(effect, UpdateEffect::TableFull);
    let dead = update("b", 2, 0, MemberState::Dead);
    assert_eq!(table.apply(&dead, seconds(2), &LIMITS), NEW_STATE);
}

#[test]
fn unknown_dead_member_is_recorded_so_that_an_older_update_does_not_resurrect_it() {
    let mut table = table(&[update("b", 2, 3, MemberState::Dead)]);
    let older = update("b", 2, 3, MemberState::Alive);
    let effect = table.apply(&older, seconds(2), &LIMITS);
    assert_eq!(effect, UpdateEffect::Ignored);
}

#[test]
fn update_with_the_same_state_keeps_the_time_of_the_state_change() {
    let mut table = table(&[update("b", 2, 0, MemberState::Alive)]);
    let later = update("b", 2, 1, MemberState::Alive);
    let effect = table.apply(&later, seconds(5), &LIMITS);
    let has_state_changed = false;
    assert_eq!(effect, UpdateEffect::Recorded { has_state_changed });
    let since = |table: &MemberTable| table.records(seconds(9), seconds(1)).next().unwrap();
    assert_eq!(since(&table).state_since, seconds(1));
    table.apply(&update("b", 2, 1, MemberState::Dead), seconds(6), &LIMITS);
    assert_eq!(since(&table).state_since, seconds(6));
}

#[test]
fn second_reporter_confirms_a_suspicion_and_the_same_one_does_not() {
    let suspect = update("b", 2, 0, MemberState::Suspect);
    let mut table = table(std::slice::from_ref(&suspect));
    let effect = table.apply(&suspect, seconds(2), &LIMITS);
    assert_eq!(effect, UpdateEffect::Ignored);
    let confirmation = MemberUpdate {
        reported_by: Some("other".into()),
        ..suspect
    };
    let effect = table.apply(&confirmation, seconds(2), &LIMITS);
    assert_eq!(effect, UpdateEffect::SuspicionConfirmed);
    let record = table.records(seconds(2), seconds(1)).next().unwrap();
    assert_eq!(record.suspected_by, ["other".into(), "reporter".into()]);
}

#[test]
fn dead_member_is_dropped_after_its_retention_and_a_live_one_never() {
    let mut table = table(&[
        update("b", 2, 0, MemberState::Left),
        update("c", 3, 0, MemberState::Suspect),
    ]);
    table.remove_expired(seconds(11) - TICK, seconds(10));
    assert!(table.get("b").is_some());
    table.remove_expired(seconds(11), seconds(10));
    assert!(table.get("b").is_none() && table.get("c").is_some());
}
