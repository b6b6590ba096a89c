//! Single cases of the membership, message by message; whole clusters are played by `tulipgap-rig`.

use std::net::SocketAddr;
use std::time::Duration;

use tulipgap_cluster::*;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 7100))
}

fn about(name: &str, last: u8) -> About {
    About { name: name.into(), address: address(last), region: "r".into(), zone: "z".into(), version: 1 }
}

fn update(name: &str, last: u8, incarnation: u64, state: State) -> Update {
    let by = (state != State::Alive).then(|| "c".into());
    let (facts, unheard) = Default::default();
    Update { about: about(name, last), incarnation, state, by, facts, unheard }
}

/// Member `a` at the first address, which has been told of others and is no newcomer.
fn settled(updates: Vec<Update>) -> Members {
    let mut members = Members::new(Terms::default(), about("a", 1), 0, 1).unwrap();
    members.decide(Duration::ZERO, &[Event::Started]);
    says(&mut members, 1, "b", 2, Body::Members { answer: false }, updates);
    members
}

fn says(
    members: &mut Members,
    at: u64,
    name: &str,
    last: u8,
    body: Body,
    updates: Vec<Update>,
) -> Vec<Action> {
    let message = Message { from: name.into(), to: Some("a".into()), body, updates };
    members.decide(Duration::from_millis(at), &[Event::Received { from: address(last), message }])
}

fn sent(actions: &[Action]) -> Vec<(&Body, &[Update])> {
    (actions.iter())
        .filter_map(|action| match action {
            Action::Send { message, .. } => Some((&message.body, &message.updates[..])),
            _ => None,
        })
        .collect()
}

#[test]
fn a_lie_about_a_member_is_denied_by_itself_above_the_lie() {
    let mut members = settled(vec![update("b", 2, 0, State::Alive)]);
    let lie = vec![update("a", 1, 4, State::Dead)];
    let actions = says(&mut members, 5, "b", 2, Body::Ping { number: 9 }, lie);
    assert_eq!((members.me().incarnation, members.me().state), (5, State::Alive));
    let sent = sent(&actions);
    // At once, to who says so, and with the answer.
    let denies =
        |said: &(&Body, &[Update])| said.1.iter().any(|u| &*u.about.name == "a" && u.incarnation == 5);
    assert!(matches!(sent[0].0, Body::Told { number: 0, .. }) && denies(&sent[0]), "{sent:?}");
    assert!(matches!(sent[1].0, Body::Ack { number: 9 }) && denies(&sent[1]), "{sent:?}");
}

#[test]
fn a_restart_under_the_same_name_and_address_takes_up_above_its_earlier_life() {
    let mut members = settled(vec![update("a", 1, 7, State::Alive), update("b", 2, 0, State::Alive)]);
    assert_eq!(members.me().incarnation, 8);
    assert!(!members.decide(Duration::from_secs(1), &[Event::Alarm]).is_empty());
}

#[test]
fn a_newcomer_of_a_name_that_lives_elsewhere_is_turned_away_and_stops() {
    let mut members = settled(vec![update("b", 2, 0, State::Alive)]);
    let join = vec![update("b", 9, 0, State::Alive)];
    let message = Message { from: "b".into(), to: None, body: Body::Join, updates: join };
    let event = Event::Received { from: address(9), message };
    let actions = members.decide(Duration::from_millis(5), &[event]);
    assert!(matches!(sent(&actions)[..], [(Body::Taken, [])]), "{actions:?}");
    assert_eq!(members.held().next().unwrap().update.about.address, address(2), "the first keeps the name");

    let mut newcomer = Members::new(Terms::default(), about("b", 9), 0, 1).unwrap();
    newcomer.decide(Duration::ZERO, &[Event::Started]);
    let message = Message { from: "a".into(), to: None, body: Body::Taken, updates: Vec::new() };
    let event = Event::Received { from: address(1), message };
    let actions = newcomer.decide(Duration::from_millis(9), &[event]);
    assert_eq!(actions, [Action::NameTaken { by: address(1) }]);
    assert_eq!(newcomer.decide(Duration::from_secs(9), &[Event::Alarm]), [], "it says nothing more");
}

#[test]
fn two_that_live_under_one_name_after_a_cut_are_the_same_one_everywhere() {
    let twins = [update("t", 5, 2, State::Alive), update("t", 6, 2, State::Alive)];
    let mut turned = twins.clone();
    turned.reverse();
    for order in [twins, turned] {
        let members = settled(order.to_vec());
        assert_eq!(members.held().next().unwrap().update.about.address, address(5));
    }
}

