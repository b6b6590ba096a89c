//! Where in a file which blocks stand, and a structure to find those that a question needs: by time, handler and
//! outcome. Sorted by their earliest record, with a tree over their latest ones, so that blocks which overlap (and one
//! that lasts for hours, as after a clock was set) cost a logarithm; handlers and outcomes are sets of places.

use std::collections::{BTreeMap, BTreeSet};
use std::io;

use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};

use crate::block::{Bytes, Prelude, RECORDS_MOST, put};
use crate::columns::{unzigzag, zigzag};
use crate::heads::{Gap, Names};
use crate::record::Outcome;
use crate::{Micros, TraceError};

/// One block.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// Where its frame begins in the file, and how long that is.
    pub at: u64,
    pub length: u64,
    pub records: usize,
    pub from: Micros,
    pub to: Micros,
    pub handlers: BTreeSet<u32>,
    /// A bit for each outcome.
    pub outcomes: u32,
}

impl Place {
    pub fn new(at: u64, length: u64, prelude: &Prelude) -> Self {
        let Prelude { records, from, to, outcomes, .. } = *prelude;
        Place { at, length, records, from, to, handlers: prelude.handlers.clone(), outcomes }
    }
}

/// Which records are asked for. What is `None` is not asked about.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wanted {
    /// Reached at this time or later, and before that one.
    pub from: Option<Micros>,
    pub to: Option<Micros>,
    pub handlers: Option<BTreeSet<u32>>,
    pub outcomes: Option<BTreeSet<Outcome>>,
}

impl Wanted {
    pub fn has(&self, record: &crate::Record) -> bool {
        self.from.is_none_or(|from| record.reached >= from)
            && self.to.is_none_or(|to| record.reached < to)
            && self.handlers.as_ref().is_none_or(|some| some.contains(&record.handler))
            && self.outcomes.as_ref().is_none_or(|some| some.contains(&record.outcome))
    }

    /// Whether a block may have some of them, as a plain scan asks it.
    pub fn may_be_in(&self, place: &Place) -> bool {
        self.from.is_none_or(|from| place.to >= from)
            && self.to.is_none_or(|to| place.from < to)
            && self.handlers.as_ref().is_none_or(|some| !some.is_disjoint(&place.handlers))
            && self
                .outcomes
                .as_ref()
                .is_none_or(|some| some.iter().any(|&o| place.outcomes >> o as u32 & 1 == 1))
    }
}

/// What an index tells again of what stands in the file before it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Again {
    pub names: Names,
    #[serde(default)]
    pub gaps: Vec<Gap>,
}

/// The blocks of one or more files, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub struct Index {
    places: Vec<Place>,
    lookup: Option<Lookup>,
}

/// What is built once over the places to ask many questions.
#[derive(Clone, Debug)]
struct Lookup {
    /// Places by their earliest record, and what that is.
    order: Vec<u32>,
    starts: Vec<Micros>,
    /// A tree over `order`: the latest record below each node; leaves are the second half.
    latest: Vec<Micros>,
    leaves: usize,
    /// Ranks in `order` of the blocks with that handler, or outcome.
    handlers: BTreeMap<u32, RoaringBitmap>,
    outcomes: [RoaringBitmap; Outcome::ALL.len()],
}

