//! The program on loopback, between small stand-ins for kernel and store and hand-made messages of an edge
//! node. Nothing here hangs on how fast the machine is: whatever is awaited has long to come.

use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const LONG: Duration = Duration::from_secs(30);

/// An address of its own for each test, so that none meets another.
fn host() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (id, next) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    format!("127.{}.{}.{}", 64 + next, id >> 8 & 255, 1 + id % 254)
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A kernel that does what a req's body says: "run" ends at once, "hang" when it is told to or stopped, "call"
/// once its call is over.
#[derive(Default)]
struct Kernel {
    /// All notices so far; the first has number 1.
    notices: Vec<Vec<u8>>,
    /// Runs that have not ended, and how often each was started.
    runs: HashMap<String, u32>,
    /// How often each has ended.
    ends: HashMap<String, u32>,
    link: Option<TcpStream>,
    links: u32,
    /// The next reply to a call is lost with the link that it came over.
    losing: bool,
    replies: Vec<Vec<u8>>,
}

type Shared = Arc<Mutex<Kernel>>;

impl Kernel {
    fn notice(&mut self, word: &str, rest: String, body: &[u8]) {
        let head = format!("{word} {} {rest} {}\r\n", self.notices.len() + 1, body.len());
        let bytes = [head.as_bytes(), body, b"\r\n"].concat();
        if let Some(link) = &mut self.link {
            let _ = link.write_all(&bytes);
        }
        self.notices.push(bytes);
    }

    fn end(&mut self, id: &str, end: &str, result: &[u8]) {
        if self.runs.remove(id).is_some() {
            *self.ends.entry(id.to_owned()).or_default() += 1;
            self.notice("REAP", format!("{id} {end} 1.5"), result);
        }
    }

    fn say(&mut self, line: String) {
        if let Some(link) = &mut self.link {
            let _ = link.write_all(line.as_bytes());
        }
    }

    fn hear(&mut self, words: &[&str], body: Vec<u8>) {
        match words {
            ["SCHED", id, "page", _] if body == b"unknown" => self.say(format!("EINVAL SCHED {id}\r\n")),
            ["SCHED", id, "page", _] => {
                let id = id.to_string();
                let starts = self.runs.entry(id.clone()).or_default();
                *starts += 1;
                match &body[..] {
                    b"run" => self.end(&id, "success", format!("page \0 {id}").as_bytes()),
                    b"call" if *starts == 1 => self.notice("IOREQ", id, b"what is called"),
                    _ => {}
                }
            }
            ["PREEMPT", id] => self.end(id, "interrupted", b""),
            ["NOIO", id, _] => self.end(id, "success", b"poorer"),
            ["IODONE", ..] if std::mem::take(&mut self.losing) => {
                let _ = self.link.take().unwrap().shutdown(Shutdown::Both);
            }
            ["IODONE", id, _] => {
                self.replies.push(body);
                self.end(id, "success", b"richer");
            }
            ["SYSINFO", tag] => self.say(format!("INFO {tag} 0.1 0 0 1\r\n")),
            ["POST", tag] => self.say(format!("POSTED {tag} success\r\n")),
            other => panic!("no command: {other:?}"),
        }
    }
}

/// Has the kernel listen there.
fn listen(kernel: Shared, host: &str) -> Shared {
    let (shared, listener) = (kernel.clone(), TcpListener::bind((host, 7300)).unwrap());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let kernel = shared.clone();
            std::thread::spawn(move || serve_link(&kernel, stream));
        }
    });
    kernel
}

fn serve_link(kernel: &Shared, stream: TcpStream) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let mut body = Vec::new();
        if matches!(words[0], "SCHED" | "IODONE") {
            body.resize(words.last().unwrap().parse::<usize>().unwrap() + 2, 0);
            if input.read_exact(&mut body).is_err() {
                return;
            }
            assert!(body.ends_with(b"\r\n"));
            body.truncate(body.len() - 2);
        }
        let mut kernel = kernel.lock().unwrap();
        if let ["OPEN", last] = words[..] {
            kernel.link = Some(stream.try_clone().unwrap());
            kernel.links += 1;
            kernel.say("BOOTED steady 1000.0\r\nDMESG 0 a remark of no meaning\r\n".to_owned());
            // A notice too many: what was read before must not be taken twice.
            let from = last.parse::<usize>().unwrap().saturating_sub(1);
            let missed = kernel.notices[from..].concat();
            let _ = kernel.link.as_ref().unwrap().write_all(&missed);
        } else {
            kernel.hear(&words, body);
        }
    }
}

