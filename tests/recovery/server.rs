//! A simulated server: a controller, an executor whose runs share the cores, a dependency, and
//! callers. Time passes in steps of a millisecond.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use tulipgap::{
    Action, Arrival, Cancellation, Controller, Event, Gauges, Outcome, Reason, RequestIndex,
};

use crate::disruption::{Fault, OddFields, odd_gauges};
use crate::settings::{Estimates, REQUEST_KB, Settings};

/// The step of time.
const STEP: Duration = Duration::from_millis(1);

/// Fraction of the cores that reading takes in a burst, for each multiple of the ordinary traffic.
const READING_CORE_FRACTION: f64 = 0.05;

/// Fraction of the arrivals that are odd while one client sends odd ones beside ordinary traffic.
const ODD_ARRIVAL_FRACTION: f64 = 0.2;

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Queued,
    Running,
    AwaitingCall,
    Calling,
}

struct TrackedRequest {
    stage: Stage,
    /// Seconds on a core until its call, if one is left, and then until its end.
    seconds_to_call: Option<f64>,
    seconds_to_end: f64,
    deadline: Duration,
    call_ends_at: Duration,
    call_outcome: Outcome,
    is_answered: bool,
    /// When its caller disconnects.
    caller_leaves_at: Duration,
    /// It arrived while requests were counted.
    is_counted: bool,
}

/// What became of the requests that arrived since the counts were last reset.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) arrived: u32,
    pub(crate) started: u32,
    pub(crate) served: u32,
    pub(crate) rejected: BTreeMap<String, u32>,
}

/// A simulated server.
pub(crate) struct Server {
    settings: Settings,
    controller: Controller,
    rng: Rng,
    now: Duration,
    timer: Option<Duration>,
    requests: BTreeMap<RequestIndex, TrackedRequest>,
    pending: Vec<Event>,
    arrivals_due: f64,
    fault: Option<Fault>,
    pub(crate) counts: Counts,
}

impl Server {
    /// A server that has just started.
    pub(crate) fn new(settings: Settings, seed: u64) -> Self {
        let controller =
            Controller::new(&settings.config, seed).expect("the configuration is valid");
        let mut server = Server {
            settings,
            controller,
            rng: Rng::with_seed(seed),
            now: Duration::ZERO,
            timer: None,
            requests: BTreeMap::new(),
            pending: vec![Event::Started],
            arrivals_due: 0.0,
            fault: None,
            counts: Counts::default(),
        };
        server.deliver_events();
        server
    }

