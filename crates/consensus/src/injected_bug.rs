//! Bugs that tests inject to show that the checkers detect them.

/// A plausible implementation mistake that a checker must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A leader answers a read without confirming that it still leads.
    StaleRead,
    /// A bug in the lease state machine or the expiry of leases.
    Leases(tulipgap_leases::InjectedBug),
}
