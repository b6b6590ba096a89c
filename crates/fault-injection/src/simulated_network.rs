//! The network of both simulations. It decides which messages arrive and when each copy arrives;
//! messages in flight are events of the scheduler.

use std::time::Duration;

use crate::plan::{Member, MemberIndex, Plan};

/// The maximum time until a member starts, in seconds since the start of the run.
const START_SPREAD_SECONDS: f64 = 0.2;

/// Samples the time at which a member starts, since the start of the run.
pub(crate) fn sample_start_time(rng: &mut fastrand::Rng) -> Duration {
    Duration::from_secs_f64(rng.f64() * START_SPREAD_SECONDS)
}

/// The links between the members of a plan. It owns the message counter.
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

    /// Counts a sent message.
    pub(crate) fn count_message(&mut self) {
        self.messages += 1;
    }

    /// The number of messages sent.
    pub(crate) fn messages(&self) -> u64 {
        self.messages
    }

    /// Whether no partition blocks messages between two members in either direction.
    pub(crate) fn is_connected(&self, now: Duration, a: MemberIndex, b: MemberIndex) -> bool {
        let now = now.as_secs_f64();
        let (a, b) = (&self.members[a], &self.members[b]);
        self.plan.is_link_open(now, a, b) && self.plan.is_link_open(now, b, a)
    }

    /// Samples the transit time of each copy of a message that arrives.
    pub(crate) fn sample_transits(
        &self,
        now: Duration,
        from: MemberIndex,
        to: MemberIndex,
        rng: &mut fastrand::Rng,
    ) -> impl Iterator<Item = Duration> {
        let (from, to) = (&self.members[from], &self.members[to]);
        self.plan.sample_transits(now.as_secs_f64(), from, to, rng)
    }
}
