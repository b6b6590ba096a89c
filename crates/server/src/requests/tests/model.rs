//! A reference model of the registry: it takes commands as coroutines do, and checks each command
//! against the rules for runs and responses.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tulipgap::Idempotency;

use super::common::ms;
use super::{RETENTION, bytes, incoming, next_command};
use crate::requests::{Command, Outcome, RequestEvent, RequestRegistry, Response, Ticket};

/// The idempotency of each handler of the shared configuration.
const IDEMPOTENCIES: [Idempotency; 3] = [
    Idempotency::Idempotent,
    Idempotency::Keyed,
    Idempotency::NonIdempotent,
];

/// The state of a request in the model.
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
    /// By key: the arrival time and the id of the last request that ran with the key.
    pub(super) ran: HashMap<String, (Duration, String)>,
    /// Keys and ids of requests that have not run, because the executor reported that they were not
    /// started.
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
        // If the registry still handles events of the request, the report that its run was not
        // started means that it has not run.
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
        assert!(
            !request.is_finished,
            "a command after the end of the request"
        );
        match command {
            Command::Start => {
                request.runs += 1;
                assert_eq!(request.runs, 1, "a request runs once");
                // A start command does not count as a run if the executor has reported in the
                // meantime that the run was not started.
                let has_never_run =
                    |key: &String| self.never_ran.contains(&(key.clone(), request.id.clone()));
                if let Some(key) = request.key.as_ref().filter(|key| !has_never_run(key)) {
                    let last = self
                        .ran
                        .insert(key.clone(), (request.arrived_at, request.id.clone()));
                    let again =
                        last.filter(|(_, id)| !self.never_ran.contains(&(key.clone(), id.clone())));
                    assert!(
                        again.is_none_or(|last| request.arrived_at.abs_diff(last.0) >= ms(RETENTION)),
                        "a keyed request runs once within the retention"
                    );
                }
            }
            Command::Respond(answer) => {
                assert_eq!(request.answer, None, "a request is answered once");
                let is_rejected = matches!(answer, Response::Rejected { .. });
                assert!(
                    !is_rejected
                        || request.runs == 0
                        || request.idempotency == Idempotency::Idempotent,
                    "rejected after a run"
                );
                // No other attempt of a request that ran within the retention is rejected either.
                if let Some(key) = request.key.as_ref().filter(|_| is_rejected) {
                    let has_never_run =
                        |id: &String| self.never_ran.contains(&(key.clone(), id.clone()));
                    // An attempt that arrived before the one that ran was rejected before that one
                    // arrived; otherwise the later attempt would have been coalesced with it. The
                    // earlier attempt is not a duplicate; only its command is taken late.
                    let arrival_order = |id: &str| id[1..].parse::<usize>().unwrap();
                    let ran = self.ran.get(key).filter(|(_, id)| {
                        !has_never_run(id) && arrival_order(id) < arrival_order(&request.id)
                    });
                    assert!(
                        ran.is_none_or(|ran| request.arrived_at >= ran.0 + ms(RETENTION)),
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

    /// Takes all queued commands.
    pub(super) fn take_all_commands(&mut self) {
        for request_index in 0..self.requests.len() {
            while self.take_command(request_index) {}
        }
    }
}
