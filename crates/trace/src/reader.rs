//! The end of a file that is read: both formats, whole or torn, from a stream or by its index.

use std::collections::BTreeSet;
use std::io::{self, Read, Seek, SeekFrom};

use crate::block::{self, Bytes, Prelude};
use crate::columns;
use crate::frames::{self, Frames, Piece};
use crate::heads::{Gap, Head, Names};
use crate::index::{Again, Index, Place, Wanted};
use crate::record::Record;
use crate::{Micros, NEWEST};

#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("this is no trace")]
    NoTrace,
    #[error("format {0} is newer than this program, which reads up to {NEWEST}")]
    Future(u32),
    #[error("the header is damaged")]
    NoHeader,
    #[error("{0} makes no sense")]
    Senseless(&'static str),
    #[error("{0}: a value makes no sense")]
    Value(&'static str),
    #[error("{0}: {1} are more than there can be")]
    Bound(&'static str, u64),
}

/// What could not be read.
#[derive(Clone, Debug, PartialEq)]
pub enum Loss {
    /// Bytes that are no frame; torn where the file ends in them.
    Bytes { at: u64, bytes: u64, torn: bool },
    /// A whole frame of no sense.
    Frame { at: u64, what: String },
    /// So many records stood between two blocks that were read.
    Records { count: u64 },
    /// The file has no end mark: its writer died, or still writes.
    NoEnd,
    /// The end mark tells another number of records than was read.
    Count { told: u64, read: u64 },
    /// The header was damaged: times and columns are told by the blocks, names only as far as they came again.
    Header,
}

impl std::fmt::Display for Loss {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Loss::Bytes { at, bytes, torn: true } => {
                write!(f, "torn off at byte {at}: the last {bytes} bytes are no whole block")
            }
            Loss::Bytes { at, bytes, .. } => write!(f, "damaged at byte {at}: {bytes} bytes passed over"),
            Loss::Frame { at, what } => write!(f, "damaged at byte {at}: {what}"),
            Loss::Records { count } => write!(f, "{count} records are lost there"),
            Loss::NoEnd => write!(f, "no end mark: the recording was cut off, or is still being written"),
            Loss::Count { told, read } => write!(f, "the file tells of {told} records, {read} were read"),
            Loss::Header => {
                write!(f, "the header is damaged: names are known only as far as they came again")
            }
        }
    }
}

/// What comes out of a file.
#[derive(Debug)]
pub enum Item {
    Records(Vec<Record>),
    Gap(Gap),
    Loss(Loss),
}

/// What [`Trace::survey`] finds.
#[derive(Debug, Default)]
pub struct Survey {
    pub index: Index,
    pub gaps: Vec<Gap>,
    pub losses: Vec<Loss>,
    /// By the file's own index.
    pub indexed: bool,
}

struct Renamed {
    names: Names,
    /// The servers as the file has them.
    old: Vec<String>,
}

/// A file, read from its start to its end; an iterator of its items.
pub struct Trace<R> {
    frames: Frames<R>,
    head: Head,
    names: Names,
    /// What stands in the place of the names that the file has.
    renamed: Option<Renamed>,
    wanted: Wanted,
    /// The columns that are asked for.
    columns: Box<dyn Fn(u8) -> bool + Send>,
    unknown: BTreeSet<u64>,
    /// Blocks as they were met, for an index that is not in the file.
    met: Index,
    /// Records that stand before the next block, as far as is known.
    records: Option<u64>,
    read: u64,
    ended: bool,
    over: bool,
    /// What is given out before more is read.
    waiting: Vec<Item>,
}

