//! The history of operations under leases: each process reports over a stream when an operation
//! begins and ends, and learns whether its token was accepted.
//!
//! A process that is paused after it has checked its lease goes on with the operation when it
//! resumes, however long that took: no lease can prevent it, and a store fences it off by its
//! token. So an operation is excused from overlapping a later one where its lease was checked
//! before a pause, and nowhere else. Reports carry the time of that check, since a report that was
//! sent before the pause can be read during it or after it.

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

/// How often the listener looks for a new stream.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
/// The response to a report that is accepted. The word is that of the protocol.
const ACCEPTED: &[u8] = b"taken\n";
/// The response to a report whose token is stale. The word is that of the protocol.
const REJECTED: &[u8] = b"old\n";

/// The machine's monotonic clock, which all processes of a run read alike.
fn monotonic_time() -> Duration {
    let now = clock_gettime(ClockId::Monotonic);
    Duration::try_from(now).unwrap_or_default()
}

/// Names an operation.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct OperationKey {
    lease: String,
    token: FencingToken,
}

/// Names a stream of reports within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StreamId(u64);

/// An operation that has begun and not ended.
struct OperationUnderWay {
    member: String,
    /// The stream that its begin came on.
    stream: StreamId,
    /// When its begin was received, since the start of the run.
    begun_at: Duration,
    /// When its lease was checked, since the start of the run.
    checked_at: Duration,
    /// Its member was paused after the check: a newer token fences it off.
    is_fenceable: bool,
}

/// Records the history of a run. Owns the history checker, the outcome as it grows, and which
/// member has which operations under way.
pub(super) struct HistoryRecorder {
    checker: HistoryChecker,
    start: Instant,
    /// The start by the monotonic clock.
    start_monotonic: Duration,
    under_way: BTreeMap<OperationKey, OperationUnderWay>,
    last_end: BTreeMap<String, Duration>,
    seen: BTreeSet<OperationKey>,
    pub(super) outcome: RunOutcome,
}

/// The recorder, as the threads of a run share it.
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

    /// Records a report that came on a stream. Returns whether it is accepted.
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

    /// The tokens of operations under way whose members were paused after the check.
    fn fenceable_operations(&self, lease: &str) -> BTreeSet<FencingToken> {
        let of_lease = self
            .under_way
            .iter()
            .filter(|(key, operation)| key.lease == lease && operation.is_fenceable);
        of_lease.map(|(key, _)| key.token).collect()
    }

    /// Whether a pause of the member began after that time.
    fn was_paused_since(&self, member: &str, time: Duration) -> bool {
        let mut pauses = self.outcome.pauses.iter();
        pauses.any(|pause| pause.member == member && pause.paused_at >= time)
    }

    /// All that is known of the operations that overlap.
    fn describe_overlap(
        &self,
        key: &OperationKey,
        operation: &OperationUnderWay,
        error: &OperationError,
    ) -> String {
        let mut description = format!(
            "under {} with token {} begins {operation}: {error}",
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

    /// Records a violation, if it is the first.
    pub(super) fn violate(&mut self, at: Duration, description: String) {
        self.outcome
            .violation
            .get_or_insert(RunViolation { at, description });
    }

    /// A member was paused: none of its threads runs any longer.
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

    /// A member is about to be resumed.
    pub(super) fn member_resumes(&mut self, member: &str) {
        let now = self.start.elapsed();
        let mut pauses = self.outcome.pauses.iter_mut().rev();
        if let Some(pause) = pauses.find(|pause| pause.member == member) {
            pause.resumed_at.get_or_insert(now);
        }
    }

    /// A member was killed: its operations have ended.
    pub(super) fn member_died(&mut self, member: &str) {
        self.abandon(|operation| operation.member == member);
    }

    /// A stream is closed: operations that began on it have ended, also where a begin was read only
    /// after its member had been killed.
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

/// Listens for reports.
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
            // A process that was killed closes its stream.
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
