//! A simulated host that checks every action against the four rules: no request is lost, no effect
//! happens twice, a drain is safe, and no limit is exceeded.

#[path = "common/actions.rs"]
mod actions;

use std::collections::BTreeMap;
use std::time::Duration;

use tulipgap::{
    Action, Arrival, CallerFeedback, Cancellation, Config, Controller, Dependency, Event, Gauges,
    HandlerConfig, Idempotency, Outcome, RequestIndex, TenantConfig,
};

pub(crate) fn ms(span: u64) -> Duration {
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
    pub(crate) answered: bool,
    pub(crate) gone: bool,
    pub(crate) is_duplicate: bool,
    pub(crate) call_ends_at: Option<Duration>,
    /// Its last call may have run.
    pub(crate) call_may_have_run: bool,
}

pub(crate) struct SimulatedHost {
    pub(crate) config: Config,
    pub(crate) controller: Controller,
    pub(crate) now: Duration,
    pub(crate) requests: BTreeMap<RequestIndex, TrackedRequest>,
    pub(crate) pending: Vec<Event>,
    pub(crate) completed: u32,
    pub(crate) last: Vec<Action>,
    /// The last feedback value.
    pub(crate) feedback: Option<f64>,
    /// The number of open connections.
    pub(crate) open_connections: f64,
    /// Cores wanted by anything but runs.
    pub(crate) reading: f64,
    pub(crate) idle: Duration,
    timer: Option<Duration>,
    /// Remembered keys; an expired one still covers what arrived before.
    keys: Vec<(u64, RequestIndex, Duration)>,
    /// Keys that were run, with the arrival of the attempt that ran.
    runs: Vec<(u64, Duration)>,
    lingering: Vec<Duration>,
    calls: Vec<(Duration, Duration, f64)>,
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
            last: Vec::new(),
            feedback: None,
            open_connections: 0.0,
            reading: 0.0,
            idle: Duration::MAX,
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

    /// Reads one request and sends its arrival.
    pub(crate) fn arrive(
        &mut self,
        handler: usize,
        age: u64,
        patience: Option<u64>,
        work: u64,
        key: u64,
    ) -> RequestIndex {
        let request = (0..)
            .find(|request| !self.requests.contains_key(request))
            .unwrap();
        let arrived_at = self.now.saturating_sub(ms(age));
        let is_keyed = self.config.handlers[handler].idempotency == Idempotency::Keyed;
        let live = |&(m, _, until): &(u64, RequestIndex, Duration)| m == key && until >= arrived_at;
        let is_duplicate = is_keyed && self.keys.iter().any(live);
        let deadline = patience.map_or(
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
            answered: false,
            gone: false,
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
            client_wait: patience.map(ms),
            estimated_work: (work > 0).then(|| ms(work)),
            queued_kb: 40.0,
            is_retry: key.is_multiple_of(5),
            is_duplicate,
        })]);
        request
    }

    /// Hands events to the controller, and checks and carries out the actions that come back.
    pub(crate) fn send(&mut self, events: Vec<Event>) {
        self.last = self.controller.handle_events(self.now, &events);
        for action in self.last.clone() {
            self.carry_out(&action);
        }
        self.check_limits();
    }

    /// How long the dependency may keep working on a call that was given up.
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

    /// Lets time pass: timers fire when they are due, and calls time out.
    pub(crate) fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            let next = self.timer.map_or(until, |at| at.min(until)).max(self.now);
            self.calls.push((self.now, next, self.calls_in_flight()));
            self.now = next;
            if let Some((_, stop)) = self.shutdown
                && self.now >= stop
            {
                let unanswered = self
                    .requests
                    .values()
                    .find(|tracked| !tracked.answered && !tracked.gone);
                assert!(
                    unanswered.is_none(),
                    "drain: not answered at the stop: {unanswered:?}"
                );
                return;
            }
            let mut events = std::mem::take(&mut self.pending);
            self.settle(&events);
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
                let runnable = runs + self.reading;
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
                .find(|s| !s.answered && !s.gone && self.now > s.deadline + slack);
            assert!(
                late.is_none(),
                "lost: no answer at {:?}: {late:?}",
                self.now
            );
        }
    }

    /// Records the effect of pending ends before the controller learns of them.
    fn settle(&mut self, events: &[Event]) {
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

    /// The `nth` request in `stage`, if there is one.
    pub(crate) fn nth(&self, stage: Stage, nth: usize) -> Option<RequestIndex> {
        let there: Vec<RequestIndex> = self
            .requests
            .iter()
            .filter(|(_, s)| s.stage == stage)
            .map(|(&r, _)| r)
            .collect();
        (!there.is_empty()).then(|| there[nth % there.len()])
    }

    pub(crate) fn finish(&mut self, request: RequestIndex, outcome: Outcome) {
        let tracked = self.requests.get_mut(&request).unwrap();
        self.completed += u32::from(!tracked.answered && outcome == Outcome::Succeeded);
        tracked.answered = true;
        self.pending.retain(
            |event| !matches!(event, Event::Finished { request: other, .. } if *other == request),
        );
        self.send(vec![Event::Finished { request, outcome }]);
    }

    pub(crate) fn reach_call(&mut self, request: RequestIndex) {
        let tracked = self.requests.get_mut(&request).unwrap();
        tracked.stage = Stage::AwaitingCall;
        (tracked.call_may_have_run, tracked.call_ends_at) = (false, None);
        let over = tracked.answered || tracked.gone;
        self.pending.retain(
            |event| !matches!(event, Event::Finished { request: other, .. } if *other == request),
        );
        match over {
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

    pub(crate) fn caller_goes(&mut self, request: RequestIndex) {
        let tracked = self.requests.get_mut(&request).unwrap();
        tracked.gone = true;
        if matches!(tracked.stage, Stage::AwaitingCall | Stage::Calling) && !tracked.answered {
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
