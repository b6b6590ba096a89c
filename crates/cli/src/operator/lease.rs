//! `tulipgap lease`: the leases of a cluster, and those that one process holds for an operator.

use serde_json::{Value, json};

use super::{acquire, is_refused, joined_texts, print_answer, print_done, request, rows, text};
use crate::args::{LeaseCommand, Target};
use crate::error::CommandResult;

pub(crate) fn run(command: LeaseCommand) -> CommandResult {
    match command {
        LeaseCommand::List { target } => list(&target, None),
        LeaseCommand::Show { lease, target } => list(&target, Some(&lease)),
        LeaseCommand::Take {
            lease,
            ttl,
            capacity,
            timeout,
            target,
        } => {
            let ttl_ms = ttl.as_millis() as u64;
            let command =
                json!({ "do": "take", "lease": lease, "term_ms": ttl_ms, "places": capacity });
            acquire(&target, &command, *timeout)
        }
        LeaseCommand::Release { lease, target } => {
            send(&target, &json!({ "do": "release", "lease": lease }))
        }
        LeaseCommand::Transfer {
            lease,
            token,
            to,
            target,
        } => send(
            &target,
            &json!({ "do": "transfer", "lease": lease, "token": token, "to": to }),
        ),
        LeaseCommand::Revoke {
            lease,
            token,
            target,
        } => send(
            &target,
            &json!({ "do": "revoke", "lease": lease, "token": token }),
        ),
    }
}

fn send(target: &Target, command: &Value) -> CommandResult {
    print_done(&request(&target.socket, command)?, target.json)
}

/// Prints all leases, or one.
fn list(target: &Target, lease: Option<&str>) -> CommandResult {
    let answer = request(&target.socket, &json!({ "do": "leases", "lease": lease }))?;
    if lease.is_some() && !is_refused(&answer) && rows(&answer, "leases").next().is_none() {
        let none = json!({ "error": "nobody holds it or waits for it" });
        return Ok(print_answer(&none, target.json, |_| {}));
    }
    Ok(print_answer(&answer, target.json, |answer| {
        println!(
            "{:<24} {:>8} {:>6}  held by (token), then who waits",
            "lease", "term", "places"
        );
        rows(answer, "leases").for_each(print_lease);
    }))
}

fn print_lease(row: &Value) {
    let holder = |holder: &Value| {
        let ends = if holder["ends"] == true { ", ends" } else { "" };
        format!("{} ({}{ends})", text(holder, "by"), holder["token"])
    };
    let holders: Vec<String> = rows(row, "held").map(holder).collect();
    let (ttl, holders) = (format!("{} ms", row["term_ms"]), holders.join(" "));
    let (lease, queue) = (text(row, "lease"), joined_texts(row, "queue"));
    println!(
        "{lease:<24} {ttl:>8} {:>6}  {holders}; {queue}",
        row["places"]
    );
}
