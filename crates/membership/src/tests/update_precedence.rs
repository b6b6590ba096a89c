use super::{ALL_STATES, update};
use crate::message::MemberState;
use crate::node::{MAX_NAME_BYTES, SUPPORTED_VERSIONS};
use crate::reachability::MAX_UNREACHABLE_PEERS;
use crate::update_precedence::{is_well_formed, overrides, suspicion_in_place_of_death};

#[test]
fn at_the_same_incarnation_the_worse_state_overrides_and_no_other() {
    for (new_rank, new_state) in ALL_STATES.into_iter().enumerate() {
        for (recorded_rank, recorded_state) in ALL_STATES.into_iter().enumerate() {
            let (new, recorded) = (
                update("m", 1, 3, new_state),
                update("m", 1, 3, recorded_state),
            );
            assert_eq!(
                overrides(&new, &recorded),
                new_rank > recorded_rank,
                "{new_state:?} over {recorded_state:?}"
            );
        }
    }
}

#[test]
fn higher_incarnation_overrides_every_state_and_a_lower_one_none() {
    for new_state in ALL_STATES {
        for recorded_state in ALL_STATES {
            let recorded = update("m", 1, 3, recorded_state);
            assert!(overrides(&update("m", 1, 4, new_state), &recorded));
            assert!(!overrides(&update("m", 1, 2, new_state), &recorded));
        }
    }
}

#[test]
fn of_two_live_processes_under_one_name_the_lower_address_overrides() {
    let alive = |last_byte| update("m", last_byte, 3, MemberState::Alive);
    assert!(overrides(&alive(5), &alive(6)));
    assert!(!overrides(&alive(6), &alive(5)));
    let suspect = update("m", 6, 3, MemberState::Suspect);
    assert!(
        !overrides(&alive(5), &suspect),
        "the worse state takes precedence"
    );
}

#[test]
fn update_is_well_formed_up_to_its_bounds() {
    let alive = || update("m", 1, 0, MemberState::Alive);
    for (version, is_known) in [
        (*SUPPORTED_VERSIONS.start() - 1, false),
        (*SUPPORTED_VERSIONS.start(), true),
        (*SUPPORTED_VERSIONS.end(), true),
        (*SUPPORTED_VERSIONS.end() + 1, false),
    ] {
        let mut update = alive();
        update.node.version = version;
        assert_eq!(is_well_formed(&update), is_known, "version {version}");
    }
    for (length, is_valid) in [
        (0, false),
        (1, true),
        (MAX_NAME_BYTES, true),
        (MAX_NAME_BYTES + 1, false),
    ] {
        let mut update = alive();
        update.node.name = "n".repeat(length).into();
        assert_eq!(is_well_formed(&update), is_valid, "{length} bytes");
    }
    for (peers, is_valid) in [
        (MAX_UNREACHABLE_PEERS, true),
        (MAX_UNREACHABLE_PEERS + 1, false),
    ] {
        let mut update = alive();
        let names = (0..peers).map(|number| format!("p{number}").as_str().into());
        update.unreachable_peers = std::sync::Arc::new(names.collect());
        assert_eq!(is_well_formed(&update), is_valid, "{peers} peers");
    }
}

/// Guards against a panic that a peer's frame caused: the number of confirmations is the number of
/// reporters less one, which was below zero for a suspicion without a reporter.
#[test]
fn suspicion_without_a_reporter_is_not_well_formed() {
    let mut suspicion = update("m", 1, 0, MemberState::Suspect);
    suspicion.reported_by = Some("b".into());
    assert!(is_well_formed(&suspicion));
    suspicion.reported_by = None;
    assert!(!is_well_formed(&suspicion));
    for state in [MemberState::Alive, MemberState::Dead, MemberState::Left] {
        let mut without_reporter = update("m", 1, 0, state);
        without_reporter.reported_by = None;
        assert!(is_well_formed(&without_reporter), "{state:?}");
    }
}

#[test]
fn only_a_death_is_converted_to_a_suspicion_reported_by_the_sender() {
    let sender = "b".into();
    for state in ALL_STATES {
        let suspicion = suspicion_in_place_of_death(&update("m", 1, 3, state), &sender);
        assert_eq!(suspicion.is_some(), state == MemberState::Dead, "{state:?}");
        if let Some(suspicion) = suspicion {
            assert_eq!(suspicion.state, MemberState::Suspect);
            assert_eq!(suspicion.reported_by, Some("b".into()));
            assert_eq!(suspicion.incarnation, update("m", 1, 3, state).incarnation);
        }
    }
}