#[test]
fn a_departed_members_ghost_does_not_rise_from_an_old_word() {
    let mut members = settled(vec![update("g", 7, 3, State::Left)]);
    says(&mut members, 5, "b", 2, Body::Ping { number: 1 }, vec![update("g", 7, 3, State::Alive)]);
    assert_eq!(members.state("g"), Some(State::Left));
    says(&mut members, 6, "b", 2, Body::Ping { number: 2 }, vec![update("g", 7, 4, State::Alive)]);
    assert_eq!(members.state("g"), Some(State::Alive), "it is back of its own accord");
}

#[test]
fn a_version_that_nobody_knows_is_counted_and_not_held() {
    let mut strange = update("s", 8, 0, State::Alive);
    strange.about.version = 9;
    let mut long = update("l", 9, 0, State::Alive);
    long.about.name = "x".repeat(NAME_MOST + 1).into();
    let members = settled(vec![strange, long]);
    assert_eq!((members.held().count(), members.odd()), (0, 2));
}

#[test]
fn more_members_than_there_may_be_are_counted_and_not_held() {
    let terms = Terms { members_most: 3, ..Terms::default() };
    let mut members = Members::new(terms, about("a", 1), 0, 1).unwrap();
    let many = (2..9).map(|last| update(&format!("m{last}"), last, 0, State::Alive)).collect();
    says(&mut members, 1, "m2", 2, Body::Members { answer: false }, many);
    assert_eq!((members.held().count(), members.odd()), (3, 4));
}

#[test]
fn a_cut_between_two_is_told_from_a_crash_and_published() {
    let mut members = settled(vec![update("b", 2, 0, State::Alive), update("c", 3, 0, State::Alive)]);
    let (mut now, mut through) = (1, None);
    // Whatever b is asked it hears; c never answers here, and b does.
    while through.is_none() && now < 60_000 {
        now += 10;
        let actions = members.decide(Duration::from_millis(now), &[Event::Alarm]);
        for action in actions {
            let Action::Send { to, message } = action else { continue };
            match message.body {
                Body::Ping { number } if to == address(2) => {
                    says(&mut members, now, "b", 2, Body::Ack { number }, Vec::new());
                }
                Body::Ask { number, .. } if to == address(2) => {
                    says(&mut members, now, "b", 2, Body::Told { number, heard: true }, Vec::new());
                }
                _ => {}
            }
        }
        through = members.held().find(|held| held.reach == Reach::Through);
    }
    let through = through.expect("within a minute");
    assert_eq!((&*through.update.about.name, through.update.state), ("c", State::Alive));
    assert!(members.me().unheard.contains("c"), "{:?}", members.me());
    // Its own messages come: what is sent to it is lost on the way.
    says(&mut members, now, "c", 3, Body::Ping { number: 5 }, Vec::new());
    assert_eq!(members.held().find(|held| &*held.update.about.name == "c").unwrap().reach, Reach::OneWay);
}

#[test]
fn terms_names_and_facts_that_make_no_sense_are_turned_down() {
    let terms = Terms { timeout: Duration::from_secs(1), ..Terms::default() };
    assert!(matches!(Members::new(terms, about("a", 1), 0, 1), Err(Unfit::OutOfRange("timeout"))));
    assert!(matches!(Members::new(Terms::default(), about("", 1), 0, 1), Err(Unfit::Name(0))));
    let mut members = settled(Vec::new());
    let mut publish = |key: &str| {
        let event = Event::Publish { key: key.into(), value: Some("1".into()) };
        members.decide(Duration::from_secs(1), &[event])
    };
    for at in 0..FACTS_MOST {
        assert_eq!(publish(&format!("k{at}")), []);
    }
    assert_eq!(publish("more"), [Action::Refused { why: Unfit::TooManyFacts(FACTS_MOST + 1) }]);
    assert!(matches!(publish(&"k".repeat(65))[..], [Action::Refused { why: Unfit::Fact(_) }]));
    assert_eq!(members.me().facts.len(), FACTS_MOST);
}

/// Each alarm is answered by the next; one more for each suspicion and each probe on behalf of another went on beside
/// it for ever, and a run of 100 members with slow links did not end.
#[test]
fn alarms_do_not_multiply() {
    let mut members =
        settled((2..6).map(|last| update(&format!("m{last}"), last, 0, State::Alive)).collect());
    let mut pending = vec![Duration::from_millis(500)];
    let mut count = 0;
    while let Some(at) = pending.iter().copied().min().filter(|&at| at < Duration::from_secs(60)) {
        pending.retain(|&other| other != at);
        let asked = Body::Ask { number: count, target: "m3".into(), address: address(3) };
        let mut actions = says(&mut members, at.as_millis() as u64, "m2", 2, asked, Vec::new());
        actions.extend(members.decide(at, &[Event::Alarm]));
        let alarm = |action: &Action| if let Action::Alarm { at } = action { Some(*at) } else { None };
        pending.extend(actions.iter().filter_map(alarm));
        count += 1;
        assert!(pending.len() <= 4, "{} alarms are due at {at:?}", pending.len());
    }
    assert!(count > 100);
}
