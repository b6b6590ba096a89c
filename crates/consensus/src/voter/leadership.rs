//! Elections and leadership, and the expiry of leases that goes with it.

use raft::StateRole;

use super::Voter;
use crate::event::{Action, Notice};

/// The random election timeout, drawn anew with each term and role.
#[derive(Default)]
pub(super) struct ElectionTimeout {
    drawn_for: (u64, StateRole),
    /// Zero before the first draw.
    ticks: usize,
}

impl Voter {
    /// The consensus draws its election timeouts from a random source of its own; each is replaced
    /// by one that is drawn from the seed.
    pub(super) fn redraw_election_timeout(&mut self) {
        let Some(node) = &mut self.node else { return };
        let current = (node.raft.term, node.raft.state);
        let election_ticks = self.config.election_ticks as usize;
        let timeout = &mut self.election_timeout;
        if timeout.ticks == 0 || timeout.drawn_for != current {
            timeout.drawn_for = current;
            timeout.ticks = self.random.usize(election_ticks..2 * election_ticks);
        }
        node.raft.set_randomized_election_timeout(timeout.ticks);
    }

    /// Begins or ends the expiry of leases. It begins with the first entry of the leader's own term
    /// that is applied: then everything that was committed before is known.
    pub(super) fn follow_role(&mut self, actions: &mut Vec<Action>) {
        let Some(node) = &self.node else { return };
        let term = node.raft.term;
        let leads = node.raft.state == StateRole::Leader && node.raft.apply_to_current_term();
        if leads && self.leading_term != Some(term) {
            self.leading_term = Some(term);
            self.state.leases.leader_changed();
            self.expiry.start_leading(self.now, &self.state.leases);
            actions.push(Action::Notice(Notice::BecameLeader { term }));
        } else if !leads && self.leading_term.is_some() {
            self.leading_term = None;
            self.expiry.stop_leading();
            self.pending_reads.clear();
            actions.push(Action::Notice(Notice::LostLeadership));
        }
    }

    /// Hands leadership to the active voter whose log has come furthest.
    pub(super) fn transfer_leadership(&mut self) {
        let Some(node) = &mut self.node else { return };
        if node.raft.state != StateRole::Leader {
            return;
        }
        let own_id = node.raft.id;
        let active = node
            .raft
            .prs()
            .iter()
            .filter(|(id, progress)| **id != own_id && progress.recent_active);
        let furthest = active
            .max_by_key(|(id, progress)| (progress.matched, **id))
            .map(|(id, _)| *id);
        if let Some(id) = furthest {
            node.transfer_leader(id);
        }
    }
}
