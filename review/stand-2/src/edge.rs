//! An edge node: connections over framed Thrift, as PROTOCOL.md says under 'Edge nodes to
//! backends'.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::world::{Answer, Shared, Try, ms, unix_ms};

static IDS: AtomicU64 = AtomicU64::new(0);

/// The number of a new try, which no other edge node uses.
pub fn new_id() -> u64 {
    let count = IDS.fetch_add(1, Ordering::Relaxed);
    (0x5a00_0000_0000_0000 + count).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// A request to send.
#[derive(Clone)]
pub struct Send {
    pub class: String,
    pub key: String,
    pub body: Vec<u8>,
    /// How long the caller waits.
    pub deadline_ms: u64,
    /// The request says how long the caller waits.
    pub says_wait: bool,
    pub slack_ms: u64,
    pub work_ms: f64,
    pub need_kb: f64,
    pub is_retry: bool,
}

pub struct Connection {
    stream: TcpStream,
    open: Mutex<HashMap<i32, String>>,
    sequence: AtomicI32,
    pub no_more: AtomicBool,
    pub is_closed: AtomicBool,
    open_count: AtomicUsize,
}

pub struct Edge {
    world: Shared,
    address: Mutex<SocketAddr>,
    connections: Mutex<Vec<Arc<Connection>>>,
    pub refused: AtomicU64,
    /// Connections that the machine accepted.
    pub opened: AtomicU64,
}

fn string(bytes: &[u8]) -> Vec<u8> {
    [&(bytes.len() as u32).to_be_bytes()[..], bytes].concat()
}

fn message(kind: u8, name: &str, sequence: i32, body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x80, 1, 0, kind];
    out.extend(string(name.as_bytes()));
    out.extend(sequence.to_be_bytes());
    out.extend_from_slice(body);
    [&(out.len() as u32).to_be_bytes()[..], &out[..]].concat()
}

/// The message of a request with these fields.
pub fn process(sequence: i32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![13, 0, 1, 11, 11];
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        out.extend(string(name.as_bytes()));
        out.extend(string(value.as_bytes()));
    }
    out.extend([11, 0, 2]);
    out.extend(string(body));
    out.push(0);
    message(1, "process", sequence, &out)
}

/// A cursor over a message.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, length: usize) -> Option<&'a [u8]> {
        if self.0.len() < length {
            return None;
        }
        let (head, rest) = self.0.split_at(length);
        self.0 = rest;
        Some(head)
    }
    fn i32(&mut self) -> Option<i32> {
        Some(i32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }
    fn string(&mut self) -> Option<&'a [u8]> {
        let length = usize::try_from(self.i32()?).ok()?;
        self.take(length)
    }
    fn field(&mut self) -> Option<(u8, i16)> {
        let kind = self.take(1)?[0];
        if kind == 0 {
            return Some((0, 0));
        }
        Some((kind, i16::from_be_bytes(self.take(2)?.try_into().ok()?)))
    }
    fn map(&mut self) -> Option<Vec<(String, String)>> {
        self.take(2)?;
        let size = self.i32()?;
        (0..size)
            .map(|_| {
                let key = String::from_utf8_lossy(self.string()?).into_owned();
                Some((key, String::from_utf8_lossy(self.string()?).into_owned()))
            })
            .collect()
    }
}

/// What the backend sent.
struct Received {
    name: String,
    sequence: i32,
    answer: Answer,
    result: Vec<u8>,
    fields: Vec<(String, String)>,
    good: bool,
}

fn decode(frame: &[u8]) -> Option<Received> {
    let mut reader = Reader(frame);
    let kind = reader.take(4)?[3];
    let name = String::from_utf8_lossy(reader.string()?).into_owned();
    let sequence = reader.i32()?;
    let mut received = Received {
        name,
        sequence,
        answer: Answer::Exception,
        result: Vec::new(),
        fields: Vec::new(),
        good: false,
    };
    if kind != 2 {
        return Some(received);
    }
    let (_, id) = reader.field()?;
    received.answer = match id {
        0 => Answer::Served,
        1 => Answer::Rejected,
        _ => Answer::Crashed,
    };
    loop {
        match reader.field()? {
            (0, _) => return Some(received),
            (11, _) => received.result = reader.string()?.to_owned(),
            (13, _) => received.fields = reader.map()?,
            (2, _) => received.good = reader.take(1)?[0] != 0,
            _ => return None,
        }
    }
}

