//! What the faults of a plan do to messages between two members: whether a link is cut, and how
//! many copies of a message arrive when. Where several faults degrade one link, the worst of each
//! quality counts.

use std::time::Duration;

use super::{Fault, Member, Plan};

/// The shortest time that a message takes, in seconds, where links are not degraded.
const MIN_LATENCY_SECONDS: f64 = 0.0002;
/// The longest time that a message takes, in seconds, where links are not degraded.
const MAX_LATENCY_SECONDS: f64 = 0.002;

/// The shortest delay that is drawn, as a fraction of the mean; the longest is one more.
const MIN_DELAY_FRACTION: f64 = 0.5;

/// How links from one member to another are degraded at some time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LinkQuality {
    /// The mean delay beside the usual latency, in seconds.
    pub(crate) delay: f64,
    /// The fraction of messages that is lost.
    pub(crate) loss: f64,
    /// The fraction of messages that is delivered twice.
    pub(crate) duplication: f64,
}

impl LinkQuality {
    /// Draws how many copies of a message are sent.
    pub(crate) fn draw_copies(&self, rng: &mut fastrand::Rng) -> usize {
        1 + usize::from(rng.f64() < self.duplication)
    }

    /// Draws the delay beside the usual latency, in seconds.
    pub(crate) fn draw_delay(&self, rng: &mut fastrand::Rng) -> f64 {
        self.delay * (MIN_DELAY_FRACTION + rng.f64())
    }

    /// Draws whether a message is lost.
    pub(crate) fn draw_loss(&self, rng: &mut fastrand::Rng) -> bool {
        rng.f64() < self.loss
    }

    /// Draws for one copy in simulated time how long it takes, or `None` where it is lost. Each
    /// copy takes its own time, so messages overtake each other.
    fn draw_transit(&self, rng: &mut fastrand::Rng) -> Option<Duration> {
        let latency = MIN_LATENCY_SECONDS + (MAX_LATENCY_SECONDS - MIN_LATENCY_SECONDS) * rng.f64();
        let transit = latency + self.draw_delay(rng);
        let is_lost = self.draw_loss(rng);
        (!is_lost).then(|| Duration::from_secs_f64(transit))
    }
}

impl Plan {
    /// Whether partitions let through at that time what one member sends to another. `now` is in
    /// seconds.
    pub(crate) fn is_link_open(&self, now: f64, from: &Member, to: &Member) -> bool {
        !self.faults.iter().any(|fault| match fault {
            Fault::Partition {
                window,
                a,
                b,
                one_way,
                flap,
            } => {
                let is_cut = window.contains(now)
                    && flap
                        .is_none_or(|flap| (((now - window.from) / flap) as u64).is_multiple_of(2));
                let is_forward = from.matches(a) && to.matches(b);
                let is_backward = from.matches(b) && to.matches(a);
                is_cut && from.name != to.name && (is_forward || is_backward && !one_way)
            }
            _ => false,
        })
    }

    /// Whether some partition is under way, flapping or not. `now` is in seconds.
    pub(crate) fn has_partition(&self, now: f64) -> bool {
        self.faults
            .iter()
            .any(|fault| matches!(fault, Fault::Partition { window, .. } if window.contains(now)))
    }

    /// The quality of the links from one member to another: the worst of each that a fault asks for
    /// at that time. `now` is in seconds.
    pub(crate) fn link_quality(&self, now: f64, from: &Member, to: &Member) -> LinkQuality {
        let mut quality = LinkQuality::default();
        for fault in &self.faults {
            if let Fault::DegradedLinks {
                window,
                target,
                loss,
                delay_ms,
                duplication,
            } = fault
                && window.contains(now)
                && (from.matches(target) || to.matches(target))
            {
                quality.delay = f64::max(quality.delay, *delay_ms / 1e3);
                quality.loss = f64::max(quality.loss, *loss);
                quality.duplication = f64::max(quality.duplication, *duplication);
            }
        }
        quality
    }

    /// Draws for each copy of a message in simulated time that arrives how long it takes. Nothing
    /// arrives over a link that is cut at that time. `now` is in seconds.
    pub(crate) fn draw_transits(
        &self,
        now: f64,
        from: &Member,
        to: &Member,
        rng: &mut fastrand::Rng,
    ) -> impl Iterator<Item = Duration> {
        let quality = self.link_quality(now, from, to);
        let is_open = self.is_link_open(now, from, to);
        let copies = quality.draw_copies(rng);
        (0..copies).filter_map(move |_| quality.draw_transit(rng).filter(|_| is_open))
    }
}