/// A store that answers every call with its body, unless it is down or something else was planned.
#[derive(Clone, Default)]
struct Store {
    down: Arc<AtomicBool>,
    calls: Arc<AtomicU32>,
    /// What the next calls are answered with, ID standing for theirs; nothing at all where that is empty.
    plan: Arc<Mutex<VecDeque<String>>>,
    /// Calls left without an answer, with their connections.
    open: Arc<Mutex<HashMap<String, TcpStream>>>,
    /// Connections that were left by then.
    left: Arc<AtomicU32>,
}

impl Store {
    fn plan(&self, replies: &[&str]) {
        self.plan.lock().unwrap().extend(replies.iter().map(|reply| reply.to_string()));
    }

    fn serve(&self, stream: TcpStream) {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        while !self.down.load(Ordering::Acquire) && input.read_line(&mut line).unwrap_or(0) > 0 {
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let ["CALL", id, _, length] = words[..] else { panic!("no call: {words:?}") };
            let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
            input.read_exact(&mut body).unwrap();
            self.calls.fetch_add(1, Ordering::AcqRel);
            if self.down.load(Ordering::Acquire) {
                break;
            }
            match self.plan.lock().unwrap().pop_front() {
                None => {
                    let head = format!("{id} OK {length}\r\n");
                    (&stream).write_all(&[head.as_bytes(), &body].concat()).unwrap();
                }
                Some(reply) if reply.is_empty() => {
                    self.open.lock().unwrap().insert(id.to_owned(), stream.try_clone().unwrap());
                }
                Some(reply) => (&stream).write_all(reply.replace("ID", id).as_bytes()).unwrap(),
            }
            line.clear();
        }
        self.left.fetch_add(1, Ordering::AcqRel);
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn store(host: &str) -> Store {
    let store = Store::default();
    let (shared, listener) = (store.clone(), TcpListener::bind((host, 7700)).unwrap());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let store = shared.clone();
            std::thread::spawn(move || store.serve(stream));
        }
    });
    store
}

/// A backend, its stand-ins, and the file that it is told by.
struct Stand {
    host: String,
    kernel: Shared,
    store: Store,
    child: Child,
    file: std::path::PathBuf,
}

fn file(host: &str, text: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("tulipgapd-{host}.json"));
    std::fs::write(&path, text).unwrap();
    path
}

fn start(file: &std::path::Path) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tulipgapd"));
    command.env("LB_CONFIG", file).stdin(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap()
}

fn told(host: &str) -> String {
    let settings = r#"{"classes":[{"name":"page","objective":10000.0,"deadline":20000.0,"worth":1.0,"effect":"pure"}],
        "family_info":{"below":"shared","calls_out":20.0,"share_span":5000.0,"stays_for":100.0,"blowup":4.0,"cores":4,
        "class_calls":[true],"class_skip_worth":[0.5],"halt":"drop","idle":9000.0,"mem_limit_kb":9000.0,"say":"weight",
        "own_stats":["core_use","on_cores","heap_share","links"]},
        "limits":{"max_retry_after":1000.0,"retry_after":true},"tenants":[{"name":"acme","allowance_per_s":40.0}],
        "rules":{"cold_from":0.3,"drain_grace":1000.0,"fall":2000.0,"fall_multiple":4.0,"grace_to_answer":60.0,"warm_up":9000.0}}"#;
    format!(
        r#"{{"name":"n3","listen":"{host}:6565","kernel":"{host}:7300","announce":"{host}:7946","store":"{host}:7700",
        "seed":"8c1f30d27a5be964","stop_ms":4000,"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{settings}}}"#
    )
}

fn stand() -> Stand {
    stand_with(1024)
}

fn stand_with(sockets: usize) -> Stand {
    let host = host();
    let (kernel, store) = (listen(Shared::default(), &host), store(&host));
    let file = file(&host, &told(&host).replace("1024", &sockets.to_string()));
    let child = start(&file);
    let stand = Stand { host, kernel, store, child, file };
    until("it serves", || {
        let Ok(stream) = TcpStream::connect((&stand.host[..], 6565)) else { return false };
        let mut edge = Edge { stream };
        edge.call(1, "probe", b"\x02\0\x01\x01\0");
        edge.answer().is_some_and(|answer| {
            answer.kind == Kind::Answer
                && answer.holds(b"signal")
                && answer.bytes.ends_with(b"\x02\0\x03\x01\0\0")
        })
    });
    stand
}

