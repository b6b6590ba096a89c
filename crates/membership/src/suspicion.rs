//! Suspicion: a member that did not answer a probe is suspect, and dead when the suspicion expires
//! without a refutation.
//!
//! **Decision**: how long a suspicion lasts, and which confirmations shorten it.
//!
//! **When it binds**: from the first update that calls a member suspect until an update overrides
//! it. The time limit is longest while a single member suspects, and each confirmation by another
//! member shortens it, down to the shortest limit.
//!
//! **Failure it guards against**: a suspicion that a single member raises may be that member's own
//! fault (it or its links are slow). With a short limit for all suspicions, such a member declares
//! healthy ones dead; with a long limit, a crash is noticed late.
//!
//! **Why it holds**: members that probe independently soon confirm a crash, but they do not confirm
//! a suspicion caused by a fault of the first reporter.
//!
//! **Price**: a crash that few members can confirm is noticed up to `suspicion_max_timeout_mult`
//! times as late.
//!
//! Source: Dadgar, Phillips, Currey: "Lifeguard", 2017 (Local Health Aware Suspicion); SWIM,
//! section 4.2 (the suspicion itself).

use std::collections::BTreeSet;
use std::time::Duration;

use crate::node::NodeName;

/// The minimum factor by which the number of members lengthens a suspicion: the limit is the same
/// for up to ten nodes.
const MIN_SIZE_FACTOR: f64 = 1.0;

/// The parameters of the time limits of all suspicions of a node.
pub(crate) struct SuspicionParameters {
    /// The protocol period; [`Config::probe_interval`](crate::Config::probe_interval).
    pub(crate) probe_interval: Duration,
    /// The shortest limit in probe intervals, before it is scaled with the number of nodes;
    /// [`Config::suspicion_mult`](crate::Config::suspicion_mult).
    pub(crate) suspicion_mult: f64,
    /// The longest limit in multiples of the shortest;
    /// [`Config::suspicion_max_timeout_mult`](crate::Config::suspicion_max_timeout_mult).
    pub(crate) max_timeout_mult: f64,
    /// The number of confirmations that reduces the limit to the shortest, if the cluster has
    /// enough members; [`Config::indirect_checks`](crate::Config::indirect_checks).
    pub(crate) max_confirmations: usize,
    /// The number of members other than this node that are alive or suspect.
    pub(crate) live_members: usize,
    /// The factor by which the local health of this node stretches the limit.
    pub(crate) time_factor: u32,
}

impl SuspicionParameters {
    /// The limit with all confirmations, before the local health stretches it.
    fn min_timeout(&self) -> Duration {
        let cluster_size = self.live_members + 1;
        let size_factor = (cluster_size as f64).log10().max(MIN_SIZE_FACTOR);
        self.probe_interval
            .mul_f64(self.suspicion_mult * size_factor)
    }

    /// The number of confirmations that can be expected: neither the suspect nor the first reporter
    /// confirms.
    fn expected_confirmations(&self) -> usize {
        let other_members = self.live_members.saturating_sub(1);
        self.max_confirmations.min(other_members).max(1)
    }
}

/// A suspicion against one member.
pub(crate) struct Suspicion {
    /// When the suspicion was raised, on the clock of the events.
    since: Duration,
    /// The members that raised or confirmed the suspicion.
    reporters: BTreeSet<NodeName>,
}

impl Suspicion {
    /// Creates a suspicion that is raised now.
    pub(crate) fn new(now: Duration, reported_by: Option<&NodeName>) -> Self {
        Suspicion {
            since: now,
            reporters: reported_by.into_iter().cloned().collect(),
        }
    }

    /// The members that raised or confirmed the suspicion, in the order of their names.
    pub(crate) fn reporters(&self) -> impl Iterator<Item = &NodeName> {
        self.reporters.iter()
    }

    /// Adds a member that confirms the suspicion. Returns whether this shortens the time limit: it
    /// does not if the member already suspects, or if enough members do.
    pub(crate) fn confirm(&mut self, reporter: &NodeName, max_confirmations: usize) -> bool {
        self.reporters.len() <= max_confirmations && self.reporters.insert(reporter.clone())
    }

    /// When the suspicion expires, on the clock of the events.
    pub(crate) fn deadline(&self, parameters: &SuspicionParameters) -> Duration {
        self.since + self.timeout(parameters) * parameters.time_factor
    }

    /// The time limit of the suspicion, before the local health stretches it.
    ///
    /// The first reporter does not count as a confirmation. An update without a reporter is
    /// malformed and is ignored before it reaches this function.
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
