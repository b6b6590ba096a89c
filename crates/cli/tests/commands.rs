//! The command line as a user meets it: what is printed, what is written, how it ends.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

struct Place(tempfile::TempDir);

impl Place {
    fn new() -> Self {
        Place(tempfile::tempdir().unwrap())
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    /// Runs a command in the folder, its words parted by spaces.
    fn run(&self, words: &str) -> Output {
        self.run_with(words, b"")
    }

    fn run_with(&self, words: &str, input: &[u8]) -> Output {
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

    fn json(&self, words: &str) -> serde_json::Value {
        let output = self.run(words);
        assert_eq!(output.status.code(), Some(0), "{words}: {}", err(&output));
        serde_json::from_slice(&output.stdout).unwrap()
    }

    fn fine(&self, words: &str) -> String {
        let output = self.run(words);
        assert_eq!(output.status.code(), Some(0), "{words}: {}", err(&output));
        String::from_utf8(output.stdout).unwrap()
    }
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn damage(path: &Path) {
    let mut bytes = std::fs::read(path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    std::fs::write(path, bytes).unwrap();
}

#[test]
fn a_recording_is_made_cut_summed_up_and_exported() {
    let place = Place::new();
    place.fine("trace synth --minutes 3 --rate 60 --seed 1 --cores 4 -o day.tgt --raw day.jsonl");
    // The same seed, the same bytes.
    place.fine("trace synth --minutes 3 --rate 60 --seed 1 --cores 4 -o again.tgt");
    assert_eq!(
        std::fs::read(place.path("day.tgt")).unwrap(),
        std::fs::read(place.path("again.tgt")).unwrap()
    );
    let raw = std::fs::read_to_string(place.path("day.jsonl")).unwrap();
    let info = place.json("trace info --json day.tgt");
    assert_eq!(info["records"], raw.lines().count());
    // The export says what the raw log says, line for line but for their order.
    let exported = place.fine("trace export day.tgt");
    let lines = |text: &str| {
        let mut lines: Vec<serde_json::Value> =
            text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
        lines.sort_by_key(|line| line["id"].to_string());
        lines
    };
    assert!(lines(&exported) == lines(&raw));
    // A minute by offsets, and by times.
    let cut = place.run("trace cut day.tgt --from 1m --to 2m -o -");
    std::fs::write(place.path("minute.tgt"), &cut.stdout).unwrap();
    let first = info["from"].as_i64().unwrap();
    let within = |line: &&serde_json::Value| {
        let reached = line["reached"].as_i64().unwrap();
        (first + 60_000_000..first + 120_000_000).contains(&reached)
    };
    let minute = place.json("trace info --json minute.tgt")["records"].clone();
    assert_eq!(minute, lines(&raw).iter().filter(within).count());
    let times = "--from 2025-12-01T08:01:00Z --to 2025-12-01T08:01:30.5Z";
    assert!(place.json(&format!("trace summary --json day.tgt {times}"))[0]["asked"].as_u64().unwrap() > 0);
    // By handler and outcome; a stream in.
    let bytes = std::fs::read(place.path("day.tgt")).unwrap();
    let shed = place.run_with("trace export - --handler page --outcome shed --form csv", &bytes);
    let shed = String::from_utf8(shed.stdout).unwrap();
    let expected = lines(&raw).iter().filter(|l| l["handler"] == "page" && l["outcome"] == "shed").count();
    assert_eq!(shed.lines().count(), expected + 1);
    let summary = place.fine("trace summary day.tgt --by-minute");
    assert!(summary.contains("service") && summary.contains("shed for late: "), "{summary}");
}

#[test]
fn damage_is_said_and_ends_with_1_after_the_rest() {
    let place = Place::new();
    place.fine("trace synth --minutes 1 --rate 50 -o day.tgt");
    let whole = place.json("trace info --json day.tgt")["records"].as_u64().unwrap();
    damage(&place.path("day.tgt"));
    let output = place.run("trace check day.tgt");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).contains("not sound"));
    let output = place.run("trace export day.tgt");
    assert_eq!(output.status.code(), Some(1));
    assert!(err(&output).contains("records are lost there"), "{}", err(&output));
    let given = String::from_utf8_lossy(&output.stdout).lines().count() as u64;
    assert!(given > whole / 2 && given < whole);
    let output = place.run("trace repair day.tgt -o whole.tgt");
    assert_eq!(output.status.code(), Some(1));
    assert!(place.fine("trace check whole.tgt").contains(": sound"));
    assert!(place.fine("trace info whole.tgt").contains("damaged: "));
    // Torn off, as when a server dies.
    let bytes = std::fs::read(place.path("whole.tgt")).unwrap();
    std::fs::write(place.path("torn.tgt"), &bytes[..bytes.len() * 2 / 3]).unwrap();
    let output = place.run("trace summary torn.tgt");
    assert_eq!(output.status.code(), Some(1));
    assert!(
        err(&output).contains("torn off at byte") && err(&output).contains("no end mark"),
        "{}",
        err(&output)
    );
    // What fails leaves no file behind, nor a half one in the place of an older.
    std::fs::write(place.path("old.tgt"), "old").unwrap();
    assert_eq!(place.run("trace cut nothing.tgt -o old.tgt").status.code(), Some(2));
    assert_eq!(std::fs::read_to_string(place.path("old.tgt")).unwrap(), "old");
}

#[test]
fn files_of_both_formats_and_several_servers_merge() {
    let place = Place::new();
    place.fine("trace synth --rate 40 --server a --seed 1 --format 1 -o a.tgt");
    place.fine("trace synth --rate 40 --server b --seed 2 -o b.tgt");
    std::fs::copy(place.path("b.tgt"), place.path("b2.tgt")).unwrap();
    let output = place.run("trace merge a.tgt b.tgt b2.tgt -o all.tgt --offset b=-1.5s");
    assert_eq!(output.status.code(), Some(0), "{}", err(&output));
    assert!(err(&output).contains("b2.tgt is the same file as b.tgt"), "{}", err(&output));
    let count = |name: &str| place.json(&format!("trace info --json {name}"))["records"].as_u64().unwrap();
    assert_eq!(count("all.tgt"), count("a.tgt") + count("b.tgt"));
    let from = place.json("trace info --json all.tgt")["from"].as_i64().unwrap();
    assert_eq!(from, place.json("trace info --json b.tgt")["from"].as_i64().unwrap() - 1_500_000);
    let together = place.json("trace summary --json a.tgt b.tgt")[0]["tries"].as_u64();
    assert_eq!(together, Some(count("all.tgt")));
    let unknown = place.run("trace merge a.tgt -o c.tgt --offset nobody=1s");
    assert_eq!(unknown.status.code(), Some(2));
    // Format 1 says what it has no place for.
    assert!(
        err(&place.run("trace cut b.tgt -o lean.tgt --format 1"))
            .contains("format 1 has no place for server")
    );
}

#[test]
fn anonymised_copies_hide_ids_and_take_no_weak_key() {
    let place = Place::new();
    place.fine("trace synth --rate 20 -o day.tgt");
    std::fs::write(place.path("weak"), "secret").unwrap();
    let output = place.run("trace anonymise day.tgt -o out.tgt --key-file weak");
    assert_eq!(output.status.code(), Some(2));
    assert!(err(&output).contains("the key has 6 bytes"), "{}", err(&output));
    assert!(!place.path("out.tgt").exists());
    let key = b"0123456789abcdef00112233445566778899aabbccddeeff1032547698badcfe\n";
    let output = place.run_with("trace anonymise day.tgt -o out.tgt --key-file - --tenants --servers", key);
    assert_eq!(output.status.code(), Some(0), "{}", err(&output));
    let ids = |name: &str| -> std::collections::BTreeSet<String> {
        let text = place.fine(&format!("trace export {name}"));
        text.lines()
            .map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap()["id"].to_string())
            .collect()
    };
    let (old, new) = (ids("day.tgt"), ids("out.tgt"));
    assert!(old.len() == new.len() && old.is_disjoint(&new));
    assert!(!place.fine("trace info out.tgt").contains("harbour"));
}

#[test]
fn usage_that_makes_no_sense_ends_with_2() {
    let place = Place::new();
    place.fine("trace synth --minutes 0.1 --rate 20 -o day.tgt");
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
        let output = place.run(words);
        assert_eq!(output.status.code(), Some(2), "{words}");
        assert!(!err(&output).is_empty() && !err(&output).contains("panicked"), "{words}");
    }
    assert_eq!(place.run("trace cut day.tgt --from 1h -o out.tgt").status.code(), Some(1));
    assert!(place.fine("--version").starts_with("tulipgap "));
}

