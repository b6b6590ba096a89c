//! Replacing a voter must leave a group that still grants leases, with the new voter in the place
//! of the old one.

mod common;

use std::time::Duration;

use common::{
    BOOTSTRAP_VOTERS, Delivery, Files, Group, MAX_TICKS, acquire, is_snapshot, open_voter,
};
use tulipgap_consensus::Event;
use tulipgap_leases::Name;

/// The interval between requests for the lease to every voter: 5 s. The first request follows one
/// interval after the start of the replacement, since a leader that is not removed yet would grant
/// it.
const REQUEST_INTERVAL_TICKS: usize = 50;

/// Guards against a group without a usable leader after an operator replaced the leader. The leader
/// removed itself and remained the leader of its term; the new voter's log stayed empty, the other
/// voters stayed followers, and every voter rejected every request, so that no lease was granted,
/// renewed or expired. A client must be granted a lease within a minute, and the new voter must
/// vote in place of the replaced one.
#[test]
fn a_group_whose_leader_is_replaced_accepts_commands() {
    let folders = BOOTSTRAP_VOTERS.map(|name| (name.into(), Files::new()));
    let mut group = Group::new(folders.into());
    group.tick_until("a leader", |group| group.leader().is_some());
    let replaced = group.leader().unwrap();
    group.add_new_voter(&"d".into(), 9);
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
        if has_granted(&group) && is_replacement_complete(&group, &replaced) {
            return;
        }
    }
    panic!(
        "not finished within a minute: granted={} replaced={} {}",
        has_granted(&group),
        is_replacement_complete(&group, &replaced),
        summary(&group)
    );
}

/// Guards against a new voter that never votes: the consensus of a learner ignores a snapshot that
/// was taken before the learner was added, and the leader waited for its confirmation. The numbers
/// of commands cover a log that begins with the bootstrap snapshot and, from 250 entries on, one
/// that is compacted.
#[test]
fn a_new_voter_receives_a_snapshot_that_lists_it() {
    for commands in [0, 100, 249, 251, 800] {
        replace_follower(commands, Delivery::Immediate);
    }
}

/// Guards against a new voter that never votes because its snapshot was lost: the leader waited for
/// the confirmation.
#[test]
fn a_lost_snapshot_is_resent() {
    for commands in [0, 800] {
        replace_follower(commands, Delivery::Lost);
    }
}

/// Replaces a voter that does not lead, after this number of commands. `first_snapshot` is the
/// delivery of the first snapshot.
fn replace_follower(commands: usize, first_snapshot: Delivery) {
    let folders = BOOTSTRAP_VOTERS.map(|name| (name.into(), Files::new()));
    let mut group = Group::new(folders.into());
    group.tick_until("a leader", |group| group.leader().is_some());
    let leader = group.leader().unwrap();
    for _ in 0..commands {
        group.propose_to(&leader, acquire("old", "m1", Duration::from_secs(60), 1));
    }
    group.add_new_voter(&"d".into(), 9);
    set_first_snapshot_delivery(&mut group, first_snapshot);
    let replaced = BOOTSTRAP_VOTERS.into_iter().find(|name| **name != *leader);
    let old = replaced.unwrap().into();
    let event = Event::ReplaceVoter {
        old,
        new: "d".into(),
    };
    group.deliver(&leader, event);
    group.tick_until("the new voter has replaced the old one", |group| {
        is_replacement_complete(group, replaced.unwrap())
    });
}

/// Sets the delivery of the first snapshot that is sent. All other messages arrive immediately.
fn set_first_snapshot_delivery(group: &mut Group, delivery: Delivery) {
    let mut first_delivery = std::iter::once(delivery);
    group.choose_delivery = Box::new(move |message| match is_snapshot(message) {
        true => first_delivery.next().unwrap_or(Delivery::Immediate),
        false => Delivery::Immediate,
    });
}

fn request_from_every_voter(group: &mut Group) {
    let voters: Vec<_> = group.voters_by_name.keys().cloned().collect();
    for voter in voters {
        group.propose_to(&voter, acquire("lease", "m1", Duration::from_secs(3600), 1));
    }
}

/// Whether a voter has applied a grant, which it does only after a quorum has stored it.
fn has_granted(group: &Group) -> bool {
    group.voters_by_name.values().any(|voter| {
        let lease = voter.voter().leases().lease("lease");
        lease.is_some_and(|lease| !lease.holders.is_empty())
    })
}

/// Whether the new voter votes in place of `replaced`, by the new voter's own state.
fn is_replacement_complete(group: &Group, replaced: &str) -> bool {
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

/// The minimum election timeout. Timeouts are sampled from this up to twice as many ticks.
const ELECTION_TICKS: usize = 10;
/// The time limit of a replacement without faults: the new voter becomes a learner, receives a
/// snapshot and becomes a voter, and the replaced voter is removed, by the next leader if it led.
const MAX_REPLACEMENT_TICKS: usize = ELECTION_TICKS;
/// The time limit of a replacement with a fault: one snapshot is lost, duplicated or delayed, or
/// the leader crashes. It allows for one more election timeout, which is at most twice the minimum.
const MAX_REPLACEMENT_TICKS_WITH_FAULT: usize = MAX_REPLACEMENT_TICKS + 2 * ELECTION_TICKS;

/// The fault during a replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The first snapshot that is sent has this delivery.
    FirstSnapshot(Delivery),
    /// The leader crashes this number of ticks after the replacement was requested. Unless it is
    /// the replaced voter, it restarts later.
    LeaderCrash {
        after_ticks: usize,
    },
}

