//! Bounded model checking of clients, an expiry tracker and the replicated state machine. Guards
//! against two members that act under one slot at the same time, and against fencing tokens that do
//! not increase.
//!
//! The checker explores every state that can be reached within a depth, with messages that are
//! lost, delayed, duplicated and reordered, leader changes that keep or drop uncommitted proposals,
//! late timers (a paused process), and clocks at their drift limits. The state machines are the
//! production ones; the consensus log is abstract.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use stateright::{Checker, HasDiscoveries, Model, Property};
use tulipgap_leases::{
    Action, Command, Config, Event, ExpiryTracker, FencingToken, Incarnation, InjectedBug,
    LeaseClient, LeaseSpec, LeaseStateMachine, Owner, RequestId, Response,
};

/// A clock is off by up to a quarter: a tick of 100 ms is 75 ms on a slow clock and 125 ms on a
/// fast one. On either clock a TTL ends after two ticks, as it does in true time.
const MAX_CLOCK_DRIFT_PERMILLE: u32 = 250;
const TTL: Duration = Duration::from_millis(200);
const SPEC: LeaseSpec = LeaseSpec {
    ttl: TTL,
    capacity: 1,
};
const SLOW_TICK: Duration = Duration::from_millis(75);
const FAST_TICK: Duration = Duration::from_millis(125);
const INCARNATION: Incarnation = Incarnation(1);
/// Number of uncommitted proposals from which on the leader accepts no further request.
const MAX_PROPOSED: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Request {
        from: usize,
        request: RequestId,
        command: Command,
    },
    Response {
        to: usize,
        request: RequestId,
        response: Response,
    },
}

/// A proposed command, with the client and request to respond to.
type Proposal = (Command, Option<(usize, RequestId)>);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    ticks: u32,
    clients: Vec<LeaseClient>,
    /// When each client's timer elapses.
    timers: Vec<Option<Duration>>,
    expiry: ExpiryTracker,
    state: LeaseStateMachine,
    proposed: Vec<Proposal>,
    network: BTreeSet<Message>,
    leader_changes: u32,
    releases: u32,
    /// Number of messages that were delivered and stay in the network.
    duplicates: u32,
    /// For each lease, the latest token that a client acquired, and the client.
    newest_tokens: Vec<(&'static str, FencingToken, usize)>,
    /// Whether a client acquired a token below the latest one of its lease, or the token of another
    /// client.
    has_token_regression: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    TimerElapses(usize),
    Deliver { message: Message, stays: bool },
    Commit,
    ChangeLeader { keeps_proposed: bool },
    ReleaseAndAcquire(usize),
}

struct LeaseModel {
    /// Each member's lease and whether its clock is slow.
    members: Vec<(&'static str, bool)>,
    max_ticks: u32,
    max_in_flight: usize,
    max_leader_changes: u32,
    max_releases: u32,
    max_duplicates: u32,
    bug: Option<InjectedBug>,
}

fn acquire(lease: &str) -> Event {
    Event::Acquire {
        lease: Arc::from(lease),
        spec: SPEC,
        max_operation: Duration::ZERO,
        wait: false,
    }
}

impl LeaseModel {
    fn clock(&self, world: &World, member: usize) -> Duration {
        (if self.members[member].1 {
            SLOW_TICK
        } else {
            FAST_TICK
        }) * world.ticks
    }

    /// The leader has the fast clock, so that its TTLs end as early as possible.
    fn leader_clock(&self, world: &World) -> Duration {
        FAST_TICK * world.ticks
    }

