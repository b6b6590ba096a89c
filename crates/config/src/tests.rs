use std::time::Duration;

use bytesize::ByteSize;

use crate::{Problem, ProductConfig, parse};

fn problems(text: &str) -> Vec<String> {
    parse(text)
        .expect_err("the text has problems")
        .iter()
        .map(Problem::to_string)
        .collect()
}

#[test]
fn omitted_keys_have_their_defaults() {
    assert_eq!(parse("").unwrap(), ProductConfig::default());
    let trace = parse("trace {\n  folder = \"t\"\n}\n")
        .unwrap()
        .trace
        .unwrap();
    assert!(trace.enabled && trace.sync && trace.format == 2);
    assert_eq!(
        (trace.seal_after, trace.rotate_size),
        (Duration::from_secs(5), ByteSize::mib(64))
    );
    let text = "trace {\n folder = \"t\"\n seal_after = \"1s 500ms\"\n rotate_size = \"1 MiB\"\n keep_size = \"10 MiB\"\n}";
    let trace = parse(text).unwrap().trace.unwrap();
    assert_eq!(
        (trace.seal_after, trace.keep_size),
        (Duration::from_millis(1500), ByteSize::mib(10))
    );
}

#[test]
fn every_problem_is_reported_with_its_position() {
    let text = r#"trace {
  fodler     = "t"
  format     = "two"
  seal_after = "soon"
}
trace {}
trase "x" {}
"#;
    let found = problems(text);
    assert_eq!(
        found,
        [
            "1:1: 'trace.folder' is missing",
            "2:3: unknown key 'trace.fodler'; did you mean 'folder'?",
            "3:16: trace.format: expected a non-negative integer",
            "4:16: trace.seal_after: expected a duration such as \"2s\" or \"1h 30m\"",
            "6:1: 'trace' is defined more than once",
            "7:1: unknown key 'trase'; did you mean 'trace'?",
        ]
    );
}

#[test]
fn out_of_range_values_are_reported_with_their_positions() {
    let text = "trace {\n  folder = \"\"\n  format = 7\n  queue = 1\n  seal_after = \"5m\"\n  keep_size = \"1 MiB\"\n}\n";
    let found = problems(text);
    assert_eq!(found.len(), 5, "{found:?}");
    for (line, name) in [
        (2, "folder"),
        (3, "format"),
        (4, "queue"),
        (5, "seal_after"),
        (6, "keep_size"),
    ] {
        assert!(
            found
                .iter()
                .any(|p| p.starts_with(&format!("{line}:3: trace.{name}: "))),
            "{name}: {found:?}"
        );
    }
}

#[test]
fn syntax_errors_are_reported_with_their_positions() {
    let found = problems("trace {\n  folder = \n}\n");
    assert!(found.len() == 1 && found[0].starts_with("2:"), "{found:?}");
    let twice = problems("trace {\n folder = \"a\"\n folder = \"b\"\n}\n");
    assert!(twice.len() == 1 && twice[0].starts_with("3:"), "{twice:?}");
    assert_eq!(
        problems("trace = 3\n"),
        ["1:1: 'trace' is a block; write trace { ... }"]
    );
    assert_eq!(
        problems("trace \"a\" {\n folder = \"t\"\n}\n"),
        ["1:7: block 'trace' must not have a label"]
    );
}

quickcheck::quickcheck! {
    fn any_text_is_accepted_or_has_problems(text: String, cut: usize) -> bool {
        let valid = "trace {\n  folder = \"t\"\n  queue = 100\n}\n";
        let cut = cut % valid.len();
        let damaged = format!("{}{text}{}", &valid[..cut], &valid[cut..]);
        parse(&damaged).is_ok() || !problems(&damaged).is_empty()
    }
}

#[test]
fn all_keys_of_the_admission_block_are_checked() {
    let text = "admission {\n  known_part = 0.4\n  known = [\"10.0.0.0/8\"]\n  address {\n    open = 32\n  }\n}\n";
    let admission = parse(text).unwrap().admission.unwrap();
    assert_eq!(
        (
            admission.known_part,
            admission.address.open,
            admission.wide.open
        ),
        (0.4, Some(32), None)
    );
    assert_eq!(
        (&admission.when_full[..], admission.cold_part),
        ("refuse", 1.0)
    );
    let text = "admission {\n  known_part = 2\n  known = [\"here\"]\n  when_full = \"hope\"\n  address {\n    open = 0\n  }\n}\n";
    let found = problems(text);
    assert_eq!(found.len(), 4, "{found:?}");
    for (position, name) in [
        ("2:3", "known_part"),
        ("3:3", "known"),
        ("4:3", "when_full"),
        ("6:5", "address.open"),
    ] {
        assert!(
            found
                .iter()
                .any(|p| p.starts_with(&format!("{position}: admission.{name}"))),
            "{name}: {found:?}"
        );
    }
    assert_eq!(problems("admission {\n  known = \"x\"\n}\n").len(), 1);
}

#[test]
fn all_keys_of_the_cluster_block_are_checked() {
    let base = "cluster {\n  name = \"c\"\n  listen = \"127.0.0.1:7100\"\n  region = \"r\"\n  zone = \"z\"\n  key = \"/k\"\n";
    let cluster = parse(&format!("{base}}}\n")).unwrap().cluster.unwrap();
    assert_eq!(
        (cluster.enabled, cluster.clock_off, cluster.drain),
        (true, 0.05, None)
    );
    let text = format!(
        "{base}  voters = [\"a\", \"a\"]\n  seeds = [\"here\"]\n  clock_off = 2\n  drain {{\n    at_once = 0\n  }}\n}}\n"
    );
    let found = problems(&text);
    for (position, name) in [
        ("7:3", "voters"),
        ("8:3", "seeds"),
        ("9:3", "clock_off"),
        ("11:5", "drain.at_once"),
    ] {
        assert!(
            found
                .iter()
                .any(|p| p.starts_with(&format!("{position}: cluster.{name}"))),
            "{name}: {found:?}"
        );
    }
    assert!(
        problems("cluster {\n  name = \"c\"\n}\n").len() == 4,
        "listen, region, zone, key"
    );
}
