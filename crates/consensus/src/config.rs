//! The parameters of a voter.

use std::time::Duration;

/// The maximum number of voters. A commit needs a majority, so voters beyond five make commits
/// slower and add little safety.
pub const MAX_VOTERS: usize = 7;

/// A voter's parameters. All voters should have the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// The time between two ticks of the consensus; a leader sends heartbeats at each tick. A
    /// shorter interval detects a failed leader sooner and sends more messages.
    pub tick_interval: Duration,
    /// The minimum number of ticks without a heartbeat before a follower campaigns. The timeout is
    /// sampled from this number up to less than twice as many (Raft, section 5.2), so that two
    /// followers rarely campaign at once. A restarted voter waits at most this many ticks for the
    /// replies of the other voters before it votes.
    pub election_ticks: u32,
    /// The maximum drift of a clock's rate, in thousandths. The leader extends every TTL by this
    /// fraction.
    pub max_clock_drift_permille: u32,
    /// Entries applied between two snapshots. A longer interval makes the log longer to read at a
    /// start; a shorter one writes the complete state more often.
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
