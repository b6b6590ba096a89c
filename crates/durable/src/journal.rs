//! Records in order, each written and synced before it is told, and now and then a whole state in place of all before.
//! A record that a crash cut short is dropped: it was never told. One that is whole and wrong was told, so it is never
//! passed over: the journal does not open.

use std::io;

use crate::Flaw;
use crate::disk::Disk;

/// Length, number, a checksum of both, a checksum of what follows.
const HEAD: usize = 4 + 8 + 4 + 4;
/// Ends each record, so that one that was written never ends in zeros, as room does that was made and not filled.
const END: u8 = 0xa5;
/// No record is longer.
const RECORD_MOST: usize = 64 * 1024 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum Broken {
    #[error("{0}: {1}")]
    Disk(String, io::Error),
    /// What was once told is not what is there.
    #[error(
        "{file} is damaged at byte {at}: {what}; what it held was told to others, so it is not passed over"
    )]
    Damaged { file: String, at: usize, what: &'static str },
    #[error("a write or sync failed before ({0}); nothing is known of what is on the disk")]
    Poisoned(String),
    #[error("a record of {0} bytes (up to {RECORD_MOST} are taken)")]
    TooLong(usize),
}

/// What was there.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    pub state: Option<Vec<u8>>,
    /// After that state, in order.
    pub records: Vec<Vec<u8>>,
    /// Bytes of a last record that a crash had cut short.
    pub dropped: usize,
}

pub struct Journal<D: Disk> {
    disk: D,
    /// Of the last record; it goes on over states.
    number: u64,
    /// The file that is written, and its length.
    log: String,
    length: u64,
    poisoned: Option<String>,
    flaw: Option<Flaw>,
}

impl<D: Disk> Journal<D> {
    pub fn open(disk: D) -> Result<(Self, Recovered), Broken> {
        let mut journal =
            Journal { disk, number: 0, log: log_name(0), length: 0, poisoned: None, flaw: None };
        let names = journal.disk.names().map_err(|error| Broken::Disk("the folder".into(), error))?;
        let numbered = |kind: &str| {
            let number = |name: &String| name.strip_prefix(kind)?.parse::<u64>().ok();
            let mut all: Vec<u64> = names.iter().filter_map(number).collect();
            all.sort_unstable();
            all
        };
        let mut recovered = Recovered::default();
        if let Some(&last) = numbered("state-").last() {
            recovered.state = journal.kept(&state_name(last))?;
            journal.number = last;
            journal.log = log_name(last);
        }
        let from = journal.number;
        let logs = numbered("log-");
        for (at, &log) in logs.iter().enumerate() {
            journal.replay(&log_name(log), at + 1 == logs.len(), from, &mut recovered)?;
        }
        if let Some(&last) = logs.last() {
            journal.log = log_name(last);
        }
        // A crash between a new state and the end of what it replaces.
        for old in numbered("state-").iter().filter(|&&old| old < from) {
            journal.remove(&state_name(*old))?;
        }
        Ok((journal, recovered))
    }

    #[cfg(feature = "flaws")]
    pub fn plant(&mut self, flaw: Option<Flaw>) {
        self.flaw = flaw;
    }

    pub fn disk(&self) -> &D {
        &self.disk
    }

    fn replay(&mut self, file: &str, last: bool, from: u64, found: &mut Recovered) -> Result<(), Broken> {
        let bytes = self.disk.read(file).map_err(|error| Broken::Disk(file.into(), error))?;
        let mut at = 0;
        while at < bytes.len() {
            match record(&bytes[at..]) {
                Read::Whole { number, payload } => {
                    if number > from {
                        if number != self.number + 1 {
                            let what = "a record is missing before it";
                            return Err(Broken::Damaged { file: file.into(), at, what });
                        }
                        self.number = number;
                        found.records.push(payload.to_vec());
                    }
                    at += HEAD + payload.len() + 1;
                }
                Read::Torn if last => {
                    found.dropped = bytes.len() - at;
                    self.disk.cut(file, at as u64).map_err(|error| Broken::Disk(file.into(), error))?;
                    break;
                }
                Read::Torn => {
                    let what = "it ends in the middle, and another follows";
                    return Err(Broken::Damaged { file: file.into(), at, what });
                }
                Read::Wrong(what) => return Err(Broken::Damaged { file: file.into(), at, what }),
            }
        }
        self.length = at as u64;
        Ok(())
    }

    fn whole(&self) -> Result<(), Broken> {
        match &self.poisoned {
            Some(why) => Err(Broken::Poisoned(why.clone())),
            None => Ok(()),
        }
    }

