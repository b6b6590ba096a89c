//! Recordings of requests by the program.

use std::collections::{BTreeMap, HashSet};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use tulipgap_trace::{Item, Loss, Outcome, Reason, Record, TraceReader};

use crate::harness::backend::{
    config_json, spawn_program_with_settings, start_backend_with_settings, write_config,
};
use crate::harness::edge_node::{AnswerKind, request_fields, request_fields_with};
use crate::harness::{LONG_TIMEOUT, unique_address, wait_until};

/// Creates a directory for a recording, and a settings file that enables the recording there.
pub(crate) fn recording_settings(seal_after: &str) -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let settings = folder.path().join("tulipgap.hcl");
    let text = format!(
        "trace {{\n  folder = \"{}\"\n  seal_after = \"{seal_after}\"\n}}\n",
        folder.path().join("trace").display()
    );
    std::fs::write(&settings, text).unwrap();
    (folder, settings)
}

struct RecordingFile {
    records: Vec<Record>,
    losses: Vec<Loss>,
}

fn read_files(folder: &Path) -> Vec<RecordingFile> {
    let mut paths: Vec<PathBuf> = std::fs::read_dir(folder.join("trace"))
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    let mut all = Vec::new();
    for path in paths {
        let mut read = RecordingFile {
            records: Vec::new(),
            losses: Vec::new(),
        };
        // A new file may have no header yet.
        let Ok(trace) = TraceReader::open(std::fs::File::open(path).unwrap()) else {
            continue;
        };
        for item in trace {
            match item.unwrap() {
                Item::Records(records) => read.records.extend(records),
                Item::Loss(loss) => read.losses.push(loss),
                Item::Gap(gap) => panic!("no record may be missing: {gap:?}"),
            }
        }
        all.push(read);
    }
    all
}

/// Counts the records of all files; panics if a file has a loss.
pub(crate) fn count_records(folder: &Path) -> usize {
    let files = read_files(folder);
    assert!(files.iter().all(|file| file.losses.is_empty()));
    files.iter().map(|file| file.records.len()).sum()
}

/// Asserts that the times of each record are in order, and that its caller and its tenant are as
/// sent.
fn assert_times_in_order(records: &[Record]) {
    for record in records {
        let times = [record.read, record.answered, record.released].map(Option::unwrap);
        assert!(times.is_sorted() && times[0] >= -1000, "{record:?}");
        assert_eq!((record.caller, record.tenant), (Some(4), Some(0)));
        assert_eq!(record.started.is_some(), record.id != 0xa3, "{record:?}");
        if let Some(run) = record.started {
            assert!(
                record.admitted.unwrap() >= record.read.unwrap() && run >= record.read.unwrap()
            );
        }
    }
}

/// Guards against a request that is missing from the recording, is recorded twice or has a wrong
/// outcome, for each way in which a request can end. Each outcome is recorded once, with its times
/// in order, its reason, its work and its calls, and no record is lost at shutdown.
#[test]
fn each_outcome_of_a_request_is_recorded_once() {
    let (folder, settings) = recording_settings("200ms");
    let mut backend = start_backend_with_settings(1024, Some(&settings));
    let mut edge = backend.connect();
    edge.send_request(1, "00000000000000a1", b"run");
    edge.expect_answer(1, AnswerKind::Answer);
    edge.send_request(2, "00000000000000a2", b"call");
    edge.expect_answer(2, AnswerKind::Answer);
    edge.send_request_with_fields(
        3,
        &request_fields_with("00000000000000a3", "ms", "60000.00"),
        b"run",
    );
    edge.expect_answer(3, AnswerKind::Rejected);
    edge.send_request(4, "00000000000000a4", b"unknown");
    edge.expect_answer(4, AnswerKind::Crashed);
    let mut marked = request_fields("00000000000000a5", "20.0");
    marked.extend([
        ("resent", "1".to_owned()),
        ("subject", "7f3a9c21e0b4d655".to_owned()),
    ]);
    marked.push(("opkey", "some key".to_owned()));
    edge.send_request_with_fields(5, &marked, b"run");
    edge.expect_answer(5, AnswerKind::Answer);
    // A request whose caller disconnects.
    let mut other = backend.connect();
    other.send_request(1, "00000000000000a6", b"hang");
    wait_until("the request runs", || {
        backend.executor().runs.contains_key("00000000000000a6")
    });
    // With an unread answer the close of the connection is a reset.
    other.send_request(2, "00000000000000a7", b"run");
    wait_until("an answer has arrived", || {
        other.stream.peek(&mut [0; 16]).is_ok_and(|count| count > 0)
    });
    drop(other);
    wait_until("the run is cancelled", || {
        backend.executor().ends.contains_key("00000000000000a6")
    });
    backend.signal("TERM");
    assert!(backend.wait_for_exit().success());

    let mut files = read_files(folder.path());
    assert_eq!(files.len(), 1);
    let RecordingFile { records, losses } = files.remove(0);
    assert_eq!(losses, []);
    let by_id: BTreeMap<u64, &Record> = records.iter().map(|record| (record.id, record)).collect();
    assert_eq!(by_id.len(), 7);
    let record = |last: u64| by_id[&(0xa0 + last)];
    let outcomes: Vec<(Outcome, Reason)> = (1..=6)
        .map(|last| (record(last).outcome, record(last).reason))
        .collect();
    assert_eq!(outcomes[0], (Outcome::Completed, Reason::NONE));
    assert_eq!(outcomes[1], (Outcome::Completed, Reason::NONE));
    assert_eq!(outcomes[2], (Outcome::Rejected, Reason::PREDICTED_LATE));
    assert_eq!(outcomes[3], (Outcome::Failed, Reason::CANCELLED));
    assert_eq!(outcomes[5].0, Outcome::Abandoned);
    assert_times_in_order(&records);
    // The work that the executor reported.
    assert_eq!(record(1).work, Some(1500));
    assert_eq!(
        (
            record(2).calls,
            record(2).first_call.is_some(),
            record(1).calls
        ),
        (1, true, 0)
    );
    assert_eq!(
        (record(3).estimated_work, record(3).admitted),
        (Some(40_000_000), None)
    );
    assert!(
        record(5).is_retry
            && record(5).subject == Some(0x7f3a_9c21_e0b4_d655)
            && record(5).key.is_some()
    );
    assert!(record(1).feedback.is_some());
}

