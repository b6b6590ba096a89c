//! The parameters of a voter.

use std::time::Duration;

/// The largest number of voters. A commit needs a majority of them, so more voters make it slower
/// and no safer than five already do.
pub const MAX_VOTERS: usize = 7;

/// A voter's parameters. All voters should have the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// The time between two ticks of the consensus; a leader sends heartbeats at each tick. A
    /// shorter one finds a failed leader sooner and sends more messages.
    pub tick_interval: Duration,
    /// Ticks without a heartbeat before a follower campaigns. The timeout is drawn at random from
    /// this up to twice as many (Raft, section 5.2), so that two seldom campaign at once. A
    /// restarted voter waits as many ticks for the others before it votes.
    pub election_ticks: u32,
    /// How far a clock may be off in its rate, in thousandths. The leader counts every TTL longer
    /// by as much.
    pub max_clock_drift_permille: u32,
    /// Entries applied between two snapshots. More of them make a longer log to read at a start,
    /// fewer make more writes of the complete state.
    pub snapshot_interval_entries: u64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            tick_interval: Duration::from_millis(100),
            election_ticks: 10,
            max_clock_drift_permille: 50,
            snapshot_interval_entries: 4000,
        }
    }
}
