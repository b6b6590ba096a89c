use std::time::Duration;

use tulipgap_membership::{
    Action, Config, ConfigError, Event, MAX_METADATA_ENTRIES, MAX_METADATA_TEXT_BYTES,
    MetadataError,
};

use crate::{joined, new_membership, node};

#[test]
fn configuration_names_and_metadata_out_of_bounds_are_rejected() {
    let config = Config {
        probe_timeout: Duration::from_secs(1),
        ..Config::default()
    };
    let error = new_membership(config, node("a", 1)).err();
    assert!(
        matches!(
            error,
            Some(ConfigError::OutOfRange {
                parameter: "probe_timeout",
                ..
            })
        ),
        "{error:?}"
    );
    let error = new_membership(Config::default(), node("", 1)).err();
    assert_eq!(
        error,
        Some(ConfigError::NameLength {
            field: "name",
            length: 0
        })
    );

    let mut membership = joined(Vec::new());
    let mut set = |key: &str| {
        let event = Event::SetMetadata {
            key: key.into(),
            value: Some("1".into()),
        };
        membership.handle_events(Duration::from_secs(1), &[event])
    };
    for index in 0..MAX_METADATA_ENTRIES {
        assert_eq!(set(&format!("k{index}")), []);
    }
    let error = MetadataError::TooManyEntries {
        count: MAX_METADATA_ENTRIES + 1,
    };
    assert_eq!(set("more"), [Action::MetadataRejected { error }]);
    let error = MetadataError::TooLong {
        key: "k".repeat(MAX_METADATA_TEXT_BYTES),
    };
    assert_eq!(
        set(&"k".repeat(MAX_METADATA_TEXT_BYTES + 1)),
        [Action::MetadataRejected { error }]
    );
    assert_eq!(
        set(""),
        [Action::MetadataRejected {
            error: MetadataError::EmptyKey
        }]
    );
    assert_eq!(membership.local().metadata.len(), MAX_METADATA_ENTRIES);
}
