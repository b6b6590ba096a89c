//! What a process starts its state machines with.

use tulipgap_leases::Name;

use super::injected_bugs::InjectedBugs;

/// What the state machines of a process are started with.
pub(super) struct Startup<'a> {
    /// The initial voters.
    pub(super) voters: &'a [Name],
    pub(super) bugs: InjectedBugs,
    /// Of the state machines' own random draws.
    pub(super) seed: u64,
}
