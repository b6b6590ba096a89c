//! Tests of the words of the control socket, on which operators' programs depend, and of timers.

use std::time::Duration;

use serde_json::{Value, json};
use tulipgap_consensus::{VoterId, VoterPhase, VoterStatus};
use tulipgap_leases::{
    FencingToken, Incarnation, Lease, LeaseHolder, LeaseSpec, LeaseStatus, Owner, QueuedOwner,
    RejectReason, RenewalNumber,
};
use tulipgap_membership::{MemberRecord, MemberState, MemberUpdate, Metadata, Node, Reachability};

use super::clock::Timer;
use super::control_protocol::{
    AdminError, AdminRequest, AdminResponse, MemberList, MemberRow, OwnStatus, VoterRow,
    WantedLeaseRow, to_json,
};

fn parse(line: &str) -> AdminRequest {
    serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"))
}

fn response(response: AdminResponse) -> Value {
    to_json(&Ok(response)).unwrap()
}

fn error(error: AdminError) -> Value {
    to_json(&Err(error)).unwrap()
}

fn owner(name: &str) -> Owner {
    Owner {
        name: name.into(),
        incarnation: Incarnation(7),
    }
}

fn update(name: &str) -> MemberUpdate {
    MemberUpdate {
        node: Node {
            name: name.into(),
            address: ([127, 0, 0, 1], 7100).into(),
            region: "coast".into(),
            zone: "north".into(),
            version: 1,
        },
        incarnation: tulipgap_membership::Incarnation(3),
        state: MemberState::Suspect,
        reported_by: Some("b".into()),
        metadata: Metadata::from([("store".into(), "1".into())]).into(),
        unreachable_peers: std::collections::BTreeSet::from(["c".into()]).into(),
    }
}

