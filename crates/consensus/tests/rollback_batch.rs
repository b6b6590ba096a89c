//! Detection of a rollback in the middle of a batch of events.

// This test uses only a part of the module.
#[allow(dead_code)]
mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{BOOTSTRAP_VOTERS, Files, Group, acquire};
use tulipgap_consensus::{
    Action, BootstrapStage, Event, LogPosition, Notice, PeerMessage, VoterPhase,
};
use tulipgap_leases::RequestId;

fn propose(request: u64) -> Event {
    Event::Propose {
        from: "client".into(),
        request: RequestId(request),
        command: acquire("lease", "m1", Duration::from_secs(60), 1),
    }
}

/// Guards against a voter that stops silently: events after the one that reveals the rollback
/// discarded the notice and the responses to earlier events, so that no log line was written and
/// clients got no response.
#[test]
fn a_rollback_in_the_middle_of_a_batch_is_reported() {
    let folders = BOOTSTRAP_VOTERS.map(|name| (name.into(), Files::new()));
    let mut group = Group::new(folders.into());
    group.tick_until("a leader", |group| group.leader().is_some());
    let leader = group.leader().unwrap();
    let follower = BOOTSTRAP_VOTERS.into_iter().find(|name| **name != *leader);
    let voter = group.voters_by_name.get_mut(follower.unwrap()).unwrap();
    let observed = LogPosition {
        term: 1000,
        index: 1000,
    };
    let reveals_rollback = Event::PeerMessage {
        from: leader,
        message: PeerMessage::Handshake {
            wants_reply: false,
            id: voter.voter().status().id,
            initial_voters: BTreeMap::new(),
            stage: BootstrapStage::Complete,
            observed,
        },
    };
    let now = Duration::from_secs(60);
    let batch = vec![propose(1), reveals_rollback, propose(2)];
    let (actions, written) = voter.handle_events(now, batch);
    written.unwrap();
    let rejects_first = |action: &Action| matches!(action, Action::RejectNotLeader { request, .. } if *request == RequestId(1));
    assert!(actions.iter().any(rejects_first), "{actions:?}");
    let reports_rollback =
        |action: &Action| matches!(action, Action::Notice(Notice::RolledBack { .. }));
    assert!(actions.iter().any(reports_rollback), "{actions:?}");
    assert_eq!(voter.voter().status().phase, VoterPhase::Stopped);
    let (actions, _) = voter.handle_events(now, vec![propose(3)]);
    assert!(actions.is_empty(), "{actions:?}");
}
