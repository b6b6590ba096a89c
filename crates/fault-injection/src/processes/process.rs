//! One process of the program: its directory, and functions that start, kill, pause and resume it.

use std::fs;
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};

use super::history::SharedRecorder;
use crate::fault_schedule::FaultAction;
use crate::plan::{DirectoryAfterCrash, DiskFault, Member, OperationStep};

/// The directory of the voter's log, inside the process's directory.
const JOURNAL: &str = "journal";
/// The backup of that directory, which a crash can restore.
const JOURNAL_BACKUP: &str = "older";
/// The control socket of a process.
const CONTROL_SOCKET: &str = "control";
/// The configuration that the platform passes to a process.
const CONFIG_FILE: &str = "config.json";
/// The settings of a process.
const SETTINGS_FILE: &str = "settings.hcl";
/// While this file exists, the process's disk is full.
const DISK_FULL_FILE: &str = "full";
/// If this file exists, the next sync of the process's disk removes the file and fails.
const SYNC_FAILS_FILE: &str = "fails";
/// The process pauses itself at the step that this file names, and removes the file.
const PAUSE_STEP_FILE: &str = "pause_at";
/// The time limit for a process to pause after it was sent the signal.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which a process that is about to pause is checked.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The maximum length of a control response that is read, in bytes.
const MAX_CONTROL_RESPONSE_BYTES: usize = 256;

/// A member's process. It owns the child process, and kills it when dropped.
pub(super) struct MemberProcess {
    pub(super) member: Member,
    pub(super) directory: PathBuf,
    /// The standard error output of all starts of the process.
    pub(super) log_file: PathBuf,
    /// The seconds that the process's clock shows for each true second.
    pub(super) clock_rate: f64,
    child: Option<Child>,
    pause: PauseState,
}

/// Whether a process is paused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PauseState {
    Running,
    /// The process pauses itself when it reaches a step.
    AwaitingStep,
    Paused,
}

impl MemberProcess {
    /// Returns a process that is not started yet.
    pub(super) fn new(member: &Member, run_directory: &Path, clock_rate: f64) -> Self {
        MemberProcess {
            member: member.clone(),
            directory: run_directory.join(&member.name),
            log_file: run_directory.join(format!("{}.log", member.name)),
            clock_rate,
            child: None,
            pause: PauseState::Running,
        }
    }

    pub(super) fn journal(&self) -> PathBuf {
        self.directory.join(JOURNAL)
    }

    pub(super) fn control_socket(&self) -> PathBuf {
        self.directory.join(CONTROL_SOCKET)
    }

    pub(super) fn config_file(&self) -> PathBuf {
        self.directory.join(CONFIG_FILE)
    }

    pub(super) fn settings_file(&self) -> PathBuf {
        self.directory.join(SETTINGS_FILE)
    }

    /// Whether the process was started and not killed; it may be paused.
    pub(super) fn is_alive(&self) -> bool {
        self.child.is_some()
    }

    pub(super) fn is_running(&self) -> bool {
        self.is_alive() && self.pause != PauseState::Paused
    }

