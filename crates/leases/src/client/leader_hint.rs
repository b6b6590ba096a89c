//! Selects the voter that a client presumes to be the leader: the voter that a hint named,
//! otherwise each voter in turn.
//!
//! Only the leader grants leases, and the leader changes. A client follows a hint even if it names
//! a voter that was not configured. Otherwise the client would never ask a voter that replaced
//! another, and would have no lease while that voter leads.

use crate::protocol::Name;

/// Maximum number of voters that a client knows, including former ones. Bounds the number of voters
/// that hints can add.
const MAX_KNOWN_VOTERS: usize = 16;

/// The known voters, and the voter that requests are sent to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaderHint {
    voters: Vec<Name>,
    /// The position of the voter that requests are sent to.
    target: usize,
}

impl LeaderHint {
    pub(super) fn new(voters: Vec<Name>) -> Self {
        LeaderHint { voters, target: 0 }
    }

    /// The voter that the next request is sent to; `None` if there are no voters.
    pub(super) fn target(&self) -> Option<&Name> {
        self.voters.get(self.target)
    }

    /// Selects the next voter.
    pub(super) fn try_next(&mut self) {
        self.target = (self.target + 1) % self.voters.len().max(1);
    }

    /// Handles the response of a voter that does not lead; `leader` is the leader that it names, if
    /// it knows one. Returns whether the hint selected another voter than the present target.
    pub(super) fn redirect(&mut self, leader: Option<&str>) -> bool {
        let Some(leader) = leader else {
            self.try_next();
            return false;
        };
        self.add_voter(leader);
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

    /// Adds a voter that was not configured at the start, since the set of voters can change.
    fn add_voter(&mut self, voter: &str) {
        let is_known = self.voters.iter().any(|known| **known == *voter);
        if !is_known && self.voters.len() < MAX_KNOWN_VOTERS {
            self.voters.push(voter.into());
        }
    }
}
