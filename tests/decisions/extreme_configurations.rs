//! The controller with extreme configurations that it accepts: durations of zero, below a tick and
//! beyond a day, and numbers at the ends of their ranges. The controller must not panic, because a
//! panic ends the process with all its open requests, and it must answer each request at most once.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tulipgap::{
    Action, Arrival, CallerFeedback, Cancellation, Config, Controller, Dependency, Event, Gauges,
    HandlerConfig, Idempotency, Outcome, RequestIndex, TenantConfig,
};

/// Durations that a parser of settings can return, from zero to [`Duration::MAX`].
const DURATIONS: [Duration; 12] = [
    Duration::ZERO,
    Duration::from_nanos(1),
    Duration::from_millis(1),
    Duration::from_millis(10),
    Duration::from_millis(60),
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(60),
    Duration::from_secs(86_400 * 2),
    Duration::from_secs(86_400 * 365 * 100),
    Duration::from_secs(u64::MAX / 2),
    Duration::MAX,
];
const AMOUNTS: [f64; 9] = [
    0.0,
    f64::MIN_POSITIVE,
    1e-9,
    0.5,
    1.0,
    4.0,
    2000.0,
    1e12,
    f64::MAX,
];
const COUNTS: [u32; 6] = [0, 1, 2, 64, 100_000, u32::MAX];

/// A configuration that the controller accepts.
#[derive(Clone, Debug)]
struct AcceptedConfig(Config);

/// Samples the usual value in two of three cases, and else one of the edge values: with every field
/// at an edge value, the controller would hardly admit a request.
fn sample<T: Clone>(g: &mut Gen, usual: T, edges: &[T]) -> T {
    if u8::arbitrary(g).is_multiple_of(3) {
        g.choose(edges).unwrap().clone()
    } else {
        usual
    }
}

fn sample_handler(g: &mut Gen) -> HandlerConfig {
    HandlerConfig {
        latency_objective: sample(g, Duration::from_secs(1), &DURATIONS),
        objective_stretch: sample(g, 0.0, &AMOUNTS),
        client_timeout: sample(g, Duration::from_secs(3), &DURATIONS),
        priority_weight: sample(g, 1.0, &AMOUNTS),
        idempotency: *g
            .choose(&[
                Idempotency::Idempotent,
                Idempotency::Keyed,
                Idempotency::NonIdempotent,
            ])
            .unwrap(),
        key_retention: sample(g, Duration::from_secs(2), &DURATIONS),
        calls_dependency: bool::arbitrary(g),
        degraded_weight: *g.choose(&[0.0, f64::MIN_POSITIVE, 0.5, 1.0]).unwrap(),
    }
}

fn sample_dependency(g: &mut Gen) -> Dependency {
    let shared = Dependency::Shared {
        share: sample(g, 2.0, &AMOUNTS),
        window: sample(g, Duration::from_secs(5), &DURATIONS),
        linger: sample(g, Duration::from_millis(200), &DURATIONS),
    };
    *g.choose(&[Dependency::None, Dependency::Tier, shared])
        .unwrap()
}

