//! The kernel: it runs requests and keeps its last 4,000 notices. The body of a request says what
//! its run does, as words: `work=MS` (time on a core), `calls=N`, `forever`. Cores are not shared:
//! a run takes its time whatever else runs.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;

const KEPT_NOTICES: usize = 4000;

/// A run that has not ended.
struct Run {
    started: Instant,
    /// When its work on the core is done; `None` while it waits for a call or is paused.
    works_until: Option<Instant>,
    calls_left: u32,
    calls_done: u32,
    skipped: u32,
    work: Duration,
    /// The number of the notice of the call that it waits for.
    waits_at: Option<u64>,
    forever: bool,
}

#[derive(Default)]
pub struct State {
    link: Option<TcpStream>,
    links: u64,
    first_kept: u64,
    notices: Vec<Vec<u8>>,
    last_notice: u64,
    runs: HashMap<String, Run>,
    /// How often each request was started.
    pub starts: HashMap<String, u32>,
    /// When each request was first started.
    pub started_at: HashMap<String, Instant>,
    /// The result of each run that succeeded.
    pub results: HashMap<String, Vec<u8>>,
    /// The kernel takes commands and does nothing until then.
    pub hangs: bool,
    /// Commands are read and dropped, as in the last moments of a link that breaks.
    pub loses_commands: bool,
    pub may_skip: bool,
    /// Ids that belong to no request of an edge node; their starts are refused.
    pub unknown_ids: Vec<String>,
    /// Requests that are answered or given up.
    over: HashSet<String>,
    /// The most runs at a time.
    pub most_runs: usize,
    commands: u64,
}

#[derive(Clone)]
pub struct Kernel {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
    record: Record,
    booted: Instant,
    state_word: &'static str,
    cores: u32,
}

