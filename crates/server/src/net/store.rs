//! The store, which runs call: two lanes, one connection each at the most, opened when needed. A further call
//! for a req takes the other lane, so that a late reply to the one before can't be taken for its own.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::net::TcpStream;
use parking_lot::Mutex;

use super::lines::{Line, line};
use super::{Added, LINES_MOST, Link, Out, garbled, spawn};
use crate::gate::{Bytes, Gate, Id, Outcome, Report};
use crate::log::Bound;

/// The store closes what stands idle for 10 s; a connection is left before, so that no call meets that.
const IDLE: Duration = Duration::from_secs(7);

static ENDS: Bound = Bound::new();

#[derive(Default)]
struct Lane {
    out: Option<Arc<Out>>,
    connecting: bool,
    /// Calls that wait for the connection.
    waiting: BTreeMap<Id, Vec<u8>>,
    /// Calls that were written.
    open: BTreeSet<Id>,
    used: Option<Instant>,
}

impl Lane {
    /// Leaves a connection that stands idle; yields it.
    fn leave(&mut self) -> Option<Arc<Out>> {
        let idle = self.used.is_some_and(|used| used.elapsed() > IDLE) && self.open.is_empty();
        if idle { self.out.take() } else { None }
    }

    fn is(&self, out: &Arc<Out>) -> bool {
        self.out.as_ref().is_some_and(|ours| Arc::ptr_eq(ours, out))
    }
}

pub struct Store {
    address: Option<SocketAddr>,
    gate: Arc<Gate>,
    lanes: [Mutex<Lane>; 2],
}

impl Store {
    pub fn new(address: Option<SocketAddr>, gate: Arc<Gate>) -> Arc<Self> {
        Arc::new(Store { address, gate, lanes: Default::default() })
    }

    /// Makes a req's call of that number; its end is reported to the gate.
    pub fn call(self: &Arc<Self>, id: &Id, number: usize, patience: Duration, body: &Bytes) {
        let Some(address) = self.address else {
            return self.ended(id, Outcome::Unreachable);
        };
        let head = line(format_args!("CALL {id} {} {}", patience.as_millis().max(1), body.len()));
        let bytes = [head.as_bytes(), body, b"\r\n"].concat();
        let at = number % 2;
        let mut lane = self.lanes[at].lock();
        if let Some(out) = lane.leave() {
            out.wake();
        }
        lane.used = Some(Instant::now());
        if let Some(out) = lane.out.clone() {
            lane.open.insert(id.clone());
            drop(lane);
            if !out.push(&[&bytes]) && self.lanes[at].lock().open.remove(id) {
                self.ended(id, Outcome::Broken);
            }
            return;
        }
        lane.waiting.insert(id.clone(), bytes);
        if !std::mem::replace(&mut lane.connecting, true) {
            let store = self.clone();
            spawn(move || store.run(address, at));
        }
    }

    /// Gives a req's call of that number up, and tells what is known of it then.
    pub fn give_up(&self, id: &Id, number: usize) -> Outcome {
        let mut lane = self.lanes[number % 2].lock();
        if lane.waiting.remove(id).is_some() {
            return Outcome::Unreachable;
        }
        let out = lane.out.clone();
        if lane.open.remove(id)
            && let Some(out) = out
        {
            drop(lane);
            out.push(&[line(format_args!("DROP {id}")).as_bytes()]);
        }
        Outcome::TimedOut
    }

    /// Leaves connections that stand idle.
    pub fn sweep(&self) {
        for lane in &self.lanes {
            if let Some(out) = lane.lock().leave() {
                out.wake();
            }
        }
    }

    fn ended(&self, id: &str, outcome: Outcome) {
        self.gate.report(id, Report::CallEnded { outcome, reply: Bytes::default() });
    }

    /// A lane's connection, from its opening to its end.
    fn run(&self, address: SocketAddr, at: usize) {
        let stream = TcpStream::connect(address);
        let mut lane = self.lanes[at].lock();
        lane.connecting = false;
        let waiting = std::mem::take(&mut lane.waiting);
        let mut link = match stream {
            Ok(stream) => Link::new(stream, LINES_MOST, LINES_MOST),
            Err(error) => {
                drop(lane);
                self.tell(&error);
                for id in waiting.keys() {
                    self.ended(id, Outcome::Unreachable);
                }
                return;
            }
        };
        lane.out = Some(link.out.clone());
        let (written, left): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|(_, bytes)| link.out.add(&[bytes]) == Added::Yes);
        lane.open.extend(written.into_iter().map(|(id, _)| id));
        drop(lane);
        for (id, _) in left {
            self.ended(&id, Outcome::Unreachable);
        }
        let end = self.carry(&mut link, at);
        let mut lane = self.lanes[at].lock();
        // Left on purpose, its place may be another's already, and nothing was open.
        if lane.is(&link.out) {
            lane.out = None;
            let open = std::mem::take(&mut lane.open);
            drop(lane);
            drop(link);
            for id in open {
                self.ended(&id, Outcome::Broken);
            }
        } else {
            drop(lane);
        }
        if let Err(error) = end {
            self.tell(&error);
        }
    }

    fn tell(&self, error: &io::Error) {
        if let Some(count) = ENDS.pass() {
            log::warn!("store: {error} ({count} so far)");
        }
    }

    fn carry(&self, link: &mut Link, at: usize) -> io::Result<()> {
        loop {
            link.take_lines(|words| words.get(1) == Some(&"OK"), |line| self.hear(line, at))?;
            if !self.lanes[at].lock().is(&link.out) {
                return Ok(());
            }
            link.wait();
        }
    }

    fn hear(&self, heard: &Line, at: usize) -> io::Result<()> {
        let (id, outcome) = match heard.words[..] {
            [id, "OK", _] => (id, Outcome::Done),
            [id, "BUSY" | "VOID"] => (id, Outcome::Full),
            [id, "ERR"] => (id, Outcome::Errored),
            [id, "LATE"] => (id, Outcome::TimedOut),
            _ => return Err(garbled(format!("no reply: {:?}", heard.words))),
        };
        let mut lane = self.lanes[at].lock();
        lane.used = Some(Instant::now());
        let ours = lane.open.remove(id);
        drop(lane);
        if ours {
            self.gate.report(id, Report::CallEnded { outcome, reply: Bytes::from(heard.body) });
        }
        Ok(())
    }
}
