//! The kernel, which runs reqs: one link, kept open. A link that breaks is opened again from the last notice
//! that was read; what may have been lost on the way is then said once more, where that is safe.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::sync::Blocker;
use parking_lot::Mutex;

use super::lines::{Line, line};
use super::{Added, FULL_PAUSE, LINES_MOST, Link, Out, connect, garbled, spawn};
use crate::clock;
use crate::config::Where;
use crate::log::Bound;
use crate::requests::{Bytes, Gauges, Outcome, RequestEvent, RequestId, RequestRegistry};

/// Between two tries to reach it.
const RETRY: Duration = Duration::from_millis(50);
/// The longest that an alarm waits for its gauges. While the machine stands still none come, and the module
/// knows that from an alarm that is late; longer than this, what is due could be answered too late.
const GAUGES_MOST: Duration = Duration::from_millis(60);
/// How long gauges stand for those that do not come.
const GAUGES_KEPT: Duration = Duration::from_millis(500);
/// How long a link that is left may take to show that all said there has arrived.
const FAREWELL: Duration = Duration::from_millis(100);

static REMARKS: Bound = Bound::new();
static REFUSALS: Bound = Bound::new();
static LINKS: Bound = Bound::new();

/// The last command for a run, by which it can be told what may have been lost.
enum Said {
    Start,
    Skip,
    Reply,
    /// A reply that came while there was no link.
    Unsent(Bytes),
}

/// What is said about a run.
enum Command<'a> {
    Start { class: &'a str, body: &'a [u8] },
    Stop,
    Reply(&'a [u8]),
    Skip(u64),
}

impl Command<'_> {
    fn bytes(&self, id: &str) -> Vec<u8> {
        let (head, body) = match *self {
            Command::Start { class, body } => {
                (line(format_args!("SCHED {id} {class} {}", body.len())), Some(body))
            }
            Command::Stop => (line(format_args!("PREEMPT {id}")), None),
            Command::Reply(reply) => (line(format_args!("IODONE {id} {}", reply.len())), Some(reply)),
            Command::Skip(notice) => (line(format_args!("NOIO {id} {notice}")), None),
        };
        match body {
            Some(body) => [head.as_bytes(), body, b"\r\n"].concat(),
            None => head.into_bytes(),
        }
    }
}

struct Run {
    class: RequestId,
    body: Bytes,
    /// It may not run again, so its start is never said twice.
    once: bool,
    said: Said,
    /// The place among all commands of what was said last; 0 once a notice shows that it arrived, none while it
    /// was not said.
    place: Option<u64>,
    /// The notice of the call that it stood at last.
    call: u64,
}

struct Ask {
    waiter: Arc<Blocker>,
    /// Commands said before it: its answer shows that they arrived.
    after: u64,
    reply: Option<Reply>,
}

enum Reply {
    Gauges(Gauges),
    Worked(bool),
}

#[derive(Default)]
struct State {
    /// The link, from the moment that all missed notices were read.
    out: Option<Arc<Out>>,
    /// The link from its opening on.
    link: Option<Arc<Out>>,
    last_notice: u64,
    /// Notices are missing, so what was not heard of may have ended.
    missed: bool,
    runs: HashMap<RequestId, Run>,
    asks: HashMap<u64, Ask>,
    tags: u64,
    commands: u64,
    /// The gauges heard last.
    gauged: Option<(Instant, Gauges)>,
    /// So many commands are known to have arrived.
    arrived: u64,
}

pub struct Kernel {
    address: Where<SocketAddr>,
    registry: Arc<RequestRegistry>,
    gauges: Vec<String>,
    state: Mutex<State>,
}

impl Kernel {
    pub fn new(address: SocketAddr, registry: Arc<RequestRegistry>, gauges: Vec<String>) -> Arc<Self> {
        Arc::new(Kernel {
            address: Where::new(address),
            registry,
            gauges,
            state: Mutex::new(State::default()),
        })
    }

