//! All decisions on connections. The order in which connections give way when places are short, the first that is
//! there: those that never said anything, those that stand in the middle of a message, those asked to close, idle
//! ones of newcomers, idle ones of known clients; never one on which something is open.

use std::net::IpAddr;
use std::time::Duration;

use crate::counts::Counts;
use crate::interface::*;
use crate::known::Known;
use crate::ledger::{Ledger, Part, TooFew};
use crate::prefix::Prefix;
use crate::queues::Queues;
use crate::sketch::Sketch;
use crate::wheel::Wheel;

/// Over what openings are counted; a rate is so many times that many seconds.
const WINDOW: Duration = Duration::from_secs(3);
/// Columns of the sketch: 256 KB in all.
const COLUMNS: usize = 4096;
/// Known clients that are remembered for each place.
const KNOWN_EACH: usize = 4;
/// What a known client's address may have open, as a multiple of what a newcomer's may.
const KNOWN_TIMES: u32 = 4;
/// What is open beyond this part of the places makes those go that are idle.
const CROWDED: f64 = 0.85;
/// How long a connection may be silent, or in the middle of a message, before it gives way.
const SILENT_LEAST: Duration = Duration::from_millis(500);
/// How long a connection asked to close is left to its caller while places are short: a req that is on its way then is
/// sent again.
const CROSSING: Duration = Duration::from_millis(60);
/// How long a caller may take to close what it was asked to leave.
const CLOSING: Duration = Duration::from_secs(2);
/// How long a connection has been without use before it gives way to another: else two clients would chase each
/// other out with each message. A known client's gives way to known clients only, and later.
const STAYS: Duration = Duration::from_millis(250);
const KNOWN_STAYS: Duration = Duration::from_secs(1);
/// How long nothing is accepted when no descriptor is left, when the machine has none, when it has no memory.
const NO_DESCRIPTOR: Duration = Duration::from_millis(20);
const MACHINE_FULL: Duration = Duration::from_millis(100);
const NO_MEMORY: Duration = Duration::from_millis(200);
/// Deadlines fall due that much late at the most.
const TICK: Duration = Duration::from_millis(10);

/// The queues in which connections without anything open stand, in the order in which they give way.
const SILENT: usize = 0;
const HALF: usize = 1;
const ASKED: usize = 2;
const IDLE: usize = 3;
const IDLE_KNOWN: usize = 4;
const QUEUES: usize = 5;

struct One {
    address: IpAddr,
    part: Part,
    opened: Duration,
    used: Duration,
    asked: Option<Duration>,
    /// Since when a whole message is awaited: the first, or one that has begun.
    awaited: Option<Duration>,
    /// When a message began that is not whole.
    half: Option<Duration>,
    spoke: bool,
    open: u32,
    /// A message took too long while something was open: it ends once that is answered.
    slow: bool,
    ending: bool,
}

pub struct Admission {
    terms: Terms,
    ledger: Ledger,
    places: usize,
    ones: Vec<Option<One>>,
    open: usize,
    /// Connections of each address and network, and openings of late.
    counts: Counts,
    sketch: Sketch,
    known: Known,
    queues: Queues,
    wheel: Wheel,
    due: Vec<usize>,
    leaving: bool,
    alarm: Option<Duration>,
    decided: Decided,
}

impl Admission {
    pub fn new(terms: Terms, seed: u64) -> Result<Self, TooFew> {
        let ledger = Ledger::new(terms.descriptors, &terms.reserves)?;
        let places = ledger.room(Part::Clients).max(ledger.room(Part::KnownClients));
        Ok(Admission {
            // Each connection counts for its address and two networks.
            counts: Counts::new(places * 3 + 3, seed),
            sketch: Sketch::new(WINDOW, COLUMNS, seed ^ 0x5EED),
            known: Known::new(places * KNOWN_EACH, terms.half_life, seed),
            queues: Queues::new(QUEUES),
            wheel: Wheel::new(TICK),
            ones: Vec::new(),
            open: 0,
            due: Vec::new(),
            leaving: false,
            alarm: None,
            decided: Decided::default(),
            places,
            ledger,
            terms,
        })
    }

    /// Places for connections.
    pub fn places(&self) -> usize {
        self.places
    }

    pub fn open(&self) -> usize {
        self.open
    }

    pub fn decided(&self) -> &Decided {
        &self.decided
    }

    /// Descriptors of others than clients.
    pub fn ledger(&mut self) -> &mut Ledger {
        &mut self.ledger
    }

