//! Faults drawn from a seed, and a plan that shows a failure made as small as it goes.

use crate::plan::{Fault, Left, Plan, Span, Trouble};

/// The same plan with faults drawn from the seed beside its own: up to six, over by two thirds of its length.
pub fn drawn(plan: &Plan, seed: u64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x0063_6861_6f73);
    let names = plan.names();
    let mut plan = plan.clone();
    let last = plan.length * 2.0 / 3.0;
    let mut emptied = false;
    for _ in 0..rng.usize(1..=6) {
        let any = |rng: &mut fastrand::Rng| names[rng.usize(0..names.len())].0.clone();
        let (of, other) = (any(&mut rng), any(&mut rng));
        let from = 1.0 + (last - 2.0).max(0.1) * rng.f64();
        let to = (from + 0.2 + 8.0 * rng.f64() * rng.f64()).min(last + 0.1);
        let span = Span { from, to };
        let fault = match rng.usize(0..9) {
            0 => {
                let flap = rng.bool().then(|| 0.05 + rng.f64());
                Fault::Cut { span, a: of, b: other, one_way: rng.bool(), flap }
            }
            // One against all others.
            1 => Fault::Cut { span, a: of, b: String::new(), one_way: rng.usize(0..3) == 0, flap: None },
            2 => {
                let (loss, twice) = (0.4 * rng.f64(), 0.4 * rng.f64());
                Fault::Links { span, of: String::new(), loss, delay_ms: 200.0 * rng.f64(), twice }
            }
            3 => Fault::Links { span, of, loss: 0.1, delay_ms: 1500.0 * rng.f64(), twice: 0.1 },
            4 | 5 => {
                // A second folder lost would leave no majority that knows what was told.
                let lost = !emptied && rng.usize(0..6) == 0;
                emptied |= lost;
                let folder = if lost { Left::Emptied } else { Left::Kept };
                Fault::Crash { at: from, of, back: Some(to), folder }
            }
            6 => Fault::Stop { at: from, of, back: Some(to) },
            7 => Fault::Clock { of, rate: if rng.bool() { 1.05 } else { 0.95 } },
            // Whoever's disk fails votes again only once it was started anew.
            _ if rng.bool() => Fault::Disk { at: from, of, back: Some(to), what: Trouble::Fails },
            _ => Fault::Disk { at: from, of, back: Some(to), what: Trouble::Full },
        };
        if let Fault::Disk { of, back, .. } = &fault {
            let at = back.unwrap_or(last);
            plan.faults.push(Fault::Crash { at, of: of.clone(), back: Some(at + 0.1), folder: Left::Kept });
        }
        plan.faults.push(fault);
    }
    // As a file has them, so that one written of it plays the very same run.
    plan.faults.sort_by_key(Fault::rank);
    plan
}

/// Leaves out one fault after the other for as long as it still fails.
pub fn shrunk(plan: &Plan, fails: impl Fn(&Plan) -> bool) -> Plan {
    let mut plan = plan.clone();
    let mut at = 0;
    while at < plan.faults.len() {
        let mut less = plan.clone();
        less.faults.remove(at);
        match fails(&less) {
            true => plan = less,
            false => at += 1,
        }
    }
    plan
}
