//! What is promised, read off a run as it goes: each bound is asserted, and the worst that was seen kept beside it.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipgap_membership::MemberState;

use crate::plan::Checks;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub promise: &'static str,
    pub at: Duration,
    pub observer: String,
    pub of: String,
    /// How long it had held by then.
    pub span: Duration,
}

/// The longest seen of each.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Worst {
    pub held_dead: Duration,
    pub known: Duration,
    pub agree: Duration,
}

impl Worst {
    pub fn max(self, other: Worst) -> Worst {
        Worst {
            held_dead: self.held_dead.max(other.held_dead),
            known: self.known.max(other.known),
            agree: self.agree.max(other.agree),
        }
    }
}

/// What is true of a pair, and what the one holds of the other.
pub struct Pair<'a> {
    pub observer: usize,
    pub of: usize,
    pub names: &'a [(String, String)],
    pub held: Option<MemberState>,
    /// Both live and awake, and messages go through between them both ways.
    pub reachable: bool,
    /// The other is dead.
    pub dead: bool,
}

pub struct Checker {
    bounds: Checks,
    quiet_from: Duration,
    held_dead: BTreeMap<(usize, usize), Duration>,
    unknown: BTreeMap<(usize, usize), Duration>,
    pub worst: Worst,
    pub broken: Option<Broken>,
}

impl Checker {
    pub fn new(bounds: Checks, quiet_from: Duration) -> Self {
        Checker {
            bounds,
            quiet_from,
            held_dead: BTreeMap::new(),
            unknown: BTreeMap::new(),
            worst: Worst::default(),
            broken: None,
        }
    }

    /// Looks at one pair; the observer lives and is awake.
    pub fn look(&mut self, now: Duration, pair: &Pair) {
        let held_dead = pair.reachable && pair.held == Some(MemberState::Dead);
        let span = since(&mut self.held_dead, now, pair, held_dead);
        self.worst.held_dead = self.worst.held_dead.max(span);
        self.against("held_dead", self.bounds.held_dead, now, span, pair);
        let unknown = pair.dead && matches!(pair.held, Some(MemberState::Alive | MemberState::Suspect));
        let span = since(&mut self.unknown, now, pair, unknown);
        self.worst.known = self.worst.known.max(span);
        self.against("known", self.bounds.known, now, span, pair);
        let differs =
            if pair.dead { unknown } else { pair.reachable && pair.held != Some(MemberState::Alive) };
        if differs && now > self.quiet_from {
            let span = now - self.quiet_from;
            self.worst.agree = self.worst.agree.max(span);
            self.against("agree", self.bounds.agree, now, span, pair);
        }
    }

    /// An observer that was stopped or is new has seen nothing yet.
    pub fn anew(&mut self, observer: usize) {
        self.held_dead.retain(|pair, _| pair.0 != observer);
        self.unknown.retain(|pair, _| pair.0 != observer);
    }

    fn against(&mut self, promise: &'static str, bound: f64, now: Duration, span: Duration, pair: &Pair) {
        if span.as_secs_f64() > bound && self.broken.is_none() {
            let name = |member: usize| pair.names[member].0.clone();
            self.broken =
                Some(Broken { promise, at: now, observer: name(pair.observer), of: name(pair.of), span });
        }
    }
}

/// For how long something has held of a pair.
fn since(
    spans: &mut BTreeMap<(usize, usize), Duration>,
    now: Duration,
    pair: &Pair,
    holds: bool,
) -> Duration {
    let key = (pair.observer, pair.of);
    if !holds {
        spans.remove(&key);
        return Duration::ZERO;
    }
    now - *spans.entry(key).or_insert(now)
}
