//! The order in which members are probed.
//!
//! **Decision**: which member is probed in the next protocol period.
//!
//! **When it binds**: in every protocol period.
//!
//! **Failure it guards against**: with a target drawn anew in each period, a member may by chance
//! not be probed for long, and its crash is noticed late without bound.
//!
//! **Why it holds**: every live member is probed once in a round, in an order drawn for the round,
//! so that two probes of a member are less than two rounds apart.
//!
//! **Price**: a member that joins waits for the next round.
//!
//! Source: SWIM, section 4.3 (round-robin probe target selection).

use crate::node::NodeName;

/// The members still to be probed in the current round.
#[derive(Default)]
pub(crate) struct ProbeRound {
    /// The last one is next. Members that died since the round was drawn are skipped.
    remaining: Vec<NodeName>,
}

impl ProbeRound {
    /// Takes the next member to be probed, where there is one. `live` are the names of the members
    /// that are alive or suspect, sorted.
    pub(crate) fn next_target(
        &mut self,
        live: &[&NodeName],
        rng: &mut fastrand::Rng,
    ) -> Option<NodeName> {
        loop {
            if self.remaining.is_empty() {
                self.remaining = live.iter().copied().cloned().collect();
                rng.shuffle(&mut self.remaining);
            }
            let name = self.remaining.pop()?;
            if live.binary_search(&&name).is_ok() {
                return Some(name);
            }
        }
    }
}
