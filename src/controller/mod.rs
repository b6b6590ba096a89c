//! The controller's state and its construction. No decision is taken here: `events.rs` hands each
//! event to the file that decides on it, and `tuning.rs` holds every tuned constant.

mod admission;
mod bookkeeping;
mod caller_feedback;
mod dependency_calls;
mod dispatch;
mod events;
mod health;
mod lifecycle;
mod queueing;
mod tuning;

use std::time::Duration;

use crate::admission::{Memory, TenantQuotas};
use crate::brownout::Brownout;
use crate::caller_feedback::{Feedback, WantedTraffic};
use crate::clock::{Clock, Schedule};
use crate::concurrency::{CoreUsage, RunningLimit, SurvivableConcurrency};
use crate::config::{Cancellation, Config, ConfigError};
use crate::dependency::{CallBudget, UsualCallTime};
use crate::drain::Drain;
use crate::handlers::{HandlerProfile, handler_profiles};
use crate::health::Slowdown;
use crate::idle_timeout::IdleTimeout;
use crate::metrics::Metrics;
use crate::request_table::RequestTable;

/// Decides for one server. It owns all state.
pub struct Controller {
    handlers: Vec<HandlerProfile>,
    priority_levels: usize,
    quotas: TenantQuotas,
    cores: CoreUsage,
    survivable_concurrency: SurvivableConcurrency,
    running_limit: RunningLimit,
    memory: Memory,
    call_budget: CallBudget,
    usual_call_time: UsualCallTime,
    brownout: Brownout,
    slowdown: Slowdown,
    wanted_traffic: WantedTraffic,
    feedback: Feedback,
    max_retry_after: Option<Duration>,
    retries_are_marked: bool,
    idle_timeout: IdleTimeout,
    drain_grace: Duration,
    drain: Drain,
    can_cancel: bool,
    clock: Clock,
    schedule: Schedule,
    metrics: Metrics,
    requests: RequestTable,
    rng: fastrand::Rng,
}

impl Controller {
    /// Creates the controller of a server that starts now.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] that names the field which is out of range.
    pub fn new(config: &Config, seed: u64) -> Result<Self, ConfigError> {
        config.validate()?;
        let (handlers, priority_levels) = handler_profiles(config);
        let schedule = Schedule::new(config.response_slack);
        let call_budget = CallBudget::new(config, &handlers, schedule.tick_interval);
        let metrics = Metrics::new(config.dependency, schedule.tick_interval, priority_levels);
        Ok(Controller {
            priority_levels,
            quotas: TenantQuotas::new(config),
            cores: CoreUsage::new(config.cores),
            survivable_concurrency: SurvivableConcurrency::new(config),
            running_limit: RunningLimit::new(config.cores),
            memory: Memory::new(config),
            brownout: Brownout::new(&handlers),
            slowdown: Slowdown::new(config),
            wanted_traffic: WantedTraffic::new(config.feedback),
            feedback: Feedback::new(config),
            max_retry_after: config.max_retry_after,
            retries_are_marked: config.marks_retries,
            idle_timeout: IdleTimeout::new(config.idle_timeout),
            drain_grace: config.drain_grace,
            drain: Drain::default(),
            can_cancel: config.cancellation != Cancellation::Unsupported,
            clock: Clock::default(),
            requests: RequestTable::default(),
            rng: fastrand::Rng::with_seed(seed),
            handlers,
            call_budget,
            usual_call_time: UsualCallTime::default(),
            metrics,
            schedule,
        })
    }
}
