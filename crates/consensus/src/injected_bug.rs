//! Bugs that proofs inject to show that their checkers find them.

/// A mistake that is easily made, and that a checker must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A leader answers a read without confirming that it still leads.
    StaleRead,
    /// A bug of the leases.
    Leases(tulipgap_leases::InjectedBug),
}
