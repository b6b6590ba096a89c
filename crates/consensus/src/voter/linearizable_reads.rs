//! Linearizable reads by Raft's read index: a read is answered once a quorum has confirmed that the
//! leader still leads, and everything that was committed when it came is applied.

use raft::StateRole;
use serde::{Deserialize, Serialize};
use tulipgap_leases::{Name, RequestId};

use super::Voter;
use crate::event::{Action, MAX_LISTED_LEASES};

/// Reads that are confirmed and wait for entries to be applied.
const MAX_PENDING_READS: usize = 256;

/// A read. The consensus carries it in its messages, serialized by position.
#[derive(Serialize, Deserialize)]
pub(super) struct ReadRequest {
    pub(super) from: Name,
    pub(super) request: RequestId,
    pub(super) lease: Option<Name>,
}

/// A read that a quorum has confirmed.
pub(super) struct PendingRead {
    /// The entry that must be applied before.
    pub(super) index: u64,
    pub(super) read: ReadRequest,
}

impl Voter {
    pub(super) fn read(&mut self, read: ReadRequest, actions: &mut Vec<Action>) {
        if self.has_stale_reads() && self.is_leader() {
            return self.respond_read(read, actions);
        }
        let leader = self.leader();
        match &mut self.node {
            Some(node)
                if node.raft.state == StateRole::Leader
                    && self.pending_reads.len() < MAX_PENDING_READS =>
            {
                node.read_index(postcard::to_stdvec(&read).unwrap_or_default());
            }
            _ => {
                let (to, request) = (read.from, read.request);
                actions.push(Action::RejectNotLeader {
                    to,
                    request,
                    leader,
                });
            }
        }
    }

    #[cfg(feature = "injected-bugs")]
    fn has_stale_reads(&self) -> bool {
        self.injected_bug == Some(crate::InjectedBug::StaleRead)
    }

    #[cfg(not(feature = "injected-bugs"))]
    fn has_stale_reads(&self) -> bool {
        false
    }

    /// Takes up the reads that a quorum has confirmed.
    pub(super) fn add_confirmed_reads(&mut self, confirmed: Vec<raft::ReadState>) {
        for state in confirmed {
            if let Ok(read) = postcard::from_bytes(&state.request_ctx) {
                self.pending_reads.push(PendingRead {
                    index: state.index,
                    read,
                });
            }
        }
    }

    /// Responds to the reads whose entries are applied.
    pub(super) fn respond_pending_reads(&mut self, actions: &mut Vec<Action>) {
        for pending in std::mem::take(&mut self.pending_reads) {
            match pending.index <= self.applied_index {
                true => self.respond_read(pending.read, actions),
                false => self.pending_reads.push(pending),
            }
        }
    }

    fn respond_read(&self, read: ReadRequest, actions: &mut Vec<Action>) {
        let state = &self.state.leases;
        let leases = match &read.lease {
            Some(name) => state
                .lease(name)
                .map(|lease| (name.clone(), lease.clone()))
                .into_iter()
                .collect(),
            None => {
                let all = state
                    .leases()
                    .map(|(name, lease)| (name.clone(), lease.clone()));
                all.take(MAX_LISTED_LEASES).collect()
            }
        };
        actions.push(Action::RespondRead {
            to: read.from,
            request: read.request,
            leases,
        });
    }
}
