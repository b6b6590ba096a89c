//! Checks of the four rules of the service (no lost request, no duplicate effect, graceful
//! shutdown, availability) on the record of a run.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::clients::{Answer, SentRequest};
use super::delays::Delays;
use super::process_end::ProcessEnd;

/// An edge node retries a request that it sent within this time before the end of its connection
/// (PROTOCOL.md). The checks add the delay of the test itself.
const MAX_CROSSING_TIME: Duration = Duration::from_millis(50);
/// PROTOCOL.md adds this time to each time limit in its rules on sockets. The checks add it to the
/// drain grace.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(50);

/// The record of a run.
pub(super) struct RunRecord {
    pub(super) requests: Vec<SentRequest>,
    pub(super) notified_at: Instant,
    pub(super) grace: Duration,
    /// Whether requests may run more than once.
    pub(super) may_repeat: bool,
    /// How often the run of each request has ended, by request id.
    pub(super) ends: HashMap<String, u32>,
    pub(super) end: ProcessEnd,
    pub(super) max_files: usize,
    pub(super) sockets: usize,
    /// How late the threads of the test woke.
    pub(super) delays: Delays,
    /// The log of the program.
    pub(super) log: String,
}

/// A violation of one of the rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// The request has no answer, and its connection ended so long after the request was sent that
    /// the request was not in transit.
    Lost { id: String, waited: Duration },
    /// The request was run and not answered: a retry would run it twice.
    RunWithoutAnswer { id: String },
    /// More than one answer.
    AnsweredTwice { id: String },
    /// The answer is a result, but the request was not run.
    ServedWithoutRun { id: String },
    /// The request was run more than once, so its effect is duplicated.
    RunTwice { id: String },
    /// The request was run, and the caller received a rejection, which says that it was not.
    RunAndRejected { id: String },
    /// The request arrived after the drain grace and was run.
    RunBehindGrace { id: String, late: Duration },
    /// The process exited with an error, or did not exit before the kill.
    Exit { code: Option<i32> },
    /// The log has a panic or a violated invariant, whatever the exit code.
    Logged { line: String },
    /// The process had more open descriptors than the limit in its configuration.
    Descriptors { files: usize },
}

/// Returns all violations of the rules in a run.
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
    let fault_markers = ["panicked at", "invariant violated"];
    for line in record.log.lines() {
        if fault_markers.iter().any(|marker| line.contains(marker)) {
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
            let crossing = MAX_CROSSING_TIME + request.reading_delay + test_delay(record, request);
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

/// The longest delay of the test between the last byte of a request and the end of its connection.
fn test_delay(record: &RunRecord, request: &SentRequest) -> Duration {
    match request.connection_ended_at {
        Some(ended_at) => record.delays.longest(request.sent_at, ended_at),
        None => Duration::ZERO,
    }
}

/// The latest time of the first byte of a request that may run.
fn last_run_at(record: &RunRecord) -> Instant {
    record.notified_at + record.grace + TIME_LIMIT_SLACK
}

/// A record without violations: one request, which was served before the shutdown notice.
fn valid_record() -> RunRecord {
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

/// Guards against a check that detects nothing: each one must report the violation that is injected
/// into a valid record.
#[test]
fn each_check_of_the_soak_detects_an_injected_violation() {
    assert_eq!(violations(&valid_record()), []);
    let id = || "a".to_owned();
    let violations_after = |inject: &dyn Fn(&mut RunRecord)| {
        let mut record = valid_record();
        inject(&mut record);
        violations(&record)
    };
    assert_eq!(
        violations_after(&|record| {
            record.requests[0].answers.clear();
            record.ends.clear();
        }),
        [Violation::Lost {
            id: id(),
            waited: Duration::from_secs(2)
        }]
    );
    assert_eq!(
        violations_after(&|record| {
            record.requests[0].answers.clear();
            record.requests[0].connection_ended_at = Some(record.requests[0].sent_at);
        }),
        [Violation::RunWithoutAnswer { id: id() }]
    );
    assert_eq!(
        violations_after(&|record| record.requests[0].answers.push(Answer::Failed)),
        [Violation::AnsweredTwice { id: id() }]
    );
    assert_eq!(
        violations_after(&|record| record.ends.clear()),
        [Violation::ServedWithoutRun { id: id() }]
    );
    assert_eq!(
        violations_after(&|record| _ = record.ends.insert(id(), 2)),
        [Violation::RunTwice { id: id() }]
    );
    assert_eq!(
        violations_after(&|record| record.requests[0].answers = vec![Answer::Rejected]),
        [Violation::RunAndRejected { id: id() }]
    );
    let late = Duration::from_millis(1);
    assert_eq!(
        violations_after(&|record| {
            record.requests[0].begun_at = last_run_at(record) + late;
        }),
        [Violation::RunBehindGrace { id: id(), late }]
    );
    assert_eq!(
        violations_after(&|record| record.end.exit_code = None),
        [Violation::Exit { code: None }]
    );
    assert_eq!(
        violations_after(&|record| record.max_files = 33),
        [Violation::Descriptors { files: 33 }]
    );
    let line = || "thread 'main' panicked at src/main.rs".to_owned();
    assert_eq!(
        violations_after(&|record| record.log = format!("0.1 INFO started\n{}\n", line())),
        [Violation::Logged { line: line() }]
    );
}
