//! The driver of a run: passes events to the processes, and converts their actions into messages,
//! timers and views.

use std::net::SocketAddr;

use tulipgap_membership::{Action, Config, Event, MemberState, Message};

use super::processes::{Arrival, PendingEvents, Startup};
use super::{MembershipSimulation, SimulationEvent};
use crate::plan::{MemberIndex, seed_members};
use crate::scheduler::ProcessGeneration;

impl MembershipSimulation<'_> {
    pub(super) fn start(&mut self, member: MemberIndex) {
        self.checker.reset_observer(member);
        self.views.clear(member);
        let members = self.network.members();
        let seeds = seed_members(members)
            .map(|index| self.processes[index].address)
            .collect();
        let startup = Startup {
            member: &members[member],
            config: Config {
                seeds,
                ..self.plan.membership.clone()
            },
            seed: self.rng.u64(..),
        };
        let detection = self.processes[member].start(self.scheduler.now(), startup);
        self.detections.extend(detection);
        self.handle_membership_event(member, Event::Started);
    }

    pub(super) fn resume(&mut self, member: MemberIndex) {
        let Some(PendingEvents {
            has_timer,
            messages,
        }) = self.processes[member].resume()
        else {
            return;
        };
        self.checker.reset_observer(member);
        if has_timer {
            self.handle_membership_event(member, Event::TimerExpired);
        }
        for (from, message) in messages {
            self.receive(member, from, message);
        }
    }

    pub(super) fn expire_timer(&mut self, member: MemberIndex, generation: ProcessGeneration) {
        if self.processes[member].accept_timer(generation) {
            self.handle_membership_event(member, Event::TimerExpired);
        }
    }

    pub(super) fn deliver(&mut self, to: MemberIndex, from: MemberIndex, message: Message) {
        match self.processes[to].accept_message(from, message) {
            Arrival::Accepted(message) => self.receive(to, from, message),
            Arrival::Queued => {}
            Arrival::AtDeadProcess(message) => {
                let dead = &self.network.members()[to].name;
                let answer = self
                    .bug
                    .and_then(|bug| bug.answer_for_dead_member(dead, &message));
                if let Some(answer) = answer {
                    self.send(to, self.processes[from].address, answer);
                }
            }
        }
    }

    fn receive(&mut self, member: MemberIndex, from: MemberIndex, message: Message) {
        let from = self.processes[from].address;
        self.handle_membership_event(member, Event::Received { from, message });
    }

    fn handle_membership_event(&mut self, member: MemberIndex, event: Event) {
        let now = self.scheduler.now();
        let process = &mut self.processes[member];
        let (generation, started_at) = (process.generation, process.started_at);
        for action in process.handle_event(now, event) {
            match action {
                Action::Send { to, message } => self.send(member, to, message),
                Action::SetTimer { at } => {
                    let event = SimulationEvent::TimerExpired { generation };
                    self.scheduler.schedule(started_at + at, member, event);
                }
                Action::StateChanged { name, state, .. } => self.change_view(member, &name, state),
                Action::NameConflict { .. } | Action::MetadataRejected { .. } => {}
            }
        }
    }

    fn send(&mut self, from: MemberIndex, to: SocketAddr, mut message: Message) {
        self.network.count_message();
        let Some(&to) = self.index_by_address.get(&to) else {
            return;
        };
        let now = self.scheduler.now();
        if let Some(bug) = self.bug {
            if bug.is_mute(now, from) {
                return;
            }
            bug.strip_updates(&mut message);
        }
        for transit in self.network.sample_transits(now, from, to, &mut self.rng) {
            let event = SimulationEvent::Deliver {
                from,
                message: message.clone(),
            };
            self.scheduler.schedule_in(transit, to, event);
        }
    }

    fn change_view(&mut self, observer: MemberIndex, name: &str, state: MemberState) {
        let now = self.scheduler.now();
        self.fingerprint
            .mix([observer as u64, state as u64, now.as_micros() as u64]);
        let Some(subject) = self.views.record(observer, name, state) else {
            return;
        };
        if state != MemberState::Dead {
            return;
        }
        let is_dead = self.processes[subject].record_detection(now, observer);
        if !is_dead && self.is_reachable(observer, subject) {
            self.false_deaths += 1;
        }
    }

    pub(super) fn is_reachable(&self, a: MemberIndex, b: MemberIndex) -> bool {
        self.processes[a].is_running()
            && self.processes[b].is_running()
            && self.network.is_connected(self.scheduler.now(), a, b)
    }
}
