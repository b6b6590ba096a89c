//! Guards against changes of the stored format that make a voter's directory unreadable for later
//! versions: a voter must open folders that an earlier version wrote, and the same run must write
//! the same bytes. `tests/golden/journal` has one folder for each state a folder can be in, and the
//! `*-final` folders contain every kind of record: identity, snapshot, hard state, commands of each
//! kind, changes of voters.
//!
//! GOLDEN_WRITE=1 writes the files. `journal` has the files of the first version. Since then voters
//! send a new voter its snapshot earlier, so the same run writes the files in `journal-2`. A change
//! of the format needs an additional set of files; the existing sets must stay readable.

// This test uses only a part of the module.
#[allow(dead_code)]
mod common;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::time::Duration;

use common::{BOOTSTRAP_VOTERS, Files, Group, acquire, open_voter};
use tulipgap_consensus::{DurableVoter, Event};
use tulipgap_leases::{Command, Name};
use tulipgap_write_ahead_log::{Disk, FaultyDisk, WriteAheadLog};

impl Group {
    fn propose(&mut self, command: Command) {
        let leader = self.leader().unwrap();
        self.propose_to(&leader, command);
    }
}

/// Runs a group and returns its folders: bootstrap, a command of each kind, more entries than the
/// interval between two snapshots, and the replacement of a voter by a new one that begins with a
/// snapshot.
fn write_folders() -> BTreeMap<&'static str, Files> {
    let hour = Duration::from_secs(3600);
    let mut group = Group::new(
        BOOTSTRAP_VOTERS
            .map(|name| (name.into(), Files::new()))
            .into(),
    );
    group.capture();
    group.tick_until("a leader", |group| group.leader().is_some());
    let fill_log = |group: &mut Group| {
        for turn in 0..260 {
            group.propose(acquire(
                &format!("lease-{}", turn % 5),
                &format!("m{}", turn % 7),
                hour,
                2,
            ));
        }
    };
    fill_log(&mut group);
    let leader = group.leader().unwrap();
    let voters = group.voters_by_name[&leader].voter().status().voters;
    // Leadership is transferred to the follower with the highest id; the other follower is
    // replaced.
    let replaced = voters
        .values()
        .find(|name| **name != leader)
        .unwrap()
        .clone();
    group.add_new_voter(&"d".into(), 9);
    group.deliver(
        &leader,
        Event::ReplaceVoter {
            old: replaced.clone(),
            new: "d".into(),
        },
    );
    // The new voter has its snapshot and votes; these entries follow the snapshot.
    fill_log(&mut group);
    group.deliver(&leader, Event::TransferLeadership);
    group.tick_until("another leader", |group| {
        group.leader().is_some_and(|next| next != leader)
    });
    let leader = group.leader().unwrap();
    group.tick_until("the new voter has replaced the old one", |group| {
        let voters = group.voter_names("d");
        voters.len() == 3 && voters.contains(&"d".into()) && !voters.contains(&replaced)
    });
    group.voters_by_name.remove(&replaced);
    change_leases(&mut group, &leader);
    for (name, disk) in &group.disks {
        let fixture = match &**name {
            "a" => "a-final",
            "b" => "b-final",
            "c" => "c-final",
            _ => "d-final",
        };
        group.captured.insert(fixture, disk.copy_files());
    }
    group.captured
}

/// Proposes one command of each kind on the leases of the filled log.
fn change_leases(group: &mut Group, leader: &Name) {
    let second = Duration::from_secs(1);
    group.propose(acquire("short", "m1", second, 1));
    for _ in 0..15 {
        group.tick();
    }
    let token = group.voters_by_name[leader]
        .voter()
        .leases()
        .lease("lease-0")
        .unwrap()
        .holders[0]
        .token;
    group.propose(Command::Transfer {
        lease: "lease-0".into(),
        token,
        to: "m9".into(),
    });
    let held = group.voters_by_name[leader]
        .voter()
        .leases()
        .lease("lease-1")
        .unwrap()
        .holders
        .clone();
    group.propose(Command::Revoke {
        lease: "lease-1".into(),
        token: held[0].token,
    });
    let (lease, owner, token) = ("lease-1".into(), held[1].owner.clone(), Some(held[1].token));
    group.propose(Command::Release {
        lease,
        owner,
        token,
    });
    let waiting = group.voters_by_name[leader]
        .voter()
        .leases()
        .lease("lease-2")
        .unwrap()
        .queue[0]
        .clone();
    group.propose(Command::Release {
        lease: "lease-2".into(),
        owner: waiting.owner,
        token: None,
    });
    let held = group.voters_by_name[leader]
        .voter()
        .leases()
        .lease("lease-3")
        .unwrap()
        .holders[0]
        .clone();
    group.propose(Command::Expire {
        lease: "lease-3".into(),
        owner: held.owner,
        renewal: held.renewal,
    });
    group.tick();
}

