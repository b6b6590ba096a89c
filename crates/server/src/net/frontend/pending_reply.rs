//! The reply to a request, which is sent exactly once, whatever becomes of its handling.

use std::cell::Cell;
use std::sync::Arc;

use tulipgap_connection_limits::Event;

use super::codec::{self, Reply};
use super::connection::Connection;
use super::connection_table::ConnectionTable;
use crate::invariant;

/// The reply that a request's connection waits for. The request leaves its connection's open
/// requests once it is answered, or when this is dropped without a reply.
pub(super) struct PendingReply {
    table: Arc<ConnectionTable>,
    connection: Arc<Connection>,
    sequence: i32,
    is_concluded: Cell<bool>,
}

impl PendingReply {
    /// The pending reply to the open request of this sequence number.
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
        // The reputation of a client grows with the requests that were served, and not with those
        // that were rejected.
        let is_answered = matches!(reply, Reply::Result { .. });
        self.table.notify(Event::RequestFinished {
            connection: self.connection.id,
            is_answered,
        });
    }
}

impl Drop for PendingReply {
    /// Concludes without a reply. Where its handling panics, its caller gets a failure: it would
    /// otherwise wait until its timeout.
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