impl Kernel {
    pub fn start(host: &str, cores: u32, may_skip: bool, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind((host, 0))?;
        let kernel = Kernel {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                may_skip,
                first_kept: 1,
                ..State::default()
            })),
            record: record.clone(),
            booted: Instant::now(),
            state_word: "steady",
            cores,
        };
        kernel.listen(listener);
        let runner = kernel.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(1));
                runner.advance();
            }
        });
        Ok(kernel)
    }

    /// Serves links on another address too.
    pub fn listen(&self, listener: TcpListener) {
        let kernel = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let _ = stream.set_nodelay(true);
                let kernel = kernel.clone();
                std::thread::spawn(move || kernel.serve(stream));
            }
        });
    }

    /// Breaks the link.
    pub fn break_link(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some(link) = state.link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
        self.record.line("kernel: link broken");
    }

    /// Sends a remark: a notice with no meaning.
    pub fn remark(&self, text: &str) {
        let mut state = self.state.lock().unwrap();
        self.record
            .line(format!("kernel: DMESG with a text of {} bytes", text.len()));
        self.notice(&mut state, "DMESG", text, None);
    }

    pub fn links(&self) -> u64 {
        self.state.lock().unwrap().links
    }

    pub fn running(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }

    pub fn starts(&self, id: &str) -> u32 {
        self.state
            .lock()
            .unwrap()
            .starts
            .get(id)
            .copied()
            .unwrap_or(0)
    }

    /// The request is answered or given up: its run ends at a call, and is not started any more.
    pub fn request_is_over(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        state.over.insert(id.to_owned());
        if !state.hangs && state.runs.get(id).is_some_and(|run| run.waits_at.is_some()) {
            self.end(&mut state, id, "interrupted", b"");
        }
    }

    fn notice(&self, state: &mut State, word: &str, rest: &str, body: Option<&[u8]>) {
        state.last_notice += 1;
        let mut bytes = format!("{word} {} {rest}", state.last_notice).into_bytes();
        if let Some(body) = body {
            bytes.extend(format!(" {}\r\n", body.len()).bytes());
            bytes.extend(body);
        }
        bytes.extend(b"\r\n");
        if let Some(link) = &mut state.link {
            let _ = link.write_all(&bytes);
        }
        state.notices.push(bytes);
        if state.notices.len() > KEPT_NOTICES {
            state.notices.remove(0);
            state.first_kept += 1;
        }
    }

    fn end(&self, state: &mut State, id: &str, end: &str, result: &[u8]) {
        let Some(run) = state.runs.remove(id) else {
            return;
        };
        if end == "success" {
            state.results.insert(id.to_owned(), result.to_vec());
        }
        let took = run.started.elapsed().as_secs_f64() * 1e3;
        self.record.line(format!("kernel: run {id} ended {end}"));
        self.notice(
            state,
            "REAP",
            &format!("{id} {end} {took:.3}"),
            Some(result),
        );
    }

    fn advance(&self) {
        let mut state = self.state.lock().unwrap();
        if state.hangs {
            return;
        }
        let now = Instant::now();
        // Runs that wait at a call end there once their request is over.
        let ended: Vec<String> = state
            .runs
            .iter()
            .filter(|(id, run)| run.waits_at.is_some() && state.over.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            self.end(&mut state, &id, "interrupted", b"");
        }
        let due: Vec<String> = state
            .runs
            .iter()
            .filter(|(_, run)| !run.forever && run.works_until.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let is_over = state.over.contains(&id);
            let run = state.runs.get_mut(&id).unwrap();
            if run.calls_left > 0 && is_over {
                self.end(&mut state, &id, "interrupted", b"");
            } else if run.calls_left > 0 {
                run.calls_left -= 1;
                run.works_until = None;
                let number = state.last_notice + 1;
                state.runs.get_mut(&id).unwrap().waits_at = Some(number);
                self.record
                    .line(format!("kernel: run {id} waits for a call"));
                let body = format!("call of {id} at notice {number}");
                self.notice(&mut state, "IOREQ", &id, Some(body.as_bytes()));
            } else {
                let result = format!(
                    "result of {id} calls={} skipped={}",
                    run.calls_done, run.skipped
                );
                self.end(&mut state, &id, "success", result.as_bytes());
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        let mut number = 0;
        loop {
            let mut line = Vec::new();
            if reader.read_until(b'\n', &mut line).unwrap_or(0) == 0 {
                return;
            }
            let text = String::from_utf8_lossy(&line).trim_end().to_owned();
            let words: Vec<&str> = text.split(' ').collect();
            let mut body = Vec::new();
            if matches!(words[0], "SCHED" | "IODONE") {
                let length: usize = words.last().and_then(|word| word.parse().ok()).unwrap_or(0);
                body.resize(length + 2, 0);
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                body.truncate(length);
            }
            let mut state = self.state.lock().unwrap();
            if let ["OPEN", last] = words[..] {
                let last: u64 = last.parse().unwrap_or(0);
                state.links += 1;
                number = state.links;
                let mut bytes = format!(
                    "BOOTED {} {:.1}\r\n",
                    self.state_word,
                    self.booted.elapsed().as_secs_f64() * 1e3
                )
                .into_bytes();
                let first = state.first_kept;
                for (offset, notice) in state.notices.iter().enumerate() {
                    if first + offset as u64 > last {
                        bytes.extend(notice);
                    }
                }
                let mut link = stream.try_clone().unwrap();
                let _ = link.write_all(&bytes);
                if let Some(old) = state.link.replace(link) {
                    let _ = old.shutdown(Shutdown::Both);
                }
                self.record
                    .line(format!("kernel: link {number} opened after notice {last}"));
            } else if number != state.links || state.link.is_none() {
                return;
            } else {
                self.command(&mut state, &words, body);
            }
        }
    }

    fn send(&self, state: &mut State, line: String) {
        if let Some(link) = &mut state.link {
            let _ = link.write_all(line.as_bytes());
        }
    }

    fn command(&self, state: &mut State, words: &[&str], body: Vec<u8>) {
        if state.loses_commands {
            if words[0] != "SYSINFO" {
                self.record
                    .line(format!("kernel: lost with its link: {}", words.join(" ")));
            }
            return;
        }
        state.commands += 1;
        match words {
            ["SCHED", id, _, _] => {
                self.record.line(format!("kernel: SCHED {id}"));
                if state.unknown_ids.iter().any(|unknown| unknown == id) {
                    return self.send(state, format!("EINVAL SCHED {id}\r\n"));
                }
                let running = state.runs.contains_key(*id);
                if !running && state.over.contains(*id) {
                    self.notice(state, "REAP", &format!("{id} nothing 0.000"), Some(b""));
                } else if !running {
                    *state.starts.entry((*id).to_owned()).or_default() += 1;
                    state
                        .started_at
                        .entry((*id).to_owned())
                        .or_insert_with(Instant::now);
                    let run = new_run(&body);
                    state.runs.insert((*id).to_owned(), run);
                    state.most_runs = state.most_runs.max(state.runs.len());
                }
            }
            ["PREEMPT", id] => {
                if !state.hangs && state.runs.contains_key(*id) {
                    self.end(state, id, "interrupted", b"");
                }
            }
            ["IODONE", id, _] => {
                self.record.line(format!("kernel: IODONE {id}"));
                if let Some(run) = state.runs.get_mut(*id)
                    && run.waits_at.take().is_some()
                {
                    run.calls_done += 1;
                    run.works_until = Some(Instant::now() + run.work);
                }
            }
            ["NOIO", id, notice] => {
                self.record.line(format!("kernel: NOIO {id} {notice}"));
                if !state.may_skip {
                    return self.send(state, format!("EINVAL NOIO {id}\r\n"));
                }
                if let Some(run) = state.runs.get_mut(*id)
                    && run.waits_at.map(|at| at.to_string()).as_deref() == Some(notice)
                {
                    run.waits_at = None;
                    run.skipped += 1;
                    run.works_until = Some(Instant::now() + run.work);
                }
            }
            ["SYSINFO", tag] => {
                let running = state
                    .runs
                    .values()
                    .filter(|run| run.works_until.is_some())
                    .count();
                let busy = (running as f64 / f64::from(self.cores)).min(1.0);
                let line = format!("INFO {tag} {busy:.2} {running} 0.1 4\r\n");
                self.send(state, line);
            }
            ["POST", tag] => {
                if !state.hangs {
                    self.send(state, format!("POSTED {tag} success\r\n"));
                }
            }
            _ => self
                .record
                .line(format!("kernel: unknown command {}", words.join(" "))),
        }
    }
}

fn new_run(body: &[u8]) -> Run {
    let text = String::from_utf8_lossy(body);
    let number = |name: &str| {
        text.split_whitespace().find_map(|word| {
            word.strip_prefix(name)?
                .strip_prefix('=')?
                .parse::<f64>()
                .ok()
        })
    };
    let work = Duration::from_secs_f64(number("work").unwrap_or(10.0) / 1e3);
    Run {
        started: Instant::now(),
        works_until: Some(Instant::now() + work),
        calls_left: number("calls").unwrap_or(0.0) as u32,
        calls_done: 0,
        skipped: 0,
        work,
        waits_at: None,
        forever: text.split_whitespace().any(|word| word == "forever"),
    }
}
