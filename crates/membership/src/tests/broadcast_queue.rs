use super::update;
use crate::broadcast_queue::{BroadcastQueue, MessageLimits, max_transmissions};
use crate::message::MemberState;

fn limits(max_updates: usize, max_transmissions: u32) -> MessageLimits {
    MessageLimits {
        max_updates,
        max_transmissions,
    }
}

fn queue_of(names: &[&str]) -> BroadcastQueue {
    let mut queue = BroadcastQueue::default();
    for name in names {
        queue.push(update(name, 1, 0, MemberState::Alive));
    }
    queue
}

fn take(queue: &mut BroadcastQueue, limits: &MessageLimits, to: Option<&str>) -> String {
    let updates = queue.take(limits, to.map(Into::into).as_ref());
    let names: Vec<&str> = updates.iter().map(|update| &*update.node.name).collect();
    names.join(" ")
}

#[test]
fn transmissions_grow_with_the_binary_logarithm_and_are_rounded_up() {
    assert_eq!(max_transmissions(4.0, 0), 4, "a lone node counts as two");
    assert_eq!(max_transmissions(4.0, 1), 7);
    assert_eq!(max_transmissions(4.0, 2), 8);
    assert_eq!(max_transmissions(4.0, 14), 16);
    assert_eq!(max_transmissions(4.0, 15), 17);
}

#[test]
fn update_leaves_the_queue_after_its_last_transmission() {
    let mut queue = queue_of(&["a"]);
    let limits = limits(5, 3);
    let sent: Vec<String> = (0..4).map(|_| take(&mut queue, &limits, None)).collect();
    assert_eq!(sent, ["a", "a", "a", ""]);
}

#[test]
fn message_carries_the_least_sent_updates_up_to_its_limit() {
    let mut queue = queue_of(&["a", "b", "c"]);
    let limits = limits(2, 9);
    assert_eq!(take(&mut queue, &limits, None), "a b");
    assert_eq!(take(&mut queue, &limits, None), "c a");
    assert_eq!(take(&mut queue, &limits, None), "b c");
}

#[test]
fn update_about_the_recipient_is_first_regardless_of_its_transmissions() {
    let mut queue = queue_of(&["a", "b", "c"]);
    let limits = limits(1, 9);
    for _ in 0..5 {
        assert_eq!(take(&mut queue, &limits, Some("c")), "c");
    }
    assert_eq!(take(&mut queue, &limits, Some("x")), "a");
}

#[test]
fn new_update_about_a_member_replaces_the_earlier_one_and_resets_its_transmissions() {
    let mut queue = queue_of(&["a"]);
    let limits = limits(5, 2);
    assert_eq!(take(&mut queue, &limits, None), "a");
    let later = update("a", 1, 1, MemberState::Suspect);
    queue.push(later.clone());
    for _ in 0..2 {
        assert_eq!(queue.take(&limits, None), std::slice::from_ref(&later));
    }
    assert_eq!(queue.take(&limits, None), []);
}
