//! What an event of an open request changes, and what the controller decides on it.
//!
//! The links to the executor and to the store report events; a ticket that is dropped reports that
//! the caller is gone. Events of a request that is released, of a run that was not started, and of
//! a call that the run does not wait for are ignored.

use std::time::Instant;

use tulipgap::{Event, Outcome};
use tulipgap_trace::Reason;

use super::RegistryState;
use crate::requests::messages::{Bytes, RequestEvent, Response};
use crate::requests::open_request::OpenRequest;

impl RegistryState {
    /// Handles an event of an open request, and passes it to the controller.
    pub(in crate::requests) fn handle_event(&mut self, index: usize, event: RequestEvent) {
        let request = self.requests.get(index);
        if !request.is_some_and(|request| is_handled(request, &event)) {
            return;
        }
        match event {
            RequestEvent::CallerGone => self.caller_gone(index),
            RequestEvent::CallReached { call, body } => self.call_reached(index, call, body),
            RequestEvent::CallFinished { outcome, reply } => {
                self.call_finished(index, outcome, reply);
            }
            RequestEvent::RunFinished {
                outcome,
                result,
                work,
            } => {
                self.requests[index].record_work(work);
                self.run_finished(index, outcome, result);
            }
        }
    }

    fn caller_gone(&mut self, index: usize) {
        self.requests[index].is_caller_gone = true;
        self.decide(Event::CallerGone { request: index });
    }

    fn call_reached(&mut self, index: usize, call: u64, body: Bytes) {
        if self.requests[index].reach_call(call, body) {
            self.decide(Event::ReachedCall { request: index });
        }
    }

    fn call_finished(&mut self, index: usize, outcome: Outcome, reply: Bytes) {
        if self.requests[index].finish_call(outcome, reply) {
            self.decide(Event::CallFinished {
                request: index,
                outcome,
            });
        }
    }

    fn run_finished(&mut self, index: usize, outcome: Outcome, result: Bytes) {
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
            // Nothing ran, so a request with its key is no duplicate.
            Outcome::NotStarted => self.forget_key(index),
            _ => {}
        }
        self.settle_key(index, response);
        self.decide(Event::Finished {
            request: index,
            outcome,
        });
    }

    /// Lets the controller decide on what happened, and on what its actions bring about in turn.
    pub(in crate::requests) fn decide(&mut self, event: Event) {
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

/// Whether an event of a request is handled: none is after its release, and those of a run are only
/// where a run was started.
fn is_handled(request: &OpenRequest, event: &RequestEvent) -> bool {
    if request.is_released {
        return false;
    }
    request.is_started || matches!(event, RequestEvent::CallerGone)
}
