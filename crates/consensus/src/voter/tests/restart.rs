//! Tests of a voter after a restart, when its directory may be an older copy.

use std::collections::BTreeMap;
use std::time::Duration;

use raft::prelude::{Message, MessageType};
use tulipgap_leases::Name;

use crate::config::MAX_VOTERS;
use crate::identity::Identity;
use crate::peer_message::{LogPosition, VoterId};
use crate::replicated_state::ReplicatedState;
use crate::voter::peers::Peers;
use crate::voter::phase::Phase;
use crate::voter::rollback::{ObservedLogs, contradicting_position, is_rolled_back};

const OWN: LogPosition = LogPosition { term: 4, index: 20 };

fn message(kind: MessageType, term: u64, index: u64) -> Message {
    let mut message = Message {
        from: 7,
        term,
        index,
        commit: index,
        ..Message::default()
    };
    message.set_msg_type(kind);
    message
}

/// Guards against two leaders in one term: a voter votes, its directory is restored from an earlier
/// backup, and it votes again in the same term. The log of the backup may end at the same entry, so
/// a higher observed term alone must reveal the rollback.
#[test]
fn a_log_with_a_later_observed_term_or_index_is_rolled_back() {
    let at = |term, index| LogPosition { term, index };
    assert!(!is_rolled_back(OWN, at(4, 20)));
    assert!(!is_rolled_back(OWN, at(3, 19)));
    assert!(is_rolled_back(OWN, at(5, 20)));
    assert!(is_rolled_back(OWN, at(4, 21)));
}

/// Guards against a panic: the consensus panics on a commit index beyond its log. The leader has
/// committed an entry that this voter confirmed, and the older copy of the voter's directory does
/// not contain the entry.
#[test]
fn a_message_that_names_an_entry_beyond_the_log_contradicts_it() {
    let heartbeat = |term, commit| message(MessageType::MsgHeartbeat, term, commit);
    assert_eq!(contradicting_position(&heartbeat(4, 20), OWN), None);
    let beyond = LogPosition { term: 4, index: 21 };
    assert_eq!(contradicting_position(&heartbeat(4, 21), OWN), Some(beyond));
    // A message from an earlier term is out of date: later leaders may have replaced the entries.
    assert_eq!(contradicting_position(&heartbeat(3, 21), OWN), None);
    let mut rejected = message(MessageType::MsgAppendResponse, 4, 21);
    assert!(contradicting_position(&rejected, OWN).is_some());
    rejected.reject = true;
    assert_eq!(contradicting_position(&rejected, OWN), None);
    let append = message(MessageType::MsgAppend, 4, 21);
    assert_eq!(contradicting_position(&append, OWN), None);
}

/// A pre-vote carries the term in which its sender would campaign. If other voters recorded it as
/// reached by the sender, a healthy voter would be taken for rolled back at its next restart.
#[test]
fn a_pre_vote_is_not_observed_as_a_term() {
    let mut logs = ObservedLogs::default();
    let voters = BTreeMap::new();
    logs.observe(&message(MessageType::MsgRequestPreVote, 9, 30), &voters);
    assert_eq!(logs.position(VoterId(7)), LogPosition::default());
    logs.observe(&message(MessageType::MsgAppendResponse, 4, 20), &voters);
    logs.observe(&message(MessageType::MsgHeartbeat, 3, 30), &voters);
    assert_eq!(logs.position(VoterId(7)), OWN);
}

#[test]
fn logs_of_unknown_senders_are_forgotten_beyond_the_bound() {
    let mut logs = ObservedLogs::default();
    let voters = BTreeMap::from([(VoterId(1), Name::from("a"))]);
    let bound = 4 * MAX_VOTERS as u64;
    let observe = |logs: &mut ObservedLogs, id| {
        let mut sent = message(MessageType::MsgHeartbeat, 4, 0);
        sent.from = id;
        logs.observe(&sent, &voters);
    };
    (1..=bound).for_each(|id| observe(&mut logs, id));
    assert_eq!(logs.position(VoterId(bound)).term, 4);
    observe(&mut logs, bound + 1);
    assert_eq!(logs.position(VoterId(bound)).term, 0);
    assert_eq!(
        logs.position(VoterId(1)).term,
        4,
        "the log of a voter is kept"
    );
}

#[test]
fn ids_of_unknown_senders_are_forgotten_beyond_the_bound() {
    let mut peers = Peers::default();
    let initial_voters = [Name::from("m1")];
    let bound = 4 * MAX_VOTERS as u64;
    for id in 1..=bound {
        peers.record_id(&format!("m{id}").into(), VoterId(id), &initial_voters);
    }
    assert_eq!(peers.id_of(&"m2".into()), Some(VoterId(2)));
    peers.record_id(&"late".into(), VoterId(99), &initial_voters);
    assert_eq!(peers.id_of(&"m2".into()), None);
    assert_eq!(peers.id_of(&"m1".into()), Some(VoterId(1)));
    assert_eq!(peers.id_of(&"late".into()), Some(VoterId(99)));
}

#[test]
fn a_voters_name_comes_from_the_state_then_the_promise_then_the_handshake() {
    let mut peers = Peers::default();
    peers.record_id(&"sent".into(), VoterId(3), &[]);
    let mut identity = Identity::new("own".into(), VoterId(1));
    let mut state = ReplicatedState::default();
    let name = |state: &ReplicatedState, own: &Identity| peers.name_of(VoterId(3), state, own);
    assert_eq!(name(&state, &identity), Some("sent".into()));
    identity.promise(BTreeMap::from([("promised".into(), VoterId(3))]));
    assert_eq!(name(&state, &identity), Some("promised".into()));
    state.voters.insert(VoterId(3), "agreed".into());
    assert_eq!(name(&state, &identity), Some("agreed".into()));
}

#[test]
fn a_restarted_voter_votes_once_all_have_replied_or_the_wait_is_over() {
    let until = Duration::from_secs(1);
    let waiting = Phase::Waiting { until };
    let others = ["a", "b"].map(Name::from);
    assert_eq!(waiting.after_reply(&others, &others[..1]), waiting);
    assert_eq!(waiting.after_reply(&others, &others), Phase::Voting);
    assert_eq!(waiting.after_tick(until - Duration::from_nanos(1)), waiting);
    assert_eq!(waiting.after_tick(until), Phase::Voting);
    for phase in [Phase::Bootstrapping, Phase::Outside, Phase::Stopped] {
        assert_eq!(phase.after_reply(&others, &others), phase);
        assert_eq!(phase.after_tick(until), phase);
    }
}
