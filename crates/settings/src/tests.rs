//! Settings of each kind of deployment, and settings that are rejected.

use std::time::Duration;

use tulipgap::{CallerFeedback, Idempotency};

use super::{Settings, Steering};

/// Settings in the form of the deployments regina-main and nairobi-calc, with the keys `info` added
/// to `family_info` and the keys `class` to the second class.
fn settings(info: &str, class: &str) -> Settings {
    let text = format!(
        r#"{{"classes":[{{"name":"save","objective":2200.0,"deadline":5600.0,"worth":5.0,"effect":"token",
        "memory_span":16743.0,"write":true}},{{"name":"page","objective":1300.0,"deadline":3200.0,"worth":1.0{class}}}],
        "family_info":{{"below":"tier","blowup":8.0,"cores":2,"halt":"pause","idle":30000.0,
        "mem_limit_kb":9000.0{info}}},"limits":{{"retry_after":true,"max_retry_after":1000.0}},
        "rules":{{"cold_from":0.22,"drain_grace":2500.0,"fall":2000.0,"fall_multiple":8.0,
        "grace_to_answer":80.0,"warm_up":16000.0}}}}"#
    );
    serde_json::from_str(&text).expect("settings of the right form")
}

#[test]
fn the_way_of_steering_follows_from_the_settings_alone() {
    let old = settings(r#","say":"weight""#, r#","effect":"pure""#);
    assert_eq!(old.steering().unwrap(), Steering::FeedbackValue);
    let new = settings(
        r#","say":"silent","list_follows":true"#,
        r#","effect":"side_effect","write":true"#,
    );
    assert_eq!(new.steering().unwrap(), Steering::EndpointList);
    let config = new.controller_config().unwrap();
    assert_eq!(config.feedback, CallerFeedback::None);
    assert_eq!(
        (
            config.handlers[0].idempotency,
            config.handlers[1].idempotency
        ),
        (Idempotency::Keyed, Idempotency::NonIdempotent)
    );
    assert_eq!(
        config.handlers[0].key_retention,
        Duration::from_millis(16_743)
    );
}

#[test]
fn retries_count_as_marked_unless_the_settings_say_otherwise() {
    let mut unmarked = settings(r#","say":"silent""#, r#","effect":"pure""#);
    assert!(unmarked.controller_config().unwrap().marks_retries);
    unmarked.clients = serde_json::from_str(r#"{"marks_retry":false}"#).unwrap();
    assert!(!unmarked.controller_config().unwrap().marks_retries);
    assert_eq!(
        unmarked.controller_config().unwrap().servers,
        0,
        "the fleet size is unknown"
    );
    unmarked.fleet_size = 350;
    assert_eq!(unmarked.controller_config().unwrap().servers, 350);
}

/// Guards against a rejection of valid settings: the deployment recife-matching uses a feedback
/// value and an endpoint list that follows health. The combination was rejected at the start as an
/// incomplete migration.
#[test]
fn the_ways_of_steering_are_distinguished_and_an_idempotent_write_is_rejected() {
    let both = settings(
        r#","say":"weight","list_follows":true"#,
        r#","effect":"pure""#,
    );
    assert_eq!(both.steering().unwrap(), Steering::Both);
    let neither = settings(r#","say":"silent""#, r#","effect":"pure""#);
    assert_eq!(neither.steering().unwrap(), Steering::RetryAfterOnly);
    let pure_write = settings(r#","say":"silent""#, r#","effect":"pure","write":true"#);
    assert!(
        pure_write
            .steering()
            .is_err_and(|error| error.to_string().starts_with("classes[1].write: "))
    );
}

/// The controller doesn't use the averaging window of the concurrency limit, but an invalid window
/// is still an error in the settings.
#[test]
fn the_concurrency_window_must_be_a_valid_duration() {
    let with_window = |window| {
        let mut settings = settings(r#","say":"silent""#, r#","effect":"pure""#);
        settings.rules.concurrency_window_ms = window;
        settings
            .controller_config()
            .map_err(|error| error.to_string())
    };
    assert!(with_window(2_000.0).is_ok());
    for window in [-1.0, f64::NAN] {
        let error = with_window(window).unwrap_err();
        assert!(error.starts_with("rules.fall: "), "{error}");
    }
}
