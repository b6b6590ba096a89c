//! Commands of operators to a running process, over its Unix socket: one JSON object per line in
//! each direction. docs/leases.md describes the keys and the commands of the socket's protocol.

pub(crate) mod cluster;
pub(crate) mod lease;

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::args::Target;
use crate::error::{CliError, CommandResult, Status};

/// Time limit for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval at which [`acquire`] queries whether a process holds a lease.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Sends one command and reads its answer.
fn request(socket: &Path, command: &Value) -> Result<Value, CliError> {
    let line = exchange(socket, command).map_err(|source| CliError::Socket {
        socket: socket.to_owned(),
        source,
    })?;
    serde_json::from_str(&line).map_err(|source| CliError::Answer {
        socket: socket.to_owned(),
        source,
    })
}

fn exchange(socket: &Path, command: &Value) -> std::io::Result<String> {
    let mut stream = UnixStream::connect(socket)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line)
}

/// Whether the process rejected the command.
fn is_rejected(answer: &Value) -> bool {
    answer.get("error").is_some()
}

/// Prints an answer, as JSON or by `print`. A rejection makes the command incomplete.
fn print_answer(answer: &Value, json: bool, print: impl Fn(&Value)) -> Status {
    match answer.get("error").and_then(Value::as_str) {
        Some(error) if !json => eprintln!("tulipgap: rejected: {error}"),
        None if !json => print(answer),
        _ => println!(
            "{}",
            serde_json::to_string_pretty(answer).unwrap_or_default()
        ),
    }
    Status::of(!is_rejected(answer))
}

/// Prints the answer to a command that returns no data.
fn print_done(answer: &Value, json: bool) -> CommandResult {
    Ok(print_answer(answer, json, |_| println!("done")))
}

/// Sends a command that makes the process acquire a lease, and waits until it holds the lease.
/// After `timeout`, withdraws the request.
fn acquire(target: &Target, command: &Value, timeout: Duration) -> CommandResult {
    let answer = request(&target.socket, command)?;
    let deadline = Instant::now() + timeout;
    if is_rejected(&answer) {
        return print_done(&answer, target.json);
    }
    let lease = text(&answer, "lease");
    loop {
        let own = request(&target.socket, &json!({ "do": "own" }))?;
        let row = rows(&own, "wanted")
            .find(|row| text(row, "lease") == lease)
            .cloned();
        match row {
            Some(row) if row["held"] == true => {
                let print = |row: &Value| println!("held, token {}", row["token"]);
                return Ok(print_answer(&row, target.json, print));
            }
            _ if Instant::now() < deadline => std::thread::sleep(LEASE_POLL_INTERVAL),
            _ => {
                request(&target.socket, &json!({ "do": "release", "lease": lease }))?;
                let late = json!({ "error": format!("not acquired within {timeout:?}; the request is withdrawn") });
                return print_done(&late, target.json);
            }
        }
    }
}

/// The text under a key; empty if there is none.
fn text<'a>(row: &'a Value, key: &str) -> &'a str {
    row.get(key).and_then(Value::as_str).unwrap_or("")
}

/// The list of texts under a key, separated by spaces.
fn joined_texts(row: &Value, key: &str) -> String {
    rows(row, key)
        .filter_map(Value::as_str)
        .collect::<Vec<_>>()
        .join(" ")
}

/// The list under a key; empty if there is none.
fn rows<'a>(answer: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    answer
        .get(key)
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
}
