//! Pauses this process at a given step of an operation under a lease, as if the operating system
//! had stopped scheduling it at that point.

use std::fs;
use std::path::Path;

/// The file in the fault folder that names the step. It is removed before the pause.
const PAUSE_STEP_FILE: &str = "pause_at";

/// A step of an operation under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PauseStep {
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

/// Pauses the whole process if the file in the fault folder names this step. Returns when the
/// process is resumed.
pub(crate) fn pause_if_armed(fault_folder: &Path, step: PauseStep) {
    let file = fault_folder.join(PAUSE_STEP_FILE);
    let is_armed = fs::read_to_string(&file).is_ok_and(|word| word == step.keyword());
    // If several tasks reach the step, only one of them pauses the process.
    if is_armed && fs::remove_file(&file).is_ok() {
        // SAFETY: `raise` takes a number and accesses no memory. It sends the signal to this
        // thread, which therefore executes nothing further; the kernel then pauses the other
        // threads.
        unsafe { libc::raise(libc::SIGSTOP) };
    }
}
