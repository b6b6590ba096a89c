//! Replacing a voter leaves a group that goes on.

mod common;

use std::time::Duration;

use common::{BOOTSTRAP_VOTERS, Files, Group, MAX_TICKS, MessageFate, acquire, is_snapshot};
use tulipgap_consensus::Event;

/// How often every voter is asked for the lease: each 5 s. It is first asked for that long after
/// the replacement began, as a leader that is still to be removed would grant it.
const REQUEST_INTERVAL_TICKS: usize = 50;

/// An operator replaced the voter that led. The leader removed itself and went on as the leader of
/// the earlier term; the newcomer's log stayed empty, the others stayed followers, and every voter
/// rejected every request: no lease was granted, renewed or expired any more. Whoever asks must be
/// granted a lease within a minute, and the newcomer must vote in the replaced voter's place.
#[test]
fn a_group_whose_leader_is_replaced_accepts_commands() {
    let folders = BOOTSTRAP_VOTERS.map(|name| (name.into(), Files::new()));
    let mut group = Group::new(folders.into());
    group.tick_until("a leader", |group| group.leader().is_some());
    let replaced = group.leader().unwrap();
    group.add_newcomer(&"d".into(), 9);
    let event = Event::ReplaceVoter {
        old: replaced.clone(),
        new: "d".into(),
    };
    group.deliver(&replaced, event);

    for tick in 1..=MAX_TICKS {
        group.tick();
        if tick % REQUEST_INTERVAL_TICKS == 0 {
            request_from_every_voter(&mut group);
        }
        if has_granted(&group) && newcomer_votes(&group, &replaced) {
            return;
        }
    }
    panic!(
        "within a minute: granted={} newcomer_votes={} {}",
        has_granted(&group),
        newcomer_votes(&group, &replaced),
        summary(&group)
    );
}

/// Guards against a newcomer that never votes: the consensus of a learner ignores a snapshot that was
/// taken before it was added, and its leader waited for the confirmation of that one. Beyond 250
/// entries the log is compacted; before, it begins with the snapshot of the bootstrap.
#[test]
fn a_newcomer_gets_a_snapshot_that_names_it() {
    for commands in [0, 100, 249, 251, 800] {
        replace_follower(commands, MessageFate::Delivered);
    }
}

/// Guards against a newcomer that never votes as its snapshot was lost: the leader waited for the
/// confirmation of that one.
#[test]
fn a_snapshot_that_is_lost_is_sent_again() {
    for commands in [0, 800] {
        replace_follower(commands, MessageFate::Lost);
    }
}

/// Replaces a voter that does not lead, after so many commands; the first snapshot has that fate.
fn replace_follower(commands: usize, first_snapshot: MessageFate) {
    let folders = BOOTSTRAP_VOTERS.map(|name| (name.into(), Files::new()));
    let mut group = Group::new(folders.into());
    group.tick_until("a leader", |group| group.leader().is_some());
    let leader = group.leader().unwrap();
    for _ in 0..commands {
        group.propose_to(&leader, acquire("old", "m1", Duration::from_secs(60), 1));
    }
    group.add_newcomer(&"d".into(), 9);
    disturb_first_snapshot(&mut group, first_snapshot);
    let replaced = BOOTSTRAP_VOTERS.into_iter().find(|name| **name != *leader);
    let old = replaced.unwrap().into();
    let event = Event::ReplaceVoter {
        old,
        new: "d".into(),
    };
    group.deliver(&leader, event);
    group.tick_until("the newcomer votes", |group| {
        newcomer_votes(group, replaced.unwrap())
    });
}

/// The first snapshot that is sent has that fate; all other messages are delivered.
fn disturb_first_snapshot(group: &mut Group, fate: MessageFate) {
    let mut fates = std::iter::once(fate);
    group.fate = Box::new(move |message| match is_snapshot(message) {
        true => fates.next().unwrap_or(MessageFate::Delivered),
        false => MessageFate::Delivered,
    });
}

fn request_from_every_voter(group: &mut Group) {
    let voters: Vec<_> = group.voters_by_name.keys().cloned().collect();
    for voter in voters {
        group.propose_to(&voter, acquire("lease", "m1", Duration::from_secs(3600), 1));
    }
}

/// Whether a voter has applied a grant, which it does only once a quorum has it.
fn has_granted(group: &Group) -> bool {
    group.voters_by_name.values().any(|voter| {
        let lease = voter.voter().leases().lease("lease");
        lease.is_some_and(|lease| !lease.holders.is_empty())
    })
}

fn newcomer_votes(group: &Group, replaced: &str) -> bool {
    let voters = group.voter_names("d");
    let has = |name: &str| voters.iter().any(|voter| **voter == *name);
    voters.len() == BOOTSTRAP_VOTERS.len() && has("d") && !has(replaced)
}

fn summary(group: &Group) -> String {
    let voters = group.voters_by_name.iter().map(|(name, voter)| {
        let status = voter.voter().status();
        let (term, leads) = (status.term, voter.voter().is_leader());
        let (leader, applied) = (status.leader, status.applied_index);
        format!("{name} term={term} leads={leads} leader={leader:?} applied={applied}")
    });
    voters.collect::<Vec<_>>().join("; ")
}
