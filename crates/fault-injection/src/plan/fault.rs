//! The faults that can be injected.

use std::time::Duration;

use serde::Deserialize;

/// When each process's directory is backed up, since the start of the run.
/// [`DirectoryAfterCrash::RolledBack`] restores this backup.
pub(crate) const BACKUP_AT: Duration = Duration::from_millis(500);

/// A half-open span of time from `from` to `to`, in seconds since the start of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeWindow {
    /// The beginning of the span.
    pub from: f64,
    /// The end of the span, which is not part of it.
    pub to: f64,
}

impl TimeWindow {
    /// Whether the window contains a time.
    pub(crate) fn contains(&self, now: f64) -> bool {
        now >= self.from && now < self.to
    }
}

/// The contents of a killed process's directory when it restarts. For a real process this applies
/// only to the directory of the voter's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DirectoryAfterCrash {
    /// All durable data.
    #[default]
    Kept,
    /// No data.
    Emptied,
    /// The data that the directory had half a second after the start of the run.
    #[serde(rename = "older")]
    RolledBack,
}

impl DirectoryAfterCrash {
    /// The value in a plan file.
    pub(crate) fn keyword(self) -> &'static str {
        match self {
            DirectoryAfterCrash::Kept => "kept",
            DirectoryAfterCrash::Emptied => "emptied",
            DirectoryAfterCrash::RolledBack => "older",
        }
    }
}

/// The kind of a disk fault.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DiskFault {
    /// The disk is full: every write fails.
    Full,
    /// Only the next sync fails.
    #[serde(rename = "fails")]
    SyncFails,
}

impl DiskFault {
    /// The value in a plan file.
    pub(crate) fn keyword(self) -> &'static str {
        match self {
            DiskFault::Full => "full",
            DiskFault::SyncFails => "fails",
        }
    }
}

/// A step of an operation under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperationStep {
    /// The lease is about to be checked.
    BeforeCheck,
    /// The lease was checked, and the beginning of the operation is not reported yet.
    Checked,
    /// The beginning of the operation was reported, and the response is not read yet.
    BeginSent,
    /// The operation is in progress.
    UnderWay,
    /// The operation is done, and its end is not reported yet.
    BeforeEnd,
}

impl OperationStep {
    /// All steps, in the order in which an operation reaches them.
    pub const ALL: [OperationStep; 5] = [
        OperationStep::BeforeCheck,
        OperationStep::Checked,
        OperationStep::BeginSent,
        OperationStep::UnderWay,
        OperationStep::BeforeEnd,
    ];

    /// The value in a plan file, and in the file that tells a process the step at which to pause.
    pub fn keyword(self) -> &'static str {
        match self {
            OperationStep::BeforeCheck => "before_check",
            OperationStep::Checked => "checked",
            OperationStep::BeginSent => "begin_sent",
            OperationStep::UnderWay => "under_way",
            OperationStep::BeforeEnd => "before_end",
        }
    }
}

/// A fault. A target is the name of a member or of a zone, or the empty string for all members.
/// Times are in seconds since the start of the run.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// No message passes between two targets.
    Partition {
        /// When the links are cut.
        window: TimeWindow,
        /// The first target.
        a: String,
        /// The second target.
        b: String,
        /// Whether only the messages from `a` to `b` are blocked.
        one_way: bool,
        /// If set, the links are cut for this many seconds, then open for as long, in turn within
        /// the window.
        flap: Option<f64>,
    },
    /// The links of a target are slow or unreliable in both directions.
    DegradedLinks {
        /// When the links are degraded.
        window: TimeWindow,
        /// The members whose links are degraded.
        target: String,
        /// The fraction of messages that are lost.
        loss: f64,
        /// The mean delay that is added to the usual latency, in milliseconds. Each message is
        /// delayed by 0.5 to 1.5 times the mean.
        delay_ms: f64,
        /// The fraction of messages that are delivered twice.
        duplication: f64,
    },
    /// A process is killed.
    Crash {
        /// When the process is killed.
        at: f64,
        /// The members whose process is killed.
        target: String,
        /// When the process restarts, if ever. It then has only its name, the seeds and its
        /// directory.
        restart_at: Option<f64>,
        /// The contents of its directory when it restarts.
        directory: DirectoryAfterCrash,
    },
    /// A process is paused: it keeps its state, and its incoming messages are queued.
    Pause {
        /// When the process is paused.
        at: f64,
        /// The members whose process is paused.
        target: String,
        /// When the process resumes, if ever.
        resume_at: Option<f64>,
        /// The step of an operation under a lease at which a real process is paused, when it first
        /// reaches the step after `at`. If `None`, the process is paused at `at`. Simulations
        /// ignore the step.
        step: Option<OperationStep>,
    },
    /// A clock runs at another rate for the whole run.
    ClockRate {
        /// The members whose clock runs at this rate.
        target: String,
        /// The seconds that the clock shows for each true second.
        rate: f64,
    },
    /// A disk fails.
    Disk {
        /// When the fault begins.
        at: f64,
        /// The members whose disk fails.
        target: String,
        /// When the disk works again. If `None`, the lease simulation repairs the disk after a
        /// default time, and real processes keep the fault to the end of the run.
        repaired_at: Option<f64>,
        /// The kind of the fault.
        fault: DiskFault,
    },
    /// An operator replaces one voter with another. Both may be the same member, if it lost its
    /// directory.
    ReplaceVoter {
        /// When the operator requests the replacement.
        at: f64,
        /// The voter that is removed.
        old: String,
        /// The voter that is added.
        new: String,
    },
}

/// When a fault begins and ends, in seconds since the start of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FaultTimes {
    pub(crate) begin: f64,
    /// `None` if the fault lasts to the end of the run.
    pub(crate) end: Option<f64>,
}

impl Fault {
    /// The position of this kind in [`super::Plan::faults`]. A plan file is parsed kind by kind in
    /// this order, whatever the order of its blocks.
    pub(crate) fn kind_order(&self) -> u32 {
        match self {
            Fault::Partition { .. } => 0,
            Fault::DegradedLinks { .. } => 1,
            Fault::Crash { .. } => 2,
            Fault::Pause { .. } => 3,
            Fault::ClockRate { .. } => 4,
            Fault::Disk { .. } => 5,
            Fault::ReplaceVoter { .. } => 6,
        }
    }

    /// When the fault begins and ends.
    pub(crate) fn times(&self) -> FaultTimes {
        let (begin, end) = match self {
            Fault::Partition { window, .. } | Fault::DegradedLinks { window, .. } => {
                (window.from, Some(window.to))
            }
            Fault::Crash {
                at,
                restart_at: end,
                ..
            }
            | Fault::Pause {
                at, resume_at: end, ..
            }
            | Fault::Disk {
                at,
                repaired_at: end,
                ..
            } => (*at, *end),
            Fault::ReplaceVoter { at, .. } => (*at, None),
            Fault::ClockRate { .. } => (0.0, None),
        };
        FaultTimes { begin, end }
    }

    /// The end of the fault, in seconds since the start of the run. If the fault never ends, its
    /// beginning.
    pub(crate) fn end(&self) -> f64 {
        let FaultTimes { begin, end } = self.times();
        end.unwrap_or(begin)
    }
}
