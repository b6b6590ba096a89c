//! The sequence of notices.

use super::NoticeSequence;

#[test]
fn a_repeated_notice_is_not_new() {
    let mut notices = NoticeSequence::default();
    assert_eq!(
        [1, 2, 2, 1].map(|notice| notices.record(notice)),
        [true, true, false, false]
    );
    assert_eq!(notices.last(), 2);
    assert!(!notices.take_gap());
}

/// Guards against a run that waits until its deadline because the notice of its end is among those
/// that the executor no longer keeps.
#[test]
fn a_skipped_number_is_reported_as_a_gap_once() {
    let mut notices = NoticeSequence::default();
    notices.record(1);
    notices.record(3);
    notices.record(4);
    assert!(notices.take_gap());
    assert!(!notices.take_gap());
    assert_eq!(notices.last(), 4);
}
