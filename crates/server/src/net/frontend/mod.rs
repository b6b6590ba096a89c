//! The frontend: connections from edge nodes, and the requests and health checks that they send.
//!
//! [`Frontend`] owns the parts below and routes between them; no part refers to the frontend.
//!
//! | file | job |
//! | --- | --- |
//! | `listener` | accepting connections, and closing the listener without losing a connection |
//! | `connection_table` | all connections, and the limiter that admits and closes them |
//! | `connection` | the state of one connection that all coroutines share |
//! | `session` | the coroutine of a connection: reading, writing and closing |
//! | `backlog` | the length of the accept queue, and the time to serve it at a shutdown |
//! | `closing` | the decision when and how a connection closes |
//! | `request` | the lifecycle of a request, from its arrival to its reply |
//! | `pending_reply` | the reply to a request, which is sent exactly once |
//! | `memory` | the limit on open requests by memory |
//! | `parse` | parsing the fields of a request |
//! | `health` | health checks |
//! | `recent_ids` | the ids of recent requests, to detect repeated ones |
//! | `summary` | the counters in the log |
//! | `codec` | the messages on the wire |

mod backlog;
mod closing;
mod codec;
mod connection;
mod connection_table;
mod health;
mod listener;
mod memory;
mod parse;
mod pending_reply;
mod recent_ids;
mod request;
mod session;
mod summary;

#[cfg(test)]
mod tests;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::net::{TcpListener, TcpStream};
use tulipgap_connection_limits::{Event, Limiter};
use tulipgap_settings::Names;

pub(crate) use self::backlog::Backlog;
use self::codec::{Call, Message, Reply};
use self::connection::Connection;
use self::connection_table::{Admitted, ConnectionTable, Rejected};
use self::health::HealthChecks;
use self::listener::Acceptor;
use self::memory::MemoryLimit;
use self::parse::RequestParser;
use self::request::{RequestHandler, Services};
use self::session::{MessageHandler, Session};
use self::summary::{FrontendSummary, MALFORMED_MESSAGES, REJECTED_WITHOUT_MEMORY};
use super::executor::ExecutorClient;
use super::store::StoreClient;
use super::stream::BufferedStream;
use crate::invariant;
use crate::net::spawn;
use crate::requests::RequestRegistry;

/// The number of descriptors that are reserved for the executor, the log and the runtime.
pub(crate) const RESERVED_DESCRIPTORS: usize = 16;
/// How long a connection may take to send its first message, and a message may take from its first
/// byte to its last.
pub(crate) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How much longer this server keeps an idle connection than an edge node does. An edge node may
/// send a request on a connection while this server closes it, so the edge node closes it first.
pub(crate) const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// The frontend of this server. It owns its parts and routes messages to them.
pub(crate) struct Frontend {
    registry: Arc<RequestRegistry>,
    table: Arc<ConnectionTable>,
    acceptor: Acceptor,
    requests: Arc<RequestHandler>,
    health_checks: Arc<HealthChecks>,
}

impl Frontend {
    /// Creates a frontend in a process with `memory_mb` megabytes, of which open requests may take
    /// a fraction. Connections beyond the limits wait in the backlog, or are rejected if
    /// `rejects_connections` is set.
    pub(crate) fn new(
        registry: Arc<RequestRegistry>,
        executor: Arc<ExecutorClient>,
        store: Arc<StoreClient>,
        names: Names,
        limiter: Limiter,
        rejects_connections: bool,
        memory_mb: f64,
    ) -> Arc<Self> {
        let table = Arc::new(ConnectionTable::new(limiter));
        let health_checks = HealthChecks::new(registry.clone(), executor.clone(), table.clone());
        let callers_may_cancel = names.callers_cancel;
        let is_recording = registry.tracer().is_some();
        let parser = RequestParser::new(names, registry.client_timeouts(), is_recording);
        let services = Services {
            registry: registry.clone(),
            executor,
            store,
        };
        let memory_limit = MemoryLimit::new(memory_mb);
        let requests = RequestHandler::new(
            services,
            table.clone(),
            parser,
            memory_limit,
            callers_may_cancel,
        );
        Arc::new(Frontend {
            registry,
            acceptor: Acceptor::new(table.clone(), rejects_connections),
            table,
            requests,
            health_checks,
        })
    }

    /// Accepts connections until [`Frontend::close`] is called and the backlog is empty.
    pub(crate) fn accept(self: Arc<Self>, listener: TcpListener) {
        self.acceptor.run(listener, |stream, address| {
            self.handle_accepted(stream, address)
        });
    }

