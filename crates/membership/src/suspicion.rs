//! Suspicion: a member that failed a probe is suspect, and dead when the suspicion ends without a
//! refutation.
//!
//! The time limit shrinks with each member that confirms the suspicion (Lifeguard's LHA-Suspicion):
//! a suspicion that one member alone raises may be that member's own fault.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::config::Config;
use crate::member_table::Member;
use crate::membership::Membership;
use crate::message::{MemberState, MemberUpdate};
use crate::node::NodeName;

/// A suspicion against one member. Owned by the record of that member.
pub(crate) struct Suspicion {
    since: Duration,
    /// The members that raised or confirmed it.
    reporters: BTreeSet<NodeName>,
}

impl Suspicion {
    pub(crate) fn new(now: Duration, reported_by: Option<&NodeName>) -> Self {
        Suspicion {
            since: now,
            reporters: reported_by.into_iter().cloned().collect(),
        }
    }

    pub(crate) fn reporters(&self) -> impl Iterator<Item = &NodeName> {
        self.reporters.iter()
    }

    /// Adds a member that confirms the suspicion. Returns whether that shortens the time limit: it
    /// does not where the member is known to suspect, or where enough others do.
    pub(crate) fn confirm(&mut self, reporter: &NodeName, max_confirmations: usize) -> bool {
        self.reporters.len() <= max_confirmations && self.reporters.insert(reporter.clone())
    }

    /// How long the suspicion stands, before it is scaled by the local health.
    fn timeout(&self, config: &Config, live_members: usize) -> Duration {
        let shortest = min_suspicion_timeout(config, live_members + 1);
        let longest = shortest.mul_f64(config.suspicion_max_timeout_mult);
        let expected_confirmations = config
            .indirect_checks
            .min(live_members.saturating_sub(1))
            .max(1) as f64;
        let confirmations = (self.reporters.len() - 1) as f64;
        let confirmed_fraction =
            ((confirmations + 1.0).ln() / (expected_confirmations + 1.0).ln()).min(1.0);
        longest
            .saturating_sub((longest - shortest).mul_f64(confirmed_fraction))
            .max(shortest)
    }
}

fn min_suspicion_timeout(config: &Config, cluster_size: usize) -> Duration {
    let scale = (cluster_size.max(2) as f64).log10().max(1.0);
    config.probe_interval.mul_f64(config.suspicion_mult * scale)
}

impl Membership {
    /// The suspect members, and when the suspicion of each ends.
    fn suspicions(&self) -> impl Iterator<Item = (&Member, Duration)> {
        let live_members = self.members.live_count();
        self.members.iter().filter_map(move |member| {
            let suspicion = member.suspicion.as_ref()?;
            let timeout = suspicion.timeout(&self.config, live_members);
            Some((member, suspicion.since + self.health.scale(timeout)))
        })
    }

    /// When each of the suspicions ends.
    pub(crate) fn suspicion_deadlines(&self) -> impl Iterator<Item = Duration> {
        self.suspicions().map(|(_, deadline)| deadline)
    }

    /// Declares the members dead whose suspicion has ended.
    pub(crate) fn expire_suspicions(&mut self) {
        let is_over = |(_, deadline): &(&Member, Duration)| self.now >= *deadline;
        let expired: Vec<MemberUpdate> = self
            .suspicions()
            .filter(is_over)
            .map(|(member, _)| member.update.clone())
            .collect();
        for update in expired {
            let reported_by = Some(self.local.node.name.clone());
            self.apply_update(&MemberUpdate {
                state: MemberState::Dead,
                reported_by,
                ..update
            });
        }
    }
}
