//! How far the clocks of servers are apart, from tries of one req that came to several of them: a further try reaches
//! its server after the earlier one was answered by another. With tries in both directions that bounds the difference
//! from both sides, as an exchange of time stamps does. Of all pairs of servers those with the closest bounds are used.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::Micros;
use crate::join::Link;
use crate::record::Record;

/// Tries that are remembered at the most, and for how long.
const KNOWN_MOST: usize = 1 << 18;
const WINDOW: Micros = 7_200_000_000;

/// What is to be added to the times of a server, and how far off that may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    pub server: u32,
    /// `None` where no tries tell.
    pub offset: Option<Micros>,
    pub within: Micros,
}

#[derive(Clone, Copy)]
struct Try {
    server: u32,
    reached: Micros,
    answered: Micros,
    retry: bool,
}

/// The clocks of `servers`, against that of the first. Records come in no particular order beyond that tries of
/// one req are not too far apart.
pub fn estimate(records: impl Iterator<Item = Record>, servers: &[u32]) -> Vec<Clock> {
    // For each ordered pair: the least time from an answer by the one to a further try at the other.
    let mut least: BTreeMap<(u32, u32), Micros> = BTreeMap::new();
    let mut known: HashMap<Link, Vec<Try>> = HashMap::new();
    let mut order: VecDeque<(Micros, Link)> = VecDeque::new();
    for record in records {
        let (Some(link), Some(answered)) = (Link::of(&record), record.answered) else { continue };
        let (server, reached, retry) = (record.server, record.reached, record.retry);
        let this = Try { server, reached, answered: reached.saturating_add(answered), retry };
        let others = known.entry(link).or_default();
        for other in others.iter() {
            let (first, then) = match (other.retry, this.retry) {
                (false, true) => (other, &this),
                (true, false) => (&this, other),
                _ => continue,
            };
            if first.server != then.server {
                let gap = then.reached.saturating_sub(first.answered);
                let bound = least.entry((first.server, then.server)).or_insert(gap);
                *bound = (*bound).min(gap);
            }
        }
        if others.is_empty() {
            order.push_back((reached, link));
        }
        // More tries of one req than these say nothing new.
        if others.len() < 8 {
            others.push(this);
        }
        while order.len() > KNOWN_MOST
            || order.front().is_some_and(|(at, _)| reached.saturating_sub(*at) > WINDOW)
        {
            let Some((_, link)) = order.pop_front() else { break };
            known.remove(&link);
        }
    }
    spread(&least, servers)
}

/// From bounds between pairs to offsets of each server: a tree of the closest ones, from the first server on.
fn spread(least: &BTreeMap<(u32, u32), Micros>, servers: &[u32]) -> Vec<Clock> {
    // offset(a) - offset(b) is at most the least gap from a to b, and at least minus that from b to a.
    let mut pairs = Vec::new();
    for (&(a, b), &most) in least.iter().filter(|((a, b), _)| a < b) {
        if let Some(&other) = least.get(&(b, a)) {
            let (low, high) = (-other, most);
            // What is at odds with itself (tries answered late, or joined wrongly) tells nothing.
            if low <= high {
                pairs.push((high - low, a, b, low + (high - low) / 2));
            }
        }
    }
    pairs.sort_unstable();
    let mut clocks: Vec<Clock> =
        servers.iter().map(|&server| Clock { server, offset: None, within: 0 }).collect();
    if let Some(first) = clocks.first_mut() {
        first.offset = Some(0);
    }
    loop {
        let at = |server: u32, clocks: &[Clock]| clocks.iter().position(|clock| clock.server == server);
        let next = pairs.iter().find_map(|&(width, a, b, middle)| {
            let (a, b) = (at(a, &clocks)?, at(b, &clocks)?);
            match (clocks[a].offset, clocks[b].offset) {
                (Some(offset), None) => Some((b, offset - middle, clocks[a].within + (width + 1) / 2)),
                (None, Some(offset)) => Some((a, offset + middle, clocks[b].within + (width + 1) / 2)),
                _ => None,
            }
        });
        let Some((place, offset, within)) = next else { return clocks };
        (clocks[place].offset, clocks[place].within) = (Some(offset), within);
    }
}
