//! Unit tests of each rule at its thresholds. The integration tests in `tests/` cover whole state
//! machines.

mod anti_entropy;
mod broadcast_queue;
mod failure_detector;
mod local_health;
mod local_node;
mod member_table;
mod name_conflict;
mod probe_round;
mod reachability;
mod refutation;
mod relayed_probes;
mod suspicion;
mod timer;
mod update_precedence;

use std::net::SocketAddr;
use std::time::Duration;

use crate::message::{Incarnation, MemberState, MemberUpdate};
use crate::node::{Node, NodeName, Recipient};

/// The smallest time step.
const TICK: Duration = Duration::from_nanos(1);

const ALL_STATES: [MemberState; 4] = [
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Dead,
    MemberState::Left,
];

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn address(last_byte: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last_byte], 7100))
}

/// An update about a member whose IP address ends with `last_byte`.
fn update(name: &str, last_byte: u8, incarnation: u64, state: MemberState) -> MemberUpdate {
    let node = Node {
        name: name.into(),
        address: address(last_byte),
        region: "region".into(),
        zone: "zone".into(),
        version: 1,
    };
    MemberUpdate {
        node,
        incarnation: Incarnation(incarnation),
        state,
        reported_by: (state != MemberState::Alive).then(|| "reporter".into()),
        metadata: Default::default(),
        unreachable_peers: Default::default(),
    }
}

fn recipient(name: &str, last_byte: u8) -> Recipient {
    Recipient {
        name: Some(name.into()),
        address: address(last_byte),
    }
}

/// The names of recipients; empty for a seed, which has none.
fn names(recipients: &[Recipient]) -> Vec<&str> {
    let names = recipients.iter().map(|recipient| recipient.name.as_deref());
    names.map(Option::unwrap_or_default).collect()
}

fn node_names(names: &[&str]) -> Vec<NodeName> {
    names.iter().map(|&name| name.into()).collect()
}
