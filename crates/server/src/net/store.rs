//! The store, which runs call: a bounded pool of connections, each with one open call at a time, so that a reply
//! that is spoilt costs its own call only. The connection used last is taken first, and those that stand idle
//! are left before the store closes them.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use may::net::TcpStream;
use parking_lot::Mutex;

use super::lines::{self, Line, line};
use super::{Added, Link, Out, connect, garbled, spawn};
use crate::config::Where;
use crate::log::Bound;
use crate::requests::{Bytes, Outcome, RequestEvent, RequestId, RequestRegistry};

/// The store closes what stands idle for 10 s, or sooner; a connection is left before, so that few calls meet
/// that.
const IDLE: Duration = Duration::from_secs(2);
/// What a connection holds at the most: one call, and one reply with what comes beside it.
const RING_MOST: usize = 2 * (lines::LINE_MOST + lines::BODY_MOST);
/// Lines of no meaning that are passed over while a reply is awaited.
const STRAYS_MOST: usize = 8;

static ENDS: Bound = Bound::new();
static SILENT: Bound = Bound::new();
static STRAYS: Bound = Bound::new();

/// A req's call of that number, which is also its place among all calls of that req.
struct Call {
    id: RequestId,
    number: usize,
    bytes: Vec<u8>,
}

/// One connection, as others than its own coroutine see it.
struct Lane {
    /// Its way out, once it is open.
    out: Option<Arc<Out>>,
    address: SocketAddr,
    call: Option<Call>,
    /// For whom it called last: a second copy of that reply must not pass for a new one.
    last: Option<RequestId>,
    used: Instant,
    /// It is to close: its call was given up, or it stood idle.
    ending: bool,
}

#[derive(Default)]
struct Pool {
    lanes: HashMap<u64, Lane>,
    /// Those without a call, the one used last behind.
    idle: Vec<u64>,
    /// On which lane a req's call is out.
    open: HashMap<RequestId, u64>,
    /// Calls for which no lane was free.
    waiting: VecDeque<Call>,
    numbers: u64,
}

pub struct Store {
    address: Where<Option<SocketAddr>>,
    registry: Arc<RequestRegistry>,
    most: usize,
    pool: Mutex<Pool>,
    /// Connections that were refused, in a row.
    refused: AtomicU32,
    /// The zone's prober says that it is down: no call tries for itself.
    down: AtomicBool,
}

impl Store {
    /// A store that is called over so many connections at the most.
    pub fn new(address: Option<SocketAddr>, registry: Arc<RequestRegistry>, most: usize) -> Arc<Self> {
        let address = Where::new(address);
        let (refused, down) = (AtomicU32::new(0), AtomicBool::new(false));
        Arc::new(Store { address, registry, most, pool: Mutex::default(), refused, down })
    }

    /// Connections that it takes at the most.
    pub fn most(&self) -> usize {
        self.most
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.address.now()
    }

    /// How many connections in a row were refused.
    pub fn refused(&self) -> u32 {
        self.refused.load(Ordering::Relaxed)
    }

    /// A probe has found it listening.
    pub fn answers(&self) {
        self.refused.store(0, Ordering::Relaxed);
    }

    /// Whether calls are refused here without being made.
    pub fn hold_down(&self, down: bool) {
        if self.down.swap(down, Ordering::AcqRel) != down {
            log::info!(
                "store: {}",
                if down { "held down by the zone's prober" } else { "held down no more" }
            );
        }
    }

