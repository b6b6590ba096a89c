//! Golden transcripts: a change that only moves or renames code of the lease client, the replicated
//! state machine or the expiry tracker must not change the actions, responses and expirations that
//! follow from the same events.
//!
//! Each transcript is a run of three clients against one replicated state machine and the expiry
//! tracker of its leader. The seed determines the run: requests and responses are lost, delayed and
//! duplicated, voters that don't lead respond with hints, leases are revoked, transferred, released
//! and acquired again, guards are held while their lease ends, leaders change, clocks jump ahead
//! and back, and a client drains. The test compares the checksum of all outputs with that of the
//! code for which the test was written.

#[path = "../../../tests/golden_transcripts/recorded_words.rs"]
mod recorded_words;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crc32fast::Hasher;
use recorded_words::with_recorded_words;
use tulipgap_leases::{
    Action, Command, Config, Event, ExpiryTracker, FencingToken, Incarnation, LeaseClient,
    LeaseGuard, LeaseSpec, LeaseStateMachine, LeaseStatus, Name, Owner, RequestId, Response,
};

/// The checksum for each seed, beginning with seed 1.
const TRANSCRIPTS: [u32; 10] = [
    3057215955, 4233978670, 39841364, 1568102753, 1936553772, 2768887299, 3018737750, 2998621321,
    2114210401, 3488877898,
];
/// Words of the library renamed since the checksums were recorded: each present word, and the
/// recorded word that takes its place in a transcript.
const RENAMED_WORDS: &[(&str, &str)] = &[];
const SIMULATED_TIME: Duration = Duration::from_secs(90);
const CLIENTS: usize = 3;
const CONFIG: Config = Config {
    max_clock_drift_permille: 50,
    jitter_permille: 250,
};

enum Input {
    Client {
        client: usize,
        event: Event,
    },
    Command {
        from: usize,
        to: Name,
        request: RequestId,
        command: Command,
    },
    Check,
    RandomAction,
}

struct Run {
    random: fastrand::Rng,
    now: Duration,
    clients: Vec<LeaseClient>,
    /// How far each client's clock is ahead.
    clock_offsets: Vec<Duration>,
    guards: Vec<(usize, LeaseGuard)>,
    leader: Name,
    leases: LeaseStateMachine,
    expiry: ExpiryTracker,
    /// The scheduled inputs by time and number.
    inputs: BTreeMap<(Duration, u64), Input>,
    last_input: u64,
    transcript: Hasher,
    kinds: BTreeSet<&'static str>,
}

fn client(at: usize, incarnation: u64, seed: u64) -> LeaseClient {
    let owner = Owner {
        name: format!("m{at}").into(),
        incarnation: Incarnation(incarnation),
    };
    LeaseClient::new(owner, vec!["v".into(), "w".into()], CONFIG, seed)
}

fn kind(action: &Action) -> &'static str {
    match action {
        Action::Send { command, .. } => match command {
            Command::Acquire { .. } => "acquire",
            Command::Release { token: Some(_), .. } => "release a slot",
            Command::Release { token: None, .. } => "release a place",
            _ => "another command",
        },
        Action::Acquired { .. } => "acquired",
        Action::Lost { reason, .. } => match reason {
            tulipgap_leases::LossReason::Expired => "expired",
            tulipgap_leases::LossReason::Revoked => "revoked",
            tulipgap_leases::LossReason::Released => "released",
            tulipgap_leases::LossReason::ClockWentBackwards => "clock went backwards",
        },
        Action::Rejected { .. } => "rejected",
        Action::SetTimer { .. } => "set timer",
    }
}

const ALL_KINDS: [&str; 10] = [
    "acquire",
    "acquired",
    "clock went backwards",
    "expired",
    "rejected",
    "release a place",
    "release a slot",
    "released",
    "revoked",
    "set timer",
];

