//! The controller's clock and its timers, and how the controller learns of the shutdown notice.

use std::time::{Duration, Instant};

use tulipgap::{Event, Gauges};

use super::RegistryState;

/// A shutdown notice: the time of its receipt, and the time from then to the termination.
#[derive(Clone, Copy)]
pub(super) struct ShutdownNotice {
    received_at: Instant,
    termination: Duration,
}

impl ShutdownNotice {
    /// The event for the controller. The drain grace counts from the receipt of the notice, even if
    /// the controller is notified later.
    fn event(self) -> Event {
        let since = self.received_at.elapsed();
        Event::ShutdownNotice {
            since,
            left: self.termination.saturating_sub(since),
        }
    }
}

impl RegistryState {
    /// The time on the controller's clock.
    pub(in crate::requests) fn now(&self) -> Duration {
        self.running
            .as_ref()
            .map_or(Duration::ZERO, |running| running.started_at.elapsed())
    }

    /// The time until the next timer is due; `None` if no timer is set, which is the case before
    /// the controller has started.
    pub(in crate::requests) fn until_next_timer(&self) -> Option<Duration> {
        self.timers.until_next(self.now())
    }

    /// Notifies the controller if a timer is due.
    pub(in crate::requests) fn fire_timers(&mut self, gauges: Gauges) {
        let now = self.now();
        if self.timers.take_due(now) {
            self.notify_controller(Event::TimerFired { gauges });
        }
    }

    /// Stores the shutdown notice, and notifies the controller now or when it starts.
    pub(in crate::requests) fn shutdown_notice(
        &mut self,
        received_at: Instant,
        termination: Duration,
    ) {
        self.shutdown = Some(ShutdownNotice {
            received_at,
            termination,
        });
        self.forward_shutdown_notice();
    }

    /// Notifies the controller of the shutdown notice, if one was received and the controller has
    /// started.
    pub(super) fn forward_shutdown_notice(&mut self) {
        if let Some(notice) = self.shutdown {
            self.notify_controller(notice.event());
        }
    }
}
