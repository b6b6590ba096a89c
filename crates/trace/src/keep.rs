//! What a recorder does next with its files: when a block is sealed, a file begun or ended, an old one removed, a
//! record given up. No I/O and no clock: news in, acts out, and the same news give the same acts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Micros;
use crate::heads::Why;

/// What no file may pass its bound by: a block that was begun, names, gaps and the index.
pub const SLACK: u64 = 2 * 1024 * 1024;
/// Between two tries on a disk that takes nothing: at first and at the longest.
const RETRY: Duration = Duration::from_secs(1);
const RETRY_MOST: Duration = Duration::from_secs(30);

/// The bounds of a recording.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Records of a block.
    pub records: usize,
    /// A block is whole on disk no later than so long after its first record.
    pub seal_after: Duration,
    /// A file is ended once it has that many bytes, or is that old.
    pub rotate_bytes: u64,
    pub rotate_after: Duration,
    /// All files together have no more bytes; the oldest go first.
    pub keep_bytes: u64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum News {
    /// Files that were there at the start: number and bytes.
    Found(Vec<(u64, u64)>),
    /// A record is to be taken.
    Record,
    /// The last act that wrote went well; the file has that many bytes now.
    Wrote { bytes: u64 },
    /// It did not: what the file had not yet is lost.
    Failed,
    /// A file was ended whole.
    Closed { number: u64, bytes: u64 },
    /// A file that was to be removed is still there.
    Stays { number: u64 },
    /// Records that did not come as far as here.
    Lost { why: Why, records: u64 },
    /// The system's clock was set.
    Clock { by: Micros },
    /// Time has passed.
    Alarm,
    /// Nothing more comes.
    End,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Remove {
        number: u64,
    },
    Open {
        number: u64,
    },
    /// Add the record to the block that gathers.
    Take,
    /// Let it go.
    Drop,
    /// Note in the file what is missing, since when.
    Note {
        why: Why,
        records: u64,
        since: Duration,
        by: Micros,
    },
    Seal,
    Close {
        number: u64,
    },
}

/// Records of which the file does not know yet that they are missing.
#[derive(Clone, Copy)]
struct Missing {
    records: u64,
    since: Duration,
    by: Micros,
}

struct Open {
    number: u64,
    since: Duration,
    bytes: u64,
    /// Records that gather, and when they are to be on disk.
    gathered: usize,
    due: Duration,
    /// Notes that are under way, with what they tell; once the file has them they are no news.
    noting: Vec<(Why, u64, Micros)>,
}

pub struct Keep {
    terms: Terms,
    /// Ended files by number, with their bytes.
    files: BTreeMap<u64, u64>,
    next: u64,
    open: Option<Open>,
    missing: BTreeMap<u8, (Why, Missing)>,
    /// No file is begun before this time.
    try_at: Duration,
    retry: Duration,
    /// When what is lost was last looked at without loss.
    whole_at: Duration,
    /// Records that are missing in all.
    lost: u64,
}

impl Keep {
    pub fn new(terms: Terms) -> Self {
        Keep {
            terms,
            files: BTreeMap::new(),
            next: 1,
            open: None,
            missing: BTreeMap::new(),
            try_at: Duration::ZERO,
            retry: RETRY,
            whole_at: Duration::ZERO,
            lost: 0,
        }
    }

    /// Takes what happened, and returns what is to be done.
    pub fn on(&mut self, now: Duration, news: &News) -> Vec<Act> {
        let mut acts = Vec::new();
        match news {
            News::Found(files) => {
                self.files.extend(files.iter().copied());
                self.next = self.files.keys().next_back().map_or(1, |last| last.saturating_add(1));
            }
            News::Record => self.record(now, &mut acts),
            News::Wrote { bytes } => self.wrote(now, *bytes, &mut acts),
            News::Failed => self.failed(now),
            News::Closed { number, bytes } => {
                self.files.insert(*number, *bytes);
            }
            News::Stays { number } => {
                // It counts as it did; what cannot be removed is not tried in a loop.
                self.files.entry(*number).or_insert(0);
            }
            News::Lost { why, records } => self.miss(now, *why, *records, 0),
            News::Clock { by } => self.miss(now, Why::ClockSet, 0, *by),
            News::Alarm => self.alarm(now, &mut acts),
            News::End => {
                if let Some(number) = self.open.as_ref().map(|open| open.number) {
                    self.notes(&mut acts);
                    acts.extend([Act::Seal, Act::Close { number }]);
                }
            }
        }
        acts
    }

    /// When there is something to do, if nothing happens before.
    pub fn due(&self) -> Option<Duration> {
        let open = self.open.as_ref()?;
        let rotate = open.since.saturating_add(self.terms.rotate_after);
        Some(if open.gathered > 0 { open.due.min(rotate) } else { rotate })
    }

