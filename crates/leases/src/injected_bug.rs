//! Bugs that proofs inject to show that their checkers find them. They can be injected only with
//! the feature `injected-bugs`.

/// A mistake that is easily made, and that a checker must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// Clocks are taken to run at the same rate.
    NoClockMargin,
    /// A TTL is counted from when the response came instead of when the request was sent.
    TtlFromResponse,
    /// A new leader forgets which tokens were handed out.
    VolatileTokens,
    /// A guard stays valid until an event ends the lease.
    UncheckedGuard,
    /// A slot that is released twice is freed twice.
    DoubleRelease,
    /// An owner expires even if it renewed meanwhile.
    IgnoredRenewal,
    /// A grant is accepted although its token was released before.
    ReusedReleasedToken,
}

/// Which bug a state machine has. Without the feature `injected-bugs`, with which no program is
/// built, it is none: [`Self::is_on`] is then a constant `false`, and each branch that asks it is
/// compiled out. Who reads a rule for what a program does reads `is_on` as `false`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct BugSwitch {
    #[cfg(feature = "injected-bugs")]
    bug: Option<InjectedBug>,
}

impl BugSwitch {
    #[cfg(feature = "injected-bugs")]
    pub(crate) fn new(bug: Option<InjectedBug>) -> Self {
        BugSwitch { bug }
    }

    #[cfg(feature = "injected-bugs")]
    pub(crate) fn is_on(self, bug: InjectedBug) -> bool {
        self.bug == Some(bug)
    }

    #[cfg(not(feature = "injected-bugs"))]
    pub(crate) fn is_on(self, _: InjectedBug) -> bool {
        false
    }
}