fn sample_config(g: &mut Gen) -> Config {
    Config {
        handlers: (0..3).map(|_| sample_handler(g)).collect(),
        tenants: (0..2)
            .map(|_| TenantConfig {
                rate_quota_per_s: sample(g, 5.0, &AMOUNTS),
            })
            .collect(),
        over_quota_weight: *g.choose(&[0.0, f64::MIN_POSITIVE, 0.1, 1.0]).unwrap(),
        cores: sample(g, 2, &COUNTS),
        memory_kb: sample(g, 2000.0, &AMOUNTS),
        running_memory_factor: sample(g, 4.0, &AMOUNTS),
        key_kb: sample(g, 20.0, &AMOUNTS),
        starts_cold: bool::arbitrary(g),
        cold_speed: *g.choose(&[f64::MIN_POSITIVE, 1e-9, 0.25, 1.0]).unwrap(),
        warm_up: sample(g, Duration::from_secs(10), &DURATIONS),
        max_concurrency_per_core: sample(g, 4.0, &AMOUNTS),
        response_slack: sample(g, Duration::from_millis(60), &DURATIONS),
        drain_grace: sample(g, Duration::from_secs(1), &DURATIONS),
        dependency: sample_dependency(g),
        cancellation: *g
            .choose(&[
                Cancellation::Unsupported,
                Cancellation::DiscardsProgress,
                Cancellation::KeepsProgress,
            ])
            .unwrap(),
        feedback: *g
            .choose(&[
                CallerFeedback::None,
                CallerFeedback::PriorityThreshold,
                CallerFeedback::ConcurrencyCredit,
                CallerFeedback::TrafficWeight,
            ])
            .unwrap(),
        max_retry_after: bool::arbitrary(g).then(|| sample(g, Duration::from_secs(1), &DURATIONS)),
        servers: sample(g, 3, &COUNTS),
        callers: sample(g, 3, &COUNTS),
        marks_retries: bool::arbitrary(g),
        idle_timeout: sample(g, Duration::from_secs(15), &DURATIONS),
    }
}

impl Arbitrary for AcceptedConfig {
    fn arbitrary(g: &mut Gen) -> Self {
        loop {
            let config = sample_config(g);
            if config.validate().is_ok() {
                return AcceptedConfig(config);
            }
        }
    }
}

/// The stage of an open request, as the host knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Queued,
    Running,
    AwaitingCall,
    Calling,
}

/// A host that samples random events and carries out the returned actions.
struct RandomHost {
    controller: Controller,
    rng: fastrand::Rng,
    now: Duration,
    stages: BTreeMap<RequestIndex, Stage>,
    answered: BTreeMap<RequestIndex, u32>,
    /// Requests whose end the host has to report.
    cancelled: Vec<RequestIndex>,
}

impl RandomHost {
    fn new(config: &Config, seed: u64) -> Self {
        let mut host = RandomHost {
            controller: Controller::new(config, seed).expect("the configuration is accepted"),
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            stages: BTreeMap::new(),
            answered: BTreeMap::new(),
            cancelled: Vec::new(),
        };
        host.send(Event::Started);
        host
    }

    fn send(&mut self, event: Event) {
        for action in self.controller.handle_events(self.now, &[event]) {
            self.carry_out(&action);
        }
        while let Some(request) = self.cancelled.pop() {
            if self.stages.contains_key(&request) {
                let outcome = Outcome::Cancelled;
                self.send(Event::Finished { request, outcome });
            }
        }
    }

    fn carry_out(&mut self, action: &Action) {
        match *action {
            Action::Start { request } => _ = self.stages.insert(request, Stage::Running),
            Action::Reject { request, .. } | Action::Fail { request, .. } => self.answer(request),
            Action::Cancel { request } => self.cancelled.push(request),
            Action::StartCall { request, .. } => _ = self.stages.insert(request, Stage::Calling),
            Action::SkipCall { request } => _ = self.stages.insert(request, Stage::Running),
            Action::Release { request } => {
                self.stages.remove(&request);
                self.answered.remove(&request);
            }
            _ => {}
        }
    }

    fn answer(&mut self, request: RequestIndex) {
        let answers = self.answered.entry(request).or_default();
        *answers += 1;
        assert_eq!(*answers, 1, "request {request} is answered twice");
    }

    /// A request in one of these stages, if there is one.
    fn choose(&mut self, stages: &[Stage]) -> Option<RequestIndex> {
        let of_stage = self.stages.iter().filter(|(_, at)| stages.contains(at));
        let requests: Vec<RequestIndex> = of_stage.map(|(&request, _)| request).collect();
        self.rng.choice(requests)
    }

