//! Connections to peers over sockets: a module for each peer, and shared modules.

pub(crate) mod connect;
pub(crate) mod executor;
pub(crate) mod frontend;
pub(crate) mod lines;
pub(crate) mod registration;
mod ring_buffer;
pub(crate) mod store;
pub(crate) mod stream;

use may::coroutine;

/// Starts a coroutine.
pub(crate) fn spawn(body: impl FnOnce() + Send + 'static) {
    // Safe if the body uses no thread-local storage across a coroutine switch and does not overflow
    // its stack. All bodies in this program comply: buffers are on the heap, and the only recursion
    // is the bounded skipping of unknown fields.
    drop(unsafe { coroutine::spawn(body) });
}

/// A minimal configuration for unit tests.
#[cfg(test)]
pub(crate) fn test_config() -> (tulipgap::Config, tulipgap_settings::Names) {
    let settings = r#"{"classes":[{"name":"page","objective":1e3,"deadline":2e3,"worth":1.0,"effect":"pure"}],
        "family_info":{"below":"silent","blowup":4.0,"cores":2,"halt":"drop","idle":9e3,"mem_limit_kb":9e3,
        "say":"weight"},"fleet_size":3,"limits":{"max_retry_after":1e3,"retry_after":true},"rules":{"cold_from":0.3,
        "drain_grace":1e3,"fall":2e3,"fall_multiple":4.0,"grace_to_answer":60.0,"warm_up":9e3}}"#;
    let settings: tulipgap_settings::Settings = settings.parse().unwrap();
    (settings.controller_config().unwrap(), settings.names())
}
