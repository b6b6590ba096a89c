//! What the decision module keeps of reqs, handlers and tenants, and the names of its measures. No decision
//! is taken here.

use std::time::Duration;

use crate::interface::*;

/// What the ring of measures counts in each bucket; the arrivals of each level follow.
pub const DONE: usize = 0;
pub const RESPONSE: usize = 1;
pub const ON_CORE: usize = 2;
pub const WORK: usize = 3;
pub const ERRORED: usize = 4;
pub const CALLS: usize = 5;
pub const CALL_TIME: usize = 6;
pub const CALLS_IN_HAND: usize = 7;
pub const ARRIVED: usize = 8;
pub const ARRIVED_WORK: usize = 9;
pub const RETRIES: usize = 10;
pub const UNREAD: usize = 11;
pub const READING: usize = 12;
pub const SHED: usize = 13;
pub const CALLS_LATE: usize = 14;
pub const BUSY: usize = 15;
pub const LEVELS: usize = 16;

/// What decisions need of a handler.
pub struct Aims {
    pub target: Duration,
    pub stretch: f64,
    pub timeout: Duration,
    pub effect: Effect,
    pub repeat_window: Duration,
    pub skippable: bool,
    pub calls: bool,
    /// Rank of its value among all values, within and beyond a tenant's share.
    pub level: usize,
    pub over_level: usize,
    /// The work that a req without a hint is thought to bring, learnt from what was done.
    pub work: f64,
    /// Calls that a run of its makes, learnt from what was done.
    pub calls_each: f64,
}

impl Aims {
    /// Of a handler that calls or not, at those levels, with that work until it is learnt.
    pub fn of(handler: &Handler, calls: bool, level: usize, over_level: usize, work: f64) -> Self {
        Aims {
            target: handler.response_target,
            stretch: handler.target_stretch,
            timeout: handler.client_timeout,
            effect: handler.effect,
            repeat_window: handler.repeat_window,
            skippable: handler.skip_value > 0.0,
            calls,
            level,
            over_level,
            work,
            calls_each: 1.0,
        }
    }
}

/// A tenant's claim on this server: filled by its part of each req taken from anyone, emptied by its own.
/// Parts of what is taken here, and not a rate, as one server may see far more of a tenant than others do.
pub struct Purse {
    pub part: f64,
    pub left: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Held,
    Joined,
    OnCore,
    /// Stands at a call that is not made yet.
    AtCall,
    Calling,
}

#[derive(Default)]
pub struct Entry {
    pub handler: usize,
    pub level: usize,
    pub held_kb: f64,
    pub work: f64,
    pub long: bool,
    /// Beyond its tenant's share.
    pub over: bool,
    pub retry: bool,
    pub reached: Duration,
    pub target: Duration,
    pub due: Duration,
    /// How long the process had stood still when it reached the server.
    pub stalled: f64,
    pub state: State,
    /// Time on a core in earlier stretches, and the start (awake time) of the present one.
    pub on_core: f64,
    pub since: f64,
    /// When its call began and will be given up.
    pub called: Duration,
    pub call_until: Duration,
    pub call_tries: u32,
    /// All calls made for it so far.
    pub calls_made: u32,
    /// The call before may be made once more, though it may be left out.
    pub call_again: bool,
    /// The draw against the dimmer, once made.
    pub calls: Option<bool>,
    pub answered: bool,
    /// Until when its key is remembered.
    pub key: Option<Duration>,
    /// Its work was not told but guessed from its handler's.
    pub guessed: bool,
}

pub struct Leaving {
    /// What reached the machine later is not run.
    pub run_until: Duration,
    pub answer_by: Duration,
    /// Until then callers are not asked to stay away.
    pub welcome_until: Duration,
}

/// A span of that many seconds, or the longest there is.
pub fn seconds(span: f64) -> Duration {
    Duration::try_from_secs_f64(span).unwrap_or(Duration::MAX)
}
