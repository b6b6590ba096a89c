//! The control socket: it accepts operators' commands on a Unix socket, each as one line of JSON,
//! and answers each with one line.
//!
//! A dedicated thread serves one connection at a time, and hands each command to the event loop. A
//! command that fails is answered with its error; a connection that fails is logged at debug level
//! as `control connection failed`, and the thread serves the next one.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use super::control_protocol::{AdminError, AdminResult, to_json};
use super::input::Input;
use super::threads::spawn_thread;

/// The maximum length of a request, in bytes.
const MAX_REQUEST_BYTES: u64 = 4096;
/// The time limit for each read of a request from an operator's program, and each write of a
/// response.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the socket waits for the event loop: longer than a command waits for a leader.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// The mode of the socket: only the user of this process may use it.
const SOCKET_MODE: u32 = 0o600;

/// Listens on a path, and sends commands to `inputs`.
///
/// # Errors
/// `AddrInUse` if another process listens on the path, or the error of the operating system.
pub(crate) fn listen(path: &Path, inputs: SyncSender<Input>) -> io::Result<()> {
    // An earlier run of this process may have left its socket, which accepts no connection. If the
    // connection succeeds, another process listens.
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
        // One connection at a time, because operators are few and each waits for its response.
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