    /// After a failure nothing is known of what is on the disk, and a sync that is tried again may say that all is well
    /// where what it was to write is gone: so nothing more is written until all is read anew.
    fn poison<T>(&mut self, file: &str, done: io::Result<T>) -> Result<T, Broken> {
        done.map_err(|error| {
            self.poisoned = Some(format!("{file}: {error}"));
            Broken::Disk(file.to_owned(), error)
        })
    }

    /// Writes one record; it is durable when this returns.
    pub fn write(&mut self, payload: &[u8]) -> Result<(), Broken> {
        self.whole()?;
        if payload.len() > RECORD_MOST {
            return Err(Broken::TooLong(payload.len()));
        }
        let (file, number) = (self.log.clone(), self.number + 1);
        let bytes = framed(number, payload);
        let done = self.disk.append(&file, &bytes);
        self.poison(&file, done)?;
        if self.flaw != Some(Flaw::NotSynced) {
            let mut done = self.disk.sync(&file);
            if done.is_err() && self.flaw == Some(Flaw::SyncRetried) {
                done = self.disk.sync(&file);
            }
            self.poison(&file, done)?;
        }
        self.number = number;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Bytes of the records since the last state.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// A whole state in place of all records so far.
    pub fn checkpoint(&mut self, state: &[u8]) -> Result<(), Broken> {
        self.whole()?;
        let (old_log, number) = (self.log.clone(), self.number);
        let old_state: Vec<String> = (self.disk.names())
            .map_err(|error| Broken::Disk("the folder".into(), error))?
            .into_iter()
            .filter(|name| name.starts_with("state-") && *name != state_name(number))
            .collect();
        self.keep(&state_name(number), state)?;
        self.log = log_name(number);
        self.length = 0;
        if old_log != self.log {
            let known = self.disk.names().is_ok_and(|names| names.contains(&old_log));
            if known {
                self.remove(&old_log)?;
            }
        }
        for old in old_state {
            self.remove(&old)?;
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), Broken> {
        let done = self.disk.remove(name);
        self.poison(name, done)
    }

    /// A small file of its own, whole and durable.
    pub fn keep(&mut self, name: &str, payload: &[u8]) -> Result<(), Broken> {
        self.whole()?;
        let done = self.disk.replace(name, &framed(0, payload));
        self.poison(name, done)
    }

    /// What was kept under that name.
    pub fn kept(&self, name: &str) -> Result<Option<Vec<u8>>, Broken> {
        let bytes = match self.disk.read(name) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(Broken::Disk(name.to_owned(), error)),
        };
        match record(&bytes) {
            Read::Whole { payload, .. } if payload.len() + HEAD + 1 == bytes.len() => {
                Ok(Some(payload.to_vec()))
            }
            _ => {
                let what = "it is not what was written";
                Err(Broken::Damaged { file: name.to_owned(), at: 0, what })
            }
        }
    }
}

fn log_name(number: u64) -> String {
    format!("log-{number:020}")
}

fn state_name(number: u64) -> String {
    format!("state-{number:020}")
}

fn framed(number: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + payload.len() + 1);
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(number.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes[..12]).to_le_bytes());
    bytes.extend(crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes.push(END);
    bytes
}

enum Read<'a> {
    Whole { number: u64, payload: &'a [u8] },
    Torn,
    Wrong(&'static str),
}

/// A head has a checksum of its own, so that a length that is wrong is not taken for a record that was cut short.
fn record(bytes: &[u8]) -> Read<'_> {
    let zeros = |bytes: &[u8]| bytes.iter().all(|byte| *byte == 0);
    if bytes.len() < HEAD {
        return Read::Torn;
    }
    let four = |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    if crc32fast::hash(&bytes[..12]) != four(12) {
        // Room that was made and never filled reads as zeros, to the end.
        return if zeros(bytes) {
            Read::Torn
        } else {
            Read::Wrong("the head of a record is not what was written")
        };
    }
    let length = four(0) as usize;
    let number = u64::from(four(4)) | u64::from(four(8)) << 32;
    let Some(all) = bytes.get(HEAD..=HEAD + length) else { return Read::Torn };
    let payload = &all[..length];
    if crc32fast::hash(payload) != four(16) || all[length] != END {
        let unfilled = zeros(&all[all.len().saturating_sub(16)..]) && bytes.len() == HEAD + all.len();
        return if unfilled { Read::Torn } else { Read::Wrong("a record is not what was written") };
    }
    Read::Whole { number, payload }
}
