//! Single cases of a holder.

use std::time::Duration;

use tulipgap_leases::*;

fn holder(life: u64) -> Holder {
    Holder::new(Who { name: "a".into(), life }, vec!["v".into(), "w".into()], 50, 0, 1)
}

fn wants(holder: &mut Holder, lease: &str) -> u64 {
    let shape = Shape { term: Duration::from_secs(2), places: 1 };
    let want = Event::Want { lease: lease.into(), shape, step: Duration::ZERO, wait: true };
    let asked = |action: &Action| if let Action::Ask { ask, .. } = action { Some(*ask) } else { None };
    holder.decide(Duration::ZERO, want).iter().find_map(asked).unwrap()
}

/// Asks are numbered from the start in each life, and a leader may carry out only now what an earlier life asked: its
/// answer, taken for that to an ask of this life, gave a lease that the table held for nobody of this name.
#[test]
fn an_answer_to_an_earlier_life_is_not_taken() {
    let mut holder = holder(2);
    let ask = wants(&mut holder, "x");
    let answered = |life| Event::Answered { life, ask, answer: Answer::Granted { token: 4 } };
    holder.decide(Duration::from_millis(5), answered(1));
    assert!(holder.begin(Duration::from_millis(6), "x").is_err());
    holder.decide(Duration::from_millis(7), answered(2));
    assert!(holder.begin(Duration::from_millis(8), "x").is_ok());
}

/// Asks that were lost in a cut stayed open for ever and made a holder pass every hint on who leads.
#[test]
fn a_hint_is_followed_though_earlier_asks_were_lost() {
    let mut holder = holder(1);
    let mut last = wants(&mut holder, "x");
    let asks = |actions: &[Action]| -> Vec<(Name, u64)> {
        let ask =
            |a: &Action| if let Action::Ask { to, ask, .. } = a { Some((to.clone(), *ask)) } else { None };
        actions.iter().filter_map(ask).collect()
    };
    for at in 1..9 {
        if let Some((_, ask)) = asks(&holder.decide(Duration::from_millis(400 * at), Event::Alarm)).last() {
            last = *ask;
        }
    }
    let now = Duration::from_secs(4);
    holder.decide(now, Event::NotLeading { ask: last, leader: Some("w".into()) });
    let next = asks(&holder.decide(now + Duration::from_millis(20), Event::Alarm));
    assert_eq!(&*next[0].0, "w");
}

#[test]
fn a_clock_that_goes_back_ends_every_permit() {
    let mut holder = holder(1);
    let ask = wants(&mut holder, "x");
    let answer = Answer::Granted { token: 1 };
    holder.decide(Duration::from_millis(500), Event::Answered { life: 1, ask, answer });
    let permit = holder.begin(Duration::from_millis(600), "x").unwrap();
    assert!(holder.step(Duration::from_millis(400), &permit).is_err(), "before the next event");
    let lost = holder.decide(Duration::from_millis(400), Event::Alarm);
    assert!(lost.iter().any(|a| matches!(a, Action::Lost { why: Why::ClockWentBack, .. })), "{lost:?}");
    assert!(holder.step(Duration::from_millis(650), &permit).is_err());
}

#[test]
fn names_terms_and_numbers_that_make_no_sense_are_refused() {
    let mut holder = holder(1);
    let mut refused = |lease: &str, term: u64, places: u32, step: u64| {
        let shape = Shape { term: Duration::from_millis(term), places };
        let want = Event::Want { lease: lease.into(), shape, step: Duration::from_millis(step), wait: true };
        matches!(
            holder.decide(Duration::ZERO, want)[..],
            [Action::Refused { why: Refusal::Senseless, .. }, ..]
        )
    };
    assert!(refused("", 2000, 1, 0) && refused(&"x".repeat(65), 2000, 1, 0) && refused("x", 100, 1, 0));
    assert!(refused("x", 2000, 0, 0) && refused("x", 2000, 1001, 0) && refused("x", 2000, 1, 1000));
    let mut table = Table::default();
    let who = Who { name: "x".repeat(65).into(), life: 1 };
    let ask = Command::Ask { lease: "l".into(), who, term: Duration::from_secs(1), places: 1, wait: true };
    assert_eq!(table.apply(&ask), Answer::Refused(Refusal::Senseless));
}

/// A thousand leases and three hundred askers: each holds what it is to, all others wait in the order they came.
#[test]
fn a_thousand_leases_and_three_hundred_askers() {
    let mut table = Table::default();
    let who = |asker: usize| Who { name: format!("a{asker}").into(), life: 1 };
    let ask = |lease: usize, asker: usize| Command::Ask {
        lease: format!("l{lease}").into(),
        who: who(asker),
        term: Duration::from_secs(2),
        places: 3,
        wait: true,
    };
    for asker in 0..300 {
        for lease in 0..1000 {
            let answer = table.apply(&ask(lease, asker));
            match asker {
                0..3 => assert!(matches!(answer, Answer::Granted { .. })),
                _ => assert_eq!(answer, Answer::Queued { ahead: asker as u32 - 3 }),
            }
        }
    }
    // One that goes makes room for the first that waits, and for nobody behind it.
    let first = table.lease("l0").unwrap().held[0].clone();
    table.apply(&Command::Release { lease: "l0".into(), who: first.who, token: Some(first.token) });
    assert!(matches!(table.apply(&ask(0, 4)), Answer::Queued { ahead: 1 }));
    assert!(matches!(table.apply(&ask(0, 3)), Answer::Granted { .. }));
}
