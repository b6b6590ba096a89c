//! A file made from another: some of its records, or all that is whole of it; and whether a file is sound.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{Read, Seek, Write};

use crate::Micros;
use crate::heads::{Gap, Names};
use crate::index::Wanted;
use crate::reader::{Item, Loss, Survey, Trace, TraceError};
use crate::record::Record;
use crate::remake::{MergeError, Translation, gap_of};
use crate::writer::{WriteError, Writer};

/// What [`copy`] did.
#[derive(Debug, Default)]
pub struct Span {
    pub records: u64,
    pub losses: Vec<Loss>,
    pub unknown: Vec<String>,
}

/// Whether a gap lies in what is wanted; one without times might.
fn touches(wanted: &Wanted, gap: &Gap) -> bool {
    gap.to == 0 || wanted.from.is_none_or(|from| gap.to >= from) && wanted.to.is_none_or(|to| gap.from < to)
}

/// Copies what is wanted from one file to another, each record as `change` leaves it. Where the file has an index
/// only the blocks that are needed are read; a file that was cut off is read as far as it is whole.
pub fn copy<R: Read + Seek, W: Write>(
    mut trace: Trace<R>,
    wanted: &Wanted,
    out: &mut Writer<W>,
    change: impl FnMut(&mut Record),
) -> Result<Span, MergeError> {
    let survey = trace.survey().map_err(|error| MergeError::Read("input".into(), error))?;
    copy_surveyed(trace, survey, wanted, out, change)
}

/// The same for a file that was surveyed already.
pub fn copy_surveyed<R: Read + Seek, W: Write>(
    trace: Trace<R>,
    Survey { mut index, gaps, losses, indexed }: Survey,
    wanted: &Wanted,
    out: &mut Writer<W>,
    mut change: impl FnMut(&mut Record),
) -> Result<Span, MergeError> {
    let read = |error| MergeError::Read("input".into(), error);
    if !indexed {
        // It was read whole already, but for the records.
        return stream(trace.again().map_err(read)?, wanted, out, change);
    }
    let mut done = Span { losses, ..Span::default() };
    for gap in gaps.iter().filter(|gap| touches(wanted, gap)) {
        out.gap(gap)?;
    }
    let mut trace = trace.wanted(wanted.clone());
    let mut translation = Translation::new(trace.names(), out);
    for at in index.find(wanted) {
        let place = index.places()[at].clone();
        match trace.block(&place) {
            Ok(records) => put(records, &mut translation, trace.names(), out, &mut change, &mut done)?,
            Err(TraceError::Io(error)) => return Err(read(error.into())),
            Err(error) => {
                let lost = [
                    Loss::Frame { at: place.at, what: error.to_string() },
                    Loss::Records { count: place.records as u64 },
                ];
                for loss in lost {
                    if let Some(gap) = gap_of(&loss, &trace.head().server) {
                        out.gap(&Gap { from: place.from, to: place.to, ..gap })?;
                    }
                    done.losses.push(loss);
                }
            }
        }
    }
    done.unknown = trace.unknown();
    Ok(done)
}

/// The same from the first byte to the last, for what has no index.
pub fn stream<R: Read, W: Write>(
    trace: Trace<R>,
    wanted: &Wanted,
    out: &mut Writer<W>,
    mut change: impl FnMut(&mut Record),
) -> Result<Span, MergeError> {
    let mut trace = trace.wanted(wanted.clone());
    let mut done = Span::default();
    let mut translation = Translation::new(trace.names(), out);
    while let Some(item) = trace.next() {
        match item.map_err(|error| MergeError::Read("input".into(), error))? {
            Item::Records(records) => {
                put(records, &mut translation, trace.names(), out, &mut change, &mut done)?;
            }
            Item::Gap(gap) if touches(wanted, &gap) => out.gap(&gap)?,
            Item::Gap(_) => {}
            Item::Loss(loss) => {
                if let Some(gap) = gap_of(&loss, &trace.head().server) {
                    out.gap(&gap)?;
                }
                done.losses.push(loss);
            }
        }
    }
    done.unknown = trace.unknown();
    Ok(done)
}

fn put<W: Write>(
    records: Vec<Record>,
    translation: &mut Translation,
    names: &Names,
    out: &mut Writer<W>,
    change: &mut impl FnMut(&mut Record),
    done: &mut Span,
) -> Result<(), WriteError> {
    for mut record in records {
        translation.apply(&mut record, names, out);
        change(&mut record);
        out.push(record)?;
        done.records += 1;
    }
    Ok(())
}

/// What [`check`] finds.
#[derive(Debug, Default)]
pub struct Findings {
    pub records: u64,
    pub blocks: usize,
    pub gaps: Vec<Gap>,
    pub losses: Vec<Loss>,
    /// Columns that are not known here; they are passed over.
    pub unknown: Vec<String>,
    /// Records whose times run backwards, by what stands before what.
    pub backwards: BTreeMap<&'static str, u64>,
    /// Ids that came again on one server within the last ones, and how often.
    pub repeated_ids: u64,
    /// Blocks that reach further back than an hour before the latest record until then.
    pub set_back: u64,
    /// The index does not agree with the blocks.
    pub index: bool,
}

impl Findings {
    pub fn sound(&self) -> bool {
        self.losses.is_empty() && self.backwards.is_empty() && self.repeated_ids == 0 && !self.index
    }
}

/// Ids that are remembered to find one that comes again.
const IDS_MOST: usize = 1 << 20;
const SET_BACK: Micros = 60_000_000;

/// Reads a file whole and looks for what cannot be.
pub fn check<R: Read + Seek>(mut trace: Trace<R>) -> Result<Findings, TraceError> {
    let told = trace.survey()?;
    let mut trace = trace.again()?;
    let mut found = Findings::default();
    let (mut ids, mut order) = (BTreeSet::new(), VecDeque::new());
    let mut latest = Micros::MIN;
    for item in trace.by_ref() {
        match item? {
            Item::Gap(gap) => found.gaps.push(gap),
            Item::Loss(loss) => found.losses.push(loss),
            Item::Records(records) => {
                found.blocks += 1;
                found.records += records.len() as u64;
                let to = records.iter().map(|record| record.reached).max().unwrap_or(latest);
                found.set_back += u64::from(to < latest.saturating_sub(SET_BACK));
                latest = latest.max(to);
                for record in &records {
                    for (what, wrong) in backwards(record) {
                        if wrong {
                            *found.backwards.entry(what).or_default() += 1;
                        }
                    }
                    let id = (record.server, record.id);
                    if !ids.insert(id) {
                        found.repeated_ids += 1;
                    } else {
                        order.push_back(id);
                        if order.len() > IDS_MOST
                            && let Some(oldest) = order.pop_front()
                        {
                            ids.remove(&oldest);
                        }
                    }
                }
            }
        }
    }
    found.unknown = trace.unknown();
    // A damaged block is missing here, and is a loss already.
    found.index = told.indexed && found.losses.is_empty() && told.index.places() != trace.met().places();
    Ok(found)
}

fn backwards(record: &Record) -> [(&'static str, bool); 5] {
    let before =
        |first: Option<Micros>, then: Option<Micros>| matches!((first, then), (Some(a), Some(b)) if b < a);
    [
        ("read before it reached the machine", before(Some(0), record.read)),
        ("admitted before it was read", before(record.read, record.admitted)),
        ("run before it was admitted", before(record.admitted, record.run)),
        ("answered before it was read", before(record.read, record.answered)),
        ("over before it was answered", before(record.answered, record.over)),
    ]
}
