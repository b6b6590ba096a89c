//! The rules of the service, checked on the record of a run.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::clients::{Answer, SentRequest};
use super::delays::Delays;
use super::process_end::ProcessEnd;

/// A request that crosses the end of its connection within this time is sent once more by an edge
/// node (PROTOCOL.md). What the test itself was late by is measured and added.
const CROSSING: Duration = Duration::from_millis(50);
/// By how much each time limit of the rules is longer on sockets (PROTOCOL.md).
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(50);

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
    /// By how much the test itself was late.
    pub(super) delays: Delays,
    /// What the program has logged.
    pub(super) log: String,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// No answer, and the connection did not end just then.
    Lost { id: String, waited: Duration },
    /// Run, and no answer: whoever sends it once more has it run twice.
    RunWithoutAnswer { id: String },
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
    /// A panic, or an invariant that did not hold, whatever the exit code.
    Logged { line: String },
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
    let signs_of_faults = ["panicked at", "invariant violated"];
    for line in record.log.lines() {
        if signs_of_faults.iter().any(|sign| line.contains(sign)) {
            let line = line.to_owned();
            violations.push(Violation::Logged { line });
        }
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
        [] if request.is_caller_gone => {}
        [] if ends > 0 => violations.push(Violation::RunWithoutAnswer { id: id() }),
        [] => {
            let crossing = CROSSING + request.reading_delay + own_delay(record, request);
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
    let last_run_at = last_run_at(record);
    if ends > 0 && request.begun_at > last_run_at {
        let late = request.begun_at - last_run_at;
        violations.push(Violation::RunBehindGrace { id: id(), late });
    }
    violations
}

/// By how much the test was late between the last byte of a request and the end of its connection.
fn own_delay(record: &RunRecord, request: &SentRequest) -> Duration {
    match request.connection_ended_at {
        Some(ended_at) => record.delays.longest(request.sent_at, ended_at),
        None => Duration::ZERO,
    }
}

/// A request whose first byte is written later than this must not run.
fn last_run_at(record: &RunRecord) -> Instant {
    record.notified_at + record.grace + TIME_LIMIT_SLACK
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
            is_caller_gone: false,
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
        delays: Delays::default(),
        log: String::new(),
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
        planted(&|record| {
            record.requests[0].answers.clear();
            record.ends.clear();
        }),
        [Violation::Lost {
            id: id(),
            waited: Duration::from_secs(2)
        }]
    );
    assert_eq!(
        planted(&|record| {
            record.requests[0].answers.clear();
            record.requests[0].connection_ended_at = Some(record.requests[0].sent_at);
        }),
        [Violation::RunWithoutAnswer { id: id() }]
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
            record.requests[0].begun_at = last_run_at(record) + late;
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
    let line = || "thread 'main' panicked at src/main.rs".to_owned();
    assert_eq!(
        planted(&|record| record.log = format!("0.1 INFO started\n{}\n", line())),
        [Violation::Logged { line: line() }]
    );
}
