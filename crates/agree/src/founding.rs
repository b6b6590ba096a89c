//! How the first voters come to know one another. Each has drawn a number when its folder was made, and is known by it and
//! not by its name: a folder that was emptied draws another, and whoever has it is no voter. Once one knows the numbers of
//! all it promises them, once and for ever; where all have promised the same, they are the voters.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tulipgap_leases::Name;

use crate::interface::Stage;

/// What a voter's folder says of it. It is kept before anything is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub name: Name,
    /// Drawn when the folder was made; never 0.
    pub id: u64,
    /// The first voters by name, as far as that was promised, and whether all did.
    pub promised: Option<BTreeMap<Name, u64>>,
    pub founded: bool,
}

impl Identity {
    pub fn new(name: Name, id: u64) -> Self {
        Identity { name, id: id.max(1), promised: None, founded: false }
    }

    pub fn stage(&self) -> Stage {
        match (&self.promised, self.founded) {
            (_, true) => Stage::Founded,
            (Some(_), false) => Stage::Promises,
            (None, false) => Stage::Knows,
        }
    }
}

pub struct Founding {
    names: Vec<Name>,
    /// The number of each, and what each has promised.
    said: BTreeMap<Name, (u64, Option<BTreeMap<Name, u64>>)>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Came {
    /// Not all have said the same yet.
    Nothing,
    /// To be kept before it is said.
    Promise(BTreeMap<Name, u64>),
    Founded(BTreeMap<Name, u64>),
    /// Others were founded, with another number under this name or without it.
    Outside,
}

impl Founding {
    pub fn new(names: Vec<Name>) -> Self {
        Founding { names, said: BTreeMap::new() }
    }

    /// Whom this one knows: itself, and each that said its number; what it has promised once it has.
    pub fn known(&self, me: &Identity) -> BTreeMap<Name, u64> {
        let said = self.said.iter().map(|(name, (id, _))| (name.clone(), *id));
        me.promised.clone().unwrap_or_else(|| said.chain([(me.name.clone(), me.id)]).collect())
    }

    pub fn hears(
        &mut self,
        me: &Identity,
        from: &Name,
        id: u64,
        founders: &BTreeMap<Name, u64>,
        stage: Stage,
    ) -> Came {
        if stage == Stage::Founded {
            return match founders.get(&me.name) == Some(&me.id) {
                true => Came::Founded(founders.clone()),
                false => Came::Outside,
            };
        }
        if from == &me.name || !self.names.contains(from) {
            return Came::Nothing;
        }
        let promise = (stage == Stage::Promises).then(|| founders.clone());
        let said = self.said.entry(from.clone()).or_insert((id, None));
        // An older word of the same folder takes nothing back.
        *said = (id, promise.or_else(|| said.1.take().filter(|_| said.0 == id)));
        let known = self.known(me);
        if !self.names.iter().all(|name| known.contains_key(name)) {
            return Came::Nothing;
        }
        if me.promised.is_none() {
            return Came::Promise(known);
        }
        let same = |name: &Name| {
            let theirs = self.said.get(name);
            *name == me.name
                || theirs.is_some_and(|(id, p)| p.as_ref() == Some(&known) && known.get(name) == Some(id))
        };
        if self.names.iter().all(same) { Came::Founded(known) } else { Came::Nothing }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Three that found a cluster while the third is started anew with an empty folder, at any point: whatever order
    /// their words come in, no two are founded with other numbers.
    #[test]
    fn a_folder_emptied_while_the_voters_meet_never_makes_two_foundations() {
        let names: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
        let mut all = 0;
        for seed in 0..6_000 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let fresh = |name: &Name, id| (Identity::new(name.clone(), id), Founding::new(names.clone()));
            let mut voters: Vec<_> = (0..3).map(|at| fresh(&names[at], at as u64 + 1)).collect();
            let mut said: Vec<(Name, u64, BTreeMap<Name, u64>, Stage)> = Vec::new();
            let emptied = rng.usize(0..60);
            let mut foundations: Vec<BTreeMap<Name, u64>> = Vec::new();
            for step in 0..80 {
                if step == emptied && seed % 2 == 0 {
                    voters[2] = fresh(&names[2], 9);
                }
                let (me, founding) = &voters[rng.usize(0..3)];
                said.push((me.name.clone(), me.id, founding.known(me), me.stage()));
                // Any word that was ever said may come now.
                let (from, id, founders, stage) = said[rng.usize(0..said.len())].clone();
                let (me, founding) = &mut voters[rng.usize(0..3)];
                if me.founded {
                    continue;
                }
                match founding.hears(me, &from, id, &founders, stage) {
                    Came::Promise(map) => me.promised = Some(map),
                    Came::Founded(map) => {
                        (me.promised, me.founded) = (Some(map.clone()), true);
                        foundations.push(map);
                    }
                    Came::Nothing | Came::Outside => {}
                }
            }
            all += usize::from(foundations.len() == 3);
            foundations.dedup();
            assert!(foundations.len() <= 1, "seed {seed}: {foundations:?}");
        }
        assert!(all > 300, "they do come to be founded: {all}");
    }
}
