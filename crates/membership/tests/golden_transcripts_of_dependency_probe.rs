//! Golden transcripts of the dependency prober: for a seed, the same inputs give the same outputs.
//! `golden_transcripts.rs` does the same for [`Membership`](tulipgap_membership::Membership).

#[path = "../../../tests/golden_transcripts/recorded_words.rs"]
mod recorded_words;

use std::time::Duration;

use recorded_words::with_recorded_words;
use tulipgap_membership::dependency_probe::{
    DependencyProber, Input, ProbeOutcome, Verdict, VerdictChange,
};

/// Words of the library renamed since the checksums were recorded: each present word, and the
/// recorded word that takes its place in a transcript.
const RENAMED_WORDS: &[(&str, &str)] = &[];

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Runs several probers of one dependency. The probing lease moves at random among the probers that
/// request it, and a prober does not always see the verdicts of the others.
fn dependency_prober_transcript(seed: u64) -> u32 {
    const PROBERS: usize = 4;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut transcript = crc32fast::Hasher::new();
    let mut probers: [DependencyProber; PROBERS] = Default::default();
    let mut wants_lease = [false; PROBERS];
    let mut probed = [false; PROBERS];
    let mut published: [Option<String>; PROBERS] = Default::default();
    let (mut holder, mut is_dependency_up) = (0, true);
    for step in 0..2000 {
        let now = ms(step * 90 + rng.u64(0..60));
        if rng.u32(0..60) == 0 {
            is_dependency_up = !is_dependency_up;
        }
        if rng.u32(0..40) == 0 {
            holder = rng.usize(0..PROBERS);
        }
        let index = rng.usize(0..PROBERS);
        let verdicts: Vec<Verdict> = (0..PROBERS)
            .filter(|&other| other != index && rng.u32(0..50) > 0)
            .filter_map(|other| {
                let text = published[other].clone()?;
                let member = format!("n{other}").as_str().into();
                Some(Verdict { member, text })
            })
            .collect();
        let outcome = match is_dependency_up {
            true => ProbeOutcome::Succeeded,
            false => ProbeOutcome::Failed,
        };
        let input = Input {
            consecutive_refusals: if is_dependency_up { 0 } else { rng.u32(0..6) },
            has_lease: index == holder && wants_lease[index],
            probe_outcome: probed[index].then_some(outcome),
            verdicts: &verdicts,
        };
        let output = probers[index].update(now, &input);
        let text = format!("{index} {output:?}\n");
        transcript.update(with_recorded_words(&text, RENAMED_WORDS).as_bytes());
        wants_lease[index] = output.should_have_lease;
        probed[index] = output.should_probe;
        match output.verdict_change {
            Some(VerdictChange::Publish(text)) => published[index] = Some(text),
            // A lost withdrawal: the verdict has to expire.
            Some(VerdictChange::Withdraw) if rng.bool() => published[index] = None,
            _ => {}
        }
    }
    transcript.finalize()
}

#[test]
fn random_inputs_give_the_recorded_outputs_of_the_dependency_prober() {
    const EXPECTED: [u32; 10] = [
        0x1c2aec0e, 0xb9f150c6, 0xfff11d7c, 0x74593919, 0x5e6779dd, 0x02117fa7, 0x7c590fda,
        0xa2f11a4a, 0x3787b401, 0x1b7104e1,
    ];
    let transcripts: Vec<u32> = (0..EXPECTED.len() as u64)
        .map(dependency_prober_transcript)
        .collect();
    assert_eq!(transcripts, EXPECTED, "{transcripts:#010x?}");
}