impl Stand {
    fn edge(&self) -> Edge {
        let stream = TcpStream::connect((&self.host[..], 6565)).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Edge { stream }
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let kill = Command::new("sh").args(["-c", "kill -$1 \"$0\"", &pid, signal]).status();
        assert!(kill.unwrap().success());
    }

    fn ended(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(start.elapsed() < LONG, "it ends");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Stand {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

#[derive(Debug, PartialEq)]
enum Kind {
    Answer,
    Rejected,
    Crashed,
    Exception,
    NoMore,
}

struct Answer {
    kind: Kind,
    sequence: u32,
    bytes: Vec<u8>,
}

impl Answer {
    fn holds(&self, text: &[u8]) -> bool {
        self.bytes.windows(text.len()).any(|window| window == text)
    }
}

/// An edge node's connection.
struct Edge {
    stream: TcpStream,
}

fn string(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_be_bytes(), bytes].concat()
}

fn fields(id: &str, need: &str) -> Vec<(&'static str, String)> {
    let ts = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let mut fields = vec![("kind", "page".to_owned()), ("req", id.to_owned()), ("ts", ts.to_string())];
    fields.extend([("owner", "acme".to_owned()), ("ms", "5.00".to_owned()), ("need", need.to_owned())]);
    fields.extend([("via", "4".to_owned()), ("level", "0.5".to_owned()), ("unheard", "of".to_owned())]);
    fields
}

/// The fields of a req, one of them changed.
fn with(id: &str, name: &str, value: &str) -> Vec<(&'static str, String)> {
    let mut fields = fields(id, "20.0");
    fields.iter_mut().find(|(key, _)| *key == name).unwrap().1 = value.to_owned();
    fields
}

impl Edge {
    fn call(&mut self, sequence: u32, method: &str, arguments: &[u8]) {
        let head = [&b"\x80\x01\0\x01"[..], &string(method.as_bytes()), &sequence.to_be_bytes()].concat();
        self.stream.write_all(&string(&[&head, arguments].concat())).unwrap();
    }

    fn oneway(&mut self, sequence: u32, method: &str) {
        let head = [&b"\x80\x01\0\x04"[..], &string(method.as_bytes()), &sequence.to_be_bytes()].concat();
        self.stream.write_all(&string(&[&head[..], b"\0"].concat())).unwrap();
    }

    fn process(&mut self, sequence: u32, fields: &[(&str, String)], body: &[u8]) {
        let mut map = [&b"\x0d\0\x01\x0b\x0b"[..], &(fields.len() as u32).to_be_bytes()].concat();
        for (name, value) in fields {
            map.extend([string(name.as_bytes()), string(value.as_bytes())].concat());
        }
        let arguments = [&map[..], b"\x0b\0\x02", &string(body), b"\0"].concat();
        self.call(sequence, "process", &arguments);
    }

    fn req(&mut self, sequence: u32, id: &str, body: &[u8]) {
        self.process(sequence, &fields(id, "20.0"), body);
    }

    /// The next answer, or none once the connection is closed.
    fn answer(&mut self) -> Option<Answer> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head).ok()?;
        let mut bytes = vec![0; u32::from_be_bytes(head) as usize];
        self.stream.read_exact(&mut bytes).ok()?;
        let named = 8 + u32::from_be_bytes(bytes[4..8].try_into().unwrap()) as usize;
        let sequence = u32::from_be_bytes(bytes[named..named + 4].try_into().unwrap());
        let kind = match (bytes[3], bytes.get(named + 4..named + 7)) {
            (4, _) => Kind::NoMore,
            (3, _) => Kind::Exception,
            (2, Some([12, 0, 0])) => Kind::Answer,
            (2, Some([12, 0, 1])) => Kind::Rejected,
            (2, Some([12, 0, 2])) => Kind::Crashed,
            other => panic!("no answer: {other:?}"),
        };
        Some(Answer { kind, sequence, bytes })
    }

