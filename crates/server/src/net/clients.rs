//! Edge nodes: the connections that they open here, and the life of each req that comes over them.

use std::cell::Cell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::IpAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use parking_lot::Mutex;
use slab::Slab;
use socket2::SockRef;
use tulipgap_connection_limits::{AcceptError, Action, CloseReason, ConnectionId, Event, Limiter};
use tulipgap_settings::Names;
use tulipgap_trace::{Reason, hash_text};

use super::executor::ExecutorClient;
use super::store::StoreClient;
use super::thrift::{self, Asked, Fault, Fields, Said};
use super::{Added, Link, Out, adopt, spawn};
use crate::log::Bound;
use crate::requests::{
    Bytes, Command, IncomingRequest, RegisterError, RequestEvent, RequestId, RequestRegistry, Response,
};
use crate::trace::TraceContext;
use crate::{clock, invariant};

/// Open reqs that one connection carries by the protocol.
const OPEN_MOST: usize = 32;
/// Answers that a slow reader may leave standing before nothing more is read from it; what is open then comes
/// on top, so the ring holds all that can become due.
const UNREAD_MOST: usize = 4 * 1024;
const ANSWER_MOST: usize = 4608;
const OUT_MOST: usize = UNREAD_MOST + (OPEN_MOST + 1) * ANSWER_MOST;
const IN_MOST: usize = thrift::FRAME_MOST + 4;
/// Descriptors that are kept for the kernel, the log and the runtime.
pub const KEPT: usize = 16;
/// How long a connection may take to its first message, and a message from its first byte to its last.
pub const MESSAGE_MOST: Duration = Duration::from_secs(2);
/// What is read from one connection before others have their turn: messages, and reads of a ring's room.
const TURN_MOST: usize = 64;
const TURN_PAUSE: Duration = Duration::from_millis(1);
/// Messages of no sense after which a connection ends.
const FAULTS_MOST: usize = 8;
/// The ids that came last, by which it is known what comes again.
const RECENT_MOST: usize = 8192;
/// How much longer than an edge node a connection without use is kept here.
pub const IDLE_MORE: Duration = Duration::from_secs(2);
/// What one open req takes at the most: its coroutine's stack as far as it is touched, body and result.
const REQ_KB: f64 = 24.0;
/// The part of this process's memory that open reqs may take; what comes beyond is turned away unseen.
const MEMORY_PART: f64 = 0.45;
/// How long an accept waits when no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long handshakes under way get to complete once the listener refuses new connections.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(20);
/// An interface index that the system does not give to any interface.
const NO_INTERFACE: Option<NonZeroU32> = NonZeroU32::new(i32::MAX as u32);
/// By how much the stamp of a req may lie before the opening of its connection here, or after now.
const STAMP_SLACK: Duration = Duration::from_secs(1);
/// The memory that a req may ask for, in KB, is below this.
const NEED_LIMIT: f64 = 2000.0;
/// What a req's work counts for at the most, as a multiple of the time that its client waits.
const WORK_MOST: f64 = 2.0;
const BODY_MOST: usize = 2048;
/// The longest that a deep check waits for its work.
const CHECK_MOST: Duration = Duration::from_secs(2);

/// What the system calls the troubles of accepting; the same on all kinds of Linux that are served.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const ENOBUFS: i32 = 105;
const ENOMEM: i32 = 12;

static GARBLED: Bound = Bound::new();
static ACCEPTS: Bound = Bound::new();
static NO_ROOM: Bound = Bound::new();
static SILENT: Bound = Bound::new();
static CROWDS: Bound = Bound::new();
static REFUSED: Bound = Bound::new();

/// A req that is open on a connection.
struct Open {
    id: RequestId,
    /// Its caller has given it up.
    withdrawn: bool,
}

/// One connection, as others than its own coroutine see it.
struct Connection {
    out: Arc<Out>,
    /// Its open reqs, by the sequence of their message.
    open: Mutex<HashMap<i32, Open>>,
    /// Checks under way.
    checks: AtomicUsize,
    opened: Instant,
    /// By what it is known where it is decided on.
    conn: ConnectionId,
    /// It is to be asked to send nothing more here.
    asked: AtomicBool,
    ending: AtomicBool,
    /// A message took too long: nothing more is read.
    slow: AtomicBool,
}

impl Connection {
    fn busy(&self) -> usize {
        self.open.lock().len() + self.checks.load(Ordering::Acquire)
    }

    /// Asks the edge node to close this once all is answered.
    fn leave(&self) {
        self.asked.store(true, Ordering::Release);
        self.out.wake();
    }

