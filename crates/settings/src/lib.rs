//! Parses the settings that a server receives at its start as JSON, and derives the controller's
//! configuration from them. The server and the simulator host both use this package.
//!
//! ```
//! let text = r#"{"classes":[{"name":"page","objective":1e3,"deadline":2e3,"worth":1.0,
//!     "effect":"pure"}],"family_info":{"below":"silent","blowup":4.0,"cores":2,"halt":"drop",
//!     "idle":9e3,"mem_limit_kb":9e3,"say":"weight"},"limits":{},
//!     "rules":{"cold_from":0.3,"drain_grace":1e3,"fall":2e3,
//!     "fall_multiple":4.0,"grace_to_answer":60.0,"warm_up":9e3}}"#;
//! let settings: tulipgap_settings::Settings = text.parse()?;
//! assert_eq!(settings.controller_config()?.cores, 2);
//! assert_eq!(settings.names().handlers["page"], 0);
//! # Ok::<(), tulipgap_settings::SettingsError>(())
//! ```

mod schema;

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

use tulipgap::{
    CallerFeedback, Cancellation, Config, ConfigError, Dependency, Gauges, HandlerConfig,
    HandlerIndex, Idempotency, TenantConfig, TenantIndex,
};

pub use schema::Settings;
use schema::{CancellationKind, Class, DependencyKind, Effect, FeedbackKind};

/// Why settings cannot be used, with the key at fault.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON, or a key is missing or of another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A time in milliseconds is out of range.
    #[error("{key}: {value} is no time")]
    Time {
        /// The key with the value.
        key: String,
        /// The value as it was written.
        value: f64,
    },
    /// A fraction is out of range.
    #[error("{key}: {value} is not from 0 to 1")]
    Fraction {
        /// The key with the value.
        key: &'static str,
        /// The value as it was written.
        value: f64,
    },
    /// The length of a list with an entry for each class differs from the number of classes.
    #[error("family_info.{key} has {length} entries for {classes} classes")]
    Length {
        /// The key of the list.
        key: &'static str,
        /// The length of the list.
        length: usize,
        /// The number of classes.
        classes: usize,
    },
    /// A class is declared both as a write and as pure.
    #[error("classes[{class}].write: a write has an effect, so it may not be \"pure\"")]
    PureWrite {
        /// The position of the class.
        class: usize,
    },
    /// A value is outside the range that the controller accepts.
    #[error(transparent)]
    Controller(#[from] ConfigError),
}

/// The names that the settings give to handlers, tenants and gauges, and their positions.
#[derive(Clone, Default)]
pub struct Names {
    /// The positions of handlers by name.
    pub handlers: HashMap<String, HandlerIndex>,
    /// The positions of tenants by name.
    pub tenants: HashMap<String, TenantIndex>,
    /// The names of gauges, in the order in which they are reported.
    pub gauges: Vec<String>,
    /// Whether callers send a cancellation when they no longer wait for an answer.
    pub callers_cancel: bool,
}

/// How callers learn to send less traffic to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Steering {
    /// By the feedback value on the answers of the server.
    FeedbackValue,
    /// By the health of the server, which the endpoint list follows.
    EndpointList,
    /// By both, as in the deployment recife-matching.
    Both,
    /// By neither: only by the `retry_after` of rejections, as in the deployments verhaegen-remote
    /// and zh-pipeline-fleet.
    RetryAfterOnly,
}

/// Converts the value of `key`, in milliseconds, to a duration.
///
/// # Errors
///
/// Returns [`SettingsError::Time`] for a value that is negative, not finite or too long.
pub fn milliseconds(key: &str, value: f64) -> Result<Duration, SettingsError> {
    Duration::try_from_secs_f64(value / 1e3).map_err(|_| SettingsError::Time {
        key: key.to_owned(),
        value,
    })
}

fn fraction(key: &'static str, value: f64) -> Result<f64, SettingsError> {
    if (0.0..=1.0).contains(&value) {
        Ok(value)
    } else {
        Err(SettingsError::Fraction { key, value })
    }
}

/// The gauge with that name, if it is one that the controller reads.
pub fn gauge_mut<'a>(gauges: &'a mut Gauges, name: &str) -> Option<&'a mut Option<f64>> {
    match name {
        "core_use" => Some(&mut gauges.busy_fraction),
        "on_cores" => Some(&mut gauges.runnable),
        "links" => Some(&mut gauges.open_connections),
        _ => None,
    }
}

impl FromStr for Settings {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self, SettingsError> {
        Ok(serde_json::from_str(text)?)
    }
}

impl Settings {
    /// How callers learn to send less traffic, according to the settings.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::PureWrite`] for a write that is declared idempotent, so that an
    /// incomplete migration to settings with writes is not accepted.
    pub fn steering(&self) -> Result<Steering, SettingsError> {
        let is_pure_write = |class: &Class| class.is_write && class.effect == Effect::None;
        if let Some(class) = self.classes.iter().position(is_pure_write) {
            return Err(SettingsError::PureWrite { class });
        }
        Ok(
            match (
                self.family_info.endpoint_list_follows_health,
                self.family_info.feedback,
            ) {
                (true, FeedbackKind::None) => Steering::EndpointList,
                (true, _) => Steering::Both,
                (false, FeedbackKind::None) => Steering::RetryAfterOnly,
                (false, _) => Steering::FeedbackValue,
            },
        )
    }

