//! The processes of a run: their state, and how each process starts, crashes, is paused and
//! resumes.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};
use std::time::Duration;

use tulipgap_leases::{FencingToken, Incarnation, Name, Owner};
use tulipgap_write_ahead_log::FaultyDisk;

use super::clients::HostedClient;
use super::events::ProcessEvent;
use super::startup::Startup;
use super::voters::HostedVoter;
use crate::plan::{DirectoryAfterCrash, Member, MemberIndex, Plan, PlannedLease};
use crate::scheduler::ProcessGeneration;

/// The maximum number of events that are queued for a paused process, as in a socket's buffer.
/// Further events are dropped.
const MAX_PENDING_EVENTS: usize = 2000;
/// The delay that is added to each timer in true time. A timer is set by a clock with another rate;
/// the delay covers the rounding, so that no timer elapses too early.
const TIMER_ROUNDING: Duration = Duration::from_nanos(10);

/// One process and its machine. It owns its state machines, its disk, and the events that are
/// queued while it is paused.
pub(super) struct Process {
    member: Member,
    pub(super) name: Name,
    clock_rate: f64,
    /// The true time at which the process started. Its own clock was zero at that time.
    started_at: Duration,
    pub(super) disk: FaultyDisk,
    /// The files of the disk at the time of its backup.
    backup: BTreeMap<String, Vec<u8>>,
    pub(super) voter: HostedVoter,
    pub(super) client: HostedClient,
    pub(super) generation: ProcessGeneration,
    is_paused: bool,
    pending_events: Vec<ProcessEvent>,
}

impl Process {
    fn new(member: Member, clock_rate: f64) -> Self {
        Process {
            name: member.name.as_str().into(),
            member,
            clock_rate,
            started_at: Duration::ZERO,
            disk: FaultyDisk::default(),
            backup: BTreeMap::new(),
            voter: HostedVoter::default(),
            client: HostedClient::default(),
            generation: ProcessGeneration::default(),
            is_paused: false,
            pending_events: Vec::new(),
        }
    }

    /// Converts a true time to the time of the process's own clock.
    pub(super) fn local_time(&self, true_time: Duration) -> Duration {
        (true_time - self.started_at).mul_f64(self.clock_rate)
    }

    /// Returns the true time at which the process's own clock has passed a time.
    pub(super) fn true_time(&self, local_time: Duration) -> Duration {
        self.started_at + local_time.div_f64(self.clock_rate) + TIMER_ROUNDING
    }

    pub(super) fn pause(&mut self) {
        self.is_paused = self.client.is_running();
    }

    pub(super) fn back_up_directory(&mut self) {
        self.backup = self.disk.copy_files();
    }

    fn restore_directory(&mut self, directory: DirectoryAfterCrash) {
        match directory {
            DirectoryAfterCrash::Kept => {}
            DirectoryAfterCrash::Emptied => self.disk.restore_files(BTreeMap::new()),
            DirectoryAfterCrash::RolledBack => self.disk.restore_files(self.backup.clone()),
        }
    }

    /// Starts the process and its client. Its voter, if it has one, is started separately.
    pub(super) fn start(
        &mut self,
        now: Duration,
        directory: DirectoryAfterCrash,
        startup: &Startup,
    ) {
        self.generation = self.generation.next();
        self.started_at = now;
        self.restore_directory(directory);
        let owner = Owner {
            name: self.name.clone(),
            incarnation: Incarnation(self.generation.0),
        };
        self.client.start(owner, startup);
    }

    /// Starts the voter. Returns whether it could start with the contents of the disk.
    pub(super) fn start_voter(&mut self, startup: &Startup) -> bool {
        self.voter.start(&self.name, &self.disk, startup)
    }

    /// Crashes the process and its machine: a random part of the data that was not synced survives.
    /// Returns the operations that were in progress.
    pub(super) fn crash(&mut self, rng: &mut fastrand::Rng) -> Vec<(Name, FencingToken)> {
        self.voter.stop();
        let operations = self.client.stop();
        self.is_paused = false;
        self.pending_events.clear();
        self.disk
            .crash(|unsynced_bytes| rng.usize(0..=unsynced_bytes));
        operations
    }

    /// Resumes the process. Returns the events that were queued while it was paused.
    pub(super) fn resume(&mut self) -> Vec<ProcessEvent> {
        match std::mem::replace(&mut self.is_paused, false) {
            true => std::mem::take(&mut self.pending_events),
            false => Vec::new(),
        }
    }

    /// Returns the event if the process handles it now. While the process is paused, the event is
    /// queued. A timer of an earlier start of the process has no effect.
    pub(super) fn accept_event(&mut self, event: ProcessEvent) -> Option<ProcessEvent> {
        if self.is_paused {
            if self.pending_events.len() < MAX_PENDING_EVENTS {
                self.pending_events.push(event);
            }
            return None;
        }
        let is_current = match event {
            ProcessEvent::Deliver { .. } => true,
            ProcessEvent::VoterTimer { generation }
            | ProcessEvent::ClientTimer { generation }
            | ProcessEvent::Operation { generation, .. } => generation == self.generation,
        };
        is_current.then_some(event)
    }

    pub(super) fn wants(&self, lease: &PlannedLease) -> bool {
        self.member.matches(&lease.target)
    }
}

/// The processes of a run, by member.
pub(super) struct Processes(Vec<Process>);

impl Processes {
    pub(super) fn new(plan: &Plan) -> Self {
        let members = plan.members().into_iter();
        let process = |member: Member| {
            let clock_rate = plan.clock_rate(&member);
            Process::new(member, clock_rate)
        };
        Processes(members.map(process).collect())
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Process> {
        self.0.iter()
    }

    /// The number of processes that may act under a lease, each by its own clock at this true time.
    /// Paused processes count too.
    pub(super) fn count_holders(&self, now: Duration, lease: &str) -> usize {
        self.iter()
            .filter(|process| process.client.may_act(process.local_time(now), lease))
            .count()
    }

    /// The number of voters that vote and are not paused.
    pub(super) fn count_voting(&self) -> usize {
        self.iter()
            .filter(|process| !process.is_paused && process.voter.is_voting())
            .count()
    }

    /// Whether any running process wants a lease.
    pub(super) fn is_wanted(&self, lease: &PlannedLease) -> bool {
        let is_running = |process: &Process| process.client.is_running() && !process.is_paused;
        self.iter()
            .any(|process| process.wants(lease) && is_running(process))
    }

    /// The tokens of the operations of paused processes. Only the token can stop these operations
    /// when the processes resume.
    pub(super) fn paused_operations(&self, lease: &Name) -> BTreeSet<FencingToken> {
        let paused = self.iter().filter(|process| process.is_paused);
        paused
            .filter_map(|process| process.client.operation(lease))
            .collect()
    }
}

impl Index<MemberIndex> for Processes {
    type Output = Process;

    fn index(&self, member: MemberIndex) -> &Process {
        &self.0[member]
    }
}

impl IndexMut<MemberIndex> for Processes {
    fn index_mut(&mut self, member: MemberIndex) -> &mut Process {
        &mut self.0[member]
    }
}
