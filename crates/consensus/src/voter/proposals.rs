//! Commands: proposed by the leader, and applied by all once they are committed.

use protobuf::Message as _;
use raft::prelude::{ConfChange, ConfChangeV2, Entry, EntryType};
use serde::{Deserialize, Serialize};
use tulipgap_leases::{Command, Name, RequestId};

use super::Voter;
use crate::event::{Action, InvalidData, Notice};

/// A command and whom to respond to. An entry of the log is a list of them, serialized by position.
#[derive(Serialize, Deserialize)]
pub(super) struct Proposal {
    /// Empty where the leader itself proposes.
    pub(super) from: Name,
    pub(super) request: RequestId,
    pub(super) command: Command,
}

impl Voter {
    /// Proposes commands as one entry.
    pub(super) fn propose(&mut self, proposals: Vec<Proposal>, actions: &mut Vec<Action>) {
        if proposals.is_empty() {
            return;
        }
        let data = postcard::to_stdvec(&proposals).unwrap_or_default();
        let is_proposed = self
            .node
            .as_mut()
            .is_some_and(|node| node.propose(Vec::new(), data).is_ok());
        if !is_proposed {
            // More is proposed than is committed: whoever sent these sends them again.
            actions.extend(
                proposals
                    .into_iter()
                    .map(|proposal| Action::RejectNotLeader {
                        to: proposal.from,
                        request: proposal.request,
                        leader: None,
                    }),
            );
        }
    }

    /// Proposes to expire the owners whose TTL is over. Only a leader has any.
    pub(super) fn propose_expirations(&mut self, actions: &mut Vec<Action>) {
        let nobody: Name = "".into();
        let expirations = self.expiry.due_expirations(self.now).into_iter();
        let proposals = expirations
            .map(|command| Proposal {
                from: nobody.clone(),
                request: RequestId::default(),
                command,
            })
            .collect();
        self.propose(proposals, actions);
    }

    /// Applies committed entries.
    pub(super) fn apply_entries(&mut self, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        for entry in entries {
            self.applied_index = entry.index;
            match entry.get_entry_type() {
                // A new leader commits an empty entry.
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => self.apply_proposals(&entry, actions),
                EntryType::EntryConfChange => {
                    if let Ok(change) = ConfChange::parse_from_bytes(&entry.data) {
                        self.apply_change(&change);
                    }
                }
                EntryType::EntryConfChangeV2 => {
                    if let Ok(change) = ConfChangeV2::parse_from_bytes(&entry.data)
                        && let Some(node) = &mut self.node
                    {
                        let _ = node.apply_conf_change(&change);
                    }
                }
            }
        }
    }

    fn apply_proposals(&mut self, entry: &Entry, actions: &mut Vec<Action>) {
        let Ok(proposals) = postcard::from_bytes::<Vec<Proposal>>(&entry.data) else {
            let invalid = InvalidData::Entry { index: entry.index };
            return actions.push(Action::Notice(Notice::InvalidData(invalid)));
        };
        for proposal in proposals {
            self.apply_proposal(proposal, actions);
        }
    }

    fn apply_proposal(&mut self, proposal: Proposal, actions: &mut Vec<Action>) {
        let Proposal {
            from,
            request,
            command,
        } = proposal;
        let response = self.state.leases.apply(&command);
        let lease = command.lease();
        self.expiry
            .command_applied(self.now, lease, &self.state.leases);
        if !self.is_leader() {
            return;
        }
        if !from.is_empty() {
            let incarnation = command.incarnation();
            actions.push(Action::Respond {
                to: from,
                incarnation,
                request,
                response,
            });
        }
        if !matches!(command, Command::Acquire { .. }) {
            for owner in self.state.leases.next_owners(lease) {
                actions.push(Action::NotifySlotAvailable {
                    to: owner.name.clone(),
                    lease: lease.clone(),
                });
            }
        }
    }
}