    /// Closes it as soon as nothing on it is open.
    fn end(&self) {
        self.ending.store(true, Ordering::Release);
        self.out.wake();
    }

    fn say(&self, method: &str, sequence: i32, said: &Said) {
        self.out.push(&[&thrift::answer(method, sequence, said)]);
    }

    /// Says the answer to what was open, and has it open no more, in one step for whoever asks whether this is
    /// busy: between the two a connection that is to end, or that its edge node closed behind its req, would
    /// seem done and close without the answer.
    fn conclude(
        &self,
        method: &str,
        sequence: i32,
        said: &Said,
        conclude: impl FnOnce(&mut HashMap<i32, Open>),
    ) {
        let answer = thrift::answer(method, sequence, said);
        let mut open = self.open.lock();
        let added = self.out.add(&[&answer]);
        conclude(&mut open);
        drop(open);
        // The ring holds all that can become due; if it should not, what is due waits for its room.
        if added == Added::Full {
            self.out.push(&[&answer]);
        }
    }
}

/// A req's place on its connection, free again once it is answered or nobody is there to answer.
struct Place<'a> {
    clients: &'a Clients,
    connection: &'a Connection,
    sequence: i32,
    free: Cell<bool>,
}

impl Place<'_> {
    fn answer(&self, said: &Said) {
        invariant!(!self.free.replace(true), "a req is answered in its place");
        self.connection.conclude("process", self.sequence, said, |open| {
            open.remove(&self.sequence);
        });
        // Its standing grows with what was served, and not with what was turned away.
        let whole = matches!(said, Said::Answer { .. });
        self.clients.tell(Event::RequestFinished { connection: self.connection.conn, is_answered: whole });
    }
}

impl Drop for Place<'_> {
    /// Gone without an answer; a coroutine that fails owes one all the same.
    fn drop(&mut self) {
        if !self.free.get() && std::thread::panicking() {
            self.answer(&Said::Crashed { fields: &[] });
        } else if !self.free.replace(true) {
            self.connection.open.lock().remove(&self.sequence);
            self.clients
                .tell(Event::RequestFinished { connection: self.connection.conn, is_answered: false });
            self.connection.out.wake();
        }
    }
}

pub struct Clients {
    registry: Arc<RequestRegistry>,
    executor: Arc<ExecutorClient>,
    store: Arc<StoreClient>,
    names: Names,
    /// All that were accepted and have not closed.
    connections: Mutex<Slab<Arc<Connection>>>,
    limiter: Mutex<Limiter>,
    /// When the clock of `limiter` stood at zero, and before which time of that clock nothing is accepted.
    zero: Instant,
    paused: Mutex<Duration>,
    /// After what time without use connections are asked to close, as was told last.
    idle: Mutex<Duration>,
    /// A descriptor that is given up to accept and close one connection when no other is left.
    spare: Mutex<Option<std::fs::File>>,
    refuses: bool,
    open_most: usize,
    /// By what a body is known again; nobody can make up another for which it is the same.
    prints: RandomState,
    recent: Mutex<Recent>,
    /// Nothing is to be accepted any more once all that has come is.
    closing: AtomicBool,
    /// The listener is closed, and all that came over it stands in `connections`.
    closed: AtomicBool,
    /// Lets the accepting look around.
    listener: Mutex<Option<WaitIoWaker>>,
}

impl Clients {
    pub fn new(
        registry: Arc<RequestRegistry>,
        executor: Arc<ExecutorClient>,
        store: Arc<StoreClient>,
        names: Names,
        limiter: Limiter,
        refuses: bool,
        memory_mb: f64,
    ) -> Arc<Self> {
        let open_most = (memory_mb * MEMORY_PART * 1024.0 / REQ_KB) as usize;
        Arc::new(Clients {
            registry,
            executor,
            store,
            names,
            connections: Mutex::new(Slab::new()),
            limiter: Mutex::new(limiter),
            zero: Instant::now(),
            paused: Mutex::default(),
            idle: Mutex::default(),
            spare: Mutex::new(spare()),
            refuses,
            open_most,
            prints: RandomState::new(),
            recent: Mutex::default(),
            closing: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            listener: Mutex::default(),
        })
    }

    /// Has something decided, and carries it out under the same lock, so that no action meets another connection of the
    /// same index.
    fn decide<T>(&self, ask: impl FnOnce(&mut Limiter, Duration, &mut Vec<Action>) -> T) -> T {
        let mut limiter = self.limiter.lock();
        let mut actions = Vec::new();
        let told = ask(&mut limiter, self.zero.elapsed(), &mut actions);
        if !actions.is_empty() {
            self.carry_out(&actions);
        }
        told
    }

