//! The faults that can be injected.

use std::time::Duration;

use serde::Deserialize;

/// When each directory is backed up, since the start of the run: what
/// [`DirectoryAfterCrash::RolledBack`] restores.
pub(crate) const BACKUP_AT: Duration = Duration::from_millis(500);

/// A span of time, in seconds since the start of the run; its end is not part of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeWindow {
    /// When it begins.
    pub from: f64,
    /// When it is over.
    pub to: f64,
}

impl TimeWindow {
    /// Whether a time lies in the window.
    pub(crate) fn contains(&self, now: f64) -> bool {
        now >= self.from && now < self.to
    }
}

/// What a killed process finds in its directory when it restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DirectoryAfterCrash {
    /// All that was durable.
    #[default]
    Kept,
    /// Nothing.
    Emptied,
    /// What was durable half a second after the start of the run.
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

/// What is wrong with a disk.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DiskFault {
    /// No write finds space.
    Full,
    /// The next sync fails, and no other.
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
    /// The lease was checked, and the begin of the operation is not reported.
    Checked,
    /// The begin of the operation was sent, and its response is not read.
    BeginSent,
    /// The operation is under way.
    UnderWay,
    /// The operation is done, and its end is not reported.
    BeforeEnd,
}

impl OperationStep {
    /// All steps, in their order.
    pub const ALL: [OperationStep; 5] = [
        OperationStep::BeforeCheck,
        OperationStep::Checked,
        OperationStep::BeginSent,
        OperationStep::UnderWay,
        OperationStep::BeforeEnd,
    ];

    /// The value in a plan file and in the file that arms a process.
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

/// A fault. A target is the name of a member or of a zone, or empty for all members; times are
/// seconds since the start.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nothing gets through between two targets.
    Partition {
        /// When links are cut.
        window: TimeWindow,
        /// The one side.
        a: String,
        /// The other side.
        b: String,
        /// Only what `a` sends to `b` is lost.
        one_way: bool,
        /// The links are cut for this many seconds, open for as many, and so on, in the window.
        flap: Option<f64>,
    },
    /// The links of a target, both ways, are slow or unreliable.
    DegradedLinks {
        /// When links are degraded.
        window: TimeWindow,
        /// The members whose links are.
        target: String,
        /// The fraction of messages that is lost.
        loss: f64,
        /// The mean delay, in milliseconds; a message takes 0.5 to 1.5 times as long.
        delay_ms: f64,
        /// The fraction of messages that is delivered twice.
        duplication: f64,
    },
    /// A process is killed.
    Crash {
        /// When it is killed.
        at: f64,
        /// The members that are.
        target: String,
        /// When it restarts, if ever, with nothing but its name, the seeds and its directory.
        restart_at: Option<f64>,
        /// What its directory then holds.
        directory: DirectoryAfterCrash,
    },
    /// A process is paused: it keeps its state, and what arrives meanwhile waits.
    Pause {
        /// When it is paused.
        at: f64,
        /// The members that are.
        target: String,
        /// When it resumes, if ever.
        resume_at: Option<f64>,
        /// Between real processes: at which step of an operation under a lease it is paused, once
        /// it reaches that step. `None`: at `at`, wherever it is.
        step: Option<OperationStep>,
    },
    /// A clock runs at another rate for the whole run.
    ClockRate {
        /// The members whose clock does.
        target: String,
        /// Seconds that the clock shows for each true second.
        rate: f64,
    },
    /// A disk fails.
    Disk {
        /// When it begins.
        at: f64,
        /// The members whose disk fails.
        target: String,
        /// When the disk works again.
        repaired_at: Option<f64>,
        /// What is wrong with it.
        fault: DiskFault,
    },
    /// An operator replaces one voter by another.
    ReplaceVoter {
        /// When the operator does.
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
    /// `None` where it lasts to the end of the run.
    pub(crate) end: Option<f64>,
}

impl Fault {
    /// The place of this kind in [`super::Plan::faults`]: plan files are read kind by kind, in this
    /// order, whatever the order of their blocks.
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

    /// When the fault is over, in seconds; for one that never ends, when it began.
    pub(crate) fn end(&self) -> f64 {
        let FaultTimes { begin, end } = self.times();
        end.unwrap_or(begin)
    }
}
