//! Whether another server would serve a request better than this one.
//!
//! A degraded server sends the longest retry-after, sends rejected requests to others and tolerates
//! less uncertainty on an idle core. Without that its callers come back to it, one after the other,
//! and are served late or not at all. It binds while the server drains, while most of its runs fail
//! and while it is far slower than usual. The price: callers that leave load the other servers.

/// Whether this server does worse than it should, for any of these reasons.
pub(crate) fn is_degraded(is_draining: bool, is_failing: bool, is_slow: bool) -> bool {
    is_draining || is_failing || is_slow
}
