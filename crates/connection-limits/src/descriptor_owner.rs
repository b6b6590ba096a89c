//! Who needs file descriptors, and what is reserved for each.

/// Who needs descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DescriptorOwner {
    /// The process itself: listener, log, runtime, and a spare one to accept and close a connection
    /// when no other is left.
    Process,
    /// The connections to the store.
    Store,
    /// Connections of clients that are not known.
    NewClients,
    /// Connections of known clients. Their reservation is on top of what all clients share.
    KnownClients,
}

impl DescriptorOwner {
    /// All owners.
    pub const ALL: [DescriptorOwner; 4] = [
        DescriptorOwner::Process,
        DescriptorOwner::Store,
        DescriptorOwner::NewClients,
        DescriptorOwner::KnownClients,
    ];

    /// The owner of the descriptor of a client's connection.
    pub(crate) fn of_client(is_known: bool) -> Self {
        if is_known {
            DescriptorOwner::KnownClients
        } else {
            DescriptorOwner::NewClients
        }
    }
}

/// Descriptors that are reserved for one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The owner.
    pub owner: DescriptorOwner,
    /// The number of descriptors.
    pub descriptors: usize,
}
