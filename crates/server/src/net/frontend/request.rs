//! The life of a request: from its reading and registration, through the commands for it, to its
//! response and the end of its run.

use std::cell::Cell;
use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tulipgap_connection_limits::Event;
use tulipgap_trace::Reason;

use super::codec::{CallError, Fields, Reply, ReplyField};
use super::connection::{Connection, OpenRequest};
use super::parse::{ParsedRequest, unix_now};
use super::{Frontend, MALFORMED_MESSAGES, REJECTED_WITHOUT_MEMORY};
use crate::invariant;
use crate::net::spawn;
use crate::requests::{
    Bytes, ClassName, Command, RegisterError, RequestEvent, RequestId, Response, Ticket,
};

/// The longest body of a request.
const MAX_BODY_BYTES: usize = 2048;

/// A request's place on its connection. It is removed once the request is answered, or when this is
/// dropped because nobody is there to answer.
pub(super) struct PendingReply<'a> {
    frontend: &'a Frontend,
    connection: &'a Connection,
    sequence: i32,
    is_concluded: Cell<bool>,
}

impl<'a> PendingReply<'a> {
    pub(super) fn new(frontend: &'a Frontend, connection: &'a Connection, sequence: i32) -> Self {
        PendingReply {
            frontend,
            connection,
            sequence,
            is_concluded: Cell::new(false),
        }
    }

    fn send(&self, reply: &Reply) {
        invariant!(
            !self.is_concluded.replace(true),
            "a request is answered once on its connection"
        );
        self.connection
            .conclude("process", self.sequence, reply, |open_requests| {
                open_requests.remove(&self.sequence);
            });
        // The standing of a client grows with what was served, and not with what was rejected.
        let is_answered = matches!(reply, Reply::Result { .. });
        self.frontend.notify(Event::RequestFinished {
            connection: self.connection.id,
            is_answered,
        });
    }
}

impl Drop for PendingReply<'_> {
    /// Concluded without a reply; a coroutine that panics owes one all the same.
    fn drop(&mut self) {
        if !self.is_concluded.get() && std::thread::panicking() {
            self.send(&Reply::Failed { fields: &[] });
        } else if !self.is_concluded.replace(true) {
            self.connection.open_requests.lock().remove(&self.sequence);
            let connection = self.connection.id;
            self.frontend.notify(Event::RequestFinished {
                connection,
                is_answered: false,
            });
            self.connection.output.wake();
        }
    }
}

impl Frontend {
    /// Checks a request and starts a coroutine for it.
    pub(super) fn handle_request(
        self: &Arc<Self>,
        connection: &Arc<Connection>,
        sequence: i32,
        fields: &Fields,
        body: Vec<u8>,
    ) -> Result<(), CallError> {
        let request = self.parse_request(fields, connection.accepted_at)?;
        if connection.open_requests.lock().contains_key(&sequence) {
            return Err(CallError::Malformed("a sequence that is open".into()));
        }
        if body.len() > MAX_BODY_BYTES {
            return Err(CallError::Malformed("a body too long".into()));
        }
        if self.registry.open() >= self.max_open_requests {
            self.reject_without_memory(connection, sequence, &request);
            return Ok(());
        }
        if !self.recent_ids.lock().is_new(request.number) {
            return Err(CallError::Malformed("its id came before".into()));
        }
        let open = OpenRequest {
            id: request.incoming.id.clone(),
            is_cancelled: false,
        };
        connection.open_requests.lock().insert(sequence, open);
        self.notify(Event::RequestStarted {
            connection: connection.id,
        });
        let (frontend, connection) = (self.clone(), connection.clone());
        spawn(move || frontend.process(&connection, sequence, request, body.into()));
        Ok(())
    }

    fn reject_without_memory(
        &self,
        connection: &Connection,
        sequence: i32,
        request: &ParsedRequest,
    ) {
        self.registry
            .record_unregistered(&request.incoming, Reason::NO_CAPACITY);
        if let Some(count) = REJECTED_WITHOUT_MEMORY.pass() {
            log::warn!("request rejected reason=no_memory count={count}");
        }
        let fields = self.retry_after_fields();
        // The first attempt of a duplicate may have run, so it may not be rejected.
        let reply = match self.registry.is_duplicate(&request.incoming) {
            true => Reply::Failed { fields: &[] },
            false => Reply::Rejected { fields: &fields },
        };
        connection.reply("process", sequence, &reply);
    }