#[test]
fn a_configuration_is_checked_with_every_problem_at_its_place() {
    let place = Place::new();
    std::fs::write(place.path("good.hcl"), "trace {\n  folder = \"t\"\n}\n").unwrap();
    std::fs::write(place.path("bad.hcl"), "trace {\n  foldre = \"t\"\n  format = 9.5\n}\n").unwrap();
    assert_eq!(place.fine("config check good.hcl"), "good.hcl: fine\n");
    let output = place.run("config check good.hcl bad.hcl");
    assert_eq!(output.status.code(), Some(1));
    let told = String::from_utf8(output.stdout).unwrap();
    assert!(told.contains("bad.hcl:2:3: 'trace.foldre' is no name; is 'folder' meant?"), "{told}");
    assert!(told.contains("bad.hcl:3:12: trace.format: it takes a whole number"), "{told}");
    assert_eq!(place.run("config check missing.hcl").status.code(), Some(2));
}

/// A file of heads that claim all they may and more, with a long hole behind them, is read in little memory.
#[test]
fn what_a_hostile_file_claims_takes_no_memory() {
    let place = Place::new();
    place.fine("trace synth --minutes 0.2 --rate 50 -o day.tgt");
    let mut bytes = std::fs::read(place.path("day.tgt")).unwrap();
    for length in [u32::MAX, 2_000_000_000, 8 * 1024 * 1024] {
        let mut head = vec![0xF7, b't', b'g', b'B'];
        head.extend_from_slice(&length.to_le_bytes());
        let check = crc32fast::hash(&head);
        head.extend_from_slice(&check.to_le_bytes());
        bytes.extend_from_slice(&head);
    }
    std::fs::write(place.path("hostile.tgt"), &bytes).unwrap();
    std::fs::OpenOptions::new()
        .write(true)
        .open(place.path("hostile.tgt"))
        .and_then(|file| file.set_len(160 * 1024 * 1024))
        .unwrap();
    // With 96 MB of address space, the program itself included.
    let output = Command::new("sh")
        .args(["-c", "ulimit -v 98304; exec \"$0\" trace check hostile.tgt", env!("CARGO_BIN_EXE_tulipgap")])
        .current_dir(place.0.path())
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1), "{}", err(&output));
    assert!(String::from_utf8_lossy(&output.stdout).contains("not sound"), "{}", err(&output));
}