    /// Records that are missing so far, whyever.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Bytes of all files together, as far as they are known here.
    pub fn bytes(&self) -> u64 {
        self.files.values().sum::<u64>() + self.open.as_ref().map_or(0, |open| open.bytes)
    }

    fn record(&mut self, now: Duration, acts: &mut Vec<Act>) {
        if self.open.is_none() {
            if now < self.try_at {
                self.miss(now, Why::Disk, 1, 0);
                acts.push(Act::Drop);
                return;
            }
            self.begin(now, acts);
        }
        let seal_after = self.terms.seal_after;
        let Some(open) = self.open.as_mut() else { return };
        acts.push(Act::Take);
        open.gathered += 1;
        if open.gathered == 1 {
            open.due = now.saturating_add(seal_after);
        }
        if open.gathered >= self.terms.records || now >= open.due {
            acts.push(Act::Seal);
        }
    }

    /// Begins a file, after the oldest have made room for a whole one.
    fn begin(&mut self, now: Duration, acts: &mut Vec<Act>) {
        let room = self.terms.rotate_bytes.saturating_add(SLACK);
        while self.files.values().sum::<u64>().saturating_add(room) > self.terms.keep_bytes {
            let Some((number, _)) = self.files.pop_first() else { break };
            acts.push(Act::Remove { number });
        }
        let number = self.next;
        self.next += 1;
        acts.push(Act::Open { number });
        self.open =
            Some(Open { number, since: now, bytes: 0, gathered: 0, due: Duration::MAX, noting: Vec::new() });
        self.notes(acts);
    }

    fn wrote(&mut self, now: Duration, bytes: u64, acts: &mut Vec<Act>) {
        let Some(open) = self.open.as_mut() else { return };
        (open.bytes, open.gathered) = (bytes, 0);
        for (why, records, by) in open.noting.drain(..) {
            // More may have gone missing since it was noted.
            if let Some((_, missing)) = self.missing.get_mut(&(why as u8)) {
                missing.records -= records;
                missing.by -= by;
            }
        }
        self.missing.retain(|_, (_, missing)| missing.records > 0 || missing.by != 0);
        self.retry = RETRY;
        let old = now >= open.since.saturating_add(self.terms.rotate_after);
        if bytes >= self.terms.rotate_bytes || old {
            self.end(acts);
        }
    }

    fn end(&mut self, acts: &mut Vec<Act>) {
        if let Some(open) = self.open.take() {
            // With its index, until that length is told.
            self.files.insert(open.number, open.bytes.saturating_add(SLACK / 2));
            acts.push(Act::Close { number: open.number });
        }
    }

    /// The disk took something in part or not at all. The file is left as it is, and another begun later: guards
    /// against a disk that is full, slow or gone, on which each try costs; harms by what is missing meanwhile.
    fn failed(&mut self, now: Duration) {
        if let Some(open) = self.open.take() {
            self.files.insert(open.number, open.bytes);
            self.miss(now, Why::Disk, open.gathered as u64, 0);
        }
        self.try_at = now.saturating_add(self.retry);
        self.retry = (self.retry * 2).min(RETRY_MOST);
    }

    fn alarm(&mut self, now: Duration, acts: &mut Vec<Act>) {
        let Some(open) = self.open.as_ref() else {
            return;
        };
        let old = now >= open.since.saturating_add(self.terms.rotate_after);
        let due = open.gathered > 0 && now >= open.due;
        if !self.missing.is_empty() && open.noting.is_empty() {
            self.notes(acts);
        }
        if due || old || !acts.is_empty() {
            acts.push(Act::Seal);
        }
        if self.missing.is_empty() {
            self.whole_at = now;
        }
    }

    fn miss(&mut self, now: Duration, why: Why, records: u64, by: Micros) {
        if records == 0 && by == 0 {
            return;
        }
        let fresh = Missing { records: 0, since: self.whole_at.min(now), by: 0 };
        let (_, missing) = self.missing.entry(why as u8).or_insert((why, fresh));
        missing.records += records;
        self.lost += records;
        missing.by += by;
    }

    /// Has all that is missing noted. It stays missing until the file is known to have it.
    fn notes(&mut self, acts: &mut Vec<Act>) {
        let Some(open) = self.open.as_mut() else { return };
        for &(why, Missing { records, since, by }) in self.missing.values() {
            let under_way = open.noting.iter().filter(|noted| noted.0 == why);
            let (noted, set) = under_way.fold((0, 0), |all, noted| (all.0 + noted.1, all.1 + noted.2));
            let (records, by) = (records - noted, by - set);
            if records > 0 || by != 0 {
                acts.push(Act::Note { why, records, since, by });
                open.noting.push((why, records, by));
            }
        }
    }
}