    /// It listens there from now on.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.set(address)
            && let Some(link) = self.state.lock().link.clone()
        {
            link.wake();
        }
    }

    /// Runs a req, which may run `once` or again.
    pub fn start(&self, id: &RequestId, class: &RequestId, body: &Bytes, once: bool) {
        self.say(id, &Command::Start { class, body }, |state, place| {
            let (class, body) = (class.clone(), body.clone());
            let run = Run { class, body, once, said: Said::Start, place, call: 0 };
            state.runs.insert(id.clone(), run);
        });
    }

    /// Stops a run. The module says so again until it has ended, so a stop that is lost does no harm.
    pub fn stop(&self, id: &RequestId) {
        self.say(id, &Command::Stop, |_, _| ());
    }

    /// Hands a run the reply to its call.
    pub fn reply(&self, id: &RequestId, reply: &Bytes) {
        self.say(id, &Command::Reply(reply), |state, place| {
            if let Some(run) = state.runs.get_mut(id) {
                run.said = if place.is_some() { Said::Reply } else { Said::Unsent(reply.clone()) };
                run.place = place;
            }
        });
    }

    /// Lets a run go on without the call of that notice.
    pub fn skip(&self, id: &RequestId, notice: u64) {
        self.say(id, &Command::Skip(notice), |state, place| {
            if let Some(run) = state.runs.get_mut(id) {
                (run.said, run.place) = (Said::Skip, place);
            }
        });
    }

    /// The gauges now; where the kernel does not answer soon, what it said last, unless that is old.
    pub fn gauges(&self) -> Gauges {
        match self.ask("SYSINFO", GAUGES_MOST) {
            Some(Reply::Gauges(gauges)) => {
                self.state.lock().gauged = Some((Instant::now(), gauges));
                gauges
            }
            _ => known(self.state.lock().gauged, Instant::now()),
        }
    }

    /// Whether work gets done, within that time.
    pub fn works(&self, within: Duration) -> bool {
        matches!(self.ask("POST", within), Some(Reply::Worked(true)))
    }

    /// Says a command, and notes its place among all; none where there is no link. What was not said is said
    /// once there is one, where need be.
    fn say(&self, id: &str, command: &Command, note: impl FnOnce(&mut State, Option<u64>)) {
        let bytes = command.bytes(id);
        loop {
            // Under the lock, so that commands arrive in the order of their places.
            let mut state = self.state.lock();
            match state.out.as_ref().map_or(Added::Ended, |out| out.add(&[&bytes])) {
                Added::Full => {}
                Added::Ended => return note(&mut state, None),
                Added::Yes => {
                    state.commands += 1;
                    let place = state.commands;
                    return note(&mut state, Some(place));
                }
            }
            drop(state);
            clock::sleep(FULL_PAUSE);
        }
    }

    fn ask(&self, command: &str, within: Duration) -> Option<Reply> {
        let waiter = Arc::new(Blocker::new(true));
        let tag = {
            let mut state = self.state.lock();
            let out = state.out.clone()?;
            let after = state.commands;
            let tag = state.ask(waiter.clone(), after);
            // Full: the answer would come too late anyway.
            if out.add(&[line(format_args!("{command} {tag}")).as_bytes()]) != Added::Yes {
                state.asks.remove(&tag);
                return None;
            }
            tag
        };
        let until = Instant::now() + within;
        loop {
            let mut state = self.state.lock();
            if until <= Instant::now() || state.is_over(tag) {
                return state.asks.remove(&tag).and_then(|ask| ask.reply);
            }
            drop(state);
            clock::park(&waiter, Some(until));
        }
    }

    /// Keeps the link open for good.
    pub fn run(self: Arc<Self>) {
        loop {
            let address = self.address.now();
            let end = connect(address, || self.address.now() == address)
                .and_then(|stream| self.carry(&mut Link::new(stream, LINES_MOST, LINES_MOST), address));
            let was_up = {
                let mut state = self.state.lock();
                state.link = None;
                // What was asked is not answered any more.
                for ask in std::mem::take(&mut state.asks).into_values() {
                    ask.waiter.unpark();
                }
                state.out.take().is_some()
            };
            match end {
                Ok(()) => log::info!("kernel link: moves to {}", self.address.now()),
                Err(error) => {
                    if let Some(count) = LINKS.pass() {
                        log::warn!("kernel link: {error} ({count} so far)");
                    }
                    // Cut off while all was well, it can be had again at once; so it can where it has moved to.
                    if !was_up && self.address.now() == address {
                        clock::sleep(RETRY);
                    }
                }
            }
        }
    }

    /// A link, from its opening to its end; ends without an error where the kernel has moved.
    fn carry(self: &Arc<Self>, link: &mut Link, address: SocketAddr) -> io::Result<()> {
        let out = link.out.clone();
        let (last, barrier) = {
            let mut state = self.state.lock();
            state.link = Some(out.clone());
            // What was said on the link before may have been lost with it: this answer shows nothing of it.
            (state.last_notice, state.ask(Arc::new(Blocker::new(true)), 0))
        };
        let open = format!("OPEN {last}\r\n");
        out.push(&[open.as_bytes()]);
        let mut farewell = None;
        loop {
            let has_body = |words: &[&str]| matches!(words[0], "REAP" | "IOREQ");
            link.take_lines(has_body, |line| self.hear(line, barrier, &out))?;
            // Said farewell to, it is left even where the kernel has moved back meanwhile: nothing is said here any more.
            if farewell.is_some() || self.address.now() != address {
                let tag = *farewell.get_or_insert_with(|| self.farewell(&out));
                if tag.is_none_or(|tag| self.state.lock().is_over(tag)) {
                    return Ok(());
                }
            }
            link.wait();
        }
    }

    /// Nothing more is said here: what comes now is said on the next link. Asks once more for the gauges, as the
    /// answer shows that all before has arrived, and nothing need be taken for lost; where it does not come
    /// soon, this is left all the same.
    fn farewell(self: &Arc<Self>, out: &Arc<Out>) -> Option<u64> {
        let mut state = self.state.lock();
        state.out.take()?;
        let after = state.commands;
        let tag = state.ask(Arc::new(Blocker::new(true)), after);
        drop(state);
        out.add(&[line(format_args!("SYSINFO {tag}")).as_bytes()]);
        let (kernel, out) = (self.clone(), out.clone());
        spawn(move || {
            clock::sleep(FAREWELL);
            kernel.state.lock().asks.remove(&tag);
            out.wake();
        });
        Some(tag)
    }

    /// Takes one line.
    fn hear(self: &Arc<Self>, heard: &Line, barrier: u64, out: &Arc<Out>) -> io::Result<()> {
        let wrong = || garbled(format!("no notice: {:?}", heard.words));
        let number = |word: &str| word.parse::<u64>().map_err(|_| wrong());
        let body = || Bytes::from(heard.body);
        match heard.words[..] {
            ["BOOTED", state, since] => {
                let since = since.parse().ok().and_then(|ms: f64| Duration::try_from_secs_f64(ms / 1e3).ok());
                let since = since.ok_or_else(wrong)?;
                if self.registry.start(state == "booting", since) {
                    log::info!("kernel up: {state} since {} ms", since.as_millis());
                }
                // Its answer comes behind all missed notices.
                out.push(&[line(format_args!("SYSINFO {barrier}")).as_bytes()]);
            }
            ["REAP", notice, id, end, took, _] => {
                if self.fresh(number(notice)?) {
                    let outcome = match end {
                        "success" => Outcome::Succeeded,
                        "failure" => Outcome::Failed,
                        "interrupted" => Outcome::Cancelled,
                        "nothing" => Outcome::NotStarted,
                        // It is over, in a way that is not known here.
                        _ => Outcome::ConnectionLost,
                    };
                    self.state.lock().runs.remove(id);
                    let took = took.parse().ok().map(|ms: f64| ms / 1e3);
                    let work = took.and_then(|took| Duration::try_from_secs_f64(took).ok());
                    self.registry.report(id, RequestEvent::RunFinished { outcome, result: body(), work });
                }
            }
            ["IOREQ", notice, id, _] => {
                let call = number(notice)?;
                if self.fresh(call) {
                    if let Some(run) = self.state.lock().runs.get_mut(id) {
                        (run.place, run.call) = (Some(0), call);
                    }
                    self.registry.report(id, RequestEvent::CallReached { call, body: body() });
                }
            }
            ["INFO", tag, ref values @ ..] => {
                let mut gauges = Gauges::default();
                for (name, value) in self.gauges.iter().zip(values) {
                    if let Some(slot) = tulipgap_settings::gauge(&mut gauges, name) {
                        *slot = value.parse().ok().filter(|value: &f64| value.is_finite());
                    }
                }
                let tag = number(tag)?;
                self.answered(tag, Reply::Gauges(gauges));
                if tag == barrier {
                    self.state.lock().asks.remove(&tag);
                    // In a coroutine of its own, as this one must drain what it adds.
                    let (kernel, out) = (self.clone(), out.clone());
                    spawn(move || kernel.resume(&out));
                }
            }
            ["POSTED", tag, end] => self.answered(number(tag)?, Reply::Worked(end == "success")),
            ["EINVAL", command, ref rest @ ..] => {
                if let Some(count) = REFUSALS.pass() {
                    log::warn!("the kernel did not carry out {command} {} ({count} so far)", rest.join(" "));
                }
                match (command, rest) {
                    // Nothing was run, so this says nothing of how runs do here.
                    ("SCHED", [id, ..]) => {
                        self.state.lock().runs.remove(*id);
                        self.registry.report(
                            id,
                            RequestEvent::RunFinished {
                                outcome: Outcome::NotStarted,
                                result: Bytes::default(),
                                work: None,
                            },
                        );
                    }
                    // The run stands where it stood, and nothing else can be said to it.
                    ("NOIO" | "IODONE", [id, ..]) => drop(out.add(&[&Command::Stop.bytes(id)])),
                    _ => {}
                }
            }
            ["DMESG", notice, ref text @ ..] => {
                if self.fresh(number(notice)?)
                    && let Some(count) = REMARKS.pass()
                {
                    log::info!("the kernel remarks: {} ({count} so far)", text.join(" "));
                }
            }
            _ => return Err(wrong()),
        }
        Ok(())
    }

    /// Whether a notice was not read before.
    fn fresh(&self, notice: u64) -> bool {
        let mut state = self.state.lock();
        let fresh = notice > state.last_notice;
        state.missed |= notice > state.last_notice + 1;
        state.last_notice = state.last_notice.max(notice);
        fresh
    }

    fn answered(&self, tag: u64, reply: Reply) {
        let mut state = self.state.lock();
        if let Some(ask) = state.asks.get_mut(&tag) {
            ask.reply = Some(reply);
            ask.waiter.unpark();
            let after = ask.after;
            state.arrived = state.arrived.max(after);
        }
    }

    /// All missed notices were read. What is not known to have arrived is said again. To start a run that runs
    /// already does nothing, and a skip names its call. A reply may not be said again, as it could meet the next
    /// call of its run: the call is skipped instead, which does nothing where the reply has arrived. Where
    /// notices are missing, as the kernel keeps only so many, a run that was not heard of may have ended, and
    /// nothing of it is said again.
    ///
    /// A run may also end just now, behind the notices that were read and before what is said arrives: started again,
    /// it would run a second time. One that may not counts as broken instead, where its start has left here.
    fn resume(&self, out: &Arc<Out>) {
        let (lost, again) = {
            let mut state = self.state.lock();
            // A link that broke before this came to its turn: what is said goes to the next, or it would be lost.
            if !state.link.as_ref().is_some_and(|link| Arc::ptr_eq(link, out)) {
                return;
            }
            state.out = Some(out.clone());
            let (missed, arrived) = (std::mem::replace(&mut state.missed, false), state.arrived);
            let (mut lost, mut again) = (Vec::new(), Vec::new());
            state.runs.retain(|id, run| {
                let unsure = run.place.is_some_and(|place| arrived < place);
                let stays = !(missed || unsure && run.once && matches!(run.said, Said::Start));
                if !stays {
                    lost.push(id.clone());
                } else if unsure || run.place.is_none() {
                    // Not said over this link: no answer that comes over it shows that it has arrived.
                    run.place = None;
                    again.push(id.clone());
                }
                stays
            });
            (lost, again)
        };
        if !lost.is_empty() {
            log::warn!("kernel link: {} runs may have ended unheard and count as broken", lost.len());
        }
        for id in sorted(lost) {
            let broken = RequestEvent::RunFinished {
                outcome: Outcome::ConnectionLost,
                result: Bytes::default(),
                work: None,
            };
            self.registry.report(&id, broken);
        }
        for id in sorted(again) {
            if !self.say_again(&id, out) {
                return;
            }
        }
    }

    /// Says once more what was said last of a run, unless that was done meanwhile; false where the link has ended.
    fn say_again(&self, id: &RequestId, out: &Out) -> bool {
        loop {
            // Under the lock, so that commands arrive in the order of their places: one that waits for room has none
            // yet, or the answer to a question that overtook it would show it as arrived.
            let mut state = self.state.lock();
            let place = state.commands + 1;
            let Some(run) = state.runs.get_mut(id).filter(|run| run.place.is_none()) else { return true };
            let (command, said) = match &run.said {
                Said::Start => (Command::Start { class: &run.class, body: &run.body }, Said::Start),
                Said::Skip | Said::Reply => (Command::Skip(run.call), Said::Skip),
                Said::Unsent(reply) => (Command::Reply(reply), Said::Reply),
            };
            match out.add(&[&command.bytes(id)]) {
                Added::Full => {}
                Added::Ended => return false,
                Added::Yes => {
                    (run.said, run.place) = (said, Some(place));
                    state.commands = place;
                    return true;
                }
            }
            drop(state);
            clock::sleep(FULL_PAUSE);
        }
    }
}

