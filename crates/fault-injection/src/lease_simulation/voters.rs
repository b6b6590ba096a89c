//! The voters' state machines: events in, actions out, and the invariants of consensus.

use std::hash::{DefaultHasher, Hash, Hasher};

use tulipgap_consensus::{Action, Event, Notice};
use tulipgap_leases::{FencingToken, LeaseStateMachine, Name};

use super::invariants::ObservedLeader;
use super::network::Message;
use super::{LeaseSimulation, ProcessEvent};
use crate::plan::MemberIndex;

impl LeaseSimulation<'_> {
    pub(super) fn handle_voter_event(&mut self, member: MemberIndex, event: Event) {
        let now = self.local_time(member);
        let Some(voter) = &mut self.processes[member].voter else {
            return;
        };
        let applied_before = voter.voter().applied_index();
        let (actions, result) = voter.handle_events(now, vec![event]);
        let applied_index = voter.voter().applied_index();
        if applied_index != applied_before {
            let state_hash = hash_of(voter.voter().leases());
            self.check_replica(member, applied_index, state_hash);
        }
        if result.is_err() {
            self.processes[member].voter = None;
            self.outcome.stopped_voters += 1;
        }
        for action in actions {
            self.perform_voter_action(member, action);
        }
    }

    fn perform_voter_action(&mut self, member: MemberIndex, action: Action) {
        match action {
            Action::Send { to, message } => self.send(member, &to, Message::Peer(message)),
            Action::Respond {
                to,
                incarnation,
                request,
                response,
            } => {
                self.send(
                    member,
                    &to,
                    Message::Response {
                        incarnation,
                        request,
                        response,
                    },
                );
            }
            Action::RejectNotLeader {
                to,
                request,
                leader,
            } => {
                self.send(member, &to, Message::NotLeader { request, leader });
            }
            Action::NotifySlotAvailable { to, lease } => {
                self.send(member, &to, Message::SlotAvailable { lease });
            }
            Action::RespondRead {
                to,
                request,
                leases,
            } => {
                self.send(member, &to, Message::ReadResponse { request, leases });
            }
            Action::SetTimer { at } => {
                let generation = self.processes[member].generation;
                self.schedule_timer(member, at, ProcessEvent::VoterTimer { generation });
            }
            Action::Notice(notice) => self.handle_notice(member, &notice),
            // The durable voter has done these itself.
            Action::AppendRecord(_) | Action::WriteSnapshot(_) | Action::WriteIdentity(_) => {}
        }
    }

    fn handle_notice(&mut self, member: MemberIndex, notice: &Notice) {
        match notice {
            Notice::BecameLeader { term } => {
                self.outcome.elections += 1;
                let now = self.scheduler.now().as_micros() as u64;
                self.fingerprint.mix([member as u64, *term, now]);
                self.check_leader(member, *term);
            }
            Notice::RolledBack { .. } | Notice::InvalidData(_) => self.outcome.stopped_voters += 1,
            _ => {}
        }
    }

    fn check_replica(&mut self, member: MemberIndex, applied_index: u64, state_hash: u64) {
        let name = &self.processes[member].name;
        let checked = self
            .invariants
            .record_replica(name, applied_index, state_hash);
        self.record(checked);
    }

    fn check_leader(&mut self, member: MemberIndex, term: u64) {
        let voter = self.processes[member].voter.as_ref();
        let last_token = voter.map_or(FencingToken(u64::MAX), |voter| {
            voter.voter().leases().last_token()
        });
        let leader = ObservedLeader {
            member,
            term,
            last_token,
        };
        let checked = self.invariants.record_leader(&leader, &self.members);
        self.record(checked);
    }

    /// Has whoever leads replace a voter, as an operator would.
    pub(super) fn replace_voter(&mut self, old: &Name, new: &Name) {
        for member in 0..self.members.len() {
            let voter = self.processes[member].voter.as_ref();
            if voter.is_some_and(|voter| voter.voter().is_leader()) {
                self.handle_voter_event(
                    member,
                    Event::ReplaceVoter {
                        old: old.clone(),
                        new: new.clone(),
                    },
                );
            }
        }
    }
}

fn hash_of(leases: &LeaseStateMachine) -> u64 {
    let mut hasher = DefaultHasher::new();
    leases.hash(&mut hasher);
    hasher.finish()
}
