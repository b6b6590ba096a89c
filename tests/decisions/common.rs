//! A simulated host that checks every action against the four rules: no request is lost, no effect
//! happens twice, a drain is safe, and no limit is exceeded.

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
        concurrency_window: ms(2000),
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

    fn tracked(&mut self, request: RequestIndex, action: &Action) -> &mut TrackedRequest {
        self.requests
            .get_mut(&request)
            .unwrap_or_else(|| panic!("{action:?} names a request that was released"))
    }

    fn carry_out(&mut self, action: &Action) {
        let now = self.now;
        match *action {
            Action::Start { request } => self.start(request, action),
            Action::Reject { request, .. } => self.reject(request, action),
            Action::Fail { request, .. } => self.answer(request, action),
            Action::Cancel { request } => self.cancel(request, action),
            Action::Coalesce { request } => {
                let tracked = self.tracked(request, action);
                let is_queued_duplicate = tracked.is_duplicate && tracked.stage == Stage::Queued;
                assert!(is_queued_duplicate, "coalesced with nothing: {tracked:?}");
                tracked.stage = Stage::Coalesced;
            }
            Action::RememberKey { request, retention } => {
                let key = self.tracked(request, action).key;
                self.keys.push((key, request, now + retention));
            }
            Action::ForgetKey { request } => {
                let tracked = self.tracked(request, action).clone();
                assert!(
                    !tracked.has_run,
                    "duplicate: a key is forgotten after a run"
                );
                self.keys
                    .retain(|key| (key.0, key.1) != (tracked.key, request));
            }
            Action::StartCall { request, timeout } => self.start_call(request, timeout, action),
            Action::SkipCall { request } => self.skip_call(request, action),
            Action::SetFeedback { value } => {
                let has_feedback = self.config.feedback != CallerFeedback::None;
                assert!(has_feedback && value >= 0.0, "feedback that nobody takes");
                self.feedback = Some(value);
            }
            Action::SetIdleTimeout { timeout } => {
                let is_in_range = timeout > Duration::ZERO && timeout <= self.config.idle_timeout;
                assert!(is_in_range, "connections closed after {timeout:?}");
                self.idle = timeout;
            }
            Action::SetHealth { .. } => {}
            Action::SetTimer { at } => self.timer = Some(at.max(now + ms(1))),
            Action::Release { request } => {
                let tracked = self.tracked(request, action);
                assert!(
                    tracked.answered || tracked.gone,
                    "lost: released without an answer: {tracked:?}"
                );
                self.requests.remove(&request);
            }
        }
    }

    fn idempotency(&mut self, request: RequestIndex, action: &Action) -> Idempotency {
        let handler = self.tracked(request, action).handler;
        self.config.handlers[handler].idempotency
    }

    fn start(&mut self, request: RequestIndex, action: &Action) {
        let idempotency = self.idempotency(request, action);
        let may_run_again = idempotency == Idempotency::Idempotent;
        let run_until = self
            .shutdown
            .map(|(notice, _)| notice + self.config.drain_grace);
        let tracked = self.tracked(request, action);
        let is_waiting = tracked.stage == Stage::Queued && !tracked.answered;
        assert!(is_waiting, "{action:?} of what is not queued: {tracked:?}");
        assert!(
            !tracked.has_run || may_run_again,
            "duplicate: run again: {tracked:?}"
        );
        assert!(
            !tracked.is_duplicate || may_run_again,
            "duplicate: a duplicate is run: {tracked:?}"
        );
        let late = run_until.is_some_and(|until| tracked.arrived_at > until);
        assert!(!late, "drain: run after the grace: {tracked:?}");
        (tracked.stage, tracked.has_run) = (Stage::Running, true);
        let (key, arrived_at, handler) = (tracked.key, tracked.arrived_at, tracked.handler);
        let window = self.config.handlers[handler].key_retention;
        if idempotency == Idempotency::Keyed {
            let twin = self
                .runs
                .iter()
                .find(|run| run.0 == key && run.1.abs_diff(arrived_at) <= window);
            assert!(
                twin.is_none(),
                "duplicate: {key} ran in its window before: {twin:?}"
            );
            self.runs.push((key, arrived_at));
        }
    }

    fn reject(&mut self, request: RequestIndex, action: &Action) {
        let may_run_again = self.idempotency(request, action) == Idempotency::Idempotent;
        let tracked = self.tracked(request, action);
        assert!(
            !tracked.has_run || may_run_again,
            "duplicate: rejected after a run: {tracked:?}"
        );
        assert!(
            !tracked.is_duplicate || may_run_again,
            "duplicate: a duplicate is rejected: {tracked:?}"
        );
        self.answer(request, action);
    }

    fn cancel(&mut self, request: RequestIndex, action: &Action) {
        let can_cancel = self.config.cancellation != Cancellation::Unsupported;
        assert!(can_cancel, "a cancellation where nothing can be cancelled");
        let tracked = self.tracked(request, action);
        if tracked.stage == Stage::Running {
            assert!(
                tracked.answered || tracked.gone,
                "cancelled without an answer: {tracked:?}"
            );
            self.pending.push(Event::Finished {
                request,
                outcome: Outcome::Cancelled,
            });
        }
    }

    fn start_call(&mut self, request: RequestIndex, timeout: Duration, action: &Action) {
        let ends_at = self.now + timeout + self.linger();
        let may_repeat = self.idempotency(request, action) == Idempotency::Idempotent;
        let tracked = self.tracked(request, action);
        assert_eq!(
            tracked.stage,
            Stage::AwaitingCall,
            "a call from elsewhere: {tracked:?}"
        );
        let is_safe = !tracked.call_may_have_run || may_repeat;
        assert!(
            is_safe,
            "duplicate: a call that may have run is repeated: {tracked:?}"
        );
        tracked.stage = Stage::Calling;
        tracked.call_ends_at = Some(ends_at);
    }

    fn skip_call(&mut self, request: RequestIndex, action: &Action) {
        let tracked = self.tracked(request, action);
        assert_eq!(
            tracked.stage,
            Stage::AwaitingCall,
            "a skip from elsewhere: {tracked:?}"
        );
        (tracked.stage, tracked.call_may_have_run) = (Stage::Running, false);
        let handler = tracked.handler;
        assert!(
            self.config.handlers[handler].degraded_weight > 0.0,
            "a mandatory call is skipped"
        );
    }

    fn answer(&mut self, request: RequestIndex, action: &Action) {
        let (now, slack) = (self.now, self.config.response_slack);
        let tracked = self.tracked(request, action);
        assert!(!tracked.answered, "lost: a second answer: {tracked:?}");
        assert!(
            tracked.gone || now <= tracked.deadline + slack,
            "lost: answered at {now:?}: {tracked:?}"
        );
        tracked.answered = true;
        if matches!(tracked.stage, Stage::AwaitingCall | Stage::Calling) {
            self.pending.push(Event::Finished {
                request,
                outcome: Outcome::Cancelled,
            });
        }
    }

    fn check_limits(&mut self) {
        let now = self.now;
        let keys = self.keys.iter().filter(|key| key.2 > now).count() as f64;
        let running =
            |tracked: &&TrackedRequest| !matches!(tracked.stage, Stage::Queued | Stage::Coalesced);
        let held: f64 = self
            .requests
            .values()
            .map(|tracked| tracked.queued_kb)
            .sum();
        let runs: f64 = self
            .requests
            .values()
            .filter(running)
            .map(|tracked| tracked.queued_kb)
            .sum();
        let need =
            held + runs * (self.config.running_memory_factor - 1.0) + keys * self.config.key_kb;
        assert!(need <= self.config.memory_kb, "fall-over: {need} kB needed");
        let runnable = self
            .requests
            .values()
            .filter(|tracked| tracked.stage == Stage::Running)
            .count() as f64;
        let warmth = match self.config.starts_cold {
            false => 1.0,
            true => {
                let part = now.as_secs_f64() / self.config.warm_up.as_secs_f64();
                (self.config.cold_speed + (1.0 - self.config.cold_speed) * part).min(1.0)
            }
        };
        let limit = f64::from(self.config.cores)
            * (1.0 + (self.config.max_concurrency_per_core - 1.0) * warmth);
        assert!(
            runnable <= limit,
            "fall-over: {runnable} on the cores, {limit} survivable"
        );
        if let Dependency::Shared { share, window, .. } = self.config.dependency {
            let overlap = |&(from, to, count): &(Duration, Duration, f64)| {
                count
                    * to.saturating_sub(from.max(now.saturating_sub(window)))
                        .as_secs_f64()
            };
            let mean = self.calls.iter().map(overlap).sum::<f64>() / window.as_secs_f64();
            assert!(
                mean <= share,
                "fall-over: {mean} calls in hand over the span"
            );
        }
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
                    cores_busy: Some(busy),
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
