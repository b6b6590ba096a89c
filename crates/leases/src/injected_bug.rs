//! Bugs that tests inject to show that their checkers find them. They can be injected only with the
//! feature `injected-bugs`.

/// A plausible programming error that a checker must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// TTLs are computed as if all clocks ran at the same rate.
    NoClockMargin,
    /// A TTL is counted from the arrival of the response instead of the sending of the request.
    TtlFromResponse,
    /// A new leader loses the number of the latest token and issues tokens again.
    VolatileTokens,
    /// A guard stays valid after the end of the TTL, until an event ends the lease.
    UncheckedGuard,
    /// A repeated release of a slot frees the slot of another holder.
    DoubleRelease,
    /// A holder expires even if it has renewed in the meantime.
    IgnoredRenewal,
    /// A client accepts a grant although it has released the token before.
    ReusedReleasedToken,
}

/// The injected bug of a state machine. Without the feature `injected-bugs`, which no program
/// enables, there is none: [`Self::is_on`] is then a constant `false`, and the compiler removes
/// each branch that depends on it. In production, `is_on` can be read as `false`.
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
