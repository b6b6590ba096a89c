//! The controller against the four rules, on generated configurations and events.

use crate::common::{SimulatedHost, Stage, config, ms};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tulipgap::{CallerFeedback, Cancellation, Config, Dependency, Event, Outcome};

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        handler: usize,
        age: u64,
        patience: Option<u64>,
        work: u64,
        key: u64,
    },
    Pass(u64),
    Finish(usize, bool),
    ReachCall(usize),
    FinishCall(usize, u8),
    CallerGone(usize),
    /// The whole process stands still.
    Stall(u64),
    /// Events that do not fit: for ended requests, or for what a request is not doing.
    Unexpected(usize),
    ShutdownNotice(u64),
    /// The process dies, and another starts cold.
    Restart,
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
                key: up_to(30),
            },
            13..=19 => Step::Pass(up_to(400)),
            20..=25 => Step::Finish(up_to(9) as usize, up_to(6) == 0),
            26..=30 => Step::ReachCall(up_to(9) as usize),
            31..=35 => Step::FinishCall(up_to(9) as usize, up_to(6) as u8),
            36 => Step::CallerGone(up_to(9) as usize),
            37 => Step::Stall(up_to(40)),
            38 => Step::Unexpected(up_to(9) as usize),
            _ => match up_to(8) {
                0 => Step::ShutdownNotice(2000 + up_to(4000)),
                1 => Step::Restart,
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
    starts_cold: bool,
    cancellation: u8,
    dependency: u8,
    feedback: u8,
    memory_kb: f64,
    callers: u32,
    open_connections: f64,
    steps: Vec<Step>,
}

impl Arbitrary for Day {
    fn arbitrary(g: &mut Gen) -> Self {
        Day {
            seed: u64::arbitrary(g),
            starts_cold: bool::arbitrary(g),
            cancellation: u8::arbitrary(g) % 3,
            dependency: u8::arbitrary(g) % 5,
            feedback: u8::arbitrary(g) % 4,
            memory_kb: *g.choose(&[300.0, 1000.0, 4000.0]).unwrap(),
            callers: *g.choose(&[3, 40, 1000]).unwrap(),
            open_connections: *g.choose(&[2.0, 30.0, 70.0]).unwrap(),
            steps: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let day = self.clone();
        Box::new(self.steps.shrink().map(move |steps| Day {
            steps,
            ..day.clone()
        }))
    }
}

fn host(day: &Day) -> SimulatedHost {
    let shared = |share| Dependency::Shared {
        share,
        window: ms(5000),
        linger: ms(200),
    };
    let config = Config {
        starts_cold: day.starts_cold,
        cancellation: [
            Cancellation::Unsupported,
            Cancellation::DiscardsProgress,
            Cancellation::KeepsProgress,
        ][day.cancellation as usize],
        dependency: [
            Dependency::None,
            Dependency::Tier,
            shared(0.4),
            shared(2.0),
            shared(0.05),
        ][day.dependency as usize],
        feedback: [
            CallerFeedback::None,
            CallerFeedback::PriorityThreshold,
            CallerFeedback::ConcurrencyCredit,
            CallerFeedback::TrafficWeight,
        ][day.feedback as usize],
        memory_kb: day.memory_kb,
        callers: day.callers,
        ..config()
    };
    let mut host = SimulatedHost::new(config, day.seed);
    host.open_connections = day.open_connections;
    host
}

fn play(day: Day) -> bool {
    let mut host = host(&day);
    for step in &day.steps {
        play_step(&mut host, &day, step);
    }
    host.pass(ms(6000));
    true
}

fn play_step(host: &mut SimulatedHost, day: &Day, step: &Step) {
    match *step {
        Step::Arrive {
            handler,
            age,
            patience,
            work,
            key,
        } => {
            host.arrive(handler, age, patience, work, key);
        }
        Step::Pass(span) => host.pass(ms(span)),
        Step::Finish(nth, errored) => {
            let outcome = if errored {
                Outcome::Failed
            } else {
                Outcome::Succeeded
            };
            let joined = host.nth(Stage::Coalesced, nth).filter(|_| nth == 0);
            if let Some(request) = joined.or(host.nth(Stage::Running, nth)) {
                host.finish(request, outcome);
            }
        }
        Step::ReachCall(nth) => {
            if let Some(request) = host.nth(Stage::Running, nth).filter(|_| day.dependency > 0) {
                host.reach_call(request);
            }
        }
        Step::FinishCall(nth, outcome) => finish_call(host, nth, outcome),
        Step::CallerGone(nth) => leave_as_caller(host, nth),
        Step::Stall(span) => {
            host.now += ms(span);
            host.pass(ms(1));
        }
        Step::Unexpected(nth) => send_unexpected_events(host, nth),
        Step::ShutdownNotice(left) => host.shutdown_notice(ms(left)),
        Step::Restart => {
            let next = Day {
                starts_cold: true,
                seed: day.seed.wrapping_add(1),
                ..day.clone()
            };
            *host = self::host(&next);
        }
    }
}

/// Ends the nth call that is in flight with one of the outcomes that a call can have.
fn finish_call(host: &mut SimulatedHost, nth: usize, outcome: u8) {
    let outcome = [
        Outcome::Succeeded,
        Outcome::Failed,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::Unreachable,
        Outcome::ConnectionLost,
    ][outcome as usize];
    if let Some(request) = host.nth(Stage::Calling, nth) {
        host.finish_call(request, outcome);
    }
}

/// The caller of the nth request that is queued, running or calling goes away, where it still
/// waits.
fn leave_as_caller(host: &mut SimulatedHost, nth: usize) {
    let places = [Stage::Queued, Stage::Running, Stage::Calling];
    if let Some(request) = places.iter().find_map(|&stage| host.nth(stage, nth))
        && !host.requests[&request].gone
        && !host.requests[&request].answered
    {
        host.caller_goes(request);
    }
}

/// Sends events about requests that do not exist, or that are in another stage.
fn send_unexpected_events(host: &mut SimulatedHost, nth: usize) {
    let free = (0..)
        .find(|request| !host.requests.contains_key(request))
        .unwrap();
    let mut events = vec![Event::Finished {
        request: free + 50,
        outcome: Outcome::Succeeded,
    }];
    events.push(Event::CallerGone { request: free });
    events.push(Event::Finished {
        request: free,
        outcome: Outcome::NotStarted,
    });
    if let Some(request) = host.nth(Stage::Running, nth) {
        events.push(Event::CallFinished {
            request,
            outcome: Outcome::Succeeded,
        });
    }
    if let Some(request) = host.nth(Stage::Queued, nth) {
        events.push(Event::ReachedCall { request });
    }
    host.send(events);
}

/// One seed, so that every run plays the same days; shrinking is quickcheck's.
#[test]
fn the_four_rules_hold_on_generated_days() {
    let days = Gen::from_size_and_seed(150, 0x7011b);
    QuickCheck::new()
        .rng(days)
        .tests(1500)
        .quickcheck(play as fn(Day) -> bool);
}
