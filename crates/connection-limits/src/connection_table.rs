//! The records of all open connections.

use crate::connection::Connection;
use crate::event::ConnectionId;

/// The open connections by index. The host assigns small indices, so they index an array.
#[derive(Default)]
pub(crate) struct ConnectionTable {
    connections: Vec<Option<Connection>>,
    open: usize,
}

impl ConnectionTable {
    /// The number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open
    }

    /// All indices up to the greatest that was ever used, with or without an open connection.
    pub(crate) fn indices(&self) -> impl Iterator<Item = ConnectionId> + use<> {
        (0..self.connections.len()).map(ConnectionId)
    }

    pub(crate) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(id.0).and_then(Option::as_ref)
    }

    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(id.0).and_then(Option::as_mut)
    }

    pub(crate) fn insert(&mut self, id: ConnectionId, connection: Connection) {
        if self.connections.len() <= id.0 {
            self.connections.resize_with(id.0 + 1, || None);
        }
        self.connections[id.0] = Some(connection);
        self.open += 1;
    }

    pub(crate) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.get_mut(id.0).and_then(Option::take)?;
        self.open -= 1;
        Some(connection)
    }
}
