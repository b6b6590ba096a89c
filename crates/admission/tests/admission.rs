//! The decisions on connections, against a plain model: whatever comes, in whatever order, the ledger holds, reserves
//! are kept, nothing with an open req is ended, and each connection is open or was given a reason.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, quickcheck};
use tulipgap_admission::*;

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn v4(a: u8, b: u8, c: u8, d: u8) -> IpAddr {
    Ipv4Addr::new(a, b, c, d).into()
}

fn terms() -> Terms {
    Terms {
        descriptors: 60,
        reserves: vec![(Part::Own, 6), (Part::Store, 4), (Part::KnownClients, 10)],
        caps: Some([Cap { open: 8, rate: 10 }, Cap { open: 24, rate: 30 }, Cap { open: 40, rate: 60 }]),
        when_full: WhenFull::Refuse,
        listed: Vec::new(),
        half_life: Duration::from_secs(60),
        message: ms(2000),
        idle: ms(5000),
        cold_part: 1.0,
        warm_up: Duration::ZERO,
    }
}

/// A host of connections that keeps its own books.
struct World {
    admission: Admission,
    now: Duration,
    /// Address, open reqs, asked, ending.
    open: BTreeMap<Conn, (IpAddr, u32, bool, bool)>,
    free: BTreeSet<Conn>,
    refused: Vec<Cause>,
    ended: Vec<(Conn, Cause)>,
    paused: Duration,
    most: usize,
}

impl World {
    fn new(terms: Terms) -> Self {
        let most = terms.descriptors;
        World {
            admission: Admission::new(terms, 1).unwrap(),
            now: Duration::ZERO,
            open: BTreeMap::new(),
            free: (0..1000).collect(),
            refused: Vec::new(),
            ended: Vec::new(),
            paused: Duration::ZERO,
            most,
        }
    }

    fn tell(&mut self, news: News) {
        let mut acts = Vec::new();
        self.admission.on(self.now, news, &mut acts);
        let mut decided = false;
        for act in acts {
            match act {
                Act::Let { conn } => {
                    let News::Came { conn: came, address } = news else { panic!("nobody came") };
                    assert!(came == conn && !std::mem::replace(&mut decided, true));
                    assert!(self.open.insert(conn, (address, 0, false, false)).is_none());
                }
                Act::Refuse { conn, cause } => {
                    assert!(matches!(news, News::Came { conn: came, .. } if came == conn));
                    assert!(!std::mem::replace(&mut decided, true));
                    self.free.insert(conn);
                    self.refused.push(cause);
                }
                Act::Ask { conn } => {
                    let asked = &mut self.open.get_mut(&conn).expect("it is open").2;
                    assert!(!std::mem::replace(asked, true), "asked once");
                }
                Act::End { conn, cause } => {
                    let one = self.open.get_mut(&conn).expect("it is open");
                    assert_eq!(one.1, 0, "nothing is open on what is ended");
                    assert!(!std::mem::replace(&mut one.3, true), "ended once");
                    self.ended.push((conn, cause));
                }
                Act::Pause { until } => self.paused = until,
                Act::Alarm { at } => assert!(at > self.now, "an alarm lies ahead"),
            }
        }
        assert_eq!(decided, matches!(news, News::Came { .. }), "each that comes is let in or refused");
        let ledger = self.admission.ledger();
        assert!(ledger.total() <= self.most);
        // The reserve for known clients is not eaten by newcomers, nor that of others.
        let others = 6 + 4 + 10;
        assert!(ledger.used(Part::Clients) <= self.most - others);
        assert_eq!(self.admission.open(), self.open.len());
    }

    fn come(&mut self, address: IpAddr) -> Option<Conn> {
        let conn = self.free.pop_first().expect("indices are enough");
        self.tell(News::Came { conn, address });
        self.open.contains_key(&conn).then_some(conn)
    }

    /// A req that is read and answered whole.
    fn serve(&mut self, conn: Conn) {
        for news in [News::Message { conn }, News::Opened { conn }] {
            self.tell(news);
        }
        self.open.get_mut(&conn).unwrap().1 += 1;
        self.open.get_mut(&conn).unwrap().1 -= 1;
        self.tell(News::Answered { conn, whole: true });
    }

