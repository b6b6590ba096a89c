//! The limit on open requests by memory.

use super::MemoryLimit;

#[test]
fn open_requests_are_admitted_up_to_the_memory_limit() {
    // 0.45 of 192 MB, at 24 KB each.
    let limit = MemoryLimit::new(192.0);
    assert!(limit.admits(0));
    assert!(limit.admits(3685));
    assert!(!limit.admits(3686));
}