    /// Tells of what happened to connections.
    fn tell(&self, event: Event) {
        self.decide(|limiter, now, actions| limiter.handle_event(now, event, actions));
    }

    fn carry_out(&self, actions: &[Action]) {
        let connections = self.connections.lock();
        for action in actions {
            match *action {
                Action::RequestClose { connection } => {
                    if let Some(connection) = connections.get(connection.0) {
                        connection.leave();
                    }
                }
                Action::Close { connection, reason } => {
                    if let Some(connection) = connections.get(connection.0) {
                        if reason == CloseReason::MessageTimeout {
                            connection.slow.store(true, Ordering::Release);
                        }
                        connection.end();
                    }
                    if reason == CloseReason::Evicted
                        && let Some(count) = CROWDS.pass()
                    {
                        log::warn!("connections are short, an idle one goes ({count} so far)");
                    }
                }
                Action::PauseAccepting { until } => *self.paused.lock() = until,
                // What comes is let in or refused where it came; alarms come by the sweep.
                Action::Serve { .. } | Action::Reject { .. } | Action::SetTimer { .. } => {}
            }
        }
    }

    /// Accepts until the listener is to be closed. What came before that is served: a connection that the machine has
    /// accepted may hold a whole req, and a listener that closes on it would lose that.
    pub fn accept(self: Arc<Self>, listener: TcpListener) {
        *self.listener.lock() = Some(listener.waker());
        // Once this closes: until when handshakes under way may complete.
        let mut handshakes_until = None;
        loop {
            if handshakes_until.is_none() && self.closing.load(Ordering::Acquire) {
                handshakes_until = Some(refuse_new_connections(&listener));
            }
            // Looked at before the accept, so that an empty backlog behind it stays empty.
            let closing = handshakes_until.is_some();
            let backlog_is_final = handshakes_until.is_some_and(|until| until <= Instant::now());
            let (may, acted) = self.decide(|limiter, now, actions| {
                let may = limiter.may_accept(now, actions);
                (may, !actions.is_empty())
            });
            if !may {
                clock::sleep(if acted { TURN_PAUSE } else { ACCEPT_PAUSE });
                continue;
            }
            let came = listener.inner().accept().and_then(|(stream, peer)| Ok((adopt(stream)?, peer)));
            match came {
                Ok((stream, peer)) => self.opened(stream, peer.ip()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && backlog_is_final => break,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && closing => {
                    clock::sleep(TURN_PAUSE)
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => _ = listener.wait_io(),
                Err(error) => {
                    if let Some(count) = ACCEPTS.pass() {
                        log::warn!("accept: {error} ({count} so far)");
                    }
                    let error = accept_error(&error);
                    self.tell(Event::AcceptFailed { error });
                    if self.refuses && error == AcceptError::ProcessDescriptorLimit {
                        self.turn_one_away(&listener);
                    }
                    let left = self.paused.lock().saturating_sub(self.zero.elapsed());
                    clock::sleep(left);
                }
            }
        }
        drop(listener);
        self.closed.store(true, Ordering::Release);
    }

    /// With no descriptor left, the spare one serves to accept and close a connection, so that its owner can go
    /// elsewhere at once.
    fn turn_one_away(&self, listener: &TcpListener) {
        let Some(file) = self.spare.lock().take() else {
            *self.spare.lock() = spare();
            return;
        };
        drop(file);
        // One stands in the backlog: the accept before failed for want of a descriptor, and not of that.
        drop(listener.inner().accept());
        *self.spare.lock() = spare();
        if let Some(count) = REFUSED.pass() {
            log::warn!("no descriptor is left, a connection is refused ({count} so far)");
        }
    }

    /// Has the listener closed behind all that came before, and asks all edge nodes to leave.
    pub fn close(&self) {
        self.tell(Event::Drain);
        self.closing.store(true, Ordering::Release);
        // Where it does not accept yet, it sees that once it does.
        if let Some(listener) = &*self.listener.lock() {
            listener.wakeup();
        }
    }

    /// Whether no connection is open, and none can come any more.
    pub fn over(&self) -> bool {
        // In this order: what is accepted stands among the connections before the listener counts as closed.
        self.closed.load(Ordering::Acquire) && self.none()
    }

    /// Whether no connection is open.
    fn none(&self) -> bool {
        self.connections.lock().is_empty()
    }

    /// What is counted here, for the log.
    pub fn told(&self) -> String {
        let connections = self.connections.lock().len();
        let (garbled, no_room) = (GARBLED.count(), NO_ROOM.count());
        format!(
            "{connections} connections, {garbled} messages garbled, {no_room} without room, {} invariants violated",
            invariant::violations()
        )
    }

    /// Lets time pass for connections: what stands idle is asked to end, what takes too long is ended.
    pub fn sweep(&self) {
        let idle = self.registry.idle_timeout().saturating_add(IDLE_MORE);
        if std::mem::replace(&mut *self.idle.lock(), idle) != idle {
            self.tell(Event::SetIdleTimeout { timeout: idle });
        }
        self.tell(Event::TimerExpired);
    }

    /// A connection was accepted: from now on it is counted, and served by a coroutine of its own.
    fn opened(self: &Arc<Self>, stream: TcpStream, address: IpAddr) {
        let let_in = self.decide(|limiter, now, actions| {
            let mut connections = self.connections.lock();
            let conn = ConnectionId(connections.vacant_key());
            limiter.handle_event(now, Event::Accepted { connection: conn, address }, actions);
            let rejected = actions.iter().find_map(|action| match action {
                Action::Reject { reason, .. } => Some(*reason),
                _ => None,
            });
            if let Some(reason) = rejected {
                return Err((reason, stream));
            }
            let link = Link::new(stream, IN_MOST, OUT_MOST);
            let connection = Arc::new(Connection {
                out: link.out.clone(),
                open: Mutex::new(HashMap::new()),
                checks: AtomicUsize::new(0),
                opened: Instant::now(),
                conn,
                asked: AtomicBool::new(false),
                ending: AtomicBool::new(false),
                slow: AtomicBool::new(false),
            });
            connections.insert(connection.clone());
            Ok((link, connection))
        });
        match let_in {
            Ok((link, connection)) => {
                let clients = self.clone();
                spawn(move || clients.serve(link, &connection));
            }
            Err((reason, stream)) => {
                // Unread, at once: its owner sees the end of the connection and can go elsewhere.
                drop(stream);
                if let Some(count) = REFUSED.pass() {
                    log::warn!("a connection of {address} is refused: {reason:?} ({count} so far)");
                }
            }
        }
    }

    /// A connection, from its opening to its end.
    fn serve(self: &Arc<Self>, mut link: Link, connection: &Arc<Connection>) {
        let end = self.carry(&mut link, connection);
        // Closed before its place is another's.
        drop(link);
        self.decide(|limiter, now, actions| {
            limiter.handle_event(now, Event::Closed { connection: connection.conn }, actions);
            self.connections.lock().remove(connection.conn.0);
        });
        // Cut off: nobody waits for what was open here.
        if let Err(error) = end {
            log::debug!("a connection broke: {error}");
            let open: Vec<RequestId> = connection.open.lock().values().map(|open| open.id.clone()).collect();
            for id in open {
                self.registry.report(&id, RequestEvent::CallerGone);
            }
        }
    }

    /// Moves bytes until the edge node has closed and all is answered, or the connection breaks.
    fn carry(self: &Arc<Self>, link: &mut Link, connection: &Arc<Connection>) -> io::Result<()> {
        // After something that is no message nothing more is read, but what is open is answered.
        let (mut readable, mut begun, mut asked) = (true, false, false);
        let mut faults = 0;
        loop {
            // Where there is no room, the next look asks.
            if !asked && connection.asked.load(Ordering::Acquire) {
                asked = link.out.add(&[&thrift::no_more(0)]) == Added::Yes;
            }
            link.flush()?;
            let (mut more, mut turn) = (readable, 0);
            let room = |link: &Link| connection.busy() < OPEN_MOST && link.out.len() < UNREAD_MOST;
            while more && readable && room(link) && turn < TURN_MOST {
                more = link.fill()?;
                turn += 1;
                while readable && room(link) && turn < TURN_MOST {
                    let length = match thrift::frame(link.input.whole()) {
                        Ok(None) => break,
                        Ok(Some(length)) => length,
                        Err(()) => {
                            readable = false;
                            break;
                        }
                    };
                    let message = thrift::read(&link.input.whole()[4..4 + length]);
                    link.input.consume(4 + length);
                    turn += 1;
                    begun = false;
                    self.tell(Event::MessageCompleted { connection: connection.conn });
                    readable = match message {
                        None => false,
                        Some(message) => {
                            let unanswerable = message.oneway;
                            let fine = self.take(connection, message);
                            faults += usize::from(!fine);
                            fine || !(unanswerable || faults > FAULTS_MOST)
                        }
                    };
                }
            }
            let half = readable && turn < TURN_MOST && link.input.len() > 0 && room(link);
            if half && !std::mem::replace(&mut begun, true) {
                self.tell(Event::MessageStarted { connection: connection.conn });
            }
            let ending = connection.ending.load(Ordering::Acquire);
            if readable
                && (connection.slow.load(Ordering::Acquire) || half && ending && connection.busy() == 0)
            {
                readable = false;
                if let Some(count) = SILENT.pass() {
                    log::warn!("no whole message in time, a connection ends ({count} so far)");
                }
            } else if more
                && !readable
                && let Some(count) = GARBLED.pass()
            {
                log::warn!("what came is no message, a connection ends ({count} so far)");
            }
            let done = connection.busy() == 0 && link.out.len() == 0;
            if done && (link.at_end || !readable) {
                if !link.at_end {
                    link.see_off();
                }
                return Ok(());
            }
            // What has come is read first.
            if done && link.input.len() == 0 && ending {
                // What still crosses the close would reset the connection, and answers on their way with it.
                if link.has_unacknowledged_output() {
                    link.see_off();
                }
                return Ok(());
            }
            if turn < TURN_MOST { link.wait() } else { clock::sleep(TURN_PAUSE) }
        }
    }

    /// Takes a message; yields whether it made sense.
    fn take(self: &Arc<Self>, connection: &Arc<Connection>, message: thrift::Message) -> bool {
        let (method, sequence) = (message.method, message.sequence);
        let fault = match message.asked {
            Ok(Asked::Process { fields, body }) => {
                let free = !connection.open.lock().contains_key(&sequence);
                match self.read_fields(&fields, connection.opened) {
                    Ok(_) if !free => Fault::Malformed("a sequence that is open".into()),
                    Ok(_) if body.len() > BODY_MOST => Fault::Malformed("a body too long".into()),
                    Ok(read) if self.registry.open() >= self.open_most => {
                        self.registry.record_unregistered(&read.incoming, Reason::NO_CAPACITY);
                        if let Some(count) = NO_ROOM.pass() {
                            log::warn!("no memory for another req ({count} so far)");
                        }
                        // A repeat of what was run may not be said to be turned away.
                        let fields = self.come_back();
                        connection.say(
                            &method,
                            sequence,
                            &match self.registry.is_duplicate(&read.incoming) {
                                true => Said::Crashed { fields: &[] },
                                false => Said::Rejected { fields: &fields },
                            },
                        );
                        return true;
                    }
                    Ok(read) if !self.recent.lock().is_new(read.number) => {
                        Fault::Malformed("its id came before".into())
                    }
                    Ok(read) => {
                        let open = Open { id: read.incoming.id.clone(), withdrawn: false };
                        connection.open.lock().insert(sequence, open);
                        self.tell(Event::RequestStarted { connection: connection.conn });
                        let (clients, connection) = (self.clone(), connection.clone());
                        spawn(move || clients.live(&connection, sequence, read, body.into()));
                        return true;
                    }
                    Err(fault) => fault,
                }
            }
            Ok(Asked::Probe { deep }) => {
                connection.checks.fetch_add(1, Ordering::AcqRel);
                self.tell(Event::RequestStarted { connection: connection.conn });
                let (clients, connection) = (self.clone(), connection.clone());
                spawn(move || clients.check(&connection, sequence, deep));
                return true;
            }
            // It may cross the answer: then nothing is open there any more.
            Ok(Asked::GiveUp { sequence }) if self.names.callers_cancel => {
                let id = connection.open.lock().get_mut(&sequence).map(|open| {
                    open.withdrawn = true;
                    open.id.clone()
                });
                if let Some(id) = id {
                    self.registry.report(&id, RequestEvent::CallerGone);
                }
                return true;
            }
            Ok(Asked::GiveUp { .. }) => Fault::MessageType,
            Err(fault) => fault,
        };
        if let Some(count) = GARBLED.pass() {
            log::warn!("{method}: {fault:?} ({count} so far)");
        }
        self.tell(Event::ProtocolViolation { connection: connection.conn });
        if !message.oneway {
            connection.say(&method, sequence, &Said::Exception(&fault));
        }
        false
    }

    /// The life of a req: from its reading, through what the registry orders, to its answer and the end of its run.
    fn live(&self, connection: &Connection, sequence: i32, read: Read, body: Bytes) {
        let (id, class, came) = (read.incoming.id.clone(), read.class, read.came);
        let mut incoming = read.incoming;
        let once = self.registry.runs_at_most_once(incoming.handler);
        // A clock that was set back makes it now.
        incoming.age = unix_now().saturating_sub(came);
        // It is told as it was when the req came.
        incoming.client_wait = incoming.client_wait.map(|wait| wait.saturating_sub(incoming.age));
        // Given up in the very read that brought it, as where much lies unread: it would be run for nobody.
        if connection.open.lock().get(&sequence).is_some_and(|open| open.withdrawn) {
            incoming.client_wait = Some(Duration::ZERO);
        }
        incoming.body_hash = self.prints.hash_one(&body);
        let place = Place { clients: self, connection, sequence, free: Cell::new(false) };
        let say = |said: &Said| place.answer(said);
        let ticket = match self.registry.register(incoming) {
            Ok(ticket) => ticket,
            Err(RegisterError::DuplicateId) => {
                return say(&Said::Exception(&Fault::Malformed("its id is open".into())));
            }
            Err(RegisterError::KeyReused) => {
                if let Some(count) = GARBLED.pass() {
                    log::warn!("process: a key that is known, with another body ({count} so far)");
                }
                self.tell(Event::ProtocolViolation { connection: connection.conn });
                return say(&Said::Exception(&Fault::Malformed("its key came with another body".into())));
            }
            Err(RegisterError::NotStarted) => return say(&Said::Rejected { fields: &self.come_back() }),
        };
        let mut calls = 0;
        let mut give_up = None;
        loop {
            let Some(command) = ticket.next_command(give_up) else {
                // The call had its time; it may still have had its effect, unless it never left here.
                give_up = None;
                let outcome = self.store.give_up(&id, calls);
                self.registry.report(&id, RequestEvent::CallFinished { outcome, reply: Bytes::default() });
                continue;
            };
            match command {
                Command::Start => self.executor.start(&id, &class, &body, once),
                Command::Cancel => self.executor.cancel(&id),
                Command::StartCall { timeout, body } => {
                    calls += 1;
                    give_up = Instant::now().checked_add(timeout);
                    self.store.call(&id, calls, timeout, &body);
                }
                Command::Resume { reply } => {
                    give_up = None;
                    self.executor.reply(&id, &reply);
                }
                Command::SkipCall { call } => {
                    give_up = None;
                    self.executor.skip_call(&id, call);
                }
                Command::Respond(response) => {
                    let mut fields = Vec::with_capacity(3);
                    fields.extend(self.signal());
                    match &response {
                        Response::Completed(result) => {
                            say(&Said::Answer { body: result, fields: &fields, good: true })
                        }
                        Response::Failed => say(&Said::Crashed { fields: &fields }),
                        Response::Rejected { retry_after, retry_elsewhere } => {
                            fields.extend(retry_after.map(holdoff));
                            fields.extend((!retry_elsewhere).then(|| ("nomore", "1".to_owned())));
                            say(&Said::Rejected { fields: &fields });
                        }
                    }
                }
                Command::Finish => break,
            }
        }
        // A run that ended while its call was out.
        if give_up.is_some() {
            self.store.give_up(&id, calls);
        }
    }

    /// The field by which callers are advised with every answer.
    fn signal(&self) -> Option<(&'static str, String)> {
        self.registry.feedback().map(|value| ("signal", format!("{value:.4}")))
    }

    /// When to come back, for what is turned away before the module has seen it.
    fn come_back(&self) -> Vec<(&'static str, String)> {
        self.registry.max_retry_after().map(holdoff).into_iter().collect()
    }

    /// A health check; a deep one has work done, for a bounded time.
    fn check(&self, connection: &Connection, sequence: i32, deep: bool) {
        let good = self.registry.is_healthy() && (!deep || self.executor.does_work(CHECK_MOST));
        let fields: Vec<_> = self.signal().into_iter().collect();
        connection.conclude("probe", sequence, &Said::Answer { body: &[], fields: &fields, good }, |_| {
            connection.checks.fetch_sub(1, Ordering::AcqRel);
        });
        self.tell(Event::RequestFinished { connection: connection.conn, is_answered: false });
    }
}

/// What the fields of a req say.
struct Read {
    incoming: IncomingRequest,
    class: RequestId,
    /// Its id as a number.
    number: u64,
    /// When it came to the machine, since the Unix epoch.
    came: Duration,
}

/// The field that tells a caller for how long to stay away.
fn holdoff(wait: Duration) -> (&'static str, String) {
    ("holdoff", format!("{:.0}", wait.as_secs_f64() * 1e3))
}

/// The time since the Unix epoch.
fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Has the system refuse new connections while those in the backlog and handshakes under way stay with the listener;
/// yields until when these handshakes may complete.
///
/// The listener is bound to a network interface that does not exist, so no new handshake finds it, and the system answers
/// as for a port without a listener. A filter would drop the first packet instead, and its caller would hang until it
/// is sent again. Where the system does not know the option, connections that come between the last accept and the
/// close are reset.
fn refuse_new_connections(listener: &TcpListener) -> Instant {
    let socket = SockRef::from(listener.inner());
    match socket.bind_device_by_index_v4(NO_INTERFACE) {
        Ok(()) => Instant::now() + HANDSHAKE_TIMEOUT,
        Err(error) => {
            log::warn!("new connections cannot be refused before the listener closes: {error}");
            Instant::now()
        }
    }
}

/// A descriptor for bad days; without it one more connection is refused later, no more.
fn spare() -> Option<std::fs::File> {
    std::fs::File::open("/dev/null").ok()
}

/// The cause for which an accept failed.
fn accept_error(error: &io::Error) -> AcceptError {
    match error.raw_os_error() {
        Some(EMFILE) => AcceptError::ProcessDescriptorLimit,
        Some(ENFILE) => AcceptError::SystemDescriptorLimit,
        Some(ENOBUFS | ENOMEM) => AcceptError::OutOfMemory,
        _ if error.kind() == io::ErrorKind::ConnectionAborted => AcceptError::ConnectionAborted,
        _ => AcceptError::ProcessDescriptorLimit,
    }
}

impl Clients {
    /// What the fields of a req say, where that makes sense; it came over a connection that was opened then.
    fn read_fields(&self, fields: &Fields, opened: Instant) -> Result<Read, Fault> {
        let names = &self.names;
        let find = |name: &str| fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str());
        let wrong = |name: &'static str| Fault::Malformed(format!("{name}: missing or senseless").into());
        let needed = |name: &'static str| find(name).ok_or_else(|| wrong(name));
        let number_of = |name: &'static str| match find(name) {
            None => Ok(None),
            Some(text) => match text.parse::<f64>() {
                Ok(value) if value.is_finite() && value >= 0.0 => Ok(Some(value)),
                _ => Err(wrong(name)),
            },
        };
        let span = |name: &'static str| -> Result<Option<Duration>, Fault> {
            let Some(value) = number_of(name)?.filter(|&value| value > 0.0) else {
                return Ok(None);
            };
            Duration::try_from_secs_f64(value / 1e3).map(Some).map_err(|_| wrong(name))
        };
        let class = needed("kind")?;
        let &handler = names.handlers.get(class).ok_or_else(|| wrong("kind"))?;
        let tenant = match find("owner").filter(|owner| !owner.is_empty()) {
            None => None,
            Some(owner) => Some(*names.tenants.get(owner).ok_or_else(|| wrong("owner"))?),
        };
        let id = needed("req")?;
        let number = u64::from_str_radix(id, 16).ok().filter(|_| id.len() == 16 && !id.starts_with('+'));
        let number = number.ok_or_else(|| wrong("req"))?;
        let came = needed("ts")?.parse().map(Duration::from_millis).map_err(|_| wrong("ts"))?;
        // Figures of no sense would steer what others get: the mean time unread, the mean work, the memory.
        let now = unix_now();
        if now.saturating_sub(came) > opened.elapsed() + STAMP_SLACK || came > now + STAMP_SLACK {
            return Err(wrong("ts"));
        }
        let held_kb = number_of("need")?.filter(|&kb| kb > 0.0 && kb < NEED_LIMIT);
        // Rough, and at times far more than anybody waits for: turned away for it, but not as senseless.
        let timeout = self.registry.client_timeout(handler);
        let most = timeout.mul_f64(WORK_MOST);
        let work = span("ms")?.map(|work| work.min(most));
        if number_of("level")?.is_some_and(|level| level >= 1.0) {
            return Err(wrong("level"));
        }
        let incoming = IncomingRequest {
            id: id.into(),
            handler,
            tenant,
            age: Duration::ZERO,
            // None waits longer than its handler's clients do: taken at its word, it would be owed an answer for ever.
            client_wait: span("timeout")?.map(|wait| wait.min(timeout)),
            estimated_work: work,
            queued_kb: held_kb.ok_or_else(|| wrong("need"))?,
            is_retry: find("resent").is_some_and(|value| value == "1"),
            idempotency_key: find("opkey").filter(|key| !key.is_empty()).map(RequestId::from),
            body_hash: 0,
            trace: None,
        };
        let trace = self.registry.tracer().map(|_| TraceContext {
            number,
            key: incoming.idempotency_key.as_deref().map(hash_text),
            subject: find("subject")
                .map(|subject| u64::from_str_radix(subject, 16).unwrap_or_else(|_| hash_text(subject))),
            caller: find("via").map(|via| via.parse().unwrap_or_else(|_| hash_text(via))),
            read: Instant::now(),
        });
        let incoming = IncomingRequest { trace, ..incoming };
        Ok(Read { incoming, class: class.into(), number, came })
    }
}

