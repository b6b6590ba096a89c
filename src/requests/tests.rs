//! Tests of the deadlines and of the counts of the request table.

use std::time::Duration;

use super::{ArrivalTimes, Deadlines, Request, RequestTable, Stage};
use crate::handlers::handler_profiles;
use crate::tests::config;

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn deadlines(client_wait: Option<Duration>, objective_stretch: f64) -> Deadlines {
    let mut config = config();
    config.handlers[0].objective_stretch = objective_stretch;
    let (handlers, _) = handler_profiles(&config);
    let times = ArrivalTimes {
        now: ms(10_500),
        arrived_at: ms(10_000),
        client_wait,
    };
    Deadlines::new(&handlers[0], &times, 0.25)
}

#[test]
fn the_deadline_counts_from_the_arrival_unless_the_caller_states_it() {
    assert_eq!(deadlines(None, 0.0).deadline, ms(13_000));
    assert_eq!(deadlines(Some(ms(700)), 0.0).deadline, ms(11_200));
}

#[test]
fn the_objective_grows_with_the_work_up_to_the_deadline() {
    assert_eq!(deadlines(None, 0.0).objective_at, ms(11_000));
    assert_eq!(deadlines(None, 4.0).objective_at, ms(12_000));
    assert_eq!(deadlines(None, 100.0).objective_at, ms(13_000));
    assert_eq!(deadlines(Some(ms(200)), 4.0).objective_at, ms(10_700));
}

#[test]
fn the_table_counts_requests_by_stage_until_they_are_removed() {
    let mut requests = RequestTable::default();
    for index in 0..3 {
        requests.insert(index, Request::default());
        requests.enter_core(index, 1.0);
    }
    requests.leave_core(0, 1.5);
    requests.await_call(0);
    requests.leave_core(1, 2.0);
    requests.await_call(1);
    requests.start_call(1);
    assert_eq!(requests[1].core_seconds, 1.0);
    assert_eq!(requests[2].core_seconds_so_far(4.0), 3.0);
    assert_eq!((requests.running(), requests.calling()), (1, 1));
    assert_eq!(requests.awaiting_call(), [0]);
    assert_eq!(requests.started(), 3);
    assert_eq!(requests.in_stage(Stage::Calling).count(), 1);
    for index in 0..3 {
        assert!(requests.remove(index).is_some());
        assert!(requests.remove(index).is_none());
    }
    assert_eq!(requests.started(), 0);
}
