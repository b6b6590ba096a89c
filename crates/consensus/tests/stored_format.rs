//! What a voter keeps on disk is readable by later versions: folders written by an earlier version
//! are opened, and the same run writes the same bytes. `tests/golden/journal` holds one folder for
//! each state a folder can be in, and in `*-final` every kind of record: identity, snapshot, hard
//! state, commands of each kind, changes of voters.
//!
//! Files are written with GOLDEN_WRITE=1. `journal` has those that were written when this test was;
//! since then voters send a newcomer its snapshot earlier, so the same run writes what `journal-2`
//! has. A change of the format needs files of its own beside these, which stay readable.

// Other tests use what this one does not.
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

/// Bootstrap, a command of each kind, more entries than a snapshot covers, and one voter replaced
/// by a newcomer that begins with a snapshot.
fn written_folders() -> BTreeMap<&'static str, Files> {
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
    // Leadership goes to the follower with the highest id: the other one is replaced.
    let replaced = voters
        .values()
        .find(|name| **name != leader)
        .unwrap()
        .clone();
    group.add_newcomer(&"d".into(), 9);
    group.deliver(
        &leader,
        Event::ReplaceVoter {
            old: replaced.clone(),
            new: "d".into(),
        },
    );
    // The newcomer has its snapshot and votes; these entries follow it.
    fill_log(&mut group);
    group.deliver(&leader, Event::TransferLeadership);
    group.tick_until("another leader", |group| {
        group.leader().is_some_and(|next| next != leader)
    });
    let leader = group.leader().unwrap();
    group.tick_until("the newcomer votes", |group| {
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

/// Proposes one command of each kind on the leases that the log was filled with.
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

/// The folders of one version of the run.
#[derive(Clone, Copy)]
struct Recording(&'static str);

/// As the first version wrote them.
const FIRST: Recording = Recording("journal");
/// As this version writes them.
const PRESENT: Recording = Recording("journal-2");

fn golden(recording: Recording, fixture: &str) -> PathBuf {
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
    let entries = std::fs::read_dir(golden(recording, fixture))
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

/// What a voter holds, in words of this test alone.
fn described(voter: &DurableVoter<FaultyDisk>) -> String {
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
fn a_voter_writes_the_same_bytes_as_before() {
    let folders = written_folders();
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        for (fixture, files) in &folders {
            std::fs::create_dir_all(golden(PRESENT, fixture)).unwrap();
            for (name, bytes) in files {
                std::fs::write(golden(PRESENT, fixture).join(name), bytes).unwrap();
            }
        }
    }
    assert_eq!(folders.len(), 6, "{:?}", folders.keys());
    for (fixture, files) in folders {
        assert!(
            files == golden_files(PRESENT, fixture),
            "the files of {fixture} have changed"
        );
    }
}

/// The folders of the last voters, opened again, agree on all that was agreed on when they were
/// written.
#[test]
fn folders_written_by_an_earlier_version_are_read_with_the_same_values() {
    check_values(FIRST);
    check_values(PRESENT);
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
        text += &described(&open_voter(&name, &disk, 1));
    }
    let remaining =
        ["a-final", "b-final", "c-final", "d-final"].map(|fixture| (fixture[..1].into(), fixture));
    let folders = remaining.map(|(name, fixture)| (name, golden_files(recording, fixture)));
    let mut group = Group::new(folders.into());
    group.tick_until("a leader", |group| group.leader().is_some());
    let leader = group.leader().unwrap();
    let term = group.voters_by_name[&leader].voter().status().term;
    writeln!(text, "== reopened: {leader} leads in term {term}").unwrap();
    text += &described(&group.voters_by_name[&leader]);
    let file = golden(recording, "values.txt");
    if recording.0 == PRESENT.0 && std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&file, &text).unwrap();
    }
    assert_eq!(text, std::fs::read_to_string(file).unwrap());
}
