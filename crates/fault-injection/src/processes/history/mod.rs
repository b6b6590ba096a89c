//! Records the history of operations under leases. Each process reports the beginning and the end
//! of each operation over a stream, and receives whether its token was accepted.
//!
//! A process that is paused after it has checked its lease continues the operation when it resumes,
//! however long the pause was. A lease cannot prevent this; a store fences the process off by its
//! token. Therefore an operation may overlap a later one only if its lease was checked before a
//! pause. Reports contain the time of that check, because a report that was sent before the pause
//! may be read during the pause or after it.

mod report;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use tulipgap_leases::FencingToken;

use super::proxy::Network;
use super::{MemberPause, OperationPhase, OperationRecord, RunOutcome, RunViolation};
use crate::history_checker::{HistoryChecker, OperationError};
use crate::plan::Plan;
use report::OperationReport;

/// The interval at which the listener checks for a new stream.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
/// The response to an accepted report. The protocol defines the word.
const ACCEPTED: &[u8] = b"taken\n";
/// The response to a report whose token is stale. The protocol defines the word.
const REJECTED: &[u8] = b"old\n";

/// Returns the time of the machine's monotonic clock, which is the same for all processes of a run.
fn monotonic_time() -> Duration {
    let now = clock_gettime(ClockId::Monotonic);
    Duration::try_from(now).unwrap_or_default()
}

/// Identifies an operation.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct OperationKey {
    lease: String,
    token: FencingToken,
}

/// Identifies a stream of reports within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StreamId(u64);

/// An operation that has begun and not ended.
struct OperationUnderWay {
    member: String,
    /// The stream that delivered the report of its beginning.
    stream: StreamId,
    /// When the report of its beginning was received, since the start of the run.
    begun_at: Duration,
    /// When its lease was checked, since the start of the run.
    checked_at: Duration,
    /// Whether its member was paused after the check, so that a newer token fences the operation
    /// off.
    is_fenceable: bool,
}

/// Records the history of a run. It owns the history checker, the outcome of the run, and the
/// operations in progress.
pub(super) struct HistoryRecorder {
    checker: HistoryChecker,
    start: Instant,
    /// The start of the run by the machine's monotonic clock.
    start_monotonic: Duration,
    under_way: BTreeMap<OperationKey, OperationUnderWay>,
    last_end: BTreeMap<String, Duration>,
    seen: BTreeSet<OperationKey>,
    pub(super) outcome: RunOutcome,
}

/// The recorder, shared by the threads of a run.
#[derive(Clone)]
pub(super) struct SharedRecorder(Arc<Mutex<HistoryRecorder>>);