    /// Returns the exit status if the process exited by itself; `None` if it runs or was killed.
    pub(super) fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.as_mut().map_or(Ok(None), Child::try_wait)
    }

    pub(super) fn start(&mut self, program: &Path) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_file)?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(self.settings_file())
            .env("LB_CONFIG", self.config_file())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Performs a scheduled action.
    pub(super) fn perform(
        &mut self,
        action: &FaultAction,
        program: &Path,
        recorder: &SharedRecorder,
    ) -> io::Result<()> {
        match action {
            FaultAction::Kill => self.kill(recorder),
            FaultAction::Restart(directory) => self.restart(*directory, program),
            FaultAction::Pause(None) => self.pause(recorder),
            FaultAction::Pause(Some(step)) => self.pause_at_step(*step),
            FaultAction::Resume => self.resume(recorder),
            FaultAction::BackUpJournal => copy_directory(&self.journal(), &self.journal_backup()),
            FaultAction::InjectDiskFault(DiskFault::Full) => self.create_marker(DISK_FULL_FILE),
            FaultAction::InjectDiskFault(DiskFault::SyncFails) => {
                self.create_marker(SYNC_FAILS_FILE)
            }
            FaultAction::RepairDisk => {
                let _ = fs::remove_file(self.directory.join(DISK_FULL_FILE));
                Ok(())
            }
            FaultAction::ReplaceVoter { old, new } => self.request_replacement(old, new),
        }
    }

    fn journal_backup(&self) -> PathBuf {
        self.directory.join(JOURNAL_BACKUP)
    }

    fn create_marker(&self, name: &str) -> io::Result<()> {
        fs::write(self.directory.join(name), b"")
    }

    fn kill(&mut self, recorder: &SharedRecorder) -> io::Result<()> {
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        child.kill()?;
        child.wait()?;
        self.pause = PauseState::Running;
        let _ = fs::remove_file(self.directory.join(PAUSE_STEP_FILE));
        recorder.lock().member_died(&self.member.name);
        Ok(())
    }

    fn restart(&mut self, directory: DirectoryAfterCrash, program: &Path) -> io::Result<()> {
        // If two crashes of a process overlap, the process is already running.
        if self.is_alive() {
            return Ok(());
        }
        let journal = self.journal();
        if directory != DirectoryAfterCrash::Kept {
            let _ = fs::remove_dir_all(&journal);
        }
        if directory == DirectoryAfterCrash::RolledBack {
            copy_directory(&self.journal_backup(), &journal)?;
        }
        self.start(program)
    }

    fn pause(&mut self, recorder: &SharedRecorder) -> io::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        send_signal(child, Signal::STOP)?;
        self.await_pause(recorder)
    }

    /// Makes the process pause itself if it reaches the step before it is resumed.
    fn pause_at_step(&mut self, step: OperationStep) -> io::Result<()> {
        if self.is_alive() {
            fs::write(self.directory.join(PAUSE_STEP_FILE), step.keyword())?;
            self.pause = PauseState::AwaitingStep;
        }
        Ok(())
    }

    /// Records that a process has paused itself at its step.
    pub(super) fn detect_pause_at_step(&mut self, recorder: &SharedRecorder) -> io::Result<()> {
        if self.pause == PauseState::AwaitingStep && self.has_paused()? {
            self.record_pause(recorder);
        }
        Ok(())
    }

    /// Waits until no thread of the process runs, and records the pause.
    fn await_pause(&mut self, recorder: &SharedRecorder) -> io::Result<()> {
        let deadline = Instant::now() + PAUSE_TIMEOUT;
        while !self.has_paused()? {
            if Instant::now() > deadline {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(PAUSE_POLL_INTERVAL);
        }
        self.record_pause(recorder);
        Ok(())
    }

    fn record_pause(&mut self, recorder: &SharedRecorder) {
        recorder.lock().member_paused(&self.member.name);
        self.pause = PauseState::Paused;
    }

    /// Whether the process has paused since the last call.
    fn has_paused(&self) -> io::Result<bool> {
        let Some(child) = &self.child else {
            return Ok(false);
        };
        let options = WaitIdOptions::STOPPED | WaitIdOptions::NOHANG;
        Ok(waitid(WaitId::Pid(Pid::from_child(child)), options)?.is_some())
    }

    fn resume(&mut self, recorder: &SharedRecorder) -> io::Result<()> {
        if self.child.is_none() {
            return Ok(());
        }
        let is_awaiting_step = self.pause == PauseState::AwaitingStep;
        if is_awaiting_step && fs::remove_file(self.directory.join(PAUSE_STEP_FILE)).is_err() {
            // The process has removed the file at its step, and is about to pause.
            self.await_pause(recorder)?;
        }
        if self.pause == PauseState::Paused {
            recorder.lock().member_resumes(&self.member.name);
        }
        self.pause = PauseState::Running;
        match &self.child {
            Some(child) => send_signal(child, Signal::CONT),
            None => Ok(()),
        }
    }

    /// Requests the replacement of a voter over the control socket, as an operator does. Does not
    /// wait for its completion.
    fn request_replacement(&self, old: &str, new: &str) -> io::Result<()> {
        let mut control = UnixStream::connect(self.control_socket())?;
        let command = format!("{{\"do\":\"replace\",\"old\":{old:?},\"new\":{new:?}}}\n");
        control.write_all(command.as_bytes())?;
        let _ = control.read(&mut [0; MAX_CONTROL_RESPONSE_BYTES])?;
        Ok(())
    }
}

impl Drop for MemberProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn send_signal(child: &Child, signal: Signal) -> io::Result<()> {
    Ok(kill_process(Pid::from_child(child), signal)?)
}

/// Copies the files of a directory while a process may be using it.
fn copy_directory(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    let Ok(entries) = fs::read_dir(from) else {
        return Ok(());
    };
    for entry in entries {
        let entry = entry?;
        match fs::copy(entry.path(), to.join(entry.file_name())) {
            // A file may be renamed or removed while its directory is copied.
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
    }
    Ok(())
}
