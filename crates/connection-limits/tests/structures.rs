//! Model-based tests of the limiter's data structures, with random input and models from the
//! standard library. Guards against lost or misplaced entries, for example after a removal.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use quickcheck::quickcheck;
use tulipgap_connection_limits::{
    DescriptorBudget, DescriptorOwner, NetworkCounts, NetworkPrefix, RateSketch, Reservation,
    TimerWheel,
};

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn v4(a: u8, b: u8, c: u8, d: u8) -> IpAddr {
    Ipv4Addr::new(a, b, c, d).into()
}

quickcheck! {
    fn network_counts_match_a_hash_map(steps: Vec<(u8, bool)>) -> bool {
        let (mut counts, mut model) = (NetworkCounts::new(20, 3), HashMap::<NetworkPrefix, u32>::new());
        for (host, is_increment) in steps {
            let key = NetworkPrefix::of_address(v4(10, 0, 0, host % 32));
            if is_increment {
                let fits = model.contains_key(&key) || model.len() < 20;
                assert_eq!(counts.increment(key), fits);
                if fits {
                    *model.entry(key).or_default() += 1;
                }
            } else {
                counts.decrement(key);
                match model.get_mut(&key) {
                    Some(count) if *count > 1 => *count -= 1,
                    _ => drop(model.remove(&key)),
                }
            }
        }
        assert_eq!(counts.network_count(), model.len());
        (0..32).all(|host| {
            let key = NetworkPrefix::of_address(v4(10, 0, 0, host));
            counts.get(key) == model.get(&key).copied().unwrap_or(0)
        })
    }

    fn timer_wheel_expires_the_same_deadlines_as_an_ordered_map(steps: Vec<(u8, u32, bool)>) -> bool {
        let (mut wheel, mut model) = (TimerWheel::new(ms(1)), BTreeMap::<usize, u64>::new());
        let mut now = 0u64;
        for (index, span, is_set) in steps {
            let span = u64::from(span >> (u32::from(index) % 32));
            if is_set {
                wheel.set(usize::from(index), ms(now + span));
                model.insert(usize::from(index), now + span);
            } else {
                now += span;
                let mut expired = Vec::new();
                wheel.advance(ms(now), &mut expired);
                expired.sort_unstable();
                // A deadline in the past expires with the next tick.
                let has_passed = |at: u64| at <= now && span > 0;
                let expected: Vec<usize> =
                    model.iter().filter(|(_, at)| has_passed(**at)).map(|(&index, _)| index).collect();
                assert_eq!(expired, expected, "at {now}");
                model.retain(|_, at| !has_passed(*at));
            }
            assert_eq!(wheel.pending(), model.len());
            assert!(model.is_empty() || wheel.next_deadline().is_some_and(|next| {
                next <= ms((*model.values().min().unwrap()).max(now + 1))
            }));
        }
        true
    }

    fn rate_sketch_never_estimates_too_low(keys: Vec<u8>, span: u16) -> bool {
        let mut sketch = RateSketch::new(ms(3000), 64, 5);
        let mut model: HashMap<u8, u32> = HashMap::new();
        for (at, key) in keys.iter().enumerate() {
            let now = ms(at as u64 * u64::from(span) / 1000 % 3000);
            *model.entry(*key).or_default() += 1;
            assert!(sketch.record(now, NetworkPrefix::of_address(v4(10, 1, 1, *key))) >= 1);
        }
        let now = ms(keys.len() as u64 * u64::from(span) / 1000 % 3000);
        model.iter().all(|(&key, &count)| {
            let estimate = sketch.estimate(now.min(ms(2999)), NetworkPrefix::of_address(v4(10, 1, 1, key)));
            estimate >= count || keys.len() as u64 * u64::from(span) / 1000 >= 3000
        })
    }

    fn descriptor_budget_never_exceeds_its_limit(steps: Vec<(u8, bool)>, own: u8, store: u8) -> bool {
        let reservations = [
            Reservation { owner: DescriptorOwner::Process, descriptors: usize::from(own % 8) },
            Reservation { owner: DescriptorOwner::Store, descriptors: usize::from(store % 8) },
        ];
        let mut budget = DescriptorBudget::new(20, &reservations).unwrap();
        for (owner, acquire) in steps {
            let owner = DescriptorOwner::ALL[usize::from(owner) % DescriptorOwner::ALL.len()];
            if acquire {
                budget.try_acquire(owner);
            } else if budget.in_use(owner) > 0 {
                budget.release(owner);
            }
            assert!(budget.total_in_use() <= 20);
            // An owner can always take the rest of its reservation.
            for Reservation { owner, descriptors } in reservations {
                let in_use = budget.in_use(owner);
                assert!(in_use >= descriptors || budget.available(owner) >= descriptors - in_use);
            }
        }
        DescriptorBudget::new(3, &[Reservation { owner: DescriptorOwner::Process, descriptors: 4 }]).is_err()
    }
}

#[test]
fn networks_are_parsed_and_malformed_ones_rejected() {
    let network: NetworkPrefix = "10.1.0.0/16".parse().unwrap();
    assert!(network.contains(v4(10, 1, 200, 3)) && !network.contains(v4(10, 2, 0, 1)));
    // The IPv6-mapped form of an address belongs to the same network.
    assert!(network.contains("::ffff:10.1.2.3".parse().unwrap()));
    let v6: NetworkPrefix = "2001:db8::/32".parse().unwrap();
    assert!(
        v6.contains("2001:db8:5::1".parse().unwrap())
            && !v6.contains("2001:db9::1".parse().unwrap())
    );
    for malformed in [
        "10.1.0.0/33",
        "10.1.2.3/16",
        "nowhere",
        "10.1/16",
        "::/129",
        "10.0.0.0/x",
    ] {
        assert!(malformed.parse::<NetworkPrefix>().is_err(), "{malformed}");
    }
}
