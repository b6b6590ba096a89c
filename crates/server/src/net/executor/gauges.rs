//! The executor's last reading of its gauges, for timers that do not receive a new one in time.

use std::time::{Duration, Instant};

use crate::requests::Gauges;

/// A reading is used instead of a new one only while it is younger than this.
pub(super) const MAX_GAUGES_AGE: Duration = Duration::from_millis(500);

/// The last reading and when it was received.
#[derive(Default)]
pub(super) struct LastGauges(Option<(Instant, Gauges)>);

impl LastGauges {
    /// Stores a reading that was received now.
    pub(super) fn set(&mut self, gauges: Gauges) {
        self.0 = Some((Instant::now(), gauges));
    }

    /// The reading that is valid now.
    pub(super) fn get(&self) -> Gauges {
        self.at(Instant::now())
    }

    /// The reading that is valid at `now`; empty once the last one is `MAX_GAUGES_AGE` old. While a
    /// link is broken, an old reading of idle cores would make the controller admit more.
    pub(super) fn at(&self, now: Instant) -> Gauges {
        let recent = self
            .0
            .filter(|(taken, _)| now.saturating_duration_since(*taken) < MAX_GAUGES_AGE);
        recent.map_or_else(Gauges::default, |(_, gauges)| gauges)
    }

    #[cfg(test)]
    pub(super) fn taken_at(taken: Instant, gauges: Gauges) -> Self {
        LastGauges(Some((taken, gauges)))
    }
}
