//! The end of the process after the shutdown notice. One loop polls for the exit and sends the
//! remaining signals, so that the process is killed in time however many signals are left.

use std::time::{Duration, Instant};

use super::plan::TimedSignal;
use crate::harness::backend::TestBackend;

/// How often the loop polls for the exit of the process.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How a process ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ProcessEnd {
    /// `None` if the process was killed.
    pub(super) exit_code: Option<i32>,
    /// The time from the shutdown notice until the test saw the end.
    pub(super) after: Duration,
}

/// Sends the signals that follow the notice, each after its pause, until the process exits. Kills
/// the process if it has not exited `stop` after the notice.
pub(super) fn watch_until_kill(
    backend: &mut TestBackend,
    notified_at: Instant,
    signals: &[TimedSignal],
    stop: Duration,
) -> ProcessEnd {
    let kill_at = notified_at + stop;
    let mut signals = signals.iter();
    let mut next = signals.next();
    let mut sent_at = notified_at;
    loop {
        // The status is read before the clock, so an exit after the time of the kill never counts
        // as in time.
        let status = backend.child.try_wait().unwrap();
        let now = Instant::now();
        if now >= kill_at {
            break;
        }
        if let Some(status) = status {
            return ProcessEnd {
                exit_code: status.code(),
                after: now - notified_at,
            };
        }
        if let Some(signal) = next.filter(|signal| now >= sent_at + signal.after) {
            backend.signal(signal.name);
            sent_at = now;
            next = signals.next();
        }
        std::thread::sleep(POLL_INTERVAL.min(kill_at - now));
    }
    let _ = backend.child.kill();
    backend.child.wait().unwrap();
    ProcessEnd {
        exit_code: None,
        after: notified_at.elapsed(),
    }
}

#[cfg(test)]
mod tests {
    use super::{ProcessEnd, TimedSignal, watch_until_kill};
    use crate::harness::backend::{TestBackend, start_backend_with_changes};
    use std::time::{Duration, Instant};

    const GRACE: &str = r#""drain_grace":100.0"#;
    const STOP: Duration = Duration::from_millis(1500);

    fn start() -> TestBackend {
        start_backend_with_changes(&[(r#""drain_grace":1000.0"#, GRACE), ("4000", "1500")])
    }

    fn end_with_signal(name: &'static str, after: Duration) -> ProcessEnd {
        let mut backend = start();
        backend.signal("TERM");
        let signals = [TimedSignal { after, name }];
        watch_until_kill(&mut backend, Instant::now(), &signals, STOP)
    }

    /// Guards against a soak that reports an exit in time for a process that still runs at the time
    /// of the kill, here because SIGSTOP pauses it.
    #[test]
    fn a_process_paused_past_the_kill_is_reported_as_killed() {
        let end = end_with_signal("STOP", Duration::ZERO);
        assert_eq!(end.exit_code, None);
        assert!(end.after >= STOP, "{end:?}");
    }

    /// Guards against a soak that reports a process as killed although it exited in time, because
    /// not all signals had been sent by then.
    #[test]
    fn an_exit_before_the_last_signal_is_reported_with_its_time() {
        let end = end_with_signal("HUP", 2 * STOP);
        assert_eq!(end.exit_code, Some(0));
        assert!(end.after < STOP, "{end:?}");
    }
}
