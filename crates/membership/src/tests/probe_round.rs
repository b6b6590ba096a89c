use super::node_names;
use crate::node::NodeName;
use crate::probe_round::ProbeRound;

fn take(round: &mut ProbeRound, live: &[NodeName], count: usize) -> Vec<NodeName> {
    let live: Vec<&NodeName> = live.iter().collect();
    let mut rng = fastrand::Rng::with_seed(7);
    (0..count)
        .filter_map(|_| round.next_target(&live, &mut rng))
        .collect()
}

#[test]
fn every_member_is_probed_once_in_each_round() {
    let live = node_names(&["a", "b", "c", "d", "e"]);
    let mut round = ProbeRound::default();
    for _ in 0..20 {
        let mut probed = take(&mut round, &live, live.len());
        probed.sort();
        assert_eq!(probed, live);
    }
}

#[test]
fn member_that_died_is_skipped_and_one_that_joined_is_probed_in_the_next_round() {
    let mut round = ProbeRound::default();
    let first = take(&mut round, &node_names(&["a", "b", "c"]), 1);
    let rest = node_names(&["a", "b", "c"]);
    let rest: Vec<NodeName> = rest.into_iter().filter(|name| *name != first[0]).collect();
    let live = [rest[0].clone(), "z".into()];
    assert_eq!(take(&mut round, &live, 1), rest[..1], "the other has died");
    let mut next_round = take(&mut round, &live, 2);
    next_round.sort();
    assert_eq!(next_round, live);
}

#[test]
fn no_target_is_selected_without_live_members() {
    let mut round = ProbeRound::default();
    take(&mut round, &node_names(&["a", "b"]), 1);
    assert!(take(&mut round, &[], 1).is_empty());
}
