//! What clients and the replicated state machine exchange. All of it is serialized by position, on
//! the wire and in the consensus log: variants and fields keep their order.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The name of a process or a lease, shared without copying.
pub type Name = Arc<str>;

/// The longest name, in bytes. The shortest has one.
pub const MAX_NAME_BYTES: usize = 64;
/// Leases that exist at a time, at most. Bounds the replicated state and its snapshots.
pub const MAX_LEASES: usize = 20_000;
/// The largest capacity of a lease. The smallest is one.
pub const MAX_CAPACITY: u32 = 1000;
/// Owners that wait for one lease, at most.
pub const MAX_QUEUED_OWNERS: usize = 1024;
/// Leases that one client requests or holds at a time, at most.
pub const MAX_WANTED_LEASES: usize = 1024;
/// The shortest TTL. A renewal needs a round trip and a write by a majority within a third of it.
pub const MIN_LEASE_TTL: Duration = Duration::from_millis(200);
/// The longest TTL. The slot of a dead owner stays taken for about as long.
pub const MAX_LEASE_TTL: Duration = Duration::from_secs(3600);

/// A number that grows with each grant, over all leases, and is never reused. What is acted on
/// under a lease can reject a token that is older than one it has seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The token of the next grant. No other place makes tokens.
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

/// The number of a request that was applied. An expiry names the one whose TTL is over, and a later
/// renewal voids it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RenewalNumber(pub u64);

/// Identifies one run of a process. Zero stands for no run.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Relates a response to its request, within one incarnation of the sender.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId(pub u64);

/// A process and its incarnation. A process that was restarted is another owner, as nothing proves
/// that the earlier run has ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The process.
    pub name: Name,
    /// Which of its runs.
    pub incarnation: Incarnation,
}

/// What a lease is like. All requests for it must agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseSpec {
    /// How long a grant lasts without a renewal.
    pub ttl: Duration,
    /// How many owners hold it at a time.
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
        /// Who requests it.
        owner: Owner,
        /// See [`LeaseSpec::ttl`].
        ttl: Duration,
        /// See [`LeaseSpec::capacity`].
        capacity: u32,
        /// Whether to queue where no slot is free.
        wait: bool,
    },
    /// Releases a slot, or without a token a place in the queue.
    Release {
        /// The lease.
        lease: Name,
        /// Who holds it or waits.
        owner: Owner,
        /// The grant that ends.
        token: Option<FencingToken>,
    },
    /// Ends a grant or a place in the queue. The leader proposes it once the TTL is over by any
    /// clock.
    Expire {
        /// The lease.
        lease: Name,
        /// The owner whose TTL is over.
        owner: Owner,
        /// The renewal whose TTL is over.
        renewal: RenewalNumber,
    },
    /// Rejects every further renewal of a grant.
    Revoke {
        /// The lease.
        lease: Name,
        /// The grant.
        token: FencingToken,
    },
    /// Revokes a grant and queues a process first.
    Transfer {
        /// The lease.
        lease: Name,
        /// The grant that is revoked.
        token: FencingToken,
        /// The process that is served next.
        to: Name,
    },
}

impl Command {
    /// The incarnation of the owner that sent the command; zero where an operator or the leader
    /// did.
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
        /// Stays the same for as long as the slot is held without a break.
        token: FencingToken,
    },
    /// The owner waits.
    Queued {
        /// Owners that are served before it.
        ahead: u32,
    },
    /// The command was applied.
    Done,
    /// The command changed nothing.
    Rejected(RejectReason),
}

/// Why a command was rejected.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
pub enum RejectReason {
    /// No slot is free, and the owner does not wait.
    #[error("all slots of the lease are held")]
    AtCapacity,
    /// See [`MAX_QUEUED_OWNERS`].
    #[error("too many owners wait for the lease (at most {MAX_QUEUED_OWNERS} may)")]
    QueueFull,
    /// See [`MAX_LEASES`].
    #[error("there are too many leases (at most {MAX_LEASES})")]
    TooManyLeases,
    /// Others requested the lease with another [`LeaseSpec`].
    #[error("the lease has a TTL of {ttl:?} and a capacity of {capacity}")]
    SpecMismatch {
        /// Its TTL.
        ttl: Duration,
        /// Its capacity.
        capacity: u32,
    },
    /// A name, TTL, capacity or step is outside its limits.
    #[error(
        "names have 1 to {MAX_NAME_BYTES} bytes, TTLs are {MIN_LEASE_TTL:?} to {MAX_LEASE_TTL:?}, \
         capacities 1 to {MAX_CAPACITY}, and a step is short against its TTL"
    )]
    Invalid,
    /// The grant was revoked.
    #[error("the lease is being revoked")]
    Revoked,
    /// No owner holds the lease with that token.
    #[error("nobody holds it with that token")]
    StaleToken,
    /// See [`MAX_WANTED_LEASES`].
    #[error("this process requests too many leases (at most {MAX_WANTED_LEASES})")]
    TooManyWanted,
}
