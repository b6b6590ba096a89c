//! Golden transcripts: seeded event streams go into a [`Controller`], and a checksum of all
//! returned actions is compared with a literal value.
//!
//! A change of names or of structure must leave every checksum as it is. A change of behaviour
//! changes checksums and says so in its commit.

mod host;
mod phase;
mod recorded_words;

use std::collections::BTreeMap;
use std::time::Duration;

use host::Host;
use tulipgap::{
    CallerFeedback, Cancellation, Config, Dependency, HandlerConfig, Idempotency, TenantConfig,
};

/// Number of events in each transcript.
const EVENTS_PER_TRANSCRIPT: usize = 6_000;

/// Checksum and number of the actions for each seed. The seed also selects the configuration.
const EXPECTED: [(u64, u32, usize); 12] = [
    (0, 0xc70b_1d31, 7_337),
    (1, 0x17fd_c64d, 6_321),
    (2, 0x5239_7796, 6_608),
    (3, 0xa127_1004, 6_665),
    (4, 0xea95_81f7, 6_031),
    (5, 0xcdc5_ba87, 7_151),
    (6, 0x212c_28cc, 6_590),
    (7, 0x2c74_ee90, 6_550),
    (8, 0x8890_9345, 6_375),
    (9, 0x813a_c535, 6_994),
    (10, 0x574f_b5a4, 6_202),
    (11, 0x7f97_4478, 6_645),
];

/// Words of the library renamed since the checksums were recorded: each present word, and the
/// recorded word that takes its place in a transcript.
const RENAMED_WORDS: &[(&str, &str)] = &[];

/// Every kind of action, and every reason of a rejection or failure.
const KINDS: [&str; 25] = [
    "AdmissionControl",
    "CallFailed",
    "Cancel",
    "Cancelled",
    "Coalesce",
    "DeadlineNear",
    "Draining",
    "Fail",
    "ForgetKey",
    "HighFailureRate",
    "MemoryLimit",
    "ObjectiveMissed",
    "Overtaken",
    "PredictedLate",
    "Reject",
    "Release",
    "RememberKey",
    "SetFeedback",
    "SetHealth",
    "SetIdleTimeout",
    "SetTimer",
    "SkipCall",
    "Start",
    "StartCall",
    "Terminating",
];

fn milliseconds(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn handler(
    idempotency: Idempotency,
    priority_weight: f64,
    calls_dependency: bool,
    degraded_weight: f64,
) -> HandlerConfig {
    HandlerConfig {
        latency_objective: milliseconds(400 + 150 * (priority_weight as u64)),
        objective_stretch: 0.0,
        client_timeout: milliseconds(3_000),
        priority_weight,
        idempotency,
        key_retention: milliseconds(1_500),
        calls_dependency,
        degraded_weight,
    }
}

fn handlers(seed: u64) -> Vec<HandlerConfig> {
    let mut handlers = vec![
        handler(Idempotency::Idempotent, 1.0, true, 0.5),
        handler(Idempotency::Keyed, 2.0, true, 0.0),
        handler(Idempotency::NonIdempotent, 3.0, seed.is_multiple_of(2), 0.7),
        handler(Idempotency::Idempotent, 4.0, seed.is_multiple_of(3), 0.0),
    ];
    for handler in &mut handlers {
        handler.objective_stretch = [0.0, 8.0, 2.0][seed as usize % 3];
    }
    if seed % 4 == 3 {
        handlers[1].calls_dependency = false;
    }
    handlers
}

/// The configuration for a seed. Together the configurations cover each dependency, feedback and
/// cancellation, warm and cold starts, and known and unknown numbers of servers.
fn config(seed: u64) -> Config {
    let tenant = |rate_quota_per_s| TenantConfig { rate_quota_per_s };
    Config {
        handlers: handlers(seed),
        tenants: match seed % 3 {
            0 => vec![],
            _ => vec![tenant(40.0), tenant(20.0), tenant(10.0)],
        },
        over_quota_weight: 0.3,
        cores: 2 + (seed % 3) as u32,
        memory_kb: [8_000.0, 6_000.0, 3_500.0, 5_000.0][seed as usize % 4],
        running_memory_factor: 4.0,
        key_kb: 20.0,
        starts_cold: seed % 5 == 1,
        cold_speed: 0.3,
        warm_up: milliseconds(8_000),
        max_concurrency_per_core: 4.0,
        response_slack: milliseconds([60, 20, 8][seed as usize % 3]),
        drain_grace: milliseconds(600),
        dependency: match seed % 3 {
            0 => Dependency::Shared {
                share: 4.0,
                window: milliseconds(5_000),
                linger: milliseconds(200),
            },
            1 => Dependency::Tier,
            _ if seed == 5 => Dependency::None,
            _ => Dependency::Shared {
                share: 1.5,
                window: milliseconds(3_000),
                linger: milliseconds(50),
            },
        },
        cancellation: match seed % 3 {
            0 => Cancellation::DiscardsProgress,
            1 => Cancellation::Unsupported,
            _ => Cancellation::KeepsProgress,
        },
        feedback: match seed % 4 {
            0 => CallerFeedback::TrafficWeight,
            1 => CallerFeedback::PriorityThreshold,
            2 => CallerFeedback::ConcurrencyCredit,
            _ => CallerFeedback::None,
        },
        max_retry_after: (seed % 4 != 2).then(|| milliseconds(900)),
        servers: if seed.is_multiple_of(2) { 3 } else { 0 },
        callers: 8 + 40 * (seed % 4) as u32,
        marks_retries: seed % 3 != 2,
        idle_timeout: milliseconds(15_000),
    }
}

fn run_transcript(seed: u64) -> Host {
    let mut host = Host::new(config(seed), seed);
    host.run_transcript(EVENTS_PER_TRANSCRIPT);
    host
}

#[test]
fn the_same_events_give_the_same_actions() {
    let measured: Vec<(u64, u32, usize)> = EXPECTED
        .iter()
        .map(|&(seed, _, _)| {
            let host = run_transcript(seed);
            (seed, host.checksum(), host.action_count())
        })
        .collect();
    assert_eq!(measured, EXPECTED);
}

#[test]
fn the_transcripts_contain_every_kind_of_action_and_reason() {
    let mut occurrences: BTreeMap<&'static str, usize> = BTreeMap::new();
    for &(seed, _, _) in &EXPECTED {
        for (kind, count) in run_transcript(seed).occurrences() {
            *occurrences.entry(kind).or_default() += count;
        }
    }
    let kinds: Vec<&str> = occurrences.into_keys().collect();
    assert_eq!(kinds, KINDS);
}