    fn close(&mut self, conn: Conn) {
        self.open.remove(&conn);
        self.free.insert(conn);
        self.tell(News::Closed { conn });
    }

    /// Lets time pass; what is ended or asked closes at once, if its caller is polite.
    fn pass(&mut self, span: Duration) {
        let to = self.now + span;
        while self.now < to {
            self.now = (self.now + ms(10)).min(to);
            self.tell(News::Alarm);
            self.see_off();
        }
    }

    fn see_off(&mut self) {
        let ending: Vec<Conn> = self.open.iter().filter(|(_, one)| one.3).map(|(&conn, _)| conn).collect();
        ending.into_iter().for_each(|conn| self.close(conn));
    }

    /// Has an address become known.
    fn earn(&mut self, address: IpAddr) -> Conn {
        let conn = self.come(address).unwrap();
        for _ in 0..8 {
            self.serve(conn);
            self.pass(ms(400));
        }
        conn
    }
}

#[test]
fn one_address_has_its_cap_and_others_get_in() {
    let mut world = World::new(terms());
    let bad = v4(127, 9, 9, 9);
    let let_in = (0..5000).filter(|_| world.come(bad).is_some()).count();
    assert_eq!(let_in, 8);
    assert_eq!(world.refused.len(), 4992);
    assert!(world.refused.iter().all(|&cause| cause == Cause::AddressOpen));
    assert!((1..20).all(|host| world.come(v4(127, host, 1, 1)).is_some()));
}

#[test]
fn openings_in_a_row_are_bounded_by_rate_and_the_bound_passes() {
    let mut world = World::new(terms());
    let bad = v4(127, 9, 9, 9);
    let mut let_in = 0;
    for _ in 0..200 {
        if let Some(conn) = world.come(bad) {
            let_in += 1;
            world.close(conn);
        }
    }
    assert_eq!(let_in, 30, "three seconds' worth");
    assert!(world.refused.iter().all(|&cause| cause == Cause::AddressRate));
    world.pass(ms(5000));
    assert!(world.come(bad).is_some(), "who was refused does not stay so by having tried");
}

#[test]
fn networks_have_caps_of_their_own() {
    let mut world = World::new(terms());
    let let_in = (0..200).filter(|&host| world.come(v4(127, 1, 1, host)).is_some()).count();
    assert_eq!(let_in, 24);
    assert!(world.refused.iter().all(|&cause| cause == Cause::NetworkOpen), "{:?}", world.refused);
    // A /64 is as one address is to others: its owner has all of it.
    let mut world = World::new(terms());
    let v6 = |last: u16| Ipv6Addr::new(0x2001, 0xdb8, 1, 1, 0, 0, 0, last).into();
    assert_eq!((0..200).filter(|&last| world.come(v6(last)).is_some()).count(), 24);
}

#[test]
fn known_clients_get_in_while_newcomers_fill_all_that_is_theirs() {
    let mut world = World::new(terms());
    let friend = v4(127, 1, 1, 1);
    let conn = world.earn(friend);
    world.close(conn);
    // Newcomers from everywhere, none of whom says a word.
    for host in 0..200u8 {
        world.come(v4(127, 100 + host % 100, host, 1));
    }
    assert!(world.refused.contains(&Cause::Full));
    for _ in 0..8 {
        assert!(world.come(friend).is_some(), "{:?}", world.refused.last());
    }
}

#[test]
fn nobody_is_known_for_what_was_done_in_a_moment_or_long_ago() {
    let mut world = World::new(terms());
    let quick = v4(127, 1, 1, 1);
    let conn = world.come(quick).unwrap();
    (0..100).for_each(|_| world.serve(conn));
    world.close(conn);
    let old = v4(127, 2, 2, 2);
    let conn = world.earn(old);
    world.close(conn);
    let full = |world: &mut World| {
        for host in 0..200u8 {
            world.come(v4(127, 100 + host % 100, host, 1));
        }
    };
    full(&mut world);
    assert!(world.come(quick).is_none(), "a burst of one moment buys nothing");
    assert!(world.come(old).is_some());
    world.pass(Duration::from_secs(300));
    full(&mut world);
    assert!(world.come(old).is_none(), "standing fades");
}

