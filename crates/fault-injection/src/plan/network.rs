//! The effect of a plan's faults on messages between two members: whether a link is cut, how many
//! copies of a message arrive, and when. If several faults degrade a link, the worst value of each
//! quality counts.

use std::time::Duration;

use super::{Fault, Member, Plan};

/// The minimum latency of a message on links that are not degraded, in seconds.
const MIN_LATENCY_SECONDS: f64 = 0.0002;
/// The maximum latency of a message on links that are not degraded, in seconds.
const MAX_LATENCY_SECONDS: f64 = 0.002;

/// The minimum sampled delay as a fraction of the mean delay; the maximum is this fraction plus 1.
const MIN_DELAY_FRACTION: f64 = 0.5;

/// The quality of the link from one member to another at some time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LinkQuality {
    /// The mean delay that is added to the usual latency, in seconds.
    pub(crate) delay: f64,
    /// The fraction of messages that are lost.
    pub(crate) loss: f64,
    /// The fraction of messages that are delivered twice.
    pub(crate) duplication: f64,
}

impl LinkQuality {
    /// Samples the number of copies of a message.
    pub(crate) fn sample_copies(&self, rng: &mut fastrand::Rng) -> usize {
        1 + usize::from(rng.f64() < self.duplication)
    }

    /// Samples the delay that is added to the usual latency, in seconds.
    pub(crate) fn sample_delay(&self, rng: &mut fastrand::Rng) -> f64 {
        self.delay * (MIN_DELAY_FRACTION + rng.f64())
    }

    /// Samples whether a message is lost.
    pub(crate) fn sample_loss(&self, rng: &mut fastrand::Rng) -> bool {
        rng.f64() < self.loss
    }

    /// Samples the transit time of one copy in simulated time; `None` if the copy is lost. Each
    /// copy has its own transit time, so messages can overtake each other.
    fn sample_transit(&self, rng: &mut fastrand::Rng) -> Option<Duration> {
        let latency = MIN_LATENCY_SECONDS + (MAX_LATENCY_SECONDS - MIN_LATENCY_SECONDS) * rng.f64();
        let transit = latency + self.sample_delay(rng);
        let is_dropped = self.sample_loss(rng);
        (!is_dropped).then(|| Duration::from_secs_f64(transit))
    }
}

impl Plan {
    /// Whether no partition blocks messages from one member to another at that time. `now` is in
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

    /// Whether any partition is active at that time, including flapping ones. `now` is in seconds.
    pub(crate) fn has_partition(&self, now: f64) -> bool {
        self.faults
            .iter()
            .any(|fault| matches!(fault, Fault::Partition { window, .. } if window.contains(now)))
    }

    /// The quality of the link from one member to another at that time: the worst value of each
    /// quality over all faults. `now` is in seconds.
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

    /// Samples the transit time of each copy of a message that arrives, in simulated time. No copy
    /// arrives over a link that is cut at that time. `now` is in seconds.
    pub(crate) fn sample_transits(
        &self,
        now: f64,
        from: &Member,
        to: &Member,
        rng: &mut fastrand::Rng,
    ) -> impl Iterator<Item = Duration> {
        let quality = self.link_quality(now, from, to);
        let is_open = self.is_link_open(now, from, to);
        let copies = quality.sample_copies(rng);
        (0..copies).filter_map(move |_| quality.sample_transit(rng).filter(|_| is_open))
    }
}
