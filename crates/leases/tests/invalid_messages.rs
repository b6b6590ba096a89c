//! Commands, responses and notifications that are well-formed on the wire but have invalid or
//! contradictory contents. Any holder of the cluster key can send them. Neither the replicated
//! state machine nor a client may panic on any of them, and both must stay within their bounds.

use std::time::Duration;

use tulipgap_leases::{
    Action, Command, Config, Event, FencingToken, Incarnation, LeaseClient, LeaseSpec,
    LeaseStateMachine, Name, Owner, RejectReason, RenewalNumber, RequestId, Response,
};

const NUMBERS: [u64; 6] = [0, 1, 2, 3, u64::MAX - 1, u64::MAX];
/// Names of owners, leases and voters, unknown names, and invalid names.
const NAMES: [&str; 7] = ["a", "b", "c", "v", "w", "", "x\0y z"];

struct Sender {
    rng: fastrand::Rng,
}

impl Sender {
    fn name(&mut self) -> Name {
        match self.rng.u8(..20) {
            0 => "long".repeat(self.rng.usize(..100)).as_str().into(),
            _ => self.rng.choice(NAMES).unwrap().into(),
        }
    }

    /// A number. Half of the numbers are small, so that the receiver sometimes knows them.
    fn number(&mut self) -> u64 {
        match self.rng.bool() {
            true => self.rng.u64(..40),
            false => self.rng.choice(NUMBERS).unwrap(),
        }
    }

    fn duration(&mut self) -> Duration {
        let durations = [
            Duration::ZERO,
            Duration::from_nanos(1),
            Duration::from_millis(200),
            Duration::from_secs(2),
            Duration::from_secs(3600),
            Duration::MAX,
        ];
        self.rng.choice(durations).unwrap()
    }

    fn capacity(&mut self) -> u32 {
        self.rng.choice([0, 1, 1, 2, 1000, u32::MAX]).unwrap()
    }

    fn owner(&mut self) -> Owner {
        Owner {
            name: self.name(),
            incarnation: Incarnation(self.number()),
        }
    }

    fn token(&mut self) -> FencingToken {
        FencingToken(self.number())
    }

    fn command(&mut self) -> Command {
        let lease = self.name();
        match self.rng.u8(..8) {
            0..=3 => Command::Acquire {
                lease,
                owner: self.owner(),
                ttl: Duration::from_secs(2),
                capacity: self.capacity(),
                wait: self.rng.bool(),
            },
            4 => Command::Release {
                lease,
                owner: self.owner(),
                token: self.rng.bool().then(|| self.token()),
            },
            5 => Command::Expire {
                lease,
                owner: self.owner(),
                renewal: RenewalNumber(self.number()),
            },
            6 => Command::Revoke {
                lease,
                token: self.token(),
            },
            _ => Command::Transfer {
                lease,
                token: self.token(),
                to: self.name(),
            },
        }
    }

    fn response(&mut self) -> Response {
        match self.rng.u8(..6) {
            0 | 1 => Response::Granted {
                token: self.token(),
            },
            2 => Response::Queued {
                ahead: self.capacity(),
            },
            3 => Response::Done,
            4 => Response::Rejected(RejectReason::SpecMismatch {
                ttl: self.duration(),
                capacity: self.capacity(),
            }),
            _ => Response::Rejected(RejectReason::Revoked),
        }
    }

    fn event(&mut self) -> Event {
        match self.rng.u8(..8) {
            0 => Event::Acquire {
                lease: self.name(),
                spec: LeaseSpec {
                    ttl: self.duration(),
                    capacity: self.capacity(),
                },
                max_operation: self.duration(),
                wait: self.rng.bool(),
            },
            1 => Event::Release { lease: self.name() },
            2..=4 => Event::Response {
                incarnation: Incarnation(1),
                request: RequestId(self.number()),
                response: self.response(),
            },
            5 => Event::NotLeader {
                request: RequestId(self.number()),
                leader: self.rng.bool().then(|| self.name()),
            },
            6 => Event::SlotAvailable { lease: self.name() },
            _ => Event::TimerElapsed,
        }
    }
}

fn apply_invalid_commands(seeds: std::ops::Range<u64>, commands: u32) {
    let (mut grants, mut queued) = (0, 0);
    for seed in seeds {
        let rng = fastrand::Rng::with_seed(seed);
        let mut sender = Sender { rng };
        let mut state = LeaseStateMachine::default();
        for _ in 0..commands {
            let last_token = state.last_token();
            match state.apply(&sender.command()) {
                Response::Granted { .. } => grants += 1,
                Response::Queued { .. } => queued += 1,
                Response::Done | Response::Rejected(_) => {}
            }
            assert!(state.last_token() >= last_token, "seed {seed}: tokens grow");
            for (name, lease) in state.leases() {
                let capacity = lease.spec.capacity as usize;
                assert!(lease.holders.len() <= capacity, "seed {seed}: {name}");
            }
        }
    }
    assert!(grants > 0 && queued > 0, "some commands are valid");
}

fn handle_invalid_events(seeds: std::ops::Range<u64>, events: u32) {
    let (mut acquired, mut lost) = (0, 0);
    for seed in seeds {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut sender = Sender { rng: rng.fork() };
        let owner = Owner {
            name: "a".into(),
            incarnation: Incarnation(1),
        };
        let config = Config {
            max_clock_drift_permille: 50,
            jitter_permille: 100,
        };
        let voters = vec!["v".into(), "w".into()];
        let mut client = LeaseClient::new(owner, voters, config, seed);
        let mut now = Duration::ZERO;
        for _ in 0..events {
            let pauses = [0, 1, 100, 600, 10_000, 7_200_000];
            now += Duration::from_millis(rng.choice(pauses).unwrap());
            if rng.u8(..50) == 0 {
                // The clock is set back.
                now /= 2;
            }
            for action in client.handle_event(now, sender.event()) {
                match action {
                    Action::Acquired { .. } => acquired += 1,
                    Action::Lost { .. } => lost += 1,
                    _ => {}
                }
            }
        }
    }
    assert!(acquired > 0 && lost > 0, "some events are valid");
}

/// Guards against a peer's command that crashes the process of each voter.
#[test]
fn invalid_commands_do_not_panic() {
    apply_invalid_commands(0..100, 500);
}

/// Guards against a peer's message, or a jump of the clock, that crashes the process of an owner.
#[test]
fn invalid_events_do_not_panic() {
    handle_invalid_events(0..200, 500);
}

#[test]
#[ignore = "a million of each: cargo test -p tulipgap-leases --test invalid_messages -- --ignored"]
fn a_million_invalid_commands_and_events_do_not_panic() {
    apply_invalid_commands(0..2000, 500);
    handle_invalid_events(0..2000, 500);
}