#[test]
fn a_known_client_that_turns_bad_is_a_newcomer_again() {
    let mut world = World::new(terms());
    let friend = v4(127, 1, 1, 1);
    let conn = world.earn(friend);
    world.tell(News::Fault { conn });
    world.close(conn);
    for host in 0..200u8 {
        world.come(v4(127, 100 + host % 100, host, 1));
    }
    assert!(world.come(friend).is_none());
}

#[test]
fn listed_networks_are_known_from_the_start() {
    let mut world = World::new(Terms { listed: vec!["127.7.0.0/16".parse().unwrap()], ..terms() });
    for host in 0..200u8 {
        world.come(v4(127, 100 + host % 100, host, 1));
    }
    assert!(world.come(v4(127, 7, 3, 9)).is_some() && world.come(v4(127, 8, 3, 9)).is_none());
}

#[test]
fn what_gives_way_goes_by_the_order_that_is_written_down() {
    // Without caps and with long deadlines, so that only places count.
    let minute = Duration::from_secs(60);
    let mut world = World::new(Terms { caps: None, message: minute, idle: minute, ..terms() });
    let friend = world.earn(v4(127, 1, 1, 1));
    world.close(friend);
    let known = world.come(v4(127, 1, 1, 1)).unwrap();
    world.serve(known);
    let busy = world.come(v4(127, 2, 1, 1)).unwrap();
    world.tell(News::Message { conn: busy });
    world.tell(News::Opened { conn: busy });
    world.open.get_mut(&busy).unwrap().1 = 1;
    let idle = world.come(v4(127, 3, 1, 1)).unwrap();
    world.serve(idle);
    let half = world.come(v4(127, 4, 1, 1)).unwrap();
    world.serve(half);
    world.tell(News::Began { conn: half });
    let silent = world.come(v4(127, 5, 1, 1)).unwrap();
    world.pass(ms(1200));
    let mut order = Vec::new();
    for host in 0..250u8 {
        let Some(conn) = world.come(v4(126, host, host, 1)) else {
            world.pass(ms(70));
            order.extend(world.ended.drain(..).map(|(conn, _)| conn));
            continue;
        };
        // These are busy from the start, so that none of them goes.
        world.tell(News::Opened { conn });
        world.open.get_mut(&conn).unwrap().1 = 1;
        world.pass(ms(70));
        order.extend(world.ended.drain(..).map(|(conn, _)| conn));
    }
    assert_eq!(order, [silent, half, idle], "and neither the busy one nor, for newcomers, the known one");
    assert!(world.open.contains_key(&busy) && world.open.contains_key(&known));
}

#[test]
fn two_clients_do_not_chase_each_other_out() {
    let mut world = World::new(Terms { caps: None, ..terms() });
    // All places but a few are busy; two clients use theirs every 100 ms.
    for host in 0..38u8 {
        let conn = world.come(v4(126, host, 1, 1)).unwrap();
        world.tell(News::Opened { conn });
        world.open.get_mut(&conn).unwrap().1 = 1;
    }
    let pair: Vec<Conn> = (1..=2).map(|host| world.come(v4(127, host, 1, 1)).unwrap()).collect();
    for turn in 0..50u8 {
        pair.iter().for_each(|&conn| world.serve(conn));
        if let Some(conn) = world.come(v4(125, turn, 1, 1)) {
            world.serve(conn);
        }
        world.pass(ms(100));
    }
    assert!(
        pair.iter().all(|conn| world.open.contains_key(conn) && !world.open[conn].2),
        "{:?}",
        world.ended
    );
}

#[test]
fn a_slow_drip_ends_after_what_is_open_is_answered() {
    let mut world = World::new(terms());
    let conn = world.come(v4(127, 1, 1, 1)).unwrap();
    world.tell(News::Message { conn });
    world.tell(News::Opened { conn });
    world.open.get_mut(&conn).unwrap().1 = 1;
    world.tell(News::Began { conn });
    world.pass(ms(3000));
    assert!(world.ended.is_empty());
    world.open.get_mut(&conn).unwrap().1 = 0;
    world.tell(News::Answered { conn, whole: true });
    assert_eq!(world.ended, [(conn, Cause::Slow)]);
    // One that says nothing at all.
    let silent = world.come(v4(127, 2, 1, 1)).unwrap();
    world.pass(ms(1990));
    assert!(world.open.contains_key(&silent));
    world.pass(ms(30));
    assert!(!world.open.contains_key(&silent));
}

