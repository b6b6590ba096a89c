//! Faults drawn from a seed, and the smallest set of them that still shows a failure.

use crate::plan::{DirectoryAfterCrash, DiskFault, Fault, Member, Plan, TimeWindow};

/// Keeps the draws apart from those of a run with the same seed.
const SEED_MASK: u64 = 0x0063_6861_6f73;
const MAX_RANDOM_FAULTS: usize = 6;
/// Faults are over by this fraction of the length of a run.
const FAULTS_END_FRACTION: f64 = 2.0 / 3.0;
/// How long a process stays dead when it is restarted after a disk fault.
const RESTART_SECONDS: f64 = 0.1;

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
    let from = 1.0 + (end - 2.0).max(0.1) * rng.f64();
    let to = (from + 0.2 + 8.0 * rng.f64() * rng.f64()).min(end + 0.1);
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
        4 | 5 => {
            let is_emptied = !*has_emptied_directory && rng.usize(0..6) == 0;
            *has_emptied_directory |= is_emptied;
            let directory = if is_emptied {
                DirectoryAfterCrash::Emptied
            } else {
                DirectoryAfterCrash::Kept
            };
            Fault::Crash {
                at,
                target,
                restart_at: Some(to),
                directory,
            }
        }
        6 => Fault::Pause {
            at,
            target,
            resume_at: Some(to),
        },
        7 => Fault::ClockRate {
            target,
            rate: if rng.bool() { 1.05 } else { 0.95 },
        },
        _ => {
            let fault = if rng.bool() {
                DiskFault::SyncFails
            } else {
                DiskFault::Full
            };
            Fault::Disk {
                at,
                target,
                repaired_at: Some(to),
                fault,
            }
        }
    }
}

fn draw_partition(rng: &mut fastrand::Rng, window: TimeWindow, a: String, b: String) -> Fault {
    let flap = rng.bool().then(|| 0.05 + rng.f64());
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
    let one_way = rng.usize(0..3) == 0;
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
    let (loss, duplication) = (0.4 * rng.f64(), 0.4 * rng.f64());
    let delay_ms = 200.0 * rng.f64();
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
    let delay_ms = 1500.0 * rng.f64();
    Fault::DegradedLinks {
        window,
        target,
        loss: 0.1,
        delay_ms,
        duplication: 0.1,
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