    /// Waits until it is closed, whatever comes before.
    fn is_closed(&mut self) -> bool {
        match self.stream.read_to_end(&mut Vec::new()) {
            Ok(_) => true,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    fn expect(&mut self, sequence: u32, kind: Kind) -> Answer {
        let answer = self.answer().expect("an answer");
        assert_eq!((answer.sequence, &answer.kind), (sequence, &kind));
        answer
    }
}

#[test]
fn it_serves_calls_sheds_and_drains() {
    let mut stand = stand();
    let mut edge = stand.edge();
    edge.req(1, "00000000000000a1", b"hang");
    edge.req(2, "00000000000000a2", b"run");
    // Answers come in any order, the result byte for byte, the free value with it.
    let done = edge.expect(2, Kind::Answer);
    assert!(done.holds(b"page \0 00000000000000a2") && done.holds(b"signal"));
    edge.req(3, "00000000000000a3", b"call");
    assert!(edge.expect(3, Kind::Answer).holds(b"richer"));
    assert_eq!(stand.kernel.lock().unwrap().replies, [b"what is called"]);
    // More work than can be in time.
    edge.process(4, &with("00000000000000a4", "ms", "60000.00"), b"run");
    edge.expect(4, Kind::Rejected);
    // A hint beyond all reason may be an honest one: such reqs are turned away, and the connection goes on.
    for sequence in 5..20 {
        edge.process(sequence, &with(&format!("000000000000a5{sequence:02}"), "ms", "900000.00"), b"run");
        edge.expect(sequence, Kind::Rejected);
    }
    edge.call(20, "probe", b"\0");
    edge.expect(20, Kind::Answer);

    stand.signal("TERM");
    // What was read is answered, and the connection is wished closed.
    let (mut answered, mut no_more) = (false, false);
    while !(answered && no_more) {
        let answer = edge.answer().expect("an answer before the end");
        match answer.kind {
            Kind::NoMore => no_more = true,
            _ => answered |= answer.sequence == 1,
        }
    }
    drop(edge);
    assert_eq!(stand.ended().code(), Some(0));
}

#[test]
fn a_link_that_is_cut_is_taken_up_where_it_was() {
    let stand = stand();
    let mut edge = stand.edge();
    edge.req(1, "00000000000000b1", b"run");
    edge.expect(1, Kind::Answer);
    edge.req(2, "00000000000000b2", b"hang");
    until("it runs", || stand.kernel.lock().unwrap().runs.contains_key("00000000000000b2"));
    {
        let mut kernel = stand.kernel.lock().unwrap();
        let link = kernel.link.take().unwrap();
        // It ends while nobody hears of it.
        kernel.end("00000000000000b2", "success", b"ended unheard");
        link.shutdown(Shutdown::Both).unwrap();
    }
    edge.req(3, "00000000000000b3", b"hang");
    assert!(edge.expect(2, Kind::Answer).holds(b"ended unheard"));
    // What came in between runs, and once.
    until("it runs", || stand.kernel.lock().unwrap().runs.contains_key("00000000000000b3"));
    let mut kernel = stand.kernel.lock().unwrap();
    assert_eq!(kernel.links, 2);
    assert!(!kernel.runs.contains_key("00000000000000b2"), "run again");
    kernel.end("00000000000000b3", "failure", b"");
    drop(kernel);
    edge.expect(3, Kind::Crashed);
}

#[test]
fn peers_move_when_it_is_told() {
    let stand = stand();
    let mut edge = stand.edge();
    edge.req(1, "0000000000000aa1", b"hang");
    edge.req(2, "0000000000000aa2", b"hang");
    until("both run", || stand.kernel.lock().unwrap().runs.len() == 2);
    // A file half written changes nothing.
    std::fs::write(&stand.file, "{\"name\":").unwrap();
    stand.signal("HUP");
    edge.req(3, "0000000000000aa3", b"run");
    edge.expect(3, Kind::Answer);
    let there = host();
    listen(stand.kernel.clone(), &there);
    let store = store(&there);
    let announce = std::net::UdpSocket::bind((&there[..], 7946)).unwrap();
    announce.set_read_timeout(Some(LONG)).unwrap();
    let mut text = told(&stand.host);
    for port in [7300, 7700, 7946] {
        text = text.replace(&format!("{}:{port}", stand.host), &format!("{there}:{port}"));
    }
    std::fs::write(&stand.file, text).unwrap();
    for _ in 0..3 {
        stand.signal("HUP");
    }
    // Runs continue, calls are made there, and there it is reported.
    until("the link moves", || stand.kernel.lock().unwrap().links == 2);
    stand.kernel.lock().unwrap().end("0000000000000aa1", "success", b"all the same");
    assert!(edge.expect(1, Kind::Answer).holds(b"all the same"));
    edge.req(4, "0000000000000aa4", b"call");
    assert!(edge.expect(4, Kind::Answer).holds(b"richer"));
    assert_eq!((stand.store.calls.load(Ordering::Acquire), store.calls.load(Ordering::Acquire)), (0, 1));
    let mut report = [0; 64];
    let length = announce.recv(&mut report).unwrap();
    assert_eq!(&report[..length], b"announce n3 true");
    // While it leaves, too.
    stand.signal("TERM");
    stand.signal("HUP");
    stand.kernel.lock().unwrap().end("0000000000000aa2", "success", b"in the end");
    while !edge.answer().expect("an answer").holds(b"in the end") {}
    assert!(stand.kernel.lock().unwrap().ends.values().all(|&ends| ends == 1), "run again");
}

#[test]
fn what_was_not_heard_of_behind_missing_notices_is_not_run_again() {
    let stand = stand();
    let mut edge = stand.edge();
    edge.req(1, "00000000000000e1", b"hang");
    edge.req(2, "00000000000000e2", b"hang");
    until("both run", || stand.kernel.lock().unwrap().runs.len() == 2);
    {
        let mut kernel = stand.kernel.lock().unwrap();
        kernel.link.take().unwrap().shutdown(Shutdown::Both).unwrap();
        // The end of the first is forgotten before anybody hears of it.
        kernel.end("00000000000000e1", "success", b"forgotten");
        kernel.notices.last_mut().unwrap().clear();
        kernel.end("00000000000000e2", "success", b"kept");
    }
    let (one, other) = (edge.answer().unwrap(), edge.answer().unwrap());
    for answer in [one, other] {
        let kind = if answer.sequence == 1 { Kind::Crashed } else { Kind::Answer };
        assert_eq!(answer.kind, kind);
    }
    assert!(stand.kernel.lock().unwrap().runs.is_empty(), "run again");
}

#[test]
fn calls_are_left_out_while_the_store_is_down() {
    let stand = stand();
    stand.store.down.store(true, Ordering::Release);
    let mut edge = stand.edge();
    for sequence in 1..4 {
        edge.req(sequence, &format!("00000000000000c{sequence}"), b"call");
        assert!(edge.expect(sequence, Kind::Answer).holds(b"poorer"));
    }
    stand.store.down.store(false, Ordering::Release);
    until("calls are made again", || {
        let mut edge = stand.edge();
        edge.req(1, &format!("{:016x}", stand.store.calls.load(Ordering::Acquire) + 0xc000), b"call");
        let answer = edge.expect(1, Kind::Answer);
        answer.holds(b"richer")
    });
}

#[test]
fn a_call_that_is_not_answered_is_given_up() {
    let stand = stand();
    stand.store.plan(&[""; 9]);
    let mut edge = stand.edge();
    edge.req(1, "00000000000000c9", b"call");
    assert!(edge.expect(1, Kind::Answer).holds(b"poorer"));
    until("its connection is left", || stand.store.left.load(Ordering::Acquire) > 0);
}

#[test]
fn a_reply_that_is_spoilt_costs_its_own_call_only() {
    let stand = stand();
    let mut edge = stand.edge();
    for (at, spoilt) in ["\u{1}noise\r\n", "ID OK 3000000000\r\nx", "ID OK 2\r\nfour\r\n", &"x".repeat(9000)]
        .iter()
        .enumerate()
    {
        let other = format!("00000000000cc{at:02}0");
        stand.store.plan(&["", spoilt, spoilt, spoilt]);
        edge.req(1, &other, b"call");
        until("it is open", || stand.store.open.lock().unwrap().contains_key(&other));
        edge.req(2, &format!("00000000000cc{at:02}1"), b"call");
        edge.expect(2, Kind::Answer);
        stand.store.plan.lock().unwrap().clear();
        let mut open = stand.store.open.lock().unwrap().remove(&other).unwrap();
        open.write_all(format!("{other} OK 4\r\ngood\r\n").as_bytes()).unwrap();
        assert!(edge.expect(1, Kind::Answer).holds(b"richer"));
    }
    // More than belongs to it: a reply to nobody ahead, a second copy behind.
    stand.store.plan(&["f OK 1\r\nx\r\nID OK 3\r\nown\r\nID OK 3\r\nown\r\n", "ID BUSY\r\n"]);
    edge.req(3, "00000000000ccaa0", b"call");
    assert!(edge.expect(3, Kind::Answer).holds(b"richer"));
    edge.req(4, "00000000000ccaa1", b"call");
    assert!(edge.expect(4, Kind::Answer).holds(b"poorer"));
    assert_eq!(stand.kernel.lock().unwrap().replies.last().unwrap(), b"own");
}

#[test]
fn a_reply_lost_with_the_link_is_made_up_for() {
    let stand = stand();
    let mut edge = stand.edge();
    stand.kernel.lock().unwrap().losing = true;
    edge.req(1, "0000000000000ac1", b"call");
    // It may have arrived, so it is not said again; a skip names its call.
    assert!(edge.expect(1, Kind::Answer).holds(b"poorer"));
}

#[test]
fn ids_that_the_kernel_does_not_know_turn_nobody_away() {
    let stand = stand();
    let mut edge = stand.edge();
    for sequence in 1..20 {
        edge.req(sequence, &format!("0000000000adb{sequence:03x}"), b"unknown");
        edge.expect(sequence, Kind::Crashed);
    }
    for sequence in 20..30 {
        edge.req(sequence, &format!("0000000000adb{sequence:03x}"), b"run");
        assert!(edge.expect(sequence, Kind::Answer).holds(b"1.0000"), "all traffic is wanted");
    }
}

#[test]
fn who_says_nothing_keeps_nobody_out() {
    let stand = stand_with(48);
    // Those that asked once and stay go too, the oldest first.
    let asked = |at: u32| {
        let mut edge = stand.edge();
        edge.req(1, &format!("0000000000ea{at:04x}"), b"run");
        edge.expect(1, Kind::Answer);
        edge
    };
    let _asked: Vec<Edge> = (0..60).map(asked).collect();
    let mut silent: Vec<Edge> = (0..80).map(|_| stand.edge()).collect();
    let mut edge = stand.edge();
    edge.req(1, "0000000000eb0001", b"run");
    edge.expect(1, Kind::Answer);
    let files = std::fs::read_dir(format!("/proc/{}/fd", stand.child.id())).unwrap().count();
    assert!(files <= 48, "{files} descriptors");
    // One that never says a word, and one that stops in the middle of it, are closed.
    let mut half = stand.edge();
    half.stream.write_all(b"\0\0\0\x30\x80\x01").unwrap();
    silent.push(half);
    for mut edge in silent {
        assert!(edge.is_closed());
    }
}

#[test]
fn a_peer_that_talks_nonsense_is_spoken_to_anew() {
    let stand = stand();
    let mut edge = stand.edge();
    let long = "x".repeat(5000);
    for (sequence, nonsense) in
        (1..).zip(["HELLO 1\r\n", "REAP 1 2\r\n", "IOREQ 5 x -1\r\n", "\u{1}\r\n", &long])
    {
        let links = stand.kernel.lock().unwrap().links;
        stand.kernel.lock().unwrap().say(nonsense.to_owned());
        until(nonsense, || stand.kernel.lock().unwrap().links > links);
        edge.req(sequence, &format!("{sequence:016x}"), b"run");
        edge.expect(sequence, Kind::Answer);
    }
    // What has no meaning, and what was refused, breaks nothing.
    edge.req(9, "00000000000000f9", b"hang");
    until("it runs", || !stand.kernel.lock().unwrap().runs.is_empty());
    let links = stand.kernel.lock().unwrap().links;
    stand
        .kernel
        .lock()
        .unwrap()
        .say("EINVAL NOIO x\r\nINFO 999999 x\r\nEINVAL SCHED 00000000000000f9\r\n".to_owned());
    edge.expect(9, Kind::Crashed);
    assert_eq!(stand.kernel.lock().unwrap().links, links);
}

#[test]
fn each_req_is_answered_once_while_links_are_cut() {
    const EACH: u32 = 150;
    let stand = stand();
    let mut edges: Vec<Edge> = (0..4).map(|_| stand.edge()).collect();
    let mut left: Vec<Vec<u32>> = vec![(1..=EACH).collect(); edges.len()];
    let mut sent = 0;
    while left.iter().any(|left| !left.is_empty()) {
        // A few more on each connection; their answers come in any order while everything breaks.
        let few = sent..EACH.min(sent + 10);
        for (at, edge) in edges.iter_mut().enumerate() {
            for sequence in few.clone() {
                let body = if (sequence + at as u32).is_multiple_of(3) { &b"call"[..] } else { b"run" };
                edge.req(sequence + 1, &format!("{at:08x}{:08x}", sequence + 1), body);
            }
        }
        sent = few.end;
        if let Some(link) = stand.kernel.lock().unwrap().link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
        stand.store.down.store(sent % 40 == 0, Ordering::Release);
        for (at, edge) in edges.iter_mut().enumerate() {
            while left[at].iter().any(|&sequence| sequence <= sent) {
                let answer = edge.answer().expect("an answer for each");
                let place = left[at].iter().position(|&sequence| sequence == answer.sequence);
                left[at].swap_remove(place.expect("once each"));
                let own = format!("page \0 {at:08x}{:08x}", answer.sequence);
                let whole = [own.as_bytes(), b"richer", b"poorer"].iter().any(|result| answer.holds(result));
                assert!(answer.kind != Kind::Answer || whole, "a result of its own");
            }
        }
    }
    let kernel = stand.kernel.lock().unwrap();
    assert!(kernel.links > 10, "{} links", kernel.links);
    assert!(kernel.ends.values().all(|&ends| ends == 1), "run again");
}

#[test]
fn a_hostile_peer_harms_only_itself() {
    let stand = stand();
    let mut edge = stand.edge();
    edge.req(1, "00000000000000d1", b"hang");
    // Each of these gets its exception, and the connection goes on.
    edge.call(2, "drop_tables", b"\0");
    edge.expect(2, Kind::Exception);
    edge.call(3, "process", b"\x0d\0\x01\x0b\x0b\x7f\xff\xff\xff");
    edge.expect(3, Kind::Exception);
    for (sequence, name, value) in [
        (4, "kind", "pag"),
        (5, "owner", "nobody"),
        (6, "ts", "soon"),
        (7, "need", "-1"),
        (8, "req", "short"),
    ] {
        edge.process(sequence, &with("00000000000000d2", name, value), b"run");
        edge.expect(sequence, Kind::Exception);
    }
    edge.req(10, "00000000000000d4", b"run");
    edge.expect(10, Kind::Answer);
    // The id of a req that is open, and of one that is over; then the sequence of one that is open. With too
    // much of that it is cut short.
    let mut other = stand.edge();
    for (sequence, id) in [(1, "00000000000000d1"), (2, "00000000000000d4")] {
        other.req(sequence, id, b"run");
        other.expect(sequence, Kind::Exception);
    }
    other.req(3, "00000000000000d7", b"hang");
    for id in 0..7 {
        other.req(3, &format!("00000000000001d{id}"), b"run");
        other.expect(3, Kind::Exception);
    }
    other.req(4, "00000000000000d8", b"run");
    until("it runs", || stand.kernel.lock().unwrap().runs.contains_key("00000000000000d7"));
    stand.kernel.lock().unwrap().end("00000000000000d7", "success", b"the last");
    assert!(other.expect(3, Kind::Answer).holds(b"the last"));
    assert!(other.answer().is_none(), "closed");
    // A withdrawal is not known here, and can't be answered.
    let mut other = stand.edge();
    for (name, value) in
        [("need", "2000"), ("ms", "NaN"), ("ts", "1"), ("ts", "99999999999999"), ("level", "1")]
    {
        other.process(1, &with("00000000000000d9", name, value), b"run");
        other.expect(1, Kind::Exception);
    }
    let mut other = stand.edge();
    other.oneway(1, "giveUp");
    assert!(other.answer().is_none(), "closed");
    // After what is no frame nothing is read there any more, but what is open is answered.
    edge.stream.write_all(&[0xff; 64]).unwrap();
    for garbage in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0, 0, 0, 5, 1, 2, 3, 4, 5], &[0x7f, 0xff, 0xff, 0xff]] {
        let mut other = stand.edge();
        other.stream.write_all(garbage).unwrap();
        assert!(other.answer().is_none(), "closed");
    }
    stand.kernel.lock().unwrap().end("00000000000000d1", "success", b"all the same");
    assert!(edge.expect(1, Kind::Answer).holds(b"all the same"));
    assert!(edge.answer().is_none(), "closed");
    // A message cut short by its end.
    let mut other = stand.edge();
    other.stream.write_all(b"\0\0\0\x30\x80\x01\0\x01").unwrap();
    other.stream.shutdown(Shutdown::Write).unwrap();
    assert!(other.answer().is_none(), "closed");
    // A connection cut off takes its req along, and others are served.
    let mut cut = stand.edge();
    cut.req(1, "00000000000000d5", b"hang");
    until("it runs", || stand.kernel.lock().unwrap().runs.contains_key("00000000000000d5"));
    let mut edge = stand.edge();
    edge.req(1, "00000000000000d6", b"run");
    edge.expect(1, Kind::Answer);
}

