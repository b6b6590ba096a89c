//! Who holds how many descriptors. Each part has a reserve that no other can take; what is beyond the reserves is for
//! whoever comes. The sum never passes the limit: nothing is taken that this does not grant.

/// Who needs descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Part {
    /// Listener, log, runtime, and one to accept and close with when all others are gone.
    Own,
    Kernel,
    Store,
    Trace,
    /// Newcomers.
    Clients,
    /// Known clients: their reserve is on top of what all clients share.
    KnownClients,
}

impl Part {
    pub const ALL: [Part; 6] =
        [Part::Own, Part::Kernel, Part::Store, Part::Trace, Part::Clients, Part::KnownClients];
}

#[derive(Clone, Debug)]
pub struct Ledger {
    limit: usize,
    reserves: [usize; Part::ALL.len()],
    used: [usize; Part::ALL.len()],
}

#[derive(Debug, PartialEq, thiserror::Error)]
#[error("the reserves need {needed} descriptors, and there are {limit}")]
pub struct TooFew {
    pub needed: usize,
    pub limit: usize,
}

impl Ledger {
    pub fn new(limit: usize, reserves: &[(Part, usize)]) -> Result<Self, TooFew> {
        let mut all = [0; Part::ALL.len()];
        for &(part, reserve) in reserves {
            all[part as usize] += reserve;
        }
        let needed: usize = all.iter().sum();
        if needed > limit {
            return Err(TooFew { needed, limit });
        }
        Ok(Ledger { limit, reserves: all, used: [0; Part::ALL.len()] })
    }

    /// What is taken, or kept for those who have not taken their reserve.
    fn spoken_for(&self) -> usize {
        self.used.iter().zip(&self.reserves).map(|(&used, &reserve)| used.max(reserve)).sum()
    }

    /// How many more a part may take now.
    pub fn room(&self, part: Part) -> usize {
        let own = self.reserves[part as usize].saturating_sub(self.used[part as usize]);
        own + self.limit.saturating_sub(self.spoken_for())
    }

    /// Takes one, where there is room.
    pub fn take(&mut self, part: Part) -> bool {
        let fine = self.room(part) > 0;
        self.used[part as usize] += usize::from(fine);
        debug_assert!(self.spoken_for() <= self.limit, "must hold: the ledger never passes its limit");
        fine
    }

    pub fn give(&mut self, part: Part) {
        debug_assert!(self.used[part as usize] > 0, "must hold: what is given back was taken");
        self.used[part as usize] = self.used[part as usize].saturating_sub(1);
    }

    pub fn used(&self, part: Part) -> usize {
        self.used[part as usize]
    }

    pub fn reserve(&self, part: Part) -> usize {
        self.reserves[part as usize]
    }

    pub fn total(&self) -> usize {
        self.used.iter().sum()
    }

    pub fn limit(&self) -> usize {
        self.limit
    }
}
