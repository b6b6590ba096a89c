//! A simulated host that checks every action against the four rules: no lost request, no duplicate
//! effect, graceful shutdown, and availability (no limit is exceeded).

#[path = "common/actions.rs"]
mod actions;

use std::collections::BTreeMap;
use std::time::Duration;

use tulipgap::{
    Action, Arrival, CallerFeedback, Cancellation, Config, Controller, Dependency, Event, Gauges,
    HandlerConfig, Idempotency, Outcome, RequestIndex, TenantConfig,
};

pub(crate) const fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

pub(crate) fn handler(idempotency: Idempotency, degraded_weight: f64) -> HandlerConfig {
    HandlerConfig {
        latency_objective: ms(1000),
        objective_stretch: 0.0,
        client_timeout: ms(3000),
        priority_weight: 1.0,
        idempotency,
        key_retention: ms(2000),
        calls_dependency: true,
        degraded_weight,
    }
}

/// Two cores, a handler of each kind of idempotency, and a dependency that survives two concurrent
/// calls.
pub(crate) fn config() -> Config {
    Config {
        handlers: vec![
            handler(Idempotency::Idempotent, 0.5),
            handler(Idempotency::Keyed, 0.0),
            handler(Idempotency::NonIdempotent, 0.0),
        ],
        tenants: vec![
            TenantConfig {
                rate_quota_per_s: 5.0,
            },
            TenantConfig {
                rate_quota_per_s: 5.0,
            },
        ],
        over_quota_weight: 0.1,
        cores: 2,
        memory_kb: 2000.0,
        running_memory_factor: 4.0,
        key_kb: 20.0,
        starts_cold: false,
        cold_speed: 0.25,
        warm_up: ms(10_000),
        max_concurrency_per_core: 4.0,
        response_slack: ms(60),
        drain_grace: ms(1000),
        dependency: Dependency::Shared {
            share: 2.0,
            window: ms(5000),
            linger: ms(200),
        },
        cancellation: Cancellation::DiscardsProgress,
        feedback: CallerFeedback::TrafficWeight,
        max_retry_after: Some(ms(1000)),
        callers: 3,
        marks_retries: true,
        servers: 0,
        idle_timeout: ms(15_000),
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    Queued,
    Coalesced,
    Running,
    AwaitingCall,
    Calling,
}

#[derive(Clone, Debug)]
pub(crate) struct TrackedRequest {
    pub(crate) handler: usize,
    /// Its idempotency key, where its handler is keyed.
    pub(crate) key: u64,
    pub(crate) arrived_at: Duration,
    pub(crate) deadline: Duration,
    pub(crate) queued_kb: f64,
    pub(crate) stage: Stage,
    pub(crate) has_run: bool,
    pub(crate) is_answered: bool,
    pub(crate) is_caller_gone: bool,
    pub(crate) is_duplicate: bool,
    pub(crate) call_ends_at: Option<Duration>,
    /// Whether its last call may have run.
    pub(crate) call_may_have_run: bool,
}

pub(crate) struct SimulatedHost {
    pub(crate) config: Config,
    pub(crate) controller: Controller,
    pub(crate) now: Duration,
    pub(crate) requests: BTreeMap<RequestIndex, TrackedRequest>,
    pub(crate) pending: Vec<Event>,
    pub(crate) completed: u32,
    pub(crate) last_actions: Vec<Action>,
    /// The last feedback value.
    pub(crate) feedback: Option<f64>,
    /// The number of open connections.
    pub(crate) open_connections: f64,
    /// Cores in demand for anything but runs.
    pub(crate) reading_cores: f64,
    pub(crate) idle_timeout: Duration,
    timer: Option<Duration>,
    /// Remembered keys, the requests that carry them and their expiry. An expired key still covers
    /// duplicates that arrived before its expiry.
    keys: Vec<(u64, RequestIndex, Duration)>,
    /// Keys of requests that ran, with the arrival time of each such request.
    runs: Vec<(u64, Duration)>,
    /// When the dependency stops working on abandoned calls.
    lingering: Vec<Duration>,
    /// Intervals of time, with the number of calls in flight in each.
    calls: Vec<(Duration, Duration, f64)>,
    /// When the shutdown notice came, and when the process is terminated.
    shutdown: Option<(Duration, Duration)>,
}

impl SimulatedHost {
    pub(crate) fn new(config: Config, seed: u64) -> Self {
        let controller = Controller::new(&config, seed).expect("the configuration is valid");
        let mut host = SimulatedHost {
            config,
            controller,
            now: Duration::ZERO,
            requests: BTreeMap::new(),
            pending: Vec::new(),
            completed: 0,
            last_actions: Vec::new(),
            feedback: None,
            open_connections: 0.0,
            reading_cores: 0.0,
            idle_timeout: Duration::MAX,
            timer: None,
            keys: Vec::new(),
            runs: Vec::new(),
            lingering: Vec::new(),
            calls: Vec::new(),
            shutdown: None,
        };
        host.send(vec![Event::Started]);
        host
    }

    /// Assigns a free index to a new request and sends its arrival.
    pub(crate) fn arrive(
        &mut self,
        handler: usize,
        age: u64,
        client_wait: Option<u64>,
        work: u64,
        key: u64,
    ) -> RequestIndex {
        let request = (0..)
            .find(|request| !self.requests.contains_key(request))
            .unwrap();
        let arrived_at = self.now.saturating_sub(ms(age));
        let is_keyed = self.config.handlers[handler].idempotency == Idempotency::Keyed;
        let is_remembered =
            |&(m, _, until): &(u64, RequestIndex, Duration)| m == key && until >= arrived_at;
        let is_duplicate = is_keyed && self.keys.iter().any(is_remembered);
        let deadline = client_wait.map_or(
            arrived_at + self.config.handlers[handler].client_timeout,
            |p| self.now + ms(p),
        );
        let tracked = TrackedRequest {
            handler,
            key,
            arrived_at,
            deadline: deadline.max(self.now),
            queued_kb: 40.0,
            stage: Stage::Queued,
            has_run: false,
            is_answered: false,
            is_caller_gone: false,
            is_duplicate,
            call_ends_at: None,
            call_may_have_run: false,
        };
        self.requests.insert(request, tracked);
        self.send(vec![Event::Arrived(Arrival {
            request,
            handler,
            tenant: Some(request % 2),
            age: ms(age),
            client_wait: client_wait.map(ms),
            estimated_work: (work > 0).then(|| ms(work)),
            queued_kb: 40.0,
            is_retry: key.is_multiple_of(5),
            is_duplicate,
        })]);
        request
    }

    /// Hands events to the controller, and checks and carries out the returned actions.
    pub(crate) fn send(&mut self, events: Vec<Event>) {
        self.last_actions = self.controller.handle_events(self.now, &events);
        for action in self.last_actions.clone() {
            self.carry_out(&action);
        }
        self.check_limits();
    }

    /// How long the dependency may keep working on an abandoned call.
    fn linger(&self) -> Duration {
        match self.config.dependency {
            Dependency::Shared { linger, .. } => linger,
            _ => Duration::ZERO,
        }
    }

    fn calls_in_flight(&self) -> f64 {
        let calling = self
            .requests
            .values()
            .filter(|tracked| tracked.stage == Stage::Calling)
            .count();
        (calling + self.lingering.iter().filter(|&&end| end > self.now).count()) as f64
    }

    /// Advances the time: timers fire when they are due, and calls time out.
    pub(crate) fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            let next = self.timer.map_or(until, |at| at.min(until)).max(self.now);
            self.calls.push((self.now, next, self.calls_in_flight()));
            self.now = next;
            if let Some((_, terminates_at)) = self.shutdown
                && self.now >= terminates_at
            {
                let unanswered = self
                    .requests
                    .values()
                    .find(|tracked| !tracked.is_answered && !tracked.is_caller_gone);
                assert!(
                    unanswered.is_none(),
                    "graceful shutdown: not answered at the termination: {unanswered:?}"
                );
                return;
            }
            let mut events = std::mem::take(&mut self.pending);
            self.record_abandoned_calls(&events);
            for (&request, tracked) in &mut self.requests {
                if tracked.stage == Stage::Calling
                    && tracked.call_ends_at.is_some_and(|end| end <= next)
                {
                    (tracked.stage, tracked.call_may_have_run) = (Stage::AwaitingCall, true);
                    events.push(Event::CallFinished {
                        request,
                        outcome: Outcome::TimedOut,
                    });
                }
            }
            if self.timer.is_some_and(|at| at <= self.now) {
                self.timer = None;
                let runs = self
                    .requests
                    .values()
                    .filter(|tracked| tracked.stage == Stage::Running)
                    .count() as f64;
                let runnable = runs + self.reading_cores;
                let busy = (runnable / f64::from(self.config.cores)).min(1.0);
                let open_connections = Some(self.open_connections);
                let gauges = Gauges {
                    busy_fraction: Some(busy),
                    runnable: Some(runnable),
                    open_connections,
                };
                events.push(Event::TimerFired { gauges });
            }
            self.send(events);
            let slack = self.config.response_slack;
            let late = self
                .requests
                .values()
                .find(|s| !s.is_answered && !s.is_caller_gone && self.now > s.deadline + slack);
            assert!(
                late.is_none(),
                "lost request: no answer at {:?}: {late:?}",
                self.now
            );
        }
    }

    /// Records calls in flight whose request ends, on which the dependency works for the linger
    /// time, before the controller learns of the end.
    fn record_abandoned_calls(&mut self, events: &[Event]) {
        let linger = self.linger();
        for event in events {
            if let Event::Finished { request, .. } = event
                && let Some(tracked) = self.requests.get(request)
                && tracked.stage == Stage::Calling
            {
                self.lingering.push(self.now + linger);
            }
        }
    }

    /// The `nth` request in `stage`, counted modulo their number, if there is one.
    pub(crate) fn nth(&self, stage: Stage, nth: usize) -> Option<RequestIndex> {
        let requests_in_stage: Vec<RequestIndex> = self
            .requests
            .iter()
            .filter(|(_, s)| s.stage == stage)
            .map(|(&r, _)| r)
            .collect();
        (!requests_in_stage.is_empty()).then(|| requests_in_stage[nth % requests_in_stage.len()])
    }

    pub(crate) fn finish(&mut self, request: RequestIndex, outcome: Outcome) {
        let tracked = self.requests.get_mut(&request).unwrap();
        self.completed += u32::from(!tracked.is_answered && outcome == Outcome::Succeeded);
        tracked.is_answered = true;
        self.pending.retain(
            |event| !matches!(event, Event::Finished { request: other, .. } if *other == request),
        );
        self.send(vec![Event::Finished { request, outcome }]);
    }

    pub(crate) fn reach_call(&mut self, request: RequestIndex) {
        let tracked = self.requests.get_mut(&request).unwrap();
        tracked.stage = Stage::AwaitingCall;
        (tracked.call_may_have_run, tracked.call_ends_at) = (false, None);
        let is_over = tracked.is_answered || tracked.is_caller_gone;
        self.pending.retain(
            |event| !matches!(event, Event::Finished { request: other, .. } if *other == request),
        );
        match is_over {
            true => self.send(vec![Event::Finished {
                request,
                outcome: Outcome::Cancelled,
            }]),
            false => self.send(vec![Event::ReachedCall { request }]),
        }
    }

    pub(crate) fn finish_call(&mut self, request: RequestIndex, outcome: Outcome) {
        let tracked = self.requests.get_mut(&request).unwrap();
        tracked.stage = if outcome == Outcome::Succeeded {
            Stage::Running
        } else {
            Stage::AwaitingCall
        };
        tracked.call_may_have_run = !matches!(
            outcome,
            Outcome::Succeeded | Outcome::Rejected | Outcome::Unreachable
        );
        self.send(vec![Event::CallFinished { request, outcome }]);
    }

    pub(crate) fn disconnect_caller(&mut self, request: RequestIndex) {
        let tracked = self.requests.get_mut(&request).unwrap();
        tracked.is_caller_gone = true;
        if matches!(tracked.stage, Stage::AwaitingCall | Stage::Calling) && !tracked.is_answered {
            self.pending.push(Event::Finished {
                request,
                outcome: Outcome::Cancelled,
            });
        }
        self.send(vec![Event::CallerGone { request }]);
    }

    pub(crate) fn shutdown_notice(&mut self, left: Duration) {
        if self.shutdown.is_none() {
            self.shutdown = Some((self.now, self.now + left));
            self.send(vec![Event::ShutdownNotice { since: ms(0), left }]);
        }
    }
}
