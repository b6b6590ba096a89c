//! Samples random faults from a seed, and minimizes the faults that reproduce a failure.
//!
//! The sampled faults never destroy committed data on a majority of voters, and they end well
//! before the run does. An invariant violation is therefore a bug, and not the effect of too many
//! faults. The order and the ranges of the samples must not change: recorded seeds identify runs
//! that showed a bug.

use crate::plan::{DirectoryAfterCrash, DiskFault, Fault, Member, Plan, TimeWindow};

/// Makes the sampled faults independent of the random numbers of a run with the same seed.
const SEED_MASK: u64 = 0x0063_6861_6f73;
/// The maximum number of random faults that are added to a plan. The restart after a disk fault is
/// not counted.
const MAX_RANDOM_FAULTS: usize = 6;
/// The fraction of a run's length after which faults end.
const FAULTS_END_FRACTION: f64 = 2.0 / 3.0;
/// How long a process stays dead when it restarts after a disk fault, in seconds.
const RESTART_SECONDS: f64 = 0.1;
/// The earliest beginning of a fault, in seconds since the start of the run.
const FIRST_FAULT_SECONDS: f64 = 1.0;
/// How much shorter the span in which faults may begin is than the time until faults end, in
/// seconds. The span starts at [`FIRST_FAULT_SECONDS`], so each fault begins at least 1 s before
/// faults end, unless [`MIN_BEGIN_SPAN_SECONDS`] applies.
const LAST_FAULT_MARGIN_SECONDS: f64 = 2.0;
/// The minimum length of the span in which faults may begin, in seconds, for short runs.
const MIN_BEGIN_SPAN_SECONDS: f64 = 0.1;
/// The minimum duration of a fault, in seconds.
const MIN_FAULT_SECONDS: f64 = 0.2;
/// The maximum random addition to the minimum duration of a fault, in seconds. It is multiplied by
/// two random fractions, so short faults are more likely.
const FAULT_SPREAD_SECONDS: f64 = 8.0;
/// How far the end of one fault may exceed the time after which faults end, in seconds.
const FAULTS_END_TOLERANCE_SECONDS: f64 = 0.1;
/// One in this number of crashes empties the process's directory.
const CRASHES_PER_EMPTIED_DIRECTORY: usize = 6;
/// One in this number of isolated members is cut off in one direction only.
const ISOLATIONS_PER_ONE_WAY: usize = 3;
/// The rate of a fast clock, in seconds that it shows for each true second.
const FAST_CLOCK_RATE: f64 = 1.05;
/// The rate of a slow clock, in seconds that it shows for each true second.
const SLOW_CLOCK_RATE: f64 = 0.95;
/// The minimum time for which a flapping link stays cut or open, in seconds.
const MIN_FLAP_SECONDS: f64 = 0.05;
/// The maximum fraction of messages that degraded links lose.
const MAX_LOSS: f64 = 0.4;
/// The maximum fraction of messages that degraded links deliver twice.
const MAX_DUPLICATION: f64 = 0.4;
/// The maximum mean delay on degraded links, in milliseconds.
const MAX_DELAY_MS: f64 = 200.0;
/// The maximum mean delay on the links of a slow member, in milliseconds.
const MAX_SLOW_MEMBER_DELAY_MS: f64 = 1500.0;
/// The fraction of messages that the links of a slow member lose.
const SLOW_MEMBER_LOSS: f64 = 0.1;
/// The fraction of messages that the links of a slow member deliver twice.
const SLOW_MEMBER_DUPLICATION: f64 = 0.1;

/// Returns the plan with one to six random faults added. They end after about two thirds of the
/// run, except for changed clock rates, which last for the whole run. The same seed gives the same
/// faults.
pub fn with_random_faults(plan: &Plan, seed: u64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed ^ SEED_MASK);
    let members = plan.members();
    let mut plan = plan.clone();
    let end = plan.length * FAULTS_END_FRACTION;
    let mut has_emptied_directory = false;
    for _ in 0..rng.usize(1..=MAX_RANDOM_FAULTS) {
        let fault = sample_fault(&mut rng, &members, end, &mut has_emptied_directory);
        if let Fault::Disk {
            target,
            repaired_at,
            ..
        } = &fault
        {
            // A voter whose disk fails votes again only after a restart.
            let at = repaired_at.unwrap_or(end);
            plan.faults.push(Fault::Crash {
                at,
                target: target.clone(),
                restart_at: Some(at + RESTART_SECONDS),
                directory: DirectoryAfterCrash::Kept,
            });
        }
        plan.faults.push(fault);
    }
    // This is the order of a plan file, so a plan that is written to a file and parsed again gives
    // the same run.
    plan.faults.sort_by_key(Fault::kind_order);
    plan
}

