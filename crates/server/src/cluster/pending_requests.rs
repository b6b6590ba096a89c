//! Operators' commands that wait for the leader of the voters.
//!
//! [`Admin`](super::admin::Admin) calls [`PendingRequests`]: it submits commands, passes on the
//! responses, and calls again when an attempt is due. A command is sent to one voter after another
//! until a leader responds. It fails if there are no voters, if too many commands wait, or after
//! [`REQUEST_TIMEOUT`]; the operator's program then receives an [`AdminError`].

use std::collections::BTreeMap;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use tulipgap_leases::{Name, RequestId};
use tulipgap_peer_protocol::Message;

use super::control_protocol::{AdminError, AdminResult};
use super::message_router::MessageRouter;

/// How long a command waits for the response of a leader before it fails.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The maximum number of redirects of a command to a reported leader between two attempts. A leader
/// that can't accept the command may report itself: without the limit, the command would be sent to
/// it again without a pause until the command fails.
const MAX_REDIRECTS_PER_ATTEMPT: u32 = 2;
/// The maximum number of commands that wait at a time.
const MAX_PENDING_REQUESTS: usize = 64;
/// The ids of operators' requests are greater than this; the lease client's ids never are.
const ID_BASE: RequestId = RequestId(1 << 62);

/// A command that waits for a leader.
struct PendingRequest {
    reply: SyncSender<AdminResult>,
    /// The message that each attempt sends.
    message: Message,
    /// When the command fails, by the cluster's clock.
    expires_at: Duration,
    /// When the command is sent to the next voter.
    next_attempt_at: Duration,
    /// The number of attempts, each to the next voter. Redirects to a reported leader do not count.
    attempts: usize,
    /// The number of redirects to a reported leader since the last attempt.
    redirects: u32,
}

/// The commands that wait for a leader, and their ids.
pub(crate) struct PendingRequests {
    voters: Vec<Name>,
    pending: BTreeMap<RequestId, PendingRequest>,
    last_id: RequestId,
}

impl PendingRequests {
    /// An instance without commands. Commands are sent to `voters`.
    pub(crate) fn new(voters: Vec<Name>) -> Self {
        PendingRequests {
            voters,
            pending: BTreeMap::new(),
            last_id: ID_BASE,
        }
    }

    /// Whether an id belongs to an operator's command, and not to a request of the lease client.
    pub(crate) fn is_operator_request(id: RequestId) -> bool {
        id >= ID_BASE
    }

    /// The voters to which commands are sent.
    pub(crate) fn voters(&self) -> &[Name] {
        &self.voters
    }

    /// When [`retry_due`](Self::retry_due) is due next.
    pub(crate) fn next_attempt_at(&self) -> Option<Duration> {
        self.pending
            .values()
            .map(|request| request.next_attempt_at)
            .min()
    }

    /// Sends a command to one voter after another until a leader responds, and sends the result to
    /// `reply`.
    pub(crate) fn submit(
        &mut self,
        now: Duration,
        router: &MessageRouter,
        reply: SyncSender<AdminResult>,
        message: impl FnOnce(RequestId) -> Message,
    ) {
        if let Err(error) = self.check_capacity() {
            let _ = reply.try_send(Err(error));
            return;
        }
        self.last_id = RequestId(self.last_id.0 + 1);
        let request = PendingRequest {
            reply,
            message: message(self.last_id),
            expires_at: now + REQUEST_TIMEOUT,
            next_attempt_at: now,
            attempts: 0,
            redirects: 0,
        };
        self.pending.insert(self.last_id, request);
        self.retry(now, router, self.last_id);
    }

    fn check_capacity(&self) -> Result<(), AdminError> {
        if self.voters.is_empty() {
            return Err(AdminError::NoVoters);
        }
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            return Err(AdminError::TooManyPending);
        }
        Ok(())
    }

    /// Completes a command with `result`, if it still waits.
    pub(crate) fn complete(&mut self, id: RequestId, result: AdminResult) {
        if let Some(request) = self.pending.remove(&id) {
            let _ = request.reply.try_send(result);
        }
    }

    /// Sends each command that is due to its next voter.
    pub(crate) fn retry_due(&mut self, now: Duration, router: &MessageRouter) {
        let is_due = |request: &PendingRequest| request.next_attempt_at <= now;
        let due: Vec<RequestId> = self
            .pending
            .iter()
            .filter(|(_, request)| is_due(request))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.retry(now, router, id);
        }
    }

    /// Redirects a command to the leader that a voter reported. After
    /// [`MAX_REDIRECTS_PER_ATTEMPT`] redirects, the command waits for its next attempt.
    pub(crate) fn redirect(
        &mut self,
        now: Duration,
        router: &MessageRouter,
        id: RequestId,
        leader: &Name,
    ) {
        let Some(request) = self.unexpired(now, id) else {
            return;
        };
        if request.redirects < MAX_REDIRECTS_PER_ATTEMPT {
            request.redirects += 1;
            router.send(leader, request.message.clone());
        }
    }

    /// Sends a command to the next voter.
    fn retry(&mut self, now: Duration, router: &MessageRouter, id: RequestId) {
        let Some(request) = self.unexpired(now, id) else {
            return;
        };
        request.attempts += 1;
        request.redirects = 0;
        request.next_attempt_at = now + RETRY_INTERVAL;
        let (attempts, message) = (request.attempts, request.message.clone());
        if let Some(voter) = self.voters.get(attempts % self.voters.len().max(1)) {
            router.send(voter, message);
        }
    }

    /// The command with that id, if it still waits. A command that has expired fails here.
    fn unexpired(&mut self, now: Duration, id: RequestId) -> Option<&mut PendingRequest> {
        if self.pending.get(&id)?.expires_at <= now {
            self.complete(
                id,
                Err(AdminError::NoLeaderResponse {
                    timeout: REQUEST_TIMEOUT,
                }),
            );
        }
        self.pending.get_mut(&id)
    }
}

#[cfg(test)]
#[path = "pending_requests_tests.rs"]
mod tests;
