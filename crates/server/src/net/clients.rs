//! Edge nodes: the connections that they open here, and the life of each req that comes over them.

use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use may::coroutine;
use may::net::{TcpListener, TcpStream};
use parking_lot::Mutex;
use slab::Slab;
use tulipgap_settings::Names;

use super::kernel::Kernel;
use super::store::Store;
use super::thrift::{self, Asked, Fault, Fields, Said};
use super::{Added, Link, Out, spawn};
use crate::gate::{Answer, Bytes, Gate, Id, Incoming, Order, Report, Unfit};
use crate::log::Bound;
use crate::must;

/// Open reqs that one connection carries by the protocol.
const OPEN_MOST: usize = 32;
/// Answers that a slow reader may leave standing before nothing more is read from it; what is open then comes
/// on top, so the ring holds all that can become due.
const UNREAD_MOST: usize = 4 * 1024;
const ANSWER_MOST: usize = 4608;
const OUT_MOST: usize = UNREAD_MOST + (OPEN_MOST + 1) * ANSWER_MOST;
const IN_MOST: usize = thrift::FRAME_MOST + 4;
/// Descriptors that are kept for the kernel, the store, the log and the runtime.
const KEPT: usize = 24;
/// What one open req takes at the most: its coroutine's stack as far as it is touched, body and result.
const REQ_KB: f64 = 24.0;
/// The part of this process's memory that open reqs may take; what comes beyond is turned away unseen.
const MEMORY_PART: f64 = 0.45;
/// How long an accept waits when no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long an edge node may take to close what it was asked to leave.
const CLOSING: Duration = Duration::from_secs(2);
/// What came to the machine longer ago has a senseless stamp.
const AGE_MOST: Duration = Duration::from_secs(3600);
/// How long the connection may take that closes the listener.
const CLOSE_MOST: Duration = Duration::from_millis(200);
/// The longest that a deep check waits for its work.
const CHECK_MOST: Duration = Duration::from_secs(2);

static GARBLED: Bound = Bound::new();
static ACCEPTS: Bound = Bound::new();
static NO_ROOM: Bound = Bound::new();

/// One connection, as others than its own coroutine see it.
struct Connection {
    out: Arc<Out>,
    /// Ids of its open reqs, by the sequence of their message.
    open: Mutex<HashMap<i32, Id>>,
    /// Checks under way.
    checks: AtomicUsize,
    used: Mutex<Instant>,
    /// When it was asked to send nothing more here.
    leaving: Mutex<Option<Instant>>,
    ending: AtomicBool,
}

impl Connection {
    fn busy(&self) -> usize {
        self.open.lock().len() + self.checks.load(Ordering::Acquire)
    }

    /// Asks the edge node to close this once all is answered.
    fn leave(&self) {
        let mut leaving = self.leaving.lock();
        // Where there is no room, the next look asks.
        if leaving.is_none() && self.out.add(&[&thrift::no_more(0)]) == Added::Yes {
            *leaving = Some(Instant::now());
        }
    }

    fn say(&self, method: &str, sequence: i32, said: &Said) {
        self.out.push(&[&thrift::answer(method, sequence, said)]);
        *self.used.lock() = Instant::now();
    }
}

/// A req's place on its connection, free again once it is answered or nobody is there to answer.
struct Place<'a> {
    connection: &'a Connection,
    sequence: i32,
    free: Cell<bool>,
}

impl Place<'_> {
    fn leave(&self) -> bool {
        let held = !self.free.replace(true);
        if held {
            self.connection.open.lock().remove(&self.sequence);
        }
        held
    }

    fn answer(&self, said: &Said) {
        must!(self.leave(), "a req is answered in its place");
        self.connection.say("process", self.sequence, said);
    }
}

impl Drop for Place<'_> {
    /// Gone without an answer; a coroutine that fails owes one all the same.
    fn drop(&mut self) {
        if !self.free.get() && std::thread::panicking() {
            self.answer(&Said::Crashed { fields: &[] });
        } else if self.leave() {
            self.connection.out.wake();
        }
    }
}

