//! Replays scripted histories, that is, reports and pauses in the order in which a run receives
//! them. Guards against false violations for operations that a pause interrupted, and against
//! overlapping operations that are not detected.

use super::*;

const ONE: &str = "one";
const TWO: &str = "two";

/// A scripted history of two leases, the first with capacity 1 and the second with capacity 2.
struct ScriptedHistory {
    recorder: HistoryRecorder,
}

impl ScriptedHistory {
    fn new() -> Self {
        let text = r#"length = 45
            voters = ["north-1"]
            members {
              zone = "north"
              count = 4
            }
            lease {
              name = "one"
              term = 2
            }
            lease {
              name = "two"
              term = 2
              places = 2
            }"#;
        let plan = Plan::parse(text).unwrap_or_else(|error| panic!("{error}"));
        ScriptedHistory {
            recorder: HistoryRecorder::new(&plan, Instant::now()),
        }
    }

    fn report(&mut self, phase: OperationPhase, lease: &str, member: u64, at: CheckTime) -> bool {
        let report = OperationReport {
            phase,
            lease: lease.to_owned(),
            token: FencingToken(member),
            member: format!("north-{member}"),
            checked_at: at.0,
        };
        self.recorder.record(StreamId(member), report)
    }

    /// The member, whose token is its number, begins an operation whose lease was checked at that
    /// time.
    fn begin(&mut self, lease: &str, member: u64, at: CheckTime) -> bool {
        self.report(OperationPhase::Begin, lease, member, at)
    }

    /// The member ends the operation whose lease was checked at that time.
    fn end(&mut self, lease: &str, member: u64, at: CheckTime) -> bool {
        self.report(OperationPhase::End, lease, member, at)
    }

    fn pause(&mut self, member: u64) {
        self.recorder.member_paused(&format!("north-{member}"));
        // All times of a history are different.
        thread::sleep(Duration::from_micros(10));
    }

    fn resume(&mut self, member: u64) {
        self.recorder.member_resumes(&format!("north-{member}"));
    }

    fn violation(&self) -> Option<&str> {
        let violation = self.recorder.outcome.violation.as_ref();
        violation.map(|violation| violation.description.as_str())
    }
}

/// When a lease was checked.
#[derive(Clone, Copy)]
struct CheckTime(Duration);

fn check_time() -> CheckTime {
    thread::sleep(Duration::from_micros(10));
    let now = CheckTime(monotonic_time());
    thread::sleep(Duration::from_micros(10));
    now
}

/// Guards against a false violation: a process is paused just after it has sent its report, the
/// report is read during the pause, and its operation counts as one of a running process.
#[test]
fn begin_report_read_during_the_pause_is_fenced_off() {
    let mut history = ScriptedHistory::new();
    let checked = check_time();
    history.pause(1);
    assert!(history.begin(ONE, 1, checked));
    let next = check_time();
    assert!(history.begin(ONE, 2, next));
    history.resume(1);
    assert!(!history.end(ONE, 1, checked), "a store rejects its effect");
    assert!(history.end(ONE, 2, next));
    assert_eq!(history.violation(), None);
    assert_eq!(history.recorder.outcome.rejected_while_running, 0);
}

/// Guards against a false violation: a process sends its report and is paused, the report is read
/// only after the process was resumed, and its operation counts as one of a running process.
#[test]
fn begin_report_sent_before_a_pause_and_read_after_it_is_fenced_off() {
    let mut history = ScriptedHistory::new();
    let checked = check_time();
    history.pause(1);
    history.resume(1);
    assert!(history.begin(ONE, 1, checked));
    assert!(history.begin(ONE, 2, check_time()));
    assert_eq!(history.violation(), None);

    let mut history = ScriptedHistory::new();
    let checked = check_time();
    history.pause(1);
    assert!(history.begin(ONE, 2, check_time()));
    history.resume(1);
    assert!(!history.begin(ONE, 1, checked), "its token is stale");
    assert_eq!(history.violation(), None);
}

/// Guards against a false violation: a process is paused during its operation, the lease is granted
/// to another member, and the operations count as overlapping. The end of the paused operation must
/// be rejected.
#[test]
fn an_operation_that_a_pause_interrupts_is_fenced_off() {
    let mut history = ScriptedHistory::new();
    let [checked, next] = [check_time(), check_time()];
    assert!(history.begin(ONE, 1, checked));
    history.pause(1);
    assert!(history.begin(ONE, 2, next));
    assert!(history.end(ONE, 2, next));
    history.resume(1);
    assert!(!history.end(ONE, 1, checked));
    assert_eq!(history.violation(), None);
}

/// Guards against an overlap that is not detected because one of the members was paused earlier: a
/// pause does not excuse operations whose lease was checked after it.
#[test]
fn operations_that_overlap_after_a_pause_are_a_violation() {
    let mut history = ScriptedHistory::new();
    let checked = check_time();
    assert!(history.begin(ONE, 1, checked));
    history.pause(1);
    history.resume(1);
    assert!(history.end(ONE, 1, checked));
    assert!(history.begin(ONE, 1, check_time()));
    assert!(!history.begin(ONE, 2, check_time()));
    let violation = history.violation().expect("the overlap is detected");
    assert!(violation.contains("tokens 1, 2"), "{violation}");
}

/// Guards against an overlap that is not detected because a third member is paused: a pause excuses
/// only operations of the paused member.
#[test]
fn operations_of_running_members_that_overlap_are_a_violation() {
    let mut history = ScriptedHistory::new();
    assert!(history.begin(ONE, 1, check_time()));
    history.pause(3);
    assert!(!history.begin(ONE, 2, check_time()));
    assert!(history.violation().is_some());
}

/// Guards against a false violation under a lease with capacity 2, which has no newest token that
/// fences off all others. An operation that was checked before a pause is rejected if and only if
/// both slots are in use, whatever their tokens.
#[test]
fn full_lease_rejects_an_operation_checked_before_a_pause() {
    let mut history = ScriptedHistory::new();
    let checked = check_time();
    history.pause(2);
    assert!(history.begin(TWO, 1, check_time()));
    assert!(history.begin(TWO, 3, check_time()));
    history.resume(2);
    assert!(!history.begin(TWO, 2, checked));
    assert_eq!(history.violation(), None);
    assert!(!history.begin(TWO, 4, check_time()));
    assert!(
        history.violation().is_some(),
        "three operations run at the same time"
    );
}

/// Guards against an overlap that is not detected because the owner of the newer token was paused.
/// With capacity 1 a newer token is granted only after the older one is lost, so an operation with
/// the older token that runs after that is a violation.
#[test]
fn pause_of_the_newer_owner_does_not_excuse_an_overlap() {
    let mut history = ScriptedHistory::new();
    let checked = check_time();
    history.pause(2);
    assert!(history.begin(ONE, 1, check_time()));
    history.resume(2);
    assert!(!history.begin(ONE, 2, checked));
    assert!(history.violation().is_some());
}

/// Guards against an operation that stays in progress indefinitely because the report of its
/// beginning is read only after its process was killed.
#[test]
fn operation_reported_after_the_kill_ends_with_its_stream() {
    let mut history = ScriptedHistory::new();
    let checked = check_time();
    history.recorder.member_died("north-1");
    assert!(history.begin(ONE, 1, checked));
    history.recorder.stream_closed(StreamId(1));
    assert!(history.begin(ONE, 2, check_time()));
    assert_eq!(history.violation(), None);
}
