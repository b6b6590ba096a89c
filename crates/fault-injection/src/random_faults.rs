//! Faults drawn from a seed, and the smallest set of them that still shows a failure.
//!
//! The faults are drawn so that a majority of voters keeps what was committed, and so that all is
//! repaired well before the end: an invariant that is violated then shows a bug and not that too
//! much was broken. A draw must not move: kept seeds name the runs that showed a bug.

use crate::plan::{DirectoryAfterCrash, DiskFault, Fault, Member, Plan, TimeWindow};

/// Keeps the draws apart from those of a run with the same seed.
const SEED_MASK: u64 = 0x0063_6861_6f73;
/// Faults that are drawn beside those of the plan, at most.
const MAX_RANDOM_FAULTS: usize = 6;
/// The fraction of the length of a run by which faults are over.
const FAULTS_END_FRACTION: f64 = 2.0 / 3.0;
/// How long a process stays dead when it is restarted after a disk fault, in seconds.
const RESTART_SECONDS: f64 = 0.1;
/// When faults begin at the earliest, in seconds since the start.
const FIRST_FAULT_SECONDS: f64 = 1.0;
/// How long before the end of faults the last one begins, counted from the earliest, in seconds.
const LAST_FAULT_MARGIN_SECONDS: f64 = 2.0;
/// The shortest span of time in which faults may begin, in seconds, however short the run.
const MIN_BEGIN_SPAN_SECONDS: f64 = 0.1;
/// The shortest fault, in seconds.
const MIN_FAULT_SECONDS: f64 = 0.2;
/// How much longer than the shortest a fault is at most, in seconds. Short ones are more likely.
const FAULT_SPREAD_SECONDS: f64 = 8.0;
/// How long after the end of faults one may still last, in seconds.
const FAULTS_END_TOLERANCE_SECONDS: f64 = 0.1;
/// One crash in so many empties the process's directory.
const CRASHES_PER_EMPTIED_DIRECTORY: usize = 6;
/// One isolated member in so many is cut off one way only.
const ISOLATIONS_PER_ONE_WAY: usize = 3;
/// The rate of a fast clock, in its seconds for each true second.
const FAST_CLOCK_RATE: f64 = 1.05;
/// The rate of a slow clock, in its seconds for each true second.
const SLOW_CLOCK_RATE: f64 = 0.95;
/// How long a flapping link stays cut or open at least, in seconds.
const MIN_FLAP_SECONDS: f64 = 0.05;
/// The largest fraction of messages that is lost on degraded links.
const MAX_LOSS: f64 = 0.4;
/// The largest fraction of messages that is delivered twice on degraded links.
const MAX_DUPLICATION: f64 = 0.4;
/// The longest mean delay on degraded links, in milliseconds.
const MAX_DELAY_MS: f64 = 200.0;
/// The longest mean delay on the links of a slow member, in milliseconds.
const MAX_SLOW_MEMBER_DELAY_MS: f64 = 1500.0;
/// The fraction of messages that is lost on the links of a slow member.
const SLOW_MEMBER_LOSS: f64 = 0.1;
/// The fraction of messages that is delivered twice on the links of a slow member.
const SLOW_MEMBER_DUPLICATION: f64 = 0.1;

/// The same plan with up to six random faults beside its own, over by two thirds of its length. The
/// same seed draws the same faults.
pub fn with_random_faults(plan: &Plan, seed: u64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed ^ SEED_MASK);
    let members = plan.members();
    let mut plan = plan.clone();
    let end = plan.length * FAULTS_END_FRACTION;
    let mut has_emptied_directory = false;
    for _ in 0..rng.usize(1..=MAX_RANDOM_FAULTS) {
        let fault = draw_fault(&mut rng, &members, end, &mut has_emptied_directory);
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
    // In the order of a plan file, so that a file that is written of this plan plays the very same
    // run.
    plan.faults.sort_by_key(Fault::kind_order);
    plan
}

fn draw_member(rng: &mut fastrand::Rng, members: &[Member]) -> String {
    members[rng.usize(0..members.len())].name.clone()
}

fn draw_window(rng: &mut fastrand::Rng, end: f64) -> TimeWindow {
    let begin_span = (end - LAST_FAULT_MARGIN_SECONDS).max(MIN_BEGIN_SPAN_SECONDS);
    let from = FIRST_FAULT_SECONDS + begin_span * rng.f64();
    let to = (from + MIN_FAULT_SECONDS + FAULT_SPREAD_SECONDS * rng.f64() * rng.f64())
        .min(end + FAULTS_END_TOLERANCE_SECONDS);
    TimeWindow { from, to }
}

/// Draws one fault. At most one directory is emptied in a run: a second one would leave no majority
/// that knows all that was committed.
fn draw_fault(
    rng: &mut fastrand::Rng,
    members: &[Member],
    end: f64,
    has_emptied_directory: &mut bool,
) -> Fault {
    let target = draw_member(rng, members);
    let other = draw_member(rng, members);
    let window = draw_window(rng, end);
    let TimeWindow { from: at, to } = window;
    match rng.usize(0..9) {
        0 => draw_partition(rng, window, target, other),
        1 => draw_isolation(rng, window, target),
        2 => draw_degraded_network(rng, window),
        3 => draw_slow_member(rng, window, target),
        4 | 5 => Fault::Crash {
            at,
            target,
            restart_at: Some(to),
            directory: draw_directory(rng, has_emptied_directory),
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

fn draw_directory(
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

fn draw_partition(rng: &mut fastrand::Rng, window: TimeWindow, a: String, b: String) -> Fault {
    let flap = rng.bool().then(|| MIN_FLAP_SECONDS + rng.f64());
    Fault::Partition {
        window,
        a,
        b,
        one_way: rng.bool(),
        flap,
    }
}

/// One member against all others.
fn draw_isolation(rng: &mut fastrand::Rng, window: TimeWindow, member: String) -> Fault {
    let one_way = rng.usize(0..ISOLATIONS_PER_ONE_WAY) == 0;
    Fault::Partition {
        window,
        a: member,
        b: String::new(),
        one_way,
        flap: None,
    }
}

/// Loss, delay and duplication on all links.
fn draw_degraded_network(rng: &mut fastrand::Rng, window: TimeWindow) -> Fault {
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

/// Long delays on the links of one member.
fn draw_slow_member(rng: &mut fastrand::Rng, window: TimeWindow, target: String) -> Fault {
    let delay_ms = MAX_SLOW_MEMBER_DELAY_MS * rng.f64();
    Fault::DegradedLinks {
        window,
        target,
        loss: SLOW_MEMBER_LOSS,
        delay_ms,
        duplication: SLOW_MEMBER_DUPLICATION,
    }
}

/// Leaves out one fault after the other for as long as the plan still fails.
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
