//! A process that pauses itself at a chosen step of an operation under a lease, as if the machine
//! had taken its processor away just there.

use std::fs;
use std::path::Path;

/// The file in the fault folder that names the step. It is removed before the pause.
const PAUSE_STEP_FILE: &str = "pause_at";

/// A step of an operation under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PauseStep {
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

impl PauseStep {
    /// The word in the file.
    fn keyword(self) -> &'static str {
        match self {
            PauseStep::BeforeCheck => "before_check",
            PauseStep::Checked => "checked",
            PauseStep::BeginSent => "begin_sent",
            PauseStep::UnderWay => "under_way",
            PauseStep::BeforeEnd => "before_end",
        }
    }
}

/// Pauses the whole process where the fault folder names this step. Returns once it is resumed.
pub(crate) fn pause_if_armed(fault_folder: &Path, step: PauseStep) {
    let file = fault_folder.join(PAUSE_STEP_FILE);
    let is_armed = fs::read_to_string(&file).is_ok_and(|word| word == step.keyword());
    // Of several tasks that reach the step, one pauses the process.
    if is_armed && fs::remove_file(&file).is_ok() {
        // SAFETY: `raise` takes a number and touches no memory. It is sent to this thread, which
        // therefore takes no further step; the kernel then pauses the others, too.
        unsafe { libc::raise(libc::SIGSTOP) };
    }
}
