//! A stub of the store.

use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use super::STORE_PORT;

/// A stub of the store. It replies to every call with the body of the call, unless it is down or
/// another reply is planned.
#[derive(Clone, Default)]
pub(crate) struct StoreStub {
    /// Whether the store closes connections instead of answering.
    pub(crate) is_down: Arc<AtomicBool>,
    /// The number of calls that were received.
    pub(crate) calls: Arc<AtomicU32>,
    /// The replies to the next calls, with `ID` in place of the id of the call. For an empty reply
    /// the call is left unanswered.
    pub(crate) planned_replies: Arc<Mutex<VecDeque<String>>>,
    /// The connections of unanswered calls, by the id of the call.
    pub(crate) unanswered_calls: Arc<Mutex<HashMap<String, TcpStream>>>,
    /// The number of connections that have closed.
    pub(crate) closed_connections: Arc<AtomicU32>,
}

impl StoreStub {
    pub(crate) fn plan_replies(&self, replies: &[&str]) {
        self.planned_replies
            .lock()
            .unwrap()
            .extend(replies.iter().map(|reply| reply.to_string()));
    }

    /// Serves one connection until it is closed.
    pub(crate) fn serve(&self, stream: TcpStream) {
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let mut line = String::new();
        while !self.is_down.load(Ordering::Acquire) && input.read_line(&mut line).unwrap_or(0) > 0 {
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let ["CALL", id, _, length] = words[..] else {
                panic!("invalid call: {words:?}")
            };
            let mut body = vec![0; length.parse::<usize>().unwrap() + 2];
            input.read_exact(&mut body).unwrap();
            self.calls.fetch_add(1, Ordering::AcqRel);
            if self.is_down.load(Ordering::Acquire) {
                break;
            }
            match self.planned_replies.lock().unwrap().pop_front() {
                None => {
                    let head = format!("{id} OK {length}\r\n");
                    (&stream)
                        .write_all(&[head.as_bytes(), &body].concat())
                        .unwrap();
                }
                Some(reply) if reply.is_empty() => {
                    self.unanswered_calls
                        .lock()
                        .unwrap()
                        .insert(id.to_owned(), stream.try_clone().unwrap());
                }
                Some(reply) => (&stream)
                    .write_all(reply.replace("ID", id).as_bytes())
                    .unwrap(),
            }
            line.clear();
        }
        self.closed_connections.fetch_add(1, Ordering::AcqRel);
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Starts a stub that listens on the store's port of this host.
pub(crate) fn start_store(host: &str) -> StoreStub {
    let store = StoreStub::default();
    let (shared, listener) = (
        store.clone(),
        TcpListener::bind((host, STORE_PORT)).unwrap(),
    );
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let store = shared.clone();
            std::thread::spawn(move || store.serve(stream));
        }
    });
    store
}
