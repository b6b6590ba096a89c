//! The invariants of a run. [`InvariantState`] remembers what was seen and compares each new
//! observation with it; the simulation observes, and keeps the first violation.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipgap_consensus::VoterPhase;
use tulipgap_leases::{FencingToken, Name};

use super::processes::Process;
use super::{LeaseInvariant, LeaseSimulation, LeaseViolation};
use crate::history_checker::HistoryChecker;
use crate::plan::{Member, MemberIndex, Plan, PlannedLease};

/// A violation as it is found; the simulation adds the time.
#[derive(Debug)]
pub(super) struct Finding {
    invariant: LeaseInvariant,
    details: String,
}

/// An owner is notified that it holds a lease.
pub(super) struct ObservedGrant<'a> {
    pub(super) owner: MemberIndex,
    pub(super) lease: &'a Name,
    pub(super) token: FencingToken,
    /// How many owners may hold the lease at a time.
    pub(super) capacity: u32,
}

/// A voter became the leader.
pub(super) struct ObservedLeader {
    pub(super) member: MemberIndex,
    pub(super) term: u64,
    /// The newest token in its copy of the leases.
    pub(super) last_token: FencingToken,
}

/// The newest token of a lease that an owner was notified of.
#[derive(Clone, Copy)]
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
    leaders: BTreeMap<u64, MemberIndex>,
    /// By applied index: a hash of the replicated leases.
    state_hashes: BTreeMap<u64, u64>,
    /// The highest token that any owner was notified of.
    last_notified_token: FencingToken,
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

    /// Of a lease with capacity 1 the tokens only increase, and each belongs to one owner.
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
            details: format!("{lease}: {token} after {}", newest.token),
        })
    }

    /// One voter leads in a term, and it knows every token that an owner was notified of.
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
                details: format!("{first} and {second} in term {term}"),
            });
        }
        let notified = self.last_notified_token;
        if last_token < notified {
            let details = format!(
                "an owner was notified of token {notified}, and the leader of term {term} has {last_token}"
            );
            return Err(Finding {
                invariant: LeaseInvariant::GrantsSurvive,
                details,
            });
        }
        Ok(())
    }

    /// All voters have the same leases after the same entry.
    pub(super) fn record_replica(
        &mut self,
        name: &str,
        applied_index: u64,
        state_hash: u64,
    ) -> Result<(), Finding> {
        let expected = *self.state_hashes.entry(applied_index).or_insert(state_hash);
        if expected == state_hash {
            return Ok(());
        }
        Err(Finding {
            invariant: LeaseInvariant::ReplicasAgree,
            details: format!("{name} has other leases after entry {applied_index}"),
        })
    }

    /// Since when a lease of the plan is vacant; `None` where it is not.
    fn record_vacancy(&mut self, index: usize, now: Duration, is_vacant: bool) -> Option<Duration> {
        let vacant_since = &mut self.vacant_since[index];
        match is_vacant {
            true => Some(*vacant_since.get_or_insert(now)),
            false => {
                *vacant_since = None;
                None
            }
        }
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

    /// Records what a check found.
    pub(super) fn record(&mut self, checked: Result<(), Finding>) {
        if let Err(Finding { invariant, details }) = checked {
            self.violate(invariant, details);
        }
    }

    pub(super) fn capacity(&self, lease: &str) -> u32 {
        self.plan.lease(lease).map_or(0, |lease| lease.capacity)
    }

    pub(super) fn check_grant(&mut self, owner: MemberIndex, lease: &Name, token: FencingToken) {
        let grant = ObservedGrant {
            owner,
            lease,
            token,
            capacity: self.capacity(lease),
        };
        let checked = self.invariants.record_grant(&grant);
        self.record(checked);
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
        let has_quorum = self.has_quorum();
        for (index, lease) in self.plan.leases.iter().enumerate() {
            let is_wanted = has_quorum && self.is_wanted(&lease.target);
            let is_vacant = is_wanted && self.count_holders(&lease.name) == 0;
            let now = self.scheduler.now();
            if let Some(since) = self.invariants.record_vacancy(index, now, is_vacant) {
                self.check_vacancy_since(lease, since);
            }
        }
    }

    fn check_vacancy_since(&mut self, lease: &PlannedLease, since: Duration) {
        let now = self.scheduler.now();
        let faults_end = self.plan.faults_end();
        self.outcome.longest_vacancy = self.outcome.longest_vacancy.max(now - since);
        if now <= faults_end {
            return;
        }
        let vacancy = now - since.max(faults_end);
        let longest = &mut self.outcome.longest_vacancy_after_faults;
        *longest = vacancy.max(*longest);
        if vacancy.as_secs_f64() > self.plan.bounds.vacancy {
            let details = format!("{} has had no holder for {vacancy:?}", lease.name);
            self.violate(LeaseInvariant::VacancyBounded, details);
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