    /// Whether another connection may be accepted now. Where newcomers wait for a place, something is ended to make
    /// one when there is none.
    pub fn may_accept(&mut self, now: Duration, acts: &mut Vec<Act>) -> bool {
        if self.terms.when_full == WhenFull::Refuse || self.ledger.room(Part::Clients) > 0 {
            return true;
        }
        // The one that filled the table, alone in saying nothing, has a moment to speak: its first message may be
        // on its way, and it is not what crowds the table.
        let silent = self.queues.first(SILENT).filter(|_| self.queues.len(SILENT) == 1);
        let new = |&conn: &Conn| {
            self.ones[conn].as_ref().is_some_and(|one| now.saturating_sub(one.opened) <= CROSSING)
        };
        self.make_room(now, true, false, silent.filter(new), acts);
        false
    }

    /// Takes what happened, and adds what is to be done.
    pub fn on(&mut self, now: Duration, news: News, acts: &mut Vec<Act>) {
        match news {
            News::Came { conn, address } => self.came(now, conn, address, acts),
            News::Began { conn } => self.began(now, conn),
            News::Message { conn } => self.message(now, conn),
            News::Opened { conn } => self.opened(now, conn),
            News::Answered { conn, whole } => self.answered(now, conn, whole, acts),
            News::Fault { conn } => self.fault(now, conn),
            News::Closed { conn } => self.closed(conn),
            News::Failed { trouble } => self.failed(now, trouble, acts),
            News::Idle { after } => self.terms.idle = after,
            News::Leave => self.leave(now, acts),
            News::Alarm => self.alarm = None,
        }
        self.pass(now, acts);
    }

    /// The ordinary path of a newcomer.
    fn came(&mut self, now: Duration, conn: Conn, address: IpAddr, acts: &mut Vec<Act>) {
        let address = address.to_canonical();
        let known = self.knows(now, address);
        if let Some(cause) = self.refusal(now, address, known) {
            if cause == Cause::Full {
                // The next one finds a place, if something may go.
                self.make_room(now, false, known, None, acts);
            }
            *self.decided.refused.entry(cause).or_default() += 1;
            acts.push(Act::Refuse { conn, cause });
            return;
        }
        let part = if known { Part::KnownClients } else { Part::Clients };
        let taken = self.ledger.take(part);
        debug_assert!(taken, "must hold: what is let in has a place");
        for network in Prefix::around(address) {
            let counted = self.counts.add(network);
            debug_assert!(counted, "must hold: there are no more networks than connections can have");
        }
        if self.ones.len() <= conn {
            self.ones.resize_with(conn + 1, || None);
        }
        self.ones[conn] = Some(One {
            address,
            part,
            opened: now,
            used: now,
            asked: None,
            awaited: Some(now),
            half: None,
            spoke: false,
            open: 0,
            slow: false,
            ending: false,
        });
        self.open += 1;
        self.decided.let_in += 1;
        acts.push(Act::Let { conn });
        // Looked at before it stands among those that may go: none goes for having just come.
        if self.open as f64 > self.places as f64 * CROWDED {
            self.make_room(now, false, known, None, acts);
        }
        self.place(conn);
        self.wheel.set(conn, now.saturating_add(self.terms.message));
        if self.leaving {
            self.ask(now, conn, acts);
        }
    }

    fn knows(&self, now: Duration, address: IpAddr) -> bool {
        self.terms.listed.iter().any(|network| network.contains(address)) || self.known.knows(now, address)
    }

    /// Why a newcomer is not let in, if it is not.
    fn refusal(&mut self, now: Duration, address: IpAddr, known: bool) -> Option<Cause> {
        let networks = Prefix::around(address);
        if let Some(caps) = self.terms.caps {
            const OPEN: [Cause; 3] = [Cause::AddressOpen, Cause::NetworkOpen, Cause::WideOpen];
            const RATE: [Cause; 3] = [Cause::AddressRate, Cause::NetworkRate, Cause::WideRate];
            for (at, (cap, network)) in caps.iter().zip(networks).enumerate() {
                let times = if known { KNOWN_TIMES } else { 1 };
                if self.counts.get(network) >= cap.open.saturating_mul(times) {
                    return Some(OPEN[at]);
                }
                // Known clients are not judged by rates: a sketch may take others' openings for theirs.
                if !known
                    && self.sketch.count(now, network) >= cap.rate.saturating_mul(WINDOW.as_secs() as u32)
                {
                    return Some(RATE[at]);
                }
            }
            // Only what gets as far as here counts as an opening: else who is refused would stay so by trying.
            for network in networks.into_iter().filter(|_| !known) {
                self.sketch.add(now, network);
            }
        }
        if now < self.terms.warm_up {
            let warm = now.as_secs_f64() / self.terms.warm_up.as_secs_f64();
            let part = self.terms.cold_part + (1.0 - self.terms.cold_part) * warm;
            let places = (self.places as f64 * part).max(1.0);
            // Each address has as many as any other: guards against a herd in which one takes all. Counts of networks
            // stand for those of addresses, three for each at the most.
            let addresses = (self.counts.len() as f64 / 3.0).max(1.0);
            let fair = (places / addresses).max(1.0);
            let own = f64::from(self.counts.get(networks[0]));
            if self.open as f64 >= places || own >= fair && self.open as f64 * 2.0 >= places {
                return Some(Cause::Cold);
            }
        }
        let part = if known { Part::KnownClients } else { Part::Clients };
        (self.ledger.room(part) == 0).then_some(Cause::Full)
    }

