//! The peers of a demo deployment around one `tulipgapd`: an executor with two cores (the `kernel`
//! of its configuration), a store, and an edge node that sends one request and then a burst. See
//! README.md in this directory.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use thrift::protocol::{
    TBinaryInputProtocol, TBinaryOutputProtocol, TFieldIdentifier, TInputProtocol, TMapIdentifier,
    TMessageIdentifier, TMessageType, TOutputProtocol, TType,
};

type Error = Box<dyn std::error::Error + Send + Sync>;

/// Address of `tulipgapd` for edge nodes.
const BACKEND: &str = "127.0.0.1:6565";
/// Address of the executor.
const EXECUTOR: &str = "127.0.0.2:7300";
/// Address of the store.
const STORE: &str = "127.0.0.2:7700";
/// Number of cores that runs share.
const CORES: u32 = 2;
/// Work of one request, in milliseconds on one core.
const WORK_MS: u64 = 60;
/// Number of requests in the burst: more than the cores can complete within the latency objective.
const BURST_REQUESTS: i32 = 60;

fn main() -> Result<(), Error> {
    let executor = TcpListener::bind(EXECUTOR)?;
    let store = TcpListener::bind(STORE)?;
    std::thread::spawn(move || serve_connections(&executor, |stream| serve_executor(&stream)));
    std::thread::spawn(move || serve_connections(&store, |stream| serve_store(&stream)));
    println!("demo_peers: executor and store are up; waiting for tulipgapd on {BACKEND}");
    let mut edge = loop {
        match TcpStream::connect(BACKEND) {
            Ok(stream) => break stream,
            Err(_) => std::thread::sleep(Duration::from_millis(100)),
        }
    };
    // The backend rejects all requests until it is connected to its executor.
    std::thread::sleep(Duration::from_millis(300));
    send_request(&mut edge, 1, "page")?;
    println!(
        "demo_peers: one request: {}",
        summary(&read_answer(&mut edge)?)
    );
    let mut outcomes = HashMap::new();
    let mut examples = HashMap::new();
    // A connection may have at most 32 open requests, so the burst is sent over two connections.
    let mut other = TcpStream::connect(BACKEND)?;
    for sequence in 2..2 + BURST_REQUESTS {
        send_request(
            if sequence % 2 == 0 {
                &mut edge
            } else {
                &mut other
            },
            sequence,
            "page",
        )?;
    }
    for sequence in 2..2 + BURST_REQUESTS {
        let answer = read_answer(if sequence % 2 == 0 {
            &mut edge
        } else {
            &mut other
        })?;
        *outcomes.entry(answer.0).or_insert(0) += 1;
        examples.insert(answer.0, summary(&answer));
    }
    println!("demo_peers: a burst of {BURST_REQUESTS}: {outcomes:?}, for example");
    for example in examples.values() {
        println!("demo_peers:   {example}");
    }
    println!("demo_peers: done; stop tulipgapd with SIGTERM and it exits with 0");
    Ok(())
}

/// Serves each connection in a separate thread.
fn serve_connections(
    listener: &TcpListener,
    serve: impl Fn(TcpStream) -> Result<(), Error> + Copy + Send + 'static,
) {
    for stream in listener.incoming().flatten() {
        std::thread::spawn(move || {
            serve(stream)
                .err()
                .map(|error| println!("demo_peers: a connection failed: {error}"))
        });
    }
}

/// Reads lines and passes their words to `handle`. Some lines are followed by a body, whose length
/// is the last word of the line.
fn read_lines(
    stream: &TcpStream,
    mut handle: impl FnMut(&[&str], Vec<u8>) -> Result<(), Error>,
) -> Result<(), Error> {
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    while input.read_line(&mut line)? > 0 {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let mut body = Vec::new();
        if matches!(words[0], "SCHED" | "IODONE" | "CALL") {
            body.resize(words[words.len() - 1].parse::<usize>()? + 2, 0);
            input.read_exact(&mut body)?;
            body.truncate(body.len() - 2);
        }
        handle(&words, body)?;
        line.clear();
    }
    Ok(())
}

