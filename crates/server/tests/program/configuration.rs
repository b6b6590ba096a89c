//! Settings that the program serves and settings that it rejects at the start.

use std::time::{Duration, Instant};

use crate::harness::backend::{
    BackendSetup, config_json, run_until_rejected, spawn_program, write_config,
};
use crate::harness::edge_node::{AnswerKind, EdgeConnection};
use crate::harness::unique_address;

/// Minimum number of requests that are sent to find a feedback value: the controller sets the first
/// value with its first measurements.
const MIN_FEEDBACK_REQUESTS: u32 = 299;
/// Minimum time for which requests are sent to find a feedback value.
const MIN_FEEDBACK_TIME: Duration = Duration::from_secs(1);

/// Guards against a program that starts with an invalid configuration, or that exits without naming
/// the problem: it exits with code 2 and writes one line that names the problem.
#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let host = unique_address();
    let configuration = config_json(&host);
    for (from, to, problem) in [
        ("{\"name\":\"n3\"", "{\"name\"", "expected `:`"),
        ("\"cores\":4", "\"cores\":0", "no cores are given"),
        (
            "\"8c1f30d27a5be964\"",
            "\"seed\"",
            "seed: 'seed' is no hex number",
        ),
        (
            "\"sockets\":1024",
            "\"sockets\":3",
            "limits.sockets: 3 are too few to serve",
        ),
        (&format!("{host}:6565"), "nowhere", "invalid socket address"),
        (
            "\"stop_ms\":4000",
            "\"stop_ms\":-4",
            "stop_ms: -4 is no time",
        ),
    ] {
        assert!(configuration.contains(from), "{from}");
        let file = write_config(&format!("{host}-wrong"), &configuration.replace(from, to));
        let output = spawn_program(&file).wait_with_output().unwrap();
        let error_output = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{error_output}");
        assert!(
            error_output.lines().count() == 1 && error_output.contains(problem),
            "{error_output}"
        );
        std::fs::remove_file(file).unwrap();
    }
}

/// Sends requests until an answer carries a feedback value; false if none does. The first answers
/// are sent before the controller has a value.
fn has_feedback_value(edge: &mut EdgeConnection) -> bool {
    let until = Instant::now() + MIN_FEEDBACK_TIME;
    let mut sequences =
        (1..).take_while(|sequence| *sequence <= MIN_FEEDBACK_REQUESTS || Instant::now() < until);
    sequences.any(|sequence| {
        edge.send_request(sequence, &format!("{sequence:016x}"), b"run");
        edge.expect_answer(sequence, AnswerKind::Answer)
            .contains(b"signal")
    })
}

/// Guards against a build that cannot serve the settings of the sites regina-main and nairobi-calc,
/// in which the endpoint list follows health, callers get no feedback value, and a handler writes.
/// Guards also against a write that runs twice because it is declared idempotent: the program
/// rejects such settings at the start, and names the key.
#[test]
fn settings_with_writes_are_served_and_an_idempotent_write_is_rejected() {
    let changed_config = |host: &str| {
        config_json(host)
            .replace(r#""say":"weight""#, r#""say":"silent","list_follows":true"#)
            .replace(
                r#""effect":"pure"}"#,
                r#""effect":"side_effect","write":true}"#,
            )
    };
    let host = unique_address();
    let rejected_config = write_config(
        &host,
        &changed_config(&host).replace(
            r#""effect":"side_effect","write""#,
            r#""effect":"pure","write""#,
        ),
    );
    let (status, error) = run_until_rejected(&rejected_config);
    assert!(!status.success());
    assert!(error.contains("settings: classes[0].write: "), "{error}");
    let _ = std::fs::remove_file(rejected_config);

    let backend = BackendSetup::new()
        .change(r#""say":"weight""#, r#""say":"silent","list_follows":true"#)
        .change(
            r#""effect":"pure"}"#,
            r#""effect":"side_effect","write":true}"#,
        )
        .spawn();
    backend.wait_until_healthy(|_| true);
    let mut edge = backend.connect();
    assert!(
        !has_feedback_value(&mut edge),
        "a feedback value although callers use none"
    );
}

/// Guards against a start that rejects the settings of the site recife-matching, which give callers
/// a feedback value and have the endpoint list follow health.
#[test]
fn feedback_values_with_an_endpoint_list_that_follows_health_are_served() {
    let backend = BackendSetup::new()
        .change(r#""say":"weight""#, r#""say":"weight","list_follows":true"#)
        .spawn();
    backend.wait_until_healthy(|_| true);
    let mut edge = backend.connect();
    assert!(
        has_feedback_value(&mut edge),
        "no feedback value although callers use one"
    );
}

/// Guards against an error message without the key: an unknown value, such as the site file's
/// `keyed` in place of the wire's `token`, is reported with its key, line and column.
#[test]
fn an_invalid_word_in_the_settings_is_reported_with_key_and_line() {
    let host = unique_address();
    let file = write_config(
        &host,
        &config_json(&host).replace(r#""effect":"pure""#, r#""effect":"keyed""#),
    );
    let (status, error) = run_until_rejected(&file);
    assert_eq!(status.code(), Some(2));
    assert!(
        error.contains("settings.classes[0].effect: unknown variant `keyed`"),
        "{error}"
    );
    assert!(error.contains(" at line 2 column "), "{error}");
    let _ = std::fs::remove_file(file);
}
