use super::{Bootstrap, BootstrapStep, PeerBootstrap};
use crate::identity::Identity;
use crate::peer_message::{BootstrapStage, VoterId};

use std::collections::BTreeMap;

use tulipgap_leases::Name;

/// Three voters bootstrap, and in half of the runs the third restarts with an empty directory at a
/// random step. Messages are reordered, repeated and lost. No two voters may complete bootstrap
/// with different voter sets: a lease could then be granted twice.
#[test]
fn a_directory_emptied_during_bootstrap_never_makes_two_voter_sets() {
    let names: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
    let mut completed = 0;
    for seed in 0..6_000 {
        let mut random = fastrand::Rng::with_seed(seed);
        let new_voter = |name: &Name, id| {
            (
                Identity::new(name.clone(), VoterId(id)),
                Bootstrap::new(names.clone()),
            )
        };
        let mut voters: Vec<_> = (0..3)
            .map(|at| new_voter(&names[at], at as u64 + 1))
            .collect();
        let mut sent: Vec<(Name, VoterId, BTreeMap<Name, VoterId>, BootstrapStage)> = Vec::new();
        let emptied_at = random.usize(0..60);
        let mut voter_sets: Vec<BTreeMap<Name, VoterId>> = Vec::new();
        for step in 0..80 {
            if step == emptied_at && seed % 2 == 0 {
                voters[2] = new_voter(&names[2], 9);
            }
            let (own, bootstrap) = &voters[random.usize(0..3)];
            sent.push((
                own.name.clone(),
                own.id,
                bootstrap.known_voters(own),
                own.stage(),
            ));
            // Any message that was sent so far may arrive, at any voter.
            let (from, id, initial_voters, stage) = sent[random.usize(0..sent.len())].clone();
            let (own, bootstrap) = &mut voters[random.usize(0..3)];
            if own.is_bootstrapped {
                continue;
            }
            let peer = PeerBootstrap {
                from: &from,
                id,
                initial_voters: &initial_voters,
                stage,
            };
            match bootstrap.handle_handshake(own, peer) {
                BootstrapStep::Promise(voters) => own.promised = Some(voters),
                BootstrapStep::Complete(voters) => {
                    (own.promised, own.is_bootstrapped) = (Some(voters.clone()), true);
                    voter_sets.push(voters);
                }
                BootstrapStep::Wait | BootstrapStep::Outside => {}
            }
        }
        completed += usize::from(voter_sets.len() == 3);
        voter_sets.dedup();
        assert!(voter_sets.len() <= 1, "seed {seed}: {voter_sets:?}");
    }
    assert!(
        completed > 300,
        "bootstrap completes in too few runs: {completed}"
    );
}
