//! `tulipgap cluster` and `tulipgap lease`: what operators ask of a running process, over its Unix socket.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::args::{At, ClusterCommand, LeaseCommand};
use crate::files::{Failure, Verdict};

const WAIT: Duration = Duration::from_secs(12);
/// Between two looks at whether a lease is held.
const LOOK: Duration = Duration::from_millis(100);

fn ask(socket: &Path, request: &Value) -> Result<Value, Failure> {
    let wrong = |what: String| Failure::Usage(format!("{}: {what}", socket.display()));
    let mut stream = UnixStream::connect(socket).map_err(|error| wrong(error.to_string()))?;
    stream.set_read_timeout(Some(WAIT)).map_err(|error| wrong(error.to_string()))?;
    stream.write_all(format!("{request}\n").as_bytes()).map_err(|error| wrong(error.to_string()))?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(|error| wrong(error.to_string()))?;
    serde_json::from_str(&line).map_err(|error| wrong(error.to_string()))
}

/// Prints what was told; what was refused is a verdict of its own.
fn told(answer: &Value, json: bool, print: impl Fn(&Value)) -> Verdict {
    match answer.get("error").and_then(Value::as_str) {
        Some(error) if !json => eprintln!("tulipgap: refused: {error}"),
        None if !json => print(answer),
        _ => println!("{}", serde_json::to_string_pretty(answer).unwrap_or_default()),
    }
    if answer.get("error").is_some() { Verdict::Lacking } else { Verdict::Whole }
}

fn text<'a>(row: &'a Value, key: &str) -> &'a str {
    row.get(key).and_then(Value::as_str).unwrap_or("")
}

fn names(row: &Value, key: &str) -> String {
    let names = row.get(key).and_then(Value::as_array).into_iter().flatten();
    names.filter_map(Value::as_str).collect::<Vec<_>>().join(" ")
}

fn rows<'a>(answer: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    answer.get(key).and_then(Value::as_array).into_iter().flatten()
}

fn done(answer: &Value, json: bool) -> Result<Verdict, Failure> {
    Ok(told(answer, json, |_| println!("done")))
}

/// Has the process want a lease, and waits until it holds it or gives up.
fn taken(at: &At, request: &Value, wait: Duration) -> Result<Verdict, Failure> {
    let (answer, until) = (ask(&at.socket, request)?, Instant::now() + wait);
    if answer.get("error").is_some() {
        return done(&answer, at.json);
    }
    let lease = text(&answer, "lease");
    loop {
        let own = ask(&at.socket, &json!({ "do": "own" }))?;
        let row = rows(&own, "wanted").find(|row| text(row, "lease") == lease).cloned();
        match row {
            Some(row) if row["held"] == true => {
                return Ok(told(&row, at.json, |row| println!("held, token {}", row["token"])));
            }
            _ if Instant::now() < until => std::thread::sleep(LOOK),
            _ => {
                ask(&at.socket, &json!({ "do": "release", "lease": lease }))?;
                let late = json!({ "error": format!("not held within {wait:?}, given up") });
                return done(&late, at.json);
            }
        }
    }
}

pub fn cluster(command: ClusterCommand) -> Result<Verdict, Failure> {
    match command {
        ClusterCommand::Members { at } => {
            let answer = ask(&at.socket, &json!({ "do": "members" }))?;
            Ok(told(&answer, at.json, |answer| {
                println!(
                    "{:<20} {:<22} {:<12} {:<12} {:<8} {:<8} why",
                    "name", "address", "region", "zone", "state", "reach"
                );
                for row in rows(answer, "members") {
                    let mut why = names(row, "suspected_by");
                    if why.is_empty() {
                        why = text(row, "by").to_owned();
                    }
                    let unheard = names(row, "unheard");
                    let unheard =
                        if unheard.is_empty() { unheard } else { format!(" does not hear {unheard}") };
                    let [name, address, region, zone] =
                        ["name", "address", "region", "zone"].map(|key| text(row, key));
                    let [state, reach] = ["state", "reach"].map(|key| text(row, key));
                    println!(
                        "{name:<20} {address:<22} {region:<12} {zone:<12} {state:<8} {reach:<8} {why}{unheard}"
                    );
                }
            }))
        }
        ClusterCommand::Drain { wait, at } => taken(&at, &json!({ "do": "drain" }), *wait),
        ClusterCommand::Voter { at } => {
            let answer = ask(&at.socket, &json!({ "do": "own" }))?;
            Ok(told(&answer, at.json, |answer| match answer.get("voter").filter(|voter| !voter.is_null()) {
                None => println!("this process does not vote"),
                Some(voter) => println!(
                    "{}; term {}, leader {}, {} entries carried out, voters {}",
                    text(voter, "phase"),
                    voter["term"],
                    voter["leader"].as_str().unwrap_or("not known"),
                    voter["applied"],
                    names(voter, "voters")
                ),
            }))
        }
        ClusterCommand::ReplaceVoter { old, new, at } => {
            let answer = ask(&at.socket, &json!({ "do": "replace", "old": old, "new": new }))?;
            Ok(told(&answer, at.json, |_| {
                println!("asked; 'tulipgap cluster voter' shows when it has come to pass")
            }))
        }
    }
}

pub fn lease(command: LeaseCommand) -> Result<Verdict, Failure> {
    let list = |socket: &Path, lease: Option<&str>, json: bool| {
        let answer = ask(socket, &json!({ "do": "leases", "lease": lease }))?;
        if lease.is_some() && answer.get("error").is_none() && rows(&answer, "leases").next().is_none() {
            let none = json!({ "error": "nobody holds it or waits for it" });
            return Ok(told(&none, json, |_| {}));
        }
        Ok(told(&answer, json, |answer| {
            println!("{:<24} {:>8} {:>6}  held by (token), then who waits", "lease", "term", "places");
            for row in rows(answer, "leases") {
                let held: Vec<String> = rows(row, "held")
                    .map(|held| {
                        let ends = if held["ends"] == true { ", ends" } else { "" };
                        format!("{} ({}{ends})", text(held, "by"), held["token"])
                    })
                    .collect();
                let (term, held, queue) =
                    (format!("{} ms", row["term_ms"]), held.join(" "), names(row, "queue"));
                println!("{:<24} {term:>8} {:>6}  {held}; {queue}", text(row, "lease"), row["places"]);
            }
        }))
    };
    match command {
        LeaseCommand::List { at } => list(&at.socket, None, at.json),
        LeaseCommand::Show { lease, at } => list(&at.socket, Some(&lease), at.json),
        LeaseCommand::Take { lease, term, places, wait, at } => {
            let term_ms = term.as_millis() as u64;
            let request = json!({ "do": "take", "lease": lease, "term_ms": term_ms, "places": places });
            taken(&at, &request, *wait)
        }
        LeaseCommand::Release { lease, at } => {
            done(&ask(&at.socket, &json!({ "do": "release", "lease": lease }))?, at.json)
        }
        LeaseCommand::Transfer { lease, token, to, at } => {
            let request = json!({ "do": "transfer", "lease": lease, "token": token, "to": to });
            done(&ask(&at.socket, &request)?, at.json)
        }
        LeaseCommand::Revoke { lease, token, at } => {
            done(&ask(&at.socket, &json!({ "do": "revoke", "lease": lease, "token": token }))?, at.json)
        }
    }
}