#[test]
fn idle_ones_are_asked_and_then_ended_and_a_shorter_time_holds_at_once() {
    let mut world = World::new(terms());
    let conn = world.come(v4(127, 1, 1, 1)).unwrap();
    world.serve(conn);
    world.pass(ms(4900));
    assert!(!world.open[&conn].2);
    world.pass(ms(200));
    assert!(world.open[&conn].2 && world.ended.is_empty());
    world.pass(ms(2100));
    assert_eq!(world.ended, [(conn, Cause::Asked)]);
    let other = world.come(v4(127, 2, 1, 1)).unwrap();
    world.serve(other);
    world.pass(ms(1000));
    world.tell(News::Idle { after: ms(500) });
    assert!(world.open[&other].2);
}

#[test]
fn without_descriptors_accepting_pauses_and_something_makes_room() {
    let mut world = World::new(terms());
    let conn = world.come(v4(127, 1, 1, 1)).unwrap();
    world.tell(News::Failed { trouble: Trouble::NoDescriptor });
    assert_eq!(world.paused, ms(20));
    assert_eq!(world.ended, [(conn, Cause::Room)]);
    world.tell(News::Failed { trouble: Trouble::Aborted });
    assert_eq!(world.paused, ms(20), "one that had gone stops nobody");
}

#[test]
fn a_cold_server_lets_in_a_part_and_spreads_it() {
    let mut world =
        World::new(Terms { caps: None, cold_part: 0.25, warm_up: Duration::from_secs(10), ..terms() });
    let one = v4(127, 1, 1, 1);
    let herd = (0..100).filter(|_| world.come(one).is_some()).count();
    assert!((5..=13).contains(&herd), "{herd}");
    assert!(world.refused.iter().all(|&cause| cause == Cause::Cold));
    for conn in world.open.keys().copied().collect::<Vec<_>>() {
        world.serve(conn);
    }
    world.pass(ms(9000));
    // Warm, nearly: most places are there, and others have theirs.
    let others = (0..30u8).filter(|&host| world.come(v4(127, 2, host, 1)).is_some()).count();
    assert!(others >= 20, "{others}");
    // A herd of many addresses finds no more than that part, either.
    let mut world =
        World::new(Terms { caps: None, cold_part: 0.25, warm_up: Duration::from_secs(10), ..terms() });
    let herd = (0..100u8).filter(|&host| world.come(v4(127, 3, host, 1)).is_some()).count();
    assert!((10..=13).contains(&herd), "{herd}");
}

#[test]
fn leaving_asks_all_and_ends_what_stays() {
    let mut world = World::new(terms());
    let conn = world.come(v4(127, 1, 1, 1)).unwrap();
    world.serve(conn);
    world.tell(News::Leave);
    assert!(world.open[&conn].2);
    let late = world.come(v4(127, 2, 1, 1)).unwrap();
    assert!(world.open[&late].2, "who comes later is asked at once");
    world.pass(ms(100));
    assert!(!world.open.contains_key(&conn));
}

#[derive(Clone, Debug)]
struct Step(u8, u8, u16);

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Step(u8::arbitrary(g), u8::arbitrary(g), u16::arbitrary(g))
    }
}

