//! The network of both simulations: which messages arrive, and when each copy does. Messages in
//! flight are events of the scheduler.

use std::time::Duration;

use crate::plan::{Member, MemberIndex, Plan};

/// The longest time within which all members of a run start, in seconds.
const START_SPREAD_SECONDS: f64 = 0.2;

/// Draws when a member starts, since the start of the run.
pub(crate) fn draw_start_time(rng: &mut fastrand::Rng) -> Duration {
    Duration::from_secs_f64(rng.f64() * START_SPREAD_SECONDS)
}

/// The links between the members of a plan. Owns the count of messages.
pub(crate) struct SimulatedNetwork<'a> {
    plan: &'a Plan,
    members: Vec<Member>,
    messages: u64,
}

impl<'a> SimulatedNetwork<'a> {
    pub(crate) fn new(plan: &'a Plan) -> Self {
        SimulatedNetwork {
            plan,
            members: plan.members(),
            messages: 0,
        }
    }

    pub(crate) fn members(&self) -> &[Member] {
        &self.members
    }

    pub(crate) fn index_of(&self, name: &str) -> Option<MemberIndex> {
        self.members.iter().position(|member| member.name == name)
    }

    /// Counts a message that is sent.
    pub(crate) fn count_message(&mut self) {
        self.messages += 1;
    }

    /// The messages that were counted.
    pub(crate) fn messages(&self) -> u64 {
        self.messages
    }

    /// Whether messages arrive in both directions between two members.
    pub(crate) fn is_connected(&self, now: Duration, a: MemberIndex, b: MemberIndex) -> bool {
        let now = now.as_secs_f64();
        let (a, b) = (&self.members[a], &self.members[b]);
        self.plan.is_link_open(now, a, b) && self.plan.is_link_open(now, b, a)
    }

    /// Draws for each copy of a message that arrives how long it takes.
    pub(crate) fn draw_transits(
        &self,
        now: Duration,
        from: MemberIndex,
        to: MemberIndex,
        rng: &mut fastrand::Rng,
    ) -> impl Iterator<Item = Duration> {
        let (from, to) = (&self.members[from], &self.members[to]);
        self.plan.draw_transits(now.as_secs_f64(), from, to, rng)
    }
}
