//! Polls the membership view of each process at intervals, and checks the invariants of the
//! membership.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

use serde::Deserialize;
use tulipgap_membership::MemberState;

use super::history::SharedRecorder;
use super::process::MemberProcess;
use super::proxy::Network;
use crate::invariants::{MembershipChecker, Observation};
use crate::plan::{MemberIndex, Plan};

/// The interval between two polls of all processes.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The time limit for the response of one process.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// The control command that requests a process's view.
const MEMBERS_COMMAND: &[u8] = b"{\"do\":\"members\"}\n";

/// Polls the view that each member has of the others. It owns the checker of the membership's
/// invariants.
pub(super) struct ViewPoller {
    checker: MembershipChecker,
    next_poll: Instant,
    /// The last polled states, by observer and subject.
    views: Vec<Vec<Option<MemberState>>>,
}

/// The result of one poll over all observers.
struct PollResult {
    is_converged: bool,
    false_deaths: u64,
}

impl ViewPoller {
    pub(super) fn new(plan: &Plan, members: usize) -> Self {
        ViewPoller {
            checker: MembershipChecker::new(plan.bounds, plan.faults_end()),
            next_poll: Instant::now() + POLL_INTERVAL,
            views: vec![vec![None; members]; members],
        }
    }

    /// Polls all processes if a poll is due, and adds the result to the outcome.
    pub(super) fn poll_if_due(
        &mut self,
        network: &Network,
        processes: &[MemberProcess],
        recorder: &SharedRecorder,
    ) {
        if Instant::now() < self.next_poll {
            return;
        }
        self.next_poll = Instant::now() + POLL_INTERVAL;
        let mut result = PollResult {
            is_converged: true,
            false_deaths: 0,
        };
        for observer in 0..processes.len() {
            self.poll(observer, network, processes, &mut result);
        }
        let mut recorder = recorder.lock();
        recorder.outcome.worst = self.checker.worst();
        recorder.outcome.is_converged = result.is_converged;
        recorder.outcome.false_deaths += result.false_deaths;
        if let Some(violation) = self.checker.violation() {
            recorder.violate(violation.at, violation.to_string());
        }
    }

    fn poll(
        &mut self,
        observer: MemberIndex,
        network: &Network,
        processes: &[MemberProcess],
        result: &mut PollResult,
    ) {
        if !processes[observer].is_running() {
            self.checker.reset_observer(observer);
            return;
        }
        let now = network.start.elapsed();
        let Ok(view) = request_view(&processes[observer].control_socket()) else {
            result.is_converged = false;
            return;
        };
        for (subject, process) in processes
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != observer)
        {
            let state = view.get(&process.member.name).copied();
            let is_link_open =
                network.is_link_open(observer, subject) && network.is_link_open(subject, observer);
            let is_reachable = process.is_running() && is_link_open;
            let is_dead = !process.is_alive();
            let previous = std::mem::replace(&mut self.views[observer][subject], state);
            let is_false_death = is_reachable
                && state == Some(MemberState::Dead)
                && previous != Some(MemberState::Dead);
            result.false_deaths += u64::from(is_false_death);
            result.is_converged &= match is_dead {
                true => matches!(state, Some(MemberState::Dead | MemberState::Left) | None),
                false => state == Some(MemberState::Alive),
            };
            let members = &network.members;
            let observation = Observation {
                observer,
                subject,
                members,
                state,
                is_reachable,
                is_dead,
            };
            self.checker.check(now, &observation);
        }
    }
}

/// The response to the control command `members`.
#[derive(Deserialize)]
struct MembersResponse {
    #[serde(default)]
    members: Vec<MemberRow>,
}

#[derive(Deserialize)]
struct MemberRow {
    name: String,
    state: RowState,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RowState {
    Alive,
    Suspect,
    Dead,
    #[serde(other)]
    Left,
}

impl From<RowState> for MemberState {
    fn from(state: RowState) -> Self {
        match state {
            RowState::Alive => MemberState::Alive,
            RowState::Suspect => MemberState::Suspect,
            RowState::Dead => MemberState::Dead,
            RowState::Left => MemberState::Left,
        }
    }
}

/// Requests the states of all members, by name, from a process's control socket.
fn request_view(control_socket: &Path) -> io::Result<BTreeMap<String, MemberState>> {
    let mut stream = UnixStream::connect(control_socket)?;
    stream.set_read_timeout(Some(POLL_TIMEOUT))?;
    stream.write_all(MEMBERS_COMMAND)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let response: MembersResponse = serde_json::from_str(&line)?;
    Ok(response
        .members
        .into_iter()
        .map(|row| (row.name, row.state.into()))
        .collect())
}