    /// Whether no request is open or on a core.
    pub(crate) fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.pending.is_empty()
    }

    /// Forgets the counts; requests that are open now are not counted.
    pub(crate) fn reset_counts(&mut self) {
        self.counts = Counts::default();
        for tracked in self.requests.values_mut() {
            tracked.is_counted = false;
        }
    }

    /// Serves ordinary traffic for `length`, with a fault or without.
    pub(crate) fn run(&mut self, length: Duration, fault: Option<Fault>) {
        if matches!(fault, Some(Fault::ExecutorLost)) {
            self.lose_runs();
        }
        let end = self.now + length;
        self.fault = fault;
        while self.now < end {
            self.step();
            self.arrive_ordinary();
            if !matches!(self.fault, Some(Fault::Stall)) {
                self.deliver_events();
            }
        }
        self.fault = None;
    }

    /// Lets time pass without traffic until nothing is open, for at most `limit`.
    pub(crate) fn wait_until_idle(&mut self, limit: Duration) -> bool {
        let end = self.now + limit;
        while !self.is_idle() && self.now < end {
            self.step();
            self.deliver_events();
        }
        self.is_idle()
    }

    fn step(&mut self) {
        self.now += STEP;
        self.advance_runs();
        self.end_calls();
        self.let_callers_leave();
        self.fire_timer();
    }

    fn running(&self) -> f64 {
        let runs = self.requests.values();
        runs.filter(|tracked| tracked.stage == Stage::Running)
            .count() as f64
    }

    fn reading_cores(&self) -> f64 {
        match self.fault {
            Some(Fault::Burst(factor)) => {
                f64::from(self.settings.config.cores) * factor * READING_CORE_FRACTION
            }
            _ => 0.0,
        }
    }

    /// Seconds of work that each run does in a step.
    fn work_per_step(&self) -> f64 {
        let slow_factor = match self.fault {
            Some(Fault::Hang) => return 0.0,
            Some(Fault::SlowRuns(factor)) => factor,
            _ => 1.0,
        };
        let demand = self.running() + self.reading_cores();
        let share = (f64::from(self.settings.config.cores) / demand.max(1.0)).min(1.0);
        STEP.as_secs_f64() * share / (slow_factor * self.settings.machine_slowdown)
    }

    fn advance_runs(&mut self) {
        let work = self.work_per_step();
        if work == 0.0 {
            return;
        }
        let outcome = match self.fault {
            Some(Fault::FailingRuns) => Outcome::Failed,
            _ => Outcome::Succeeded,
        };
        for (&request, tracked) in &mut self.requests {
            if tracked.stage != Stage::Running {
                continue;
            }
            if let Some(seconds) = &mut tracked.seconds_to_call {
                *seconds -= work;
                if *seconds <= 0.0 {
                    tracked.seconds_to_call = None;
                    tracked.stage = Stage::AwaitingCall;
                    self.pending.push(if tracked.is_answered {
                        let outcome = Outcome::Cancelled;
                        Event::Finished { request, outcome }
                    } else {
                        Event::ReachedCall { request }
                    });
                }
                continue;
            }
            tracked.seconds_to_end -= work;
            if tracked.seconds_to_end <= 0.0 {
                tracked.stage = Stage::Queued;
                let is_in_time = !tracked.is_answered && self.now <= tracked.deadline;
                let is_served = is_in_time && outcome == Outcome::Succeeded;
                self.counts.served += u32::from(is_served && tracked.is_counted);
                tracked.is_answered = true;
                self.pending.push(Event::Finished { request, outcome });
            }
        }
    }

    fn end_calls(&mut self) {
        for (&request, tracked) in &mut self.requests {
            if tracked.stage == Stage::Calling && tracked.call_ends_at <= self.now {
                let outcome = tracked.call_outcome;
                tracked.stage = if outcome == Outcome::Succeeded {
                    Stage::Running
                } else {
                    Stage::AwaitingCall
                };
                self.pending.push(Event::CallFinished { request, outcome });
            }
        }
    }

    fn let_callers_leave(&mut self) {
        let now = self.now;
        let leaving: Vec<RequestIndex> = self
            .requests
            .iter()
            .filter(|(_, tracked)| !tracked.is_answered && tracked.caller_leaves_at <= now)
            .map(|(&request, _)| request)
            .collect();
        for request in leaving {
            self.pending.push(Event::CallerGone { request });
            self.answer(request);
        }
    }

    fn fire_timer(&mut self) {
        let is_stalled = matches!(self.fault, Some(Fault::Stall));
        if is_stalled || self.timer.is_none_or(|at| at > self.now) {
            return;
        }
        self.timer = None;
        let gauges = match self.fault {
            Some(Fault::OddGauges) => odd_gauges(&mut self.rng),
            _ => {
                let runnable = self.running() + self.reading_cores();
                let busy = runnable / f64::from(self.settings.config.cores);
                Gauges {
                    busy_fraction: Some(busy.min(1.0)),
                    runnable: Some(runnable),
                    open_connections: Some(10.0),
                }
            }
        };
        self.pending.push(Event::TimerFired { gauges });
    }

    /// The executor forgets its runs.
    fn lose_runs(&mut self) {
        for (&request, tracked) in &mut self.requests {
            if tracked.stage != Stage::Queued {
                tracked.stage = Stage::Queued;
                tracked.is_answered = true;
                let outcome = Outcome::Failed;
                self.pending.push(Event::Finished { request, outcome });
            }
        }
    }

    fn arrive_ordinary(&mut self) {
        let factor = match self.fault {
            Some(Fault::Quiet) => 0.0,
            Some(Fault::Burst(factor)) => factor,
            Some(Fault::OddArrivals(OddFields { is_alone: true, .. })) => ODD_ARRIVAL_FRACTION,
            _ => 1.0,
        };
        let per_step = self.settings.requests_per_second() * STEP.as_secs_f64();
        self.arrivals_due += factor * per_step;
        while self.arrivals_due >= 1.0 {
            self.arrivals_due -= 1.0;
            let odd_fields = match &self.fault {
                Some(Fault::OddArrivals(fields)) => Some(fields.clone()),
                _ => None,
            };
            let is_odd = |fields: &OddFields, rng: &mut Rng| {
                fields.is_alone || rng.f64() < ODD_ARRIVAL_FRACTION
            };
            let odd_fields = odd_fields.filter(|fields| is_odd(fields, &mut self.rng));
            self.arrive(odd_fields);
        }
    }

    fn free_index(&self) -> RequestIndex {
        (0..)
            .find(|index| !self.requests.contains_key(index))
            .expect("an index is free")
    }

    fn arrive(&mut self, odd_fields: Option<OddFields>) {
        let request = self.free_index();
        let handler = self.rng.usize(..self.settings.mean_work.len());
        let mean_work = self.settings.mean_work[handler];
        let work = mean_work.mul_f64(0.7 + 0.6 * self.rng.f64());
        let mut arrival = Arrival {
            request,
            handler,
            tenant: None,
            age: Duration::ZERO,
            client_wait: None,
            estimated_work: match self.settings.estimates {
                Estimates::Absent => None,
                Estimates::Rough(factor) => {
                    Some(work.mul_f64(factor.powf(2.0 * self.rng.f64() - 1.0)))
                }
            },
            queued_kb: REQUEST_KB,
            is_retry: false,
            is_duplicate: false,
        };
        if !self.settings.config.tenants.is_empty() {
            arrival.tenant = Some(self.rng.usize(..self.settings.config.tenants.len()));
        }
        if let Some(fields) = odd_fields {
            apply_odd_fields(&mut arrival, &fields);
        }
        let config = &self.settings.config.handlers[handler];
        let wait = arrival.client_wait.unwrap_or(config.client_timeout);
        let has_call = config.calls_dependency;
        let gives_up_after = match self.fault {
            Some(Fault::CallersGiveUp(time)) => time,
            _ => Duration::MAX,
        };
        let tracked = TrackedRequest {
            stage: Stage::Queued,
            seconds_to_call: has_call.then(|| work.as_secs_f64() / 2.0),
            seconds_to_end: work.as_secs_f64() / if has_call { 2.0 } else { 1.0 },
            deadline: self.now.saturating_add(wait),
            call_ends_at: Duration::MAX,
            call_outcome: Outcome::Succeeded,
            is_answered: false,
            caller_leaves_at: self.now.saturating_add(gives_up_after),
            is_counted: true,
        };
        self.counts.arrived += 1;
        self.requests.insert(request, tracked);
        self.pending.push(Event::Arrived(arrival));
    }

    fn deliver_events(&mut self) {
        loop {
            let events = std::mem::take(&mut self.pending);
            let actions = self.controller.handle_events(self.now, &events);
            for action in actions {
                self.carry_out(&action);
            }
            if self.pending.is_empty() {
                return;
            }
        }
    }

    fn carry_out(&mut self, action: &Action) {
        match *action {
            Action::Start { request } => self.start(request),
            Action::Reject {
                request, reason, ..
            }
            | Action::Fail { request, reason } => self.reject(request, reason),
            Action::Cancel { request } => self.cancel(request),
            Action::StartCall { request, timeout } => self.start_call(request, timeout),
            Action::SkipCall { request } => {
                if let Some(tracked) = self.requests.get_mut(&request) {
                    tracked.stage = Stage::Running;
                }
            }
            Action::SetTimer { at } => self.timer = Some(at.max(self.now + STEP)),
            Action::Release { request } => _ = self.requests.remove(&request),
            Action::Coalesce { .. }
            | Action::RememberKey { .. }
            | Action::ForgetKey { .. }
            | Action::SetFeedback { .. }
            | Action::SetIdleTimeout { .. }
            | Action::SetHealth { .. } => {}
        }
    }

    fn start(&mut self, request: RequestIndex) {
        let tracked = self.requests.get_mut(&request).expect("it is queued");
        self.counts.started += u32::from(tracked.is_counted);
        if matches!(self.fault, Some(Fault::ExecutorLost)) {
            tracked.is_answered = true;
            let outcome = Outcome::Failed;
            self.pending.push(Event::Finished { request, outcome });
        } else {
            tracked.stage = Stage::Running;
        }
    }

    fn reject(&mut self, request: RequestIndex, reason: Reason) {
        if self.requests[&request].is_counted {
            *self
                .counts
                .rejected
                .entry(format!("{reason:?}"))
                .or_default() += 1;
        }
        self.answer(request);
    }

    /// Records the final answer of a request; a run that is at its call then ends.
    fn answer(&mut self, request: RequestIndex) {
        let tracked = self.requests.get_mut(&request).expect("it is open");
        tracked.is_answered = true;
        if matches!(tracked.stage, Stage::AwaitingCall | Stage::Calling) {
            tracked.stage = Stage::Queued;
            let outcome = Outcome::Cancelled;
            self.pending.push(Event::Finished { request, outcome });
        }
    }

    fn cancel(&mut self, request: RequestIndex) {
        let can_cancel = self.settings.config.cancellation != Cancellation::Unsupported;
        let is_hung = matches!(self.fault, Some(Fault::Hang));
        let Some(tracked) = self.requests.get_mut(&request) else {
            return;
        };
        if can_cancel && !is_hung && tracked.stage == Stage::Running {
            tracked.stage = Stage::Queued;
            let outcome = Outcome::Cancelled;
            self.pending.push(Event::Finished { request, outcome });
        }
    }

    fn start_call(&mut self, request: RequestIndex, timeout: Duration) {
        let usual = self.settings.mean_call.mul_f64(0.5 + self.rng.f64());
        let (takes, outcome) = match self.fault {
            Some(Fault::SilentCalls) => (Duration::MAX, Outcome::Succeeded),
            Some(Fault::RejectedCalls) => (STEP, Outcome::Rejected),
            Some(Fault::SlowCalls(factor)) => (usual.mul_f64(factor), Outcome::Succeeded),
            _ => (usual, Outcome::Succeeded),
        };
        let tracked = self.requests.get_mut(&request).expect("it awaits its call");
        tracked.stage = Stage::Calling;
        tracked.call_ends_at = self.now.saturating_add(takes.min(timeout));
        tracked.call_outcome = if takes > timeout {
            Outcome::TimedOut
        } else {
            outcome
        };
    }
}

fn apply_odd_fields(arrival: &mut Arrival, fields: &OddFields) {
    arrival.estimated_work = fields.estimated_work.or(arrival.estimated_work);
    arrival.age = fields.age.unwrap_or(arrival.age);
    arrival.client_wait = fields.client_wait.or(arrival.client_wait);
    arrival.queued_kb = fields.queued_kb.unwrap_or(arrival.queued_kb);
    arrival.is_retry = fields.is_retry;
}
