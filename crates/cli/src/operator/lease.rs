//! `tulipgap lease`: lists, transfers and revokes leases, and makes a process take and release them
//! for an operator.

use serde_json::{Value, json};

use super::{acquire, is_rejected, joined_texts, print_answer, print_done, request, rows, text};
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
    if lease.is_some() && !is_rejected(&answer) && rows(&answer, "leases").next().is_none() {
        let none = json!({ "error": "no member holds the lease or waits for it" });
        return Ok(print_answer(&none, target.json, |_| {}));
    }
    Ok(print_answer(&answer, target.json, |answer| {
        println!(
            "{:<24} {:>8} {:>8}  owners (token); waiting members",
            "lease", "ttl", "capacity"
        );
        rows(answer, "leases").for_each(print_lease);
    }))
}

fn print_lease(row: &Value) {
    let format_owner = |owner: &Value| {
        let ends = if owner["ends"] == true { ", ends" } else { "" };
        format!("{} ({}{ends})", text(owner, "by"), owner["token"])
    };
    let owners: Vec<String> = rows(row, "held").map(format_owner).collect();
    let (ttl, owners) = (format!("{} ms", row["term_ms"]), owners.join(" "));
    let (lease, queue) = (text(row, "lease"), joined_texts(row, "queue"));
    println!(
        "{lease:<24} {ttl:>8} {:>8}  {owners}; {queue}",
        row["places"]
    );
}
