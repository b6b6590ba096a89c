//! Handles the events of open requests, and notifies the controller of them.
//!
//! The executor link and the store client report events of runs and calls. A connection reports
//! that a caller is gone, and so does a ticket that is dropped. The registry ignores the events of
//! a released request, the events of a run or call before the controller has started a run of the
//! request, the end of a call while no call is in flight, and a call that is reached while the run
//! already waits for one.

use std::time::Instant;

use tulipgap::{Event, Outcome};
use tulipgap_trace::Reason;

use super::RegistryState;
use crate::requests::messages::{Bytes, RequestEvent, Response};
use crate::requests::open_request::OpenRequest;

impl RegistryState {
    /// Handles an event of an open request, and notifies the controller of it.
    pub(in crate::requests) fn handle_event(&mut self, index: usize, event: RequestEvent) {
        let request = self.requests.get(index);
        if !request.is_some_and(|request| is_handled(request, &event)) {
            return;
        }
        match event {
            RequestEvent::CallerGone => self.handle_caller_gone(index),
            RequestEvent::CallReached { call, body } => self.handle_call_reached(index, call, body),
            RequestEvent::CallFinished { outcome, reply } => {
                self.handle_call_finished(index, outcome, reply);
            }
            RequestEvent::RunFinished {
                outcome,
                result,
                work,
            } => {
                self.requests[index].record_work(work);
                self.handle_run_finished(index, outcome, result);
            }
        }
    }

    fn handle_caller_gone(&mut self, index: usize) {
        self.requests[index].is_caller_gone = true;
        self.notify_controller(Event::CallerGone { request: index });
    }

    fn handle_call_reached(&mut self, index: usize, call: u64, body: Bytes) {
        if self.requests[index].reach_call(call, body) {
            self.notify_controller(Event::ReachedCall { request: index });
        }
    }

    fn handle_call_finished(&mut self, index: usize, outcome: Outcome, reply: Bytes) {
        if self.requests[index].finish_call(outcome, reply) {
            self.notify_controller(Event::CallFinished {
                request: index,
                outcome,
            });
        }
    }

    fn handle_run_finished(&mut self, index: usize, outcome: Outcome, result: Bytes) {
        if let Some(delay) = self.requests[index].finish_run(Instant::now()) {
            self.longest_delays.record_run(delay);
        }
        let response = match outcome {
            Outcome::Succeeded => Response::Completed(result),
            _ => Response::Failed,
        };
        match outcome {
            Outcome::Succeeded => self.respond(index, response.clone(), Reason::NONE),
            Outcome::Failed => self.respond(index, response.clone(), Reason::RUN_FAILED),
            // The request has not run, so another request with its key is not a duplicate.
            Outcome::NotStarted => self.forget_key(index),
            _ => {}
        }
        self.complete_key(index, response);
        self.notify_controller(Event::Finished {
            request: index,
            outcome,
        });
    }

    /// Notifies the controller of an event, applies its actions, and repeats this for the events
    /// that the actions cause.
    pub(in crate::requests) fn notify_controller(&mut self, event: Event) {
        let mut events = vec![event];
        while !events.is_empty() {
            let now = self.now();
            let Some(running) = self.running.as_mut() else {
                return;
            };
            let actions = running
                .controller
                .handle_events(now, &std::mem::take(&mut events));
            for action in actions {
                self.apply(action, now);
            }
            events = self.answer_coalesced();
        }
    }
}

/// Whether an event of a request is handled. Events after the release of the request are ignored,
/// and so are events of a run or call before a run was started.
fn is_handled(request: &OpenRequest, event: &RequestEvent) -> bool {
    if request.is_released {
        return false;
    }
    request.is_started || matches!(event, RequestEvent::CallerGone)
}
