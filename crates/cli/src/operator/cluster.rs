//! `tulipgap cluster`: lists members, shows and replaces voters, and drains a process.

use serde_json::{Value, json};

use super::{acquire, joined_texts, print_answer, request, rows, text};
use crate::args::{ClusterCommand, Target};
use crate::error::CommandResult;

pub(crate) fn run(command: ClusterCommand) -> CommandResult {
    match command {
        ClusterCommand::Members { target } => members(&target),
        ClusterCommand::Drain { timeout, target } => {
            acquire(&target, &json!({ "do": "drain" }), *timeout)
        }
        ClusterCommand::Voter { target } => {
            let answer = request(&target.socket, &json!({ "do": "own" }))?;
            Ok(print_answer(&answer, target.json, print_voter))
        }
        ClusterCommand::ReplaceVoter { old, new, target } => {
            let answer = request(
                &target.socket,
                &json!({ "do": "replace", "old": old, "new": new }),
            )?;
            Ok(print_answer(&answer, target.json, |_| {
                println!("accepted; 'tulipgap cluster voter' shows when it is done");
            }))
        }
    }
}

fn members(target: &Target) -> CommandResult {
    let answer = request(&target.socket, &json!({ "do": "members" }))?;
    Ok(print_answer(&answer, target.json, |answer| {
        println!(
            "{:<20} {:<22} {:<12} {:<12} {:<8} {:<8} reason",
            "name", "address", "region", "zone", "state", "reach"
        );
        rows(answer, "members").for_each(print_member);
    }))
}

fn print_member(row: &Value) {
    let mut reason = joined_texts(row, "suspected_by");
    if reason.is_empty() {
        reason = text(row, "by").to_owned();
    }
    let unreachable = match joined_texts(row, "unheard") {
        names if names.is_empty() => names,
        names => format!(" unreachable peers: {names}"),
    };
    let [name, address, region, zone] =
        ["name", "address", "region", "zone"].map(|key| text(row, key));
    let [state, reach] = ["state", "reach"].map(|key| text(row, key));
    println!(
        "{name:<20} {address:<22} {region:<12} {zone:<12} {state:<8} {reach:<8} {reason}{unreachable}"
    );
}

fn print_voter(answer: &Value) {
    let Some(voter) = answer.get("voter").filter(|voter| !voter.is_null()) else {
        println!("this process does not vote");
        return;
    };
    println!(
        "{}; term {}, leader {}, {} entries applied, voters {}",
        text(voter, "phase"),
        voter["term"],
        voter["leader"].as_str().unwrap_or("unknown"),
        voter["applied"],
        joined_texts(voter, "voters")
    );
}
