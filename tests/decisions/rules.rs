//! Property test of the four rules (no lost request, no duplicate effect, graceful shutdown,
//! availability) on generated configurations and events.

use crate::common::{SimulatedHost, Stage, config, ms};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tulipgap::{CallerFeedback, Cancellation, Config, Dependency, Event, Outcome};

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        handler: usize,
        age: u64,
        client_wait: Option<u64>,
        work: u64,
        key: u64,
    },
    Advance(u64),
    Finish(usize, bool),
    ReachCall(usize),
    FinishCall(usize, u8),
    CallerGone(usize),
    /// The process stalls.
    Stall(u64),
    /// Events for requests that have ended, or that do not match the stage of a request.
    Unexpected(usize),
    ShutdownNotice(u64),
    /// The process is killed, and a new process starts cold.
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut up_to = |n: u64| u64::arbitrary(g) % n;
        match up_to(40) {
            0..=12 => Step::Arrive {
                handler: up_to(3) as usize,
                age: up_to(10).pow(2) * up_to(20),
                client_wait: (up_to(2) == 0).then_some(up_to(2500)),
                work: up_to(900),
                key: up_to(30),
            },
            13..=19 => Step::Advance(up_to(400)),
            20..=25 => Step::Finish(up_to(9) as usize, up_to(6) == 0),
            26..=30 => Step::ReachCall(up_to(9) as usize),
            31..=35 => Step::FinishCall(up_to(9) as usize, up_to(6) as u8),
            36 => Step::CallerGone(up_to(9) as usize),
            37 => Step::Stall(up_to(40)),
            38 => Step::Unexpected(up_to(9) as usize),
            _ => match up_to(8) {
                0 => Step::ShutdownNotice(2000 + up_to(4000)),
                1 => Step::Restart,
                _ => Step::Advance(up_to(1500)),
            },
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match *self {
            Step::Advance(span) => Box::new(span.shrink().map(Step::Advance)),
            _ => quickcheck::empty_shrinker(),
        }
    }
}

#[derive(Clone, Debug)]
struct Scenario {
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

impl Arbitrary for Scenario {
    fn arbitrary(g: &mut Gen) -> Self {
        Scenario {
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
        let scenario = self.clone();
        Box::new(self.steps.shrink().map(move |steps| Scenario {
            steps,
            ..scenario.clone()
        }))
    }
}

fn host(scenario: &Scenario) -> SimulatedHost {
    let shared = |share| Dependency::Shared {
        share,
        window: ms(5000),
        linger: ms(200),
    };
    let config = Config {
        starts_cold: scenario.starts_cold,
        cancellation: [
            Cancellation::Unsupported,
            Cancellation::DiscardsProgress,
            Cancellation::KeepsProgress,
        ][scenario.cancellation as usize],
        dependency: [
            Dependency::None,
            Dependency::Tier,
            shared(0.4),
            shared(2.0),
            shared(0.05),
        ][scenario.dependency as usize],
        feedback: [
            CallerFeedback::None,
            CallerFeedback::PriorityThreshold,
            CallerFeedback::ConcurrencyCredit,
            CallerFeedback::TrafficWeight,
        ][scenario.feedback as usize],
        memory_kb: scenario.memory_kb,
        callers: scenario.callers,
        ..config()
    };
    let mut host = SimulatedHost::new(config, scenario.seed);
    host.open_connections = scenario.open_connections;
    host
}

fn run_scenario(scenario: Scenario) -> bool {
    let mut host = host(&scenario);
    for step in &scenario.steps {
        run_step(&mut host, &scenario, step);
    }
    host.advance(ms(6000));
    true
}

fn run_step(host: &mut SimulatedHost, scenario: &Scenario, step: &Step) {
    match *step {
        Step::Arrive {
            handler,
            age,
            client_wait,
            work,
            key,
        } => {
            host.arrive(handler, age, client_wait, work, key);
        }
        Step::Advance(span) => host.advance(ms(span)),
        Step::Finish(nth, has_failed) => {
            let outcome = if has_failed {
                Outcome::Failed
            } else {
                Outcome::Succeeded
            };
            let coalesced = host.nth(Stage::Coalesced, nth).filter(|_| nth == 0);
            if let Some(request) = coalesced.or(host.nth(Stage::Running, nth)) {
                host.finish(request, outcome);
            }
        }
        Step::ReachCall(nth) => {
            if let Some(request) = host
                .nth(Stage::Running, nth)
                .filter(|_| scenario.dependency > 0)
            {
                host.reach_call(request);
            }
        }
        Step::FinishCall(nth, outcome) => finish_call(host, nth, outcome),
        Step::CallerGone(nth) => disconnect_caller(host, nth),
        Step::Stall(span) => {
            host.now += ms(span);
            host.advance(ms(1));
        }
        Step::Unexpected(nth) => send_unexpected_events(host, nth),
        Step::ShutdownNotice(left) => host.shutdown_notice(ms(left)),
        Step::Restart => {
            let next = Scenario {
                starts_cold: true,
                seed: scenario.seed.wrapping_add(1),
                ..scenario.clone()
            };
            *host = self::host(&next);
        }
    }
}

/// Ends the nth call in flight with one of the outcomes of a call.
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

/// Disconnects the caller of the nth request that is queued, running or calling, if it still waits.
fn disconnect_caller(host: &mut SimulatedHost, nth: usize) {
    let stages = [Stage::Queued, Stage::Running, Stage::Calling];
    if let Some(request) = stages.iter().find_map(|&stage| host.nth(stage, nth))
        && !host.requests[&request].is_caller_gone
        && !host.requests[&request].is_answered
    {
        host.disconnect_caller(request);
    }
}

/// Sends events for requests that do not exist or are in another stage.
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

/// A fixed seed, so that every run checks the same scenarios. quickcheck shrinks a failing
/// scenario.
#[test]
fn the_four_rules_hold_in_generated_scenarios() {
    let generator = Gen::from_size_and_seed(150, 0x7011b);
    QuickCheck::new()
        .rng(generator)
        .tests(1500)
        .quickcheck(run_scenario as fn(Scenario) -> bool);
}
