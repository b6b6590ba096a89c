//! The state machine of one server: events in, actions out.
//!
//! [`Controller`] owns the state of every rule, routes each event to the rules that it concerns,
//! passes values from one rule to another, and turns the results of the rules into actions. The
//! rules are in the sibling modules and never import this module; docs/design.md lists them. This
//! file defines the order of decisions on events, ticks and control steps; `request_arrival.rs`,
//! `request_start.rs`, `dependency_calls.rs` and `request_end.rs` follow a request from its arrival
//! to its end.

mod dependency_calls;
mod request_arrival;
mod request_end;
mod request_start;

use std::time::Duration;

use crate::action::Action;
use crate::admission::{Memory, QUOTA_WINDOW, TenantQuotas};
use crate::brownout::Brownout;
use crate::caller_feedback::{Feedback, FeedbackInput, WantedTraffic, WantedTrafficInput};
use crate::clock::{CONTROL_INTERVAL, Clock, Schedule};
use crate::concurrency::{CoreUsage, RunningLimit, SurvivableConcurrency};
use crate::config::{Cancellation, Config, ConfigError};
use crate::dependency::{CallBudget, UsualCallTime};
use crate::drain::{Drain, ShutdownNotice};
use crate::event::{Event, Gauges};
use crate::handlers::{HandlerProfile, handler_profiles};
use crate::health::{RunTimes, Slowdown, SlowdownSample, high_failure_fraction, is_degraded};
use crate::idle_timeout::{ConnectionLoad, IdleTimeout, STORM_WINDOW};
use crate::metrics::{MIN_RETAINED_SPAN, Metric, Metrics};
use crate::queue::{IdleProbe, Queue};
use crate::requests::{RequestTable, Stage};

// A sum over a longer window than the metrics retain would silently be too small.
const _: () = {
    let retained_millis = MIN_RETAINED_SPAN.as_millis();
    assert!(QUOTA_WINDOW.as_millis() <= retained_millis);
    assert!(STORM_WINDOW.as_millis() <= retained_millis);
    assert!(CONTROL_INTERVAL.as_millis() <= retained_millis);
};

/// The overload controller of one server. It owns all state.
pub struct Controller {
    handlers: Vec<HandlerProfile>,
    priority_levels: usize,
    clock: Clock,
    schedule: Schedule,
    metrics: Metrics,
    requests: RequestTable,
    queue: Queue,
    idle_probe: IdleProbe,
    memory: Memory,
    quotas: TenantQuotas,
    cores: CoreUsage,
    survivable_concurrency: SurvivableConcurrency,
    running_limit: RunningLimit,
    slowdown: Slowdown,
    brownout: Brownout,
    call_budget: CallBudget,
    usual_call_time: UsualCallTime,
    wanted_traffic: WantedTraffic,
    feedback: Feedback,
    max_retry_after: Option<Duration>,
    retries_are_marked: bool,
    idle_timeout: IdleTimeout,
    drain: Drain,
    drain_grace: Duration,
    can_cancel: bool,
    rng: fastrand::Rng,
}

impl Controller {
    /// Creates the controller of a server that starts now.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] that names the field which is out of range.
    pub fn new(config: &Config, seed: u64) -> Result<Self, ConfigError> {
        config.validate()?;
        let (handlers, priority_levels) = handler_profiles(config);
        let schedule = Schedule::new(config.response_slack, config.shortest_client_timeout());
        let tick_interval = schedule.tick_interval;
        Ok(Controller {
            priority_levels,
            clock: Clock::default(),
            metrics: Metrics::new(config.dependency, tick_interval, priority_levels),
            requests: RequestTable::default(),
            queue: Queue::default(),
            idle_probe: IdleProbe::default(),
            memory: Memory::new(config),
            quotas: TenantQuotas::new(config),
            cores: CoreUsage::new(config.cores),
            survivable_concurrency: SurvivableConcurrency::new(config),
            running_limit: RunningLimit::new(config.cores),
            slowdown: Slowdown::new(config),
            brownout: Brownout::new(&handlers),
            call_budget: CallBudget::new(config, &handlers, tick_interval),
            usual_call_time: UsualCallTime::default(),
            wanted_traffic: WantedTraffic::new(config.feedback),
            feedback: Feedback::new(config),
            max_retry_after: config.max_retry_after,
            retries_are_marked: config.marks_retries,
            idle_timeout: IdleTimeout::new(config.idle_timeout),
            drain: Drain::default(),
            drain_grace: config.drain_grace,
            can_cancel: config.cancellation != Cancellation::Unsupported,
            rng: fastrand::Rng::with_seed(seed),
            handlers,
            schedule,
        })
    }

    /// Handles `events` in order and returns the resulting actions in order. `now` is the time
    /// since the start of the process.
    pub fn handle_events(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        self.advance_clock(now);
        for event in events {
            self.handle_event(event, &mut out);
        }
        self.retry_waiting_calls(&mut out);
        self.start_queued(&mut out);
        out
    }