#[test]
fn requests_keep_the_words_of_the_control_socket() {
    assert_eq!(parse(r#"{"do":"members"}"#), AdminRequest::Members);
    assert_eq!(parse(r#"{"do":"own"}"#), AdminRequest::Own);
    assert_eq!(parse(r#"{"do":"drain"}"#), AdminRequest::Drain);
    assert_eq!(
        parse(r#"{"do":"leases"}"#),
        AdminRequest::Leases { lease: None }
    );
    assert_eq!(
        parse(r#"{"do":"leases","lease":"x"}"#),
        AdminRequest::Leases {
            lease: Some("x".into())
        }
    );
    let acquire = AdminRequest::Acquire {
        lease: "x".into(),
        ttl_ms: 2000,
        capacity: 3,
    };
    assert_eq!(
        parse(r#"{"do":"take","lease":"x","term_ms":2000,"places":3}"#),
        acquire
    );
    assert_eq!(
        parse(r#"{"do":"release","lease":"x"}"#),
        AdminRequest::Release { lease: "x".into() }
    );
    let revoke = AdminRequest::Revoke {
        lease: "x".into(),
        token: 5,
    };
    assert_eq!(parse(r#"{"do":"revoke","lease":"x","token":5}"#), revoke);
    let transfer = AdminRequest::Transfer {
        lease: "x".into(),
        token: 5,
        to: "b".into(),
    };
    assert_eq!(
        parse(r#"{"do":"transfer","lease":"x","token":5,"to":"b"}"#),
        transfer
    );
    let replace = AdminRequest::ReplaceVoter {
        old: "a".into(),
        new: "b".into(),
    };
    assert_eq!(parse(r#"{"do":"replace","old":"a","new":"b"}"#), replace);
}

#[test]
fn requests_with_other_words_are_rejected() {
    for line in [
        "",
        r#"{"do":"hop"}"#,
        r#"{"do":"acquire","lease":"x","ttl_ms":1,"capacity":1}"#,
        r#"{"do":"take","lease":"x","ttl_ms":1,"capacity":1}"#,
        r#"{"do":"release","lease":"x","token":1}"#,
    ] {
        assert!(
            serde_json::from_str::<AdminRequest>(line).is_err(),
            "{line}"
        );
    }
}

#[test]
fn short_responses_keep_the_words_of_the_control_socket() {
    assert_eq!(response(AdminResponse::DONE), json!({ "done": true }));
    assert_eq!(response(AdminResponse::REQUESTED), json!({ "asked": true }));
    assert_eq!(
        response(AdminResponse::acquiring("x")),
        json!({ "wanted": true, "lease": "x" })
    );
}

#[test]
fn errors_keep_the_texts_of_the_control_socket() {
    let timeout = Duration::from_secs(5);
    for (cause, text) in [
        (AdminError::NoResponse, "no answer"),
        (AdminError::NoVoters, "this cluster has no voters"),
        (AdminError::TooManyPending, "too many ask already"),
        (
            AdminError::NoLeaderResponse { timeout },
            "no voter that leads has answered in 5 s",
        ),
        (
            AdminError::NoDrainLease,
            "the block cluster has no block drain",
        ),
        (
            AdminError::Rejected(RejectReason::StaleToken),
            "nobody holds it with that token",
        ),
    ] {
        assert_eq!(error(cause), json!({ "error": text }));
    }
}

#[test]
fn lease_list_keeps_the_words_of_the_control_socket() {
    let renewal = RenewalNumber::default();
    let lease = Lease {
        spec: LeaseSpec {
            ttl: Duration::from_secs(2),
            capacity: 1,
        },
        holders: vec![LeaseHolder {
            owner: owner("a"),
            token: FencingToken(4),
            renewal,
            revoked: true,
        }],
        queue: vec![QueuedOwner {
            owner: owner("b"),
            renewal,
        }],
    };
    let held = json!([{ "by": "a", "life": 7, "token": 4, "ends": true }]);
    let row = json!({ "lease": "x", "term_ms": 2000, "places": 1, "held": held, "queue": ["b"] });
    assert_eq!(
        response(AdminResponse::leases(&[("x".into(), lease)])),
        json!({ "leases": [row] })
    );
}

#[test]
fn own_status_keeps_the_words_of_the_control_socket() {
    let active = |announced| LeaseStatus::Active {
        token: FencingToken(4),
        valid_until: Duration::ZERO,
        announced,
    };
    let statuses = [
        LeaseStatus::Requested,
        LeaseStatus::Queued { ahead: 2 },
        active(true),
        active(false),
        LeaseStatus::Releasing {
            token: FencingToken(4),
        },
    ];
    let voter = VoterStatus {
        id: VoterId(9),
        term: 3,
        leader: None,
        applied_index: 8,
        phase: VoterPhase::Stopped,
        voters: [(VoterId(9), "a".into())].into(),
    };
    let own = OwnStatus {
        name: "a".into(),
        wanted: statuses
            .map(|status| WantedLeaseRow::new(&"x".into(), status))
            .into(),
        voter: Some(VoterRow::from(voter)),
        dropped_frames: 1,
    };
    let wanted = json!([
        { "lease": "x", "held": false },
        { "lease": "x", "held": false, "ahead": 2 },
        { "lease": "x", "held": true, "token": 4 },
        { "lease": "x", "held": false },
        { "lease": "x", "held": false },
    ]);
    let voter = json!({ "phase": "set back", "term": 3, "leader": null, "applied": 8, "id": 9, "voters": ["a"] });
    let expected = json!({ "name": "a", "wanted": wanted, "voter": voter, "dropped_frames": 1 });
    assert_eq!(response(AdminResponse::Own(own)), expected);
}

#[test]
fn member_list_keeps_the_words_of_the_control_socket() {
    let now = Duration::from_secs(10);
    let record = |reachability| MemberRecord {
        update: update("a"),
        state_since: Duration::from_millis(8500),
        suspected_by: vec!["b".into()],
        reachability,
    };
    let row = |reach: &str| {
        json!({ "name": "a", "address": "127.0.0.1:7100", "region": "coast", "zone": "north",
            "state": "suspect", "incarnation": 3, "by": "b", "facts": { "store": "1" }, "unheard": ["c"],
            "reach": reach })
    };
    let words = [
        (Reachability::Reachable, "heard"),
        (Reachability::AsymmetricPartition, "oneway"),
        (Reachability::IndirectOnly, "through"),
        (Reachability::Unreachable, "nobody"),
    ];
    let mut members = vec![MemberRow::local(&update("a"))];
    let mut rows = vec![row("itself")];
    for (reachability, word) in words {
        members.push(MemberRow::remote(now, &record(reachability)));
        let mut expected = row(word);
        expected["suspected_by"] = json!(["b"]);
        expected["for_s"] = json!(1.5);
        rows.push(expected);
    }
    let list = MemberList {
        members,
        health_score: 2,
        ignored_updates: 6,
    };
    let expected = json!({ "members": rows, "badly": 2, "odd": 6 });
    assert_eq!(response(AdminResponse::Members(list)), expected);
}

#[test]
fn timer_is_due_at_the_earliest_time_and_once() {
    let [early, late] = [1, 2].map(Duration::from_secs);
    let mut timer = Timer::default();
    assert!(
        !timer.take_if_due(late),
        "a timer that is not set is never due"
    );
    timer.set_earliest(late);
    timer.set_earliest(early);
    timer.set_earliest(late);
    assert_eq!(timer.at(), Some(early));
    assert!(!timer.take_if_due(early - Duration::from_nanos(1)));
    assert!(timer.take_if_due(early));
    assert_eq!(timer.at(), None);
    assert!(Timer::due_at(Duration::ZERO).take_if_due(Duration::ZERO));
}
