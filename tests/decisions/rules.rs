//! The module against the plain model of the rules, on generated settings and events.

use crate::common::{Place, World, given, ms};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tulipgap::*;

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        handler: usize,
        age: u64,
        patience: Option<u64>,
        work: u64,
        mark: u64,
    },
    Pass(u64),
    Finish(usize, bool),
    ReachCall(usize),
    EndCall(usize, u8),
    Gone(usize),
    /// The whole process stands still.
    Stall(u64),
    /// Events that do not fit: for ended reqs, or for what a req is not doing.
    Odd(usize),
    Leave(u64),
    /// The process dies, and another starts cold.
    Die,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut up_to = |n: u64| u64::arbitrary(g) % n;
        match up_to(40) {
            0..=12 => Step::Arrive {
                handler: up_to(3) as usize,
                age: up_to(10).pow(2) * up_to(20),
                patience: (up_to(2) == 0).then_some(up_to(2500)),
                work: up_to(900),
                mark: up_to(30),
            },
            13..=19 => Step::Pass(up_to(400)),
            20..=25 => Step::Finish(up_to(9) as usize, up_to(6) == 0),
            26..=30 => Step::ReachCall(up_to(9) as usize),
            31..=35 => Step::EndCall(up_to(9) as usize, up_to(6) as u8),
            36 => Step::Gone(up_to(9) as usize),
            37 => Step::Stall(up_to(40)),
            38 => Step::Odd(up_to(9) as usize),
            _ => match up_to(8) {
                0 => Step::Leave(2000 + up_to(4000)),
                1 => Step::Die,
                _ => Step::Pass(up_to(1500)),
            },
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match *self {
            Step::Pass(span) => Box::new(span.shrink().map(Step::Pass)),
            _ => quickcheck::empty_shrinker(),
        }
    }
}

#[derive(Clone, Debug)]
struct Day {
    seed: u64,
    cold: bool,
    halting: u8,
    below: u8,
    advice: u8,
    memory_kb: f64,
    callers: u32,
    links: f64,
    steps: Vec<Step>,
}

impl Arbitrary for Day {
    fn arbitrary(g: &mut Gen) -> Self {
        Day {
            seed: u64::arbitrary(g),
            cold: bool::arbitrary(g),
            halting: u8::arbitrary(g) % 3,
            below: u8::arbitrary(g) % 5,
            advice: u8::arbitrary(g) % 4,
            memory_kb: *g.choose(&[300.0, 1000.0, 4000.0]).unwrap(),
            callers: *g.choose(&[3, 40, 1000]).unwrap(),
            links: *g.choose(&[2.0, 30.0, 70.0]).unwrap(),
            steps: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let day = self.clone();
        Box::new(self.steps.shrink().map(move |steps| Day { steps, ..day.clone() }))
    }
}

fn world(day: &Day) -> World {
    let shared = |share| Below::Shared { share, span: ms(5000), linger: ms(200) };
    let given = Given {
        cold: day.cold,
        halting: [Halting::Never, Halting::Drops, Halting::Pauses][day.halting as usize],
        below: [Below::Nothing, Below::Tier, shared(0.4), shared(2.0), shared(0.05)][day.below as usize],
        advice: [Advice::Nothing, Advice::Level, Advice::Credit, Advice::Weight][day.advice as usize],
        memory_kb: day.memory_kb,
        callers: day.callers,
        ..given()
    };
    let mut world = World::new(given, day.seed);
    world.links = day.links;
    world
}

fn play(day: Day) -> bool {
    let mut world = world(&day);
    for step in &day.steps {
        match *step {
            Step::Arrive { handler, age, patience, work, mark } => {
                world.arrive(handler, age, patience, work, mark);
            }
            Step::Pass(span) => world.pass(ms(span)),
            Step::Finish(nth, errored) => {
                let outcome = if errored { Outcome::Errored } else { Outcome::Done };
                let joined = world.nth(Place::Joined, nth).filter(|_| nth == 0);
                if let Some(req) = joined.or(world.nth(Place::OnCore, nth)) {
                    world.finish(req, outcome);
                }
            }
            Step::ReachCall(nth) => {
                if let Some(req) = world.nth(Place::OnCore, nth).filter(|_| day.below > 0) {
                    world.reach_call(req);
                }
            }
            Step::EndCall(nth, outcome) => {
                use Outcome::*;
                let outcome = [Done, Errored, Full, TimedOut, Unreachable, Broken][outcome as usize];
                if let Some(req) = world.nth(Place::Calling, nth) {
                    world.end_call(req, outcome);
                }
            }
            Step::Gone(nth) => {
                let places = [Place::Held, Place::OnCore, Place::Calling];
                if let Some(req) = places.iter().find_map(|&place| world.nth(place, nth))
                    && !world.reqs[&req].gone
                    && !world.reqs[&req].answered
                {
                    world.go(req);
                }
            }
            Step::Stall(span) => {
                world.now += ms(span);
                world.pass(ms(1));
            }
            Step::Odd(nth) => {
                let free = (0..).find(|req| !world.reqs.contains_key(req)).unwrap();
                let mut events = vec![Event::Ended { req: free + 50, outcome: Outcome::Done }];
                events.push(Event::Gone { req: free });
                events.push(Event::Ended { req: free, outcome: Outcome::Void });
                if let Some(req) = world.nth(Place::OnCore, nth) {
                    events.push(Event::CallEnded { req, outcome: Outcome::Done });
                }
                if let Some(req) = world.nth(Place::Held, nth) {
                    events.push(Event::AtCall { req });
                }
                world.tell(events);
            }
            Step::Leave(left) => world.leave(ms(left)),
            Step::Die => {
                let next = Day { cold: true, seed: day.seed.wrapping_add(1), ..day.clone() };
                world = self::world(&next);
            }
        }
    }
    world.pass(ms(6000));
    true
}

/// One seed, so that every run plays the same days; shrinking is quickcheck's.
#[test]
fn keeps_the_four_rules() {
    let days = Gen::from_size_and_seed(150, 0x7011b);
    QuickCheck::new().rng(days).tests(1500).quickcheck(play as fn(Day) -> bool);
}