    fn perform(&self, world: &mut World, member: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                // Requests beyond the limit are lost, as any message may be.
                Action::Send {
                    request, command, ..
                } if world.network.len() < self.max_in_flight => {
                    world.network.insert(Message::Request {
                        from: member,
                        request,
                        command,
                    });
                }
                Action::Acquired { token, .. } => {
                    let lease = self.members[member].0;
                    let newest = world
                        .newest_tokens
                        .iter()
                        .rev()
                        .find(|newest| newest.0 == lease);
                    world.has_token_regression |= newest
                        .is_some_and(|&(_, at, by)| token < at || token == at && member != by);
                    world.newest_tokens.retain(|newest| newest.0 != lease);
                    world.newest_tokens.push((lease, token, member));
                }
                Action::SetTimer { at } => world.timers[member] = Some(at),
                _ => {}
            }
        }
    }

    fn handle_event(&self, world: &mut World, member: usize, event: Event) {
        let now = self.clock(world, member);
        let actions = world.clients[member].handle_event(now, event);
        self.perform(world, member, actions);
    }

    /// How many members could acquire a guard now.
    fn active_members(&self, world: &World, lease: &str) -> usize {
        let may_act = |member: &usize| {
            let mut client = world.clients[*member].clone();
            client
                .acquire_guard(self.clock(world, *member), lease)
                .is_ok()
        };
        (0..self.members.len()).filter(may_act).count()
    }

    /// Delivers a message; `None` if the leader accepts no further proposal.
    fn deliver(&self, world: &mut World, message: Message) -> Option<()> {
        match message {
            Message::Request {
                from,
                request,
                command,
            } => {
                if world.proposed.len() >= MAX_PROPOSED {
                    return None;
                }
                world.proposed.push((command, Some((from, request))));
            }
            Message::Response {
                to,
                request,
                response,
            } => {
                self.handle_event(
                    world,
                    to,
                    Event::Response {
                        incarnation: INCARNATION,
                        request,
                        response,
                    },
                );
            }
        }
        Some(())
    }

    fn commit(&self, world: &mut World) {
        let (command, requested) = world.proposed.remove(0);
        let now = self.leader_clock(world);
        let response = world.state.apply(&command);
        world
            .expiry
            .handle_applied_command(now, command.lease(), &world.state);
        if let Some((to, request)) = requested
            && world.network.len() < self.max_in_flight
        {
            world.network.insert(Message::Response {
                to,
                request,
                response,
            });
        }
    }

    fn change_leader(&self, world: &mut World, keeps_proposed: bool) {
        world.leader_changes += 1;
        match keeps_proposed {
            true => world
                .proposed
                .iter_mut()
                .for_each(|(_, requested)| *requested = None),
            false => world.proposed.clear(),
        }
        world.state.handle_leader_change();
        let now = self.leader_clock(world);
        world.expiry.start_leading(now, &world.state);
    }
}

impl Model for LeaseModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut expiry = ExpiryTracker::new(MAX_CLOCK_DRIFT_PERMILLE);
        let state = LeaseStateMachine::with_injected_bug(self.bug);
        expiry.inject_bug(self.bug);
        expiry.start_leading(Duration::ZERO, &state);
        let mut world = World {
            ticks: 0,
            clients: Vec::new(),
            timers: vec![None; self.members.len()],
            expiry,
            state,
            proposed: Vec::new(),
            network: BTreeSet::new(),
            leader_changes: 0,
            releases: 0,
            duplicates: 0,
            newest_tokens: Vec::new(),
            has_token_regression: false,
        };
        let config = Config {
            max_clock_drift_permille: MAX_CLOCK_DRIFT_PERMILLE,
            jitter_permille: 0,
        };
        for (member, (lease, _)) in self.members.iter().enumerate() {
            let owner = Owner {
                name: format!("m{member}").into(),
                incarnation: INCARNATION,
            };
            let mut client = LeaseClient::new(owner, vec!["v".into()], config, 0);
            client.inject_bug(self.bug);
            world.clients.push(client);
            self.handle_event(&mut world, member, acquire(lease));
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.ticks < self.max_ticks {
            steps.push(Step::Tick);
        }
        for member in 0..self.members.len() {
            if world.timers[member].is_some_and(|at| at <= self.clock(world, member)) {
                steps.push(Step::TimerElapses(member));
            }
            if world.releases < self.max_releases {
                steps.push(Step::ReleaseAndAcquire(member));
            }
        }
        for message in &world.network {
            steps.push(Step::Deliver {
                message: message.clone(),
                stays: false,
            });
            if world.duplicates < self.max_duplicates {
                steps.push(Step::Deliver {
                    message: message.clone(),
                    stays: true,
                });
            }
        }
        if !world.proposed.is_empty() {
            steps.push(Step::Commit);
        }
        if world.leader_changes < self.max_leader_changes {
            steps.push(Step::ChangeLeader {
                keeps_proposed: true,
            });
            if !world.proposed.is_empty() {
                steps.push(Step::ChangeLeader {
                    keeps_proposed: false,
                });
            }
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::Tick => {
                world.ticks += 1;
                let now = self.leader_clock(&world);
                for command in world.expiry.due_expirations(now) {
                    world.proposed.push((command, None));
                }
            }
            Step::TimerElapses(member) => {
                world.timers[member] = None;
                self.handle_event(&mut world, member, Event::TimerElapsed);
            }
            Step::Deliver { message, stays } => {
                match stays {
                    true => world.duplicates += 1,
                    false => _ = world.network.remove(&message),
                }
                self.deliver(&mut world, message)?;
            }
            Step::Commit => self.commit(&mut world),
            Step::ChangeLeader { keeps_proposed } => self.change_leader(&mut world, keeps_proposed),
            Step::ReleaseAndAcquire(member) => {
                world.releases += 1;
                let lease = self.members[member].0;
                self.handle_event(
                    &mut world,
                    member,
                    Event::Release {
                        lease: Arc::from(lease),
                    },
                );
                self.handle_event(&mut world, member, acquire(lease));
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "at most one member acts at any instant",
                |model: &LeaseModel, world: &World| {
                    model
                        .members
                        .iter()
                        .all(|(lease, _)| model.active_members(world, lease) <= 1)
                },
            ),
            Property::always("tokens only grow", |_, world: &World| {
                !world.has_token_regression
            }),
            Property::sometimes(CHANGES_OWNER, |model: &LeaseModel, world: &World| {
                let is_granted_again = world.state.last_token() >= FencingToken(2);
                is_granted_again && model.active_members(world, model.members[0].0) == 1
            }),
        ]
    }
}

