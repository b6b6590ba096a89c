//! The steps by which one voter replaces another.

use raft::prelude::ConfChangeType;
use tulipgap_leases::Name;

use crate::peer_message::VoterId;
use crate::replicated_state::ReplicatedState;
use crate::voter::membership_change::{LearnerProgress, apply_step, first_step, next_step};

const OLD: VoterId = VoterId(2);
const NEW: VoterId = VoterId(8);

fn three_voters() -> ReplicatedState {
    let voters = [(VoterId(1), "a"), (OLD, "b"), (VoterId(3), "c")];
    ReplicatedState {
        voters: voters.map(|(id, name)| (id, Name::from(name))).into(),
        ..ReplicatedState::default()
    }
}

fn replace(state: &ReplicatedState, old: &str, new: &str, new_id: VoterId) -> bool {
    first_step(state, &old.into(), &new.into(), new_id).is_some()
}

#[test]
fn only_a_voter_is_replaced_and_only_by_one_that_does_not_vote() {
    let state = three_voters();
    assert!(replace(&state, "b", "d", NEW));
    // A voter whose directory was emptied has the same name and another id.
    assert!(replace(&state, "b", "b", NEW));
    assert!(!replace(&state, "d", "b", NEW));
    assert!(!replace(&state, "b", "b", OLD));
    assert!(!replace(&state, "b", "c", VoterId(3)));
}

/// If a learner with an empty log became a voter immediately, it would count for the majority, and
/// one more failure would leave no quorum until it has caught up.
#[test]
fn a_learner_votes_once_its_log_is_near_the_committed_entries() {
    let learner = |matched_index| LearnerProgress {
        matched_index,
        committed_index: 1000,
    };
    assert!(!learner(0).has_caught_up());
    assert!(!learner(949).has_caught_up());
    assert!(learner(950).has_caught_up());
    // A learner with an empty log has not caught up, even if few entries are committed: as a voter
    // that receives no entries, it would count for the majority and confirm nothing.
    let in_a_new_cluster = |matched_index| LearnerProgress {
        matched_index,
        committed_index: 50,
    };
    assert!(!in_a_new_cluster(0).has_caught_up());
    assert!(in_a_new_cluster(1).has_caught_up());
}

#[test]
fn the_new_voter_learns_then_votes_and_then_the_old_one_is_removed() {
    let mut state = three_voters();
    let first = first_step(&state, &"b".into(), &"d".into(), NEW).unwrap();
    assert_eq!(first.kind, ConfChangeType::AddLearnerNode);
    apply_step(&mut state, &first.encode());
    assert!(state.joining.contains_key(&NEW) && state.voters.len() == 3);

    assert_eq!(next_step(&state, |_| false), None);
    let second = next_step(&state, |learner| learner == NEW).unwrap();
    assert_eq!((second.kind, second.id), (ConfChangeType::AddNode, NEW));
    apply_step(&mut state, &second.encode());
    assert!(state.joining.is_empty() && state.voters.len() == 4);

    let third = next_step(&state, |_| true).unwrap();
    assert_eq!((third.kind, third.id), (ConfChangeType::RemoveNode, OLD));
    // A step that is committed twice has no effect the second time.
    apply_step(&mut state, &second.encode());
    assert_eq!(state.leaving, [OLD]);
    apply_step(&mut state, &third.encode());
    assert!(!state.voters.contains_key(&OLD) && state.leaving.is_empty());
    assert_eq!(next_step(&state, |_| true), None);
}

#[test]
fn a_replaced_voter_is_removed_before_another_learner_votes() {
    let mut state = three_voters();
    for (old, new, id) in [("b", "d", NEW), ("c", "e", VoterId(9))] {
        let step = first_step(&state, &old.into(), &new.into(), id).unwrap();
        apply_step(&mut state, &step.encode());
    }
    let step = next_step(&state, |_| true).unwrap();
    apply_step(&mut state, &step.encode());
    let step = next_step(&state, |_| true).unwrap();
    assert_eq!((step.kind, step.id), (ConfChangeType::RemoveNode, OLD));
}