    fn began(&mut self, now: Duration, conn: Conn) {
        let message = self.terms.message;
        if let Some(one) = self.one(conn)
            && one.half.is_none()
        {
            one.half = Some(now);
            // The first message has its time from the opening on.
            if one.awaited.is_none() {
                one.awaited = Some(now);
                self.wheel.set(conn, now.saturating_add(message));
            }
            self.place(conn);
        }
    }

    fn message(&mut self, now: Duration, conn: Conn) {
        let idle = self.terms.idle;
        if let Some(one) = self.one(conn) {
            one.spoke = true;
            one.used = now;
            (one.awaited, one.half) = (None, None);
            self.wheel.set(conn, now.saturating_add(idle));
            self.place(conn);
        }
    }

    fn opened(&mut self, now: Duration, conn: Conn) {
        if let Some(one) = self.one(conn) {
            one.open += 1;
            one.used = now;
            self.place(conn);
        }
    }

    fn answered(&mut self, now: Duration, conn: Conn, whole: bool, acts: &mut Vec<Act>) {
        let (idle, closing) = (self.terms.idle, self.closing());
        let Some(one) = self.one(conn) else { return };
        one.open = one.open.saturating_sub(1);
        one.used = now;
        let (address, free) = (one.address, one.open == 0 && one.awaited.is_none());
        let slow = one.slow && one.open == 0;
        if free {
            let at = one.asked.map_or(now.saturating_add(idle), |asked| asked.saturating_add(closing));
            self.wheel.set(conn, at);
        }
        self.place(conn);
        if whole {
            self.known.earns(now, address);
        }
        if slow {
            self.end(conn, Cause::Slow, acts);
        }
    }

    fn fault(&mut self, now: Duration, conn: Conn) {
        if let Some(address) = self.one(conn).map(|one| one.address) {
            self.known.loses(now, address);
        }
    }

    fn closed(&mut self, conn: Conn) {
        let Some(one) = self.ones.get_mut(conn).and_then(Option::take) else { return };
        self.queues.remove(conn);
        self.wheel.clear(conn);
        self.ledger.give(one.part);
        for network in Prefix::around(one.address) {
            self.counts.remove(network);
        }
        self.open -= 1;
    }

    fn failed(&mut self, now: Duration, trouble: Trouble, acts: &mut Vec<Act>) {
        self.decided.failed += 1;
        let pause = match trouble {
            // One that had gone before says nothing of the next.
            Trouble::Aborted => return,
            Trouble::NoDescriptor => NO_DESCRIPTOR,
            Trouble::MachineFull => MACHINE_FULL,
            Trouble::NoMemory => NO_MEMORY,
        };
        // Somebody holds descriptors that the ledger does not know of: what can go makes room.
        self.make_room(now, true, false, None, acts);
        acts.push(Act::Pause { until: now.saturating_add(pause) });
    }

    fn leave(&mut self, now: Duration, acts: &mut Vec<Act>) {
        self.leaving = true;
        for conn in 0..self.ones.len() {
            self.ask(now, conn, acts);
        }
    }

    /// Ends or asks one connection, so that another has its place; `at_once` also one that was not asked before,
    /// but not the one that is spared.
    fn make_room(
        &mut self,
        now: Duration,
        at_once: bool,
        known: bool,
        spared: Option<Conn>,
        acts: &mut Vec<Act>,
    ) {
        let since = |at: Duration| now.saturating_sub(at);
        for queue in 0..QUEUES {
            let Some(conn) = self.queues.first(queue).filter(|&conn| Some(conn) != spared) else { continue };
            let Some(one) = self.ones[conn].as_ref() else { continue };
            let ripe = match queue {
                SILENT => at_once || since(one.opened) > SILENT_LEAST,
                // Never sooner: the rest may be on its way.
                HALF => one.half.is_some_and(|began| since(began) > SILENT_LEAST),
                ASKED => one.asked.is_some_and(|asked| at_once || since(asked) > CROSSING),
                IDLE => at_once || since(one.used) > STAYS,
                _ => at_once || known && since(one.used) > KNOWN_STAYS,
            };
            if !ripe {
                continue;
            }
            if matches!(queue, IDLE | IDLE_KNOWN) {
                self.ask(now, conn, acts);
                if !at_once {
                    return;
                }
            }
            return self.end(conn, Cause::Room, acts);
        }
    }