#[test]
fn a_reader_that_is_slow_holds_up_nobody_else() {
    let stand = stand();
    let mut slow = stand.edge();
    let mut edge = stand.edge();
    for sequence in 1..400 {
        slow.req(sequence, &format!("{sequence:016x}"), b"run");
        if sequence % 40 == 0 {
            edge.req(sequence, &format!("{sequence:015x}e"), b"run");
            edge.expect(sequence, Kind::Answer);
        }
    }
    let mut left: Vec<u32> = (1..400).collect();
    while !left.is_empty() {
        let answer = slow.answer().expect("an answer for each");
        assert!(left.contains(&answer.sequence), "once each");
        left.retain(|&sequence| sequence != answer.sequence);
    }
}

#[test]
fn what_makes_no_sense_is_told_in_one_line() {
    let host = host();
    let told = told(&host);
    for (from, to, problem) in [
        ("{\"name\":\"n3\"", "{\"name\"", "expected `:`"),
        ("\"cores\":4", "\"cores\":0", "no cores are given"),
        ("\"8c1f30d27a5be964\"", "\"seed\"", "seed: 'seed' is no hex number"),
        ("\"sockets\":1024", "\"sockets\":3", "limits.sockets: 3 are too few to serve"),
        (&format!("{host}:6565"), "nowhere", "invalid socket address"),
        ("\"stop_ms\":4000", "\"stop_ms\":-4", "stop_ms: -4 is no time"),
    ] {
        assert!(told.contains(from), "{from}");
        let file = file(&format!("{host}-wrong"), &told.replace(from, to));
        let output = start(&file).wait_with_output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(said.lines().count() == 1 && said.contains(problem), "{said}");
        std::fs::remove_file(file).unwrap();
    }
}

