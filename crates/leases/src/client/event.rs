//! The client's input events, output actions and configuration.

use std::fmt;
use std::time::Duration;

use crate::protocol::{
    Command, FencingToken, Incarnation, LeaseSpec, Name, RejectReason, RequestId, Response,
};

/// How a client measures and spreads its times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Config {
    /// How far a clock may be off in its rate, in thousandths.
    pub max_clock_drift_permille: u32,
    /// The jitter: a pause is longer by up to this fraction of it, drawn at random, in thousandths.
    pub jitter_permille: u32,
}

/// Input events of a client.
#[derive(Clone, Debug)]
pub enum Event {
    /// The host wants a lease. Where it is wanted already, or is still being released, the fields
    /// are checked and otherwise ignored: the lease keeps those that it was first requested with.
    Acquire {
        /// The lease.
        lease: Name,
        /// All that request it must agree.
        spec: LeaseSpec,
        /// How long a step under a guard takes at most. Guards become stale that much earlier.
        max_step: Duration,
        /// Whether to queue where no slot is free.
        wait: bool,
    },
    /// The host no longer wants a lease.
    Release {
        /// The lease.
        lease: Name,
    },
    /// A voter's response.
    Response {
        /// The run of this process that sent the request: an earlier run's may be applied only now.
        incarnation: Incarnation,
        /// The request.
        request: RequestId,
        /// Its result.
        response: Response,
    },
    /// A voter that does not lead rejected a request.
    NotLeader {
        /// The request.
        request: RequestId,
        /// Who leads, where the voter knows.
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
    /// A lease ended: whatever is done under it must stop now.
    Lost {
        /// The lease.
        lease: Name,
        /// The fencing token of the grant that ended.
        token: FencingToken,
        /// Why it ended.
        reason: LossReason,
    },
    /// A lease was not granted. It is requested again later, unless the client itself rejected it.
    Rejected {
        /// The lease.
        lease: Name,
        /// Why.
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
    /// Its TTL is about to end, and no voter renewed it.
    Expired,
    /// An operator or another process revoked it.
    Revoked,
    /// The host released it.
    Released,
    /// The clock went backwards, so no TTL can be measured by it.
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