impl Edge {
    pub fn new(world: &Shared, address: SocketAddr) -> Arc<Edge> {
        Arc::new(Edge {
            world: world.clone(),
            address: Mutex::new(address),
            connections: Mutex::default(),
            refused: AtomicU64::new(0),
            opened: AtomicU64::new(0),
        })
    }

    pub fn connect(self: &Arc<Self>) -> Option<Arc<Connection>> {
        let address = *self.address.lock().unwrap();
        let stream = TcpStream::connect_timeout(&address, ms(1000)).ok()?;
        stream.set_nodelay(true).ok()?;
        self.opened.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection {
            stream,
            open: Mutex::default(),
            sequence: AtomicI32::new(0),
            no_more: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            open_count: AtomicUsize::new(0),
        });
        let (edge, reading) = (self.clone(), connection.clone());
        std::thread::spawn(move || edge.read(&reading));
        Some(connection)
    }

    /// Asks for the health of the backend; `None` if there was no answer.
    pub fn probe(&self, within: Duration) -> Option<bool> {
        let address = *self.address.lock().unwrap();
        let mut stream = TcpStream::connect_timeout(&address, within).ok()?;
        stream.set_read_timeout(Some(within)).ok()?;
        stream
            .write_all(&message(1, "probe", 1, &[2, 0, 1, 1, 0]))
            .ok()?;
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut frame).ok()?;
        decode(&frame).map(|received| received.good)
    }

    /// Waits until the backend is healthy.
    pub fn wait_until_healthy(&self, within: Duration) -> bool {
        let end = Instant::now() + within;
        while Instant::now() < end {
            if self.probe(ms(1000)) == Some(true) {
                return true;
            }
            std::thread::sleep(ms(20));
        }
        false
    }

    fn pooled(self: &Arc<Self>, max_open: usize) -> Option<Arc<Connection>> {
        let mut connections = self.connections.lock().unwrap();
        connections.retain(|connection| {
            !connection.is_closed.load(Ordering::Acquire)
                && !connection.no_more.load(Ordering::Acquire)
        });
        let free = connections
            .iter()
            .find(|connection| connection.open_count.load(Ordering::Acquire) < max_open)
            .cloned();
        if free.is_some() {
            return free;
        }
        let new = self.connect()?;
        connections.push(new.clone());
        Some(new)
    }

    /// Sends a request on a pooled connection that has fewer than `max_open` open requests. Returns
    /// its id; `None` if the connection was refused, in which case nothing was sent.
    pub fn send(self: &Arc<Self>, send: &Send, max_open: usize) -> Option<String> {
        let Some(connection) = self.pooled(max_open) else {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return None;
        };
        self.send_on(&connection, send)
    }

    pub fn send_on(&self, connection: &Arc<Connection>, send: &Send) -> Option<String> {
        let id = format!("{:016x}", new_id());
        let mut fields = vec![
            ("kind", send.class.clone()),
            ("req", id.clone()),
            ("ts", unix_ms().to_string()),
            ("via", "4".to_owned()),
            ("owner", "acme".to_owned()),
            ("ms", format!("{:.2}", send.work_ms)),
            ("need", format!("{:.1}", send.need_kb)),
            ("level", "0.5000".to_owned()),
        ];
        if !send.key.is_empty() {
            fields.push(("opkey", send.key.clone()));
        }
        if send.is_retry {
            fields.push(("resent", "1".to_owned()));
        }
        if send.says_wait {
            fields.push(("timeout", format!("{}.0", send.deadline_ms)));
        }
        let mut open = connection.open.lock().unwrap();
        if connection.is_closed.load(Ordering::Acquire) {
            return None;
        }
        let sequence = connection.sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let entry = Try {
            class: send.class.clone(),
            key: send.key.clone(),
            body: send.body.clone(),
            sent_at: Some(Instant::now()),
            due_at: Some(Instant::now() + ms(send.deadline_ms + send.slack_ms)),
            ..Try::default()
        };
        self.world.tries.lock().unwrap().insert(id.clone(), entry);
        open.insert(sequence, id.clone());
        connection.open_count.store(open.len(), Ordering::Release);
        drop(open);
        self.world
            .note(format!("sent {id} class={} key={}", send.class, send.key));
        let frame = process(sequence, &fields, &send.body);
        let mut stream: &TcpStream = &connection.stream;
        if stream.write_all(&frame).is_err() {
            self.world.note(format!("sending {id} failed"));
            self.world.with(&id, |entry| {
                entry.cut = true;
                entry.failed_to_send = true;
            });
        }
        Some(id)
    }

    fn read(&self, connection: &Arc<Connection>) {
        let mut stream = connection.stream.try_clone().unwrap();
        loop {
            let mut length = [0; 4];
            if stream.read_exact(&mut length).is_err() {
                break;
            }
            let mut frame = vec![0; u32::from_be_bytes(length) as usize];
            if stream.read_exact(&mut frame).is_err() {
                break;
            }
            let at = Instant::now();
            let Some(received) = decode(&frame) else {
                self.world.note("UNREADABLE answer");
                continue;
            };
            if received.name == "noMore" {
                connection.no_more.store(true, Ordering::Release);
                self.world.note("noMore");
                let is_done = connection.open.lock().unwrap().is_empty();
                if is_done {
                    let _ = connection.stream.shutdown(Shutdown::Both);
                }
                continue;
            }
            let mut open = connection.open.lock().unwrap();
            let id = open.remove(&received.sequence);
            connection.open_count.store(open.len(), Ordering::Release);
            let is_done = open.is_empty();
            drop(open);
            let Some(id) = id else {
                self.world
                    .note(format!("SECOND answer to number {}", received.sequence));
                continue;
            };
            let wait = received.fields.iter().find(|(key, _)| key == "holdoff");
            let wait = wait.and_then(|(_, value)| value.parse().ok());
            self.world
                .note(format!("answer to {id}: {:?}", received.answer));
            let is_served = received.answer == Answer::Served;
            let origin = self.origin(&received.result);
            self.world.with(&id, |entry| {
                entry.answers.push((at, received.answer));
                entry.retry_after = wait;
            });
            if is_served && !self.is_made_for(&id, origin.as_deref(), &received.result) {
                self.world.note(format!("WRONG result for {id}"));
                self.world.with(&id, |entry| entry.wrong += 1);
            }
            if is_done && connection.no_more.load(Ordering::Acquire) {
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
        }
        let open = connection.open.lock().unwrap();
        connection.is_closed.store(true, Ordering::Release);
        for id in open.values() {
            self.world.note(format!("connection ended under {id}"));
            self.world.with(id, |entry| {
                entry.cut = true;
                entry.cut_at = Some(Instant::now());
            });
        }
    }

    /// The id that a result names.
    fn origin(&self, result: &[u8]) -> Option<String> {
        Some(String::from_utf8_lossy(result.get(..16)?).into_owned())
    }

    /// Whether a result is what the run of the request made, or that of an earlier try of its key.
    fn is_made_for(&self, id: &str, origin: Option<&str>, result: &[u8]) -> bool {
        let Some(origin) = origin else { return false };
        let tries = self.world.tries.lock().unwrap();
        let (Some(own), Some(made)) = (tries.get(id), tries.get(origin)) else {
            return false;
        };
        let is_own = origin == id || (!own.key.is_empty() && own.key == made.key);
        is_own && made.result.as_deref() == Some(result)
    }
}
