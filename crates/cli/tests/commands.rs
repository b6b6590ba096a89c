//! Tests of the command line from outside: its output, the files it writes and its exit codes.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

/// A directory in which commands run.
struct Workspace(tempfile::TempDir);

impl Workspace {
    fn new() -> Self {
        Workspace(tempfile::tempdir().unwrap())
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    /// Runs a command in the directory; its words are separated by spaces.
    fn run(&self, words: &str) -> Output {
        self.run_with_input(words, b"")
    }

    /// Runs a command with that standard input.
    fn run_with_input(&self, words: &str, input: &[u8]) -> Output {
        let mut child = Command::new(env!("CARGO_BIN_EXE_tulipgap"))
            .args(words.split(' '))
            .current_dir(self.0.path())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stdin = child.stdin.take().unwrap();
        let input = input.to_vec();
        let writer = std::thread::spawn(move || drop(stdin.write_all(&input)));
        let output = child.wait_with_output().unwrap();
        writer.join().unwrap();
        output
    }

    /// Runs a command that must succeed, and parses its output as JSON.
    fn run_json(&self, words: &str) -> serde_json::Value {
        let output = self.run(words);
        assert_eq!(
            output.status.code(),
            Some(0),
            "{words}: {}",
            stderr_of(&output)
        );
        serde_json::from_slice(&output.stdout).unwrap()
    }

    /// Runs a command that must succeed, and returns its output.
    fn run_ok(&self, words: &str) -> String {
        let output = self.run(words);
        assert_eq!(
            output.status.code(),
            Some(0),
            "{words}: {}",
            stderr_of(&output)
        );
        String::from_utf8(output.stdout).unwrap()
    }
}

fn stderr_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Flips one bit in the middle of a file.
fn damage(path: &Path) {
    let mut bytes = std::fs::read(path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    std::fs::write(path, bytes).unwrap();
}

#[test]
fn synthetic_recording_is_cut_summarised_and_exported() {
    let workspace = Workspace::new();
    workspace
        .run_ok("trace synth --minutes 3 --rate 60 --seed 1 --cores 4 -o day.tgt --raw day.jsonl");
    // The same seed gives the same bytes.
    workspace.run_ok("trace synth --minutes 3 --rate 60 --seed 1 --cores 4 -o again.tgt");
    assert_eq!(
        std::fs::read(workspace.path("day.tgt")).unwrap(),
        std::fs::read(workspace.path("again.tgt")).unwrap()
    );
    let raw = std::fs::read_to_string(workspace.path("day.jsonl")).unwrap();
    let info = workspace.run_json("trace info --json day.tgt");
    assert_eq!(info["records"], raw.lines().count());
    // The export has the lines of the raw log, in another order.
    let exported = workspace.run_ok("trace export day.tgt");
    let lines = |text: &str| {
        let mut lines: Vec<serde_json::Value> = text
            .lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect();
        lines.sort_by_key(|line| line["id"].to_string());
        lines
    };
    assert!(lines(&exported) == lines(&raw));
    // A minute is selected by offsets, and then by times.
    let cut = workspace.run("trace cut day.tgt --from 1m --to 2m -o -");
    std::fs::write(workspace.path("minute.tgt"), &cut.stdout).unwrap();
    let first = info["from"].as_i64().unwrap();
    let within = |line: &&serde_json::Value| {
        let reached = line["reached"].as_i64().unwrap();
        (first + 60_000_000..first + 120_000_000).contains(&reached)
    };
    let minute = workspace.run_json("trace info --json minute.tgt")["records"].clone();
    assert_eq!(minute, lines(&raw).iter().filter(within).count());
    let times = "--from 2025-12-01T08:01:00Z --to 2025-12-01T08:01:30.5Z";
    assert!(
        workspace.run_json(&format!("trace summary --json day.tgt {times}"))[0]["asked"]
            .as_u64()
            .unwrap()
            > 0
    );
    // Records are selected by handler and outcome, from standard input.
    let bytes = std::fs::read(workspace.path("day.tgt")).unwrap();
    let shed = workspace.run_with_input(
        "trace export - --handler page --outcome shed --form csv",
        &bytes,
    );
    let shed = String::from_utf8(shed.stdout).unwrap();
    let expected = lines(&raw)
        .iter()
        .filter(|l| l["handler"] == "page" && l["outcome"] == "shed")
        .count();
    assert_eq!(shed.lines().count(), expected + 1);
    let summary = workspace.run_ok("trace summary day.tgt --by-minute");
    assert!(
        summary.contains("service") && summary.contains("rejected with reason late: "),
        "{summary}"
    );
}

#[test]
fn damage_is_reported_with_exit_code_1_after_all_intact_data() {
    let workspace = Workspace::new();
    workspace.run_ok("trace synth --minutes 1 --rate 50 -o day.tgt");
    let whole = workspace.run_json("trace info --json day.tgt")["records"]
        .as_u64()
        .unwrap();
    damage(&workspace.path("day.tgt"));
    let output = workspace.run("trace check day.tgt");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).contains("not sound"));
    let output = workspace.run("trace export day.tgt");
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr_of(&output).contains("records are lost there"),
        "{}",
        stderr_of(&output)
    );
    let given = String::from_utf8_lossy(&output.stdout).lines().count() as u64;
    assert!(given > whole / 2 && given < whole);
    let output = workspace.run("trace repair day.tgt -o whole.tgt");
    assert_eq!(output.status.code(), Some(1));
    assert!(
        workspace
            .run_ok("trace check whole.tgt")
            .contains(": sound")
    );
    assert!(
        workspace
            .run_ok("trace info whole.tgt")
            .contains("damaged: ")
    );
    // The file is cut off, as after a crash of the server.
    let bytes = std::fs::read(workspace.path("whole.tgt")).unwrap();
    std::fs::write(workspace.path("torn.tgt"), &bytes[..bytes.len() * 2 / 3]).unwrap();
    let output = workspace.run("trace summary torn.tgt");
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr_of(&output).contains("torn off at byte")
            && stderr_of(&output).contains("no end mark"),
        "{}",
        stderr_of(&output)
    );
    // A command that fails leaves neither a new file nor a damaged old one.
    std::fs::write(workspace.path("old.tgt"), "old").unwrap();
    assert_eq!(
        workspace
            .run("trace cut nothing.tgt -o old.tgt")
            .status
            .code(),
        Some(2)
    );
    assert_eq!(
        std::fs::read_to_string(workspace.path("old.tgt")).unwrap(),
        "old"
    );
}

