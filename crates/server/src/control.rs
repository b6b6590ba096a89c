//! What operators ask of a process of a cluster, over a Unix socket: one line of JSON, one line of answer.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use serde::Deserialize;
use serde_json::{Value, json};
use tulipgap_leases::{Lease, Name};

use crate::cluster::Input;
use crate::net::peers::thread;

const LINE_MOST: u64 = 4096;
/// Longer than any answer takes.
const WAIT: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "do", rename_all = "lowercase", deny_unknown_fields)]
pub enum Request {
    Members,
    /// What this process wants and holds.
    Own,
    /// It asks for leave to drain.
    Drain,
    Leases {
        lease: Option<String>,
    },
    Take {
        lease: String,
        term_ms: u64,
        places: u32,
    },
    Release {
        lease: String,
    },
    Revoke {
        lease: String,
        token: u64,
    },
    Transfer {
        lease: String,
        token: u64,
        to: String,
    },
    Replace {
        old: String,
        new: String,
    },
}

pub fn listen(path: &Path, inputs: SyncSender<Input>) -> io::Result<()> {
    // What an earlier life has left; one that lives still answers.
    if UnixStream::connect(path).is_ok() {
        return Err(io::Error::new(io::ErrorKind::AddrInUse, "another process listens there"));
    }
    let _ = std::fs::remove_file(path);
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    thread("control", move || {
        // One at a time: operators are few, and each waits for its answer.
        for stream in listener.incoming().map_while(Result::ok) {
            if let Err(error) = serve(&stream, &inputs) {
                log::debug!("control: {error}");
            }
        }
    })
}

fn serve(stream: &UnixStream, inputs: &SyncSender<Input>) -> io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.set_write_timeout(Some(Duration::from_secs(2)))?;
    let mut line = String::new();
    BufReader::new(stream.take(LINE_MOST)).read_line(&mut line)?;
    let told = match serde_json::from_str::<Request>(&line) {
        Err(error) => json!({ "error": error.to_string() }),
        Ok(request) => {
            let (reply, replied) = sync_channel(1);
            let _ = inputs.send(Input::Operator(request, reply));
            replied.recv_timeout(WAIT).unwrap_or_else(|_| json!({ "error": "no answer" }))
        }
    };
    let mut stream = stream;
    stream.write_all(format!("{told}\n").as_bytes())
}

/// A lease as it is told.
pub fn row(name: &Name, lease: &Lease) -> Value {
    let held: Vec<Value> = (lease.holders.iter())
        .map(|held| json!({ "by": &*held.owner.name, "life": held.owner.incarnation, "token": held.token, "ends": held.revoked }))
        .collect();
    let queue: Vec<&str> = lease.queue.iter().map(|waiting| &*waiting.owner.name).collect();
    json!({ "lease": &**name, "term_ms": lease.spec.ttl.as_millis() as u64, "places": lease.spec.capacity,
        "held": held, "queue": queue })
}
