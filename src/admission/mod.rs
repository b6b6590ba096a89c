//! What a request takes before it is queued: memory, its tenant's quota, an idempotency key.

pub(crate) mod idempotency;
mod memory;
mod quota;
#[cfg(test)]
mod tests;

pub(crate) use memory::Memory;
pub(crate) use quota::{QUOTA_WINDOW, RecentArrivals, TenantQuotas};