#[test]
fn files_of_both_formats_and_several_servers_merge() {
    let workspace = Workspace::new();
    workspace.run_ok("trace synth --rate 40 --server a --seed 1 --format 1 -o a.tgt");
    workspace.run_ok("trace synth --rate 40 --server b --seed 2 -o b.tgt");
    std::fs::copy(workspace.path("b.tgt"), workspace.path("b2.tgt")).unwrap();
    let output = workspace.run("trace merge a.tgt b.tgt b2.tgt -o all.tgt --offset b=-1.5s");
    assert_eq!(output.status.code(), Some(0), "{}", stderr_of(&output));
    assert!(
        stderr_of(&output).contains("b2.tgt is the same file as b.tgt"),
        "{}",
        stderr_of(&output)
    );
    let count = |name: &str| {
        workspace.run_json(&format!("trace info --json {name}"))["records"]
            .as_u64()
            .unwrap()
    };
    assert_eq!(count("all.tgt"), count("a.tgt") + count("b.tgt"));
    let from = workspace.run_json("trace info --json all.tgt")["from"]
        .as_i64()
        .unwrap();
    assert_eq!(
        from,
        workspace.run_json("trace info --json b.tgt")["from"]
            .as_i64()
            .unwrap()
            - 1_500_000
    );
    let together = workspace.run_json("trace summary --json a.tgt b.tgt")[0]["tries"].as_u64();
    assert_eq!(together, Some(count("all.tgt")));
    let unknown = workspace.run("trace merge a.tgt -o c.tgt --offset nobody=1s");
    assert_eq!(unknown.status.code(), Some(2));
    // The columns that format 1 lacks are reported.
    assert!(
        stderr_of(&workspace.run("trace cut b.tgt -o lean.tgt --format 1"))
            .contains("format 1 has no column for server")
    );
}

