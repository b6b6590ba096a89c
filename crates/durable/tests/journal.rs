//! What a journal holds after a crash, on a disk that is full, fails, lies or turned a bit over.

use quickcheck::quickcheck;
use tulipgap_durable::*;

fn opened(disk: &Faulty) -> (Journal<Faulty>, Recovered) {
    Journal::open(disk.clone()).unwrap_or_else(|error| panic!("{error}"))
}

fn records(disk: &Faulty) -> Vec<Vec<u8>> {
    opened(disk).1.records
}

quickcheck! {
    /// Whatever is kept of what was not synced, what was told is there, in order, and goes on.
    fn what_was_told_is_there_after_a_crash(payloads: Vec<Vec<u8>>, states: Vec<bool>, torn: usize) -> bool {
        let disk = Faulty::default();
        let (mut journal, _) = opened(&disk);
        let (mut told, mut state) = (Vec::new(), None);
        for (at, payload) in payloads.iter().enumerate() {
            journal.write(payload).unwrap();
            told.push(payload.clone());
            if states.get(at) == Some(&true) {
                journal.checkpoint(payload).unwrap();
                (state, told) = (Some(payload.clone()), Vec::new());
            }
        }
        // One more that the crash cuts short.
        let mut half = disk.clone();
        let log = half.names().unwrap().into_iter().rfind(|name| name.starts_with("log-"));
        if let Some(log) = log {
            half.append(&log, &[9; 7]).unwrap();
        }
        disk.crash(|unsynced| torn % (unsynced + 1));
        let (mut journal, found) = opened(&disk);
        let whole = found.state == state && found.records == told;
        journal.write(b"more").unwrap();
        told.push(b"more".to_vec());
        whole && records(&disk) == told
    }

    /// No single bit that is turned over after it was told is passed over in silence.
    fn a_flipped_bit_is_never_passed_over(payloads: Vec<Vec<u8>>, bit: usize) -> bool {
        let disk = Faulty::default();
        let (mut journal, _) = opened(&disk);
        for payload in &payloads {
            journal.write(payload).unwrap();
        }
        let name = "log-00000000000000000000";
        let bits = disk.copy().get(name).map_or(0, Vec::len) * 8;
        if bits == 0 {
            return true;
        }
        disk.flip(name, bit % bits);
        matches!(Journal::open(disk), Err(Broken::Damaged { .. }))
    }
}

#[test]
fn a_full_disk_poisons_and_loses_nothing_that_was_told() {
    let disk = Faulty::default();
    let (mut journal, _) = opened(&disk);
    journal.write(b"first").unwrap();
    disk.set(Faults { full: true, ..Faults::default() });
    assert!(matches!(journal.write(b"second"), Err(Broken::Disk(..))));
    disk.set(Faults::default());
    assert!(matches!(journal.write(b"third"), Err(Broken::Poisoned(_))), "room again is no reason to go on");
    assert_eq!(records(&disk), [b"first"]);
}

/// Kernels drop what a failed sync was to write and call it clean: the next sync says that all is well.
#[test]
fn a_failed_sync_is_not_tried_again() {
    let run = |flaw: Option<Flaw>| {
        let disk = Faulty::default();
        let (mut journal, _) = opened(&disk);
        journal.plant(flaw);
        let mut told = Vec::new();
        for at in 0..4u8 {
            disk.set(Faults { sync_fails: at == 2, ..Faults::default() });
            // Long enough that what is lost shows.
            if journal.write(&[at + 1; 40]).is_ok() {
                told.push(vec![at + 1; 40]);
            }
        }
        disk.crash(|_| 0);
        let found = Journal::open(disk).map(|(_, found)| found.records).ok();
        found.as_ref() == Some(&told)
    };
    assert!(run(None));
    assert!(!run(Some(Flaw::SyncRetried)), "the planted fault is seen");
}

#[test]
fn what_was_not_synced_is_lost_and_seen_to_be() {
    let disk = Faulty::default();
    let (mut journal, _) = opened(&disk);
    journal.plant(Some(Flaw::NotSynced));
    journal.write(b"told").unwrap();
    disk.crash(|_| 0);
    assert_eq!(records(&disk), Vec::<Vec<u8>>::new(), "the planted fault is seen");
}

#[test]
fn a_folder_is_one_process_s_alone_and_keeps_what_was_written() {
    let folder = tempfile::tempdir().unwrap();
    {
        let (mut journal, found) = Journal::open(Folder::open(folder.path()).unwrap()).unwrap();
        assert_eq!(found, Recovered::default());
        assert!(Folder::open(folder.path()).is_err(), "a second process is turned away");
        journal.write(b"one").unwrap();
        journal.checkpoint(b"state").unwrap();
        journal.write(b"two").unwrap();
        journal.keep("identity", b"me").unwrap();
    }
    let (journal, found) = Journal::open(Folder::open(folder.path()).unwrap()).unwrap();
    assert_eq!((found.state.as_deref(), &found.records[..]), (Some(&b"state"[..]), &[b"two".to_vec()][..]));
    assert_eq!(journal.kept("identity").unwrap().as_deref(), Some(&b"me"[..]));
    assert_eq!(journal.kept("nothing").unwrap(), None);
}