    /// It listens there from now on: open calls get their replies where they were made, new ones go there.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        if self.address.set(address) {
            self.sweep();
        }
        // There is none any more: what waits for a place is not called.
        if address.is_none() {
            let waiting = std::mem::take(&mut self.pool.lock().waiting);
            for call in waiting {
                self.ended(&call.id, Outcome::Unreachable, Bytes::default());
            }
        }
    }

    /// Makes a req's call of that number; its end is reported to the registry.
    pub fn call(self: &Arc<Self>, id: &RequestId, number: usize, patience: Duration, body: &Bytes) {
        let address = self.address.now().filter(|_| !self.down.load(Ordering::Acquire));
        let Some(address) = address else {
            return self.ended(id, Outcome::Unreachable, Bytes::default());
        };
        let head = line(format_args!("CALL {id} {} {}", patience.as_millis().max(1), body.len()));
        let call = Call { id: id.clone(), number, bytes: [head.as_bytes(), body, b"\r\n"].concat() };
        let mut pool = self.pool.lock();
        pool.leave_idle(Some(address));
        let free = pool.idle.iter().rposition(|at| pool.lanes[at].last.as_ref() != Some(id));
        if let Some(at) = free.map(|place| pool.idle.remove(place)) {
            pool.give(at, call);
        } else if pool.lanes.len() < self.most {
            self.open(&mut pool, address, call);
        } else {
            pool.waiting.push_back(call);
        }
    }

    fn open(self: &Arc<Self>, pool: &mut Pool, address: SocketAddr, call: Call) {
        pool.numbers += 1;
        let at = pool.numbers;
        let used = Instant::now();
        pool.open.insert(call.id.clone(), at);
        let lane = Lane { out: None, address, call: Some(call), last: None, used, ending: false };
        pool.lanes.insert(at, lane);
        let store = self.clone();
        spawn(move || store.run(address, at));
    }

    /// Gives a req's call of that number up, and tells what is known of it then. Its connection is left: that
    /// gives the call up there, and nothing that still comes can be taken for another's reply.
    pub fn give_up(&self, id: &RequestId, number: usize) -> Outcome {
        let mut pool = self.pool.lock();
        if let Some(place) = pool.waiting.iter().position(|call| call.id == *id && call.number == number) {
            pool.waiting.remove(place);
            return Outcome::Unreachable;
        }
        let at = pool.open.get(id).copied();
        let lane = at.and_then(|at| pool.lanes.get_mut(&at));
        let Some(lane) = lane.filter(|lane| lane.call.as_ref().is_some_and(|call| call.number == number))
        else {
            return Outcome::TimedOut;
        };
        lane.call = None;
        lane.end();
        let sent = lane.out.is_some();
        pool.open.remove(id);
        if !sent {
            return Outcome::Unreachable;
        }
        if let Some(count) = SILENT.pass() {
            log::warn!("store: no reply in time ({count} so far)");
        }
        Outcome::TimedOut
    }

    /// Leaves connections that stand idle, or that lead where the store is no more.
    pub fn sweep(&self) {
        let address = self.address.now();
        self.pool.lock().leave_idle(address);
    }

    fn ended(&self, id: &str, outcome: Outcome, reply: Bytes) {
        self.registry.report(id, RequestEvent::CallFinished { outcome, reply });
    }

    /// A connection, from its opening to its end.
    fn run(self: &Arc<Self>, address: SocketAddr, at: u64) {
        // Given up, or with the store elsewhere, the call that it is opened for has no use for it.
        let wanted = || {
            let lane = self.pool.lock().lanes.get(&at).is_some_and(|lane| !lane.ending);
            lane && self.address.now() == Some(address)
        };
        let open = connect(address, wanted);
        match &open {
            Ok(_) => self.refused.store(0, Ordering::Relaxed),
            Err(_) if wanted() => _ = self.refused.fetch_add(1, Ordering::Relaxed),
            Err(_) => {}
        }
        let end = open.and_then(|stream| self.carry(stream, at));
        let mut pool = self.pool.lock();
        let lost = pool.lanes.remove(&at).and_then(|lane| {
            let call = lane.call?;
            // What had not begun to leave has not run.
            let unsent = lane.out.is_none_or(|out| out.len() >= call.bytes.len());
            Some((call.id, if unsent { Outcome::Unreachable } else { Outcome::ConnectionLost }))
        });
        if let Some((id, _)) = &lost {
            pool.open.remove(id);
        }
        // Its place is another's.
        if let Some(address) = self.address.now()
            && let Some(call) = pool.waiting.pop_front()
        {
            self.open(&mut pool, address, call);
        }
        drop(pool);
        if let Some((id, outcome)) = lost {
            self.ended(&id, outcome, Bytes::default());
        }
        if let Err(error) = end
            && let Some(count) = ENDS.pass()
        {
            log::warn!("store: {error} ({count} so far)");
        }
    }

    fn carry(&self, stream: TcpStream, at: u64) -> io::Result<()> {
        let mut link = Link::new(stream, RING_MOST, RING_MOST);
        {
            let mut pool = self.pool.lock();
            let Some(lane) = pool.lanes.get_mut(&at) else { return Ok(()) };
            lane.out = Some(link.out.clone());
            if let Some(call) = &lane.call {
                link.out.add(&[&call.bytes]);
            }
        }
        let mut strays = 0;
        loop {
            let end =
                link.take_lines(|words| words.get(1) == Some(&"OK"), |line| self.hear(line, at, &mut strays));
            let mut pool = self.pool.lock();
            let Some(lane) = pool.lanes.get(&at).filter(|lane| !lane.ending) else { return Ok(()) };
            if let Err(error) = end {
                let idle = lane.call.is_none();
                // Nothing is given to it any more.
                pool.idle.retain(|&other| other != at);
                // A connection that stood idle may be closed at any time.
                return if idle { Ok(()) } else { Err(error) };
            }
            drop(pool);
            link.wait();
        }
    }

    fn hear(&self, heard: &Line, at: u64, strays: &mut usize) -> io::Result<()> {
        let (id, outcome) = match heard.words[..] {
            [id, "OK", _] => (id, Outcome::Succeeded),
            [id, "BUSY" | "VOID"] => (id, Outcome::Rejected),
            [id, "ERR"] => (id, Outcome::Failed),
            [id, "LATE"] => (id, Outcome::TimedOut),
            _ => return Err(garbled(format!("no reply: {:?}", heard.words))),
        };
        let mut pool = self.pool.lock();
        let Some(lane) = pool.lanes.get_mut(&at) else { return Ok(()) };
        let ours = lane.call.as_ref().is_some_and(|call| *call.id == *id);
        if !ours {
            // A second copy, or a reply to nobody.
            *strays += 1;
            if let Some(count) = STRAYS.pass() {
                log::warn!("store: a reply to no call ({count} so far)");
            }
            return if *strays > STRAYS_MOST { Err(garbled("too many replies to no call")) } else { Ok(()) };
        }
        *strays = 0;
        lane.used = Instant::now();
        let Some(call) = lane.call.take() else { return Ok(()) };
        lane.last = Some(call.id.clone());
        let stays = Some(lane.address) == self.address.now();
        // It leads where the store is no more: its end opens another for what waits.
        if !stays {
            lane.end();
        }
        pool.open.remove(&call.id);
        let next = pool.waiting.iter().position(|next| next.id != call.id).filter(|_| stays);
        match next.and_then(|place| pool.waiting.remove(place)) {
            Some(next) => pool.give(at, next),
            None if stays => pool.idle.push(at),
            None => {}
        }
        drop(pool);
        self.ended(&call.id, outcome, Bytes::from(heard.body));
        Ok(())
    }
}

impl Lane {
    fn end(&mut self) {
        self.ending = true;
        if let Some(out) = &self.out {
            out.wake();
        }
    }
}

impl Pool {
    /// Gives a lane that is open and free its next call.
    fn give(&mut self, at: u64, call: Call) {
        self.open.insert(call.id.clone(), at);
        let Some(lane) = self.lanes.get_mut(&at) else { return };
        let added = lane.out.as_ref().map(|out| out.add(&[&call.bytes]));
        lane.call = Some(call);
        // It has ended, or holds what it should not; its end reports the call.
        if added != Some(Added::Yes) {
            lane.end();
        }
    }

    /// Leaves what stood idle for long, and what leads elsewhere than to this address.
    fn leave_idle(&mut self, address: Option<SocketAddr>) {
        let Pool { lanes, idle, .. } = self;
        idle.retain(|at| {
            let Some(lane) = lanes.get_mut(at) else { return false };
            let stays = Some(lane.address) == address && lane.used.elapsed() < IDLE;
            if !stays {
                lane.end();
            }
            stays
        });
    }
}