#[test]
fn anonymised_copies_hide_ids_and_weak_keys_are_rejected() {
    let workspace = Workspace::new();
    workspace.run_ok("trace synth --rate 20 -o day.tgt");
    std::fs::write(workspace.path("weak"), "secret").unwrap();
    let output = workspace.run("trace anonymise day.tgt -o out.tgt --key-file weak");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr_of(&output).contains("the key has 6 bytes"),
        "{}",
        stderr_of(&output)
    );
    assert!(!workspace.path("out.tgt").exists());
    let key = b"0123456789abcdef00112233445566778899aabbccddeeff1032547698badcfe\n";
    let output = workspace.run_with_input(
        "trace anonymise day.tgt -o out.tgt --key-file - --tenants --servers",
        key,
    );
    assert_eq!(output.status.code(), Some(0), "{}", stderr_of(&output));
    let ids = |name: &str| -> std::collections::BTreeSet<String> {
        let text = workspace.run_ok(&format!("trace export {name}"));
        text.lines()
            .map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap()["id"].to_string())
            .collect()
    };
    let (old, new) = (ids("day.tgt"), ids("out.tgt"));
    assert!(old.len() == new.len() && old.is_disjoint(&new));
    assert!(!workspace.run_ok("trace info out.tgt").contains("harbour"));
}

#[test]
fn invalid_usage_ends_with_exit_code_2() {
    let workspace = Workspace::new();
    workspace.run_ok("trace synth --minutes 0.1 --rate 20 -o day.tgt");
    for words in [
        "trace cut day.tgt --from soon -o out.tgt",
        "trace cut day.tgt --from 2s --to 1s -o out.tgt",
        "trace cut day.tgt --handler nobody -o out.tgt",
        "trace cut day.tgt --outcome fine -o out.tgt",
        "trace cut missing.tgt -o out.tgt",
        "trace synth --minutes -3 -o out.tgt",
        "trace synth --format 3 -o out.tgt",
        "trace info Cargo.toml",
        "trace anonymise day.tgt -o out.tgt",
        "nonsense",
    ] {
        let output = workspace.run(words);
        assert_eq!(output.status.code(), Some(2), "{words}");
        assert!(
            !stderr_of(&output).is_empty() && !stderr_of(&output).contains("panicked"),
            "{words}"
        );
    }
    assert_eq!(
        workspace
            .run("trace cut day.tgt --from 1h -o out.tgt")
            .status
            .code(),
        Some(1)
    );
    assert!(workspace.run_ok("--version").starts_with("tulipgap "));
}

#[test]
fn config_check_reports_every_problem_with_its_position() {
    let workspace = Workspace::new();
    std::fs::write(workspace.path("good.hcl"), "trace {\n  folder = \"t\"\n}\n").unwrap();
    std::fs::write(
        workspace.path("bad.hcl"),
        "trace {\n  foldre = \"t\"\n  format = 9.5\n}\n",
    )
    .unwrap();
    assert_eq!(
        workspace.run_ok("config check good.hcl"),
        "good.hcl: fine\n"
    );
    let output = workspace.run("config check good.hcl bad.hcl");
    assert_eq!(output.status.code(), Some(1));
    let report = String::from_utf8(output.stdout).unwrap();
    assert!(
        report.contains("bad.hcl:2:3: unknown key 'trace.foldre'; did you mean 'folder'?"),
        "{report}"
    );
    assert!(
        report.contains("bad.hcl:3:12: trace.format: expected a non-negative integer"),
        "{report}"
    );
    assert_eq!(
        workspace.run("config check missing.hcl").status.code(),
        Some(2)
    );
}

/// A hostile file has frame headers that claim payloads of the maximum length and longer ones,
/// followed by a large hole. A reader that allocated the claimed lengths would run out of memory;
/// the test limits it to 96 MB.
#[test]
fn claimed_lengths_of_a_hostile_file_allocate_no_memory() {
    let workspace = Workspace::new();
    workspace.run_ok("trace synth --minutes 0.2 --rate 50 -o day.tgt");
    let mut bytes = std::fs::read(workspace.path("day.tgt")).unwrap();
    for length in [u32::MAX, 2_000_000_000, 8 * 1024 * 1024] {
        let mut head = vec![0xF7, b't', b'g', b'B'];
        head.extend_from_slice(&length.to_le_bytes());
        let check = crc32fast::hash(&head);
        head.extend_from_slice(&check.to_le_bytes());
        bytes.extend_from_slice(&head);
    }
    std::fs::write(workspace.path("hostile.tgt"), &bytes).unwrap();
    std::fs::OpenOptions::new()
        .write(true)
        .open(workspace.path("hostile.tgt"))
        .and_then(|file| file.set_len(160 * 1024 * 1024))
        .unwrap();
    // 96 MB of address space, including the program itself.
    let output = Command::new("sh")
        .args([
            "-c",
            "ulimit -v 98304; exec \"$0\" trace check hostile.tgt",
            env!("CARGO_BIN_EXE_tulipgap"),
        ])
        .current_dir(workspace.0.path())
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1), "{}", stderr_of(&output));
    assert!(
        String::from_utf8_lossy(&output.stdout).contains("not sound"),
        "{}",
        stderr_of(&output)
    );
}

