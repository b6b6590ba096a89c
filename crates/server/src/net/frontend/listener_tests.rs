//! The cause of a failed accept for each error of the system.

use std::io;

use tulipgap_connection_limits::AcceptError;

use super::accept_error;

fn cause(code: i32) -> AcceptError {
    accept_error(&io::Error::from_raw_os_error(code))
}

#[test]
fn descriptor_and_memory_exhaustion_are_recognized() {
    assert_eq!(cause(libc::EMFILE), AcceptError::ProcessDescriptorLimit);
    assert_eq!(cause(libc::ENFILE), AcceptError::SystemDescriptorLimit);
    assert_eq!(cause(libc::ENOMEM), AcceptError::OutOfMemory);
    assert_eq!(cause(libc::ENOBUFS), AcceptError::OutOfMemory);
}

/// Guards against network or firewall errors of one connection that the server would treat as a
/// lack of descriptors, so that other clients lose their connections.
#[test]
fn other_errors_are_not_descriptor_exhaustion() {
    assert_eq!(cause(libc::ENETUNREACH), AcceptError::ConnectionAborted);
    assert_eq!(cause(libc::EPROTO), AcceptError::ConnectionAborted);
    assert_eq!(cause(libc::EPERM), AcceptError::Other);
    assert_eq!(cause(libc::EINVAL), AcceptError::Other);
}
