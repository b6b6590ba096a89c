use std::collections::BTreeSet;

use super::update;
use crate::local_node::LocalNode;
use crate::message::{Incarnation, MemberState};
use crate::metadata::{MAX_METADATA_ENTRIES, MAX_METADATA_TEXT_BYTES, MetadataError};

fn local_node() -> LocalNode {
    LocalNode::new(update("a", 1, 0, MemberState::Alive).node, Incarnation(3))
}

#[test]
fn incarnation_rises_above_a_known_one_and_never_falls() {
    let mut local = local_node();
    for (known, expected) in [(1, 3), (2, 3), (3, 4), (9, 10), (u64::MAX, u64::MAX)] {
        local.raise_incarnation_above(Incarnation(known));
        assert_eq!(local.update().incarnation, Incarnation(expected));
    }
}

#[test]
fn change_of_the_metadata_raises_the_incarnation_and_an_equal_entry_does_not() {
    let mut local = local_node();
    assert_eq!(local.set_metadata("k", Some("1")), Ok(true));
    assert_eq!(local.update().incarnation, Incarnation(4));
    assert_eq!(local.set_metadata("k", Some("1")), Ok(false));
    assert_eq!(local.set_metadata("other", None), Ok(false));
    assert_eq!(local.update().incarnation, Incarnation(4));
    assert_eq!(local.set_metadata("k", None), Ok(true));
    assert_eq!(local.update().incarnation, Incarnation(5));
    assert!(local.update().metadata.is_empty());
}

#[test]
fn key_and_value_are_accepted_up_to_the_maximum_length() {
    let mut local = local_node();
    let longest = "x".repeat(MAX_METADATA_TEXT_BYTES);
    let too_long = "x".repeat(MAX_METADATA_TEXT_BYTES + 1);
    assert_eq!(local.set_metadata(&longest, Some(&longest)), Ok(true));
    let error = |key: &str| MetadataError::TooLong {
        key: key.to_owned(),
    };
    assert_eq!(local.set_metadata("k", Some(&too_long)), Err(error("k")));
    assert_eq!(local.set_metadata(&too_long, None), Err(error(&longest)));
    let empty = local.set_metadata("", Some("1"));
    assert_eq!(empty, Err(MetadataError::EmptyKey));
}

#[test]
fn entry_beyond_the_maximum_is_rejected_and_an_existing_one_may_change() {
    let mut local = local_node();
    for number in 0..MAX_METADATA_ENTRIES {
        assert_eq!(
            local.set_metadata(&format!("k{number}"), Some("1")),
            Ok(true)
        );
    }
    let count = MAX_METADATA_ENTRIES + 1;
    let error = MetadataError::TooManyEntries { count };
    assert_eq!(local.set_metadata("more", Some("1")), Err(error));
    assert_eq!(local.set_metadata("k0", Some("2")), Ok(true));
}

#[test]
fn change_of_the_unreachable_peers_raises_the_incarnation() {
    let mut local = local_node();
    assert!(!local.set_unreachable_peers(BTreeSet::new()));
    assert!(local.set_unreachable_peers(BTreeSet::from(["b".into()])));
    assert!(!local.set_unreachable_peers(BTreeSet::from(["b".into()])));
    assert_eq!(local.update().incarnation, Incarnation(4));
}

#[test]
fn leaving_keeps_the_incarnation() {
    let mut local = local_node();
    local.leave();
    let update = local.update();
    assert_eq!(
        (update.state, update.incarnation),
        (MemberState::Left, Incarnation(3))
    );
}