/// In an order that is no map's.
fn sorted(mut ids: Vec<RequestId>) -> Vec<RequestId> {
    ids.sort_unstable();
    ids
}

/// What is known from the gauges heard last. Cores are not idle because a link broke.
fn known(gauged: Option<(Instant, Gauges)>, now: Instant) -> Gauges {
    let fresh = gauged.filter(|(at, _)| now.saturating_duration_since(*at) < GAUGES_KEPT);
    fresh.map_or_else(Gauges::default, |(_, gauges)| gauges)
}

impl State {
    /// Whether that question is answered, or will not be.
    fn is_over(&self, tag: u64) -> bool {
        self.asks.get(&tag).is_none_or(|ask| ask.reply.is_some())
    }

    /// A new tag; its answer shows that so many commands have arrived.
    fn ask(&mut self, waiter: Arc<Blocker>, after: u64) -> u64 {
        self.tags += 1;
        self.asks.insert(self.tags, Ask { waiter, after, reply: None });
        self.tags
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cores_do_not_idle_because_a_link_broke() {
        let (at, busy) = (Instant::now(), Gauges { cores_busy: Some(0.9), ..Gauges::default() });
        assert_eq!(known(Some((at, busy)), at + GAUGES_KEPT / 2), busy);
        assert_eq!(known(Some((at, busy)), at + GAUGES_KEPT), Gauges::default());
        assert_eq!(known(None, at), Gauges::default());
    }

    fn kernel(address: SocketAddr) -> Arc<Kernel> {
        Kernel::new(address, Arc::new(RequestRegistry::new(crate::net::told().0, 7, None)), Vec::new())
    }

    /// The answer that a link is caught up with may come to its turn behind the end of that link. Taken for the one in
    /// use, it would swallow all commands until the next one broke.
    #[test]
    fn a_link_that_has_ended_is_not_taken_for_the_one_in_use() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let kernel = kernel(address);
        let link =
            || Link::new(may::net::TcpStream::connect(address).unwrap(), LINES_MOST, LINES_MOST).out.clone();
        let (ended, now) = (link(), link());
        kernel.state.lock().link = Some(now.clone());
        kernel.resume(&now);
        kernel.resume(&ended);
        assert!(kernel.state.lock().out.as_ref().is_some_and(|out| Arc::ptr_eq(out, &now)));
        kernel.state.lock().link = None;
        kernel.state.lock().out = None;
        kernel.resume(&now);
        assert!(kernel.state.lock().out.is_none());
    }

