//! Anti-entropy: at intervals two members exchange their complete state (memberlist's push-pull).
//!
//! **Decision**: when this node exchanges its state, and with whom.
//!
//! **When it binds**: every push-pull interval on average, and in every protocol period while the
//! node has not joined yet.
//!
//! **Failure it guards against**: an update that was sent its number of times may have missed a
//! member, and the halves of a cluster that was cut for long have declared each other dead and
//! probe each other no more. That shows as views that stay different after the cut has healed. A
//! node that tried one seed at a time did not join a zone that was cut off.
//!
//! **Why it holds**: a complete state leaves nothing out. One member that is dead, or a seed that
//! is no member, is tried each time, so that the halves find each other. A node that has not joined
//! tries all of those: one that answers is enough.
//!
//! **Price**: in each interval every member sends a message as large as the cluster to a live
//! member, and one more message to a contact that may not answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::node::Recipient;

/// The least time between two exchanges, as a fraction of the interval.
const MIN_JITTER: f64 = 0.75;

/// The width of the range from which the time between two exchanges is drawn, as a fraction of the
/// interval. With jitter, members that were started together do not exchange at the same time.
const JITTER_WIDTH: f64 = 0.5;

/// When the next exchange is due.
#[derive(Default)]
pub(crate) struct PushPullSchedule {
    /// On the clock of the events.
    next_at: Duration,
}

impl PushPullSchedule {
    /// Sets the first exchange.
    pub(crate) fn start_at(&mut self, at: Duration) {
        self.next_at = at;
    }

    /// Whether an exchange is due.
    pub(crate) fn is_due(&self, now: Duration, has_joined: bool) -> bool {
        now >= self.next_at || !has_joined
    }

    /// Draws the time of the next exchange.
    pub(crate) fn plan_next(&mut self, now: Duration, interval: Duration, rng: &mut fastrand::Rng) {
        let jitter = MIN_JITTER + rng.f64() * JITTER_WIDTH;
        self.next_at = now + interval.mul_f64(jitter);
    }
}

/// With whom this node may exchange its state.
pub(crate) struct Candidates<'a> {
    /// The members that are alive or suspect.
    pub(crate) live: Vec<Recipient>,
    /// The members that are dead.
    pub(crate) dead: Vec<Recipient>,
    /// The configured addresses at which members may be found.
    pub(crate) seeds: &'a [SocketAddr],
    /// The address of this node, which may be one of the seeds.
    pub(crate) local_address: SocketAddr,
    /// Whether this node has joined the cluster.
    pub(crate) has_joined: bool,
}

/// With whom this node exchanges its state now.
pub(crate) struct Partners {
    /// A live member, where there is one.
    pub(crate) live: Option<Recipient>,
    /// Dead members and seeds at which no member is known, to be tried.
    pub(crate) rejoin: Vec<Recipient>,
}

/// Chooses one live member, and one contact through which the halves of a cluster may find each
/// other; all such contacts where this node has not joined.
pub(crate) fn choose_partners(candidates: Candidates<'_>, rng: &mut fastrand::Rng) -> Partners {
    let has_joined = candidates.has_joined;
    let unknown_seeds = unknown_seeds(&candidates);
    let mut rejoin = candidates.dead;
    rejoin.extend(unknown_seeds);
    let live = pick(candidates.live, rng);
    if has_joined {
        rejoin = pick(rejoin, rng).into_iter().collect();
    }
    Partners { live, rejoin }
}

/// The seeds at which no member is known, without this node itself. A dead member is tried by its
/// name: a seed without a name is only asked to let this node join, and would not learn that it was
/// declared dead.
fn unknown_seeds(candidates: &Candidates<'_>) -> Vec<Recipient> {
    let members = candidates.live.iter().chain(&candidates.dead);
    let addresses: BTreeSet<SocketAddr> = members.map(|recipient| recipient.address).collect();
    let seeds = candidates.seeds.iter().copied();
    seeds
        .filter(|seed| *seed != candidates.local_address && !addresses.contains(seed))
        .map(|address| Recipient {
            name: None,
            address,
        })
        .collect()
}

fn pick(mut recipients: Vec<Recipient>, rng: &mut fastrand::Rng) -> Option<Recipient> {
    if recipients.is_empty() {
        return None;
    }
    let index = rng.usize(0..recipients.len());
    Some(recipients.swap_remove(index))
}
