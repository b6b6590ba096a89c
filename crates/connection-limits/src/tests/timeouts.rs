use super::{idle_connection, ms, silent_connection};
use crate::connection::Connection;
use crate::descriptor_owner::DescriptorOwner;
use crate::event::CloseReason;
use crate::timeouts::{DeadlineOutcome, Timeouts};

fn timeouts() -> Timeouts {
    Timeouts::new(ms(1500), ms(5000))
}

#[test]
fn message_is_overdue_after_the_message_timeout() {
    let handle = |at| timeouts().handle_deadline(&silent_connection(), ms(at));
    assert_eq!(handle(1499), DeadlineOutcome::Extend(ms(1500)));
    assert_eq!(handle(1500), DeadlineOutcome::MessageOverdue);
}

#[test]
fn idle_connection_is_asked_to_close_and_closed_when_the_client_does_not() {
    let idle = idle_connection(DescriptorOwner::NewClients);
    let handle = |at| timeouts().handle_deadline(&idle, ms(at));
    assert_eq!(handle(4999), DeadlineOutcome::Extend(ms(5000)));
    assert_eq!(handle(5000), DeadlineOutcome::RequestClose);

    let asked = Connection {
        close_requested_at: Some(ms(5000)),
        ..idle
    };
    let handle = |at| timeouts().handle_deadline(&asked, ms(at));
    assert_eq!(handle(6999), DeadlineOutcome::Extend(ms(7000)));
    let closed = DeadlineOutcome::Close(CloseReason::CloseTimeout);
    assert_eq!(handle(7000), closed);
}

#[test]
fn clients_have_sixty_milliseconds_to_close_while_the_server_drains() {
    let mut timeouts = timeouts();
    timeouts.start_drain();
    let asked = Connection {
        close_requested_at: Some(ms(0)),
        ..idle_connection(DescriptorOwner::NewClients)
    };
    assert_eq!(timeouts.idle_deadline(&asked, ms(10)), ms(60));
    let closed = DeadlineOutcome::Close(CloseReason::CloseTimeout);
    assert_eq!(timeouts.handle_deadline(&asked, ms(60)), closed);
}

#[test]
fn connection_with_a_request_in_flight_stays() {
    let busy = Connection {
        open_requests: 1,
        close_requested_at: Some(ms(0)),
        ..idle_connection(DescriptorOwner::NewClients)
    };
    let outcome = timeouts().handle_deadline(&busy, ms(60_000));
    assert_eq!(outcome, DeadlineOutcome::Nothing);
}
