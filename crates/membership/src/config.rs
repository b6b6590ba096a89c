//! The parameters of the membership protocol, mostly with memberlist's names, and their validation.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::node::{MAX_NAME_BYTES, Node, is_valid_name};

/// The exclusive upper bound of each interval and timeout.
const MAX_INTERVAL: Duration = Duration::from_secs(3600);

/// The range of the parameters that multiply an interval or a count.
const MULTIPLIER_RANGE: RangeInclusive<f64> = 1.0..=100.0;

/// The range of [`Config::max_updates_per_message`].
const UPDATES_PER_MESSAGE_RANGE: RangeInclusive<usize> = 1..=1000;

/// The range of [`Config::max_members`].
const MEMBERS_RANGE: RangeInclusive<usize> = 1..=100_000;

/// How an error describes the range of an interval.
const EXPECTED_INTERVAL: &str = "over zero and under an hour";

/// How an error describes [`MULTIPLIER_RANGE`].
const EXPECTED_MULTIPLIER: &str = "from 1 to 100";

/// The parameters of the protocol. All members of a cluster should have the same.
#[derive(Clone, Debug)]
pub struct Config {
    /// The protocol period: the time between two probes. Over zero, under an hour.
    pub probe_interval: Duration,
    /// How long this node waits for the answer to a direct probe before it asks relays; less than
    /// half of the probe interval.
    pub probe_timeout: Duration,
    /// The number of members that are asked to probe a member that did not answer (SWIM's `k`). It
    /// is also the number of confirmations that reduces a suspicion to its shortest duration, and
    /// the number of members besides the reporter that receive a refutation directly.
    pub indirect_checks: usize,
    /// The shortest duration of a suspicion, in probe intervals times the decimal logarithm of the
    /// number of members (at least 1). From 1 to 100.
    pub suspicion_mult: f64,
    /// The longest duration of a suspicion, which applies while no other member confirms it, in
    /// multiples of the shortest. From 1 to 100.
    pub suspicion_max_timeout_mult: f64,
    /// The worst local health score (Lifeguard's and memberlist's "awareness"): a node multiplies
    /// its probe interval, probe timeout and suspicion timeouts by its score plus one. With 0 the
    /// protocol is plain SWIM.
    pub max_awareness: u32,
    /// How many times an update is sent, in multiples of the binary logarithm of one more than the
    /// number of live members. From 1 to 100.
    pub retransmit_mult: f64,
    /// The maximum number of updates in a message of the failure detector. From 1 to 1,000.
    pub max_updates_per_message: usize,
    /// The maximum number of other members that are recorded, including dead ones. From 1 to
    /// 100,000.
    pub max_members: usize,
    /// The time between two exchanges of the complete state, on average. Over zero, under an hour.
    pub push_pull_interval: Duration,
    /// How long a member that is dead or has left stays recorded. Longer than the probe interval.
    pub dead_member_retention: Duration,
    /// Addresses at which other members may be found.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(150),
            indirect_checks: 3,
            suspicion_mult: 4.0,
            suspicion_max_timeout_mult: 6.0,
            max_awareness: 8,
            retransmit_mult: 4.0,
            max_updates_per_message: 12,
            max_members: 2000,
            push_pull_interval: Duration::from_secs(5),
            dead_member_retention: Duration::from_secs(600),
            seeds: Vec::new(),
        }
    }
}

/// Why a configuration or the identity of a node was rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// A parameter of [`Config`] is out of range.
    #[error("{parameter} is out of range: it must be {expected}")]
    OutOfRange {
        /// The field of [`Config`].
        parameter: &'static str,
        /// The range.
        expected: &'static str,
    },
    /// A name of the node is empty or too long.
    #[error("the {field} of the node has {length} bytes: it must have 1 to {MAX_NAME_BYTES}")]
    NameLength {
        /// The field of [`Node`].
        field: &'static str,
        /// Its length in bytes.
        length: usize,
    },
}

impl Config {
    /// Checks each parameter.
    ///
    /// # Errors
    ///
    /// [`ConfigError::OutOfRange`] with the first parameter that is out of range.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        let is_interval = |span: Duration| span > Duration::ZERO && span < MAX_INTERVAL;
        let is_timeout =
            is_interval(self.probe_timeout) && self.probe_timeout * 2 < self.probe_interval;
        let checks = [
            (
                "probe_interval",
                is_interval(self.probe_interval),
                EXPECTED_INTERVAL,
            ),
            (
                "probe_timeout",
                is_timeout,
                "over zero and under half of probe_interval",
            ),
            (
                "suspicion_mult",
                MULTIPLIER_RANGE.contains(&self.suspicion_mult),
                EXPECTED_MULTIPLIER,
            ),
            (
                "suspicion_max_timeout_mult",
                MULTIPLIER_RANGE.contains(&self.suspicion_max_timeout_mult),
                EXPECTED_MULTIPLIER,
            ),
            (
                "retransmit_mult",
                MULTIPLIER_RANGE.contains(&self.retransmit_mult),
                EXPECTED_MULTIPLIER,
            ),
            (
                "max_updates_per_message",
                UPDATES_PER_MESSAGE_RANGE.contains(&self.max_updates_per_message),
                "from 1 to 1,000",
            ),
            (
                "max_members",
                MEMBERS_RANGE.contains(&self.max_members),
                "from 1 to 100,000",
            ),
            (
                "push_pull_interval",
                is_interval(self.push_pull_interval),
                EXPECTED_INTERVAL,
            ),
            (
                "dead_member_retention",
                self.dead_member_retention > self.probe_interval,
                "longer than probe_interval",
            ),
        ];
        match checks.into_iter().find(|(_, is_valid, _)| !is_valid) {
            Some((parameter, _, expected)) => Err(ConfigError::OutOfRange {
                parameter,
                expected,
            }),
            None => Ok(()),
        }
    }
}

impl Node {
    /// Checks the length of each name.
    ///
    /// # Errors
    ///
    /// [`ConfigError::NameLength`] with the first name whose length is out of bounds.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        let names = [
            ("name", &self.name),
            ("region", &self.region),
            ("zone", &self.zone),
        ];
        match names.into_iter().find(|(_, name)| !is_valid_name(name)) {
            Some((field, name)) => Err(ConfigError::NameLength {
                field,
                length: name.len(),
            }),
            None => Ok(()),
        }
    }
}