/// Describes a status in words of this test, so that its fields can be renamed.
fn describe_status(status: LeaseStatus) -> String {
    match status {
        LeaseStatus::Requested => "requested".into(),
        LeaseStatus::Queued { ahead } => format!("queued ahead={ahead}"),
        LeaseStatus::Active {
            token,
            valid_until,
            announced,
            ..
        } => format!("active {token} until={valid_until:?} announced={announced}"),
        LeaseStatus::Releasing { token } => format!("releasing {token}"),
    }
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let clients = (0..CLIENTS)
            .map(|at| client(at, 1, random.u64(..)))
            .collect();
        let mut run = Run {
            random,
            now: Duration::from_secs(5),
            clients,
            clock_offsets: vec![Duration::from_secs(2); CLIENTS],
            guards: Vec::new(),
            leader: "v".into(),
            leases: LeaseStateMachine::default(),
            expiry: ExpiryTracker::new(CONFIG.max_clock_drift_permille),
            inputs: BTreeMap::new(),
            last_input: 0,
            transcript: Hasher::new(),
            kinds: BTreeSet::new(),
        };
        run.expiry.start_leading(run.now, &run.leases);
        run.schedule(Duration::ZERO, Input::RandomAction);
        run.schedule(Duration::ZERO, Input::Check);
        run
    }

    fn schedule(&mut self, delay: Duration, input: Input) {
        self.last_input += 1;
        self.inputs
            .insert((self.now + delay, self.last_input), input);
    }

    fn record(&mut self, text: &str) {
        let text = with_recorded_words(text, RENAMED_WORDS);
        self.transcript.update(text.as_bytes());
        self.transcript.update(b"\n");
    }

    fn run(mut self) -> (u32, BTreeSet<&'static str>) {
        while let Some(((at, _), input)) = self.inputs.pop_first() {
            if at > SIMULATED_TIME {
                break;
            }
            self.now = at;
            match input {
                Input::Client { client, event } => self.handle_event(client, event),
                Input::Command {
                    from,
                    to,
                    request,
                    command,
                } => {
                    self.handle_command(from, &to, request, &command);
                }
                Input::Check => self.check_expiry(),
                Input::RandomAction => {
                    self.run_random_action();
                    let pause = Duration::from_millis(self.random.u64(1..60));
                    self.schedule(pause, Input::RandomAction);
                }
            }
        }
        (self.transcript.finalize(), self.kinds)
    }

    fn local_time(&self, client: usize) -> Duration {
        self.now + self.clock_offsets[client]
    }

    fn handle_event(&mut self, client: usize, event: Event) {
        let now = self.local_time(client);
        let actions = self.clients[client].handle_event(now, event);
        self.perform(client, actions);
    }

    fn perform(&mut self, client: usize, actions: Vec<Action>) {
        for action in actions {
            self.record(&format!("{client} {:?} {action:?}", self.now));
            self.kinds.insert(kind(&action));
            match action {
                Action::Send {
                    to,
                    request,
                    command,
                } => {
                    let input = |command| Input::Command {
                        from: client,
                        to,
                        request,
                        command,
                    };
                    if let Some(delay) = self.sample_delay() {
                        self.schedule(delay, input(command));
                    }
                }
                Action::SetTimer { at } => {
                    let delay = at.saturating_sub(self.local_time(client));
                    let event = Event::TimerElapsed;
                    self.schedule(delay, Input::Client { client, event });
                }
                _ => {}
            }
        }
        let statuses: Vec<String> = self.clients[client]
            .leases()
            .map(|(lease, status)| format!("{lease} {}", describe_status(status)))
            .collect();
        self.record(&statuses.join(", "));
    }

    /// Samples the delay of a message; `None` if it is lost.
    fn sample_delay(&mut self) -> Option<Duration> {
        let micros = match self.random.u32(0..100) {
            0..8 => return None,
            8..14 => self.random.u64(10_000..2_500_000),
            _ => self.random.u64(200..8000),
        };
        Some(Duration::from_micros(micros))
    }

    fn handle_command(&mut self, from: usize, to: &Name, request: RequestId, command: &Command) {
        let event = if *to != self.leader {
            let leader = match self.random.u32(0..4) {
                0 => None,
                1 => Some(self.sample_voter()),
                _ => Some(self.leader.clone()),
            };
            Event::NotLeader { request, leader }
        } else {
            let incarnation = command.incarnation();
            let response = self.apply(command);
            Event::Response {
                incarnation,
                request,
                response,
            }
        };
        let copies = if self.random.u32(0..20) == 0 { 2 } else { 1 };
        for _ in 0..copies {
            if let Some(delay) = self.sample_delay() {
                let event = event.clone();
                self.schedule(
                    delay,
                    Input::Client {
                        client: from,
                        event,
                    },
                );
            }
        }
    }

    fn apply(&mut self, command: &Command) -> Response {
        let response = self.leases.apply(command);
        self.expiry
            .handle_applied_command(self.now, command.lease(), &self.leases);
        let next: Vec<Owner> = self.leases.next_owners(command.lease()).cloned().collect();
        self.record(&format!("{command:?} {response:?} {next:?}"));
        for owner in next {
            let client = (0..CLIENTS).find(|at| format!("m{at}") == *owner.name);
            if let (Some(client), Some(delay)) = (client, self.sample_delay()) {
                let event = Event::SlotAvailable {
                    lease: command.lease().clone(),
                };
                self.schedule(delay, Input::Client { client, event });
            }
        }
        response
    }

    fn check_expiry(&mut self) {
        for command in self.expiry.due_expirations(self.now) {
            self.record(&format!("{:?} proposes {command:?}", self.now));
            if self.random.u32(0..4) > 0 {
                self.apply(&command);
            }
        }
        let next = self.expiry.next_check_at();
        self.record(&format!("next check {next:?}"));
        let delay = next.map_or(Duration::from_millis(50), |at| at.saturating_sub(self.now));
        self.schedule(delay.max(Duration::from_millis(1)), Input::Check);
    }

    fn sample_voter(&mut self) -> Name {
        let voters = ["v", "w", "x"];
        voters[self.random.usize(0..voters.len())].into()
    }

    fn sample_lease(&mut self) -> Name {
        format!("lease-{}", self.random.u32(0..4)).into()
    }

    fn sample_held_lease(&mut self) -> Option<(Name, FencingToken)> {
        let held: Vec<(Name, FencingToken)> = self
            .leases
            .leases()
            .flat_map(|(name, lease)| {
                lease
                    .holders
                    .iter()
                    .map(|holder| (name.clone(), holder.token))
            })
            .collect();
        (!held.is_empty()).then(|| held[self.random.usize(0..held.len())].clone())
    }

    fn run_random_action(&mut self) {
        let client = self.random.usize(0..CLIENTS);
        let lease = self.sample_lease();
        match self.random.u32(0..1000) {
            0..350 => self.acquire(client, lease),
            350..400 => self.handle_event(client, Event::Release { lease }),
            400..600 => self.acquire_guard(client, &lease),
            600..800 => self.check_or_release_guard(),
            800..830 => {
                if let Some((lease, token)) = self.sample_held_lease() {
                    self.apply(&Command::Revoke { lease, token });
                }
            }
            830..860 => {
                if let Some((lease, token)) = self.sample_held_lease() {
                    let to = format!("m{client}").into();
                    self.apply(&Command::Transfer { lease, token, to });
                }
            }
            860..900 => self.change_leader(),
            900..905 => self.clock_offsets[client] += Duration::from_millis(900),
            905..910 => {
                let offset = &mut self.clock_offsets[client];
                *offset = offset.saturating_sub(Duration::from_millis(300));
            }
            910..920 => {
                for lease in 0..4 {
                    let lease = format!("lease-{lease}").into();
                    self.handle_event(client, Event::Release { lease });
                }
            }
            920..925 => {
                let incarnation = self.random.u64(2..50);
                let seed = self.random.u64(..);
                self.guards.retain(|(of, _)| *of != client);
                self.clients[client] = self::client(client, incarnation, seed);
            }
            925..960 => self.handle_event(client, Event::SlotAvailable { lease }),
            _ => self.handle_event(client, Event::TimerElapsed),
        }
    }

    fn acquire(&mut self, client: usize, lease: Name) {
        let has_other_ttl = self.random.u32(0..40) == 0;
        let spec = LeaseSpec {
            ttl: Duration::from_millis(if has_other_ttl { 7000 } else { 2000 }),
            capacity: if &*lease == "lease-1" { 2 } else { 1 },
        };
        let max_operation = Duration::from_millis(if self.random.u32(0..40) == 0 {
            900
        } else {
            100
        });
        let wait = self.random.u32(0..4) > 0;
        self.handle_event(
            client,
            Event::Acquire {
                lease,
                spec,
                max_operation,
                wait,
            },
        );
    }

    fn change_leader(&mut self) {
        if self.random.bool() {
            self.leader = self.sample_voter();
            self.expiry.stop_leading();
            self.expiry.start_leading(self.now, &self.leases);
        }
    }

    fn acquire_guard(&mut self, client: usize, lease: &str) {
        let now = self.local_time(client);
        let guard = self.clients[client].acquire_guard(now, lease);
        self.record(&format!("{client} guard {guard:?}"));
        if let Ok(guard) = guard {
            self.guards.push((client, guard));
        }
    }

    fn check_or_release_guard(&mut self) {
        if self.guards.is_empty() {
            return;
        }
        let at = self.random.usize(0..self.guards.len());
        let client = self.guards[at].0;
        let now = self.local_time(client);
        let checked = self.clients[client].check_guard(now, &self.guards[at].1);
        self.record(&format!("{client} checked {checked:?}"));
        if checked.is_err() || self.random.bool() {
            let (_, guard) = self.guards.swap_remove(at);
            let actions = self.clients[client].release_guard(now, guard);
            self.perform(client, actions);
        }
    }
}

#[test]
fn random_events_give_the_recorded_actions() {
    let (mut transcripts, mut kinds) = (Vec::new(), BTreeSet::new());
    for seed in 1..=TRANSCRIPTS.len() as u64 {
        let (transcript, seen) = Run::new(seed).run();
        transcripts.push(transcript);
        kinds.extend(seen);
    }
    assert_eq!(
        kinds,
        BTreeSet::from(ALL_KINDS),
        "each kind of action occurs"
    );
    assert_eq!(transcripts, TRANSCRIPTS);
}
