//! The parameters with which a process starts its state machines.

use tulipgap_leases::Name;

use super::injected_bugs::InjectedBugs;

/// The parameters with which a process starts its state machines.
pub(super) struct Startup<'a> {
    /// The initial voters.
    pub(super) voters: &'a [Name],
    pub(super) bugs: InjectedBugs,
    /// The seed of the state machines' random numbers.
    pub(super) seed: u64,
}