/// The ids that came last. Each is new with every try, so one that comes again is no req: else whoever sends the
/// same thing again as it is turned away would steer what is measured and waste what is done for it.
#[derive(Default)]
struct Recent {
    known: HashSet<u64>,
    order: VecDeque<u64>,
}

impl Recent {
    fn is_new(&mut self, id: u64) -> bool {
        if !self.known.insert(id) {
            return false;
        }
        if self.order.len() >= RECENT_MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        self.order.push_back(id);
        true
    }
}

#[cfg(test)]
mod tests {
    use tulipgap_connection_limits::{Config, FullPolicy};

    use super::*;

    /// A fault of ours ends the coroutine of one req, with a lock in its hands: its caller is answered all the same, what
    /// was locked is free again, and the connection goes on.
    #[test]
    fn a_req_whose_coroutine_fails_is_answered() {
        let (given, names) = crate::net::told();
        let config = Config {
            max_descriptors: 64,
            reservations: Vec::new(),
            network_limits: None,
            full_policy: FullPolicy::Wait,
            trusted_networks: Vec::new(),
            reputation_half_life: Duration::from_secs(600),
            message_timeout: MESSAGE_MOST,
            idle_timeout: IDLE_MORE,
            cold_start_fraction: 1.0,
            warm_up: Duration::ZERO,
        };
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let registry = Arc::new(RequestRegistry::new(given, 7, None));
        let executor = ExecutorClient::new(address, registry.clone(), Vec::new());
        let store = StoreClient::new(None, registry.clone(), 4);
        let limiter = Limiter::new(config, 7).unwrap();
        let clients = Clients::new(registry, executor, store, names, limiter, false, 48.0);
        clients.opened(TcpStream::connect(address).unwrap(), address.ip());
        let connection = clients.connections.lock().iter().next().unwrap().1.clone();
        let mut edge = listener.accept().unwrap().0;
        edge.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
        for sequence in 1..4 {
            let open = Open { id: format!("{sequence:016x}").into(), withdrawn: false };
            connection.open.lock().insert(sequence, open);
            clients.tell(Event::RequestStarted { connection: connection.conn });
            let failed = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
                let (connection, free) = (&*connection, Cell::new(false));
                let _place = Place { clients: &clients, connection, sequence, free };
                let _locked = (clients.recent.lock(), clients.limiter.lock(), connection.open.lock());
                panic!("a fault, as this test plays it");
            }));
            assert!(failed.is_err());
            assert_eq!(connection.busy(), 0, "its place is free");
            let answer = thrift::answer("process", sequence, &Said::Crashed { fields: &[] });
            let mut came = vec![0; answer.len()];
            io::Read::read_exact(&mut edge, &mut came).unwrap();
            assert_eq!(came, answer);
        }
    }

    /// A req was open no more before its answer was there to send; a connection that was to end looked done in
    /// between and closed without it, once in six runs of a suite. Whoever looks must see one or the other.
    #[test]
    fn a_connection_is_never_done_between_a_req_and_its_answer() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let link = Link::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap(), IN_MOST, OUT_MOST);
        let connection = Connection {
            out: link.out.clone(),
            open: Mutex::new(HashMap::new()),
            checks: AtomicUsize::new(0),
            opened: Instant::now(),
            conn: ConnectionId(0),
            asked: AtomicBool::new(false),
            ending: AtomicBool::new(false),
            slow: AtomicBool::new(false),
        };
        // Odd while an answer is owed or there to send.
        let step = AtomicUsize::new(0);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                for _ in 0..20_000 {
                    let open = Open { id: "00000000000000c1".into(), withdrawn: false };
                    connection.open.lock().insert(1, open);
                    step.fetch_add(1, Ordering::AcqRel);
                    connection.conclude("process", 1, &Said::Crashed { fields: &[] }, |open| {
                        open.remove(&1);
                    });
                    step.fetch_add(1, Ordering::AcqRel);
                    let mut ring = connection.out.ring.lock();
                    let length = ring.len();
                    ring.consume(length);
                }
                step.store(usize::MAX - 1, Ordering::Release);
            });
            loop {
                let before = step.load(Ordering::Acquire);
                let done = connection.busy() == 0 && connection.out.len() == 0;
                let after = step.load(Ordering::Acquire);
                assert!(!(done && before == after && before % 2 == 1), "done with an answer owed");
                if after == usize::MAX - 1 {
                    break;
                }
            }
        });
    }
}
