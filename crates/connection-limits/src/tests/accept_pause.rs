use super::ms;
use crate::accept_pause::accept_pause;
use crate::event::AcceptError;

#[test]
fn pause_is_longer_where_closing_connections_here_does_not_help() {
    assert_eq!(accept_pause(AcceptError::ConnectionAborted), None);
    assert_eq!(
        accept_pause(AcceptError::ProcessDescriptorLimit),
        Some(ms(20))
    );
    assert_eq!(
        accept_pause(AcceptError::SystemDescriptorLimit),
        Some(ms(100))
    );
    assert_eq!(accept_pause(AcceptError::OutOfMemory), Some(ms(200)));
    assert_eq!(accept_pause(AcceptError::Other), Some(ms(20)));
}
