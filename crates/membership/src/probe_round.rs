//! The order in which members are probed.
//!
//! **Decision**: which member is probed in the next protocol period.
//!
//! **When it binds**: in every protocol period.
//!
//! **Failure it guards against**: if the target were sampled independently in each period, a member
//! might by chance not be probed for a long time, and the time until its crash is noticed would
//! have no bound.
//!
//! **Why it holds**: every live member is probed once in a round, in an order that is shuffled for
//! the round, so two probes of a member are less than two rounds apart.
//!
//! **Price**: a member that joins is not probed until the next round.
//!
//! Source: SWIM, section 4.3 (round-robin probe target selection).

use crate::node::NodeName;

/// The members still to be probed in the current round.
#[derive(Default)]
pub(crate) struct ProbeRound {
    /// The next target is the last element. Members that have died since the round was shuffled are
    /// skipped.
    remaining: Vec<NodeName>,
}

impl ProbeRound {
    /// Removes and returns the next member to probe, if there is one. `live` contains the names of
    /// the members that are alive or suspect, sorted.
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