impl<R: Read> Trace<R> {
    /// Reads the head of a file. A damaged one is no error where blocks follow it.
    pub fn open(input: R) -> Result<Self, TraceError> {
        let mut frames = Frames::new(input, 0);
        let start = frames.peek(frames::PRELUDE)?.to_vec();
        let version = frames::read_prelude(&start);
        match version {
            Some(version) if version > NEWEST || version == 0 => return Err(TraceError::Future(version)),
            Some(_) => frames.take(frames::PRELUDE),
            // Damaged, or something else altogether: the first frame tells.
            None if start.iter().zip(frames::MAGIC).filter(|(a, b)| a == b).count() < 6 => {
                return Err(TraceError::NoTrace);
            }
            None => {}
        }
        let mut waiting = Vec::new();
        let head = loop {
            // The header is the first frame that there is, or it is lost.
            match frames.next_piece()? {
                Some(Piece::Lost { at, bytes, torn }) => {
                    waiting.push(Item::Loss(Loss::Bytes { at, bytes, torn }));
                }
                Some(Piece::Frame { kind: frames::HEADER, payload, .. }) => {
                    break serde_json::from_slice::<Head>(&payload).ok();
                }
                Some(Piece::Frame { kind, payload, at }) => {
                    frames.put_back(at, kind, &payload);
                    break None;
                }
                None => return Err(TraceError::NoHeader),
            }
        };
        let (head, names) = match head {
            Some(head) if head.version > NEWEST => return Err(TraceError::Future(head.version)),
            Some(head) => {
                let names = head.names.clone();
                (head, names)
            }
            None => {
                waiting.push(Item::Loss(Loss::Header));
                let mut head = Head::new(version.unwrap_or(NEWEST), 0, "?", 0);
                (head.names, head.file) = (Names::default(), String::new());
                (head, Names::default())
            }
        };
        Ok(Trace {
            frames,
            head,
            names,
            renamed: None,
            wanted: Wanted::default(),
            columns: Box::new(|_| true),
            unknown: BTreeSet::new(),
            met: Index::default(),
            records: Some(0),
            read: 0,
            ended: false,
            over: false,
            waiting,
        })
    }

    /// Asks for some records only. Gaps and losses come all the same.
    pub fn wanted(mut self, wanted: Wanted) -> Self {
        self.wanted = wanted;
        self
    }

    /// Asks for some columns only; what is left out has its default.
    pub fn columns(mut self, columns: impl Fn(u8) -> bool + Send + 'static) -> Self {
        self.columns = Box::new(columns);
        self
    }

    pub fn head(&self) -> &Head {
        &self.head
    }

    /// The dictionary as far as it was read.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Has other names stand in the place of those of the file.
    pub fn rename(&mut self, names: Names) {
        let old = std::mem::replace(&mut self.names, names.clone()).servers;
        self.renamed = Some(Renamed { names, old });
    }

    /// A gap tells its server by name.
    fn named(&self, mut gap: Gap) -> Gap {
        if let Some(renamed) = &self.renamed {
            let at = renamed.old.iter().position(|server| *server == gap.server);
            let new = at.and_then(|at| renamed.names.servers.get(at));
            gap.server = new.cloned().unwrap_or_default();
        }
        gap
    }

    /// The blocks that were met so far.
    pub fn met(&self) -> &Index {
        &self.met
    }

    /// Columns that were met and are not known here, by the names that the header has for them.
    pub fn unknown(&self) -> Vec<String> {
        let name = |id: &u64| {
            let named = self.head.columns.iter().find(|column| u64::from(column.id) == *id);
            named.map_or_else(|| format!("column {id}"), |column| column.name.clone())
        };
        self.unknown.iter().map(name).collect()
    }

    fn next_item(&mut self) -> Result<Option<Item>, TraceError> {
        loop {
            if !self.waiting.is_empty() {
                return Ok(Some(self.waiting.remove(0)));
            }
            if self.over {
                return Ok(None);
            }
            let Some(piece) = self.frames.next_piece()? else {
                self.over = true;
                if !self.ended {
                    self.waiting.push(Item::Loss(Loss::NoEnd));
                }
                continue;
            };
            match piece {
                Piece::Lost { at, bytes, torn } => {
                    return Ok(Some(Item::Loss(Loss::Bytes { at, bytes, torn })));
                }
                Piece::Frame { at, kind, payload } => {
                    if let Err(error) = self.hear(at, kind, &payload) {
                        return Ok(Some(Item::Loss(Loss::Frame { at, what: error.to_string() })));
                    }
                }
            }
        }
    }