impl SharedRecorder {
    pub(super) fn new(plan: &Plan, start: Instant) -> Self {
        SharedRecorder(Arc::new(Mutex::new(HistoryRecorder::new(plan, start))))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, HistoryRecorder> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HistoryRecorder {
    fn new(plan: &Plan, start: Instant) -> Self {
        HistoryRecorder {
            checker: HistoryChecker::new(plan),
            start,
            start_monotonic: monotonic_time().saturating_sub(start.elapsed()),
            under_way: BTreeMap::new(),
            last_end: BTreeMap::new(),
            seen: BTreeSet::new(),
            outcome: RunOutcome::default(),
        }
    }

    /// Records a report from a stream. Returns whether the report is accepted.
    fn record(&mut self, stream: StreamId, report: OperationReport) -> bool {
        let at = self.start.elapsed();
        let checked_at = report.checked_at.saturating_sub(self.start_monotonic);
        let is_fenceable = self.was_paused_since(&report.member, checked_at);
        let key = OperationKey {
            lease: report.lease.clone(),
            token: report.token,
        };
        let rejection = match report.phase {
            OperationPhase::Begin => {
                let operation = OperationUnderWay {
                    member: report.member.clone(),
                    stream,
                    begun_at: at,
                    checked_at,
                    is_fenceable,
                };
                self.begin(at, key, operation).err()
            }
            OperationPhase::End => self.end(at, key).err(),
        };
        let is_accepted = rejection.is_none();
        if !is_accepted {
            self.outcome.rejected += 1;
            self.outcome.rejected_while_running += u64::from(!is_fenceable);
        }
        self.outcome.history.push(OperationRecord {
            at,
            checked_at,
            member: report.member,
            lease: report.lease,
            token: report.token,
            phase: report.phase,
            rejection,
        });
        is_accepted
    }

    fn begin(
        &mut self,
        at: Duration,
        key: OperationKey,
        operation: OperationUnderWay,
    ) -> Result<(), OperationError> {
        let mut fenceable = self.fenceable_operations(&key.lease);
        if operation.is_fenceable {
            fenceable.insert(key.token);
        }
        if let Err(error) = self.checker.begin(&key.lease, key.token, &fenceable) {
            if let OperationError::Overlap { .. } = error {
                let description = self.describe_overlap(&key, &operation, &error);
                self.violate(at, description);
            }
            return Err(error);
        }
        self.outcome.operations += 1;
        if let Some(last_end) = self.last_end.get(&key.lease) {
            let longest = self
                .outcome
                .longest_idle
                .entry(key.lease.clone())
                .or_default();
            *longest = at.saturating_sub(*last_end).max(*longest);
        }
        if self.seen.insert(key.clone()) {
            *self.outcome.tokens.entry(key.lease.clone()).or_default() += 1;
        }
        self.under_way.insert(key, operation);
        Ok(())
    }

    fn end(&mut self, at: Duration, key: OperationKey) -> Result<(), OperationError> {
        self.under_way.remove(&key);
        self.last_end.insert(key.lease.clone(), at);
        self.checker.end(&key.lease, key.token)
    }

    /// Returns the tokens of operations in progress whose members were paused after the check.
    fn fenceable_operations(&self, lease: &str) -> BTreeSet<FencingToken> {
        let of_lease = self
            .under_way
            .iter()
            .filter(|(key, operation)| key.lease == lease && operation.is_fenceable);
        of_lease.map(|(key, _)| key.token).collect()
    }

    /// Whether a pause of the member began at or after that time.
    fn was_paused_since(&self, member: &str, time: Duration) -> bool {
        let mut pauses = self.outcome.pauses.iter();
        pauses.any(|pause| pause.member == member && pause.paused_at >= time)
    }

    /// Describes the overlapping operations and all pauses of the run.
    fn describe_overlap(
        &self,
        key: &OperationKey,
        operation: &OperationUnderWay,
        error: &OperationError,
    ) -> String {
        let mut description = format!(
            "lease {} token {}: {operation} begins: {error}",
            key.lease, key.token
        );
        for (other, operation) in &self.under_way {
            if other.lease == key.lease {
                description += &format!("; token {}: {operation}", other.token);
            }
        }
        for MemberPause {
            member,
            paused_at,
            resumed_at,
        } in &self.outcome.pauses
        {
            description += &format!("; {member} paused {paused_at:.3?} to {resumed_at:.3?}");
        }
        description
    }

    /// Records a violation if it is the first one.
    pub(super) fn violate(&mut self, at: Duration, description: String) {
        self.outcome
            .violation
            .get_or_insert(RunViolation { at, description });
    }

    /// Records that a member was paused: none of its threads runs.
    pub(super) fn member_paused(&mut self, member: &str) {
        self.outcome.pauses.push(MemberPause {
            member: member.to_owned(),
            paused_at: self.start.elapsed(),
            resumed_at: None,
        });
        for operation in self.under_way.values_mut() {
            operation.is_fenceable |= operation.member == member;
        }
    }

    /// Records that a member is about to be resumed.
    pub(super) fn member_resumes(&mut self, member: &str) {
        let now = self.start.elapsed();
        let mut pauses = self.outcome.pauses.iter_mut().rev();
        if let Some(pause) = pauses.find(|pause| pause.member == member) {
            pause.resumed_at.get_or_insert(now);
        }
    }

    /// Records that a member was killed, which ends its operations.
    pub(super) fn member_died(&mut self, member: &str) {
        self.abandon(|operation| operation.member == member);
    }

    /// Records that a stream is closed, which ends the operations that began on it. This also
    /// covers a beginning that is read only after its member was killed.
    fn stream_closed(&mut self, stream: StreamId) {
        self.abandon(|operation| operation.stream == stream);
    }

    fn abandon(&mut self, has_ended: impl Fn(&OperationUnderWay) -> bool) {
        let now = self.start.elapsed();
        let abandoned = self
            .under_way
            .extract_if(.., |_, operation| has_ended(operation));
        for (key, _) in abandoned {
            self.checker.abandon(&key.lease, key.token);
            self.last_end.insert(key.lease, now);
        }
    }
}

impl fmt::Display for OperationUnderWay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let OperationUnderWay {
            member,
            begun_at,
            checked_at,
            is_fenceable,
            ..
        } = self;
        write!(
            f,
            "an operation of {member} (checked {checked_at:.3?}, begun {begun_at:.3?}, paused since the check: {is_fenceable})"
        )
    }
}

/// Starts the thread that accepts streams of reports.
pub(super) fn spawn_listener(
    listen: SocketAddr,
    recorder: &SharedRecorder,
    network: &Arc<Network>,
) -> io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    let (recorder, network) = (recorder.clone(), network.clone());
    thread::spawn(move || {
        let mut next_stream = 0;
        while !network.is_over() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let (recorder, id) = (recorder.clone(), StreamId(next_stream));
            next_stream += 1;
            // When a process is killed, its stream is closed and the thread ends.
            thread::spawn(move || serve_stream(stream, id, &recorder));
        }
    });
    Ok(())
}

/// Serves one stream until it is closed.
fn serve_stream(stream: TcpStream, id: StreamId, recorder: &SharedRecorder) {
    let _ = serve_reports(stream, id, recorder);
    recorder.lock().stream_closed(id);
}

fn serve_reports(stream: TcpStream, id: StreamId, recorder: &SharedRecorder) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut responses = stream.try_clone()?;
    for line in BufReader::new(stream).lines() {
        let is_accepted = line?
            .parse()
            .is_ok_and(|report| recorder.lock().record(id, report));
        responses.write_all(if is_accepted { ACCEPTED } else { REJECTED })?;
    }
    Ok(())
}
