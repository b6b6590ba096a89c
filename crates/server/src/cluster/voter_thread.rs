//! The thread of this process's voter. It is the only thread of the cluster that waits for the
//! disk.
//!
//! The event loop sends it events through [`VoterHandle`], and never waits for it. While the disk
//! hangs, the queue fills, further events are dropped and their senders retry. A failed write ends
//! the voter until the process is restarted: the log has `voter ended`, and the status of the voter
//! is [`VoterPhase::Ended`]. The other voters still grant leases as long as they are a majority.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use parking_lot::Mutex;
use tulipgap_consensus::{
    Action, DurableVoter, Event, Notice, VoterError, VoterPhase, VoterStatus,
};
use tulipgap_peer_protocol::Message;
use tulipgap_write_ahead_log::Disk;

use super::clock::{ClusterClock, Timer};
use super::input::MAX_QUEUED_INPUTS;
use super::message_router::MessageRouter;
use super::threads::{receive_batch, spawn_thread};

/// The event loop's handle to the voter.
pub(crate) struct VoterHandle {
    events: SyncSender<Event>,
    status: Arc<Mutex<VoterStatus>>,
}

impl VoterHandle {
    /// Starts the thread of a voter. The router sends the voter's messages.
    ///
    /// # Errors
    /// The error of the operating system, if the thread can't be started.
    pub(crate) fn spawn<D: Disk + Send + 'static>(
        voter: DurableVoter<D>,
        clock: ClusterClock,
        router: MessageRouter,
    ) -> io::Result<Self> {
        let (events, received) = sync_channel(MAX_QUEUED_INPUTS);
        let status = Arc::new(Mutex::new(voter.voter().status()));
        let timer = Timer::due_at(Duration::ZERO);
        let thread = VoterThread {
            voter,
            clock,
            router,
            timer,
            status: status.clone(),
        };
        spawn_thread("voter", move || thread.run(&received))?;
        Ok(VoterHandle { events, status })
    }

    /// Sends an event to the voter. If the queue is full because the disk hangs, the event is
    /// dropped, so that the event loop never waits for the disk; the event's sender retries.
    pub(crate) fn send(&self, event: Event) {
        let _ = self.events.try_send(event);
    }

    /// The voter's status after the last batch of events.
    pub(crate) fn status(&self) -> VoterStatus {
        self.status.lock().clone()
    }
}

/// The state of the thread. It owns the voter. The status is shared with the handle, but only the
/// thread changes it.
struct VoterThread<D: Disk> {
    voter: DurableVoter<D>,
    clock: ClusterClock,
    router: MessageRouter,
    timer: Timer,
    status: Arc<Mutex<VoterStatus>>,
}

impl<D: Disk> VoterThread<D> {
    /// Runs until the handle is dropped, or the voter fails.
    fn run(mut self, received: &Receiver<Event>) {
        while let Some(events) = receive_batch(received, self.clock.wait_until(self.timer.at())) {
            let mut events: Vec<Event> = events.collect();
            let now = self.clock.now();
            if self.timer.take_if_due(now) {
                events.push(Event::TimerElapsed);
            }
            if events.is_empty() {
                continue;
            }
            if let Err(error) = self.handle_events(now, events) {
                log::error!(
                    "voter ended error=\"{error}\"; it votes no more until this process is restarted"
                );
                self.status.lock().phase = VoterPhase::Ended;
                return;
            }
        }
    }

    /// Passes events to the voter, and carries out the resulting actions even if the voter fails.
    fn handle_events(&mut self, now: Duration, events: Vec<Event>) -> Result<(), VoterError> {
        let (actions, result) = self.voter.handle_events(now, events);
        for action in actions {
            self.carry_out(action);
        }
        *self.status.lock() = self.voter.voter().status();
        result
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.router.send(&to, Message::Voter(message)),
            Action::Respond {
                to,
                incarnation,
                request,
                response,
            } => {
                self.router.send(
                    &to,
                    Message::LeaseResponse {
                        incarnation,
                        request,
                        response,
                    },
                );
            }
            Action::RejectNotLeader {
                to,
                request,
                leader,
            } => {
                self.router
                    .send(&to, Message::NotLeader { request, leader });
            }
            Action::NotifySlotAvailable { to, lease } => {
                self.router.send(&to, Message::SlotAvailable { lease });
            }
            Action::RespondRead {
                to,
                request,
                leases,
            } => {
                self.router
                    .send(&to, Message::LeaseList { request, leases });
            }
            Action::SetTimer { at } => self.timer.set_earliest(at),
            Action::Notice(notice) => log_notice(&notice),
            // The durable voter has carried out these actions itself.
            Action::AppendRecord(_) | Action::WriteSnapshot(_) | Action::WriteIdentity(_) => {}
        }
    }
}

/// Logs a change of the voter's state.
fn log_notice(notice: &Notice) {
    match notice {
        Notice::Bootstrapped { voters } => {
            log::info!("voter bootstrapped voters={}", voters.join(","));
        }
        Notice::BecameLeader { term } => log::info!("voter became leader term={term}"),
        Notice::LostLeadership => log::info!("voter lost leadership"),
        Notice::NotAMember => log::info!("voter is not a member reason=folder_not_bootstrapped"),
        Notice::RolledBack { own, observed } => log::info!(
            "voter was rolled back to an older state term={} index={} observed_term={} \
             observed_index={}",
            own.term,
            own.index,
            observed.term,
            observed.index
        ),
        Notice::InvalidData(error) => log::info!("voter received invalid data error=\"{error}\""),
    }
}
