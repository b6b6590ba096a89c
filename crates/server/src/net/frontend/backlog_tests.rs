//! The bounds on the time to answer a backlog, and the length that the system reports.

use std::net::TcpStream;
use std::time::Duration;

use may::net::TcpListener;

use super::{Backlog, CONNECTION_TIME, REQUEST_TIME, SLOT_TURNOVER_TIME, waiting_connections};

fn backlog(waiting: usize, slots: usize) -> Backlog {
    Backlog { waiting, slots }
}

#[test]
fn answer_bound_grows_with_connections_and_their_requests() {
    let one = CONNECTION_TIME + REQUEST_TIME * 32;
    assert_eq!(backlog(0, 96).answer_bound(), Duration::ZERO);
    assert_eq!(backlog(1, 96).answer_bound(), one);
    assert_eq!(backlog(97, 96).answer_bound(), one * 97);
}

#[test]
fn acknowledged_bound_adds_a_turnover_for_each_round_of_slots_and_one_more() {
    let turnovers = |waiting, slots| {
        let backlog = backlog(waiting, slots);
        backlog.acknowledged_bound() - backlog.answer_bound()
    };
    assert_eq!(turnovers(0, 96), Duration::ZERO);
    assert_eq!(turnovers(1, 96), SLOT_TURNOVER_TIME * 2);
    assert_eq!(turnovers(96, 96), SLOT_TURNOVER_TIME * 2);
    assert_eq!(turnovers(97, 96), SLOT_TURNOVER_TIME * 3);
}

#[test]
fn bounds_saturate_without_slots_or_with_a_huge_backlog() {
    let without_slots = backlog(3, 0);
    let turnovers = without_slots.acknowledged_bound() - without_slots.answer_bound();
    assert_eq!(turnovers, SLOT_TURNOVER_TIME * 4);
    assert_eq!(backlog(usize::MAX, 1).answer_bound(), Duration::MAX);
    assert_eq!(backlog(usize::MAX, 1).acknowledged_bound(), Duration::MAX);
}

#[test]
fn backlog_length_counts_connections_until_they_are_accepted() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    assert_eq!(waiting_connections(&listener), Some(0));
    let _waiting: Vec<TcpStream> = (0..3)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    assert_eq!(waiting_connections(&listener), Some(3));
    drop(listener.inner().accept().unwrap());
    assert_eq!(waiting_connections(&listener), Some(2));
}