    fn ask(&mut self, now: Duration, conn: Conn, acts: &mut Vec<Act>) {
        if let Some(one) = self.one(conn)
            && one.asked.is_none()
            && !one.ending
        {
            one.asked = Some(now);
            let free = one.open == 0 && one.awaited.is_none();
            if free {
                self.wheel.set(conn, now.saturating_add(self.closing()));
            }
            self.place(conn);
            acts.push(Act::Ask { conn });
        }
    }

    /// How long a caller may take to close what it was asked to: little while the server leaves.
    fn closing(&self) -> Duration {
        if self.leaving { CROSSING } else { CLOSING }
    }

    fn end(&mut self, conn: Conn, cause: Cause, acts: &mut Vec<Act>) {
        if let Some(one) = self.one(conn)
            && !one.ending
        {
            debug_assert!(one.open == 0, "must hold: none is ended on which something is open");
            one.ending = true;
            self.queues.remove(conn);
            self.wheel.clear(conn);
            *self.decided.ended.entry(cause).or_default() += 1;
            acts.push(Act::End { conn, cause });
        }
    }

    /// Puts a connection in the queue where it belongs, or in none while something is open on it.
    fn place(&mut self, conn: Conn) {
        let Some(one) = self.ones.get(conn).and_then(Option::as_ref) else { return };
        let queue = match () {
            () if one.open > 0 || one.ending => return self.queues.remove(conn),
            () if one.half.is_some() => HALF,
            () if one.asked.is_some() => ASKED,
            () if !one.spoke => SILENT,
            () if one.part == Part::KnownClients => IDLE_KNOWN,
            () => IDLE,
        };
        // Where it stands already its place among the others stays, unless it was used.
        if self.queues.of(conn) != Some(queue) || matches!(queue, IDLE | IDLE_KNOWN) {
            self.queues.put(conn, queue);
        }
    }

    /// What the passing of time brings: deadlines, and idle connections, the longest without use first.
    fn pass(&mut self, now: Duration, acts: &mut Vec<Act>) {
        let mut due = std::mem::take(&mut self.due);
        self.wheel.advance(now, &mut due);
        for conn in due.drain(..) {
            self.fell_due(now, conn, acts);
        }
        self.due = due;
        for queue in [IDLE, IDLE_KNOWN] {
            // The time may have become shorter since their deadlines were set.
            while let Some(conn) = self.queues.first(queue)
                && self.ones[conn].as_ref().is_some_and(|one| now.saturating_sub(one.used) > self.terms.idle)
            {
                self.ask(now, conn, acts);
            }
        }
        let next = self.wheel.next();
        if next != self.alarm
            && let Some(at) = next
        {
            self.alarm = Some(at);
            acts.push(Act::Alarm { at });
        }
    }

    fn fell_due(&mut self, now: Duration, conn: Conn, acts: &mut Vec<Act>) {
        let (message, idle, closing) = (self.terms.message, self.terms.idle, self.closing());
        let Some(one) = self.one(conn) else { return };
        if let Some(since) = one.awaited {
            if now.saturating_sub(since) < message {
                return self.wheel.set(conn, since.saturating_add(message));
            }
            // What is open on it is answered first.
            one.slow = true;
            if one.open == 0 {
                self.end(conn, Cause::Slow, acts);
            }
        } else if one.open > 0 {
            // Its deadline is set anew once it is answered.
        } else if let Some(asked) = one.asked {
            if now.saturating_sub(asked) < closing {
                return self.wheel.set(conn, asked.saturating_add(closing));
            }
            self.end(conn, Cause::Asked, acts);
        } else if now.saturating_sub(one.used) < idle {
            let at = one.used.saturating_add(idle);
            self.wheel.set(conn, at);
        } else {
            self.ask(now, conn, acts);
        }
    }

    fn one(&mut self, conn: Conn) -> Option<&mut One> {
        self.ones.get_mut(conn).and_then(Option::as_mut)
    }
}
