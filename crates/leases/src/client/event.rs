//! The client's input events, output actions and configuration.

use std::fmt;
use std::time::Duration;

use crate::protocol::{
    Command, FencingToken, Incarnation, LeaseSpec, Name, RejectReason, RequestId, Response,
};

/// The clock drift and jitter that a client allows for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Config {
    /// The maximum error of a clock's rate, in thousandths.
    pub max_clock_drift_permille: u32,
    /// The jitter: the maximum random extension of a pause, in thousandths of the pause.
    pub jitter_permille: u32,
}

/// Input events of a client.
#[derive(Clone, Debug)]
pub enum Event {
    /// The host wants a lease. If the lease is already wanted or is still being released, the
    /// client checks the fields but keeps those of the first request.
    Acquire {
        /// The lease.
        lease: Name,
        /// The TTL and capacity, on which all requests for the lease must agree.
        spec: LeaseSpec,
        /// Maximum duration of an operation under a guard. Guards become stale this long before the
        /// end of the TTL that the client may use.
        max_operation: Duration,
        /// Whether to queue if no slot is free.
        wait: bool,
    },
    /// The host no longer wants a lease.
    Release {
        /// The lease.
        lease: Name,
    },
    /// A voter's response.
    Response {
        /// The run of this process that sent the request. The voters may apply a request of an
        /// earlier run only now.
        incarnation: Incarnation,
        /// The id of the request.
        request: RequestId,
        /// The result of the request.
        response: Response,
    },
    /// A voter rejected a request: it does not lead, or it leads and can't accept proposals now
    /// (it has too many bytes of uncommitted entries, or it transfers leadership).
    NotLeader {
        /// The id of the request.
        request: RequestId,
        /// The leader, if the voter knows it.
        leader: Option<Name>,
    },
    /// A queued client would be granted a slot if it requested it now.
    SlotAvailable {
        /// The lease.
        lease: Name,
    },
    /// A timer that was set has elapsed.
    TimerElapsed,
}

/// Output actions of a client. Its host performs them in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a command to a voter.
    Send {
        /// The voter.
        to: Name,
        /// The id that the response repeats.
        request: RequestId,
        /// The command.
        command: Command,
    },
    /// A lease was acquired: guards are issued from now on.
    Acquired {
        /// The lease.
        lease: Name,
        /// The fencing token of the grant.
        token: FencingToken,
    },
    /// A lease ended: the host must stop all work under it now.
    Lost {
        /// The lease.
        lease: Name,
        /// The fencing token of the grant that ended.
        token: FencingToken,
        /// Why it ended.
        reason: LossReason,
    },
    /// A lease was not granted. The client requests it again later, unless the client itself
    /// rejected it.
    Rejected {
        /// The lease.
        lease: Name,
        /// Why it was not granted.
        reason: RejectReason,
    },
    /// Send [`Event::TimerElapsed`] at that time.
    SetTimer {
        /// The time, by this process's clock.
        at: Duration,
    },
}

/// Why a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// No renewal was confirmed before its guards became stale, or a later grant replaced it.
    Expired,
    /// An operator or another process revoked it.
    Revoked,
    /// The host released it.
    Released,
    /// The clock went backwards, so it can't measure a TTL.
    ClockWentBackwards,
}

impl fmt::Display for LossReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LossReason::Expired => "expired",
            LossReason::Revoked => "revoked",
            LossReason::Released => "released",
            LossReason::ClockWentBackwards => "clock_went_backwards",
        })
    }
}
