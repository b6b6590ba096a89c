//! The store: it carries out calls, as PROTOCOL.md says under 'The store'.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::world::{Shared, ms};

/// What the store does with calls; each is a share in 1,000.
#[derive(Clone, Copy, Default)]
pub struct StoreRules {
    pub delay_ms: u64,
    /// Turned away, never ran.
    pub busy: u64,
    /// Ran, and the reply never comes.
    pub silent: u64,
    /// Ran, and the connection is reset in place of the reply.
    pub reset: u64,
    /// Ran, and the reply is noise.
    pub noise: u64,
    /// Ran, and the reply comes twice.
    pub twice: u64,
    /// Ran, and a reply under an unknown id comes ahead.
    pub stray: u64,
    /// Failed, and may have had its effect.
    pub error: u64,
    /// An idle connection is forgotten and reset at the next call, which never ran.
    pub forgets: u64,
}

pub struct Store {
    world: Shared,
    pub rules: Mutex<StoreRules>,
    pub calls: AtomicU64,
}

impl Store {
    pub fn start(world: &Shared, rules: StoreRules) -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store {
            world: world.clone(),
            rules: Mutex::new(rules),
            calls: AtomicU64::new(0),
        });
        let address = store.listen();
        (store, address)
    }

    /// Listens at one more address.
    pub fn listen(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut input = BufReader::new(stream.try_clone().unwrap());
        let mut is_first = true;
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let text = line.trim_end().to_owned();
            let words: Vec<&str> = text.split(' ').collect();
            let ["CALL", id, _, length] = words[..] else {
                continue;
            };
            let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
            if input.read_exact(&mut body).is_err() {
                return;
            }
            let rules = *self.rules.lock().unwrap();
            let mut draw = self.world.random(1000);
            let mut is = |share: u64| {
                let is = draw < share;
                draw = draw.saturating_sub(share);
                if !is && share > 0 && draw == 0 {
                    draw = 0;
                }
                is
            };
            if !is_first && self.world.random(1000) < rules.forgets {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            is_first = false;
            if is(rules.busy) {
                std::thread::sleep(ms(2));
                let _ = (&stream).write_all(format!("{id} BUSY\r\n").as_bytes());
                continue;
            }
            self.calls.fetch_add(1, Ordering::Relaxed);
            self.world.with(id, |entry| entry.calls += 1);
            std::thread::sleep(ms(rules.delay_ms));
            let reply = format!("reply to {id}");
            let line = format!("{id} OK {}\r\n{reply}\r\n", reply.len());
            let out = if is(rules.silent) {
                std::thread::sleep(Duration::from_secs(20));
                return;
            } else if is(rules.reset) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            } else if is(rules.noise) {
                "\u{1}\u{2} noise without an end".to_owned()
            } else if is(rules.twice) {
                line.repeat(2)
            } else if is(rules.stray) {
                format!("0123456789abcdef OK 3\r\nabc\r\n{line}")
            } else if is(rules.error) {
                format!("{id} ERR\r\n")
            } else {
                line
            };
            let _ = (&stream).write_all(out.as_bytes());
        }
    }
}
