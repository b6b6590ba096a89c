//! The lifecycle of a request: the handler parses and registers it, executes the commands for it,
//! and replies to it, until its run has ended.
//!
//! A request that is answered on arrival needs no coroutine. In a flood or at a shutdown thousands
//! arrive at once, and each would have a stack mapped and unmapped for one reply. The session that
//! has read such a request registers and answers it; only a request that has to wait gets a
//! coroutine.

use std::hash::{BuildHasher, RandomState};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tulipgap_connection_limits::Event;
use tulipgap_trace::Reason;

use super::codec::{self, CallError, Fields, Reply, ReplyField};
use super::connection::{Connection, OpenRequest};
use super::connection_table::ConnectionTable;
use super::memory::MemoryLimit;
use super::parse::{ParsedRequest, RequestParser, unix_now};
use super::pending_reply::PendingReply;
use super::recent_ids::RecentIds;
use super::summary::{MALFORMED_MESSAGES, REJECTED_WITHOUT_MEMORY};
use crate::net::executor::ExecutorClient;
use crate::net::spawn;
use crate::net::store::StoreClient;
use crate::requests::{
    Bytes, ClassName, Command, RegisterError, RequestEvent, RequestId, RequestRegistry, Response,
    Ticket,
};

/// The longest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 2048;
/// The maximum number of fields of a reply.
const MAX_REPLY_FIELDS: usize = 3;

/// A request that was read and checked, but is not registered yet.
pub(super) struct ArrivedRequest {
    sequence: i32,
    request: ParsedRequest,
    body: Bytes,
}

/// Processes requests. It owns the parser, the limits and the recent ids that requests are checked
/// against; the registry owns the open requests.
pub(super) struct RequestHandler {
    registry: Arc<RequestRegistry>,
    executor: Arc<ExecutorClient>,
    store: Arc<StoreClient>,
    table: Arc<ConnectionTable>,
    parser: RequestParser,
    memory_limit: MemoryLimit,
    /// Callers may cancel their requests.
    callers_may_cancel: bool,
    /// Hashes bodies. Its keys are random, so that no caller can construct another body with the
    /// same hash.
    body_hasher: RandomState,
    pub(super) recent_ids: Mutex<RecentIds>,
}

/// The parts of this server that the request handler uses.
pub(super) struct Services {
    pub(super) registry: Arc<RequestRegistry>,
    pub(super) executor: Arc<ExecutorClient>,
    pub(super) store: Arc<StoreClient>,
}

impl RequestHandler {
    /// A handler for the requests on the connections of `table`.
    pub(super) fn new(
        services: Services,
        table: Arc<ConnectionTable>,
        parser: RequestParser,
        memory_limit: MemoryLimit,
        callers_may_cancel: bool,
    ) -> Arc<Self> {
        let Services {
            registry,
            executor,
            store,
        } = services;
        Arc::new(RequestHandler {
            registry,
            executor,
            store,
            table,
            parser,
            memory_limit,
            callers_may_cancel,
            body_hasher: RandomState::new(),
            recent_ids: Mutex::default(),
        })
    }

    /// Checks a request. [`RequestHandler::register_arrived`] registers it.
    ///
    /// # Errors
    /// [`CallError::Malformed`] if a field, the sequence number, the body or the id is invalid.
    pub(super) fn handle(
        self: &Arc<Self>,
        connection: &Arc<Connection>,
        sequence: i32,
        fields: &Fields,
        body: Vec<u8>,
    ) -> Result<(), CallError> {
        let request = self.parser.parse(fields, connection.accepted_at)?;
        if connection.open_requests.lock().contains_key(&sequence) {
            return Err(CallError::Malformed("a sequence that is open".into()));
        }
        if body.len() > MAX_BODY_BYTES {
            return Err(CallError::Malformed("a body too long".into()));
        }
        if !self.memory_limit.admits(self.registry.open_count()) {
            self.reject_without_memory(connection, sequence, &request);
            return Ok(());
        }
        if !self.recent_ids.lock().insert(request.number) {
            return Err(CallError::Malformed("its id came before".into()));
        }
        let open = OpenRequest {
            id: request.incoming.id.clone(),
            is_cancelled: false,
        };
        connection.open_requests.lock().insert(sequence, open);
        self.table.notify(Event::RequestStarted {
            connection: connection.id,
        });
        connection.arrived_requests.lock().push(ArrivedRequest {
            sequence,
            request,
            body: body.into(),
        });
        Ok(())
    }

