use super::{ALL_STATES, names, recipient, update};
use crate::message::MemberState;
use crate::node::Recipient;
use crate::refutation::{UpdateAboutSelf, choose_recipients, classify};

#[test]
fn non_alive_update_about_this_node_is_wrong_from_its_incarnation_on() {
    let local = update("a", 1, 3, MemberState::Alive);
    for state in ALL_STATES {
        let is_alive = state == MemberState::Alive;
        let meaning = |incarnation| classify(&local, &update("a", 1, incarnation, state), true);
        assert_eq!(meaning(2), UpdateAboutSelf::Ignored, "{state:?}");
        let at_same = [UpdateAboutSelf::Wrong, UpdateAboutSelf::Ignored];
        assert_eq!(meaning(3), at_same[usize::from(is_alive)], "{state:?}");
        let above = [UpdateAboutSelf::Wrong, UpdateAboutSelf::LaterIncarnation];
        assert_eq!(meaning(4), above[usize::from(is_alive)], "{state:?}");
    }
}

#[test]
fn live_process_at_another_address_contests_the_name_and_a_dead_one_does_not() {
    let local = update("a", 5, 3, MemberState::Alive);
    let from = |last_byte, state| classify(&local, &update("a", last_byte, 3, state), true);
    assert_eq!(from(4, MemberState::Alive), UpdateAboutSelf::NameConceded);
    assert_eq!(from(4, MemberState::Suspect), UpdateAboutSelf::NameConceded);
    assert_eq!(from(6, MemberState::Alive), UpdateAboutSelf::Ignored);
    assert_eq!(from(4, MemberState::Dead), UpdateAboutSelf::Wrong);
    assert_eq!(from(4, MemberState::Left), UpdateAboutSelf::Wrong);
}

/// Guards against live members that all others declare dead. A node in bad health probes rarely, so
/// a refutation that was only piggybacked on its probes arrived over slow links after the suspicion
/// had expired. The reporter is therefore notified directly and first, and drops the suspicion.
#[test]
fn refutation_is_sent_to_the_reporter_first_and_to_indirect_checks_others() {
    let alive: Vec<Recipient> = (1..=9).map(|n| recipient(&format!("m{n}"), n)).collect();
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let chosen = choose_recipients(alive.clone(), Some(&"m7".into()), 3, &mut rng);
        assert_eq!(chosen.len(), 4);
        assert_eq!(names(&chosen)[0], "m7");
    }
    let mut rng = fastrand::Rng::with_seed(1);
    let unknown_reporter = choose_recipients(alive.clone(), Some(&"x".into()), 3, &mut rng);
    assert_eq!(unknown_reporter.len(), 4);
    assert_eq!(choose_recipients(Vec::new(), None, 3, &mut rng).len(), 0);
}
