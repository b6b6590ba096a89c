use super::{address, update};
use crate::message::MemberState;
use crate::name_conflict::{is_name_in_use, should_concede_name};

#[test]
fn node_that_has_not_joined_always_concedes_its_name() {
    let local = update("m", 1, 9, MemberState::Alive);
    let weaker = update("m", 2, 0, MemberState::Alive);
    assert!(should_concede_name(&local, &weaker, false));
    assert!(!should_concede_name(&local, &weaker, true));
}

#[test]
fn joined_node_concedes_its_name_to_a_higher_incarnation_and_then_to_a_lower_address() {
    let local = update("m", 5, 3, MemberState::Alive);
    for (last_byte, incarnation, concedes_name) in [
        (9, 4, true),
        (1, 2, false),
        (4, 3, true),
        (6, 3, false),
        (5, 3, false),
    ] {
        let other = update("m", last_byte, incarnation, MemberState::Alive);
        assert_eq!(
            should_concede_name(&local, &other, true),
            concedes_name,
            "{other:?}"
        );
        let keeps = last_byte != 5 && should_concede_name(&other, &local, true);
        assert_eq!(
            keeps,
            last_byte != 5 && !concedes_name,
            "one of the two stops"
        );
    }
}

#[test]
fn name_is_in_use_where_the_joining_node_announces_another_address() {
    let name = "m".into();
    let same = update("m", 1, 0, MemberState::Alive);
    let other = update("m", 2, 0, MemberState::Alive);
    let third = update("t", 2, 0, MemberState::Alive);
    assert!(!is_name_in_use(address(1), &name, &[]));
    assert!(!is_name_in_use(address(1), &name, &[same.clone(), third]));
    assert!(is_name_in_use(address(1), &name, &[same, other]));
}