    /// The names that the settings use.
    pub fn names(&self) -> Names {
        let handlers = self
            .classes
            .iter()
            .enumerate()
            .map(|(index, class)| (class.name.clone(), index));
        let tenants = self
            .tenants
            .iter()
            .enumerate()
            .map(|(index, tenant)| (tenant.name.clone(), index));
        Names {
            handlers: handlers.collect(),
            tenants: tenants.collect(),
            gauges: self.family_info.gauge_names.clone(),
            callers_cancel: self.family_info.callers_cancel,
        }
    }

    /// The controller's configuration.
    ///
    /// # Errors
    ///
    /// Returns the first key whose value is out of range. The ranges of the controller itself are
    /// checked by [`Config::validate`].
    pub fn controller_config(&self) -> Result<Config, SettingsError> {
        let info = &self.family_info;
        self.check_length("class_calls", info.class_calls_dependency.len())?;
        self.check_length("class_skip_worth", info.class_degraded_weights.len())?;
        let classes = self.classes.iter().enumerate();
        let tenants = self.tenants.iter();
        Ok(Config {
            handlers: classes
                .map(|(index, class)| self.handler(index, class))
                .collect::<Result<_, _>>()?,
            tenants: tenants
                .map(|tenant| TenantConfig {
                    rate_quota_per_s: tenant.rate_quota_per_s,
                })
                .collect(),
            over_quota_weight: fraction("over_share_worth", self.over_quota_weight.unwrap_or(1.0))?,
            cores: info.cores,
            memory_kb: info.memory_kb,
            running_memory_factor: info.running_memory_factor,
            key_kb: info.key_kb,
            starts_cold: info.starts_cold,
            cold_speed: self.rules.cold_speed,
            warm_up: milliseconds("rules.warm_up", self.rules.warm_up_ms)?,
            max_concurrency_per_core: self.max_concurrency_per_core()?,
            response_slack: milliseconds("rules.grace_to_answer", self.rules.response_slack_ms)?,
            drain_grace: milliseconds("rules.drain_grace", self.rules.drain_grace_ms)?,
            dependency: self.dependency()?,
            cancellation: match info.cancellation {
                CancellationKind::Unsupported => Cancellation::Unsupported,
                CancellationKind::DiscardsProgress => Cancellation::DiscardsProgress,
                CancellationKind::KeepsProgress => Cancellation::KeepsProgress,
            },
            feedback: match info.feedback {
                FeedbackKind::PriorityThreshold => CallerFeedback::PriorityThreshold,
                FeedbackKind::ConcurrencyCredit => CallerFeedback::ConcurrencyCredit,
                FeedbackKind::TrafficWeight => CallerFeedback::TrafficWeight,
                FeedbackKind::None => CallerFeedback::None,
            },
            max_retry_after: match self.limits.sends_retry_after {
                true => Some(milliseconds(
                    "limits.max_retry_after",
                    self.limits.max_retry_after_ms,
                )?),
                false => None,
            },
            servers: self.fleet_size,
            callers: info.callers,
            marks_retries: self.clients.marks_retry,
            idle_timeout: milliseconds("family_info.idle", info.idle_timeout_ms)?,
        })
    }

    /// The mean number of concurrent runs per core, over the window `rules.fall`, that a warm
    /// server survives. The controller enforces this limit at every moment, so it does not use the
    /// window; an invalid window is still rejected.
    fn max_concurrency_per_core(&self) -> Result<f64, SettingsError> {
        milliseconds("rules.fall", self.rules.concurrency_window_ms)?;
        Ok(self.rules.max_concurrency_per_core)
    }

    /// Checks that a list with an entry for each class is empty or has as many entries as classes.
    fn check_length(&self, key: &'static str, length: usize) -> Result<(), SettingsError> {
        let classes = self.classes.len();
        if length == 0 || length == classes {
            return Ok(());
        }
        Err(SettingsError::Length {
            key,
            length,
            classes,
        })
    }

    fn dependency(&self) -> Result<Dependency, SettingsError> {
        let info = &self.family_info;
        Ok(match info.dependency {
            DependencyKind::None => Dependency::None,
            DependencyKind::Tier => Dependency::Tier,
            DependencyKind::Shared => Dependency::Shared {
                share: info.dependency_share,
                window: milliseconds("family_info.share_span", info.dependency_window_ms)?,
                linger: milliseconds("family_info.stays_for", info.dependency_linger_ms)?,
            },
        })
    }

    fn handler(&self, index: HandlerIndex, class: &Class) -> Result<HandlerConfig, SettingsError> {
        let info = &self.family_info;
        let calls_dependency = info.class_calls_dependency.get(index).copied();
        Ok(HandlerConfig {
            latency_objective: milliseconds("classes.objective", class.latency_objective_ms)?,
            objective_stretch: class.objective_stretch,
            client_timeout: milliseconds("classes.deadline", class.client_timeout_ms)?,
            priority_weight: class.priority_weight,
            idempotency: match class.effect {
                Effect::None => Idempotency::Idempotent,
                Effect::Keyed => Idempotency::Keyed,
                Effect::Unkeyed => Idempotency::NonIdempotent,
            },
            key_retention: milliseconds("classes.memory_span", class.key_retention_ms)?,
            calls_dependency: calls_dependency.unwrap_or(info.dependency != DependencyKind::None),
            degraded_weight: info
                .class_degraded_weights
                .get(index)
                .copied()
                .unwrap_or(0.0),
        })
    }
}