    /// Takes a whole frame.
    fn hear(&mut self, at: u64, kind: u8, payload: &[u8]) -> Result<(), TraceError> {
        match kind {
            frames::BLOCK => {
                let length = (frames::HEAD + payload.len() + frames::CHECK) as u64;
                let mut from = Bytes(payload);
                let prelude = Prelude::read(&mut from)?;
                // A block that follows lost ones tells how many records they had.
                if let Some(lost) = self.records.map(|known| prelude.before.saturating_sub(known))
                    && lost > 0
                {
                    self.waiting.push(Item::Loss(Loss::Records { count: lost }));
                }
                self.records = Some(prelude.before.saturating_add(prelude.records as u64));
                let place = Place::new(at, length, &prelude);
                if self.wanted.may_be_in(&place) {
                    let mut records = self.records_of(&prelude, from)?;
                    records.retain(|record| self.wanted.has(record));
                    self.waiting.push(Item::Records(records));
                }
                self.met.add(place);
                self.read += prelude.records as u64;
            }
            frames::NAMES | frames::INDEX if self.renamed.is_some() => {}
            frames::NAMES => {
                let more = serde_json::from_slice(payload).map_err(|_| TraceError::Senseless("a dictionary"));
                self.names.add(more?)?;
            }
            frames::GAP => {
                let gap = serde_json::from_slice(payload).map_err(|_| TraceError::Senseless("a gap"))?;
                self.waiting.push(Item::Gap(self.named(gap)));
            }
            frames::INDEX => {
                // What was lost of the dictionary stands here again.
                let (_, Again { names, .. }) = Index::decode(payload, at)?;
                if names.handlers.len() >= self.names.handlers.len() {
                    self.names = names;
                }
            }
            frames::END => {
                self.ended = true;
                let told =
                    payload.get(16..24).and_then(|bytes| bytes.try_into().ok()).map(u64::from_le_bytes);
                match told {
                    None => return Err(TraceError::Senseless("the end mark")),
                    Some(told) if told != self.read => {
                        let read = self.read;
                        self.waiting.push(Item::Loss(Loss::Count { told, read }));
                    }
                    Some(_) => {}
                }
            }
            // A kind that later formats of this version may add.
            _ => {}
        }
        Ok(())
    }

    fn records_of(&mut self, prelude: &Prelude, mut from: Bytes) -> Result<Vec<Record>, TraceError> {
        let packed = block::packed(&mut from, prelude)?;
        if !packed.iter().any(|column| column.id == u64::from(columns::REACHED)) {
            return Err(TraceError::Senseless("a block without times"));
        }
        let (columns, wanted) = (&self.columns, &self.wanted);
        let needed = |id| {
            columns(id)
                || id == columns::REACHED && (wanted.from.is_some() || wanted.to.is_some())
                || id == columns::HANDLER && wanted.handlers.is_some()
                || id == columns::OUTCOME && wanted.outcomes.is_some()
        };
        block::decode(prelude, &packed, &needed, &mut self.unknown)
    }
}

impl<R: Read> Iterator for Trace<R> {
    type Item = Result<Item, TraceError>;

    fn next(&mut self) -> Option<Self::Item> {
        self.next_item().transpose()
    }
}

impl<R: Read + Seek> Trace<R> {
    /// Where its blocks are and what it lacks: by the index at the end of the file, else by reading it whole.
    pub fn survey(&mut self) -> Result<Survey, TraceError> {
        if let Some((index, Again { names, gaps })) = self.index_at_end()? {
            self.names = self.renamed.as_ref().map_or(names, |renamed| renamed.names.clone());
            let gaps = gaps.into_iter().map(|gap| self.named(gap)).collect();
            return Ok(Survey { index, gaps, losses: Vec::new(), indexed: true });
        }
        let (mut gaps, mut losses) = (Vec::new(), Vec::new());
        // Only the preludes are wanted of it.
        let nothing = Wanted { from: Some(Micros::MAX), to: Some(Micros::MIN), ..Wanted::default() };
        let mut whole = Trace::open(self.rewound()?)?.wanted(nothing);
        for item in whole.by_ref() {
            match item? {
                Item::Gap(gap) => gaps.push(gap),
                Item::Loss(loss) => losses.push(loss),
                Item::Records(_) => {}
            }
        }
        let (index, names) = (std::mem::take(&mut whole.met), whole.names.clone());
        drop(whole);
        let gaps = gaps.into_iter().map(|gap| self.named(gap)).collect();
        self.names = self.renamed.as_ref().map_or(names, |renamed| renamed.names.clone());
        Ok(Survey { index, gaps, losses, indexed: false })
    }

