//! The invariants of a run, and what is remembered of its past to check them.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipgap_consensus::VoterPhase;
use tulipgap_leases::{FencingToken, Name};

use super::processes::Process;
use super::{LeaseInvariant, LeaseSimulation, LeaseViolation};
use crate::history_checker::HistoryChecker;
use crate::plan::{MemberIndex, Plan};

/// The newest token of a lease that an owner was notified of.
struct Grant {
    token: FencingToken,
    owner: MemberIndex,
}

/// What is remembered to check invariants. Owned by the simulation.
pub(super) struct InvariantState {
    pub(super) history: HistoryChecker,
    /// By lease of the plan: since when it has had no holder though it is wanted.
    vacant_since: Vec<Option<Duration>>,
    /// The first leader of each term.
    pub(super) leaders: BTreeMap<u64, MemberIndex>,
    /// By applied index: a hash of the replicated leases.
    pub(super) state_hashes: BTreeMap<u64, u64>,
    /// The highest token that any owner was notified of.
    pub(super) last_notified_token: FencingToken,
    newest_grants: BTreeMap<Name, Grant>,
}

impl InvariantState {
    pub(super) fn new(plan: &Plan) -> Self {
        InvariantState {
            history: HistoryChecker::new(plan),
            vacant_since: vec![Some(Duration::ZERO); plan.leases.len()],
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
}

impl LeaseSimulation<'_> {
    /// Records a violation, if it is the first.
    pub(super) fn violate(&mut self, invariant: LeaseInvariant, details: String) {
        let at = self.scheduler.now();
        self.outcome.violation.get_or_insert(LeaseViolation {
            invariant,
            at,
            details,
        });
    }

    pub(super) fn capacity(&self, lease: &str) -> u32 {
        self.plan.lease(lease).map_or(0, |lease| lease.capacity)
    }

    pub(super) fn check_grant(&mut self, member: MemberIndex, lease: &Name, token: FencingToken) {
        let newest = match self.invariants.newest_grants.get(lease) {
            Some(Grant { token, owner }) => Grant {
                token: *token,
                owner: *owner,
            },
            None => Grant {
                token: FencingToken(0),
                owner: member,
            },
        };
        let is_newest = token > newest.token || token == newest.token && newest.owner == member;
        if self.capacity(lease) == 1 && !is_newest {
            let details = format!("{lease}: {token} after {}", newest.token);
            self.violate(LeaseInvariant::TokensIncrease, details);
        }
        let state = &mut self.invariants;
        state.last_notified_token = state.last_notified_token.max(token);
        let grant = Grant {
            token: token.max(newest.token),
            owner: member,
        };
        state.newest_grants.insert(lease.clone(), grant);
    }

    /// How many owners may act now, by true time and whatever each of them believes; paused ones
    /// count too.
    fn count_holders(&self, lease: &str) -> usize {
        let may_act = |process: &&Process| {
            let client = process.client.clone();
            let now = process.local_time(self.scheduler.now());
            client.is_some_and(|mut client| client.acquire_guard(now, lease).is_ok())
        };
        self.processes.iter().filter(may_act).count()
    }

    pub(super) fn check_capacity(&mut self) {
        for lease in &self.plan.leases {
            let holders = self.count_holders(&lease.name);
            if holders > lease.capacity as usize {
                let details = format!(
                    "{holders} hold {}, which has a capacity of {}",
                    lease.name, lease.capacity
                );
                self.violate(LeaseInvariant::CapacityRespected, details);
            }
        }
    }

    pub(super) fn check_vacancy(&mut self) {
        let now = self.scheduler.now();
        let faults_end = self.plan.faults_end();
        let has_quorum = self.has_quorum();
        for (index, lease) in self.plan.leases.iter().enumerate() {
            let is_wanted = has_quorum && self.is_wanted(&lease.target);
            if !is_wanted || self.count_holders(&lease.name) > 0 {
                self.invariants.vacant_since[index] = None;
                continue;
            }
            let since = *self.invariants.vacant_since[index].get_or_insert(now);
            self.outcome.longest_vacancy = self.outcome.longest_vacancy.max(now - since);
            if now <= faults_end {
                continue;
            }
            let vacancy = now - since.max(faults_end);
            let longest = &mut self.outcome.longest_vacancy_after_faults;
            *longest = vacancy.max(*longest);
            if vacancy.as_secs_f64() > self.plan.bounds.vacancy {
                let details = format!("{} has had no holder for {vacancy:?}", lease.name);
                self.violate(LeaseInvariant::VacancyBounded, details);
            }
        }
    }

    /// Whether a majority of voters votes, so that one of them can lead.
    fn has_quorum(&self) -> bool {
        let is_voting = |process: &&Process| {
            let voter = process.voter.as_ref().filter(|_| !process.is_paused);
            voter.is_some_and(|voter| voter.voter().status().phase == VoterPhase::Voting)
        };
        self.processes.iter().filter(is_voting).count() > self.voters.len() / 2
    }

    /// Whether some running process wants a lease with this target.
    fn is_wanted(&self, target: &str) -> bool {
        let mut processes = self.members.iter().zip(&self.processes);
        processes.any(|(member, process)| {
            member.matches(target) && process.client.is_some() && !process.is_paused
        })
    }
}