/// Serves as the executor. Runs share the cores; half of the work of a run is done before its call,
/// half after it.
fn serve_executor(stream: &TcpStream) -> Result<(), Error> {
    let running = Arc::new(AtomicU32::new(0));
    let stops: Arc<Mutex<HashMap<String, Arc<AtomicBool>>>> = Arc::default();
    let mut waiting: HashMap<String, Sender<()>> = HashMap::new();
    let notices = Arc::new(Mutex::new(0u32));
    read_lines(stream, |words, body| {
        match words {
            ["OPEN", _] => write!(&mut { stream }, "BOOTED steady 1000.0\r\n")?,
            ["SYSINFO", tag] => {
                let on_cores = running.load(Ordering::Acquire);
                let busy = (f64::from(on_cores) / f64::from(CORES)).min(1.0);
                write!(&mut { stream }, "INFO {tag} {busy:.2} {on_cores} 0.1 2\r\n")?;
            }
            ["POST", tag] => write!(&mut { stream }, "POSTED {tag} success\r\n")?,
            ["SCHED", id, class, _] => {
                let (reply, replied) = channel();
                let stop = Arc::new(AtomicBool::new(false));
                waiting.insert((*id).to_owned(), reply);
                stops
                    .lock()
                    .map_err(|_| "poisoned")?
                    .insert((*id).to_owned(), stop.clone());
                let run = Run {
                    id: (*id).to_owned(),
                    has_call: *class == "page",
                    body,
                    stop,
                    replied,
                    running: running.clone(),
                    notices: notices.clone(),
                    out: stream.try_clone()?,
                };
                std::thread::spawn(move || run.run());
            }
            ["PREEMPT", id] => {
                if let Some(stop) = stops.lock().map_err(|_| "poisoned")?.get(*id) {
                    stop.store(true, Ordering::Release);
                }
            }
            ["IODONE", id, _] | ["NOIO", id, _] => {
                if let Some(reply) = waiting.get(*id) {
                    // A finished run does not wait for a reply.
                    let _ = reply.send(());
                }
            }
            _ => println!("demo_peers: the executor received an unknown command: {words:?}"),
        }
        Ok(())
    })
}

/// One run of a request on the executor.
struct Run {
    id: String,
    /// Whether it makes a call to the store.
    has_call: bool,
    body: Vec<u8>,
    stop: Arc<AtomicBool>,
    replied: Receiver<()>,
    running: Arc<AtomicU32>,
    notices: Arc<Mutex<u32>>,
    out: TcpStream,
}

impl Run {
    fn run(mut self) {
        let start = Instant::now();
        let mut is_running = self.work();
        if is_running && self.has_call {
            self.send_notice(
                "IOREQ",
                &format!("{} ", self.id.clone()),
                &self.body.clone(),
            );
            // A run that is cancelled at its call ends there.
            while self.replied.recv_timeout(Duration::from_millis(5)).is_err() {
                if self.stop.load(Ordering::Acquire) {
                    is_running = false;
                    break;
                }
            }
        }
        let end = if is_running && self.work() {
            "success"
        } else {
            "interrupted"
        };
        let result = if end == "success" {
            format!("a page for {}", self.id)
        } else {
            String::new()
        };
        let head = format!(
            "{} {end} {:.1} ",
            self.id,
            start.elapsed().as_secs_f64() * 1e3
        );
        self.send_notice("REAP", &head, result.as_bytes());
    }

    /// Does half of the work, more slowly while more runs than cores are active. Returns whether
    /// the work was completed; a cancelled run does not complete it.
    fn work(&self) -> bool {
        self.running.fetch_add(1, Ordering::AcqRel);
        let mut remaining_ms = WORK_MS as f64 / 2.0;
        while remaining_ms > 0.0 && !self.stop.load(Ordering::Acquire) {
            std::thread::sleep(Duration::from_millis(2));
            remaining_ms -=
                2.0 / (f64::from(self.running.load(Ordering::Acquire)) / f64::from(CORES)).max(1.0);
        }
        self.running.fetch_sub(1, Ordering::AcqRel);
        remaining_ms <= 0.0
    }

