//! Tests of configurations that are out of range.

use std::time::Duration;

use crate::common::{config, ms};
use tulipgap::{Config, ConfigError, Controller, Dependency};

#[test]
fn out_of_range_configurations_are_rejected() {
    let validation_error = |change: fn(&mut Config)| {
        let mut config = config();
        change(&mut config);
        Controller::new(&config, 1).err()
    };
    assert_eq!(validation_error(|_| ()), None);
    assert_eq!(
        validation_error(|g| g.cores = 0),
        Some(ConfigError::NoCores)
    );
    assert_eq!(
        validation_error(|g| g.handlers.clear()),
        Some(ConfigError::NoHandlers)
    );
    assert_eq!(
        validation_error(|g| g.memory_kb = f64::NAN),
        Some(ConfigError::OutOfRange("memory_kb"))
    );
    assert_eq!(
        validation_error(|g| g.idle_timeout = Duration::ZERO),
        Some(ConfigError::OutOfRange("idle_timeout"))
    );
    assert_eq!(
        validation_error(|g| g.cold_speed = 0.0),
        Some(ConfigError::OutOfRange("cold_speed"))
    );
    assert_eq!(
        validation_error(|g| g.handlers[1].degraded_weight = 2.0),
        Some(ConfigError::Handler {
            handler: 1,
            field: "degraded_weight"
        })
    );
    assert_eq!(
        validation_error(|g| g.tenants[0].rate_quota_per_s = -1.0),
        Some(ConfigError::Tenant(0))
    );
    let shared = Dependency::Shared {
        share: 0.0,
        window: ms(5000),
        linger: ms(200),
    };
    assert_eq!(
        Controller::new(
            &Config {
                dependency: shared,
                ..config()
            },
            1
        )
        .err(),
        Some(ConfigError::OutOfRange("dependency"))
    );
}