    fn arrive(&mut self) {
        let request = (0..).find(|at| !self.stages.contains_key(at)).unwrap();
        self.stages.insert(request, Stage::Queued);
        let duration = |rng: &mut fastrand::Rng| rng.choice(DURATIONS).unwrap();
        let optional = |rng: &mut fastrand::Rng| rng.bool().then(|| duration(rng));
        let age = match self.rng.u8(..4) {
            0 => duration(&mut self.rng),
            _ => Duration::ZERO,
        };
        let arrival = Arrival {
            request,
            handler: self.rng.usize(..3),
            tenant: self.rng.bool().then_some(request % 2),
            age,
            client_wait: optional(&mut self.rng),
            estimated_work: optional(&mut self.rng),
            queued_kb: self.rng.choice([0.0, 1.0, 40.0, 1e6]).unwrap(),
            is_retry: self.rng.bool(),
            is_duplicate: self.rng.u8(..8) == 0,
        };
        self.send(Event::Arrived(arrival));
    }

    fn fire_timer(&mut self) {
        let pauses = [0, 1, 5, 25, 100, 600, 30_000];
        self.now += Duration::from_millis(self.rng.choice(pauses).unwrap());
        let readings = [0.0, 0.3, 1.0, 50.0];
        let reading = |rng: &mut fastrand::Rng| rng.bool().then(|| rng.choice(readings).unwrap());
        let gauges = Gauges {
            busy_fraction: reading(&mut self.rng),
            runnable: reading(&mut self.rng),
            open_connections: reading(&mut self.rng),
        };
        self.send(Event::TimerFired { gauges });
    }

    fn finish_run(&mut self) {
        if let Some(request) = self.choose(&[Stage::Running]) {
            let outcome = self.rng.choice([Outcome::Succeeded, Outcome::Failed]);
            self.finish(request, outcome.unwrap());
        }
    }

    fn finish(&mut self, request: RequestIndex, outcome: Outcome) {
        if !self.answered.contains_key(&request) {
            self.answer(request);
        }
        self.send(Event::Finished { request, outcome });
    }

    fn reach_call(&mut self) {
        if let Some(request) = self.choose(&[Stage::Running]) {
            self.stages.insert(request, Stage::AwaitingCall);
            self.send(Event::ReachedCall { request });
        }
    }

    fn finish_call(&mut self) {
        let outcomes = [
            Outcome::Succeeded,
            Outcome::Failed,
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::Unreachable,
            Outcome::ConnectionLost,
        ];
        if let Some(request) = self.choose(&[Stage::Calling]) {
            let outcome = self.rng.choice(outcomes).unwrap();
            let stage = match outcome {
                Outcome::Succeeded => Stage::Running,
                _ => Stage::AwaitingCall,
            };
            self.stages.insert(request, stage);
            self.send(Event::CallFinished { request, outcome });
        }
    }

    fn disconnect_caller(&mut self) {
        if let Some(request) = self.choose(&[Stage::Queued, Stage::Running, Stage::Calling]) {
            self.send(Event::CallerGone { request });
        }
    }

    fn notify_shutdown(&mut self) {
        let [since, left] = [DURATIONS, DURATIONS].map(|of| self.rng.choice(of).unwrap());
        self.send(Event::ShutdownNotice { since, left });
    }

    fn step(&mut self) {
        match self.rng.u8(..100) {
            0..40 => self.arrive(),
            40..65 => self.fire_timer(),
            65..80 => self.finish_run(),
            80..88 => self.reach_call(),
            88..96 => self.finish_call(),
            96..99 => self.disconnect_caller(),
            _ => self.notify_shutdown(),
        }
    }
}

fn run_steps(config: AcceptedConfig, seed: u64) -> bool {
    let mut host = RandomHost::new(&config.0, seed);
    for _ in 0..150 {
        host.step();
    }
    true
}

/// Guards against settings that the controller accepts and that then end the process:
/// `limits.max_retry_after` below a tick did so at the first rejection.
#[test]
fn no_accepted_configuration_panics() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 0x7011e))
        .tests(4000)
        .quickcheck(run_steps as fn(AcceptedConfig, u64) -> bool);
}