impl Index {
    pub fn add(&mut self, place: Place) {
        self.places.push(place);
        self.lookup = None;
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub fn places(&self) -> &[Place] {
        &self.places
    }

    pub fn records(&self) -> u64 {
        self.places.iter().map(|place| place.records as u64).sum()
    }

    /// The earliest and latest record.
    pub fn span(&self) -> Option<(Micros, Micros)> {
        let from = self.places.iter().map(|place| place.from).min()?;
        Some((from, self.places.iter().map(|place| place.to).max()?))
    }

    /// Builds what [`Index::find`] goes by; done again only after something was added.
    pub fn prepare(&mut self) {
        if self.lookup.is_none() {
            self.lookup = Some(Lookup::new(&self.places));
        }
    }

    /// The blocks that may have what is wanted, in the order in which they were added.
    pub fn find(&mut self, wanted: &Wanted) -> Vec<usize> {
        self.prepare();
        let Some(lookup) = &self.lookup else { return Vec::new() };
        let mut found: Vec<usize> = lookup.find(wanted).into_iter().map(|at| at as usize).collect();
        found.sort_unstable();
        found
    }

    /// The same by looking at each block.
    pub fn scan(&self, wanted: &Wanted) -> Vec<usize> {
        let may = |(at, place): (usize, &Place)| wanted.may_be_in(place).then_some(at);
        self.places.iter().enumerate().filter_map(may).collect()
    }

    /// The payload of an index frame.
    pub fn encode(&self, names: &Names, gaps: &[Gap]) -> io::Result<Vec<u8>> {
        let mut raw = Vec::new();
        let text = serde_json::to_vec(&Again { names: names.clone(), gaps: gaps.to_vec() })?;
        put(&mut raw, text.len() as u64);
        raw.extend_from_slice(&text);
        put(&mut raw, self.places.len() as u64);
        let (mut end, mut from) = (0, 0);
        for place in &self.places {
            // Between two blocks there may be other frames.
            put(&mut raw, place.at - end);
            put(&mut raw, place.length);
            end = place.at + place.length;
            put(&mut raw, place.records as u64);
            put(&mut raw, zigzag(place.from.wrapping_sub(from)));
            from = place.from;
            put(&mut raw, place.to.wrapping_sub(place.from) as u64);
            put(&mut raw, u64::from(place.outcomes));
            put(&mut raw, place.handlers.len() as u64);
            for &handler in &place.handlers {
                put(&mut raw, u64::from(handler));
            }
        }
        let mut out = Vec::new();
        put(&mut out, raw.len() as u64);
        out.extend_from_slice(&zstd::bulk::compress(&raw, 5)?);
        Ok(out)
    }

    /// Reads that payload. No place lies beyond `end` of the file.
    pub fn decode(payload: &[u8], end: u64) -> Result<(Index, Again), TraceError> {
        /// What an index may unpack to.
        const RAW_MOST: u64 = 64 * 1024 * 1024;
        let mut from = Bytes(payload);
        let length = from.number()?;
        if length > RAW_MOST {
            return Err(TraceError::Bound("bytes of an index", length));
        }
        // Unpacked as a stream, so that what is claimed is not set aside before it is there.
        let mut raw = Vec::new();
        let stream = zstd::stream::read::Decoder::new(from.0).map_err(TraceError::Io)?;
        let read = io::Read::read_to_end(&mut io::Read::take(stream, length), &mut raw);
        read.map_err(|_| TraceError::Senseless("a packed index"))?;
        let mut from = Bytes(&raw);
        let text = from.number()?;
        let text = from.some(usize::try_from(text).unwrap_or(usize::MAX))?;
        let again = serde_json::from_slice(text).map_err(|_| TraceError::Senseless("a dictionary"))?;
        let count = from.number()?;
        let mut index = Index::default();
        let (mut before, mut start) = (0u64, 0i64);
        for _ in 0..count {
            let at = before.checked_add(from.number()?);
            let length = from.number()?;
            let after = at.and_then(|at| at.checked_add(length)).filter(|&after| after <= end);
            let (Some(at), Some(after)) = (at, after) else {
                return Err(TraceError::Senseless("a place in the index"));
            };
            before = after;
            let records = from.number()? as usize;
            if records > RECORDS_MOST {
                return Err(TraceError::Bound("records of a block", records as u64));
            }
            start = start.wrapping_add(unzigzag(from.number()?));
            let to = start.wrapping_add(from.number()? as i64);
            let outcomes = from.number_u32()?;
            let mut handlers = BTreeSet::new();
            for _ in 0..from.number()? {
                handlers.insert(from.number_u32()?);
            }
            index.places.push(Place { at, length, records, from: start, to, handlers, outcomes });
        }
        if from.0.is_empty() {
            Ok((index, again))
        } else {
            Err(TraceError::Senseless("bytes behind an index"))
        }
    }
}

impl Lookup {
    fn new(places: &[Place]) -> Self {
        let mut order: Vec<u32> = (0..places.len() as u32).collect();
        order.sort_by_key(|&at| (places[at as usize].from, at));
        let leaves = order.len().next_power_of_two();
        let mut latest = vec![Micros::MIN; 2 * leaves];
        let mut handlers: BTreeMap<u32, RoaringBitmap> = BTreeMap::new();
        let mut outcomes: [RoaringBitmap; Outcome::ALL.len()] = Default::default();
        for (rank, &at) in order.iter().enumerate() {
            let place = &places[at as usize];
            latest[leaves + rank] = place.to;
            for &handler in &place.handlers {
                handlers.entry(handler).or_default().insert(rank as u32);
            }
            for (bit, set) in outcomes.iter_mut().enumerate() {
                if place.outcomes >> bit & 1 == 1 {
                    set.insert(rank as u32);
                }
            }
        }
        for node in (1..leaves).rev() {
            latest[node] = latest[2 * node].max(latest[2 * node + 1]);
        }
        let starts = order.iter().map(|&at| places[at as usize].from).collect();
        Lookup { order, starts, latest, leaves, handlers, outcomes }
    }

    fn find(&self, wanted: &Wanted) -> Vec<u32> {
        let before = wanted.to.map_or(self.order.len(), |to| self.starts.partition_point(|&from| from < to));
        let from = wanted.from.unwrap_or(Micros::MIN);
        let any =
            |sets: Vec<&RoaringBitmap>| sets.into_iter().fold(RoaringBitmap::new(), |all, one| all | one);
        let handlers = (wanted.handlers.as_ref())
            .map(|some| any(some.iter().filter_map(|handler| self.handlers.get(handler)).collect()));
        let outcomes = (wanted.outcomes.as_ref())
            .map(|some| any(some.iter().map(|&outcome| &self.outcomes[outcome as usize]).collect()));
        let named = match (handlers, outcomes) {
            (Some(one), Some(other)) => Some(one & other),
            (one, other) => one.or(other),
        };
        let mut found = Vec::new();
        match named {
            // Few blocks have them: each is looked at. Else the tree leads to those of that time.
            Some(set) if set.len() * 8 < before as u64 => {
                let late = |&rank: &u32| self.latest[self.leaves + rank as usize] >= from;
                found.extend(set.iter().take_while(|&rank| (rank as usize) < before).filter(late));
            }
            named => {
                self.descend(1, 0, self.leaves, before, from, &mut found);
                if let Some(set) = named {
                    found.retain(|&rank| set.contains(rank));
                }
            }
        }
        found.into_iter().map(|rank| self.order[rank as usize]).collect()
    }

    /// Ranks below `before` whose latest record is at `from` or later, within a node of the tree. The tree's depth
    /// is a logarithm of the blocks, so this does not go deep.
    fn descend(
        &self,
        node: usize,
        first: usize,
        width: usize,
        before: usize,
        from: Micros,
        found: &mut Vec<u32>,
    ) {
        if first >= before || self.latest[node] < from {
            return;
        }
        if width == 1 {
            found.push(first as u32);
            return;
        }
        let half = width / 2;
        self.descend(2 * node, first, half, before, from, found);
        self.descend(2 * node + 1, first + half, half, before, from, found);
    }
}