fn sample_member(rng: &mut fastrand::Rng, members: &[Member]) -> String {
    members[rng.usize(0..members.len())].name.clone()
}

fn sample_window(rng: &mut fastrand::Rng, end: f64) -> TimeWindow {
    let begin_span = (end - LAST_FAULT_MARGIN_SECONDS).max(MIN_BEGIN_SPAN_SECONDS);
    let from = FIRST_FAULT_SECONDS + begin_span * rng.f64();
    let to = (from + MIN_FAULT_SECONDS + FAULT_SPREAD_SECONDS * rng.f64() * rng.f64())
        .min(end + FAULTS_END_TOLERANCE_SECONDS);
    TimeWindow { from, to }
}

/// Samples one fault. At most one directory is emptied in a run: a second one could leave no
/// majority that has all committed data.
fn sample_fault(
    rng: &mut fastrand::Rng,
    members: &[Member],
    end: f64,
    has_emptied_directory: &mut bool,
) -> Fault {
    let target = sample_member(rng, members);
    let other = sample_member(rng, members);
    let window = sample_window(rng, end);
    let TimeWindow { from: at, to } = window;
    match rng.usize(0..9) {
        0 => sample_partition(rng, window, target, other),
        1 => sample_isolation(rng, window, target),
        2 => sample_degraded_network(rng, window),
        3 => sample_slow_member(rng, window, target),
        4 | 5 => Fault::Crash {
            at,
            target,
            restart_at: Some(to),
            directory: sample_directory(rng, has_emptied_directory),
        },
        6 => Fault::Pause {
            at,
            target,
            resume_at: Some(to),
            step: None,
        },
        7 => Fault::ClockRate {
            target,
            rate: match rng.bool() {
                true => FAST_CLOCK_RATE,
                false => SLOW_CLOCK_RATE,
            },
        },
        _ => Fault::Disk {
            at,
            target,
            repaired_at: Some(to),
            fault: match rng.bool() {
                true => DiskFault::SyncFails,
                false => DiskFault::Full,
            },
        },
    }
}

fn sample_directory(
    rng: &mut fastrand::Rng,
    has_emptied_directory: &mut bool,
) -> DirectoryAfterCrash {
    let is_emptied = !*has_emptied_directory && rng.usize(0..CRASHES_PER_EMPTIED_DIRECTORY) == 0;
    *has_emptied_directory |= is_emptied;
    match is_emptied {
        true => DirectoryAfterCrash::Emptied,
        false => DirectoryAfterCrash::Kept,
    }
}

fn sample_partition(rng: &mut fastrand::Rng, window: TimeWindow, a: String, b: String) -> Fault {
    let flap = rng.bool().then(|| MIN_FLAP_SECONDS + rng.f64());
    Fault::Partition {
        window,
        a,
        b,
        one_way: rng.bool(),
        flap,
    }
}

/// Samples a partition between one member and all others.
fn sample_isolation(rng: &mut fastrand::Rng, window: TimeWindow, member: String) -> Fault {
    let one_way = rng.usize(0..ISOLATIONS_PER_ONE_WAY) == 0;
    Fault::Partition {
        window,
        a: member,
        b: String::new(),
        one_way,
        flap: None,
    }
}

/// Samples loss, delay and duplication on all links.
fn sample_degraded_network(rng: &mut fastrand::Rng, window: TimeWindow) -> Fault {
    let (loss, duplication) = (MAX_LOSS * rng.f64(), MAX_DUPLICATION * rng.f64());
    let delay_ms = MAX_DELAY_MS * rng.f64();
    Fault::DegradedLinks {
        window,
        target: String::new(),
        loss,
        delay_ms,
        duplication,
    }
}

/// Samples long delays on the links of one member.
fn sample_slow_member(rng: &mut fastrand::Rng, window: TimeWindow, target: String) -> Fault {
    let delay_ms = MAX_SLOW_MEMBER_DELAY_MS * rng.f64();
    Fault::DegradedLinks {
        window,
        target,
        loss: SLOW_MEMBER_LOSS,
        delay_ms,
        duplication: SLOW_MEMBER_DUPLICATION,
    }
}

/// Removes one fault after another, and keeps each removal after which the plan still fails.
pub fn minimize_faults(plan: &Plan, fails: impl Fn(&Plan) -> bool) -> Plan {
    let mut plan = plan.clone();
    let mut index = 0;
    while index < plan.faults.len() {
        let mut smaller = plan.clone();
        smaller.faults.remove(index);
        match fails(&smaller) {
            true => plan = smaller,
            false => index += 1,
        }
    }
    plan
}
