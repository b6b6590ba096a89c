//! A plain model of the rules: it takes commands as coroutines do and checks each against what is
//! allowed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tulipgap::Idempotency;

use super::common::ms;
use super::{WINDOW, bytes, incoming, next_command};
use crate::requests::{Command, Outcome, RequestEvent, RequestRegistry, Response, Ticket};

/// The idempotency of each handler of the shared configuration.
const IDEMPOTENCIES: [Idempotency; 3] = [
    Idempotency::Idempotent,
    Idempotency::Keyed,
    Idempotency::NonIdempotent,
];

/// A request as the model sees it.
pub(super) struct ModelRequest {
    pub(super) ticket: Ticket,
    pub(super) id: String,
    pub(super) idempotency: Idempotency,
    pub(super) key: Option<String>,
    pub(super) arrived_at: Duration,
    pub(super) answer: Option<Response>,
    pub(super) runs: u32,
    pub(super) call: Option<u64>,
    pub(super) calls: u64,
    pub(super) is_finished: bool,
}

#[derive(Default)]
pub(super) struct Model {
    pub(super) requests: Vec<ModelRequest>,
    pub(super) now: Duration,
    /// By key: when the request that ran last with it arrived, and its id.
    pub(super) ran: HashMap<String, (Duration, String)>,
    /// Keys and ids of requests that are proven never to have run.
    pub(super) never_ran: Vec<(String, String)>,
}

impl Model {
    pub(super) fn register(&mut self, registry: &Arc<RequestRegistry>, handler: usize, key: usize) {
        let id = format!("r{}", self.requests.len());
        let key = (IDEMPOTENCIES[handler] == Idempotency::Keyed).then(|| format!("k{key}"));
        let ticket = registry
            .register(incoming(&id, handler, key.as_deref()))
            .expect("its id is new");
        self.requests.push(ModelRequest {
            ticket,
            id,
            idempotency: IDEMPOTENCIES[handler],
            key,
            arrived_at: self.now,
            answer: None,
            runs: 0,
            call: None,
            calls: 0,
            is_finished: false,
        });
    }

    pub(super) fn report(
        &mut self,
        registry: &RequestRegistry,
        request_index: usize,
        event_index: usize,
    ) {
        const OUTCOMES: [Outcome; 8] = [
            Outcome::Succeeded,
            Outcome::Failed,
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::Unreachable,
            Outcome::ConnectionLost,
            Outcome::Cancelled,
            Outcome::NotStarted,
        ];
        let count = self.requests.len();
        let Some(request) = self.requests.get_mut(request_index % count.max(1)) else {
            return;
        };
        let outcome = OUTCOMES[event_index % 8];
        let report = match event_index % 3 {
            0 => RequestEvent::RunFinished {
                outcome,
                result: bytes(&request.id),
                work: None,
            },
            1 => RequestEvent::CallFinished {
                outcome,
                reply: bytes("reply"),
            },
            _ => {
                request.calls += 1;
                RequestEvent::CallReached {
                    call: request.calls,
                    body: bytes("body"),
                }
            }
        };
        // The executor has not started it: where the registry still listens, that takes the run
        // back.
        let state = registry.state.lock();
        let open = state.request(&request.id);
        let never_ran = matches!(
            report,
            RequestEvent::RunFinished {
                outcome: Outcome::NotStarted,
                ..
            }
        ) && open.is_some_and(|request| request.is_started && !request.is_released);
        drop(state);
        if let Some(key) = request.key.as_ref().filter(|_| never_ran) {
            self.never_ran.push((key.clone(), request.id.clone()));
        }
        registry.report(&request.id, report);
    }

    /// Takes one command of a request and checks it against the rules.
    pub(super) fn take_command(&mut self, request_index: usize) -> bool {
        let count = self.requests.len();
        let Some(request) = self.requests.get_mut(request_index % count.max(1)) else {
            return false;
        };
        let Some(command) = next_command(&request.ticket) else {
            return false;
        };
        assert!(!request.is_finished, "a command after the last one");
        match command {
            Command::Start => {
                request.runs += 1;
                assert_eq!(request.runs, 1, "run once");
                // Its start was commanded, but by now it is proven never to have run: that is no
                // run.
                let proven =
                    |key: &String| self.never_ran.contains(&(key.clone(), request.id.clone()));
                if let Some(key) = request.key.as_ref().filter(|key| !proven(key)) {
                    let last = self
                        .ran
                        .insert(key.clone(), (request.arrived_at, request.id.clone()));
                    let again =
                        last.filter(|(_, id)| !self.never_ran.contains(&(key.clone(), id.clone())));
                    assert!(
                        again.is_none_or(|last| request.arrived_at.abs_diff(last.0) >= ms(WINDOW)),
                        "once in its window"
                    );
                }
            }
            Command::Respond(answer) => {
                assert_eq!(request.answer, None, "answered once");
                let is_rejected = matches!(answer, Response::Rejected { .. });
                assert!(
                    !is_rejected
                        || request.runs == 0
                        || request.idempotency == Idempotency::Idempotent,
                    "rejected after a run"
                );
                // No other attempt of what ran within the window is rejected either.
                if let Some(key) = request.key.as_ref().filter(|_| is_rejected) {
                    let proven = |id: &String| self.never_ran.contains(&(key.clone(), id.clone()));
                    // One that arrived before the one that ran was rejected before it, or the other
                    // would have been coalesced with it: its command is only taken late, and it is
                    // no duplicate.
                    let came = |id: &str| id[1..].parse::<usize>().unwrap();
                    let ran = self
                        .ran
                        .get(key)
                        .filter(|(_, id)| !proven(id) && came(id) < came(&request.id));
                    assert!(
                        ran.is_none_or(|ran| request.arrived_at >= ran.0 + ms(WINDOW)),
                        "a duplicate is rejected after a run"
                    );
                }
                request.answer = Some(answer);
            }
            Command::StartCall { body, .. } => assert_eq!(body, bytes("body")),
            Command::SkipCall { call } => {
                assert!(request.idempotency == Idempotency::Idempotent && call <= request.calls);
                request.call = None;
            }
            Command::Resume { reply } => assert_eq!(reply, bytes("reply")),
            Command::Cancel => assert!(request.runs > 0, "nothing to cancel"),
            Command::Finish => request.is_finished = true,
        }
        true
    }

    /// Takes all commands that there are now.
    pub(super) fn take_all_commands(&mut self) {
        for request_index in 0..self.requests.len() {
            while self.take_command(request_index) {}
        }
    }
}
