//! A small host that samples plausible events from a seed, hands them to the controller and carries
//! out the returned actions.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use tulipgap::{
    Action, Arrival, Cancellation, Config, Controller, Event, Gauges, Idempotency, Outcome, Reason,
    RequestIndex,
};

use crate::RENAMED_WORDS;
use crate::phase::Phase;
use crate::recorded_words::with_recorded_words;

/// How long a run takes to notice that it was cancelled.
const CANCELLATION_DELAY: Duration = Duration::from_millis(3);

/// Fraction of the events after which the shutdown notice comes.
const DRAIN_FROM_EVENT_FRACTION: f64 = 0.93;

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Queued,
    Coalesced,
    Running,
    AwaitingCall,
    Calling,
}

struct TrackedRequest {
    handler: usize,
    key: u64,
    stage: Stage,
    is_answered: bool,
    work: Duration,
    calls_left: u32,
    /// When the present run, call or cancellation ends, and how.
    ends_at: Duration,
    outcome: Outcome,
}

/// A host, and the checksum of its transcript.
pub(crate) struct Host {
    config: Config,
    controller: Controller,
    rng: Rng,
    now: Duration,
    phase: Phase,
    phase_ends_at: Duration,
    next_arrival: Duration,
    timer: Duration,
    requests: BTreeMap<RequestIndex, TrackedRequest>,
    /// Remembered keys and the requests that carry them.
    keys: BTreeMap<u64, (RequestIndex, Duration)>,
    next_key: u64,
    terminates_at: Option<Duration>,
    hasher: crc32fast::Hasher,
    action_count: usize,
    occurrences: BTreeMap<&'static str, usize>,
}

impl Host {
    /// A host whose server has just started.
    pub(crate) fn new(config: Config, seed: u64) -> Self {
        let mut rng = Rng::with_seed(0x5eed_0000 + seed);
        let controller = Controller::new(&config, seed).expect("the configuration is valid");
        let phase = Phase::sample(&mut rng, f64::from(config.cores));
        Host {
            config,
            controller,
            rng,
            now: Duration::ZERO,
            phase_ends_at: phase.length,
            phase,
            next_arrival: Duration::ZERO,
            timer: Duration::MAX,
            requests: BTreeMap::new(),
            keys: BTreeMap::new(),
            next_key: 0,
            terminates_at: None,
            hasher: crc32fast::Hasher::new(),
            action_count: 0,
            occurrences: BTreeMap::new(),
        }
    }

    /// The checksum of all actions so far, in order.
    pub(crate) fn checksum(&self) -> u32 {
        self.hasher.clone().finalize()
    }

    /// The number of actions so far.
    pub(crate) fn action_count(&self) -> usize {
        self.action_count
    }

