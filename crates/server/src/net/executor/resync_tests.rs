//! The decisions of resynchronization, at their thresholds.

use super::{Delivery, LastCommand, ResyncDecision, ResyncInputs, Run};
use crate::net::executor::protocol::Command;
use crate::requests::{Bytes, ClassName};

/// All commands up to the fifth have arrived, and no notice is missing.
const INPUTS: ResyncInputs = ResyncInputs {
    commands_arrived: 5,
    has_missing_notices: false,
};

fn run(is_at_most_once: bool, last_command: LastCommand, delivery: Delivery) -> Run {
    Run {
        class: ClassName::from("page"),
        body: Bytes::from(&b"run"[..]),
        is_at_most_once,
        last_command,
        delivery,
        call: 7,
    }
}

#[test]
fn commands_after_the_last_confirmed_position_are_sent_again() {
    let start = |delivery| run(false, LastCommand::Start, delivery).decide(INPUTS);
    assert_eq!(start(Delivery::Confirmed), ResyncDecision::Unchanged);
    assert_eq!(start(Delivery::Sent(5)), ResyncDecision::Unchanged);
    assert_eq!(start(Delivery::Sent(6)), ResyncDecision::Resend);
    assert_eq!(start(Delivery::NotSent), ResyncDecision::Resend);
}

/// Guards against a duplicate run: a link broke while an at-most-once run was starting, and its
/// start was sent again.
#[test]
fn an_at_most_once_start_that_may_have_arrived_is_not_sent_again() {
    let once = |last_command, delivery| run(true, last_command, delivery).decide(INPUTS);
    assert_eq!(
        once(LastCommand::Start, Delivery::Sent(6)),
        ResyncDecision::OutcomeUnknown
    );
    assert_eq!(
        once(LastCommand::Start, Delivery::Sent(5)),
        ResyncDecision::Unchanged
    );
    assert_eq!(
        once(LastCommand::Start, Delivery::NotSent),
        ResyncDecision::Resend
    );
    assert_eq!(
        once(LastCommand::SkipCall, Delivery::Sent(6)),
        ResyncDecision::Resend
    );
}

#[test]
fn missing_notices_make_the_outcome_of_every_run_unknown() {
    let inputs = ResyncInputs {
        has_missing_notices: true,
        ..INPUTS
    };
    for delivery in [Delivery::NotSent, Delivery::Sent(5), Delivery::Confirmed] {
        let run = run(false, LastCommand::Reply, delivery);
        assert_eq!(run.decide(inputs), ResyncDecision::OutcomeUnknown);
    }
}

/// Guards against a reply that is sent again and taken as the reply to the run's next call.
#[test]
fn a_reply_that_may_have_arrived_is_replaced_by_skipping_its_call() {
    let sent = run(false, LastCommand::Reply, Delivery::Sent(6));
    let (command, last_command) = sent.command_to_resend();
    assert!(matches!(command, Command::SkipCall { notice: 7 }));
    assert!(matches!(last_command, LastCommand::SkipCall));
    let reply = Bytes::from(&b"reply"[..]);
    let unsent = run(false, LastCommand::UnsentReply(reply), Delivery::NotSent);
    let (command, last_command) = unsent.command_to_resend();
    assert!(matches!(command, Command::Reply(b"reply")));
    assert!(matches!(last_command, LastCommand::Reply));
}
