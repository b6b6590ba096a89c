//! Recovery of the log after a crash, and on a disk that is full, fails, ignores syncs or has a
//! flipped bit. Guards against the undetected loss of an acknowledged record.

use quickcheck::quickcheck;
use tulipgap_write_ahead_log::{
    Directory, Disk, DiskFaults, FaultyDisk, InjectedBug, LogError, Recovered, WriteAheadLog,
};

fn open(disk: &FaultyDisk) -> (WriteAheadLog<FaultyDisk>, Recovered) {
    WriteAheadLog::open(disk.clone()).unwrap_or_else(|error| panic!("{error}"))
}

fn recovered_records(disk: &FaultyDisk) -> Vec<Vec<u8>> {
    open(disk).1.records
}

quickcheck! {
    /// After a crash in which an arbitrary part of the unsynced bytes survives, the log recovers
    /// all acknowledged records in order and accepts further ones.
    fn acknowledged_records_survive_a_crash(payloads: Vec<Vec<u8>>, snapshots: Vec<bool>, torn: usize) -> bool {
        let disk = FaultyDisk::default();
        let (mut log, _) = open(&disk);
        let (mut acknowledged, mut snapshot) = (Vec::new(), None);
        for (at, payload) in payloads.iter().enumerate() {
            log.append(payload).unwrap();
            acknowledged.push(payload.clone());
            if snapshots.get(at) == Some(&true) {
                log.write_snapshot(payload).unwrap();
                (snapshot, acknowledged) = (Some(payload.clone()), Vec::new());
            }
        }
        // The last record is torn by the crash.
        let mut torn_disk = disk.clone();
        let log_file = torn_disk.list().unwrap().into_iter().rfind(|name| name.starts_with("log-"));
        if let Some(log_file) = log_file {
            torn_disk.append(&log_file, &[9; 7]).unwrap();
        }
        disk.crash(|unsynced| torn % (unsynced + 1));
        let (mut log, recovered) = open(&disk);
        let is_complete = recovered.snapshot == snapshot && recovered.records == acknowledged;
        log.append(b"more").unwrap();
        acknowledged.push(b"more".to_vec());
        is_complete && recovered_records(&disk) == acknowledged
    }

    fn a_flipped_bit_is_always_reported(payloads: Vec<Vec<u8>>, bit: usize) -> bool {
        let disk = FaultyDisk::default();
        let (mut log, _) = open(&disk);
        for payload in &payloads {
            log.append(payload).unwrap();
        }
        let log_file = "log-00000000000000000000";
        let bits = disk.copy_files().get(log_file).map_or(0, Vec::len) * 8;
        if bits == 0 {
            return true;
        }
        disk.flip_bit(log_file, bit % bits);
        matches!(WriteAheadLog::open(disk), Err(LogError::Corrupt { .. }))
    }
}

#[test]
fn a_full_disk_poisons_the_log_and_keeps_acknowledged_records() {
    let disk = FaultyDisk::default();
    let (mut log, _) = open(&disk);
    log.append(b"first").unwrap();
    disk.set_faults(DiskFaults {
        is_full: true,
        ..DiskFaults::default()
    });
    assert!(matches!(log.append(b"second"), Err(LogError::Io { .. })));
    disk.set_faults(DiskFaults::default());
    let third = log.append(b"third");
    assert!(
        matches!(third, Err(LogError::Poisoned { .. })),
        "the log stays poisoned after space is free again"
    );
    assert_eq!(recovered_records(&disk), [b"first"]);
}

/// Guards against a retry of a failed sync. Kernels drop the unwritten pages of a failed sync and
/// mark them clean, so that the next sync reports success although the data is lost.
#[test]
fn a_failed_sync_is_not_retried() {
    let recovers_acknowledged_records = |bug: Option<InjectedBug>| {
        let disk = FaultyDisk::default();
        let (mut log, _) = open(&disk);
        log.inject_bug(bug);
        let mut acknowledged = Vec::new();
        for at in 0..4u8 {
            disk.set_faults(DiskFaults {
                next_sync_fails: at == 2,
                ..DiskFaults::default()
            });
            // The payload is long enough that lost bytes are detected.
            if log.append(&[at + 1; 40]).is_ok() {
                acknowledged.push(vec![at + 1; 40]);
            }
        }
        disk.crash(|_| 0);
        let recovered = WriteAheadLog::open(disk)
            .map(|(_, recovered)| recovered.records)
            .ok();
        recovered.as_ref() == Some(&acknowledged)
    };
    assert!(recovers_acknowledged_records(None));
    assert!(
        !recovers_acknowledged_records(Some(InjectedBug::RetryFailedSync)),
        "the bug is detected"
    );
}

#[test]
fn a_record_that_is_not_synced_is_lost_in_a_crash() {
    let disk = FaultyDisk::default();
    let (mut log, _) = open(&disk);
    log.inject_bug(Some(InjectedBug::SkipSync));
    log.append(b"acknowledged").unwrap();
    disk.crash(|_| 0);
    assert_eq!(
        recovered_records(&disk),
        Vec::<Vec<u8>>::new(),
        "the bug is detected"
    );
}

/// Documents a limit that docs/design-leases.md states: the log can't distinguish a disk that
/// reports success for syncs that it ignores from a working disk.
#[test]
fn records_are_lost_undetected_if_the_disk_ignores_syncs() {
    let disk = FaultyDisk::default();
    let (mut log, _) = open(&disk);
    log.append(b"first").unwrap();
    disk.set_faults(DiskFaults {
        ignores_syncs: true,
        ..DiskFaults::default()
    });
    log.append(b"second").unwrap();
    disk.crash(|_| 0);
    assert_eq!(recovered_records(&disk), [b"first"]);
}

#[test]
fn a_directory_is_locked_by_one_process_and_keeps_its_content() {
    let directory = tempfile::tempdir().unwrap();
    {
        let (mut log, recovered) =
            WriteAheadLog::open(Directory::open(directory.path()).unwrap()).unwrap();
        assert_eq!(recovered, Recovered::default());
        assert!(
            Directory::open(directory.path()).is_err(),
            "a second process is rejected"
        );
        log.append(b"one").unwrap();
        log.write_snapshot(b"state").unwrap();
        log.append(b"two").unwrap();
        log.write_file("identity", b"me").unwrap();
    }
    let (log, recovered) = WriteAheadLog::open(Directory::open(directory.path()).unwrap()).unwrap();
    assert_eq!(recovered.snapshot.as_deref(), Some(&b"state"[..]));
    assert_eq!(recovered.records, [b"two"]);
    assert_eq!(
        log.read_file("identity").unwrap().as_deref(),
        Some(&b"me"[..])
    );
    assert_eq!(log.read_file("nothing").unwrap(), None);
}
