//! The store: it answers each call after a delay, or not at all.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::Record;

#[derive(Default)]
pub struct State {
    /// The request of each call, in the order of their arrival.
    pub calls: Vec<String>,
    pub delay: Duration,
    /// Calls are taken and not answered.
    pub silent: bool,
    pub word: Option<&'static str>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
    record: Record,
}

impl Store {
    pub fn start(host: &str, delay: Duration, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind((host, 0))?;
        let store = Store {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                delay,
                ..State::default()
            })),
            record: record.clone(),
        };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let _ = stream.set_nodelay(true);
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn calls_of(&self, id: &str) -> usize {
        self.state
            .lock()
            .unwrap()
            .calls
            .iter()
            .filter(|call| *call == id)
            .count()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let output = Arc::new(Mutex::new(stream));
        let mut reader = BufReader::new(reader);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let ["CALL", id, wait, length] = words[..] else {
                continue;
            };
            let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            self.record.line(format!("store: CALL {id} wait_ms={wait}"));
            let (delay, silent, word) = {
                let mut state = self.state.lock().unwrap();
                state.calls.push(id.to_owned());
                (state.delay, state.silent, state.word)
            };
            if silent {
                continue;
            }
            let (id, output, record) = (id.to_owned(), output.clone(), self.record.clone());
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                let reply = match word {
                    Some(word) => format!("{id} {word}\r\n"),
                    None => format!("{id} OK 5\r\nreply\r\n"),
                };
                record.line(format!("store: {}", reply.lines().next().unwrap_or("")));
                let _ = output.lock().unwrap().write_all(reply.as_bytes());
            });
        }
    }
}
