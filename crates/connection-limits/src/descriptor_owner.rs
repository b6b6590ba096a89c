//! The owners of file descriptors, and their reservations.

/// An owner of file descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DescriptorOwner {
    /// The process itself: listener, log, runtime, and a spare descriptor with which a connection
    /// is accepted and closed when no other descriptor is free.
    Process,
    /// The connections to the store.
    Store,
    /// Connections of clients without sufficient reputation.
    NewClients,
    /// Connections of known clients. Their reservation adds to the descriptors that all clients
    /// share.
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
