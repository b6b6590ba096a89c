//! How a single node handles messages and timers. `tulipgap-fault-injection` simulates whole
//! clusters.

mod name_conflicts;
mod reachability;
mod rejected_parameters;
mod timers;
mod updates_about_others;
mod updates_about_this_node;

use std::net::SocketAddr;
use std::time::Duration;

use tulipgap_membership::{
    Action, Config, ConfigError, Event, Incarnation, MemberState, MemberUpdate, Membership,
    Message, MessageBody, Node, SequenceNumber,
};

fn address(last_byte: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last_byte], 7100))
}

fn node(name: &str, last_byte: u8) -> Node {
    Node {
        name: name.into(),
        address: address(last_byte),
        region: "r".into(),
        zone: "z".into(),
        version: 1,
    }
}

fn update(name: &str, last_byte: u8, incarnation: u64, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        node: node(name, last_byte),
        incarnation: Incarnation(incarnation),
        state,
        reported_by: (state != MemberState::Alive).then(|| "c".into()),
        metadata: Default::default(),
        unreachable_peers: Default::default(),
    }
}

fn ping(number: u64) -> MessageBody {
    MessageBody::Ping {
        sequence_number: SequenceNumber(number),
    }
}

fn new_membership(config: Config, node: Node) -> Result<Membership, ConfigError> {
    Membership::new(config, node, Incarnation(0), 1)
}

/// Member `a` at the first address, which has joined and has received the updates.
fn joined(updates: Vec<MemberUpdate>) -> Membership {
    let mut membership = new_membership(Config::default(), node("a", 1)).unwrap();
    membership.handle_events(Duration::ZERO, &[Event::Started]);
    receive(
        &mut membership,
        1,
        "b",
        2,
        MessageBody::PushPull {
            reply_requested: false,
        },
        updates,
    );
    membership
}

/// Delivers a message to `a`.
fn receive(
    membership: &mut Membership,
    at_ms: u64,
    from: &str,
    last_byte: u8,
    body: MessageBody,
    updates: Vec<MemberUpdate>,
) -> Vec<Action> {
    let message = Message {
        from: from.into(),
        to: Some("a".into()),
        body,
        updates,
    };
    let event = Event::Received {
        from: address(last_byte),
        message,
    };
    membership.handle_events(Duration::from_millis(at_ms), &[event])
}

fn sent_messages(actions: &[Action]) -> Vec<&Message> {
    (actions.iter())
        .filter_map(|action| match action {
            Action::Send { message, .. } => Some(message),
            _ => None,
        })
        .collect()
}