pub struct Clients {
    gate: Arc<Gate>,
    kernel: Arc<Kernel>,
    store: Arc<Store>,
    names: Names,
    connections: Mutex<Slab<Arc<Connection>>>,
    most: usize,
    open_most: usize,
    leaving: AtomicBool,
    /// Where the connection comes from that is to be the last.
    last: Mutex<Option<SocketAddr>>,
}

impl Clients {
    pub fn new(
        gate: Arc<Gate>,
        kernel: Arc<Kernel>,
        store: Arc<Store>,
        names: Names,
        sockets: usize,
        memory_mb: f64,
    ) -> Arc<Self> {
        let most = sockets.saturating_sub(KEPT).max(1);
        let connections = Mutex::new(Slab::new());
        let open_most = (memory_mb * MEMORY_PART * 1024.0 / REQ_KB) as usize;
        let (leaving, last) = (AtomicBool::new(false), Mutex::new(None));
        Arc::new(Clients { gate, kernel, store, names, connections, most, open_most, leaving, last })
    }

    /// Accepts until the listener is to be closed. What came before that is served.
    pub fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            if self.connections.lock().len() >= self.most {
                coroutine::sleep(ACCEPT_PAUSE);
                continue;
            }
            match listener.accept() {
                Ok((_, peer)) if Some(peer) == *self.last.lock() => return,
                Ok((stream, _)) => {
                    let clients = self.clone();
                    spawn(move || clients.serve(stream));
                }
                Err(error) => {
                    if let Some(count) = ACCEPTS.pass() {
                        log::warn!("accept: {error} ({count} so far)");
                    }
                    coroutine::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    /// Has the listener closed behind all that came before, and asks all edge nodes to leave. A connection of
    /// our own is the last to be accepted.
    pub fn close(&self, listen: SocketAddr) -> io::Result<()> {
        self.leaving.store(true, Ordering::Release);
        for connection in self.all() {
            connection.leave();
        }
        let mut last = self.last.lock();
        let stream = std::net::TcpStream::connect_timeout(&listen, CLOSE_MOST)?;
        *last = Some(stream.local_addr()?);
        Ok(())
    }

    /// Whether no connection is open.
    pub fn none(&self) -> bool {
        self.connections.lock().is_empty()
    }

    /// What is counted here, for the log.
    pub fn told(&self) -> String {
        let connections = self.connections.lock().len();
        let (garbled, no_room) = (GARBLED.count(), NO_ROOM.count());
        format!(
            "{connections} connections, {garbled} messages garbled, {no_room} without room, {} musts broken",
            must::count()
        )
    }

    /// Asks for the end of connections that stand idle, and ends those that were asked long ago.
    pub fn sweep(&self) {
        let idle = self.gate.idle();
        for connection in self.all() {
            if connection.busy() > 0 {
                continue;
            }
            let asked = *connection.leaving.lock();
            if asked.is_some_and(|asked| asked.elapsed() > CLOSING) {
                connection.ending.store(true, Ordering::Release);
                connection.out.wake();
            } else if self.leaving.load(Ordering::Acquire)
                || idle.is_some_and(|idle| connection.used.lock().elapsed() > idle)
            {
                connection.leave();
            }
        }
    }

    fn all(&self) -> Vec<Arc<Connection>> {
        self.connections.lock().iter().map(|(_, connection)| connection.clone()).collect()
    }

    /// A connection, from its opening to its end.
    fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut link = Link::new(stream, IN_MOST, OUT_MOST);
        let connection = Arc::new(Connection {
            out: link.out.clone(),
            open: Mutex::new(HashMap::new()),
            checks: AtomicUsize::new(0),
            used: Mutex::new(Instant::now()),
            leaving: Mutex::new(None),
            ending: AtomicBool::new(false),
        });
        let at = self.connections.lock().insert(connection.clone());
        if self.leaving.load(Ordering::Acquire) {
            connection.leave();
        }
        let end = self.carry(&mut link, &connection);
        self.connections.lock().remove(at);
        drop(link);
        // Cut off: nobody waits for what was open here.
        if let Err(error) = end {
            log::debug!("a connection broke: {error}");
            let open: Vec<Id> = connection.open.lock().values().cloned().collect();
            for id in open {
                self.gate.report(&id, Report::Gone);
            }
        }
    }

    /// Moves bytes until the edge node has closed and all is answered, or the connection breaks.
    fn carry(self: &Arc<Self>, link: &mut Link, connection: &Arc<Connection>) -> io::Result<()> {
        // After something that is no frame nothing more can be read, but what is open is answered.
        let mut readable = true;
        loop {
            link.flush()?;
            let mut more = readable;
            while more && connection.busy() < OPEN_MOST && link.out.len() < UNREAD_MOST {
                more = link.fill()?;
                while connection.busy() < OPEN_MOST && link.out.len() < UNREAD_MOST {
                    match thrift::frame(link.input.whole()) {
                        Ok(None) => break,
                        Ok(Some(length)) => {
                            let message = thrift::read(&link.input.whole()[4..4 + length]);
                            link.input.consume(4 + length);
                            *connection.used.lock() = Instant::now();
                            let Some(message) = message else {
                                readable = false;
                                break;
                            };
                            self.take(connection, message);
                        }
                        Err(()) => {
                            readable = false;
                            break;
                        }
                    }
                }
                if !readable {
                    if let Some(count) = GARBLED.pass() {
                        log::warn!("an edge node sent what is no message ({count} so far)");
                    }
                    break;
                }
            }
            let done = connection.busy() == 0 && link.out.len() == 0;
            if done && (link.at_end || !readable || connection.ending.load(Ordering::Acquire)) {
                if !link.at_end {
                    link.see_off();
                }
                return Ok(());
            }
            link.wait();
        }
    }

    fn take(self: &Arc<Self>, connection: &Arc<Connection>, message: thrift::Message) {
        let (method, sequence) = (message.method, message.sequence);
        let fault = match message.asked {
            Ok(Asked::Process { fields, body }) => {
                let free = !connection.open.lock().contains_key(&sequence);
                match read_fields(&fields, &self.names) {
                    Ok(_) if free && self.gate.open() >= self.open_most => {
                        if let Some(count) = NO_ROOM.pass() {
                            log::warn!("no memory for another req ({count} so far)");
                        }
                        return connection.say(&method, sequence, &Said::Rejected { fields: &[] });
                    }
                    Ok(read) if free => {
                        connection.open.lock().insert(sequence, read.incoming.id.clone());
                        let (clients, connection) = (self.clone(), connection.clone());
                        return spawn(move || clients.live(&connection, sequence, read, body.into()));
                    }
                    Ok(_) => Fault::Malformed("a sequence that is open".into()),
                    Err(fault) => fault,
                }
            }
            Ok(Asked::Probe { deep }) => {
                connection.checks.fetch_add(1, Ordering::AcqRel);
                let (clients, connection) = (self.clone(), connection.clone());
                return spawn(move || clients.check(&connection, sequence, deep));
            }
            Err(fault) => fault,
        };
        if let Some(count) = GARBLED.pass() {
            log::warn!("{method}: {fault:?} ({count} so far)");
        }
        if !message.oneway {
            connection.say(&method, sequence, &Said::Exception(&fault));
        }
    }

    /// The life of a req: from its reading, through what the gate orders, to its answer and the end of its run.
    fn live(&self, connection: &Connection, sequence: i32, read: Read, body: Bytes) {
        let (id, class, came) = (read.incoming.id.clone(), read.class, read.came);
        let mut incoming = read.incoming;
        incoming.age = age(came);
        // It is told as it was when the req came.
        incoming.patience = incoming.patience.map(|patience| patience.saturating_sub(incoming.age));
        let place = Place { connection, sequence, free: Cell::new(false) };
        let say = |said: &Said| place.answer(said);
        let ticket = match self.gate.enter(incoming) {
            Ok(ticket) => ticket,
            Err(Unfit::Known) => return say(&Said::Exception(&Fault::Malformed("its id is open".into()))),
            Err(Unfit::NotStarted) => return say(&Said::Rejected { fields: &[] }),
        };
        let mut calls = 0;
        let mut give_up = None;
        loop {
            let Some(order) = ticket.pick(give_up) else {
                // The call had its time; it may still have had its effect, unless it never left here.
                give_up = None;
                let outcome = self.store.give_up(&id, calls);
                self.gate.report(&id, Report::CallEnded { outcome, reply: Bytes::default() });
                continue;
            };
            match order {
                Order::Run => self.kernel.start(&id, &class, &body),
                Order::Stop => self.kernel.stop(&id),
                Order::Call { patience, body } => {
                    calls += 1;
                    give_up = Instant::now().checked_add(patience);
                    self.store.call(&id, calls, patience, &body);
                }
                Order::GoOn { reply } => {
                    give_up = None;
                    self.kernel.reply(&id, &reply);
                }
                Order::Skip { call } => {
                    give_up = None;
                    self.kernel.skip(&id, call);
                }
                Order::Answer(answer) => {
                    let mut fields = Vec::with_capacity(3);
                    fields.extend(self.signal());
                    match &answer {
                        Answer::Done(result) => {
                            say(&Said::Answer { body: result, fields: &fields, good: true })
                        }
                        Answer::Errored => say(&Said::Crashed { fields: &fields }),
                        Answer::Shed { wait, elsewhere } => {
                            let wait =
                                wait.map(|wait| ("holdoff", format!("{:.0}", wait.as_secs_f64() * 1e3)));
                            fields.extend(wait);
                            fields.extend((!elsewhere).then(|| ("nomore", "1".to_owned())));
                            say(&Said::Rejected { fields: &fields });
                        }
                    }
                }
                Order::Over => break,
            }
        }
        // A run that ended while its call was out.
        if give_up.is_some() {
            self.store.give_up(&id, calls);
        }
    }

    /// The field by which callers are advised with every answer.
    fn signal(&self) -> Option<(&'static str, String)> {
        self.gate.advice().map(|value| ("signal", format!("{value:.4}")))
    }

    /// A health check; a deep one has work done, for a bounded time.
    fn check(&self, connection: &Connection, sequence: i32, deep: bool) {
        let good = self.gate.healthy() && (!deep || self.kernel.works(CHECK_MOST));
        let fields: Vec<_> = self.signal().into_iter().collect();
        connection.checks.fetch_sub(1, Ordering::AcqRel);
        connection.say("probe", sequence, &Said::Answer { body: &[], fields: &fields, good });
    }
}

/// What the fields of a req say.
struct Read {
    incoming: Incoming,
    class: Id,
    /// When it came to the machine, since the Unix epoch.
    came: Duration,
}

/// How long ago that was; a clock that was set back makes it now.
fn age(came: Duration) -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_sub(came)
}

