//! Checks that the log lines and tests named in the pages under docs exist in the code.

use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Appends the text of all Rust files under a folder to `text`.
fn sources(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder)
        .expect("a folder of the repository")
        .flatten()
    {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(&path).expect("a source file"));
        }
    }
}

/// The log lines that a page quotes: code in the first column of tables whose first header is
/// `line`.
fn quoted_lines(page: &str) -> Vec<String> {
    let mut lines = Vec::new();
    let mut is_log_table = false;
    for row in page.lines() {
        if !row.starts_with('|') {
            is_log_table = false;
            continue;
        }
        let first_column = row
            .trim_start_matches('|')
            .split('|')
            .next()
            .unwrap_or_default();
        if first_column.trim() == "line" {
            is_log_table = true;
        } else if is_log_table {
            lines.extend(
                first_column
                    .split('`')
                    .skip(1)
                    .step_by(2)
                    .map(str::to_owned),
            );
        }
    }
    lines
}

/// The longest literal part of a quoted line. Words in capitals, single capital letters and `...`
/// stand for values, and so does the text after a `=`.
fn longest_literal(line: &str) -> String {
    let is_placeholder = |word: &str| {
        let letters: String = word.chars().filter(|c| c.is_alphabetic()).collect();
        word.contains("...") || !letters.is_empty() && letters.chars().all(char::is_uppercase)
    };
    let mut parts = vec![String::new()];
    for word in line.split(' ') {
        if let Some((key, _)) = word.split_once('=') {
            let part = parts.last_mut().expect("there is one");
            part.push_str(&format!("{key}="));
            parts.push(String::new());
        } else if is_placeholder(word) {
            parts.push(String::new());
        } else {
            let part = parts.last_mut().expect("there is one");
            part.push_str(word);
            part.push(' ');
        }
    }
    parts
        .into_iter()
        .map(|part| part.trim().to_owned())
        .max_by_key(String::len)
        .expect("there is one")
}

/// Source text with line continuations in string literals joined, so that a message is found as it
/// is printed.
fn joined(text: &str) -> String {
    let mut joined = String::with_capacity(text.len());
    let mut rest = text;
    while let Some(at) = rest.find("\\\n") {
        joined.push_str(&rest[..at]);
        rest = rest[at + 2..].trim_start();
    }
    joined.push_str(rest);
    joined
}

/// Guards against an on-call page that quotes a log line which the program no longer writes,
/// because the line was changed in the code alone.
#[test]
fn each_log_line_in_the_on_call_page_exists_in_the_code() {
    let mut text = String::new();
    sources(&root().join("crates"), &mut text);
    // The examples in this file do not count as source.
    let text = joined(&text.replace(include_str!("docs.rs"), ""));
    let page = fs::read_to_string(root().join("docs/on-call.md")).expect("the on-call page");
    let lines = quoted_lines(&page);
    assert!(
        lines.len() > 25,
        "only {} lines were found in the page",
        lines.len()
    );
    let missing: Vec<&String> = lines
        .iter()
        .filter(|line| !text.contains(&longest_literal(line)))
        .collect();
    assert!(
        missing.is_empty(),
        "in docs/on-call.md and not in the code: {missing:#?}"
    );
}

/// Names of tests in a page: code that is a single identifier with at least four underscores.
fn quoted_tests(page: &str) -> Vec<&str> {
    let is_name = |code: &&str| {
        let is_word = code
            .chars()
            .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_');
        is_word && code.matches('_').count() >= 4
    };
    page.split('`').skip(1).step_by(2).filter(is_name).collect()
}

/// Guards against a page of races that names a test which no longer exists, because the test was
/// renamed or removed in the code alone.
#[test]
fn each_test_named_in_the_races_page_exists() {
    let mut text = String::new();
    sources(&root().join("crates"), &mut text);
    sources(&root().join("tests"), &mut text);
    let page = fs::read_to_string(root().join("docs/races.md")).expect("the page of races");
    let tests = quoted_tests(&page);
    assert!(
        tests.len() > 60,
        "only {} tests were found in the page",
        tests.len()
    );
    let missing: Vec<&&str> = tests
        .iter()
        .filter(|test| !text.contains(&format!("fn {test}(")))
        .collect();
    assert!(
        missing.is_empty(),
        "in docs/races.md and not in the code: {missing:#?}"
    );
}

/// Guards against a check of the on-call page that finds nothing, because it reads no line from the
/// table or searches for a part of the line that is a placeholder.
#[test]
fn a_log_line_that_the_code_does_not_have_is_found() {
    let page = "| line | meaning |\n| --- | --- |\n| `gone from the code count=N` | x |\n\n| other |\n| `not a log line` |\n";
    let lines = quoted_lines(page);
    assert_eq!(lines, ["gone from the code count=N"]);
    assert_eq!(longest_literal(&lines[0]), "gone from the code count=");
    assert_eq!(longest_literal("NAME listens on ADDRESS"), "listens on");
    assert_eq!(longest_literal("left after N ms; ..."), "left after");
}
