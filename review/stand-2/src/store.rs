//! The store: it carries out calls, as PROTOCOL.md says under 'The store'.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::world::{Shared, ms};

pub struct Store {
    world: Shared,
    /// How long a call takes.
    delay_ms: u64,
}

impl Store {
    pub fn start(world: &Shared, delay_ms: u64) -> SocketAddr {
        let store = Arc::new(Store {
            world: world.clone(),
            delay_ms,
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        address
    }

    /// Serves a connection, which carries one call at a time here, until it stands idle for 10 s.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut input = BufReader::new(&stream);
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let ["CALL", id, _, length] = words[..] else {
                continue;
            };
            let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
            if input.read_exact(&mut body).is_err() {
                return;
            }
            self.world.with(id, |entry| entry.calls += 1);
            std::thread::sleep(ms(self.delay_ms));
            let reply = format!("reply to {id}");
            let text = format!("{id} OK {}\r\n{reply}\r\n", reply.len());
            let _ = (&stream).write_all(text.as_bytes());
        }
    }
}
