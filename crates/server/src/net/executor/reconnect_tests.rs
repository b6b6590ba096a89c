//! Pauses between links by how the links before them ended.

use std::time::Duration;

use super::{LinkEnd, Reconnect};

fn failure(was_up: bool) -> LinkEnd {
    LinkEnd {
        was_up,
        has_moved: false,
        violation_after: None,
    }
}

fn violation(notice: u64) -> LinkEnd {
    LinkEnd {
        violation_after: Some(notice),
        ..failure(true)
    }
}

fn pause_ms(reconnect: &mut Reconnect, end: &LinkEnd) -> u128 {
    reconnect.record(end);
    reconnect.pause(end).unwrap_or(Duration::ZERO).as_millis()
}

#[test]
fn links_without_a_violation_are_reopened_at_once_or_after_a_short_pause() {
    let mut reconnect = Reconnect::default();
    for _ in 0..3 {
        assert_eq!(pause_ms(&mut reconnect, &failure(true)), 0);
        assert_eq!(pause_ms(&mut reconnect, &failure(false)), 50);
    }
    let moved = LinkEnd {
        has_moved: true,
        ..failure(false)
    };
    assert_eq!(pause_ms(&mut reconnect, &moved), 0);
}

#[test]
fn pauses_double_while_a_violation_repeats_itself() {
    let mut reconnect = Reconnect::default();
    let pauses: Vec<u128> = (0..10)
        .map(|_| pause_ms(&mut reconnect, &violation(7)))
        .collect();
    assert_eq!(pauses, [0, 50, 100, 200, 400, 800, 1600, 2000, 2000, 2000]);
    for _ in 0..100 {
        assert_eq!(pause_ms(&mut reconnect, &violation(7)), 2000);
    }
}

#[test]
fn a_violation_after_another_notice_or_another_end_begins_anew() {
    let mut reconnect = Reconnect::default();
    assert!(!reconnect.record(&violation(7)));
    assert!(reconnect.record(&violation(7)));
    assert!(!reconnect.record(&violation(8)));
    assert!(reconnect.record(&violation(8)));
    assert!(!reconnect.record(&failure(true)));
    assert!(!reconnect.record(&violation(8)));
    let moved = LinkEnd {
        has_moved: true,
        ..violation(8)
    };
    assert!(!reconnect.record(&moved));
}
