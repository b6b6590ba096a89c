//! The kernel: it runs requests, as PROTOCOL.md says under 'The kernel'.
//!
//! The body of a request says what its run does, for example `w20 c w10 r400 `: 20 ms of work, a
//! call, 10 ms of work, and a result of 400 bytes. The rest of the body has no meaning.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::world::{Shared, ms};

#[derive(Clone, Copy)]
enum Step {
    Work(u64),
    Call,
}

struct Run {
    steps: Vec<Step>,
    at: usize,
    result: usize,
    is_waiting: bool,
    call: u64,
    version: u64,
    started: Instant,
    is_poorer: bool,
}

#[derive(Default)]
struct State {
    notices: Vec<Vec<u8>>,
    runs: HashMap<String, Run>,
    ended: HashSet<String>,
    link: Option<TcpStream>,
    link_number: u64,
    timers: BTreeMap<(Instant, u64), (String, u64)>,
    counter: u64,
    /// Commands for runs that are read from now on are lost: the link is about to break. Questions
    /// for the gauges are answered.
    is_losing: bool,
    /// Then questions for the gauges are lost, too.
    loses_all: bool,
    lost: u64,
}

/// How the kernel behaves.
#[derive(Clone)]
pub struct KernelRules {
    /// `PREEMPT` is allowed.
    pub can_halt: bool,
    /// `NOIO` is allowed.
    pub can_skip: bool,
    /// The first word of `BOOTED`.
    pub state: &'static str,
}

pub struct Kernel {
    world: Shared,
    rules: KernelRules,
    state: Mutex<State>,
    wake: Condvar,
}

/// The result of the run of a request: its id, and whether it went on without a call.
pub fn result_of(id: &str, is_poorer: bool, length: usize) -> Vec<u8> {
    let mark = format!("{id}{}", if is_poorer { "-" } else { "+" });
    mark.bytes().cycle().take(length.max(mark.len())).collect()
}

fn parse(body: &[u8]) -> (Vec<Step>, usize) {
    let (mut steps, mut result) = (Vec::new(), 0);
    for word in String::from_utf8_lossy(body).split(' ') {
        let number = |text: &str| text.parse::<u64>().unwrap_or(0);
        match word.as_bytes().first() {
            Some(b'w') => steps.push(Step::Work(number(&word[1..]))),
            Some(b'c') => steps.push(Step::Call),
            Some(b'r') => result = number(&word[1..]) as usize,
            _ => break,
        }
    }
    (steps, result)
}

impl Kernel {
    pub fn start(world: &Shared, rules: KernelRules) -> (Arc<Kernel>, SocketAddr) {
        let kernel = Arc::new(Kernel {
            world: world.clone(),
            rules,
            state: Mutex::default(),
            wake: Condvar::new(),
        });
        let timers = kernel.clone();
        std::thread::spawn(move || timers.run_timers());
        let address = kernel.listen();
        (kernel, address)
    }