    /// How often each kind of action and each reason occurred.
    pub(crate) fn occurrences(&self) -> BTreeMap<&'static str, usize> {
        self.occurrences.clone()
    }

    /// Sends events until there are `events` or the process is terminated; the shutdown notice is
    /// among the last events.
    pub(crate) fn run_transcript(&mut self, events: usize) {
        self.send(&[Event::Started]);
        let notice_at = (events as f64 * DRAIN_FROM_EVENT_FRACTION) as usize;
        let mut sent = 1;
        while sent < events && self.terminates_at.is_none_or(|end| self.now < end) {
            self.advance();
            let mut batch = self.due_events();
            if sent >= notice_at && self.terminates_at.is_none() {
                let left = Duration::from_millis(self.rng.u64(1_200..3_000));
                self.terminates_at = Some(self.now + left);
                let since = Duration::from_millis(self.rng.u64(0..40));
                batch.push(Event::ShutdownNotice { since, left });
            }
            sent += batch.len();
            self.send(&batch);
        }
    }

    /// Advances to the next time at which an event is due, or past it if the process stalls.
    fn advance(&mut self) {
        let ends = self.requests.values().map(|request| request.ends_at);
        let next = ends.min().unwrap_or(Duration::MAX);
        let next = next.min(self.timer).min(self.next_arrival);
        self.now = self.now.max(next);
        if self.rng.f64() < self.phase.stall_probability {
            self.now += Duration::from_millis(self.rng.u64(20..700));
        }
        if self.now >= self.phase_ends_at {
            self.phase = Phase::sample(&mut self.rng, f64::from(self.config.cores));
            self.phase_ends_at = self.now + self.phase.length;
        }
    }

    fn due_events(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        if self.timer <= self.now {
            self.timer = Duration::MAX;
            events.push(self.timer_fired());
        }
        let due = |request: &TrackedRequest| request.ends_at <= self.now;
        let ended: Vec<RequestIndex> = (self.requests.iter())
            .filter(|(_, request)| due(request))
            .map(|(&index, _)| index)
            .collect();
        for request in ended {
            events.extend(self.end(request));
        }
        if self.next_arrival <= self.now {
            let mean_gap = 1.0 / self.phase.arrivals_per_second;
            self.next_arrival =
                self.now + Duration::from_secs_f64(mean_gap * 2.0 * self.rng.f64() + 1e-4);
            events.push(self.arrive());
        }
        if self.rng.f64() < 0.01 {
            events.extend(self.disconnect_caller());
        }
        events
    }

    fn timer_fired(&mut self) -> Event {
        let running = self.count(Stage::Running) as f64;
        let runnable = running + self.phase.reading_cores * (0.5 + self.rng.f64());
        let own_busy = runnable / f64::from(self.config.cores);
        let background_busy = self.phase.background_busy;
        let has_gauges = self.rng.f64() < 0.9 || background_busy > 0.0;
        let open_connections = self.phase.open_connections;
        let gauges = Gauges {
            busy_fraction: has_gauges.then(|| (own_busy + background_busy).min(1.0)),
            runnable: has_gauges.then_some(runnable),
            open_connections: has_gauges.then_some(open_connections),
        };
        Event::TimerFired { gauges }
    }

    fn count(&self, stage: Stage) -> usize {
        let requests = self.requests.values();
        requests.filter(|request| request.stage == stage).count()
    }

    /// Tracks a new request under a free index, and returns its arrival.
    fn arrive(&mut self) -> Event {
        let rng = &mut self.rng;
        let request = (0..)
            .find(|index| !self.requests.contains_key(index))
            .expect("an index is free");
        let handler = rng.usize(0..self.config.handlers.len());
        let is_keyed = self.config.handlers[handler].idempotency == Idempotency::Keyed;
        let remembered: Vec<u64> = self.keys.keys().copied().collect();
        let is_duplicate = is_keyed
            && !remembered.is_empty()
            && rng.f64() < self.phase.duplicate_probability.max(0.1);
        let key = if is_duplicate {
            remembered[rng.usize(0..remembered.len())]
        } else {
            self.next_key += 1;
            self.next_key
        };
        // The last handler's requests are tiny in some transcripts.
        let is_tiny = handler == 3 && self.config.cores == 3;
        let work_us = if is_tiny { 50..900 } else { 5_000..150_000 };
        let work = Duration::from_micros(rng.u64(work_us));
        let calls_left = if self.config.handlers[handler].calls_dependency {
            rng.u32(0..3)
        } else {
            0
        };
        self.requests.insert(
            request,
            TrackedRequest {
                handler,
                key,
                stage: Stage::Queued,
                is_answered: false,
                work,
                calls_left,
                ends_at: Duration::MAX,
                outcome: Outcome::Succeeded,
            },
        );
        let age_ms = self.phase.min_age_ms + self.phase.mean_age_ms * 2.0 * rng.f64();
        Event::Arrived(Arrival {
            request,
            handler,
            tenant: (!self.config.tenants.is_empty() && rng.f64() < 0.9)
                .then(|| rng.usize(0..self.config.tenants.len()).min(rng.usize(0..4))),
            age: Duration::from_micros((age_ms * 1_000.0) as u64),
            client_wait: (rng.f64() < 0.4).then(|| Duration::from_millis(rng.u64(50..3_500))),
            estimated_work: (rng.f64() < 0.6).then(|| work.mul_f64(0.5 + rng.f64())),
            queued_kb: 20.0 + 180.0 * rng.f64() * rng.f64(),
            is_retry: rng.f64() < self.phase.retry_probability,
            is_duplicate,
        })
    }

    /// Disconnects the caller of a random request.
    fn disconnect_caller(&mut self) -> Vec<Event> {
        let indices: Vec<RequestIndex> = self.requests.keys().copied().collect();
        if indices.is_empty() {
            return Vec::new();
        }
        let request = indices[self.rng.usize(0..indices.len())];
        let tracked = self.requests.get_mut(&request).expect("it was listed");
        tracked.is_answered = true;
        if tracked.stage == Stage::AwaitingCall {
            tracked.ends_at = self.now;
        }
        vec![Event::CallerGone { request }]
    }

    /// Ends the run, call or wait of a request.
    fn end(&mut self, request: RequestIndex) -> Vec<Event> {
        let now = self.now;
        let tracked = self.requests.get_mut(&request).expect("it was listed");
        tracked.ends_at = Duration::MAX;
        let outcome = tracked.outcome;
        match tracked.stage {
            Stage::Queued => vec![],
            Stage::Coalesced => vec![Event::Finished { request, outcome }],
            Stage::AwaitingCall => vec![Event::Finished {
                request,
                outcome: Outcome::Cancelled,
            }],
            Stage::Running if outcome == Outcome::Succeeded && tracked.calls_left > 0 => {
                tracked.stage = Stage::AwaitingCall;
                tracked.calls_left -= 1;
                if tracked.is_answered {
                    tracked.ends_at = now + CANCELLATION_DELAY;
                }
                vec![Event::ReachedCall { request }]
            }
            Stage::Running => {
                tracked.is_answered |= outcome != Outcome::Cancelled;
                let key = tracked.key;
                let mut events = vec![Event::Finished { request, outcome }];
                events.extend(self.end_coalesced(key, outcome));
                events
            }
            Stage::Calling => {
                if outcome == Outcome::Succeeded {
                    self.run(request);
                } else {
                    tracked.stage = Stage::AwaitingCall;
                    if tracked.is_answered {
                        tracked.ends_at = now + CANCELLATION_DELAY;
                    }
                }
                vec![Event::CallFinished { request, outcome }]
            }
        }
    }

    /// Ends the requests that wait for the result of this key.
    fn end_coalesced(&mut self, key: u64, outcome: Outcome) -> Vec<Event> {
        let (now, config) = (self.now, &self.config);
        let mut events = Vec::new();
        for (&request, tracked) in &mut self.requests {
            let is_keyed = config.handlers[tracked.handler].idempotency == Idempotency::Keyed;
            if is_keyed && tracked.stage == Stage::Coalesced && tracked.key == key {
                tracked.ends_at = Duration::MAX;
                tracked.is_answered = true;
                events.push(Event::Finished { request, outcome });
            }
        }
        self.keys
            .retain(|&other, &mut (_, until)| other != key || until > now);
        events
    }

    /// Puts a request on a core until it ends or reaches its next call.
    fn run(&mut self, request: RequestIndex) {
        let contention = (self.count(Stage::Running) + 1) as f64 / f64::from(self.config.cores);
        let slowdown = self.phase.run_slowdown * contention.max(1.0);
        let failure = self.rng.f64() < self.phase.failure_probability;
        let tracked = self.requests.get_mut(&request).expect("it was started");
        let pieces = f64::from(tracked.calls_left + 1);
        tracked.stage = Stage::Running;
        tracked.ends_at = self.now + tracked.work.mul_f64(slowdown / pieces);
        tracked.outcome = match failure {
            true if self.rng.f64() < 0.05 => Outcome::NotStarted,
            true if self.rng.f64() < 0.05 => Outcome::Cancelled,
            true => Outcome::Failed,
            false => Outcome::Succeeded,
        };
    }

    fn start_call(&mut self, request: RequestIndex, timeout: Duration) {
        let usual = Duration::from_micros(self.rng.u64(8_000..30_000));
        let takes = usual.mul_f64(self.phase.call_slowdown);
        let (takes, outcome) = if self.rng.f64() < self.phase.call_failure_probability {
            match self.rng.usize(0..6) {
                0 => (takes, Outcome::Failed),
                1 => (takes, Outcome::Rejected),
                2 => (takes, Outcome::Unreachable),
                3 => (takes, Outcome::ConnectionLost),
                _ => (timeout, Outcome::TimedOut),
            }
        } else if takes < timeout {
            (takes, Outcome::Succeeded)
        } else {
            (timeout, Outcome::TimedOut)
        };
        let tracked = self.requests.get_mut(&request).expect("it makes a call");
        tracked.stage = Stage::Calling;
        tracked.ends_at = self.now + takes.min(timeout);
        tracked.outcome = outcome;
    }

    fn send(&mut self, events: &[Event]) {
        let actions = self.controller.handle_events(self.now, events);
        for action in &actions {
            let text = format!("{action:?}\n");
            let text = with_recorded_words(&text, RENAMED_WORDS);
            self.hasher.update(text.as_bytes());
            self.count_action(action);
            self.carry_out(action);
        }
        self.action_count += actions.len();
    }

    fn carry_out(&mut self, action: &Action) {
        let now = self.now;
        match *action {
            Action::Start { request } => self.run(request),
            Action::Reject { request, .. } | Action::Fail { request, .. } => {
                let tracked = self.requests.get_mut(&request).expect("it is answered");
                tracked.is_answered = true;
                if tracked.stage == Stage::AwaitingCall {
                    tracked.ends_at = now + CANCELLATION_DELAY;
                }
            }
            Action::Cancel { request } => {
                let can_cancel = self.config.cancellation != Cancellation::Unsupported;
                assert!(can_cancel, "{action:?} on a host that cannot cancel runs");
                let tracked = self.requests.get_mut(&request).expect("it runs");
                // One run in four ends by itself before its cancellation takes effect.
                if request % 4 != 0 && tracked.stage == Stage::Running {
                    tracked.ends_at = tracked.ends_at.min(now + CANCELLATION_DELAY);
                    tracked.outcome = Outcome::Cancelled;
                }
            }
            Action::Coalesce { request } => {
                let tracked = self.requests.get_mut(&request).expect("it has arrived");
                tracked.stage = Stage::Coalesced;
                // Stands for the stored result of a first request that has ended. If the first
                // request ends before this delay is over, the duplicate ends with it.
                let delay = Duration::from_millis(self.rng.u64(1..400));
                tracked.ends_at = now + delay;
            }
            Action::RememberKey { request, retention } => {
                let key = self.requests[&request].key;
                self.keys.insert(key, (request, now + retention));
            }
            Action::ForgetKey { request } => {
                let key = self.requests[&request].key;
                self.keys.remove(&key);
            }
            Action::StartCall { request, timeout } => self.start_call(request, timeout),
            Action::SkipCall { request } => self.run(request),
            Action::SetTimer { at } => self.timer = at.max(now + Duration::from_millis(1)),
            Action::Release { request } => {
                self.requests.remove(&request);
            }
            Action::SetFeedback { .. }
            | Action::SetIdleTimeout { .. }
            | Action::SetHealth { .. } => {}
        }
    }

    fn count_action(&mut self, action: &Action) {
        let (kind, reason) = match action {
            Action::Start { .. } => ("Start", None),
            Action::Reject { reason, .. } => ("Reject", Some(*reason)),
            Action::Fail { reason, .. } => ("Fail", Some(*reason)),
            Action::Cancel { .. } => ("Cancel", None),
            Action::Coalesce { .. } => ("Coalesce", None),
            Action::RememberKey { .. } => ("RememberKey", None),
            Action::ForgetKey { .. } => ("ForgetKey", None),
            Action::StartCall { .. } => ("StartCall", None),
            Action::SkipCall { .. } => ("SkipCall", None),
            Action::SetFeedback { .. } => ("SetFeedback", None),
            Action::SetIdleTimeout { .. } => ("SetIdleTimeout", None),
            Action::SetHealth { .. } => ("SetHealth", None),
            Action::SetTimer { .. } => ("SetTimer", None),
            Action::Release { .. } => ("Release", None),
        };
        *self.occurrences.entry(kind).or_default() += 1;
        if let Some(reason) = reason {
            *self.occurrences.entry(reason_name(reason)).or_default() += 1;
        }
    }
}

fn reason_name(reason: Reason) -> &'static str {
    match reason {
        Reason::MemoryLimit => "MemoryLimit",
        Reason::HighFailureRate => "HighFailureRate",
        Reason::AdmissionControl => "AdmissionControl",
        Reason::PredictedLate => "PredictedLate",
        Reason::Overtaken => "Overtaken",
        Reason::ObjectiveMissed => "ObjectiveMissed",
        Reason::DeadlineNear => "DeadlineNear",
        Reason::Draining => "Draining",
        Reason::Terminating => "Terminating",
        Reason::CallFailed => "CallFailed",
        Reason::Cancelled => "Cancelled",
    }
}
