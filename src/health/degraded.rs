//! Whether another server would serve a request better than this one.
//!
//! A degraded server sends the longest retry-after, refers rejected requests to other servers and
//! tolerates less uncertainty of predictions while a core is idle. Without this, its callers would
//! return to it one after the other and would be served late or not at all. A server is degraded
//! while it drains, while many of its runs fail and while it is far slower than usual. The cost is
//! that the other servers receive the load of the callers that leave.

/// Whether this server is degraded: it drains, its runs fail often, or it is far slower than usual.
pub(crate) fn is_degraded(is_draining: bool, is_failing: bool, is_slow: bool) -> bool {
    is_draining || is_failing || is_slow
}
