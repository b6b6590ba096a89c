use super::ms;
use crate::backlog_wait::BacklogWait;

/// Guards against connections that yield although the backlog was emptied in the meantime.
#[test]
fn wait_is_too_long_after_200_ms_without_an_accepted_connection() {
    let mut wait = BacklogWait::default();
    assert!(!wait.is_too_long(ms(1000)));
    assert!(!wait.is_too_long(ms(1200)));
    assert!(wait.is_too_long(ms(1201)));
    assert!(!wait.is_too_long(ms(1401)), "the next wait begins");
    wait.end();
    assert!(!wait.is_too_long(ms(1500)));
    assert!(!wait.is_too_long(ms(1700)));
    assert!(wait.is_too_long(ms(1701)));
}