    /// Registers the requests of a connection that were read together, after the cancellations that
    /// were read with them, so that a cancelled request is not run. Each request is answered at
    /// once or gets a coroutine.
    pub(super) fn register_arrived(self: &Arc<Self>, connection: &Arc<Connection>) {
        let arrived = std::mem::take(&mut *connection.arrived_requests.lock());
        for request in arrived {
            // A panic fails this request only, not its connection.
            let handled = catch_unwind(AssertUnwindSafe(|| self.process(connection, request)));
            if handled.is_err() {
                log::error!("request handling panicked");
            }
        }
    }

    fn reject_without_memory(
        &self,
        connection: &Connection,
        sequence: i32,
        request: &ParsedRequest,
    ) {
        self.registry
            .record_unregistered(&request.incoming, Reason::NO_CAPACITY);
        if let Some(count) = REJECTED_WITHOUT_MEMORY.count_event() {
            log::warn!("request rejected reason=no_memory count={count}");
        }
        let fields = self.retry_after_fields();
        // The first attempt of a duplicate may have run. A rejection states that no attempt has
        // run, so the reply to the duplicate is a failure.
        let reply = match self.registry.is_duplicate(&request.incoming) {
            true => Reply::Failed { fields: &[] },
            false => Reply::Rejected { fields: &fields },
        };
        connection.reply(codec::PROCESS, sequence, &reply);
        self.table.notify(Event::RequestRejected {
            connection: connection.id,
        });
    }

    /// Registers a request and executes its commands: in the calling coroutine if the request is
    /// answered on arrival, otherwise in a new coroutine.
    fn process(self: &Arc<Self>, connection: &Arc<Connection>, arrived: ArrivedRequest) {
        let ArrivedRequest {
            sequence,
            request,
            body,
        } = arrived;
        let ParsedRequest {
            mut incoming,
            class,
            number,
            arrived,
        } = request;
        let id = incoming.id.clone();
        let is_at_most_once = self.registry.runs_at_most_once(incoming.handler);
        // If the clock was set back, the age is zero.
        incoming.age = unix_now().saturating_sub(arrived);
        // The wait that the request states counts from its arrival at the machine.
        incoming.client_wait = incoming
            .client_wait
            .map(|wait| wait.saturating_sub(incoming.age));
        if connection.is_cancelled(sequence) {
            incoming.client_wait = Some(Duration::ZERO);
        }
        incoming.body_hash = self.body_hasher.hash_one(&body);
        let pending = PendingReply::new(&self.table, connection, sequence);
        let ticket = match self.registry.register(incoming) {
            Ok(ticket) => ticket,
            Err(error) => return self.reply_unregistered(connection, &pending, error),
        };
        let is_finished = ticket.is_finished_on_arrival();
        let run = Run {
            handler: self.clone(),
            ticket,
            pending,
            id,
            number,
            class,
            body,
            is_at_most_once,
        };
        if is_finished {
            run.execute_commands();
        } else {
            spawn(move || run.execute_commands());
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
            RegisterError::KeysFull => {
                if let Some(count) = REJECTED_WITHOUT_MEMORY.count_event() {
                    log::warn!("request rejected reason=no_key_memory count={count}");
                }
                pending.send(&Reply::Rejected {
                    fields: &self.retry_after_fields(),
                });
            }
            RegisterError::DuplicateId => {
                pending.send(&Reply::Exception(&CallError::Malformed(
                    error.to_string().into(),
                )));
            }
            RegisterError::KeyReused => {
                if let Some(count) = MALFORMED_MESSAGES.count_event() {
                    log::warn!("request rejected reason=key_reused count={count}");
                }
                self.table.notify(Event::ProtocolViolation {
                    connection: connection.id,
                });
                pending.send(&Reply::Exception(&CallError::Malformed(
                    error.to_string().into(),
                )));
            }
        }
    }

