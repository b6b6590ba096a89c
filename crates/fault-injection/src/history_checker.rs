//! Checks the history of operations under leases. The checker sees the beginning and the end of
//! each operation with its fencing token; it rejects stale tokens and reports operations that
//! overlap. Simulated runs and runs of real processes use the same checker.

use std::collections::{BTreeMap, BTreeSet};

use tulipgap_leases::FencingToken;

use crate::plan::{Plan, PlannedLease};

/// Why the beginning or the end of an operation was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperationError {
    /// The plan has no such lease, a newer token was seen, other operations use up the capacity of
    /// the lease, or no operation with this token is in progress.
    #[error("its token is stale")]
    StaleToken,
    /// More operations are in progress than the lease has capacity for. This violates what leases
    /// guarantee.
    #[error(
        "operations with tokens {} are in progress at the same time",
        join_tokens(tokens)
    )]
    Overlap {
        /// The tokens of the operations in progress.
        tokens: Vec<FencingToken>,
    },
}

fn join_tokens(tokens: &[FencingToken]) -> String {
    tokens
        .iter()
        .map(FencingToken::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}

struct LeaseHistory {
    capacity: u32,
    newest_token: FencingToken,
    /// The tokens of the operations that have begun, have not ended and were not fenced off.
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

/// Checks operations under the leases of a plan. It owns the set of operations in progress for each
/// lease.
pub struct HistoryChecker {
    leases: BTreeMap<String, LeaseHistory>,
}

impl HistoryChecker {
    /// Returns a checker without any operation.
    pub fn new(plan: &Plan) -> Self {
        let leases = plan
            .leases
            .iter()
            .map(|lease| (lease.name.clone(), lease.into()))
            .collect();
        HistoryChecker { leases }
    }

    /// Records the beginning of an operation. `paused` holds the tokens of operations whose
    /// processes were paused after they had checked the lease: a newer token fences those
    /// operations off.
    ///
    /// # Errors
    /// [`OperationError::StaleToken`] if the plan has no such lease, if a newer token of a lease
    /// with capacity 1 was seen, or if the operation is one of the paused ones and other operations
    /// use up the lease's capacity (with capacity 1: operations with newer tokens).
    /// [`OperationError::Overlap`] if more operations are in progress than the lease has capacity
    /// for.
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
        // Only a lease with capacity 1 is held by one owner after another in the order of their
        // tokens.
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

    /// Records the end of an operation.
    ///
    /// # Errors
    /// [`OperationError::StaleToken`] if the operation is not in progress, for example because it
    /// was fenced off.
    pub fn end(&mut self, lease: &str, token: FencingToken) -> Result<(), OperationError> {
        match self.remove(lease, token) {
            true => Ok(()),
            false => Err(OperationError::StaleToken),
        }
    }

    /// Records that the process that carried out an operation has died.
    pub fn abandon(&mut self, lease: &str, token: FencingToken) {
        self.remove(lease, token);
    }

    /// Returns whether an operation with this token was in progress.
    fn remove(&mut self, lease: &str, token: FencingToken) -> bool {
        self.leases
            .get_mut(lease)
            .is_some_and(|history| history.under_way.remove(&token))
    }
}
