//! The resources that a request needs for admission: memory, its tenant's quota and its idempotency
//! key.

pub(crate) mod idempotency;
mod memory;
mod quota;
#[cfg(test)]
mod tests;

pub(crate) use memory::Memory;
pub(crate) use quota::{QUOTA_WINDOW, RecentArrivals, TenantQuotas};
