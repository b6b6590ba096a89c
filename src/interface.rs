//! What a host tells the decision module and what the module asks of it. No decision is taken here.

use std::time::Duration;

/// A small index that the host gives to a req when it is read. The host may use it again after
/// [`Action::Over`].
pub type Req = usize;

/// Whether a handler's reqs may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run again.
    Replayable,
    /// Carries a mark by which a repeat is known for a while; must run once in that while.
    Uniqued,
    /// Must never run twice.
    NonReplayable,
}

/// What the host can do to work that is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Halting {
    /// Nothing: it runs to its end.
    Never,
    /// Stop it and lose what was done.
    Drops,
    /// Set it aside; it keeps its progress and its memory.
    Pauses,
}

/// How callers read the value of [`Action::Advise`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advice {
    /// Callers are told nothing.
    Nothing,
    /// They send nothing here that ranks below the value.
    Level,
    /// Each caller may have that many reqs out here.
    Credit,
    /// The chance that a caller coming across this server does not skip it.
    Weight,
}

/// What reqs call while they run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Below {
    /// Nothing is called.
    Nothing,
    /// One dependency shared by all servers. `share` is this server's part of the calls that it survives, as
    /// a mean over `span`; a call given up may stay in its hands for `linger`.
    Shared { share: f64, span: Duration, linger: Duration },
    /// Another tier of servers.
    Tier,
}

/// One kind of req.
#[derive(Clone, Debug)]
pub struct Handler {
    /// An answer within this time is worth the full value.
    pub response_target: Duration,
    /// The response target grows by this multiple of a req's own work, up to the client timeout.
    pub target_stretch: f64,
    /// How long a client waits.
    pub client_timeout: Duration,
    pub value: f64,
    pub effect: Effect,
    /// For uniqued: how long after it reached the server a req may come again.
    pub repeat_window: Duration,
    /// Whether its reqs may call what lies below.
    pub calls_below: bool,
    /// The part of the value left when a call is skipped; 0 forbids skipping.
    pub skip_value: f64,
}

/// One of those who share the fleet.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Reqs a second, over all servers, within its share.
    pub allowance_per_s: f64,
}

/// All that is told to a server when it starts.
#[derive(Clone, Debug)]
pub struct Given {
    pub handlers: Vec<Handler>,
    pub tenants: Vec<Tenant>,
    /// What a req beyond its tenant's share is worth, as a part of its handler's value.
    pub over_share_value: f64,
    pub cores: u32,
    pub memory_kb: f64,
    /// How many times its held memory a running req takes.
    pub run_factor: f64,
    /// Memory of one remembered key.
    pub key_kb: f64,
    /// Whether the process was just started, so that it is slow at first.
    pub cold: bool,
    /// A cold server starts at this part of its speed, or more.
    pub cold_speed: f64,
    /// After this time, at most, it is warm.
    pub warm_up: Duration,
    /// Reqs on the cores, for each core, that a warm server survives as a mean over `crowd_span`.
    pub crowd_limit: f64,
    pub crowd_span: Duration,
    /// How long after a req is due an answer still counts.
    pub answer_slack: Duration,
    /// Nothing that reached the server this long after the notice to leave may run.
    pub drain_grace: Duration,
    pub below: Below,
    pub halting: Halting,
    pub advice: Advice,
    /// The longest wait that callers honour; `None` where none is passed on.
    pub max_wait: Option<Duration>,
    /// Servers like it when it started, itself included; 0 where that is not told.
    pub servers: u32,
    /// Callers of this server when it started.
    pub callers: u32,
    /// Later tries and second copies are marked as such.
    pub marks_retries: bool,
    /// After this time without use callers close a connection by themselves.
    pub idle_link: Duration,
}

/// Why a [`Given`] was turned down.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum GivenError {
    #[error("no handlers are given")]
    NoHandlers,
    #[error("no cores are given")]
    NoCores,
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
    #[error("handler {handler}: {figure} is out of range")]
    Handler { handler: usize, figure: &'static str },
    #[error("tenant {0}: its allowance is out of range")]
    Tenant(usize),
}

/// A req that has been read and is held from now on.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub req: Req,
    pub handler: usize,
    pub tenant: Option<usize>,
    /// How long ago it reached the machine.
    pub age: Duration,
    /// How long its caller still waits, where that is told.
    pub patience: Option<Duration>,
    /// The work expected, as time on a usual core, where that is told.
    pub work: Option<Duration>,
    /// Memory it takes while held.
    pub held_kb: f64,
    /// Known to be a later try or a second copy.
    pub retry: bool,
    /// It repeats a req that is remembered, so it can be joined to that one.
    pub repeats: bool,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// It failed, and may still have had its effect.
    Errored,
    /// Turned away unread below: it never ran.
    Full,
    /// Given up on; it may still have had its effect.
    TimedOut,
    /// What lies below was not reached: it never ran.
    Unreachable,
    /// Cut off; it may still have had its effect.
    Broken,
    /// A run that was stopped.
    Stopped,
    /// Nothing was started, as the req had ended.
    Void,
}

