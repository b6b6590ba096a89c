//! The control socket: operators' commands over a Unix socket, one line of JSON each, answered by
//! one line.
//!
//! A thread of its own serves one connection at a time, and hands each command to the event loop. A
//! command that fails is answered with its error; a connection that fails shows as a debug line
//! `control connection failed`, and the next one is served.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use super::control_protocol::{AdminError, AdminResult, to_json};
use super::input::Input;
use super::threads::spawn_thread;

/// The longest request.
const MAX_REQUEST_BYTES: u64 = 4096;
/// How long an operator's program may take to send a request, or to read the response.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the event loop may take: longer than a command waits for a leader.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// The socket belongs to the user of this process.
const SOCKET_MODE: u32 = 0o600;

/// Listens on a path. Commands go to `inputs`.
///
/// # Errors
/// `AddrInUse` where another process listens there, or the system's error.
pub(crate) fn listen(path: &Path, inputs: SyncSender<Input>) -> io::Result<()> {
    // An earlier run of this process may have left its socket; a process that still runs accepts
    // the connection.
    if UnixStream::connect(path).is_ok() {
        return Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            "another process listens there",
        ));
    }
    let _ = std::fs::remove_file(path);
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(SOCKET_MODE))?;
    spawn_thread("control", move || {
        // One at a time: operators are few, and each waits for its response.
        for stream in listener.incoming().map_while(Result::ok) {
            if let Err(error) = serve(&stream, &inputs) {
                log::debug!("control connection failed error=\"{error}\"");
            }
        }
    })
}

fn serve(mut stream: &UnixStream, inputs: &SyncSender<Input>) -> io::Result<()> {
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    let mut line = String::new();
    BufReader::new(stream.take(MAX_REQUEST_BYTES)).read_line(&mut line)?;
    let response = to_json(&execute(&line, inputs))?;
    stream.write_all(format!("{response}\n").as_bytes())
}

fn execute(line: &str, inputs: &SyncSender<Input>) -> AdminResult {
    let request = serde_json::from_str(line)?;
    let (reply, replied) = sync_channel(1);
    let _ = inputs.send(Input::Admin { request, reply });
    replied
        .recv_timeout(RESPONSE_TIMEOUT)
        .map_err(|_| AdminError::NoResponse)?
}