/// A replacement of a voter, sampled from a seed.
#[derive(Debug)]
struct Replacement {
    /// Commands before the replacement. Every 250 entries a snapshot is taken, which leaves 200
    /// entries in the log.
    commands: usize,
    replaces_leader: bool,
    fault: Fault,
}

impl Replacement {
    fn sample(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ticks = rng.usize(1..3 * ELECTION_TICKS);
        Replacement {
            commands: rng.usize(0..800),
            replaces_leader: rng.bool(),
            fault: match rng.u8(..5) {
                0 => Fault::None,
                1 => Fault::FirstSnapshot(Delivery::Lost),
                2 => Fault::FirstSnapshot(Delivery::Duplicated(ticks)),
                3 => Fault::FirstSnapshot(Delivery::Delayed(ticks)),
                _ => Fault::LeaderCrash {
                    after_ticks: ticks % ELECTION_TICKS,
                },
            },
        }
    }

    fn max_ticks(&self) -> usize {
        match self.fault {
            Fault::None => MAX_REPLACEMENT_TICKS,
            _ => MAX_REPLACEMENT_TICKS_WITH_FAULT,
        }
    }

    /// Replaces a voter of a new group. Returns the number of ticks until the new voter votes in
    /// its place and a lease is granted.
    fn run(&self, seed: u64) -> usize {
        let folders = BOOTSTRAP_VOTERS.map(|name| (name.into(), Files::new()));
        let mut group = Group::new(folders.into());
        group.tick_until("a leader", |group| group.leader().is_some());
        let leader = group.leader().unwrap();
        for turn in 0..self.commands {
            let lease = format!("lease-{}", turn % 5);
            let member = format!("m{}", turn % 7);
            group.propose_to(
                &leader,
                acquire(&lease, &member, Duration::from_secs(60), 2),
            );
        }
        group.add_new_voter(&"d".into(), 1000 + seed);
        let leader = group.leader().unwrap();
        let replaced = self.choose_replaced_voter(&group, &leader);
        if let Fault::FirstSnapshot(delivery) = self.fault {
            set_first_snapshot_delivery(&mut group, delivery);
        }
        let event = Event::ReplaceVoter {
            old: replaced.clone(),
            new: "d".into(),
        };
        group.deliver(&leader, event);
        for tick in 1..=MAX_TICKS {
            self.crash_leader(&mut group, &leader, tick, seed);
            group.tick();
            request_from_every_voter(&mut group);
            if has_granted(&group) && is_replacement_complete(&group, &replaced) {
                return tick;
            }
        }
        panic!(
            "seed {seed}, {self:?}: not finished within a minute: {}",
            summary(&group)
        );
    }

    fn choose_replaced_voter(&self, group: &Group, leader: &Name) -> Name {
        let mut voters = group.voters_by_name.keys();
        let is_chosen = |name: &&Name| ***name != *"d" && (*name == leader) == self.replaces_leader;
        voters.find(is_chosen).unwrap().clone()
    }

    /// Crashes the leader, and restarts it from its disk two election timeouts later, unless it is
    /// the replaced voter.
    fn crash_leader(&self, group: &mut Group, leader: &Name, tick: usize, seed: u64) {
        let Fault::LeaderCrash { after_ticks } = self.fault else {
            return;
        };
        if tick == after_ticks + 1 {
            group.voters_by_name.remove(leader);
        }
        if tick == after_ticks + 1 + 2 * ELECTION_TICKS && !self.replaces_leader {
            let voter = open_voter(leader, &group.disks[leader], seed);
            group.voters_by_name.insert(leader.clone(), voter);
        }
    }
}

/// Runs the replacements of these seeds and prints the maximum number of ticks by kind of fault.
fn replace_in_many_groups(seeds: std::ops::Range<u64>) {
    let mut max_ticks = std::collections::BTreeMap::new();
    for seed in seeds {
        let replacement = Replacement::sample(seed);
        let ticks = replacement.run(seed);
        assert!(
            ticks <= replacement.max_ticks(),
            "seed {seed}, {replacement:?}: {ticks} ticks"
        );
        let kind = format!("{:?}", replacement.fault);
        let kind = kind.split(['(', ' ']).take(2).collect::<Vec<_>>().join(" ");
        let max = max_ticks.entry(kind).or_insert(0);
        *max = ticks.max(*max);
    }
    println!("maximum ticks until the new voter has replaced the old one: {max_ticks:?}");
}

/// Guards against a new voter that never votes: the snapshot for it did not list it or was lost,
/// and the leader sent it nothing more. Snapshots are lost, duplicated and delayed, leaders crash,
/// and the number of commands before the replacement varies, so that the log may have been
/// compacted.
#[test]
fn a_replacement_finishes_in_time_despite_a_fault() {
    replace_in_many_groups(0..150);
}

/// The same as the test above with more seeds, to be run manually.
#[test]
#[ignore = "takes half a minute: cargo test -p tulipgap-consensus --test voter_replacement -- --ignored"]
fn a_replacement_finishes_in_time_over_a_thousand_seeds() {
    replace_in_many_groups(0..1000);
}
