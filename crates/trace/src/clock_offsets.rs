//! Estimates the offsets of the servers' clocks from attempts of one request at several servers. A
//! retry reaches its server after another server answered the earlier attempt, which bounds the
//! difference of the two clocks from one side. Retries in the other direction bound the difference
//! from the other side, as an exchange of time stamps does in NTP. The estimate uses the pairs of
//! servers with the closest bounds.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::Micros;
use crate::correlate::CorrelationKey;
use crate::record::Record;

/// Maximum number of requests that are kept for correlation.
const MAX_TRACKED_REQUESTS: usize = 1 << 18;
/// How long a request is kept for correlation, in microseconds.
const CORRELATION_WINDOW: Micros = 7_200_000_000;
/// Maximum number of attempts of one request that are compared; further ones add no information.
const MAX_ATTEMPTS: usize = 8;

/// The offset that corrects the times of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockOffset {
    /// The index of the server.
    pub server: u32,
    /// The offset to add, in microseconds; `None` if no retries connect the server to the first
    /// one.
    pub offset: Option<Micros>,
    /// The maximum error of `offset` in either direction, in microseconds.
    pub uncertainty: Micros,
}

#[derive(Clone, Copy)]
struct Attempt {
    server: u32,
    reached: Micros,
    /// Unix time by the clock of the server.
    answered: Micros,
    is_retry: bool,
}

/// The minimum time from an answer of the first server to a retry at the second one, for each
/// ordered pair of servers.
type MinDelays = BTreeMap<(u32, u32), Micros>;

/// Estimates the clock offsets of `servers` relative to the first of them. Records may come in any
/// order in which the attempts of one request are close to each other.
pub fn estimate_clock_offsets(
    records: impl Iterator<Item = Record>,
    servers: &[u32],
) -> Vec<ClockOffset> {
    let mut min_delays = MinDelays::new();
    let mut requests: HashMap<CorrelationKey, Vec<Attempt>> = HashMap::new();
    let mut order: VecDeque<(Micros, CorrelationKey)> = VecDeque::new();
    for record in records {
        let (Some(key), Some(answered)) = (CorrelationKey::of(&record), record.answered) else {
            continue;
        };
        let reached = record.reached;
        let answered = reached.saturating_add(answered);
        let attempt = Attempt {
            server: record.server,
            reached,
            answered,
            is_retry: record.is_retry,
        };
        let others = requests.entry(key).or_default();
        for other in others.iter() {
            add_delay(&mut min_delays, other, &attempt);
        }
        if others.is_empty() {
            order.push_back((reached, key));
        }
        if others.len() < MAX_ATTEMPTS {
            others.push(attempt);
        }
        let is_old =
            |&(at, _): &(Micros, CorrelationKey)| reached.saturating_sub(at) > CORRELATION_WINDOW;
        while order.len() > MAX_TRACKED_REQUESTS || order.front().is_some_and(is_old) {
            let Some((_, key)) = order.pop_front() else {
                break;
            };
            requests.remove(&key);
        }
    }
    offsets_from(&min_delays, servers)
}

/// Adds the delay between two attempts at different servers, if one of them is a retry.
fn add_delay(min_delays: &mut MinDelays, one: &Attempt, other: &Attempt) {
    let (first, retry) = match (one.is_retry, other.is_retry) {
        (false, true) => (one, other),
        (true, false) => (other, one),
        _ => return,
    };
    if first.server != retry.server {
        let delay = retry.reached.saturating_sub(first.answered);
        let min_delay = min_delays
            .entry((first.server, retry.server))
            .or_insert(delay);
        *min_delay = (*min_delay).min(delay);
    }
}

/// Two servers with bounds from both sides for the difference of their clocks. Pairs with closer
/// bounds come first in the order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BoundedPair {
    /// The distance between the bounds.
    width: Micros,
    a: u32,
    b: u32,
    /// The middle of the bounds of offset(a) - offset(b).
    middle: Micros,
}

/// Computes the offset of each server from the delays between pairs of servers, along a spanning
/// tree of the pairs with the closest bounds that starts at the first server.
fn offsets_from(min_delays: &MinDelays, servers: &[u32]) -> Vec<ClockOffset> {
    let pairs = bounded_pairs(min_delays);
    let unknown = |&server: &u32| ClockOffset {
        server,
        offset: None,
        uncertainty: 0,
    };
    let mut clocks: Vec<ClockOffset> = servers.iter().map(unknown).collect();
    if let Some(first) = clocks.first_mut() {
        first.offset = Some(0);
    }
    while let Some((at, offset, uncertainty)) =
        pairs.iter().find_map(|pair| clock_from_pair(pair, &clocks))
    {
        (clocks[at].offset, clocks[at].uncertainty) = (Some(offset), uncertainty);
    }
    clocks
}

fn bounded_pairs(min_delays: &MinDelays) -> Vec<BoundedPair> {
    let mut pairs = Vec::new();
    for (&(a, b), &high) in min_delays.iter().filter(|((a, b), _)| a < b) {
        // offset(a) - offset(b) is at most the minimum delay from a to b, and at least the negated
        // minimum delay from b to a.
        let Some(low) = min_delays.get(&(b, a)).map(|&delay| -delay) else {
            continue;
        };
        // Bounds that contradict each other (answers recorded late, or attempts correlated wrongly)
        // are ignored.
        if low <= high {
            pairs.push(BoundedPair {
                width: high - low,
                a,
                b,
                middle: low + (high - low) / 2,
            });
        }
    }
    pairs.sort_unstable();
    pairs
}

/// The position, offset and uncertainty of the clock that a pair adds to the known clocks; `None`
/// if the pair adds no clock.
fn clock_from_pair(pair: &BoundedPair, clocks: &[ClockOffset]) -> Option<(usize, Micros, Micros)> {
    let position = |server: u32| clocks.iter().position(|clock| clock.server == server);
    let (a, b) = (position(pair.a)?, position(pair.b)?);
    let uncertainty = |known: usize| clocks[known].uncertainty + (pair.width + 1) / 2;
    match (clocks[a].offset, clocks[b].offset) {
        (Some(offset), None) => Some((b, offset - pair.middle, uncertainty(a))),
        (None, Some(offset)) => Some((a, offset + pair.middle, uncertainty(b))),
        _ => None,
    }
}
