//! The commands and responses that clients and the replicated state machine exchange. The wire and
//! the consensus log serialize these types by position, so variants and fields keep their order.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The name of a process or a lease, shared without copying.
pub type Name = Arc<str>;

/// The denominator of fractions that are given in thousandths.
pub(crate) const PERMILLE: u32 = 1000;
/// Maximum length of a name in bytes. The minimum is one byte.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of leases that exist at a time. Bounds the replicated state and its snapshots.
pub const MAX_LEASES: usize = 20_000;
/// Maximum capacity of a lease. The minimum is one.
pub const MAX_CAPACITY: u32 = 1000;
/// Maximum number of owners that are queued for one lease.
pub const MAX_QUEUED_OWNERS: usize = 1024;
/// Maximum number of leases that one client requests or holds at a time.
pub const MAX_WANTED_LEASES: usize = 1024;
/// Minimum TTL. The round trip of a renewal and its write by a majority must fit into a third of
/// the TTL.
pub const MIN_LEASE_TTL: Duration = Duration::from_millis(200);
/// Maximum TTL. The slot of a dead owner stays taken for about one TTL.
pub const MAX_LEASE_TTL: Duration = Duration::from_secs(3600);

/// A number that increases with each grant, across all leases, and is never reused. A resource that
/// is accessed under a lease can reject a token that is older than one it has seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Issues the token of the next grant. Only this function issues tokens.
    pub(crate) fn issue_next(&mut self) -> FencingToken {
        self.0 += 1;
        *self
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The number of an applied [`Command::Acquire`] or [`Command::Transfer`]. An expiry names the
/// request whose TTL has ended, and has no effect after a later renewal.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RenewalNumber(pub u64);

/// Identifies one run of a process. Zero stands for no run.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Matches a response to its request, within one incarnation of the sender.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub u64);

/// A process and its incarnation. A restarted process is a different owner, because nothing proves
/// that its earlier run has ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The process.
    pub name: Name,
    /// The run of the process.
    pub incarnation: Incarnation,
}

/// The TTL and capacity of a lease. All requests for a lease must agree on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseSpec {
    /// How long a grant lasts without a renewal.
    pub ttl: Duration,
    /// How many owners may hold the lease at a time.
    pub capacity: u32,
}

impl LeaseSpec {
    /// Whether TTL and capacity are within their limits.
    pub(crate) fn is_valid(&self) -> bool {
        (MIN_LEASE_TTL..=MAX_LEASE_TTL).contains(&self.ttl)
            && (1..=MAX_CAPACITY).contains(&self.capacity)
    }
}

/// Whether a name's length is within its limits.
pub(crate) fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

/// A change of the replicated state. Voters apply all commands in the same order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Acquires a slot, renews one that is held, or keeps a place in the queue.
    Acquire {
        /// The lease.
        lease: Name,
        /// The owner that requests the lease.
        owner: Owner,
        /// See [`LeaseSpec::ttl`].
        ttl: Duration,
        /// See [`LeaseSpec::capacity`].
        capacity: u32,
        /// Whether to queue the owner if no slot is free.
        wait: bool,
    },
    /// Releases a slot, or a place in the queue if there is no token.
    Release {
        /// The lease.
        lease: Name,
        /// The owner that holds the slot or is queued.
        owner: Owner,
        /// The token of the grant that ends.
        token: Option<FencingToken>,
    },
    /// Removes an owner from its slot or from the queue. The leader proposes it after the TTL has
    /// ended, even if the leader's clock is fast by the maximum drift.
    Expire {
        /// The lease.
        lease: Name,
        /// The owner whose TTL has ended.
        owner: Owner,
        /// The request whose TTL has ended.
        renewal: RenewalNumber,
    },
    /// Rejects every further renewal of a grant.
    Revoke {
        /// The lease.
        lease: Name,
        /// The token of the grant.
        token: FencingToken,
    },
    /// Revokes a grant and puts a process first in the queue.
    Transfer {
        /// The lease.
        lease: Name,
        /// The token of the grant that is revoked.
        token: FencingToken,
        /// The process that is granted the next free slot.
        to: Name,
    },
}

impl Command {
    /// The incarnation of the owner that sent the command; zero if an operator or the leader sent
    /// it.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Command::Acquire { owner, .. } | Command::Release { owner, .. } => owner.incarnation,
            Command::Expire { .. } | Command::Revoke { .. } | Command::Transfer { .. } => {
                Incarnation::default()
            }
        }
    }

    /// The lease that the command is about.
    pub fn lease(&self) -> &Name {
        match self {
            Command::Acquire { lease, .. }
            | Command::Release { lease, .. }
            | Command::Expire { lease, .. }
            | Command::Revoke { lease, .. }
            | Command::Transfer { lease, .. } => lease,
        }
    }
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Response {
    /// The owner holds a slot.
    Granted {
        /// The token of the grant. It stays the same while the owner holds the slot without
        /// interruption.
        token: FencingToken,
    },
    /// The owner is queued.
    Queued {
        /// Number of owners before it in the queue.
        ahead: u32,
    },
    /// The command was applied.
    Done,
    /// The command was rejected and changed no lease.
    Rejected(RejectReason),
}

/// Why a command was rejected.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
pub enum RejectReason {
    /// All slots are held or go to queued owners, and the request does not ask to be queued.
    #[error("all slots of the lease are held")]
    AtCapacity,
    /// See [`MAX_QUEUED_OWNERS`].
    #[error("too many owners wait for the lease (at most {MAX_QUEUED_OWNERS} may)")]
    QueueFull,
    /// See [`MAX_LEASES`].
    #[error("there are too many leases (at most {MAX_LEASES})")]
    TooManyLeases,
    /// The lease exists with another [`LeaseSpec`].
    #[error("the lease has a TTL of {ttl:?} and a capacity of {capacity}")]
    SpecMismatch {
        /// The TTL of the existing lease.
        ttl: Duration,
        /// The capacity of the existing lease.
        capacity: u32,
    },
    /// A name, TTL, capacity or `max_operation` is outside its limits.
    #[error(
        "names have 1 to {MAX_NAME_BYTES} bytes, TTLs are {MIN_LEASE_TTL:?} to {MAX_LEASE_TTL:?}, \
         capacities 1 to {MAX_CAPACITY}, and a step is short against its TTL"
    )]
    Invalid,
    /// The grant was revoked.
    #[error("the lease is being revoked")]
    Revoked,
    /// The command names a lease, a grant or a queue place that does not exist.
    #[error("nobody holds it with that token")]
    StaleToken,
    /// See [`MAX_WANTED_LEASES`].
    #[error("this process requests too many leases (at most {MAX_WANTED_LEASES})")]
    TooManyWanted,
}
