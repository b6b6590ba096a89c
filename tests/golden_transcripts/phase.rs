//! Phases of load and faults, sampled from a seed.

use std::time::Duration;

use fastrand::Rng;

/// Usual length of a phase.
const PHASE_LENGTH: Duration = Duration::from_millis(3_000);

/// Length of a phase whose load the brownout loops have to follow down to a dimmer of zero.
const LONG_PHASE_LENGTH: Duration = Duration::from_millis(14_000);

/// The load and the faults of one phase.
pub(crate) struct Phase {
    pub(crate) length: Duration,
    pub(crate) arrivals_per_second: f64,
    /// Unread time of arrivals: its minimum, and the mean of the part beyond it.
    pub(crate) min_age_ms: f64,
    pub(crate) mean_age_ms: f64,
    pub(crate) failure_probability: f64,
    pub(crate) retry_probability: f64,
    pub(crate) duplicate_probability: f64,
    /// How many times slower than usual runs and calls are.
    pub(crate) run_slowdown: f64,
    pub(crate) call_slowdown: f64,
    pub(crate) call_failure_probability: f64,
    pub(crate) stall_probability: f64,
    pub(crate) reading_cores: f64,
    pub(crate) open_connections: f64,
    /// The fraction of the cores that other processes keep busy.
    pub(crate) background_busy: f64,
}

impl Phase {
    /// Samples the load and the faults of the next phase.
    pub(crate) fn sample(rng: &mut Rng, cores: f64) -> Self {
        let mut phase = Phase {
            length: PHASE_LENGTH,
            arrivals_per_second: cores * (4.0 + 10.0 * rng.f64()),
            min_age_ms: 0.0,
            mean_age_ms: 3.0,
            failure_probability: 0.02,
            retry_probability: 0.03,
            duplicate_probability: 0.05,
            run_slowdown: 1.0,
            call_slowdown: 1.0,
            call_failure_probability: 0.03,
            stall_probability: 0.002,
            reading_cores: 0.3,
            open_connections: cores * (2.0 + 5.0 * rng.f64()),
            background_busy: 0.0,
        };
        match rng.usize(0..10) {
            0 => phase.arrivals_per_second *= 5.0,
            1 => phase.failure_probability = 0.8,
            2 => phase.call_slowdown = 4.0 + 8.0 * rng.f64(),
            3 => phase.run_slowdown = 3.0,
            4 => {
                phase.arrivals_per_second *= 4.0;
                phase.mean_age_ms = 120.0;
                phase.reading_cores = cores * 1.5;
            }
            5 => {
                phase.arrivals_per_second *= 8.0;
                phase.retry_probability = 0.5;
                phase.reading_cores = cores * 2.5;
                phase.open_connections = cores * 9.0;
            }
            6 => phase.call_failure_probability = 0.5,
            7 => {
                phase.stall_probability = 0.05;
                phase.open_connections = cores * 7.0;
            }
            8 => {
                phase.length = LONG_PHASE_LENGTH;
                phase.arrivals_per_second = cores * 3.0;
                phase.min_age_ms = 650.0;
                phase.background_busy = 1.0;
            }
            _ => {}
        }
        phase
    }
}
