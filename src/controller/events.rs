//! The order of decisions: on each event, on each tick and on each control step.

use std::time::Duration;

use super::Controller;
use crate::action::Action;
use crate::drain::ShutdownNotice;
use crate::event::{Event, Gauges};
use crate::metrics::Metric;

impl Controller {
    /// Takes what happened, in order, and returns what is to be done, in order. `now` is the time
    /// since the start of the process.
    pub fn handle_events(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        self.advance_clock(now);
        for event in events {
            match event {
                Event::Started => {
                    out.push(Action::SetHealth { healthy: true });
                    out.push(Action::SetTimer {
                        at: self.schedule.next_tick,
                    });
                }
                Event::Arrived(arrival) => self.request_arrived(arrival, &mut out),
                Event::Finished { request, outcome } => {
                    self.run_finished(*request, *outcome, &mut out)
                }
                Event::CallerGone { request } => self.caller_gone(*request, &mut out),
                Event::ReachedCall { request } => self.call_reached(*request, &mut out),
                Event::CallFinished { request, outcome } => {
                    self.call_finished(*request, *outcome, &mut out)
                }
                Event::TimerFired { gauges } => self.tick(gauges, &mut out),
                Event::ShutdownNotice { since, left } => self.start_drain(*since, *left, &mut out),
            }
        }
        self.retry_waiting_calls(&mut out);
        self.start_queued(&mut out);
        out
    }

    fn advance_clock(&mut self, now: Duration) {
        let before = self.clock.now();
        let passed_seconds = self.clock.advance(now, &self.schedule);
        self.call_budget.forget_ended_calls(before);
        self.metrics.advance(self.clock.now());
        let in_flight = (self.requests.calling + self.call_budget.abandoned_calls()) as f64;
        self.metrics
            .add(Metric::CallsInFlight, in_flight * passed_seconds);
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
            self.expire_requests(out);
        }
    }

    /// Everything that goes by the clock.
    fn tick(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        let now = self.clock.now();
        self.schedule.tick(now);
        out.push(Action::SetTimer {
            at: self.schedule.next_tick,
        });
        self.memory.expire_keys(now);
        self.read_gauges(gauges);
        self.expire_requests(out);
        self.update_slowdown();
        if self.schedule.take_control_step(now) {
            self.running_limit.update(
                !self.requests.queue_is_empty(),
                self.cores.are_busy(),
                self.survivable_concurrency.usable(now),
            );
            self.brownout
                .update(self.metrics.mean_response_seconds(), self.cores.are_busy());
            self.update_wanted_traffic();
            self.update_idle_timeout(gauges.open_connections.unwrap_or(0.0), out);
        }
        self.send_feedback(out);
    }
}
