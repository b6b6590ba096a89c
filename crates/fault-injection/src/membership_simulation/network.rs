//! The simulated network between members.

use std::net::SocketAddr;
use std::time::Duration;

use tulipgap_membership::{Message, MessageBody};

use super::{MembershipBug, MembershipSimulation, SimulationEvent};
use crate::plan::MemberIndex;

/// From then on the member that [`MembershipBug::MuteMember`] is about sends nothing.
const MUTE_FROM: Duration = Duration::from_secs(10);

impl MembershipSimulation<'_> {
    fn is_link_open(&self, from: MemberIndex, to: MemberIndex) -> bool {
        let now = self.scheduler.now().as_secs_f64();
        self.plan
            .is_link_open(now, &self.members[from], &self.members[to])
    }

    pub(super) fn is_running(&self, member: MemberIndex) -> bool {
        let process = &self.processes[member];
        process.membership.is_some() && !process.is_paused
    }

    pub(super) fn is_reachable(&self, a: MemberIndex, b: MemberIndex) -> bool {
        self.is_running(a)
            && self.is_running(b)
            && self.is_link_open(a, b)
            && self.is_link_open(b, a)
    }

    pub(super) fn send(&mut self, from: MemberIndex, to: SocketAddr, mut message: Message) {
        self.messages += 1;
        let Some(&to) = self.index_by_address.get(&to) else {
            return;
        };
        let now = self.scheduler.now();
        match self.bug {
            Some(MembershipBug::MuteMember) if from == 0 && now >= MUTE_FROM => return,
            Some(MembershipBug::NoDissemination) => {
                message
                    .updates
                    .retain(|update| update.node.name == message.from);
            }
            _ => {}
        }
        let (from_member, to_member) = (&self.members[from], &self.members[to]);
        for transit in
            self.plan
                .draw_transits(now.as_secs_f64(), from_member, to_member, &mut self.rng)
        {
            let event = SimulationEvent::Deliver {
                from,
                message: message.clone(),
            };
            self.scheduler.schedule_in(transit, to, event);
        }
    }

    /// Answers pings in the place of a dead member, where that bug is injected.
    pub(super) fn answer_for_dead_member(
        &mut self,
        dead: MemberIndex,
        from: MemberIndex,
        message: &Message,
    ) {
        let MessageBody::Ping { sequence_number } = message.body else {
            return;
        };
        if self.bug != Some(MembershipBug::DeadMemberAnswers) {
            return;
        }
        let answer = Message {
            from: self.members[dead].name.as_str().into(),
            to: Some(message.from.clone()),
            body: MessageBody::Ack { sequence_number },
            updates: Vec::new(),
        };
        self.send(dead, self.processes[from].address, answer);
    }
}
