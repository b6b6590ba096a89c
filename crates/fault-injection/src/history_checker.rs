//! Checks the history of operations under leases: it sees each begin and end with its fencing
//! token, and rejects a token that is older than one it has seen. It is the same in simulated time
//! and between real processes.

use std::collections::{BTreeMap, BTreeSet};

use tulipgap_leases::FencingToken;

use crate::plan::{Plan, PlannedLease};

/// Why the beginning or the end of an operation is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperationError {
    /// A newer token was seen, or no operation with this token is under way.
    #[error("its token is stale")]
    StaleToken,
    /// More operations are under way than the lease has capacity for. This violates what leases
    /// guarantee.
    #[error("operations with tokens {} are under way at a time", joined(tokens))]
    Overlap {
        /// The tokens of the operations that are under way.
        tokens: Vec<FencingToken>,
    },
}

fn joined(tokens: &[FencingToken]) -> String {
    tokens
        .iter()
        .map(FencingToken::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}

struct LeaseHistory {
    capacity: u32,
    newest_token: FencingToken,
    /// The tokens of operations that have begun and not ended.
    under_way: BTreeSet<FencingToken>,
}

impl From<&PlannedLease> for LeaseHistory {
    fn from(lease: &PlannedLease) -> Self {
        LeaseHistory {
            capacity: lease.capacity,
            newest_token: FencingToken(0),
            under_way: BTreeSet::new(),
        }
    }
}

/// Checks operations under the leases of a plan. Owns which operations are under way, by lease.
pub struct HistoryChecker {
    leases: BTreeMap<String, LeaseHistory>,
}

impl HistoryChecker {
    /// A checker that has seen nothing yet.
    pub fn new(plan: &Plan) -> Self {
        let leases = plan
            .leases
            .iter()
            .map(|lease| (lease.name.clone(), lease.into()))
            .collect();
        HistoryChecker { leases }
    }

    /// An operation begins. The ones with `paused` tokens belong to processes that were paused
    /// after they had checked the lease: a newer token fences them off.
    ///
    /// # Errors
    /// [`OperationError::StaleToken`] where a newer token of a lease of capacity 1 was seen, where
    /// the operation is itself one of the paused and as many others are under way as may be (with
    /// newer tokens, where the capacity is 1), or where there is no such lease.
    /// [`OperationError::Overlap`] where operations of more owners than may hold the lease are
    /// under way.
    pub fn begin(
        &mut self,
        lease: &str,
        token: FencingToken,
        paused: &BTreeSet<FencingToken>,
    ) -> Result<(), OperationError> {
        let Some(history) = self.leases.get_mut(lease) else {
            return Err(OperationError::StaleToken);
        };
        if history.capacity == 1 && token < history.newest_token {
            return Err(OperationError::StaleToken);
        }
        history.newest_token = history.newest_token.max(token);
        history
            .under_way
            .retain(|other| !paused.contains(other) || *other == token);
        // Only the owners of a lease of capacity 1 follow one another in the order of their tokens.
        let may_be_stale =
            history.capacity > 1 || history.under_way.iter().all(|other| *other > token);
        history.under_way.insert(token);
        if history.under_way.len() <= history.capacity as usize {
            return Ok(());
        }
        if paused.contains(&token) && may_be_stale {
            history.under_way.remove(&token);
            return Err(OperationError::StaleToken);
        }
        Err(OperationError::Overlap {
            tokens: history.under_way.iter().copied().collect(),
        })
    }

    /// An operation ends.
    ///
    /// # Errors
    /// [`OperationError::StaleToken`] where it was fenced off meanwhile.
    pub fn end(&mut self, lease: &str, token: FencingToken) -> Result<(), OperationError> {
        match self.remove(lease, token) {
            true => Ok(()),
            false => Err(OperationError::StaleToken),
        }
    }

    /// The process that carried out an operation has died.
    pub fn abandon(&mut self, lease: &str, token: FencingToken) {
        self.remove(lease, token);
    }

    /// Whether an operation with this token was under way.
    fn remove(&mut self, lease: &str, token: FencingToken) -> bool {
        self.leases
            .get_mut(lease)
            .is_some_and(|history| history.under_way.remove(&token))
    }
}
