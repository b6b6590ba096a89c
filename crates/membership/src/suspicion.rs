//! Suspicion: a member that failed a probe is suspect, and dead when the suspicion ends without a
//! refutation.
//!
//! **Decision**: how long a suspicion stands, and which confirmations shorten it.
//!
//! **When it binds**: from the first update that calls a member suspect until an update overrides
//! it. The time limit is the longest while one member alone suspects, and shrinks with each one
//! that confirms, down to the shortest.
//!
//! **Failure it guards against**: a suspicion that one member alone raises may be that member's own
//! fault (it is slow or its links are). With a short limit for all suspicions, such a member
//! declares healthy ones dead; with a long one, a crash is noticed late.
//!
//! **Why it holds**: members that probe independently confirm a crash soon, and none of them
//! confirms a suspicion that the fault of the first one has caused.
//!
//! **Price**: a crash that few can confirm is noticed up to `suspicion_max_timeout_mult` times as
//! late.
//!
//! Source: Dadgar, Phillips, Currey: "Lifeguard", 2017 (Local Health Aware Suspicion); SWIM,
//! section 4.2 (the suspicion itself).

use std::collections::BTreeSet;
use std::time::Duration;

use crate::node::NodeName;

/// The least factor by which the number of members lengthens a suspicion: up to ten nodes the limit
/// is the same.
const MIN_SIZE_FACTOR: f64 = 1.0;

/// What the time limit of every suspicion of a node depends on.
pub(crate) struct SuspicionParameters {
    /// The protocol period; [`Config::probe_interval`](crate::Config::probe_interval).
    pub(crate) probe_interval: Duration,
    /// The shortest limit in probe intervals, before it is scaled with the number of nodes;
    /// [`Config::suspicion_mult`](crate::Config::suspicion_mult).
    pub(crate) suspicion_mult: f64,
    /// The longest limit in multiples of the shortest;
    /// [`Config::suspicion_max_timeout_mult`](crate::Config::suspicion_max_timeout_mult).
    pub(crate) max_timeout_mult: f64,
    /// How many confirmations bring the limit down to the shortest, where the cluster has as many
    /// members; [`Config::indirect_checks`](crate::Config::indirect_checks).
    pub(crate) max_confirmations: usize,
    /// The number of members other than this node that are alive or suspect.
    pub(crate) live_members: usize,
    /// The factor by which the local health of this node stretches the limit.
    pub(crate) time_factor: u32,
}

impl SuspicionParameters {
    /// The limit with all confirmations, before it is stretched by the local health.
    fn min_timeout(&self) -> Duration {
        let cluster_size = self.live_members + 1;
        let size_factor = (cluster_size as f64).log10().max(MIN_SIZE_FACTOR);
        self.probe_interval
            .mul_f64(self.suspicion_mult * size_factor)
    }

    /// How many confirmations can be expected: neither the suspect nor the first reporter confirms.
    fn expected_confirmations(&self) -> usize {
        let other_members = self.live_members.saturating_sub(1);
        self.max_confirmations.min(other_members).max(1)
    }
}

/// A suspicion against one member.
pub(crate) struct Suspicion {
    /// When it was raised, on the clock of the events.
    since: Duration,
    /// The members that raised or confirmed it.
    reporters: BTreeSet<NodeName>,
}

impl Suspicion {
    /// A suspicion raised now.
    pub(crate) fn new(now: Duration, reported_by: Option<&NodeName>) -> Self {
        Suspicion {
            since: now,
            reporters: reported_by.into_iter().cloned().collect(),
        }
    }

    /// The members that raised or confirmed it, in the order of their names.
    pub(crate) fn reporters(&self) -> impl Iterator<Item = &NodeName> {
        self.reporters.iter()
    }

    /// Adds a member that confirms the suspicion. Returns whether that shortens the time limit: it
    /// does not where the member is known to suspect, or where enough others do.
    pub(crate) fn confirm(&mut self, reporter: &NodeName, max_confirmations: usize) -> bool {
        self.reporters.len() <= max_confirmations && self.reporters.insert(reporter.clone())
    }

    /// When the suspicion ends, on the clock of the events.
    pub(crate) fn deadline(&self, parameters: &SuspicionParameters) -> Duration {
        self.since + self.timeout(parameters) * parameters.time_factor
    }

    /// How long the suspicion stands, before it is stretched by the local health.
    ///
    /// The first reporter is no confirmation. An update without one is not well-formed, and is
    /// ignored before it gets here.
    fn timeout(&self, parameters: &SuspicionParameters) -> Duration {
        let shortest = parameters.min_timeout();
        let longest = shortest.mul_f64(parameters.max_timeout_mult);
        let expected_confirmations = parameters.expected_confirmations() as f64;
        let confirmations = self.reporters.len().saturating_sub(1) as f64;
        let confirmed_fraction =
            ((confirmations + 1.0).ln() / (expected_confirmations + 1.0).ln()).min(1.0);
        longest
            .saturating_sub((longest - shortest).mul_f64(confirmed_fraction))
            .max(shortest)
    }
}
