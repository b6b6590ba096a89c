//! Which voter a client takes for the leader: the one that a hint named, else each in turn.
//!
//! Only the leader grants, and it changes. A hint is followed even where it names a voter that was
//! not configured: one that replaced another would else never be asked, and its clients would be
//! without a lease while it leads.

use crate::protocol::Name;

/// Voters that a client knows, at most, former ones included. Bounds what hints can add.
const MAX_KNOWN_VOTERS: usize = 16;

/// The known voters and the one that requests go to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaderHint {
    voters: Vec<Name>,
    /// The position of the one that requests go to.
    target: usize,
}

impl LeaderHint {
    pub(super) fn new(voters: Vec<Name>) -> Self {
        LeaderHint { voters, target: 0 }
    }

    /// The voter that is asked next; `None` where there are no voters.
    pub(super) fn target(&self) -> Option<&Name> {
        self.voters.get(self.target)
    }

    /// Goes on to the next voter.
    pub(super) fn try_next(&mut self) {
        self.target = (self.target + 1) % self.voters.len().max(1);
    }

    /// A voter does not lead and names who does, where it knows. Returns whether the hint named
    /// another voter than the present target.
    pub(super) fn redirect(&mut self, leader: Option<&str>) -> bool {
        let Some(leader) = leader else {
            self.try_next();
            return false;
        };
        self.learn(leader);
        match self.voters.iter().position(|voter| **voter == *leader) {
            Some(position) if position == self.target => false,
            Some(position) => {
                self.target = position;
                true
            }
            None => {
                self.try_next();
                false
            }
        }
    }

    /// Voters change: one that was not configured at the start is tried from now on as well.
    fn learn(&mut self, voter: &str) {
        let is_known = self.voters.iter().any(|known| **known == *voter);
        if !is_known && self.voters.len() < MAX_KNOWN_VOTERS {
            self.voters.push(voter.into());
        }
    }
}