    /// Listens at one more address.
    pub fn listen(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let kernel = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let kernel = kernel.clone();
                std::thread::spawn(move || kernel.serve(stream));
            }
        });
        address
    }

    /// Loses the commands for runs of the next `lost`, and then breaks the link. Gauges are told
    /// until then, unless `loses_all` is set. Returns how many commands were lost.
    pub fn break_link(&self, lost: Duration, loses_all: bool) -> u64 {
        let before = {
            let mut state = self.state.lock().unwrap();
            state.is_losing = true;
            state.loses_all = loses_all;
            state.lost
        };
        std::thread::sleep(lost);
        let mut state = self.state.lock().unwrap();
        state.is_losing = false;
        if let Some(link) = state.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
        self.world.note("kernel breaks the link");
        state.lost - before
    }

    pub fn running(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let mut own = 0;
        loop {
            let mut line = Vec::new();
            if input.read_until(b'\n', &mut line).unwrap_or(0) == 0 || !line.ends_with(b"\r\n") {
                return;
            }
            let text = String::from_utf8_lossy(&line).trim_end().to_owned();
            let words: Vec<&str> = text.split(' ').collect();
            let mut body = Vec::new();
            if matches!(words[0], "SCHED" | "IODONE") {
                let Some(length) = words.last().and_then(|word| word.parse::<usize>().ok()) else {
                    self.world.note(format!("kernel cannot read: {text}"));
                    return;
                };
                body.resize(length + 2, 0);
                if input.read_exact(&mut body).is_err() {
                    return;
                }
                body.truncate(length);
            }
            let mut state = self.state.lock().unwrap();
            if let ["OPEN", last] = words[..] {
                if let Some(old) = state.link.take() {
                    let _ = old.shutdown(Shutdown::Both);
                }
                state.link_number += 1;
                own = state.link_number;
                let mut out = format!("BOOTED {} 1000.0\r\n", self.rules.state).into_bytes();
                let from = last.parse::<usize>().unwrap_or(0).min(state.notices.len());
                out.extend(state.notices[from..].concat());
                let _ = (&stream).write_all(&out);
                state.link = Some(stream.try_clone().unwrap());
                self.world
                    .note(format!("kernel link opened after notice {last}"));
                continue;
            }
            if own != state.link_number {
                return;
            }
            if state.is_losing && (state.loses_all || words[0] != "SYSINFO") {
                state.lost += 1;
                self.world.note(format!("kernel loses {text}"));
                continue;
            }
            self.command(&mut state, &words, &body);
        }
    }

    fn send(&self, state: &mut State, bytes: &[u8]) {
        if let Some(link) = &state.link {
            let mut link: &TcpStream = link;
            let _ = link.write_all(bytes);
        }
    }

    fn notice(&self, state: &mut State, word: &str, rest: &str, body: &[u8]) -> u64 {
        let number = state.notices.len() as u64 + 1;
        let mut bytes = format!("{word} {number} {rest} {}\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
        self.send(state, &bytes);
        state.notices.push(bytes);
        number
    }

    fn end(&self, state: &mut State, id: &str, end: &str, result: &[u8]) {
        let took = state
            .runs
            .remove(id)
            .map_or(0.0, |run| run.started.elapsed().as_secs_f64() * 1e3);
        state.ended.insert(id.to_owned());
        if end == "success" {
            self.world
                .with(id, |entry| entry.result = Some(result.to_owned()));
        }
        self.world.note(format!("run of {id} ends {end}"));
        self.notice(state, "REAP", &format!("{id} {end} {took:.3}"), result);
    }

    fn command(&self, state: &mut State, words: &[&str], body: &[u8]) {
        match words {
            ["SCHED", id, class, _] => self.sched(state, id, class, body),
            ["PREEMPT", id] => {
                if !self.rules.can_halt {
                    return self.send(state, format!("EINVAL PREEMPT {id}\r\n").as_bytes());
                }
                if state.runs.contains_key(*id) {
                    self.end(state, id, "interrupted", b"");
                }
            }
            ["IODONE", id, _] => {
                let is_waiting = state.runs.get(*id).is_some_and(|run| run.is_waiting);
                if !is_waiting {
                    self.world
                        .note(format!("IODONE without a waiting run {id}"));
                    return self.send(state, format!("EINVAL IODONE {id}\r\n").as_bytes());
                }
                let expected = format!("reply to {id}");
                if body != expected.as_bytes() {
                    self.world.with(id, |entry| entry.wrong += 1);
                    self.world.note(format!("WRONG reply for {id}"));
                }
                self.go_on(state, id);
            }
            ["NOIO", id, number] => {
                let number: u64 = number.parse().unwrap_or(0);
                let waits = state
                    .runs
                    .get(*id)
                    .is_some_and(|run| run.is_waiting && run.call == number);
                if !self.rules.can_skip {
                    return self.send(state, format!("EINVAL NOIO {id}\r\n").as_bytes());
                }
                if waits {
                    if let Some(run) = state.runs.get_mut(*id) {
                        run.is_poorer = true;
                    }
                    self.go_on(state, id);
                }
            }
            ["SYSINFO", tag] => {
                let running = state.runs.values().filter(|run| !run.is_waiting).count();
                let busy = (running as f64 / 6.0).min(1.0);
                let line = format!("INFO {tag} {busy:.3} {running} 0.1 3\r\n");
                self.send(state, line.as_bytes());
            }
            ["POST", tag] => self.send(state, format!("POSTED {tag} success\r\n").as_bytes()),
            other => self.world.note(format!("kernel got {other:?}")),
        }
    }

    fn sched(&self, state: &mut State, id: &str, class: &str, body: &[u8]) {
        if state.runs.contains_key(id) {
            return;
        }
        let known = self.world.with(id, |entry| {
            let is_changed = entry.class != class || entry.body != body;
            entry.wrong += u32::from(is_changed);
            entry.is_over()
        });
        match known {
            None => {
                self.world.note(format!("kernel does not know {id}"));
                return self.send(state, format!("EINVAL SCHED {id}\r\n").as_bytes());
            }
            Some(true) => {
                state.counter += 1;
                self.notice(state, "REAP", &format!("{id} nothing 0"), b"");
                return;
            }
            Some(false) => {}
        }
        self.world.with(id, |entry| {
            entry.runs += 1;
            entry.run_at.get_or_insert_with(Instant::now);
        });
        self.world.note(format!("run of {id} begins"));
        let (steps, result) = parse(body);
        state.runs.insert(
            id.to_owned(),
            Run {
                steps,
                at: 0,
                result,
                is_waiting: false,
                call: 0,
                version: 0,
                started: Instant::now(),
                is_poorer: false,
            },
        );
        self.step(state, id);
    }

    fn go_on(&self, state: &mut State, id: &str) {
        if let Some(run) = state.runs.get_mut(id) {
            run.is_waiting = false;
            run.at += 1;
        }
        self.step(state, id);
    }

    fn step(&self, state: &mut State, id: &str) {
        let Some(run) = state.runs.get_mut(id) else {
            return;
        };
        run.version += 1;
        match run.steps.get(run.at) {
            None => {
                let result = result_of(id, run.is_poorer, run.result);
                self.end(state, id, "success", &result);
            }
            Some(Step::Work(length)) => {
                let (at, version) = (Instant::now() + ms(*length), run.version);
                state.counter += 1;
                let key = (at, state.counter);
                state.timers.insert(key, (id.to_owned(), version));
                self.wake.notify_one();
            }
            Some(Step::Call) => {
                if self.world.with(id, |entry| entry.is_over()) == Some(true) {
                    return self.end(state, id, "interrupted", b"");
                }
                if let Some(run) = state.runs.get_mut(id) {
                    run.is_waiting = true;
                }
                let body = format!("call of {id}").into_bytes();
                let number = self.notice(state, "IOREQ", id, &body);
                if let Some(run) = state.runs.get_mut(id) {
                    run.call = number;
                }
            }
        }
    }

    /// Ends the runs that wait for a call although their request is over.
    pub fn sweep(&self) {
        let mut state = self.state.lock().unwrap();
        let over: Vec<String> = state
            .runs
            .iter()
            .filter(|(id, run)| {
                run.is_waiting && self.world.with(id, |entry| entry.is_over()) == Some(true)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            self.end(&mut state, &id, "interrupted", b"");
        }
    }

    fn run_timers(&self) {
        let mut state = self.state.lock().unwrap();
        loop {
            let now = Instant::now();
            match state.timers.first_key_value().map(|(key, _)| *key) {
                None => state = self.wake.wait(state).unwrap(),
                Some((at, _)) if at > now => {
                    state = self.wake.wait_timeout(state, at - now).unwrap().0;
                }
                Some(_) => {
                    let Some((_, (id, version))) = state.timers.pop_first() else {
                        continue;
                    };
                    if state
                        .runs
                        .get(&id)
                        .is_some_and(|run| run.version == version)
                    {
                        self.go_on(&mut state, &id);
                    }
                }
            }
        }
    }
}