fn read_fields(fields: &Fields, names: &Names) -> Result<Read, Fault> {
    let find = |name: &str| fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str());
    let wrong = |name: &'static str| Fault::Malformed(format!("{name}: missing or senseless").into());
    let needed = |name: &'static str| find(name).ok_or_else(|| wrong(name));
    let number = |name: &'static str| match find(name) {
        None => Ok(None),
        Some(text) => match text.parse::<f64>() {
            Ok(value) if value.is_finite() && value >= 0.0 => Ok(Some(value)),
            _ => Err(wrong(name)),
        },
    };
    let span = |name: &'static str| -> Result<Option<Duration>, Fault> {
        let Some(value) = number(name)?.filter(|&value| value > 0.0) else {
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
    if id.len() != 16 || !id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(wrong("req"));
    }
    let came = needed("ts")?.parse().map(Duration::from_millis).map_err(|_| wrong("ts"))?;
    // One such age would drown the mean time unread for all.
    if age(came) > AGE_MOST {
        return Err(wrong("ts"));
    }
    let incoming = Incoming {
        id: id.into(),
        handler,
        tenant,
        age: Duration::ZERO,
        patience: span("timeout")?,
        work: span("ms")?,
        held_kb: number("need")?.ok_or_else(|| wrong("need"))?,
        retry: find("resent").is_some_and(|value| value == "1"),
        key: find("opkey").filter(|key| !key.is_empty()).map(Id::from),
    };
    Ok(Read { incoming, class: class.into(), came })
}
