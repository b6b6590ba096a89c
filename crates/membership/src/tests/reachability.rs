use std::time::Duration;

use super::{TICK, node_names, seconds};
use crate::reachability::{
    LinkState, MAX_UNREACHABLE_PEERS, Reachability, peers_to_publish, recent_window,
};

const WINDOW: Duration = Duration::from_secs(10);

#[test]
fn window_is_two_rounds_of_one_period_for_each_node() {
    let half_second = Duration::from_millis(500);
    assert_eq!(recent_window(half_second, 0), seconds(1));
    assert_eq!(recent_window(half_second, 9), seconds(10));
}

#[test]
fn live_member_is_reachable_until_its_last_answer_is_older_than_the_window() {
    let mut link = LinkState::default();
    let at = |link: &LinkState, is_live, now| link.reachability(is_live, now, WINDOW);
    assert_eq!(at(&link, true, seconds(1)), Reachability::Unreachable);
    link.record_ack(seconds(1));
    assert_eq!(at(&link, true, seconds(11)), Reachability::Reachable);
    assert_eq!(
        at(&link, true, seconds(11) + TICK),
        Reachability::Unreachable
    );
    assert_eq!(at(&link, false, seconds(1)), Reachability::Unreachable);
}

#[test]
fn message_counts_only_where_no_probe_was_ever_answered() {
    let mut link = LinkState::default();
    link.record_message(seconds(20));
    assert_eq!(
        link.reachability(true, seconds(21), WINDOW),
        Reachability::Reachable
    );
    link.record_ack(seconds(1));
    assert_eq!(
        link.reachability(true, seconds(21), WINDOW),
        Reachability::Unreachable
    );
}

#[test]
fn answer_to_a_relay_only_shows_a_link_broken_in_one_or_both_directions() {
    let mut link = LinkState::default();
    assert!(link.record_answer_to_relay_only());
    assert!(!link.record_answer_to_relay_only(), "already recorded");
    assert_eq!(
        link.reachability(true, seconds(1), WINDOW),
        Reachability::IndirectOnly
    );
    link.record_message(seconds(1));
    assert_eq!(
        link.reachability(true, seconds(11), WINDOW),
        Reachability::AsymmetricPartition
    );
    assert_eq!(
        link.reachability(true, seconds(11) + TICK, WINDOW),
        Reachability::IndirectOnly
    );
    assert!(link.record_ack(seconds(30)), "the link works again");
    assert!(!link.record_ack(seconds(31)));
    assert_eq!(
        link.reachability(true, seconds(31), WINDOW),
        Reachability::Reachable
    );
}

#[test]
fn update_keeps_the_times_of_the_same_address_and_the_unreachable_mark_of_a_live_member() {
    let mut link = LinkState::default();
    link.record_ack(seconds(1));
    let same = link.after_update(true, true);
    assert_eq!(
        same.reachability(true, seconds(1), WINDOW),
        Reachability::Reachable
    );
    let moved = link.after_update(false, true);
    assert_eq!(
        moved.reachability(true, seconds(1), WINDOW),
        Reachability::Unreachable
    );
    link.record_answer_to_relay_only();
    assert!(link.after_update(true, true).is_directly_unreachable());
    assert!(!link.after_update(true, false).is_directly_unreachable());
}

#[test]
fn first_peers_up_to_the_maximum_are_published() {
    let names: Vec<String> = (10..40).map(|number| format!("m{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let peers = peers_to_publish(node_names(&names).into_iter());
    assert_eq!(peers.len(), MAX_UNREACHABLE_PEERS);
    assert!(peers.contains("m10") && peers.contains("m25") && !peers.contains("m26"));
}
