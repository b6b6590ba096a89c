//! The rules of the service, checked on the record of a run.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::clients::{Answer, SentRequest};
use super::process_end::ProcessEnd;

/// A request that crosses the end of its connection within this time is sent once more by an edge
/// node: the 50 ms of the protocol, and what this machine may take to notice the end.
const CROSSING: Duration = Duration::from_millis(250);
/// What a signal may take to reach the program on a busy machine.
const SIGNAL_DELAY: Duration = Duration::from_millis(100);

/// What happened in a run.
pub(super) struct RunRecord {
    pub(super) requests: Vec<SentRequest>,
    pub(super) notified_at: Instant,
    pub(super) grace: Duration,
    /// Requests may run more than once.
    pub(super) may_repeat: bool,
    /// How often the run of each request has ended.
    pub(super) ends: HashMap<String, u32>,
    pub(super) end: ProcessEnd,
    pub(super) max_files: usize,
    pub(super) sockets: usize,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// No answer, and the connection did not end just then.
    Lost { id: String, waited: Duration },
    /// More than one answer.
    AnsweredTwice { id: String },
    /// An answer that says served, without a run.
    ServedWithoutRun { id: String },
    /// An effect more than once.
    RunTwice { id: String },
    /// Run, and the caller was told that nothing ran.
    RunAndRejected { id: String },
    /// Arrived behind the grace, and run.
    RunBehindGrace { id: String, late: Duration },
    /// The process did not end by itself before the kill, or with an error.
    Exit { code: Option<i32> },
    /// More descriptors than it may have.
    Descriptors { files: usize },
}

/// All rules that were broken.
pub(super) fn violations(record: &RunRecord) -> Vec<Violation> {
    let mut violations: Vec<Violation> = record
        .requests
        .iter()
        .flat_map(|request| request_violations(record, request))
        .collect();
    if record.end.exit_code != Some(0) {
        let code = record.end.exit_code;
        violations.push(Violation::Exit { code });
    }
    if record.max_files > record.sockets {
        let files = record.max_files;
        violations.push(Violation::Descriptors { files });
    }
    violations
}

fn request_violations(record: &RunRecord, request: &SentRequest) -> Vec<Violation> {
    let id = || request.id.clone();
    let ends = record.ends.get(&request.id).copied().unwrap_or(0);
    let mut violations = Vec::new();
    let waited = request
        .connection_ended_at
        .map(|end| end.saturating_duration_since(request.sent_at));
    match request.answers[..] {
        [] => {
            let crossing = CROSSING + request.reading_delay;
            if let Some(waited) = waited.filter(|waited| *waited > crossing) {
                violations.push(Violation::Lost { id: id(), waited });
            }
        }
        [Answer::Served] if ends == 0 => {
            violations.push(Violation::ServedWithoutRun { id: id() });
        }
        [Answer::Rejected] if ends > 0 && !record.may_repeat => {
            violations.push(Violation::RunAndRejected { id: id() });
        }
        [_] => {}
        _ => violations.push(Violation::AnsweredTwice { id: id() }),
    }
    if ends > 1 && !record.may_repeat {
        violations.push(Violation::RunTwice { id: id() });
    }
    let last_run_at = record.notified_at + record.grace + SIGNAL_DELAY;
    if ends > 0 && request.begun_at > last_run_at {
        let late = request.begun_at - last_run_at;
        violations.push(Violation::RunBehindGrace { id: id(), late });
    }
    violations
}

/// A record that breaks no rule: one request, served before the notice.
fn faultless() -> RunRecord {
    let now = Instant::now();
    RunRecord {
        requests: vec![SentRequest {
            id: "a".to_owned(),
            begun_at: now,
            sent_at: now,
            answers: vec![Answer::Served],
            connection_ended_at: Some(now + Duration::from_secs(2)),
            reading_delay: Duration::ZERO,
        }],
        notified_at: now + Duration::from_millis(10),
        grace: Duration::from_millis(100),
        may_repeat: false,
        ends: HashMap::from([("a".to_owned(), 1)]),
        end: ProcessEnd {
            exit_code: Some(0),
            after: Duration::from_millis(500),
        },
        max_files: 30,
        sockets: 32,
    }
}

/// Each check fails for a fault that is planted in a record without one.
#[test]
fn each_check_of_the_soak_finds_a_planted_fault() {
    assert_eq!(violations(&faultless()), []);
    let id = || "a".to_owned();
    let planted = |plant: &dyn Fn(&mut RunRecord)| {
        let mut record = faultless();
        plant(&mut record);
        violations(&record)
    };
    assert_eq!(
        planted(&|record| record.requests[0].answers.clear()),
        [Violation::Lost {
            id: id(),
            waited: Duration::from_secs(2)
        }]
    );
    assert_eq!(
        planted(&|record| record.requests[0].answers.push(Answer::Failed)),
        [Violation::AnsweredTwice { id: id() }]
    );
    assert_eq!(
        planted(&|record| record.ends.clear()),
        [Violation::ServedWithoutRun { id: id() }]
    );
    assert_eq!(
        planted(&|record| _ = record.ends.insert(id(), 2)),
        [Violation::RunTwice { id: id() }]
    );
    assert_eq!(
        planted(&|record| record.requests[0].answers = vec![Answer::Rejected]),
        [Violation::RunAndRejected { id: id() }]
    );
    let late = Duration::from_millis(1);
    assert_eq!(
        planted(&|record| {
            let last = record.notified_at + record.grace + SIGNAL_DELAY;
            record.requests[0].begun_at = last + late;
        }),
        [Violation::RunBehindGrace { id: id(), late }]
    );
    assert_eq!(
        planted(&|record| record.end.exit_code = None),
        [Violation::Exit { code: None }]
    );
    assert_eq!(
        planted(&|record| record.max_files = 33),
        [Violation::Descriptors { files: 33 }]
    );
}
