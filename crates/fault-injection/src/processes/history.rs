//! The history of operations under leases: each process reports over a stream when an operation
//! begins and ends, and learns whether its token was accepted.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use tulipgap_leases::FencingToken;

use super::proxy::Network;
use super::{OperationPhase, OperationRecord, RunOutcome, RunViolation};
use crate::history_checker::{HistoryChecker, OperationError};
use crate::plan::{Plan, PlannedLease};

/// How often the listener looks for a new stream.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
/// The phase of an operation that begins. A report is one line, `PHASE LEASE TOKEN MEMBER`.
const BEGIN: &str = "begin";
/// The phase of an operation that ends.
const END: &str = "end";
/// The response to a report that is accepted. The word is that of the protocol.
const ACCEPTED: &[u8] = b"taken\n";
/// The response to a report whose token is stale. The word is that of the protocol.
const REJECTED: &[u8] = b"old\n";

/// A line that a process reports.
struct OperationReport {
    phase: OperationPhase,
    lease: String,
    token: FencingToken,
    member: String,
}

/// A line that is no report.
#[derive(Debug, thiserror::Error)]
#[error("expected: begin|end LEASE TOKEN MEMBER")]
struct MalformedReportError;

impl FromStr for OperationReport {
    type Err = MalformedReportError;

    fn from_str(line: &str) -> Result<Self, MalformedReportError> {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let [phase, lease, token, member] = words[..] else {
            return Err(MalformedReportError);
        };
        let phase = match phase {
            BEGIN => OperationPhase::Begin,
            END => OperationPhase::End,
            _ => return Err(MalformedReportError),
        };
        let token = FencingToken(token.parse().map_err(|_| MalformedReportError)?);
        Ok(OperationReport {
            phase,
            lease: lease.to_owned(),
            token,
            member: member.to_owned(),
        })
    }
}

/// Names an operation.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct OperationKey {
    lease: String,
    token: FencingToken,
}

/// A member, with regard to one lease.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MemberLease {
    member: String,
    lease: String,
}

/// Records the history of a run. Owns the history checker, the outcome as it grows, and who is
/// under way with what.
pub(super) struct HistoryRecorder {
    checker: HistoryChecker,
    start: Instant,
    /// Members that were paused or killed and have reported nothing under the lease since.
    silent: BTreeSet<MemberLease>,
    /// By operation that has begun and not ended: its member.
    under_way: BTreeMap<OperationKey, String>,
    last_end: BTreeMap<String, Duration>,
    seen: BTreeSet<OperationKey>,
    pub(super) outcome: RunOutcome,
}

/// The recorder, as the threads of a run share it.
#[derive(Clone)]
pub(super) struct SharedRecorder(Arc<Mutex<HistoryRecorder>>);

impl SharedRecorder {
    pub(super) fn new(plan: &Plan, start: Instant) -> Self {
        SharedRecorder(Arc::new(Mutex::new(HistoryRecorder {
            checker: HistoryChecker::new(plan),
            start,
            silent: BTreeSet::new(),
            under_way: BTreeMap::new(),
            last_end: BTreeMap::new(),
            seen: BTreeSet::new(),
            outcome: RunOutcome::default(),
        })))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, HistoryRecorder> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HistoryRecorder {
    /// Records a report; whether it is accepted.
    fn record(&mut self, report: OperationReport) -> bool {
        let OperationReport {
            phase,
            lease,
            token,
            member,
        } = report;
        let at = self.start.elapsed();
        let was_silent = self.silent.remove(&MemberLease {
            member: member.clone(),
            lease: lease.clone(),
        });
        let key = OperationKey {
            lease: lease.clone(),
            token,
        };
        let rejection = match phase {
            OperationPhase::Begin => self.begin(at, key, &member).err(),
            OperationPhase::End => self.end(at, key).err(),
        };
        let is_accepted = rejection.is_none();
        if !is_accepted {
            self.outcome.rejected += 1;
            self.outcome.rejected_while_running += u64::from(!was_silent);
        }
        self.outcome.history.push(OperationRecord {
            at,
            member,
            lease,
            token,
            phase,
            rejection,
        });
        is_accepted
    }

    fn begin(
        &mut self,
        at: Duration,
        key: OperationKey,
        member: &str,
    ) -> Result<(), OperationError> {
        let OperationKey { lease, token } = &key;
        let paused = self.paused_operations(lease);
        if let Err(error) = self.checker.begin(lease, *token, &paused) {
            if let OperationError::Overlap { .. } = error {
                let description = format!(
                    "{member} begins an operation under {lease} with token {token}: {error}"
                );
                self.violate(at, description);
            }
            return Err(error);
        }
        self.outcome.operations += 1;
        if let Some(last_end) = self.last_end.get(lease) {
            let longest = self.outcome.longest_idle.entry(lease.clone()).or_default();
            *longest = at.saturating_sub(*last_end).max(*longest);
        }
        self.under_way.insert(key.clone(), member.to_owned());
        if self.seen.insert(key.clone()) {
            *self.outcome.tokens.entry(key.lease).or_default() += 1;
        }
        Ok(())
    }

    fn end(&mut self, at: Duration, key: OperationKey) -> Result<(), OperationError> {
        self.under_way.remove(&key);
        self.last_end.insert(key.lease.clone(), at);
        self.checker.end(&key.lease, key.token)
    }

    /// The tokens of operations under way whose members have been silent since they were paused or
    /// killed.
    fn paused_operations(&self, lease: &str) -> BTreeSet<FencingToken> {
        let is_silent = |member: &String| {
            self.silent.contains(&MemberLease {
                member: member.clone(),
                lease: lease.to_owned(),
            })
        };
        let of_lease = self
            .under_way
            .iter()
            .filter(|(key, member)| key.lease == lease && is_silent(member));
        of_lease.map(|(key, _)| key.token).collect()
    }

    /// Records a violation, if it is the first.
    pub(super) fn violate(&mut self, at: Duration, description: String) {
        self.outcome
            .violation
            .get_or_insert(RunViolation { at, description });
    }

    /// A member is about to be paused or killed.
    pub(super) fn member_pauses(&mut self, member: &str, leases: &[PlannedLease]) {
        let silent = |lease: &PlannedLease| MemberLease {
            member: member.to_owned(),
            lease: lease.name.clone(),
        };
        self.silent.extend(leases.iter().map(silent));
    }

    /// A member was killed: its operations have ended.
    pub(super) fn member_died(&mut self, member: &str) {
        self.silent.retain(|silent| silent.member != member);
        let now = self.start.elapsed();
        let abandoned = self.under_way.extract_if(.., |_, owner| *owner == member);
        for (key, _) in abandoned {
            self.checker.abandon(&key.lease, key.token);
            self.last_end.insert(key.lease, now);
        }
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
        while !network.is_over() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let recorder = recorder.clone();
            // A process that was killed closes its stream.
            thread::spawn(move || _ = serve_reports(stream, &recorder));
        }
    });
    Ok(())
}

fn serve_reports(stream: TcpStream, recorder: &SharedRecorder) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut responses = stream.try_clone()?;
    for line in BufReader::new(stream).lines() {
        let is_accepted = line?
            .parse()
            .is_ok_and(|report| recorder.lock().record(report));
        responses.write_all(if is_accepted { ACCEPTED } else { REJECTED })?;
    }
    Ok(())
}
