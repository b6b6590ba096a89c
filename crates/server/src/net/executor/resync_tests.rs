//! The rule of resynchronization, at its thresholds.

use super::{Delivery, Fate, LastCommand, ResyncFacts, Run};
use crate::net::executor::protocol::Command;
use crate::requests::{Bytes, ClassName};

/// Commands up to the fifth have arrived, and no notice is missing.
const FACTS: ResyncFacts = ResyncFacts {
    commands_arrived: 5,
    notices_are_missing: false,
};

fn run(at_most_once: bool, last_command: LastCommand, delivery: Delivery) -> Run {
    Run {
        class: ClassName::from("page"),
        body: Bytes::from(&b"run"[..]),
        at_most_once,
        last_command,
        delivery,
        call: 7,
    }
}

#[test]
fn a_command_is_sent_again_from_the_first_position_that_has_not_arrived() {
    let start = |delivery| run(false, LastCommand::Start, delivery).fate(FACTS);
    assert_eq!(start(Delivery::Confirmed), Fate::Unchanged);
    assert_eq!(start(Delivery::Sent(5)), Fate::Unchanged);
    assert_eq!(start(Delivery::Sent(6)), Fate::Resend);
    assert_eq!(start(Delivery::NotSent), Fate::Resend);
}

/// A link that broke as such a run started had it run twice, when its start was sent again.
#[test]
fn a_run_at_most_once_whose_start_may_have_arrived_is_lost() {
    let once = |last_command, delivery| run(true, last_command, delivery).fate(FACTS);
    assert_eq!(once(LastCommand::Start, Delivery::Sent(6)), Fate::Lost);
    assert_eq!(once(LastCommand::Start, Delivery::Sent(5)), Fate::Unchanged);
    assert_eq!(once(LastCommand::Start, Delivery::NotSent), Fate::Resend);
    assert_eq!(once(LastCommand::SkipCall, Delivery::Sent(6)), Fate::Resend);
}

#[test]
fn every_run_is_lost_where_notices_are_missing() {
    let facts = ResyncFacts {
        notices_are_missing: true,
        ..FACTS
    };
    for delivery in [Delivery::NotSent, Delivery::Sent(5), Delivery::Confirmed] {
        let run = run(false, LastCommand::Reply, delivery);
        assert_eq!(run.fate(facts), Fate::Lost);
    }
}

/// Sent again, the reply could meet the next call of its run, and resume it with the reply to the
/// call before.
#[test]
fn a_reply_that_may_have_arrived_is_replaced_by_a_skip_of_its_call() {
    let sent = run(false, LastCommand::Reply, Delivery::Sent(6));
    let (command, last_command) = sent.repeated_command();
    assert!(matches!(command, Command::SkipCall { notice: 7 }));
    assert!(matches!(last_command, LastCommand::SkipCall));
    let reply = Bytes::from(&b"reply"[..]);
    let unsent = run(false, LastCommand::UnsentReply(reply), Delivery::NotSent);
    let (command, last_command) = unsent.repeated_command();
    assert!(matches!(command, Command::Reply(b"reply")));
    assert!(matches!(last_command, LastCommand::Reply));
}
