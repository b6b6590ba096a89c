//! A per-server overload controller. It decides, inside each server of a fleet, which requests that
//! server admits, runs and rejects, and which optional dependency calls it skips under overload.
//!
//! The control loop follows the brownout controllers of Maggio, Klein and Årzén ("Control
//! strategies for predictable brownouts in cloud computing"): a PID controller on the mean response
//! time sets the probability that a request makes its optional calls. Once that probability is
//! zero, a second loop cuts the fraction of requests that is admitted.
//!
//! The crate does no I/O, reads no clock and starts no thread. A host passes [`Event`]s in and
//! carries out the returned [`Action`]s in order. Each process has one [`Controller`], which shares
//! no state with others; the same seed and the same events always produce the same actions.
//!
//! ```
//! use std::time::Duration;
//! use tulipgap::{Action, Arrival, CallerFeedback, Cancellation, Config, Controller, Dependency};
//! use tulipgap::{Event, HandlerConfig, Idempotency};
//!
//! let search = HandlerConfig {
//!     latency_objective: Duration::from_millis(500),
//!     objective_stretch: 0.0,
//!     client_timeout: Duration::from_secs(2),
//!     priority_weight: 1.0,
//!     idempotency: Idempotency::Idempotent,
//!     key_retention: Duration::ZERO,
//!     calls_dependency: false,
//!     degraded_weight: 0.0,
//! };
//! let config = Config {
//!     handlers: vec![search],
//!     tenants: vec![],
//!     over_quota_weight: 1.0,
//!     cores: 2,
//!     memory_kb: 8_000.0,
//!     running_memory_factor: 4.0,
//!     key_kb: 1.0,
//!     starts_cold: false,
//!     cold_speed: 0.25,
//!     warm_up: Duration::from_secs(10),
//!     max_concurrency_per_core: 4.0,
//!     response_slack: Duration::from_millis(60),
//!     drain_grace: Duration::from_secs(1),
//!     dependency: Dependency::None,
//!     cancellation: Cancellation::Unsupported,
//!     feedback: CallerFeedback::None,
//!     max_retry_after: Some(Duration::from_secs(1)),
//!     servers: 0,
//!     callers: 4,
//!     marks_retries: true,
//!     idle_timeout: Duration::from_secs(15),
//! };
//! let mut controller = Controller::new(&config, 1)?;
//! controller.handle_events(Duration::ZERO, &[Event::Started]);
//! let arrival = Arrival {
//!     request: 0,
//!     handler: 0,
//!     tenant: None,
//!     age: Duration::from_millis(1),
//!     client_wait: None,
//!     estimated_work: Some(Duration::from_millis(20)),
//!     queued_kb: 10.0,
//!     is_retry: false,
//!     is_duplicate: false,
//! };
//! let actions = controller.handle_events(Duration::from_millis(5), &[Event::Arrived(arrival)]);
//! assert_eq!(actions, [Action::Start { request: 0 }]);
//! # Ok::<(), tulipgap::ConfigError>(())
//! ```

mod action;
mod admission;
mod brownout;
mod caller_feedback;
mod clock;
mod concurrency;
mod config;
mod controller;
mod dependency;
mod drain;
mod duration;
mod early_answer;
mod event;
mod handlers;
mod health;
mod idle_timeout;
mod limits;
mod metrics;
mod queue;
mod requests;
#[cfg(test)]
mod tests;

pub use action::{Action, Reason};
pub use config::{
    CallerFeedback, Cancellation, Config, ConfigError, Dependency, HandlerConfig, Idempotency,
    TenantConfig,
};
pub use controller::Controller;
pub use event::{Arrival, Event, Gauges, HandlerIndex, Outcome, RequestIndex, TenantIndex};