    /// Processes a request until its run has ended.
    fn process(&self, connection: &Connection, sequence: i32, request: ParsedRequest, body: Bytes) {
        let ParsedRequest {
            mut incoming,
            class,
            arrived,
            ..
        } = request;
        let id = incoming.id.clone();
        let at_most_once = self.registry.runs_at_most_once(incoming.handler);
        // A clock that was set back makes it zero.
        incoming.age = unix_now().saturating_sub(arrived);
        // The client's wait is as it was when the request arrived.
        incoming.client_wait = incoming
            .client_wait
            .map(|wait| wait.saturating_sub(incoming.age));
        // Cancelled in the very read that brought it, as where much stands unread: it would be run
        // for nobody.
        if connection
            .open_requests
            .lock()
            .get(&sequence)
            .is_some_and(|open| open.is_cancelled)
        {
            incoming.client_wait = Some(Duration::ZERO);
        }
        incoming.body_hash = self.body_hasher.hash_one(&body);
        let pending = PendingReply::new(self, connection, sequence);
        match self.registry.register(incoming) {
            Ok(ticket) => {
                let run = Run {
                    frontend: self,
                    id: &id,
                    class: &class,
                    body: &body,
                    at_most_once,
                };
                run.carry_out(&ticket, &pending);
            }
            Err(error) => self.reply_unregistered(connection, &pending, error),
        }
    }

    fn reply_unregistered(
        &self,
        connection: &Connection,
        pending: &PendingReply,
        error: RegisterError,
    ) {
        match error {
            RegisterError::NotStarted => pending.send(&Reply::Rejected {
                fields: &self.retry_after_fields(),
            }),
            RegisterError::DuplicateId => {
                pending.send(&Reply::Exception(&CallError::Malformed(
                    error.to_string().into(),
                )));
            }
            RegisterError::KeyReused => {
                if let Some(count) = MALFORMED_MESSAGES.pass() {
                    log::warn!("request rejected reason=key_reused count={count}");
                }
                self.notify(Event::ProtocolViolation {
                    connection: connection.id,
                });
                pending.send(&Reply::Exception(&CallError::Malformed(
                    error.to_string().into(),
                )));
            }
        }
    }

    /// The field that carries the feedback value with every answer.
    pub(super) fn feedback_field(&self) -> Option<ReplyField> {
        self.registry
            .feedback()
            .map(|value| ("signal", format!("{value:.4}")))
    }

    /// When to come back, for what is rejected before the controller has seen it.
    fn retry_after_fields(&self) -> Vec<ReplyField> {
        self.registry
            .max_retry_after()
            .map(retry_after_field)
            .into_iter()
            .collect()
    }
}

/// A registered request, as its coroutine carries out its commands.
struct Run<'a> {
    frontend: &'a Frontend,
    id: &'a RequestId,
    class: &'a ClassName,
    body: &'a Bytes,
    at_most_once: bool,
}

impl Run<'_> {
    /// Carries out one command after the other until there are no more.
    fn carry_out(&self, ticket: &Ticket, pending: &PendingReply) {
        let Frontend {
            registry,
            executor,
            store,
            ..
        } = self.frontend;
        let mut calls = 0;
        let mut call_deadline = None;
        loop {
            let Some(command) = ticket.next_command(call_deadline) else {
                // The call had its time; it may still have had its effect, unless it never left
                // this process.
                call_deadline = None;
                let outcome = store.give_up(self.id, calls);
                registry.report(
                    self.id,
                    RequestEvent::CallFinished {
                        outcome,
                        reply: Bytes::default(),
                    },
                );
                continue;
            };
            match command {
                Command::Start => executor.start(self.id, self.class, self.body, self.at_most_once),
                Command::Cancel => executor.cancel(self.id),
                Command::StartCall { timeout, body } => {
                    calls += 1;
                    call_deadline = Instant::now().checked_add(timeout);
                    store.call(self.id, calls, timeout, &body);
                }
                Command::Resume { reply } => {
                    call_deadline = None;
                    executor.reply(self.id, &reply);
                }
                Command::SkipCall { call } => {
                    call_deadline = None;
                    executor.skip_call(self.id, call);
                }
                Command::Respond(response) => self.respond(pending, &response),
                Command::Finish => break,
            }
        }
        // A run that ended while its call was in flight.
        if call_deadline.is_some() {
            store.give_up(self.id, calls);
        }
    }

    fn respond(&self, pending: &PendingReply, response: &Response) {
        let mut fields = Vec::with_capacity(3);
        fields.extend(self.frontend.feedback_field());
        match response {
            Response::Completed(result) => {
                pending.send(&Reply::Result {
                    body: result,
                    fields: &fields,
                    succeeded: true,
                });
            }
            Response::Failed => pending.send(&Reply::Failed { fields: &fields }),
            Response::Rejected {
                retry_after,
                retry_other_server,
            } => {
                fields.extend(retry_after.map(retry_after_field));
                fields.extend((!retry_other_server).then(|| ("nomore", "1".to_owned())));
                pending.send(&Reply::Rejected { fields: &fields });
            }
        }
    }
}

/// The field that tells a caller how long to stay away.
fn retry_after_field(wait: Duration) -> ReplyField {
    ("holdoff", format!("{:.0}", wait.as_secs_f64() * 1e3))
}
