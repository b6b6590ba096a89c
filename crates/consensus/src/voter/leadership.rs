//! Elections and leadership: how long a follower waits before it campaigns, when a leader starts to
//! expire leases, and to which voter it transfers leadership.

use raft::StateRole;

/// The random election timeout (Raft, section 5.2), sampled for each term and role.
///
/// The crate `raft` samples its timeouts from its own random source. The voter replaces each of
/// them with a timeout sampled from its seed, so that a simulation repeats exactly.
pub(super) struct ElectionTimeout {
    random: fastrand::Rng,
    sampled_for: (u64, StateRole),
    /// Zero before the first sample.
    ticks: usize,
}

impl ElectionTimeout {
    pub(super) fn new(seed: u64) -> Self {
        ElectionTimeout {
            random: fastrand::Rng::with_seed(seed),
            sampled_for: (0, StateRole::default()),
            ticks: 0,
        }
    }

    /// The timeout in ticks for a term and role: at least `election_ticks`, and less than twice as
    /// many.
    pub(super) fn ticks(&mut self, term: u64, role: StateRole, election_ticks: usize) -> usize {
        if self.ticks == 0 || self.sampled_for != (term, role) {
            self.sampled_for = (term, role);
            self.ticks = self.random.usize(election_ticks..2 * election_ticks);
        }
        self.ticks
    }
}

/// A voter's role in the consensus.
#[derive(Clone, Copy, Debug)]
pub(super) struct Role {
    pub(super) term: u64,
    pub(super) is_leader: bool,
    /// Whether the voter has applied an entry of its current term.
    pub(super) has_applied_own_term: bool,
}

/// The start or end of a voter's [`Leadership`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeadershipChange {
    Began { term: u64 },
    Ended,
}

/// Whether the voter tracks the TTLs of leases as the leader. When leadership ends, the voter drops
/// its pending reads.
///
/// It begins later than [`Voter::is_leader`](crate::Voter::is_leader), which is Raft's own state.
/// The voter accepts proposals and reads and responds to commands by that state.
///
/// It begins when the leader applies the first entry of its own term: only then has it applied all
/// entries that were committed before (Raft, sections 5.4.2 and 8). A leader that expired leases
/// from its election on could expire an owner whose renewal it has not applied yet.
#[derive(Default)]
pub(super) struct Leadership {
    /// The term in which the voter leads and tracks TTLs.
    term: Option<u64>,
}

impl Leadership {
    /// Updates leadership for the current role. Returns the change, if any.
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

/// The replication progress of another voter, as known to the leader.
#[derive(Clone, Copy, Debug)]
pub(super) struct FollowerProgress {
    pub(super) id: u64,
    /// The index of the last entry that is known to match the leader's log.
    pub(super) matched_index: u64,
    /// Whether the follower has responded within the last election timeout.
    pub(super) is_active: bool,
}

/// The voter to transfer leadership to: the active follower with the highest matched index and, of
/// those with the same index, the highest id.
pub(super) fn transfer_target(followers: impl Iterator<Item = FollowerProgress>) -> Option<u64> {
    followers
        .filter(|follower| follower.is_active)
        .max_by_key(|follower| (follower.matched_index, follower.id))
        .map(|follower| follower.id)
}
