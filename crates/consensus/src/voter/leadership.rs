//! Elections and leadership: how long a follower waits before it campaigns, from when on a leader
//! expires leases, and to whom it hands leadership over.

use raft::StateRole;

/// The random election timeout (Raft, section 5.2), drawn anew with each term and role.
///
/// The crate `raft` draws its timeouts from a random source of its own. Each is replaced by one
/// that is drawn from the voter's seed, so that a simulation repeats to the last message.
pub(super) struct ElectionTimeout {
    random: fastrand::Rng,
    drawn_for: (u64, StateRole),
    /// Zero before the first draw.
    ticks: usize,
}

impl ElectionTimeout {
    pub(super) fn new(seed: u64) -> Self {
        ElectionTimeout {
            random: fastrand::Rng::with_seed(seed),
            drawn_for: (0, StateRole::default()),
            ticks: 0,
        }
    }

    /// The timeout in ticks for a term and role: from `election_ticks` to less than twice as many.
    pub(super) fn ticks(&mut self, term: u64, role: StateRole, election_ticks: usize) -> usize {
        if self.ticks == 0 || self.drawn_for != (term, role) {
            self.drawn_for = (term, role);
            self.ticks = self.random.usize(election_ticks..2 * election_ticks);
        }
        self.ticks
    }
}

/// A voter's role as the consensus has it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Role {
    pub(super) term: u64,
    pub(super) is_leader: bool,
    /// Whether an entry of its own term is applied.
    pub(super) has_applied_own_term: bool,
}

/// A change of what the voter does as a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeadershipChange {
    Began { term: u64 },
    Ended,
}

/// Whether the voter counts TTLs as the leader. When that ends, its pending reads are dropped.
///
/// This is later than [`Voter::is_leader`](crate::Voter::is_leader), Raft's own state, by which
/// proposals and reads are accepted and commands are responded to.
///
/// It begins with the first entry of the leader's own term that is applied: only then is everything
/// known that was committed before (Raft, sections 5.4.2 and 8). A leader that began at its
/// election could expire an owner whose renewal it has not applied yet.
#[derive(Default)]
pub(super) struct Leadership {
    /// The term in which the voter leads and counts TTLs.
    term: Option<u64>,
}

impl Leadership {
    /// What changes with the present role.
    pub(super) fn update(&mut self, role: Role) -> Option<LeadershipChange> {
        let term = role.term;
        let leads = role.is_leader && role.has_applied_own_term;
        if leads && self.term != Some(term) {
            self.term = Some(term);
            Some(LeadershipChange::Began { term })
        } else if !leads && self.term.is_some() {
            self.term = None;
            Some(LeadershipChange::Ended)
        } else {
            None
        }
    }
}

/// Another voter as the leader knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct FollowerProgress {
    pub(super) id: u64,
    /// The last entry that is known to be in its log.
    pub(super) matched_index: u64,
    /// Whether it has responded within the last election timeout.
    pub(super) is_active: bool,
}

/// To whom leadership is handed over: the active voter whose log has come furthest, of equal ones
/// the one with the highest id.
pub(super) fn transfer_target(followers: impl Iterator<Item = FollowerProgress>) -> Option<u64> {
    followers
        .filter(|follower| follower.is_active)
        .max_by_key(|follower| (follower.matched_index, follower.id))
        .map(|follower| follower.id)
}
