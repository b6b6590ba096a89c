//! What the voters agree on: each lease, who holds it and who waits. A command changes it the same way everywhere; it
//! knows no time.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::interface::*;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Held {
    pub who: Who,
    /// Only grows, over all leases and for ever.
    pub token: u64,
    /// Of its latest ask; what was to end an earlier term passes it by.
    pub beat: u64,
    /// It gets no further term.
    pub ends: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Waiting {
    pub who: Who,
    pub beat: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    pub shape: Shape,
    pub held: Vec<Held>,
    /// The first is served first.
    pub queue: Vec<Waiting>,
}

impl Lease {
    pub fn free(&self) -> usize {
        (self.shape.places as usize).saturating_sub(self.held.len())
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    leases: BTreeMap<Name, Lease>,
    tokens: u64,
    beats: u64,
    /// What is planted; never said or kept.
    #[cfg(feature = "flaws")]
    #[serde(skip)]
    flaw: Option<Flaw>,
}

impl Table {
    #[cfg(feature = "flaws")]
    pub fn planted(flaw: Option<Flaw>) -> Self {
        Table { flaw, ..Table::default() }
    }

    #[cfg(feature = "flaws")]
    fn has(&self, flaw: Flaw) -> bool {
        self.flaw == Some(flaw)
    }

    #[cfg(not(feature = "flaws"))]
    fn has(&self, _: Flaw) -> bool {
        false
    }

    pub fn leases(&self) -> impl Iterator<Item = (&Name, &Lease)> {
        self.leases.iter()
    }

    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// The last token that was given out.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// What a new leader that kept the tokens in its memory would go on with.
    pub fn forget_tokens(&mut self) {
        if self.has(Flaw::TokenInMemory) {
            self.tokens = 0;
        }
    }

    pub fn apply(&mut self, command: &Command) -> Answer {
        let answer = match command {
            Command::Ask { lease, who, term, places, wait } => {
                self.ask(lease, who, Shape { term: *term, places: *places }, *wait)
            }
            Command::Release { lease, who, token } => self.release(lease, who, *token),
            Command::Expire { lease, who, beat } => self.expire(lease, who, *beat),
            Command::Revoke { lease, token } => self.revoke(lease, *token, None),
            Command::Transfer { lease, token, to } => self.revoke(lease, *token, Some(to)),
        };
        if self.leases.get(command.lease()).is_some_and(|l| l.held.is_empty() && l.queue.is_empty()) {
            self.leases.remove(command.lease());
        }
        answer
    }

    fn ask(&mut self, name: &Name, who: &Who, shape: Shape, wait: bool) -> Answer {
        let named = |name: &Name| (1..=NAME_MOST).contains(&name.len());
        let fits =
            (TERM_LEAST..=TERM_MOST).contains(&shape.term) && (1..=PLACES_MOST).contains(&shape.places);
        if !named(name) || !named(&who.name) || !fits {
            return Answer::Refused(Refusal::Senseless);
        }
        if !self.leases.contains_key(name) && self.leases.len() >= LEASES_MOST {
            return Answer::Refused(Refusal::TooMany);
        }
        self.beats += 1;
        let beat = self.beats;
        let fresh = Lease { shape, held: Vec::new(), queue: Vec::new() };
        let lease = self.leases.entry(name.clone()).or_insert(fresh);
        if lease.shape != shape {
            let Shape { term, places } = lease.shape;
            return Answer::Refused(Refusal::OtherShape { term, places });
        }
        if let Some(held) = lease.held.iter_mut().find(|held| held.who == *who) {
            if held.ends {
                return Answer::Refused(Refusal::Revoked);
            }
            held.beat = beat;
            return Answer::Granted { token: held.token };
        }
        // A process that was started again takes its earlier life's place among those that wait, not among the holders.
        let place = lease.queue.iter().position(|waiting| waiting.who.name == who.name);
        let ahead = place.unwrap_or(lease.queue.len());
        if ahead < lease.free() {
            if let Some(place) = place {
                lease.queue.remove(place);
            }
            self.tokens += 1;
            lease.held.push(Held { who: who.clone(), token: self.tokens, beat, ends: false });
            return Answer::Granted { token: self.tokens };
        }
        match place {
            Some(place) => lease.queue[place] = Waiting { who: who.clone(), beat },
            None if !wait => return Answer::Refused(Refusal::Full),
            None if lease.queue.len() >= QUEUE_MOST => return Answer::Refused(Refusal::QueueFull),
            None => lease.queue.push(Waiting { who: who.clone(), beat }),
        }
        Answer::Queued { ahead: ahead as u32 }
    }

    fn release(&mut self, name: &Name, who: &Who, token: Option<u64>) -> Answer {
        let freed_twice = self.has(Flaw::FreedTwice);
        let Some(lease) = self.leases.get_mut(name) else { return Answer::Refused(Refusal::Stale) };
        let before = lease.held.len() + lease.queue.len();
        match token {
            Some(token) => lease.held.retain(|held| held.token != token || held.who != *who),
            None => lease.queue.retain(|waiting| waiting.who != *who),
        }
        if lease.held.len() + lease.queue.len() < before {
            return Answer::Done;
        }
        if freed_twice && token.is_some() && !lease.held.is_empty() {
            lease.held.remove(0);
            return Answer::Done;
        }
        Answer::Refused(Refusal::Stale)
    }

    fn expire(&mut self, name: &Name, who: &Who, beat: u64) -> Answer {
        let any_beat = self.has(Flaw::BeatIgnored);
        let Some(lease) = self.leases.get_mut(name) else { return Answer::Refused(Refusal::Stale) };
        lease.held.retain(|held| held.who != *who || held.beat != beat && !any_beat);
        lease.queue.retain(|waiting| waiting.who != *who || waiting.beat != beat);
        Answer::Done
    }

    fn revoke(&mut self, name: &Name, token: u64, to: Option<&Name>) -> Answer {
        let stale = Answer::Refused(Refusal::Stale);
        if to.is_some_and(|to| !(1..=NAME_MOST).contains(&to.len())) {
            return Answer::Refused(Refusal::Senseless);
        }
        let Some(lease) = self.leases.get_mut(name) else { return stale };
        let Some(held) = lease.held.iter_mut().find(|held| held.token == token) else { return stale };
        held.ends = true;
        if let Some(to) = to {
            lease.queue.retain(|waiting| waiting.who.name != *to);
            self.beats += 1;
            // No life of its own yet: whichever asks takes this place.
            let who = Who { name: to.clone(), life: 0 };
            lease.queue.insert(0, Waiting { who, beat: self.beats });
            lease.queue.truncate(QUEUE_MOST);
        }
        Answer::Done
    }

    /// Those who would get a place if they asked now.
    pub fn next(&self, name: &str) -> impl Iterator<Item = &Who> {
        let lease = self.leases.get(name);
        lease.into_iter().flat_map(|lease| lease.queue.iter().take(lease.free()).map(|waiting| &waiting.who))
    }

    /// All that have a term that runs: holder or waiter, its beat, and the term.
    pub(crate) fn terms(&self, name: &str) -> impl Iterator<Item = (&Who, u64, Duration)> {
        let lease = self.leases.get(name);
        lease.into_iter().flat_map(|lease| {
            let held = lease.held.iter().map(|held| (&held.who, held.beat));
            let waiting = lease.queue.iter().map(|waiting| (&waiting.who, waiting.beat));
            held.chain(waiting).map(|(who, beat)| (who, beat, lease.shape.term))
        })
    }
}
