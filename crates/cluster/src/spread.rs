//! What is passed on: each update with a count of how often it went out, the least sent first.

use std::collections::BTreeMap;

use crate::interface::{Name, Update};

#[derive(Default)]
pub struct Spread {
    updates: BTreeMap<Name, (u32, Update)>,
}

impl Spread {
    /// From now on this is said of that member, in place of what was.
    pub fn put(&mut self, update: Update) {
        self.updates.insert(update.about.name.clone(), (0, update));
    }

    /// Up to `most` updates, the least sent first and what is said of `first` before all; each goes out `times` at the
    /// most.
    pub fn take(&mut self, most: usize, times: u32, first: Option<&Name>) -> Vec<Update> {
        let mut order: Vec<(bool, u32, Name)> =
            self.updates.iter().map(|(name, (sent, _))| (Some(name) != first, *sent, name.clone())).collect();
        order.sort();
        let mut taken = Vec::new();
        for (_, _, name) in order.into_iter().take(most) {
            if let Some((sent, update)) = self.updates.get_mut(&name) {
                *sent += 1;
                taken.push(update.clone());
                if *sent >= times {
                    self.updates.remove(&name);
                }
            }
        }
        taken
    }
}
