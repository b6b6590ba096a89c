use std::net::SocketAddr;

use super::{TICK, address, names, recipient, seconds};
use crate::anti_entropy::{Candidates, PushPullSchedule, choose_partners};

/// The addresses of this node and of a live member, and two at which no member is known.
fn seeds() -> [SocketAddr; 4] {
    [1, 2, 8, 9].map(address)
}

fn candidates(seeds: &[SocketAddr], has_joined: bool) -> Candidates<'_> {
    Candidates {
        live: vec![recipient("b", 2), recipient("c", 3)],
        dead: vec![recipient("d", 4)],
        seeds,
        local_address: address(1),
        has_joined,
    }
}

#[test]
fn joined_node_selects_one_live_member_and_one_contact() {
    let seeds = seeds();
    let (mut live_seen, mut rejoin_seen) = (Vec::new(), Vec::new());
    for seed in 0..100 {
        let partners = choose_partners(
            candidates(&seeds, true),
            &mut fastrand::Rng::with_seed(seed),
        );
        live_seen.push(partners.live.unwrap().address);
        assert_eq!(partners.rejoin.len(), 1);
        rejoin_seen.push(partners.rejoin[0].address);
    }
    live_seen.sort();
    live_seen.dedup();
    assert_eq!(live_seen, [address(2), address(3)]);
    rejoin_seen.sort();
    rejoin_seen.dedup();
    assert_eq!(rejoin_seen, [address(4), address(8), address(9)]);
}

/// Guards against a node in a partitioned zone that does not join its zone: it tried one seed at a
/// time, each for a whole interval, and its attempts went to seeds on the other side of the
/// partition. It now contacts all of them, so one that answers is enough.
#[test]
fn node_that_has_not_joined_tries_every_dead_member_and_unknown_seed() {
    let seeds = seeds();
    let mut rng = fastrand::Rng::with_seed(1);
    let partners = choose_partners(candidates(&seeds, false), &mut rng);
    assert_eq!(names(&partners.rejoin), ["d", "", ""]);
    let addresses: Vec<_> = (partners.rejoin.iter()).map(|to| to.address).collect();
    assert_eq!(addresses, [address(4), address(8), address(9)]);
}

/// Guards against a live member that the others keep as dead: its address was also that of a seed,
/// and a seed is only sent a join request. The member did not learn that it was declared dead, so
/// it did not refute the death.
#[test]
fn dead_member_at_the_address_of_a_seed_is_contacted_only_by_its_name() {
    let seeds = [1, 4, 8].map(address);
    for seed in 0..100 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let partners = choose_partners(candidates(&seeds, true), &mut rng);
        let [contact] = &partners.rejoin[..] else {
            panic!("expected one contact");
        };
        assert_eq!(contact.name.is_some(), contact.address == address(4));
    }
    let mut rng = fastrand::Rng::with_seed(1);
    let partners = choose_partners(candidates(&seeds, false), &mut rng);
    assert_eq!(names(&partners.rejoin), ["d", ""]);
}

#[test]
fn node_without_contacts_has_no_partner() {
    let alone = Candidates {
        live: Vec::new(),
        dead: Vec::new(),
        seeds: &[],
        local_address: address(1),
        has_joined: true,
    };
    let partners = choose_partners(alone, &mut fastrand::Rng::with_seed(1));
    assert!(partners.live.is_none() && partners.rejoin.is_empty());
}

#[test]
fn exchange_is_due_at_its_time_and_always_before_the_node_has_joined() {
    let mut schedule = PushPullSchedule::default();
    schedule.start_at(seconds(5));
    assert!(!schedule.is_due(seconds(5) - TICK, true));
    assert!(schedule.is_due(seconds(5) - TICK, false));
    assert!(schedule.is_due(seconds(5), true));
}

#[test]
fn next_exchange_is_three_quarters_to_five_quarters_of_the_interval_away() {
    for seed in 0..100 {
        let mut schedule = PushPullSchedule::default();
        let mut rng = fastrand::Rng::with_seed(seed);
        schedule.plan_next(seconds(10), seconds(4), &mut rng);
        assert!(!schedule.is_due(seconds(13) - TICK, true));
        assert!(schedule.is_due(seconds(15), true));
    }
}
