//! Replacing a voter leaves a group that goes on.

mod common;

use std::time::Duration;

use common::{
    BOOTSTRAP_VOTERS, Files, Group, MAX_TICKS, MessageFate, acquire, is_snapshot, open_voter,
};
use tulipgap_consensus::Event;
use tulipgap_leases::Name;

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

/// Guards against a newcomer that never votes: the consensus of a learner ignores a snapshot that
/// was taken before it was added, and its leader waited for the confirmation of that one. Beyond
/// 250 entries the log is compacted; before, it begins with the snapshot of the bootstrap.
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

/// Ticks of an election timeout. One is drawn from this up to twice as many.
const ELECTION_TICKS: usize = 10;
/// Ticks within which a newcomer votes where no message is lost and no voter fails: it learns, gets
/// a snapshot, votes, and the replaced voter is removed, by the next leader where it led.
const MAX_REPLACEMENT_TICKS: usize = ELECTION_TICKS;
/// The same where its snapshot is lost or late once, and where the leader dies on the way: a
/// further election timeout, which is at most twice as long.
const MAX_DISTURBED_REPLACEMENT_TICKS: usize = MAX_REPLACEMENT_TICKS + 2 * ELECTION_TICKS;

/// What goes wrong while a voter is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    Nothing,
    /// The first snapshot that is sent has this fate.
    FirstSnapshot(MessageFate),
    /// The leader dies so many ticks after the replacement was asked for, and comes back later.
    LeaderDies {
        after_ticks: usize,
    },
}

/// One replacement, drawn from a seed.
#[derive(Debug)]
struct Replacement {
    /// Commands before it. A snapshot is taken each 250 entries, which leaves 200 in the log.
    commands: usize,
    replaces_leader: bool,
    disturbance: Disturbance,
}

impl Replacement {
    fn draw(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let ticks = rng.usize(1..3 * ELECTION_TICKS);
        Replacement {
            commands: rng.usize(0..800),
            replaces_leader: rng.bool(),
            disturbance: match rng.u8(..5) {
                0 => Disturbance::Nothing,
                1 => Disturbance::FirstSnapshot(MessageFate::Lost),
                2 => Disturbance::FirstSnapshot(MessageFate::Doubled(ticks)),
                3 => Disturbance::FirstSnapshot(MessageFate::Late(ticks)),
                _ => Disturbance::LeaderDies {
                    after_ticks: ticks % ELECTION_TICKS,
                },
            },
        }
    }

    fn max_ticks(&self) -> usize {
        match self.disturbance {
            Disturbance::Nothing => MAX_REPLACEMENT_TICKS,
            _ => MAX_DISTURBED_REPLACEMENT_TICKS,
        }
    }

    /// Replaces a voter of a new group. Returns the ticks until the newcomer votes in its place and
    /// a command is granted.
    fn carry_out(&self, seed: u64) -> usize {
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
        group.add_newcomer(&"d".into(), 1000 + seed);
        let leader = group.leader().unwrap();
        let replaced = self.choose_replaced(&group, &leader);
        if let Disturbance::FirstSnapshot(fate) = self.disturbance {
            disturb_first_snapshot(&mut group, fate);
        }
        let event = Event::ReplaceVoter {
            old: replaced.clone(),
            new: "d".into(),
        };
        group.deliver(&leader, event);
        for tick in 1..=MAX_TICKS {
            self.disturb_leader(&mut group, &leader, tick, seed);
            group.tick();
            request_from_every_voter(&mut group);
            if has_granted(&group) && newcomer_votes(&group, &replaced) {
                return tick;
            }
        }
        panic!(
            "seed {seed}, {self:?}: not within a minute: {}",
            summary(&group)
        );
    }

    fn choose_replaced(&self, group: &Group, leader: &Name) -> Name {
        let mut voters = group.voters_by_name.keys();
        let is_chosen = |name: &&Name| ***name != *"d" && (*name == leader) == self.replaces_leader;
        voters.find(is_chosen).unwrap().clone()
    }

    /// The leader dies, and comes back two election timeouts later from its disk. Where it is the
    /// replaced one, it stays away.
    fn disturb_leader(&self, group: &mut Group, leader: &Name, tick: usize, seed: u64) {
        let Disturbance::LeaderDies { after_ticks } = self.disturbance else {
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

/// Carries out the replacements of these seeds, and prints the most ticks by what was disturbed.
fn replace_in_many_groups(seeds: std::ops::Range<u64>) {
    let mut most_ticks = std::collections::BTreeMap::new();
    for seed in seeds {
        let replacement = Replacement::draw(seed);
        let ticks = replacement.carry_out(seed);
        assert!(
            ticks <= replacement.max_ticks(),
            "seed {seed}, {replacement:?}: {ticks} ticks"
        );
        let kind = format!("{:?}", replacement.disturbance);
        let kind = kind.split(['(', ' ']).take(2).collect::<Vec<_>>().join(" ");
        let most = most_ticks.entry(kind).or_insert(0);
        *most = ticks.max(*most);
    }
    println!("most ticks until the newcomer votes: {most_ticks:?}");
}

/// Guards against a newcomer that never votes: the snapshot that it was sent did not name it or was
/// lost, and nothing was sent to it any more. Snapshots are lost, doubled and late, leaders die,
/// and the log is compacted at any point before.
#[test]
fn a_newcomer_votes_in_time_whatever_happens_to_its_snapshot() {
    replace_in_many_groups(0..150);
}

/// The long run, by hand.
#[test]
#[ignore = "takes half a minute: cargo test -p tulipgap-consensus --test voter_replacement -- --ignored"]
fn a_newcomer_votes_in_time_over_a_thousand_seeds() {
    replace_in_many_groups(0..1000);
}
