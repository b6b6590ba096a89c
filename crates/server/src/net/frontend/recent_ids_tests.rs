use super::{MAX_ARRIVED_IDS, MAX_STARTED_IDS, RecentIds};

/// Guards against a second run of a request: the ids of rejected requests displaced that of a
/// request that had run.
#[test]
fn ids_of_requests_that_were_not_started_displace_no_id_of_one_that_was() {
    let mut ids = RecentIds::default();
    assert!(ids.insert(0));
    ids.record_start(0);
    assert!((1..=2 * MAX_ARRIVED_IDS as u64).all(|id| ids.insert(id)));
    assert!(!ids.insert(0));
}

/// Guards against memory that grows with the number of requests.
#[test]
fn the_oldest_ids_are_forgotten() {
    let mut ids = RecentIds::default();
    let last = MAX_ARRIVED_IDS.max(MAX_STARTED_IDS) as u64;
    for id in 0..=last {
        assert!(ids.insert(id));
        ids.record_start(id);
    }
    assert!(!ids.insert(1), "one of the last ids");
    assert!(ids.insert(0), "the oldest id");
    assert_eq!(ids.arrived.known.len(), MAX_ARRIVED_IDS);
    assert_eq!(ids.started.known.len(), MAX_STARTED_IDS);
}