/// The directory with the recorded folders of one version, under `tests/golden`.
#[derive(Clone, Copy)]
struct Recording(&'static str);

/// The folders that the first version wrote.
const FIRST_VERSION: Recording = Recording("journal");
/// The folders that the current version writes.
const CURRENT_VERSION: Recording = Recording("journal-2");

fn golden_path(recording: Recording, fixture: &str) -> PathBuf {
    [
        env!("CARGO_MANIFEST_DIR"),
        "tests/golden",
        recording.0,
        fixture,
    ]
    .iter()
    .collect()
}

fn golden_files(recording: Recording, fixture: &str) -> Files {
    let entries = std::fs::read_dir(golden_path(recording, fixture))
        .unwrap()
        .map(Result::unwrap);
    entries
        .map(|entry| {
            (
                entry.file_name().into_string().unwrap(),
                std::fs::read(entry.path()).unwrap(),
            )
        })
        .collect()
}

/// Describes a voter's state in a format that only this test defines.
fn describe(voter: &DurableVoter<FaultyDisk>) -> String {
    let status = voter.voter().status();
    let (leases, applied) = (voter.voter().leases(), voter.voter().applied_index());
    let mut text = String::new();
    writeln!(
        text,
        "id={} applied={applied} phase={}",
        status.id.0, status.phase
    )
    .unwrap();
    for (id, name) in &status.voters {
        writeln!(text, "voter {name} id={}", id.0).unwrap();
    }
    writeln!(text, "last token={}", leases.last_token()).unwrap();
    for (name, lease) in leases.leases() {
        writeln!(
            text,
            "lease {name} ttl={:?} capacity={}",
            lease.spec.ttl, lease.spec.capacity
        )
        .unwrap();
        for held in &lease.holders {
            let (owner, incarnation) = (&held.owner.name, held.owner.incarnation.0);
            let (token, renewal, revoked) = (held.token, held.renewal.0, held.revoked);
            writeln!(
                text,
                "  held by {owner} {incarnation} token={token} renewal={renewal} revoked={revoked}"
            )
            .unwrap();
        }
        for waiting in &lease.queue {
            let (owner, incarnation) = (&waiting.owner.name, waiting.owner.incarnation.0);
            writeln!(
                text,
                "  queued {owner} {incarnation} renewal={}",
                waiting.renewal.0
            )
            .unwrap();
        }
    }
    text
}

#[test]
fn a_voter_writes_the_recorded_bytes() {
    let folders = write_folders();
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        for (fixture, files) in &folders {
            std::fs::create_dir_all(golden_path(CURRENT_VERSION, fixture)).unwrap();
            for (name, bytes) in files {
                std::fs::write(golden_path(CURRENT_VERSION, fixture).join(name), bytes).unwrap();
            }
        }
    }
    assert_eq!(folders.len(), 6, "{:?}", folders.keys());
    for (fixture, files) in folders {
        assert!(
            files == golden_files(CURRENT_VERSION, fixture),
            "the files of {fixture} have changed"
        );
    }
}

/// The state of each recorded folder, and of the group that is reopened from the final folders,
/// must equal the recorded values.
#[test]
fn folders_written_by_an_earlier_version_are_read_with_the_same_values() {
    check_values(FIRST_VERSION);
    check_values(CURRENT_VERSION);
}

fn check_values(recording: Recording) {
    let mut text = String::new();
    for fixture in [
        "a-new",
        "b-promised",
        "a-final",
        "b-final",
        "c-final",
        "d-final",
    ] {
        let disk = FaultyDisk::default();
        disk.restore_files(golden_files(recording, fixture));
        let name = fixture[..1].into();
        let (log, recovered) = WriteAheadLog::open(disk.clone()).unwrap();
        let files = log.disk().list().unwrap();
        let state = recovered.snapshot.map_or(0, |state| state.len());
        let records: Vec<usize> = recovered.records.iter().map(Vec::len).collect();
        writeln!(
            text,
            "== {fixture}: {files:?}\nstate={state} records={records:?}"
        )
        .unwrap();
        text += &describe(&open_voter(&name, &disk, 1));
    }
    let remaining =
        ["a-final", "b-final", "c-final", "d-final"].map(|fixture| (fixture[..1].into(), fixture));
    let folders = remaining.map(|(name, fixture)| (name, golden_files(recording, fixture)));
    let mut group = Group::new(folders.into());
    group.tick_until("a leader", |group| group.leader().is_some());
    let leader = group.leader().unwrap();
    let term = group.voters_by_name[&leader].voter().status().term;
    writeln!(text, "== reopened: {leader} leads in term {term}").unwrap();
    text += &describe(&group.voters_by_name[&leader]);
    let file = golden_path(recording, "values.txt");
    if recording.0 == CURRENT_VERSION.0 && std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&file, &text).unwrap();
    }
    assert_eq!(text, std::fs::read_to_string(file).unwrap());
}
