//! The record of an open connection.

use std::net::IpAddr;
use std::time::Duration;

use crate::descriptor_owner::DescriptorOwner;
use crate::event::CloseReason;

/// An open connection. Owned by the limiter.
pub(crate) struct Connection {
    pub(crate) address: IpAddr,
    /// The owner of the connection's descriptor, which records whether the client was known when it
    /// connected.
    pub(crate) owner: DescriptorOwner,
    pub(crate) accepted_at: Duration,
    pub(crate) last_used_at: Duration,
    /// The time at which the client was asked to close the connection.
    pub(crate) close_requested_at: Option<Duration>,
    /// The start of the message timeout, for the first message or for a message that has started;
    /// `None` if no message is due.
    pub(crate) message_awaited_since: Option<Duration>,
    /// The time at which the incomplete message started, if there is one.
    pub(crate) partial_message_since: Option<Duration>,
    pub(crate) has_sent_message: bool,
    /// The last time at which a request on it was answered with a result.
    pub(crate) last_served_at: Option<Duration>,
    /// The last time at which a request on it was rejected.
    pub(crate) last_rejected_at: Option<Duration>,
    /// Requests and health checks in flight.
    pub(crate) open_requests: u32,
    /// A message timed out while a request was in flight: the limiter closes the connection once no
    /// request is in flight.
    pub(crate) is_message_overdue: bool,
    /// The client did not close the connection in time while a request was in flight: the limiter
    /// closes the connection once no request is in flight.
    pub(crate) is_close_overdue: bool,
    /// The limiter has returned the action that closes the connection.
    pub(crate) is_closing: bool,
}

impl Connection {
    pub(crate) fn new(address: IpAddr, owner: DescriptorOwner, now: Duration) -> Self {
        Connection {
            address,
            owner,
            accepted_at: now,
            last_used_at: now,
            close_requested_at: None,
            message_awaited_since: Some(now),
            partial_message_since: None,
            has_sent_message: false,
            last_served_at: None,
            last_rejected_at: None,
            open_requests: 0,
            is_message_overdue: false,
            is_close_overdue: false,
            is_closing: false,
        }
    }

    /// The reason for which the limiter closes the connection once no request is in flight; `None`
    /// if the connection is not overdue.
    pub(crate) fn overdue(&self) -> Option<CloseReason> {
        if self.is_message_overdue {
            Some(CloseReason::MessageTimeout)
        } else if self.is_close_overdue {
            Some(CloseReason::CloseTimeout)
        } else {
            None
        }
    }

    /// Whether no request is in flight and the message timeout does not run.
    pub(crate) fn is_idle(&self) -> bool {
        self.open_requests == 0 && self.message_awaited_since.is_none()
    }
}