/// Explores all states within the depth. Returns the names of the `always` properties with a
/// counterexample, and [`CHANGES_OWNER`] if the checker found an example of it.
fn explore(model: LeaseModel, depth: usize) -> Vec<&'static str> {
    // Explorations run one at a time, because each takes up to 3 GB.
    static EXPLORATION: Mutex<()> = Mutex::new(());
    let _guard = EXPLORATION.lock().unwrap_or_else(PoisonError::into_inner);
    let start = Instant::now();
    let (members, bug) = (model.members.len(), model.bug);
    let checker = model
        .checker()
        .threads(3)
        .target_max_depth(depth)
        .finish_when(HasDiscoveries::AnyFailures);
    let checker = checker.spawn_bfs().join();
    let discoveries: Vec<&str> = checker.discoveries().into_keys().collect();
    println!(
        "{members} members, depth {depth}, {bug:?}: {} states, {:?}: {discoveries:?}",
        checker.unique_state_count(),
        start.elapsed()
    );
    discoveries
}

const CHANGES_OWNER: &str = "the first owner's slot is granted to another";

fn two_members(bug: Option<InjectedBug>) -> LeaseModel {
    LeaseModel {
        members: vec![("x", true), ("x", false)],
        max_ticks: 4,
        max_in_flight: 2,
        max_leader_changes: 1,
        max_releases: 0,
        max_duplicates: 1,
        bug,
    }
}

/// How much deeper than by default to explore: `LEASES_DEEPER=1 cargo test -p tulipgap-leases`.
fn extra_depth() -> usize {
    std::env::var("LEASES_DEEPER")
        .ok()
        .and_then(|more| more.parse().ok())
        .unwrap_or(0)
}

#[test]
fn two_members_of_one_lease_never_act_at_once() {
    assert_eq!(
        explore(two_members(None), 11 + extra_depth()),
        [CHANGES_OWNER]
    );
}

#[test]
fn three_members_of_two_leases_never_act_at_once() {
    let members = vec![("x", true), ("x", false), ("y", true)];
    let model = LeaseModel {
        members,
        max_ticks: 3,
        max_in_flight: 3,
        ..two_members(None)
    };
    assert_eq!(explore(model, 8 + extra_depth()), [CHANGES_OWNER]);
}

#[test]
fn a_lease_released_and_acquired_again_has_one_owner() {
    let model = LeaseModel {
        max_ticks: 1,
        max_leader_changes: 0,
        max_in_flight: 3,
        max_releases: 1,
        ..two_members(None)
    };
    assert_eq!(explore(model, 13 + extra_depth()), [CHANGES_OWNER]);
}

#[test]
fn injected_bugs_are_found() {
    let no_faults = |bug| LeaseModel {
        max_leader_changes: 0,
        max_duplicates: 0,
        ..two_members(Some(bug))
    };
    let with_release = |bug| LeaseModel {
        max_ticks: 0,
        max_leader_changes: 0,
        max_in_flight: 3,
        max_releases: 1,
        ..two_members(Some(bug))
    };
    for (model, depth) in [
        (no_faults(InjectedBug::NoClockMargin), 14),
        (no_faults(InjectedBug::TtlFromResponse), 14),
        (no_faults(InjectedBug::UncheckedGuard), 14),
        (
            LeaseModel {
                max_ticks: 2,
                ..no_faults(InjectedBug::IgnoredRenewal)
            },
            20,
        ),
        (
            LeaseModel {
                max_ticks: 2,
                max_leader_changes: 1,
                ..no_faults(InjectedBug::VolatileTokens)
            },
            16,
        ),
        (with_release(InjectedBug::DoubleRelease), 18),
        (with_release(InjectedBug::ReusedReleasedToken), 16),
    ] {
        let bug = model.bug;
        let discoveries = explore(model, depth);
        assert!(
            discoveries.iter().any(|name| *name != CHANGES_OWNER),
            "{bug:?} was not found: {discoveries:?}"
        );
    }
}
