//! The bound on the time until a backlog is answered, and its length as the system tells it.

use std::net::TcpStream;
use std::time::Duration;

use may::net::TcpListener;

use super::{Backlog, TURNOVER, waiting_connections};

fn answer_bound(waiting: usize, places: usize) -> Duration {
    Backlog { waiting, places }.answer_bound()
}

#[test]
fn a_backlog_is_answered_in_a_turnover_for_each_round_of_the_places_and_one_more() {
    assert_eq!(answer_bound(0, 96), Duration::ZERO);
    assert_eq!(answer_bound(1, 96), TURNOVER * 2);
    assert_eq!(answer_bound(96, 96), TURNOVER * 2);
    assert_eq!(answer_bound(97, 96), TURNOVER * 3);
}

#[test]
fn a_backlog_without_places_or_beyond_all_numbers_has_a_bound() {
    assert_eq!(answer_bound(3, 0), TURNOVER * 4);
    assert_eq!(answer_bound(usize::MAX, 1), Duration::MAX);
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
