//! The plan file: its HCL blocks and keys, which docs/chaos.md lists. Words of the format are also
//! in the `serde` attributes and the `keyword` functions of the plan's types, and in `hcl_output`,
//! which writes faults.

use std::time::Duration;

use serde::Deserialize;
use tulipgap_membership::Config;

use super::{
    Bounds, DirectoryAfterCrash, DiskFault, Fault, OperationStep, Plan, PlanError, PlannedLease,
    TimeWindow, ZoneMembers,
};

/// The blocks of one kind: none, one or several.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum Blocks<T> {
    One(T),
    Many(Vec<T>),
}

impl<T> Default for Blocks<T> {
    fn default() -> Self {
        Blocks::Many(Vec::new())
    }
}

impl<T> Blocks<T> {
    fn into_vec(self) -> Vec<T> {
        match self {
            Blocks::One(block) => vec![block],
            Blocks::Many(blocks) => blocks,
        }
    }

    fn into_faults(self) -> impl Iterator<Item = Fault>
    where
        T: Into<Fault>,
    {
        self.into_vec().into_iter().map(T::into)
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PartitionBlock {
    from: f64,
    to: f64,
    between: [String; 2],
    #[serde(default)]
    one_way: bool,
    flap: Option<f64>,
}

impl From<PartitionBlock> for Fault {
    fn from(block: PartitionBlock) -> Self {
        let PartitionBlock {
            from,
            to,
            between: [a, b],
            one_way,
            flap,
        } = block;
        Fault::Partition {
            window: TimeWindow { from, to },
            a,
            b,
            one_way,
            flap,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DegradedLinksBlock {
    from: f64,
    to: f64,
    #[serde(rename = "of", default)]
    target: String,
    #[serde(default)]
    loss: f64,
    #[serde(default)]
    delay_ms: f64,
    #[serde(rename = "twice", default)]
    duplication: f64,
}

impl From<DegradedLinksBlock> for Fault {
    fn from(block: DegradedLinksBlock) -> Self {
        let DegradedLinksBlock {
            from,
            to,
            target,
            loss,
            delay_ms,
            duplication,
        } = block;
        Fault::DegradedLinks {
            window: TimeWindow { from, to },
            target,
            loss,
            delay_ms,
            duplication,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CrashBlock {
    at: f64,
    #[serde(rename = "of")]
    target: String,
    back: Option<f64>,
    #[serde(rename = "folder", default)]
    directory: DirectoryAfterCrash,
}

impl From<CrashBlock> for Fault {
    fn from(block: CrashBlock) -> Self {
        let CrashBlock {
            at,
            target,
            back: restart_at,
            directory,
        } = block;
        Fault::Crash {
            at,
            target,
            restart_at,
            directory,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PauseBlock {
    at: f64,
    #[serde(rename = "of")]
    target: String,
    back: Option<f64>,
    step: Option<OperationStep>,
    /// The key has no effect. It is accepted because earlier versions accepted it.
    #[serde(rename = "folder", default)]
    _directory: DirectoryAfterCrash,
}

impl From<PauseBlock> for Fault {
    fn from(block: PauseBlock) -> Self {
        let PauseBlock {
            at,
            target,
            back: resume_at,
            step,
            ..
        } = block;
        Fault::Pause {
            at,
            target,
            resume_at,
            step,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClockBlock {
    #[serde(rename = "of")]
    target: String,
    rate: f64,
}

impl From<ClockBlock> for Fault {
    fn from(ClockBlock { target, rate }: ClockBlock) -> Self {
        Fault::ClockRate { target, rate }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DiskBlock {
    at: f64,
    #[serde(rename = "of")]
    target: String,
    back: Option<f64>,
    #[serde(rename = "what")]
    fault: DiskFault,
}

impl From<DiskBlock> for Fault {
    fn from(block: DiskBlock) -> Self {
        let DiskBlock {
            at,
            target,
            back: repaired_at,
            fault,
        } = block;
        Fault::Disk {
            at,
            target,
            repaired_at,
            fault,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplaceBlock {
    at: f64,
    old: String,
    new: String,
}

impl From<ReplaceBlock> for Fault {
    fn from(ReplaceBlock { at, old, new }: ReplaceBlock) -> Self {
        Fault::ReplaceVoter { at, old, new }
    }
}

/// Values that replace the defaults of the membership's configuration. Times are in seconds.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct MembershipOverrides {
    #[serde(rename = "period")]
    probe_interval: Option<f64>,
    #[serde(rename = "timeout")]
    probe_timeout: Option<f64>,
    /// 0 turns Lifeguard's local health awareness off.
    #[serde(rename = "awareness")]
    max_awareness: Option<u32>,
    #[serde(rename = "suspicion")]
    suspicion_mult: Option<f64>,
    /// 1 turns Lifeguard's dynamic suspicion timeouts off.
    #[serde(rename = "suspicion_most")]
    suspicion_max_timeout_mult: Option<f64>,
}

impl TryFrom<MembershipOverrides> for Config {
    type Error = PlanError;

    fn try_from(overrides: MembershipOverrides) -> Result<Self, PlanError> {
        let defaults = Config::default();
        let duration = |key: &str, seconds: Option<f64>, default: Duration| {
            let Some(seconds) = seconds else {
                return Ok(default);
            };
            Duration::try_from_secs_f64(seconds).map_err(|error| PlanError::InvalidValue {
                location: format!("terms.{key}"),
                expected: error.to_string(),
            })
        };
        Ok(Config {
            probe_interval: duration("period", overrides.probe_interval, defaults.probe_interval)?,
            probe_timeout: duration("timeout", overrides.probe_timeout, defaults.probe_timeout)?,
            max_awareness: overrides.max_awareness.unwrap_or(defaults.max_awareness),
            suspicion_mult: overrides.suspicion_mult.unwrap_or(defaults.suspicion_mult),
            suspicion_max_timeout_mult: overrides
                .suspicion_max_timeout_mult
                .unwrap_or(defaults.suspicion_max_timeout_mult),
            ..defaults
        })
    }
}

/// A complete plan file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PlanFile {
    length: f64,
    members: Blocks<ZoneMembers>,
    #[serde(default)]
    cut: Blocks<PartitionBlock>,
    #[serde(default)]
    links: Blocks<DegradedLinksBlock>,
    #[serde(default)]
    crash: Blocks<CrashBlock>,
    #[serde(default)]
    stop: Blocks<PauseBlock>,
    #[serde(default)]
    clock: Blocks<ClockBlock>,
    #[serde(default)]
    disk: Blocks<DiskBlock>,
    #[serde(default)]
    replace: Blocks<ReplaceBlock>,
    #[serde(default)]
    voters: Vec<String>,
    #[serde(default)]
    lease: Blocks<PlannedLease>,
    check: Option<Bounds>,
    #[serde(default)]
    terms: MembershipOverrides,
}

impl PlanFile {
    /// Parses the blocks without validating their values.
    pub(super) fn parse(text: &str) -> Result<Self, PlanError> {
        Ok(hcl::from_str(text)?)
    }
}

impl TryFrom<PlanFile> for Plan {
    type Error = PlanError;

    fn try_from(file: PlanFile) -> Result<Self, PlanError> {
        let mut faults = Vec::new();
        faults.extend(file.cut.into_faults());
        faults.extend(file.links.into_faults());
        faults.extend(file.crash.into_faults());
        faults.extend(file.stop.into_faults());
        faults.extend(file.clock.into_faults());
        faults.extend(file.disk.into_faults());
        faults.extend(file.replace.into_faults());
        Ok(Plan {
            length: file.length,
            zones: file.members.into_vec(),
            faults,
            bounds: file.check.unwrap_or_default(),
            membership: file.terms.try_into()?,
            voters: file.voters,
            leases: file.lease.into_vec(),
        })
    }
}
