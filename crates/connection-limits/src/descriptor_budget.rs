//! The budget of file descriptors.

use crate::config::ConfigError;
use crate::descriptor_owner::{DescriptorOwner, Reservation};

/// Counts the descriptors of each owner. An owner may take the descriptors that are reserved for it
/// and the unreserved ones. The number of descriptors in use or reserved never exceeds the limit.
#[derive(Clone, Debug)]
pub struct DescriptorBudget {
    limit: usize,
    reserved: [usize; DescriptorOwner::ALL.len()],
    in_use: [usize; DescriptorOwner::ALL.len()],
}

impl DescriptorBudget {
    /// Creates a budget without descriptors in use.
    ///
    /// # Errors
    ///
    /// [`ConfigError::ReservationsExceedLimit`] if the sum of the reservations exceeds the limit.
    pub fn new(limit: usize, reservations: &[Reservation]) -> Result<Self, ConfigError> {
        let mut reserved = [0; DescriptorOwner::ALL.len()];
        for reservation in reservations {
            reserved[reservation.owner as usize] += reservation.descriptors;
        }
        let total: usize = reserved.iter().sum();
        if total > limit {
            return Err(ConfigError::ReservationsExceedLimit {
                reserved: total,
                limit,
            });
        }
        Ok(DescriptorBudget {
            limit,
            reserved,
            in_use: [0; DescriptorOwner::ALL.len()],
        })
    }

    /// The number of descriptors that are in use, or reserved and not in use.
    fn committed(&self) -> usize {
        self.in_use
            .iter()
            .zip(&self.reserved)
            .map(|(&in_use, &reserved)| in_use.max(reserved))
            .sum()
    }

    /// The number of further descriptors that the owner may take.
    pub fn available(&self, owner: DescriptorOwner) -> usize {
        let own = self.reserved[owner as usize].saturating_sub(self.in_use[owner as usize]);
        own + self.limit.saturating_sub(self.committed())
    }

    /// Takes a descriptor for the owner, if one is available. Returns whether one was taken.
    pub fn try_acquire(&mut self, owner: DescriptorOwner) -> bool {
        let is_available = self.available(owner) > 0;
        self.in_use[owner as usize] += usize::from(is_available);
        debug_assert!(
            self.committed() <= self.limit,
            "invariant: the budget never exceeds its limit"
        );
        is_available
    }

    /// Returns a descriptor to the budget.
    pub fn release(&mut self, owner: DescriptorOwner) {
        debug_assert!(
            self.in_use[owner as usize] > 0,
            "invariant: a released descriptor was acquired"
        );
        self.in_use[owner as usize] = self.in_use[owner as usize].saturating_sub(1);
    }

    /// The number of descriptors that the owner uses.
    pub fn in_use(&self, owner: DescriptorOwner) -> usize {
        self.in_use[owner as usize]
    }

    /// The number of descriptors that all owners use.
    pub fn total_in_use(&self) -> usize {
        self.in_use.iter().sum()
    }
}
