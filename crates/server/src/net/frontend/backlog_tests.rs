//! The bound on the time until a backlog is answered, and its length as the system tells it.

use std::net::TcpStream;
use std::time::Duration;

use may::net::TcpListener;

use super::{Backlog, CONNECTION_TIME, REQUEST_TIME, TURNOVER, waiting_connections};

fn backlog(waiting: usize, places: usize) -> Backlog {
    Backlog { waiting, places }
}

#[test]
fn a_backlog_is_answered_in_the_time_of_its_connections_and_of_their_requests() {
    let one = CONNECTION_TIME + REQUEST_TIME * 32;
    assert_eq!(backlog(0, 96).answer_bound(), Duration::ZERO);
    assert_eq!(backlog(1, 96).answer_bound(), one);
    assert_eq!(backlog(97, 96).answer_bound(), one * 97);
}

#[test]
fn a_backlog_is_acknowledged_in_a_turnover_for_each_round_of_the_places_and_one_more() {
    let turnovers = |waiting, places| {
        let backlog = backlog(waiting, places);
        backlog.acknowledged_bound() - backlog.answer_bound()
    };
    assert_eq!(turnovers(0, 96), Duration::ZERO);
    assert_eq!(turnovers(1, 96), TURNOVER * 2);
    assert_eq!(turnovers(96, 96), TURNOVER * 2);
    assert_eq!(turnovers(97, 96), TURNOVER * 3);
}

#[test]
fn a_backlog_without_places_or_beyond_all_numbers_has_a_bound() {
    let without_places = backlog(3, 0);
    let turnovers = without_places.acknowledged_bound() - without_places.answer_bound();
    assert_eq!(turnovers, TURNOVER * 4);
    assert_eq!(backlog(usize::MAX, 1).answer_bound(), Duration::MAX);
    assert_eq!(backlog(usize::MAX, 1).acknowledged_bound(), Duration::MAX);
}

#[test]
fn connections_that_wait_are_counted_until_they_are_accepted() {
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
