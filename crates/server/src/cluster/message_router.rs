//! Delivers messages to members by name.
//!
//! The event loop, the operators' commands and the voter's thread share one [`MessageRouter`]. It
//! drops a message to a member whose address is not known yet, and the sender retries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;

use parking_lot::Mutex;
use tulipgap_leases::{Incarnation, Name};
use tulipgap_peer_protocol::{Envelope, Message};

use super::input::Input;
use super::peer_links::PeerLinks;

/// The maximum number of members whose addresses are stored.
const MAX_KNOWN_MEMBERS: usize = 4096;

/// Delivers messages to members by name. Its clones share the links and the known addresses.
#[derive(Clone)]
pub(crate) struct MessageRouter {
    links: Arc<PeerLinks>,
    known_addresses: Arc<Mutex<HashMap<Name, SocketAddr>>>,
    local_name: Name,
    inputs: SyncSender<Input>,
}

impl MessageRouter {
    /// A router that knows only the address of this process. Messages to itself go to `inputs`.
    pub(crate) fn new(
        links: Arc<PeerLinks>,
        local_name: Name,
        local_address: SocketAddr,
        inputs: SyncSender<Input>,
    ) -> Self {
        let known_addresses = HashMap::from([(local_name.clone(), local_address)]);
        MessageRouter {
            links,
            known_addresses: Arc::new(Mutex::new(known_addresses)),
            local_name,
            inputs,
        }
    }

    /// The name of this process.
    pub(crate) fn local_name(&self) -> &Name {
        &self.local_name
    }

    /// See [`PeerLinks::dropped_frames`].
    pub(crate) fn dropped_frames(&self) -> usize {
        self.links.dropped_frames()
    }

    /// Sends a message to a member. The message may be lost, and is dropped if the member's address
    /// is not known yet.
    pub(crate) fn send(&self, to: &Name, message: Message) {
        let known_address = self.known_addresses.lock().get(to).copied();
        let Some(address) = known_address else { return };
        if *to != self.local_name {
            return self.links.send(address, message);
        }
        let from = to.clone();
        let envelope = Envelope {
            from,
            address,
            incarnation: Incarnation::default(),
            message,
        };
        // This may run on the event loop's thread, which must not wait for its own queue.
        let _ = self.inputs.try_send(Input::Received(envelope));
    }

    /// Sends a message to an address. The message may be lost.
    pub(crate) fn send_to_address(&self, to: SocketAddr, message: Message) {
        self.links.send(to, message);
    }

    /// Stores the address of a member.
    pub(crate) fn learn_address(&self, name: &Name, address: SocketAddr) {
        let mut known = self.known_addresses.lock();
        if known.len() < MAX_KNOWN_MEMBERS || known.contains_key(name) {
            known.insert(name.clone(), address);
        }
    }
}
