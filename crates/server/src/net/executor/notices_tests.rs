//! The sequence of notices.

use super::NoticeSequence;

#[test]
fn a_notice_that_is_sent_again_is_not_new() {
    let mut notices = NoticeSequence::default();
    assert_eq!(
        [1, 2, 2, 1].map(|notice| notices.is_new(notice)),
        [true, true, false, false]
    );
    assert_eq!(notices.last(), 2);
    assert!(!notices.take_gap());
}

/// The executor keeps a limited number of notices. A run whose end was among the others would wait
/// until its deadline.
#[test]
fn a_skipped_number_is_a_gap_until_it_is_taken() {
    let mut notices = NoticeSequence::default();
    notices.is_new(1);
    notices.is_new(3);
    notices.is_new(4);
    assert!(notices.take_gap());
    assert!(!notices.take_gap());
    assert_eq!(notices.last(), 4);
}