    /// The same file from its start once more.
    pub fn again(self) -> Result<Trace<R>, TraceError> {
        let mut input = self.frames.into_input();
        input.seek(SeekFrom::Start(0))?;
        let fresh = Trace::open(input)?;
        let names =
            self.renamed.as_ref().map_or_else(|| fresh.names.clone(), |renamed| renamed.names.clone());
        Ok(Trace { wanted: self.wanted, columns: self.columns, names, renamed: self.renamed, ..fresh })
    }

    fn rewound(&mut self) -> Result<&mut R, TraceError> {
        let input = self.frames.input();
        input.seek(SeekFrom::Start(0))?;
        Ok(input)
    }

    fn index_at_end(&mut self) -> Result<Option<(Index, Again)>, TraceError> {
        const END: u64 = (frames::HEAD + frames::END_LENGTH + frames::CHECK) as u64;
        let input = self.frames.input();
        let length = input.seek(SeekFrom::End(0))?;
        let Some(end) = length.checked_sub(END) else { return Ok(None) };
        let mut bytes = [0; END as usize];
        input.seek(SeekFrom::Start(end))?;
        input.read_exact(&mut bytes)?;
        let Some((frames::END, payload)) = frames::whole(&bytes) else { return Ok(None) };
        let at = payload.get(..8).and_then(|at| at.try_into().ok()).map_or(0, u64::from_le_bytes);
        if at == 0 || at >= end {
            return Ok(None);
        }
        input.seek(SeekFrom::Start(at))?;
        let mut bytes = Vec::new();
        // A length of its own bounds what is read: an index is one frame.
        input.take((end - at).min(frames::WHOLE_MOST)).read_to_end(&mut bytes)?;
        match frames::whole(&bytes) {
            Some((frames::INDEX, payload)) => Ok(Index::decode(payload, at).ok()),
            _ => Ok(None),
        }
    }

    /// The frame of one block, as long as its place tells and no longer than a frame can be.
    fn frame(&mut self, place: &Place) -> Result<Vec<u8>, TraceError> {
        let damaged = TraceError::Senseless("a block");
        if place.length > frames::WHOLE_MOST {
            return Err(damaged);
        }
        let input = self.frames.input();
        input.seek(SeekFrom::Start(place.at))?;
        let mut bytes = Vec::new();
        input.take(place.length).read_to_end(&mut bytes)?;
        match frames::whole(&bytes) {
            Some((frames::BLOCK, _)) => Ok(bytes),
            _ => Err(damaged),
        }
    }

    /// The records of one block; gaps between blocks are not looked for.
    pub fn block(&mut self, place: &Place) -> Result<Vec<Record>, TraceError> {
        let bytes = self.frame(place)?;
        let mut from = Bytes(&bytes[frames::HEAD..bytes.len() - frames::CHECK]);
        let prelude = Prelude::read(&mut from)?;
        let mut records = self.records_of(&prelude, from)?;
        records.retain(|record| self.wanted.has(record));
        Ok(records)
    }

    /// How many bytes each column takes in a block, by its id.
    pub fn sizes(&mut self, place: &Place) -> Result<Vec<(u64, usize)>, TraceError> {
        let bytes = self.frame(place)?;
        let mut from = Bytes(&bytes[frames::HEAD..bytes.len() - frames::CHECK]);
        let prelude = Prelude::read(&mut from)?;
        let sizes = block::packed(&mut from, &prelude)?;
        Ok(sizes.iter().map(|column| (column.id, column.stored())).collect())
    }
}
