//! Bugs that are injected to show that the checks can fail. Without the feature `injected-bugs`
//! there are no bugs to inject.

use tulipgap_consensus::DurableVoter;
use tulipgap_leases::LeaseClient;
use tulipgap_write_ahead_log::FaultyDisk;

/// The bugs of one run; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InjectedBugs {
    /// A bug in the leases.
    #[cfg(feature = "injected-bugs")]
    pub lease: Option<tulipgap_leases::InjectedBug>,
    /// A bug in the voters' write-ahead log.
    #[cfg(feature = "injected-bugs")]
    pub log: Option<tulipgap_write_ahead_log::InjectedBug>,
    /// Whether a leader answers reads without confirming that it is still the leader.
    #[cfg(feature = "injected-bugs")]
    pub stale_read: bool,
}

#[cfg(feature = "injected-bugs")]
impl InjectedBugs {
    pub(super) fn inject_into_voter(&self, voter: &mut DurableVoter<FaultyDisk>) {
        let voter_bug = match self.stale_read {
            true => Some(tulipgap_consensus::InjectedBug::StaleRead),
            false => self.lease.map(tulipgap_consensus::InjectedBug::Leases),
        };
        voter.inject_bugs(voter_bug, self.log);
    }

    pub(super) fn inject_into_client(&self, client: &mut LeaseClient) {
        client.inject_bug(self.lease);
    }
}

#[cfg(not(feature = "injected-bugs"))]
impl InjectedBugs {
    pub(super) fn inject_into_voter(&self, _: &mut DurableVoter<FaultyDisk>) {}

    pub(super) fn inject_into_client(&self, _: &mut LeaseClient) {}
}
