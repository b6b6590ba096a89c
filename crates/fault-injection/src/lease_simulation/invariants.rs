//! The invariants of a run. [`InvariantState`] compares each observation with the earlier ones; the
//! simulation makes the observations and keeps the first violation.

use std::collections::BTreeMap;

use tulipgap_leases::{FencingToken, Name};

use super::outcome::{Finding, LeaseInvariant};
use super::voters::ReplicaState;
use crate::history_checker::HistoryChecker;
use crate::plan::{Member, MemberIndex, Plan};

/// An owner was notified that it holds a lease.
pub(super) struct ObservedGrant<'a> {
    pub(super) owner: MemberIndex,
    pub(super) lease: &'a Name,
    pub(super) token: FencingToken,
    /// The number of owners that may hold the lease at the same time.
    pub(super) capacity: u32,
}

/// A voter became the leader.
pub(super) struct ObservedLeader {
    pub(super) member: MemberIndex,
    pub(super) term: u64,
    /// The newest token in the leader's copy of the leases.
    pub(super) last_token: FencingToken,
}

/// The newest token of a lease that an owner was notified of.
#[derive(Clone, Copy)]
struct Grant {
    token: FencingToken,
    owner: MemberIndex,
}

/// The past observations that are needed to check the invariants. The simulation owns it.
pub(super) struct InvariantState {
    pub(super) history: HistoryChecker,
    /// The first leader of each term.
    leaders: BTreeMap<u64, MemberIndex>,
    /// The hash of the replicated leases for each applied index.
    state_hashes: BTreeMap<u64, u64>,
    /// The highest token of any lease that an owner was notified of.
    last_notified_token: FencingToken,
    newest_grants: BTreeMap<Name, Grant>,
}

impl InvariantState {
    pub(super) fn new(plan: &Plan) -> Self {
        InvariantState {
            history: HistoryChecker::new(plan),
            leaders: BTreeMap::new(),
            state_hashes: BTreeMap::new(),
            last_notified_token: FencingToken(0),
            newest_grants: BTreeMap::new(),
        }
    }

    /// The newest token of a lease that an owner was notified of.
    pub(super) fn newest_token(&self, lease: &Name) -> FencingToken {
        self.newest_grants
            .get(lease)
            .map_or(FencingToken(0), |grant| grant.token)
    }

    /// Checks that the tokens of a lease with capacity 1 only increase, and that each token belongs
    /// to one owner.
    pub(super) fn record_grant(&mut self, grant: &ObservedGrant) -> Result<(), Finding> {
        let ObservedGrant {
            owner,
            lease,
            token,
            capacity,
        } = *grant;
        let nothing = Grant {
            token: FencingToken(0),
            owner,
        };
        let newest = self.newest_grants.get(lease).copied().unwrap_or(nothing);
        self.last_notified_token = self.last_notified_token.max(token);
        let newer = Grant {
            token: token.max(newest.token),
            owner,
        };
        self.newest_grants.insert(lease.clone(), newer);
        let is_newest = token > newest.token || token == newest.token && newest.owner == owner;
        if capacity != 1 || is_newest {
            return Ok(());
        }
        Err(Finding {
            invariant: LeaseInvariant::TokensIncrease,
            details: format!(
                "{lease}: token {token} was granted after token {}",
                newest.token
            ),
        })
    }

    /// Checks that a term has one leader, and that the leader knows every token that an owner was
    /// notified of.
    pub(super) fn record_leader(
        &mut self,
        leader: &ObservedLeader,
        members: &[Member],
    ) -> Result<(), Finding> {
        let ObservedLeader {
            member,
            term,
            last_token,
        } = *leader;
        let first_leader = *self.leaders.entry(term).or_insert(member);
        if first_leader != member {
            let (first, second) = (&members[first_leader].name, &members[member].name);
            return Err(Finding {
                invariant: LeaseInvariant::OneLeaderPerTerm,
                details: format!("{first} and {second} are both leaders in term {term}"),
            });
        }
        let notified = self.last_notified_token;
        if last_token < notified {
            let details = format!(
                "an owner was notified of token {notified}, but the newest token of the leader of term {term} is {last_token}"
            );
            return Err(Finding {
                invariant: LeaseInvariant::GrantsSurvive,
                details,
            });
        }
        Ok(())
    }

    /// Checks that all voters have the same leases after the same log entry.
    pub(super) fn record_replica(
        &mut self,
        name: &str,
        replica: &ReplicaState,
    ) -> Result<(), Finding> {
        let ReplicaState {
            applied_index,
            state_hash,
        } = *replica;
        let expected = *self.state_hashes.entry(applied_index).or_insert(state_hash);
        if expected == state_hash {
            return Ok(());
        }
        Err(Finding {
            invariant: LeaseInvariant::ReplicasAgree,
            details: format!("{name} has different leases after log entry {applied_index}"),
        })
    }
}
