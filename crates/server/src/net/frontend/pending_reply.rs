//! The reply to a request, which is sent exactly once, even if the code that handles the request
//! panics.

use std::cell::Cell;
use std::sync::Arc;

use tulipgap_connection_limits::Event;

use super::codec::{self, Reply};
use super::connection::Connection;
use super::connection_table::ConnectionTable;
use crate::invariant;

/// The pending reply to an open request. The request is removed from the open requests of its
/// connection when the reply is sent, or when this value is dropped without a reply.
pub(super) struct PendingReply {
    table: Arc<ConnectionTable>,
    connection: Arc<Connection>,
    sequence: i32,
    is_concluded: Cell<bool>,
}

impl PendingReply {
    /// The pending reply to the open request with this sequence number.
    pub(super) fn new(
        table: &Arc<ConnectionTable>,
        connection: &Arc<Connection>,
        sequence: i32,
    ) -> Self {
        PendingReply {
            table: table.clone(),
            connection: connection.clone(),
            sequence,
            is_concluded: Cell::new(false),
        }
    }

    /// Sends the reply.
    pub(super) fn send(&self, reply: &Reply) {
        invariant!(
            !self.is_concluded.replace(true),
            "a request is answered once on its connection"
        );
        self.connection
            .conclude(codec::PROCESS, self.sequence, reply, |open_requests| {
                open_requests.remove(&self.sequence);
            });
        let connection = self.connection.id;
        if matches!(reply, Reply::Rejected { .. } | Reply::Exception(_)) {
            self.table.notify(Event::RequestRejected { connection });
        }
        // The reputation of a client grows with served requests, and not with rejected ones.
        let is_answered = matches!(reply, Reply::Result { .. });
        self.table.notify(Event::RequestFinished {
            connection,
            is_answered,
        });
    }
}

impl Drop for PendingReply {
    /// Removes the request if no reply was sent. During a panic, it also sends a failure to the
    /// caller, which would otherwise wait until its timeout.
    fn drop(&mut self) {
        if !self.is_concluded.get() && std::thread::panicking() {
            self.send(&Reply::Failed { fields: &[] });
        } else if !self.is_concluded.replace(true) {
            self.connection.open_requests.lock().remove(&self.sequence);
            let connection = self.connection.id;
            self.table.notify(Event::RequestFinished {
                connection,
                is_answered: false,
            });
            self.connection.output.wake();
        }
    }
}