    /// Commands that wait for room as a link is taken up had their places already: the answer to a question that
    /// overtook them showed them as arrived, and they were never said again. A start that may have arrived is said again
    /// where it may run again, and counts as broken where it may not.
    #[test]
    fn what_waits_for_room_has_no_place_and_what_may_run_once_is_not_started_again() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let kernel = kernel(listener.local_addr().unwrap());
        let id = |at: u32| RequestId::from(format!("{at:016x}"));
        let start = |once, place| {
            let (class, body) = (RequestId::from("page"), Bytes::from(&b"run"[..]));
            Run { class, body, once, said: Said::Start, place, call: 0 }
        };
        let one = Command::Start { class: "page", body: b"run" }.bytes(&id(0)).len();
        let stream = may::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let link = Link::new(stream, LINES_MOST, one);
        {
            let mut state = kernel.state.lock();
            (state.link, state.commands, state.arrived) = (Some(link.out.clone()), 7, 2);
            // Known to have arrived, maybe arrived, and never said.
            let runs = [(false, Some(2)), (false, Some(3)), (true, Some(4)), (true, None), (true, Some(0))];
            state.runs = (0..).zip(runs).map(|(at, (once, place))| (id(at), start(once, place))).collect();
        }
        let mut said = Vec::new();
        std::thread::scope(|scope| {
            scope.spawn(|| kernel.resume(&link.out));
            let start = Instant::now();
            while said.len() < 2 && start.elapsed() < Duration::from_secs(30) {
                let state = kernel.state.lock();
                let mut ring = link.out.ring.lock();
                if ring.len() > 0 {
                    said.push((state.commands, String::from_utf8(ring.whole().to_vec()).unwrap()));
                    ring.consume(one);
                }
            }
            // Whatever still waits for room then does not wait for ever.
            link.out.ended.store(true, std::sync::atomic::Ordering::Release);
        });
        let places: Vec<u64> = said.iter().map(|said| said.0).collect();
        assert_eq!(places, [8, 9], "a place for what was not said");
        assert!(said[0].1.contains(&*id(1)) && said[1].1.contains(&*id(3)), "{said:?}");
        let state = kernel.state.lock();
        assert!(!state.runs.contains_key(&id(2)), "it counts as broken");
        let places = [0, 1, 3, 4].map(|at| state.runs[&id(at)].place);
        assert_eq!(places, [Some(2), Some(8), Some(9), Some(0)]);
        assert_eq!(link.out.len(), 0, "nothing more is said");
    }
}
