//! A plan: the members of a cluster, the faults that are injected into it, and the bounds that are
//! checked.

mod fault;
mod file;
mod hcl_output;
mod network;
mod validation;

use std::time::Duration;

use serde::Deserialize;
use tulipgap_membership::Config;

pub(crate) use fault::BACKUP_AT;
pub use fault::{DirectoryAfterCrash, DiskFault, Fault, OperationStep, TimeWindow};
pub(crate) use network::LinkQuality;

/// A member's address in a run: its place in [`Plan::members`].
pub(crate) type MemberIndex = usize;

/// Why a plan file cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The text is not HCL, or has a block or key that plans do not have, or lacks one.
    #[error(transparent)]
    Syntax(#[from] hcl::Error),
    /// A value lies outside what can be played.
    #[error("{location}: {expected}")]
    InvalidValue {
        /// The key or block that holds the value.
        location: String,
        /// What the value has to be.
        expected: String,
    },
}

/// The members of one zone.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneMembers {
    /// The zone's name.
    pub zone: String,
    /// The region that the zone lies in; empty for a region of the zone's own name.
    #[serde(default)]
    pub region: String,
    /// How many members the zone has.
    pub count: usize,
}

/// One member, named ZONE-1 and on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member's name.
    pub name: String,
    /// The zone that it lies in.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
}

impl Member {
    /// Whether a target means this member: its name, its zone, or the empty string, which means
    /// all.
    pub(crate) fn matches(&self, target: &str) -> bool {
        target.is_empty() || self.name == target || self.zone == target
    }
}

/// A lease that members want for as long as they live.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedLease {
    /// The lease's name.
    pub name: String,
    /// How long a grant is valid without a renewal, in seconds.
    #[serde(rename = "term", default = "default_ttl")]
    pub ttl: f64,
    /// How many owners may hold the lease at a time.
    #[serde(rename = "places", default = "default_capacity")]
    pub capacity: u32,
    /// The zone or member that wants it; empty for all.
    #[serde(rename = "of", default)]
    pub target: String,
    /// The longest that one operation under the lease takes, in seconds.
    #[serde(rename = "step", default = "default_max_operation")]
    pub max_operation: f64,
}

fn default_ttl() -> f64 {
    2.0
}

fn default_capacity() -> u32 {
    1
}

fn default_max_operation() -> f64 {
    0.05
}

/// The bounds of the invariants, in seconds; a run that exceeds one has failed.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The longest that a live, reachable member may be considered dead.
    #[serde(rename = "held_dead")]
    pub false_death: f64,
    /// The longest that a live member may not know of another's death.
    #[serde(rename = "known")]
    pub death_detection: f64,
    /// The longest after the last fault that a view may differ from the truth.
    #[serde(rename = "agree")]
    pub convergence: f64,
    /// The longest after the last fault that a wanted lease may have no holder, while a majority of
    /// voters votes.
    #[serde(rename = "free", default = "default_vacancy")]
    pub vacancy: f64,
}

fn default_vacancy() -> f64 {
    15.0
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            false_death: 10.0,
            death_detection: 30.0,
            convergence: 30.0,
            vacancy: default_vacancy(),
        }
    }
}

/// What is played: a cluster, its faults with their times, and the bounds of the invariants.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How long a run lasts, in seconds.
    pub length: f64,
    /// The members, by zone.
    pub zones: Vec<ZoneMembers>,
    /// The faults, sorted by kind.
    pub faults: Vec<Fault>,
    /// The bounds of the invariants.
    pub bounds: Bounds,
    /// The configuration of the membership.
    pub membership: Config,
    /// The names of the members that vote on leases.
    pub voters: Vec<String>,
    /// The leases that members want.
    pub leases: Vec<PlannedLease>,
}

impl Plan {
    /// Parses and validates a plan file.
    ///
    /// # Errors
    /// [`PlanError::Syntax`] where the text is no plan file, and [`PlanError::InvalidValue`] where
    /// it cannot be played.
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        let plan = Plan::try_from(file::PlanFile::parse(text)?)?;
        plan.validate()?;
        Ok(plan)
    }

    /// All members, in the order of their zones.
    pub fn members(&self) -> Vec<Member> {
        let members_of_zone = |zone: &ZoneMembers| {
            let member = |number: usize| Member {
                name: format!("{}-{number}", zone.zone),
                zone: zone.zone.clone(),
                region: self.region_of(&zone.zone).to_owned(),
            };
            (1..=zone.count).map(member).collect::<Vec<_>>()
        };
        self.zones.iter().flat_map(members_of_zone).collect()
    }

    /// The lease of a name; where several blocks name it, the last.
    pub(crate) fn lease(&self, name: &str) -> Option<&PlannedLease> {
        self.leases.iter().rfind(|lease| lease.name == name)
    }

    /// The region of a zone, as its first block has it.
    fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        let block = self.zones.iter().find(|block| block.zone == zone);
        block
            .map(|block| block.region.as_str())
            .filter(|region| !region.is_empty())
            .unwrap_or(zone)
    }

    /// When the last fault is over, since the start. Clocks of another rate do not count: they
    /// never end.
    pub fn faults_end(&self) -> Duration {
        Duration::from_secs_f64(self.faults.iter().map(Fault::end).fold(0.0, f64::max))
    }

    /// The rate of a member's clock: that of the first fault that targets it, otherwise 1.
    pub(crate) fn clock_rate(&self, member: &Member) -> f64 {
        let rate_of = |fault: &Fault| match fault {
            Fault::ClockRate { target, rate } if member.matches(target) => Some(*rate),
            _ => None,
        };
        self.faults.iter().find_map(rate_of).unwrap_or(1.0)
    }
}

/// The places of the members that a target means.
pub(crate) fn matching(members: &[Member], target: &str) -> Vec<MemberIndex> {
    (0..members.len())
        .filter(|&index| members[index].matches(target))
        .collect()
}

/// The first member of each zone, by which new members join: a zone that is cut off still finds its
/// own.
pub(crate) fn seed_members(members: &[Member]) -> impl Iterator<Item = MemberIndex> {
    (0..members.len()).filter(|&index| index == 0 || members[index].zone != members[index - 1].zone)
}