    fn handle_event(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::Started => self.started(out),
            Event::Arrived(arrival) => self.request_arrived(arrival, out),
            Event::Finished { request, outcome } => self.run_finished(*request, *outcome, out),
            Event::CallerGone { request } => self.caller_gone(*request, out),
            Event::ReachedCall { request } => self.call_reached(*request, out),
            Event::CallFinished { request, outcome } => {
                self.call_finished(*request, *outcome, out);
            }
            Event::TimerFired { gauges } => self.tick(gauges, out),
            Event::ShutdownNotice { since, left } => self.start_drain(*since, *left, out),
        }
    }

    fn advance_clock(&mut self, now: Duration) {
        let before = self.clock.now();
        let passed_seconds = self.clock.advance(now, &self.schedule);
        self.metrics.advance(self.clock.now());
        // Abandoned calls that ended since `before` were in flight for a part of the interval, so
        // they still count in it and are forgotten at the next advance.
        self.call_budget.forget_ended_calls(before);
        let calls_in_flight = self.requests.calling() + self.call_budget.abandoned_calls();
        self.metrics.add(
            Metric::CallsInFlight,
            calls_in_flight as f64 * passed_seconds,
        );
    }

    fn started(&self, out: &mut Vec<Action>) {
        out.push(Action::SetHealth { healthy: true });
        out.push(Action::SetTimer {
            at: self.schedule.next_tick,
        });
    }

    fn tick(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        let now = self.clock.now();
        self.schedule.tick(now);
        out.push(Action::SetTimer {
            at: self.schedule.next_tick,
        });
        self.memory.expire_keys(now);
        self.update_core_usage(gauges);
        self.reject_overtaken(out);
        self.give_up_late_requests(out);
        self.update_slowdown();
        if self.schedule.take_control_step(now) {
            self.control_step(gauges, out);
        }
        self.send_feedback(out);
    }

    fn control_step(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        let cores_are_busy = self.cores.are_busy();
        self.running_limit.update(
            !self.queue.is_empty(),
            cores_are_busy,
            self.survivable_concurrency.usable(self.clock.now()),
        );
        self.brownout
            .update(self.metrics.mean_response_seconds(), cores_are_busy);
        self.update_wanted_traffic();
        self.update_idle_timeout(gauges.open_connections.unwrap_or(0.0), out);
    }

    fn update_core_usage(&mut self, gauges: &Gauges) {
        self.cores.update(gauges, self.requests.running() as f64);
        self.metrics
            .add(Metric::ReadingCores, self.cores.reading_cores);
        self.metrics
            .add(Metric::CoresBusy, self.cores.busy_fraction);
    }

    fn update_slowdown(&mut self) {
        let sample = SlowdownSample {
            completed: RunTimes {
                core_seconds: self.metrics.recent(Metric::CoreTime),
                work_seconds: self.metrics.recent(Metric::Work),
            },
            mean_work_seconds: self.metrics.mean_work_seconds(),
            age: self.clock.now(),
            started_warm: self.survivable_concurrency.started_warm(),
        };
        let awake_seconds = self.clock.awake_seconds();
        let running = self
            .requests
            .in_stage(Stage::Running)
            .map(|request| RunTimes {
                core_seconds: request.core_seconds_so_far(awake_seconds),
                work_seconds: request.work_seconds,
            });
        self.slowdown.update(&sample, running);
    }

    fn update_wanted_traffic(&mut self) {
        self.wanted_traffic.update(&WantedTrafficInput {
            mean_unread_seconds: self.metrics.mean_unread_seconds(CONTROL_INTERVAL),
            setpoint_seconds: self.brownout.setpoint_seconds(),
            rejected_fraction: self.metrics.rejected_fraction(),
            mean_reading_cores: self.metrics.mean_per_tick(Metric::ReadingCores),
            cores: self.cores.cores,
        });
    }

    fn update_idle_timeout(&mut self, open_connections: f64, out: &mut Vec<Action>) {
        let changed = self.idle_timeout.update(&ConnectionLoad {
            open_connections,
            callers: self.feedback.callers(),
            cores: self.cores.cores,
            arrived: self.metrics.sum_over(Metric::Arrived, STORM_WINDOW),
            completed: self.metrics.sum_over(Metric::Completed, STORM_WINDOW),
            mean_reading_cores: self.metrics.mean_per_tick(Metric::ReadingCores),
            mean_busy_fraction: self.metrics.mean_per_tick(Metric::CoresBusy),
        });
        out.extend(changed.map(|timeout| Action::SetIdleTimeout { timeout }));
    }

    fn send_feedback(&mut self, out: &mut Vec<Action>) {
        let changed = self.feedback.update(&FeedbackInput {
            is_draining: self.drain.callers_should_leave(self.clock.now()),
            is_failing: self.high_failure_fraction() > 0.0,
            slowdown_traffic_fraction: self.slowdown.traffic_fraction(),
            wanted_traffic_fraction: self.wanted_traffic.fraction(),
            warm_concurrency: self.survivable_concurrency.warm(),
            cores: self.cores.cores,
        });
        out.extend(changed.map(|value| Action::SetFeedback { value }));
    }

    fn start_drain(&mut self, since: Duration, left: Duration, out: &mut Vec<Action>) {
        let has_started = self.drain.start(&ShutdownNotice {
            now: self.clock.now(),
            since,
            left,
            grace: self.drain_grace,
            busy_fraction: self.cores.busy_fraction,
            setpoint_seconds: self.brownout.setpoint_seconds(),
        });
        if has_started {
            out.push(Action::SetHealth { healthy: false });
            self.reject_overtaken(out);
            self.give_up_late_requests(out);
        }
    }

    /// The fraction of recent runs that failed, or 0 if that fraction is not high.
    fn high_failure_fraction(&self) -> f64 {
        high_failure_fraction(
            self.metrics.recent(Metric::Failed),
            self.metrics.recent(Metric::Completed),
        )
    }

    /// Whether this server drains, many of its recent runs fail, or it is far slower than usual, so
    /// that another server would do better.
    fn is_degraded(&self) -> bool {
        is_degraded(
            self.drain.has_started(),
            self.high_failure_fraction() > 0.0,
            self.slowdown.is_far_above_usual(),
        )
    }
}