    /// Adds an accepted connection to the table and starts its session coroutine. A connection that
    /// the limiter rejects is closed unread, so that its client can use another server at once.
    fn handle_accepted(self: &Arc<Self>, stream: TcpStream, address: IpAddr) {
        match self.table.admit(stream, address) {
            Ok(Admitted { stream, connection }) => {
                let frontend = self.clone();
                spawn(move || frontend.serve(stream, &connection));
            }
            Err(Rejected { stream, reason }) => {
                drop(stream);
                listener::log_rejection(address, reason);
            }
        }
    }

    /// Serves a connection until it closes.
    fn serve(&self, mut stream: BufferedStream, connection: &Arc<Connection>) {
        let end = Session::new(&self.table, self, connection, &mut stream).run();
        // The descriptor is closed before the table counts it as free.
        drop(stream);
        self.table.remove(connection.id);
        if let Err(error) = end {
            log::debug!("connection failed error=\"{error}\"");
            self.requests.report_callers_gone(connection);
        }
    }

    /// Applies the timeouts of connections: requests the close of idle connections, and closes
    /// connections whose message has timed out.
    pub(crate) fn sweep(&self) {
        let idle_timeout = self.registry.idle_timeout().saturating_add(IDLE_MARGIN);
        self.table.sweep(idle_timeout);
    }

    /// Handles the shutdown notice: from now on an unused connection yields its slot to one in the
    /// backlog. The server terminates at `ends_at`.
    pub(crate) fn shutdown_notice(&self, ends_at: Instant) {
        self.table.shutdown_notice(ends_at);
    }

    /// The backlog, or `None` if the listener is closed or the system does not report its length.
    pub(crate) fn backlog(&self) -> Option<Backlog> {
        Some(Backlog {
            waiting: self.acceptor.waiting_connections()?,
            slots: self.table.capacity(),
        })
    }

    /// Starts the drain: the listener closes once every connection in its backlog is accepted, and
    /// drain notifications are sent to all edge nodes. New connections are refused before the
    /// notifications are sent, because a notified edge node reconnects at once. Otherwise these
    /// connections would fill the backlog before the accepting coroutine is scheduled, and the
    /// system would drop the SYN packets of other clients.
    pub(crate) fn close(&self) {
        self.acceptor.close();
        self.health_checks.start_drain();
        self.table.notify(Event::Drain);
    }

    /// Whether no connection is open and no further connection can be accepted.
    pub(crate) fn is_drained(&self) -> bool {
        // The order matters: every accepted connection is in the table before the listener counts
        // as closed.
        self.acceptor.is_closed() && self.table.len() == 0
    }

    /// The number of open connections.
    pub(crate) fn connections(&self) -> usize {
        self.table.len()
    }

    /// The number of connections with an open request or health check, or with unwritten output.
    pub(crate) fn unfinished_connections(&self) -> usize {
        self.table.unfinished()
    }

    /// The counters of the frontend, for the log.
    pub(crate) fn summary(&self) -> FrontendSummary {
        FrontendSummary {
            connections: self.connections(),
            malformed_messages: MALFORMED_MESSAGES.count(),
            rejected_without_memory: REJECTED_WITHOUT_MEMORY.count(),
            invariants_violated: invariant::violations(),
        }
    }
}

impl MessageHandler for Frontend {
    fn handle_message(&self, connection: &Arc<Connection>, message: Message) -> bool {
        let Message {
            method,
            sequence,
            is_oneway,
            call,
        } = message;
        let handled = match call {
            Ok(Call::Process { fields, body }) => {
                self.requests.handle(connection, sequence, &fields, body)
            }
            Ok(Call::HealthCheck { deep }) => {
                self.health_checks.handle(connection, sequence, deep);
                Ok(())
            }
            Ok(Call::Cancel { sequence }) => self.requests.cancel(connection, sequence),
            Err(error) => Err(error),
        };
        let Err(error) = handled else { return true };
        if let Some(count) = MALFORMED_MESSAGES.count_event() {
            log::warn!("message rejected method={method:?} error=\"{error}\" count={count}");
        }
        self.table.notify(Event::ProtocolViolation {
            connection: connection.id,
        });
        if !is_oneway {
            connection.reply(&method, sequence, &Reply::Exception(&error));
        }
        false
    }

    fn finish_messages(&self, connection: &Arc<Connection>) {
        self.requests.register_arrived(connection);
    }
}
