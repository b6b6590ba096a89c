//! Anti-entropy: at intervals two members exchange their complete state (memberlist's push-pull).
//!
//! **Decision**: when this node exchanges its state, and with which nodes.
//!
//! **When it binds**: every push-pull interval on average, and in every protocol period while the
//! node has not joined yet.
//!
//! **Failure it guards against**: an update may not have reached a member after its last
//! transmission. After a long partition, the halves of a cluster have declared each other dead and
//! no longer probe each other. The symptom is views that still differ after the partition has
//! healed. A node in a partitioned zone that tried one seed at a time did not join its zone,
//! because its attempts went to seeds on the other side of the partition.
//!
//! **Why it holds**: a complete state omits no member. One dead member, or one seed at which no
//! member is known, is contacted each time, so that the halves find each other. A node that has not
//! joined contacts all of these, so one that answers is enough.
//!
//! **Price**: in each interval every member sends a message whose size grows with the cluster to a
//! live member, and one more message to a contact that may not answer.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::node::Recipient;

/// The minimum time between two exchanges, as a fraction of the interval.
const MIN_JITTER: f64 = 0.75;

/// The width of the range from which the time between two exchanges is sampled, as a fraction of
/// the interval. The jitter keeps members that start together from exchanging at the same time.
const JITTER_WIDTH: f64 = 0.5;

/// When the next exchange is due.
#[derive(Default)]
pub(crate) struct PushPullSchedule {
    /// On the clock of the events.
    next_at: Duration,
}

impl PushPullSchedule {
    /// Sets the time of the first exchange.
    pub(crate) fn start_at(&mut self, at: Duration) {
        self.next_at = at;
    }

    /// Whether an exchange is due. It always is before the node has joined.
    pub(crate) fn is_due(&self, now: Duration, has_joined: bool) -> bool {
        now >= self.next_at || !has_joined
    }

    /// Samples the time of the next exchange.
    pub(crate) fn plan_next(&mut self, now: Duration, interval: Duration, rng: &mut fastrand::Rng) {
        let jitter = MIN_JITTER + rng.f64() * JITTER_WIDTH;
        self.next_at = now + interval.mul_f64(jitter);
    }
}

/// The nodes with which this node may exchange its state.
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

/// The nodes with which this node exchanges its state now.
pub(crate) struct Partners {
    /// A live member, if there is one.
    pub(crate) live: Option<Recipient>,
    /// Dead members, and seeds at which no member is known, that are contacted in case they answer.
    pub(crate) rejoin: Vec<Recipient>,
}

/// Selects one live member, and one dead member or unknown seed through which the halves of a
/// partitioned cluster may find each other. Before this node has joined, all dead members and
/// unknown seeds are selected.
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

/// The seeds at which no member is known, except the address of this node. A dead member at the
/// address of a seed is contacted by its name: a contact without a name receives only a join
/// request, and would not learn that it was declared dead.
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
