//! An edge node: connections to a backend, requests and their answers.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::thrift::{self, Answer};
use crate::unix_now;

/// Ids are new with every try, in all connections of the case.
static LAST_ID: AtomicU64 = AtomicU64::new(0x1000_0000_0000_0000);

pub fn new_id() -> String {
    format!(
        "{:016x}",
        LAST_ID.fetch_add(0x0001_0001_0001, Ordering::Relaxed)
    )
}

/// A request to send.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub class: String,
    pub tenant: Option<String>,
    pub work_ms: Option<f64>,
    pub need_kb: f64,
    pub key: Option<String>,
    pub wait_ms: Option<f64>,
    pub resent: bool,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(class: &str, body: &str) -> Self {
        Request {
            id: new_id(),
            class: class.to_owned(),
            tenant: None,
            work_ms: Some(10.0),
            need_kb: 24.0,
            key: None,
            wait_ms: None,
            resent: false,
            body: body.as_bytes().to_vec(),
        }
    }

    fn fields(&self) -> Vec<(&'static str, String)> {
        let mut fields = vec![
            ("kind", self.class.clone()),
            ("req", self.id.clone()),
            ("ts", unix_now().as_millis().to_string()),
            ("via", "1".to_owned()),
            ("need", format!("{:.1}", self.need_kb)),
            ("level", "0.5000".to_owned()),
        ];
        fields.extend(self.tenant.clone().map(|tenant| ("owner", tenant)));
        fields.extend(self.resent.then(|| ("resent", "1".to_owned())));
        fields.extend(self.work_ms.map(|work| ("ms", format!("{work:.10}"))));
        fields.extend(self.key.clone().map(|key| ("opkey", key)));
        fields.extend(self.wait_ms.map(|wait| ("timeout", format!("{wait:.1}"))));
        fields
    }
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub sent_at: Instant,
    pub answers: Vec<(Instant, Answer)>,
}

#[derive(Default)]
struct State {
    requests: HashMap<i32, Sent>,
    no_more: bool,
    closed: bool,
    unreadable: bool,
}

/// Is told the id of each request that is answered.
pub type OnAnswer = Arc<dyn Fn(&str) + Send + Sync>;

/// A connection to a backend.
pub struct Connection {
    stream: TcpStream,
    state: Arc<Mutex<State>>,
    last_sequence: i32,
    record: Record,
}

impl Connection {
    pub fn open(address: SocketAddr, record: &Record) -> io::Result<Self> {
        Self::open_with(address, record, Arc::new(|_: &str| {}))
    }

    /// Opens a connection; `on_answer` is told of each answer.
    pub fn open_with(
        address: SocketAddr,
        record: &Record,
        on_answer: OnAnswer,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let state = Arc::new(Mutex::new(State::default()));
        let (reader, shared, log) = (stream.try_clone()?, state.clone(), record.clone());
        std::thread::spawn(move || read_answers(reader, &shared, &log, &on_answer));
        Ok(Connection {
            stream,
            state,
            last_sequence: 0,
            record: record.clone(),
        })
    }

    /// Sends a request. Returns its sequence number.
    pub fn send(&mut self, request: &Request) -> io::Result<i32> {
        let bytes = self.encode(request);
        self.record.line(format!(
            "sent {} class={} key={:?}",
            request.id, request.class, request.key
        ));
        self.stream.write_all(&bytes)?;
        Ok(self.last_sequence)
    }

    /// Numbers a request and returns its bytes; the caller writes them.
    pub fn encode(&mut self, request: &Request) -> Vec<u8> {
        self.last_sequence += 1;
        let sent = Sent {
            id: request.id.clone(),
            sent_at: Instant::now(),
            answers: Vec::new(),
        };
        self.state
            .lock()
            .unwrap()
            .requests
            .insert(self.last_sequence, sent);
        thrift::process(self.last_sequence, &request.fields(), &request.body)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a health check. Its answer is recorded like that of a request.
    pub fn probe(&mut self, real: bool) -> io::Result<i32> {
        self.last_sequence += 1;
        let sent = Sent {
            id: "probe".to_owned(),
            sent_at: Instant::now(),
            answers: Vec::new(),
        };
        self.state
            .lock()
            .unwrap()
            .requests
            .insert(self.last_sequence, sent);
        self.stream
            .write_all(&thrift::probe(self.last_sequence, real))?;
        Ok(self.last_sequence)
    }

    pub fn request(&self, sequence: i32) -> Option<Sent> {
        self.state.lock().unwrap().requests.get(&sequence).cloned()
    }

    pub fn requests(&self) -> Vec<Sent> {
        let state = self.state.lock().unwrap();
        let mut all: Vec<_> = state.requests.iter().collect();
        all.sort_by_key(|(sequence, _)| **sequence);
        all.into_iter().map(|(_, sent)| sent.clone()).collect()
    }

    /// The first answer to a request, waiting for it up to `limit`.
    pub fn answer(&self, sequence: i32, limit: Duration) -> Option<Answer> {
        let start = Instant::now();
        loop {
            let answer = self
                .request(sequence)
                .and_then(|sent| sent.answers.first().cloned());
            if let Some((_, answer)) = answer {
                return Some(answer);
            }
            if start.elapsed() > limit {
                return None;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn open_requests(&self) -> usize {
        let state = self.state.lock().unwrap();
        state
            .requests
            .values()
            .filter(|sent| sent.answers.is_empty())
            .count()
    }

    pub fn got_no_more(&self) -> bool {
        self.state.lock().unwrap().no_more
    }

    pub fn is_closed(&self) -> bool {
        self.state.lock().unwrap().closed
    }

    pub fn got_unreadable(&self) -> bool {
        self.state.lock().unwrap().unreadable
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.close();
    }
}

fn read_answers(
    mut stream: TcpStream,
    state: &Mutex<State>,
    record: &Record,
    on_answer: &OnAnswer,
) {
    loop {
        let mut length = [0; 4];
        if stream.read_exact(&mut length).is_err() {
            break;
        }
        let length = u32::from_be_bytes(length) as usize;
        let mut message = vec![0; length.min(1 << 20)];
        if stream.read_exact(&mut message).is_err() {
            break;
        }
        let now = Instant::now();
        let Ok((sequence, answer)) = thrift::decode(&message) else {
            record.line("an answer that cannot be read");
            state.lock().unwrap().unreadable = true;
            break;
        };
        let mut state = state.lock().unwrap();
        if answer == Answer::NoMore {
            state.no_more = true;
            record.line("noMore");
        } else if let Some(sent) = state.requests.get_mut(&sequence) {
            let after = now.duration_since(sent.sent_at).as_secs_f64() * 1e3;
            record.line(format!(
                "answer {} {} after_ms={after:.1}",
                sent.id,
                answer.word()
            ));
            sent.answers.push((now, answer));
            let id = sent.id.clone();
            drop(state);
            on_answer(&id);
        } else {
            record.line(format!("answer to unknown sequence {sequence}: {answer:?}"));
        }
    }
    state.lock().unwrap().closed = true;
}