/// Guards against records that are lost or duplicated because the process is killed under load and
/// restarted with the same directory. The files must have every record that was on disk before a
/// kill, none of them twice, and the reader must report that the end of each file is missing.
#[test]
fn recorded_requests_survive_a_kill() {
    let (folder, settings) = recording_settings("200ms");
    let mut backend = start_backend_with_settings(1024, Some(&settings));
    let mut sequence = 0;
    let mut answered = 0;
    for start in 0..2u64 {
        let mut edge = backend.connect();
        for number in 0..300u64 {
            sequence += 1;
            edge.send_request(sequence, &format!("{:016x}", start * 1000 + number), b"run");
            edge.expect_answer(sequence, AnswerKind::Answer);
        }
        answered += 300;
        // Sends more requests until the records of those 300 are on disk.
        let began = std::time::Instant::now();
        loop {
            sequence += 1;
            edge.send_request(
                sequence,
                &format!("{:016x}", (start + 10) * 100_000 + u64::from(sequence)),
                b"run",
            );
            edge.expect_answer(sequence, AnswerKind::Answer);
            let early = |file: &RecordingFile| {
                file.records
                    .iter()
                    .filter(|record| record.id < 2000)
                    .count()
            };
            if sequence % 100 == 0
                && read_files(folder.path()).iter().map(early).sum::<usize>() == answered
            {
                break;
            }
            assert!(
                began.elapsed() < LONG_TIMEOUT,
                "the records are not on disk in time"
            );
        }
        backend.child.kill().unwrap();
        backend.child.wait().unwrap();
        sequence = 0;
        if start == 0 {
            backend.child = spawn_program_with_settings(&backend.config_file, Some(&settings));
            backend.wait_until_serving();
        }
    }
    let files = read_files(folder.path());
    assert_eq!(files.len(), 2, "each start begins a new file");
    let mut ids = HashSet::new();
    for file in &files {
        assert!(file.losses.contains(&Loss::MissingEnd), "{:?}", file.losses);
        assert!(
            file.records.iter().all(|record| ids.insert(record.id)),
            "no record twice"
        );
    }
    let early = ids.iter().filter(|&&id| id < 2000).count();
    assert_eq!(
        early, answered,
        "the records that were on disk before a kill"
    );
}

/// Guards against requests that fail because the directory of the recording is not writable.
/// Requests are served as without a recording, and the log has the number of missing records.
#[test]
fn an_unwritable_recording_folder_harms_no_request() {
    let (folder, settings) = recording_settings("200ms");
    // A file has the name of the directory.
    std::fs::write(folder.path().join("trace"), "in the way").unwrap();
    let mut backend = start_backend_with_settings(1024, Some(&settings));
    let mut edge = backend.connect();
    for sequence in 1..=50 {
        edge.send_request(sequence, &format!("{sequence:016x}"), b"run");
        edge.expect_answer(sequence, AnswerKind::Answer);
    }
    backend.signal("TERM");
    assert!(backend.wait_for_exit().success());
    let log = backend.read_log();
    assert!(
        log.contains("recording summary missing_records=50 "),
        "{log}"
    );
}

/// Guards against a typing error in the settings file that is ignored: with an unknown key the
/// program exits with code 2 and an error that names the file, line, column and the most similar
/// key. `--help` and `--version` work, and an unknown option exits with code 2.
#[test]
fn an_invalid_configuration_is_reported_and_exits_with_2() {
    let folder = tempfile::tempdir().unwrap();
    let settings = folder.path().join("bad.hcl");
    std::fs::write(&settings, "trace {\n  folder = \"t\"\n  queu = 9\n}\n").unwrap();
    let host = unique_address();
    let file = write_config(&host, &config_json(&host));
    let run = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tulipgapd"));
        command
            .args(arguments)
            .env("LB_CONFIG", &file)
            .stdin(Stdio::null())
            .output()
            .unwrap()
    };
    let output = run(&["--settings", settings.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        error.contains("bad.hcl:3:3: unknown key 'trace.queu'; did you mean 'queue'?"),
        "{error}"
    );
    assert!(String::from_utf8_lossy(&run(&["--help"]).stdout).contains("--settings"));
    assert!(run(&["--version"]).stdout.starts_with(b"tulipgapd "));
    assert_eq!(run(&["--nonsense"]).status.code(), Some(2));
    let _ = std::fs::remove_file(file);
}