#[test]
fn connections_beyond_the_limit_wait_for_a_place() {
    let stand = stand_with(32);
    let hang = |at: u32| {
        let mut edge = stand.edge();
        edge.req(1, &format!("0000000000fa{at:04x}"), b"hang");
        edge
    };
    let mut edges: Vec<Edge> = (0..12).map(hang).collect();
    until("it runs", || stand.kernel.lock().unwrap().runs.contains_key("0000000000fa0000"));
    let mut last = stand.edge();
    last.call(1, "probe", b"\0");
    let files = std::fs::read_dir(format!("/proc/{}/fd", stand.child.id())).unwrap().count();
    assert!(files <= 32, "{files} descriptors");
    // It is served once nothing is open on another.
    stand.kernel.lock().unwrap().end("0000000000fa0000", "success", b"its place is free");
    edges[0].expect(1, Kind::Answer);
    last.expect(1, Kind::Answer);
    assert!(edges[0].is_closed());
}

#[test]
fn thousands_of_held_reqs_fit_its_memory() {
    let stand = stand();
    let mut edges: Vec<Edge> = (0..64).map(|_| stand.edge()).collect();
    for (at, edge) in edges.iter_mut().enumerate() {
        for sequence in 0..31 {
            let id = format!("{at:08x}{sequence:08x}");
            edge.process(sequence, &fields(&id, "0.5"), &[7; 2048]);
        }
        edge.call(31, "probe", b"\0");
    }
    // A check is read behind the reqs before it.
    for edge in &mut edges {
        while edge.answer().expect("the check is answered").sequence != 31 {}
    }
    let resident = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", stand.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap()
    };
    println!("{} kB at the most for {} reqs", resident(), 64 * 31);
    assert!(resident() < 96 * 1024, "{} kB", resident());
}
