//! Individual cases of the client and of the replicated state machine.

use std::time::Duration;

use tulipgap_leases::{
    Action, Command, Config, Event, FencingToken, Incarnation, LeaseClient, LeaseSpec,
    LeaseStateMachine, LossReason, Name, Owner, RejectReason, RequestId, Response,
};

fn client(incarnation: u64) -> LeaseClient {
    let owner = Owner {
        name: "a".into(),
        incarnation: Incarnation(incarnation),
    };
    let config = Config {
        max_clock_drift_permille: 50,
        jitter_permille: 0,
    };
    LeaseClient::new(owner, vec!["v".into(), "w".into()], config, 1)
}

fn acquire(client: &mut LeaseClient, lease: &str) -> RequestId {
    let spec = LeaseSpec {
        ttl: Duration::from_secs(2),
        capacity: 1,
    };
    let event = Event::Acquire {
        lease: lease.into(),
        spec,
        max_operation: Duration::ZERO,
        wait: true,
    };
    sent_requests(&client.handle_event(Duration::ZERO, event))[0].1
}

fn sent_requests(actions: &[Action]) -> Vec<(Name, RequestId)> {
    let sent = |action: &Action| match action {
        Action::Send { to, request, .. } => Some((to.clone(), *request)),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

fn granted(incarnation: u64, request: RequestId, token: u64) -> Event {
    let response = Response::Granted {
        token: FencingToken(token),
    };
    Event::Response {
        incarnation: Incarnation(incarnation),
        request,
        response,
    }
}

/// Request ids restart in each run, and a leader may apply a request of an earlier run late. The
/// client took its response for the response to a request of the present run, and held a lease that
/// the voters had not granted to it.
#[test]
fn a_response_to_an_earlier_incarnation_is_ignored() {
    let mut client = client(2);
    let request = acquire(&mut client, "x");
    client.handle_event(Duration::from_millis(5), granted(1, request, 4));
    assert!(client.acquire_guard(Duration::from_millis(6), "x").is_err());
    client.handle_event(Duration::from_millis(7), granted(2, request, 4));
    assert!(client.acquire_guard(Duration::from_millis(8), "x").is_ok());
}

/// Requests that were lost in a partition stayed pending indefinitely and made a client ignore
/// every leader hint.
#[test]
fn a_leader_hint_is_followed_after_lost_requests() {
    let mut client = client(1);
    let mut last = acquire(&mut client, "x");
    for at in 1..9 {
        let actions = client.handle_event(Duration::from_millis(400 * at), Event::TimerElapsed);
        if let Some((_, request)) = sent_requests(&actions).last() {
            last = *request;
        }
    }
    let now = Duration::from_secs(4);
    client.handle_event(
        now,
        Event::NotLeader {
            request: last,
            leader: Some("w".into()),
        },
    );
    let next =
        sent_requests(&client.handle_event(now + Duration::from_millis(20), Event::TimerElapsed));
    assert_eq!(&*next[0].0, "w");
}

#[test]
fn a_clock_that_goes_backwards_makes_every_guard_stale() {
    let mut client = client(1);
    let request = acquire(&mut client, "x");
    client.handle_event(Duration::from_millis(500), granted(1, request, 1));
    let guard = client
        .acquire_guard(Duration::from_millis(600), "x")
        .unwrap();
    assert!(
        client
            .check_guard(Duration::from_millis(400), &guard)
            .is_err(),
        "before the next event"
    );
    let actions = client.handle_event(Duration::from_millis(400), Event::TimerElapsed);
    let is_lost = |action: &Action| {
        matches!(
            action,
            Action::Lost {
                reason: LossReason::ClockWentBackwards,
                ..
            }
        )
    };
    assert!(actions.iter().any(is_lost), "{actions:?}");
    assert!(
        client
            .check_guard(Duration::from_millis(650), &guard)
            .is_err()
    );
}

#[test]
fn names_ttls_and_capacities_outside_their_limits_are_rejected() {
    let mut client = client(1);
    let mut is_rejected = |lease: &str, ttl_ms: u64, capacity: u32, max_operation_ms: u64| {
        let spec = LeaseSpec {
            ttl: Duration::from_millis(ttl_ms),
            capacity,
        };
        let max_operation = Duration::from_millis(max_operation_ms);
        let event = Event::Acquire {
            lease: lease.into(),
            spec,
            max_operation,
            wait: true,
        };
        matches!(
            client.handle_event(Duration::ZERO, event)[..],
            [
                Action::Rejected {
                    reason: RejectReason::Invalid,
                    ..
                },
                ..
            ]
        )
    };
    assert!(is_rejected("", 2000, 1, 0));
    assert!(is_rejected(&"x".repeat(65), 2000, 1, 0));
    assert!(is_rejected("x", 100, 1, 0));
    assert!(is_rejected("x", 2000, 0, 0));
    assert!(is_rejected("x", 2000, 1001, 0));
    assert!(is_rejected("x", 2000, 1, 1000));
    let mut state = LeaseStateMachine::default();
    let owner = Owner {
        name: "x".repeat(65).into(),
        incarnation: Incarnation(1),
    };
    let ttl = Duration::from_secs(1);
    let acquire = Command::Acquire {
        lease: "l".into(),
        owner,
        ttl,
        capacity: 1,
        wait: true,
    };
    assert_eq!(
        state.apply(&acquire),
        Response::Rejected(RejectReason::Invalid)
    );
}

/// Each of 1000 leases is held by the first three of 300 owners; all other owners are queued in the
/// order of their requests.
#[test]
fn a_thousand_leases_are_granted_in_queue_order_to_three_hundred_owners() {
    let mut state = LeaseStateMachine::default();
    let owner = |at: usize| Owner {
        name: format!("a{at}").into(),
        incarnation: Incarnation(1),
    };
    let acquire = |lease: usize, at: usize| Command::Acquire {
        lease: format!("l{lease}").into(),
        owner: owner(at),
        ttl: Duration::from_secs(2),
        capacity: 3,
        wait: true,
    };
    for at in 0..300 {
        for lease in 0..1000 {
            let response = state.apply(&acquire(lease, at));
            match at {
                0..3 => assert!(matches!(response, Response::Granted { .. })),
                _ => assert_eq!(
                    response,
                    Response::Queued {
                        ahead: at as u32 - 3
                    }
                ),
            }
        }
    }
    // A released slot goes to the first owner in the queue and to no later one.
    let first = state.lease("l0").unwrap().holders[0].clone();
    let release = Command::Release {
        lease: "l0".into(),
        owner: first.owner,
        token: Some(first.token),
    };
    state.apply(&release);
    assert!(matches!(
        state.apply(&acquire(0, 4)),
        Response::Queued { ahead: 1 }
    ));
    assert!(matches!(
        state.apply(&acquire(0, 3)),
        Response::Granted { .. }
    ));
}