    fn send_notice(&mut self, word: &str, rest: &str, body: &[u8]) {
        let Ok(mut number) = self.notices.lock() else {
            return;
        };
        *number += 1;
        let head = format!("{word} {number} {rest}{}\r\n", body.len());
        // The backend may have closed the link.
        let _ = self
            .out
            .write_all(&[head.as_bytes(), body, b"\r\n"].concat());
    }
}

/// Answers each call with its own body.
fn serve_store(stream: &TcpStream) -> Result<(), Error> {
    read_lines(stream, |words, body| {
        if let ["CALL", id, _, _] = words {
            let head = format!("{id} OK {}\r\n", body.len());
            (&mut { stream }).write_all(&[head.as_bytes(), &body, b"\r\n"].concat())?;
        }
        Ok(())
    })
}

fn field(kind: TType, id: i16) -> TFieldIdentifier {
    TFieldIdentifier::new::<Option<String>, String, i16>(None, kind, id)
}

fn send_request(edge: &mut TcpStream, sequence: i32, class: &str) -> Result<(), Error> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let id = format!("{:08x}{sequence:08x}", now as u32);
    let fields = [
        ("kind", class),
        ("req", &id),
        ("ts", &now.to_string()),
        ("owner", "acme"),
    ];
    let estimated_work = WORK_MS.to_string();
    let fields = [
        &fields[..],
        &[
            ("ms", &estimated_work),
            ("need", "24.5"),
            ("level", "0.5"),
            ("via", "1"),
        ],
    ]
    .concat();
    let mut bytes = vec![0; 4];
    let mut output = TBinaryOutputProtocol::new(&mut bytes, true);
    output.write_message_begin(&TMessageIdentifier::new(
        "process",
        TMessageType::Call,
        sequence,
    ))?;
    output.write_field_begin(&field(TType::Map, 1))?;
    output.write_map_begin(&TMapIdentifier::new(
        TType::String,
        TType::String,
        fields.len() as i32,
    ))?;
    for (name, value) in fields {
        output.write_string(name)?;
        output.write_string(value)?;
    }
    output.write_field_begin(&field(TType::String, 2))?;
    output.write_bytes(b"which page")?;
    output.write_field_stop()?;
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    Ok(edge.write_all(&bytes)?)
}

/// The outcome of a request, the fields of its answer, and the body.
type Answer = (&'static str, Vec<(String, String)>, String);

fn read_answer(edge: &mut TcpStream) -> Result<Answer, Error> {
    let mut head = [0; 4];
    edge.read_exact(&mut head)?;
    let mut bytes = vec![0; u32::from_be_bytes(head) as usize];
    edge.read_exact(&mut bytes)?;
    let mut input = TBinaryInputProtocol::new(&bytes[..], true);
    if input.read_message_begin()?.message_type == TMessageType::Exception {
        return Ok(("exception", Vec::new(), String::new()));
    }
    let kind = match input.read_field_begin()?.id {
        Some(0) => "completed",
        Some(1) => "rejected",
        _ => "failed",
    };
    let (mut fields, mut body) = (Vec::new(), String::new());
    loop {
        match input.read_field_begin()?.field_type {
            TType::Stop => return Ok((kind, fields, body)),
            TType::String => body = String::from_utf8_lossy(&input.read_bytes()?).into_owned(),
            TType::Map => {
                for _ in 0..input.read_map_begin()?.size {
                    fields.push((input.read_string()?, input.read_string()?));
                }
            }
            other => input.skip(other)?,
        }
    }
}

fn summary((kind, fields, body): &Answer) -> String {
    format!("{kind} {fields:?} {body}")
}