/// Measures of the machine at one moment, where the host has them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// The part of the cores busy of late.
    pub cores_busy: Option<f64>,
    /// All that wants a core now: runs, reading, checks, new connections.
    pub on_cores: Option<f64>,
    /// Connections open.
    pub links: Option<f64>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The server starts. Comes once, first.
    Started,
    Arrived(Arrival),
    /// A run, or a join, ended; with `Done` or `Errored` the caller has its answer.
    Ended {
        req: Req,
        outcome: Outcome,
    },
    /// Nobody waits for it any more.
    Gone {
        req: Req,
    },
    /// It stands at a call, off the cores.
    AtCall {
        req: Req,
    },
    /// Its call ended; after `Done` it goes on by itself, else it stands at the call again.
    CallEnded {
        req: Req,
        outcome: Outcome,
    },
    /// An alarm asked for is due.
    Alarm {
        gauges: Gauges,
    },
    /// The notice to leave, which came so long ago; the process is stopped after `left` from now.
    Leave {
        since: Duration,
        left: Duration,
    },
}

/// Why a req was turned away, or answered with an error, by the module's own account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// No memory is left to hold it.
    Memory,
    /// Runs on this server fail so often that others are likely to do better.
    Failing,
    /// The admitted share was cut, and it was not drawn in.
    Share,
    /// It was not likely to be done within its response target.
    Late,
    /// The same, after it was held for a while: others came before it.
    Overtaken,
    /// Its response target passed while it was held or run.
    Missed,
    /// Its client is about to stop waiting.
    Due,
    /// It came too late after the notice to leave.
    Draining,
    /// The stop is near.
    Stopping,
    /// Its mandatory call failed.
    CallFailed,
    /// Its run was stopped with nothing for its caller.
    Stopped,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a held req, or take up a paused one.
    Run { req: Req },
    /// Final answer: turned away. `elsewhere` is false where the caller should not try another server.
    Shed { req: Req, wait: Option<Duration>, elsewhere: bool, reason: Reason },
    /// Final answer: an error.
    Fail { req: Req, reason: Reason },
    /// Stop running work.
    Stop { req: Req },
    /// Answer it with what the req that it repeats yields.
    Join { req: Req },
    /// Remember it, so that its repeats are known.
    Remember { req: Req, span: Duration },
    /// Forget it before its time.
    Forget { req: Req },
    /// Make the call it stands at.
    Call { req: Req, patience: Duration },
    /// Go on without the call.
    SkipCall { req: Req },
    /// The value that answers carry from now on; see [`Advice`].
    Advise { value: f64 },
    /// Close connections once nothing has come over them for so long.
    CloseIdle { after: Duration },
    /// What health checks are told, straight from this setting.
    Health { good: bool },
    /// Send an [`Event::Alarm`] at this time.
    Alarm { at: Duration },
    /// The module is through with this req, and the host may use its index again.
    Over { req: Req },
}

impl Given {
    /// Turns down what makes no sense.
    pub fn check(&self) -> Result<(), GivenError> {
        let at_least = |least: f64, value: f64| value.is_finite() && value >= least;
        if self.handlers.is_empty() {
            return Err(GivenError::NoHandlers);
        }
        if self.cores == 0 {
            return Err(GivenError::NoCores);
        }
        for (figure, fine) in [
            ("over_share_value", (0.0..=1.0).contains(&self.over_share_value)),
            ("memory_kb", at_least(f64::MIN_POSITIVE, self.memory_kb)),
            ("run_factor", at_least(1.0, self.run_factor)),
            ("key_kb", at_least(0.0, self.key_kb)),
            ("idle_link", self.idle_link > Duration::ZERO),
            ("cold_speed", self.cold_speed > 0.0 && self.cold_speed <= 1.0),
            ("crowd_limit", at_least(1.0, self.crowd_limit)),
        ] {
            if !fine {
                return Err(GivenError::OutOfRange(figure));
            }
        }
        if let Below::Shared { share, span, .. } = self.below
            && !(at_least(f64::MIN_POSITIVE, share)
                && span > Duration::ZERO
                && span <= Duration::from_secs(600))
        {
            return Err(GivenError::OutOfRange("below"));
        }
        for (handler, h) in self.handlers.iter().enumerate() {
            for (figure, fine) in [
                ("response_target", h.response_target > Duration::ZERO),
                ("target_stretch", at_least(0.0, h.target_stretch)),
                ("client_timeout", h.client_timeout >= h.response_target),
                ("value", at_least(0.0, h.value)),
                ("skip_value", (0.0..=1.0).contains(&h.skip_value)),
            ] {
                if !fine {
                    return Err(GivenError::Handler { handler, figure });
                }
            }
        }
        match self.tenants.iter().position(|t| !at_least(0.0, t.allowance_per_s)) {
            Some(tenant) => Err(GivenError::Tenant(tenant)),
            None => Ok(()),
        }
    }
}