#[test]
fn the_rig_ends_by_what_came_of_the_plan() {
    let place = Place::new();
    let plan =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../example/zone-cut.hcl")).unwrap();
    std::fs::write(place.path("plan.hcl"), &plan).unwrap();
    let report = place.json("rig simulate plan.hcl --seeds 0..2 --json");
    assert_eq!((&report["runs"], &report["broken"]), (&2.into(), &serde_json::Value::Null));
    assert!(place.fine("rig simulate plan.hcl --seeds 0..2").contains("held_dead  at the longest"));
    // A bound that nothing can keep: the seed that shows it is told.
    std::fs::write(place.path("tight.hcl"), plan.replace("known     = 30", "known     = 1")).unwrap();
    let output = place.run("rig simulate tight.hcl --seeds 3..9");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).contains("BROKEN known with seed 3 at "));
    std::fs::write(place.path("wrong.hcl"), plan.replace("south-2", "east-2")).unwrap();
    let output = place.run("rig simulate wrong.hcl");
    assert_eq!(output.status.code(), Some(2));
    assert!(err(&output).contains("no zone and no member"), "{}", err(&output));
    assert_eq!(place.run("rig simulate plan.hcl --seeds 5..5").status.code(), Some(2));
}

/// The recordings and what version 0.1.0 exported of them stand beside the tests of the trace crate.
#[test]
fn recordings_of_version_0_1_0_export_the_same_lines() {
    let place = Place::new();
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("../trace/tests/files/golden");
    for name in ["format-1", "format-2"] {
        let recording = golden.join(format!("{name}.tgt"));
        std::fs::copy(recording, place.path("golden.tgt")).unwrap();
        let expected = std::fs::read_to_string(golden.join(format!("{name}.jsonl"))).unwrap();
        assert!(place.fine("trace export golden.tgt") == expected, "{name}");
    }
}