quickcheck! {
    fn whatever_comes_the_books_hold(steps: Vec<Step>, waits: bool, cold: bool) -> bool {
        let mut terms = terms();
        if waits {
            (terms.when_full, terms.caps) = (WhenFull::Wait, None);
        }
        if cold {
            (terms.cold_part, terms.warm_up) = (0.2, ms(3000));
        }
        let mut world = World::new(terms);
        for Step(what, who, span) in steps {
            let any = world.open.keys().nth(usize::from(who) % world.open.len().max(1)).copied();
            match (what % 12, any) {
                (0..=3, _) => {
                    let mut acts = Vec::new();
                    let may = world.admission.may_accept(world.now, &mut acts);
                    for act in acts {
                        match act {
                            Act::End { conn, .. } => {
                                let one = world.open.get_mut(&conn).unwrap();
                                assert!(one.1 == 0 && !std::mem::replace(&mut one.3, true));
                            }
                            Act::Ask { conn } => world.open.get_mut(&conn).unwrap().2 = true,
                            _ => {}
                        }
                    }
                    if may {
                        world.come(v4(127, who % 3, who % 7, who));
                    }
                }
                (4, Some(conn)) => world.tell(News::Began { conn }),
                (5, Some(conn)) => world.tell(News::Message { conn }),
                // What is ending reads nothing more.
                (6 | 7, Some(conn)) if !world.open[&conn].3 => {
                    world.open.get_mut(&conn).unwrap().1 += 1;
                    world.tell(News::Opened { conn });
                }
                (8, Some(conn)) if world.open[&conn].1 > 0 => {
                    world.open.get_mut(&conn).unwrap().1 -= 1;
                    world.tell(News::Answered { conn, whole: who % 2 == 0 });
                }
                (9, Some(conn)) if world.open[&conn].1 == 0 => world.close(conn),
                (10, _) => world.pass(ms(u64::from(span) / 16)),
                (11, _) if who < 16 => world.tell(News::Failed { trouble: Trouble::NoDescriptor }),
                (11, Some(conn)) => world.tell(News::Fault { conn }),
                _ => {}
            }
        }
        // All that is left ends once nothing is open on it and time passes.
        for conn in world.open.keys().copied().collect::<Vec<_>>() {
            while world.open[&conn].1 > 0 {
                world.open.get_mut(&conn).unwrap().1 -= 1;
                world.tell(News::Answered { conn, whole: true });
            }
        }
        world.pass(ms(12_000));
        world.open.is_empty()
    }

    fn counts_are_those_of_a_map(steps: Vec<(u8, bool)>) -> bool {
        let (mut counts, mut plain) = (Counts::new(20, 3), HashMap::<Prefix, u32>::new());
        for (who, add) in steps {
            let key = Prefix::address(v4(10, 0, 0, who % 32));
            if add {
                let fits = plain.contains_key(&key) || plain.len() < 20;
                assert_eq!(counts.add(key), fits);
                if fits {
                    *plain.entry(key).or_default() += 1;
                }
            } else {
                counts.remove(key);
                match plain.get_mut(&key) {
                    Some(count) if *count > 1 => *count -= 1,
                    _ => drop(plain.remove(&key)),
                }
            }
        }
        assert_eq!(counts.len(), plain.len());
        (0..32).all(|who| {
            let key = Prefix::address(v4(10, 0, 0, who));
            counts.get(key) == plain.get(&key).copied().unwrap_or(0)
        })
    }

    fn a_wheel_is_a_sorted_list(steps: Vec<(u8, u32, bool)>) -> bool {
        let (mut wheel, mut plain) = (Wheel::new(ms(1)), BTreeMap::<usize, u64>::new());
        let mut now = 0u64;
        for (who, span, set) in steps {
            let span = u64::from(span >> (u32::from(who) % 32));
            if set {
                wheel.set(usize::from(who), ms(now + span));
                plain.insert(usize::from(who), now + span);
            } else {
                now += span;
                let mut due = Vec::new();
                wheel.advance(ms(now), &mut due);
                due.sort_unstable();
                // What was set to a time that had come falls due with the next tick.
                let passed = |at: u64| at <= now && span > 0;
                let expected: Vec<usize> =
                    plain.iter().filter(|(_, at)| passed(**at)).map(|(&who, _)| who).collect();
                assert_eq!(due, expected, "at {now}");
                plain.retain(|_, at| !passed(*at));
            }
            assert_eq!(wheel.len(), plain.len());
            assert!(plain.is_empty() || wheel.next().is_some_and(|next| {
                next <= ms((*plain.values().min().unwrap()).max(now + 1))
            }));
        }
        true
    }

    fn a_sketch_never_tells_too_little(keys: Vec<u8>, span: u16) -> bool {
        let mut sketch = Sketch::new(ms(3000), 64, 5);
        let mut plain: HashMap<u8, u32> = HashMap::new();
        for (at, key) in keys.iter().enumerate() {
            let now = ms(at as u64 * u64::from(span) / 1000 % 3000);
            *plain.entry(*key).or_default() += 1;
            assert!(sketch.add(now, Prefix::address(v4(10, 1, 1, *key))) >= 1);
        }
        let now = ms(keys.len() as u64 * u64::from(span) / 1000 % 3000);
        plain.iter().all(|(&key, &count)| {
            let told = sketch.count(now.min(ms(2999)), Prefix::address(v4(10, 1, 1, key)));
            told >= count || keys.len() as u64 * u64::from(span) / 1000 >= 3000
        })
    }

    fn a_ledger_never_passes_its_limit(steps: Vec<(u8, bool)>, own: u8, store: u8) -> bool {
        let reserves = [(Part::Own, usize::from(own % 8)), (Part::Store, usize::from(store % 8))];
        let mut ledger = Ledger::new(20, &reserves).unwrap();
        for (part, take) in steps {
            let part = Part::ALL[usize::from(part) % Part::ALL.len()];
            if take {
                ledger.take(part);
            } else if ledger.used(part) > 0 {
                ledger.give(part);
            }
            assert!(ledger.total() <= 20);
            // Who has not taken all of its reserve always can.
            for (part, reserve) in reserves {
                assert!(ledger.used(part) >= reserve || ledger.room(part) >= reserve - ledger.used(part));
            }
        }
        Ledger::new(3, &[(Part::Own, 4)]).is_err()
    }
}

