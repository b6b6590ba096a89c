//! A plan: the members of a cluster, the faults that a run injects, and the bounds that it checks.

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

/// A member's index in [`Plan::members`], which identifies it in a run.
pub(crate) type MemberIndex = usize;

/// Why a plan file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The text is not HCL, has an unknown block or key, or lacks a required one.
    #[error(transparent)]
    Syntax(#[from] hcl::Error),
    /// A value is out of range.
    #[error("{location}: {expected}")]
    InvalidValue {
        /// The key or block that holds the value.
        location: String,
        /// The requirement that the value does not meet.
        expected: String,
    },
}

/// The members of one zone.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneMembers {
    /// The zone's name.
    pub zone: String,
    /// The region of the zone. If empty, the region has the name of the zone.
    #[serde(default)]
    pub region: String,
    /// The number of members in the zone.
    pub count: usize,
}

/// One member. The members of a zone are named `ZONE-1`, `ZONE-2` and so on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member's name.
    pub name: String,
    /// The member's zone.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
}

impl Member {
    /// Whether a target selects this member: the target is the member's name, its zone, or the
    /// empty string, which selects all members.
    pub(crate) fn matches(&self, target: &str) -> bool {
        target.is_empty() || self.name == target || self.zone == target
    }
}

/// A lease that members want for as long as they run.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedLease {
    /// The lease's name.
    pub name: String,
    /// The time for which a grant is valid without a renewal, in seconds.
    #[serde(rename = "term", default = "default_ttl")]
    pub ttl: f64,
    /// The number of owners that may hold the lease at the same time.
    #[serde(rename = "places", default = "default_capacity")]
    pub capacity: u32,
    /// The zone or member that wants the lease; empty for all members.
    #[serde(rename = "of", default)]
    pub target: String,
    /// The maximum duration of an operation under the lease, in seconds.
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

/// The bounds of the invariants, in seconds. A run that exceeds a bound has failed.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The maximum time for which a member may consider a live, reachable member dead.
    #[serde(rename = "held_dead")]
    pub false_death: f64,
    /// The maximum time until a live member detects that another member is dead.
    #[serde(rename = "known")]
    pub death_detection: f64,
    /// The maximum time after the last fault for which a view may differ from the truth.
    #[serde(rename = "agree")]
    pub convergence: f64,
    /// The maximum time after the last fault for which a wanted lease may have no holder while a
    /// majority of voters votes.
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

/// A cluster, its faults with their times, and the bounds of the invariants.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The duration of a run, in seconds.
    pub length: f64,
    /// The members, by zone.
    pub zones: Vec<ZoneMembers>,
    /// The faults, sorted by kind.
    pub faults: Vec<Fault>,
    /// The bounds of the invariants.
    pub bounds: Bounds,
    /// The configuration of the membership.
    pub membership: Config,
    /// The names of the members that are voters at the start of the run.
    pub voters: Vec<String>,
    /// The leases that members want.
    pub leases: Vec<PlannedLease>,
}

impl Plan {
    /// Parses and validates a plan file.
    ///
    /// # Errors
    /// [`PlanError::Syntax`] if the text is not a plan file, and [`PlanError::InvalidValue`] if a
    /// value is out of range.
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

    /// The lease with a name. If several blocks have the name, the last one counts.
    pub(crate) fn lease(&self, name: &str) -> Option<&PlannedLease> {
        self.leases.iter().rfind(|lease| lease.name == name)
    }

    /// The region of a zone, from the zone's first block.
    fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        let block = self.zones.iter().find(|block| block.zone == zone);
        block
            .map(|block| block.region.as_str())
            .filter(|region| !region.is_empty())
            .unwrap_or(zone)
    }

    /// The end of the last fault since the start of the run. A fault that never ends, such as a
    /// changed clock rate, counts with its beginning.
    pub fn faults_end(&self) -> Duration {
        Duration::from_secs_f64(self.faults.iter().map(Fault::end).fold(0.0, f64::max))
    }

    /// The rate of a member's clock: that of the first clock fault that selects the member,
    /// otherwise 1.
    pub(crate) fn clock_rate(&self, member: &Member) -> f64 {
        let rate_of = |fault: &Fault| match fault {
            Fault::ClockRate { target, rate } if member.matches(target) => Some(*rate),
            _ => None,
        };
        self.faults.iter().find_map(rate_of).unwrap_or(1.0)
    }
}

/// The indices of the members that a target selects.
pub(crate) fn matching_members(members: &[Member], target: &str) -> Vec<MemberIndex> {
    (0..members.len())
        .filter(|&index| members[index].matches(target))
        .collect()
}

/// The first member of each zone. New members join through these members; a zone that is cut off
/// still reaches its own.
pub(crate) fn seed_members(members: &[Member]) -> impl Iterator<Item = MemberIndex> {
    (0..members.len()).filter(|&index| index == 0 || members[index].zone != members[index - 1].zone)
}