#[test]
fn chaos_simulate_exit_code_depends_on_the_result_of_the_plan() {
    let workspace = Workspace::new();
    let plan = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../example/zone-cut.hcl"
    ))
    .unwrap();
    std::fs::write(workspace.path("plan.hcl"), &plan).unwrap();
    let report = workspace.run_json("chaos simulate plan.hcl --seeds 0..2 --json");
    assert_eq!(
        (&report["runs"], &report["broken"]),
        (&2.into(), &serde_json::Value::Null)
    );
    assert!(
        workspace
            .run_ok("chaos simulate plan.hcl --seeds 0..2")
            .contains("held_dead  longest ")
    );
    // Every run violates this bound, and the report names the seed.
    std::fs::write(
        workspace.path("tight.hcl"),
        plan.replace("known     = 30", "known     = 1"),
    )
    .unwrap();
    let output = workspace.run("chaos simulate tight.hcl --seeds 3..9");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).contains("VIOLATION of known with seed 3 at "));
    std::fs::write(
        workspace.path("wrong.hcl"),
        plan.replace("south-2", "east-2"),
    )
    .unwrap();
    let output = workspace.run("chaos simulate wrong.hcl");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr_of(&output).contains("no zone and no member"),
        "{}",
        stderr_of(&output)
    );
    assert_eq!(
        workspace
            .run("chaos simulate plan.hcl --seeds 5..5")
            .status
            .code(),
        Some(2)
    );
}

/// `chaos` was named `rig`, and its flag `--random-faults` was `--chaos`. Scripts use the old
/// names, so the program accepts both, with the same output.
#[test]
fn rig_and_its_chaos_flag_are_aliases_of_chaos_and_random_faults() {
    let workspace = Workspace::new();
    let plan = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../example/leases.hcl"
    ))
    .unwrap();
    std::fs::write(workspace.path("plan.hcl"), plan).unwrap();
    let new = workspace.run_ok("chaos simulate plan.hcl --random-faults --seeds 0..2");
    let old = workspace.run_ok("rig simulate plan.hcl --chaos --seeds 0..2");
    assert!(new.starts_with("2 runs of "), "{new}");
    assert_eq!(new, old);
    let without = workspace.run_ok("chaos simulate plan.hcl --seeds 0..2");
    assert_ne!(new, without, "random faults are added");
    let help = workspace.run_ok("--help");
    assert!(help.contains("chaos") && help.contains("rig"), "{help}");
}

/// Options of `lease take` and `cluster drain` had other names. Scripts use the old names, so the
/// program accepts both: with either name, the command fails only because the socket is missing.
#[test]
fn lease_take_and_drain_accept_old_and_new_option_names() {
    let workspace = Workspace::new();
    for words in [
        "lease take one --ttl 2s --capacity 2 --timeout 1s --socket missing",
        "lease take one --term 2s --places 2 --wait 1s --socket missing",
        "cluster drain --timeout 1s --socket missing",
        "cluster drain --wait 1s --socket missing",
    ] {
        let output = workspace.run(words);
        assert_eq!(output.status.code(), Some(2), "{words}");
        assert!(
            stderr_of(&output).contains("missing: No such file"),
            "{words}: {}",
            stderr_of(&output)
        );
    }
}

/// Guards the format of old recordings: the test files of the trace crate contain recordings, and
/// the lines that version 0.1.0 exported from them.
#[test]
fn recordings_of_version_0_1_0_export_the_same_lines() {
    let workspace = Workspace::new();
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("../trace/tests/files/golden");
    for name in ["format-1", "format-2"] {
        let recording = golden.join(format!("{name}.tgt"));
        std::fs::copy(recording, workspace.path("golden.tgt")).unwrap();
        let expected = std::fs::read_to_string(golden.join(format!("{name}.jsonl"))).unwrap();
        assert!(
            workspace.run_ok("trace export golden.tgt") == expected,
            "{name}"
        );
    }
}