#[test]
fn a_million_addresses_take_no_more_memory_than_a_few() {
    let mut world = World::new(terms());
    for number in 0..1_000_000u32 {
        let [_, b, c, d] = number.to_be_bytes();
        if let Some(conn) = world.come(v4(10 + (number >> 24) as u8, b, c, d)) {
            world.close(conn);
        }
        if number % 1000 == 0 {
            world.pass(ms(10));
        }
    }
    // The sketch is of one size, counts are of who is there, and nobody has earned anything.
    assert_eq!(world.admission.open(), 0);
}

#[test]
fn networks_are_read_and_misread() {
    let network: Prefix = "10.1.0.0/16".parse().unwrap();
    assert!(network.contains(v4(10, 1, 200, 3)) && !network.contains(v4(10, 2, 0, 1)));
    // An address that comes mapped is the same.
    assert!(network.contains("::ffff:10.1.2.3".parse().unwrap()));
    let v6: Prefix = "2001:db8::/32".parse().unwrap();
    assert!(v6.contains("2001:db8:5::1".parse().unwrap()) && !v6.contains("2001:db9::1".parse().unwrap()));
    for wrong in ["10.1.0.0/33", "10.1.2.3/16", "nowhere", "10.1/16", "::/129", "10.0.0.0/x"] {
        assert!(wrong.parse::<Prefix>().is_err(), "{wrong}");
    }
}

/// Where newcomers wait for a place, the one that filled the table was ended at once, as the only one that had said
/// nothing: its first message was on its way, and its caller saw the connection close.
#[test]
fn a_newcomer_that_fills_the_table_gets_a_moment_to_speak() {
    let mut terms = terms();
    (terms.when_full, terms.caps) = (WhenFull::Wait, None);
    let mut world = World::new(terms);
    let ended = |world: &mut World| {
        let mut acts = Vec::new();
        let may = world.admission.may_accept(world.now, &mut acts);
        let end = |act: &Act| if let Act::End { conn, .. } = act { Some(*conn) } else { None };
        (may, acts.iter().find_map(end))
    };
    let mut last = None;
    while world.admission.ledger().room(Part::Clients) > 0 {
        last = world.come(v4(10, 0, 0, 1));
        assert!(last.is_some(), "there is room");
        if world.admission.ledger().room(Part::Clients) > 0 {
            world.serve(last.unwrap());
        }
    }
    let (may, first) = ended(&mut world);
    assert!(!may && first.is_some() && first != last, "{first:?} of {last:?}");
    // Of several that say nothing the one that came first goes, at once.
    let mut world = World::new(Terms { when_full: WhenFull::Wait, caps: None, ..self::terms() });
    let mut silent = Vec::new();
    while world.admission.ledger().room(Part::Clients) > 0 {
        silent.extend(world.come(v4(10, 0, 0, 2)));
    }
    assert_eq!(ended(&mut world), (false, silent.first().copied()));
}
