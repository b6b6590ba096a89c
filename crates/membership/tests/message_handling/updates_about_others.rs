use tulipgap_membership::{Config, MAX_NAME_BYTES, MemberState, MessageBody};

use crate::{joined, new_membership, node, ping, receive, update};

#[test]
fn old_update_does_not_resurrect_a_member_that_has_left() {
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
        "an update with a higher incarnation does"
    );
}

#[test]
fn update_with_an_unknown_version_or_a_long_name_is_counted_as_ignored_and_not_recorded() {
    let mut unknown_version = update("s", 8, 0, MemberState::Alive);
    unknown_version.node.version = 9;
    let mut long_name = update("l", 9, 0, MemberState::Alive);
    long_name.node.name = "x".repeat(MAX_NAME_BYTES + 1).into();
    let membership = joined(vec![unknown_version, long_name]);
    assert_eq!(
        (membership.members().count(), membership.ignored_updates()),
        (0, 2)
    );
}

#[test]
fn updates_about_members_beyond_the_maximum_are_counted_as_ignored_and_not_recorded() {
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
        (membership.members().count(), membership.ignored_updates()),
        (3, 4)
    );
}