    /// Cancels the request with this sequence number. The cancellation of a request that is already
    /// answered has no effect.
    ///
    /// # Errors
    /// [`CallError::InvalidMessageType`] if callers may not cancel.
    pub(super) fn cancel(&self, connection: &Connection, sequence: i32) -> Result<(), CallError> {
        if !self.callers_may_cancel {
            return Err(CallError::InvalidMessageType);
        }
        let id = connection
            .open_requests
            .lock()
            .get_mut(&sequence)
            .map(|request| {
                request.is_cancelled = true;
                request.id.clone()
            });
        if let Some(id) = id {
            self.registry.report(&id, RequestEvent::CallerGone);
        }
        Ok(())
    }

    /// Reports that the callers of a connection's open requests are gone: the connection has
    /// failed, so no reply can reach them.
    pub(super) fn report_callers_gone(&self, connection: &Connection) {
        let open_requests = connection.open_requests.lock();
        let ids: Vec<RequestId> = open_requests
            .values()
            .map(|request| request.id.clone())
            .collect();
        drop(open_requests);
        for id in ids {
            self.registry.report(&id, RequestEvent::CallerGone);
        }
    }

    /// The retry-after field of requests that are rejected before the controller decides on them.
    fn retry_after_fields(&self) -> Vec<ReplyField> {
        self.registry
            .max_retry_after()
            .map(codec::retry_after_field)
            .into_iter()
            .collect()
    }
}

/// A registered request whose commands are executed.
struct Run {
    handler: Arc<RequestHandler>,
    ticket: Ticket,
    pending: PendingReply,
    id: RequestId,
    /// The id as a number.
    number: u64,
    class: ClassName,
    body: Bytes,
    is_at_most_once: bool,
}

impl Run {
    /// Executes the commands for the request in order until [`Command::Finish`].
    fn execute_commands(self) {
        let RequestHandler {
            registry,
            executor,
            store,
            ..
        } = &*self.handler;
        let mut calls = 0;
        let mut call_deadline = None;
        loop {
            let Some(command) = self.ticket.next_command(call_deadline) else {
                // The call has timed out. Unless it was never sent, it may have had its effect.
                call_deadline = None;
                let outcome = store.abandon_call(&self.id, calls);
                registry.report(
                    &self.id,
                    RequestEvent::CallFinished {
                        outcome,
                        reply: Bytes::default(),
                    },
                );
                continue;
            };
            match command {
                Command::Start => {
                    self.handler.recent_ids.lock().record_start(self.number);
                    executor.start(&self.id, &self.class, &self.body, self.is_at_most_once);
                }
                Command::Cancel => executor.cancel(&self.id),
                Command::StartCall { timeout, body } => {
                    calls += 1;
                    call_deadline = Instant::now().checked_add(timeout);
                    store.call(&self.id, calls, timeout, &body);
                }
                Command::Resume { reply } => {
                    call_deadline = None;
                    executor.reply(&self.id, &reply);
                }
                Command::SkipCall { call } => {
                    call_deadline = None;
                    executor.skip_call(&self.id, call);
                }
                Command::Respond(response) => self.respond(&response),
                Command::Finish => break,
            }
        }
        // The request was finished while its call was in flight.
        if call_deadline.is_some() {
            store.abandon_call(&self.id, calls);
        }
    }

    fn respond(&self, response: &Response) {
        let mut fields = Vec::with_capacity(MAX_REPLY_FIELDS);
        fields.extend(self.handler.registry.feedback().map(codec::feedback_field));
        match response {
            Response::Completed(result) => {
                self.pending.send(&Reply::Result {
                    body: result,
                    fields: &fields,
                    succeeded: true,
                });
            }
            Response::Failed => self.pending.send(&Reply::Failed { fields: &fields }),
            Response::Rejected {
                retry_after,
                retry_other_server,
            } => {
                fields.extend(retry_after.map(codec::retry_after_field));
                fields.extend((!retry_other_server).then(codec::no_retry_other_server_field));
                self.pending.send(&Reply::Rejected { fields: &fields });
            }
        }
    }
}
