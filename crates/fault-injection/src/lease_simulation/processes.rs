//! The processes of a run: what each owns, and how it starts, crashes, is paused and resumes.

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

/// Events that wait for a paused process, at most, as in a socket's buffer.
const MAX_PENDING_EVENTS: usize = 2000;
/// How much later a timer elapses by true time. Timers are set by clocks of another rate; this
/// covers the rounding, so that none elapses before its time.
const TIMER_ROUNDING: Duration = Duration::from_nanos(10);

/// One process and its machine. Owns its state machines, its disk, and what waits while it is
/// paused.
pub(super) struct Process {
    member: Member,
    pub(super) name: Name,
    clock_rate: f64,
    /// When the process started, by true time; its own clock starts at zero then.
    started_at: Duration,
    pub(super) disk: FaultyDisk,
    /// What was on the disk when it was backed up.
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

    /// What the process's own clock shows at a true time.
    pub(super) fn local_time(&self, true_time: Duration) -> Duration {
        (true_time - self.started_at).mul_f64(self.clock_rate)
    }

    /// The true time at which the process's own clock has passed a time.
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

    /// Starts the process and its client. Its voter starts apart, where it has one.
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

    /// Returns whether the voter could start from what is on the disk.
    pub(super) fn start_voter(&mut self, startup: &Startup) -> bool {
        self.voter.start(&self.name, &self.disk, startup)
    }

    /// The process ends, or its machine: of what was not synced, some survives. Returns the
    /// operations that were under way.
    pub(super) fn crash(&mut self, rng: &mut fastrand::Rng) -> Vec<(Name, FencingToken)> {
        self.voter.stop();
        let operations = self.client.stop();
        self.is_paused = false;
        self.pending_events.clear();
        self.disk
            .crash(|unsynced_bytes| rng.usize(0..=unsynced_bytes));
        operations
    }

    /// Returns what waited while the process was paused.
    pub(super) fn resume(&mut self) -> Vec<ProcessEvent> {
        match std::mem::replace(&mut self.is_paused, false) {
            true => std::mem::take(&mut self.pending_events),
            false => Vec::new(),
        }
    }

    /// Returns the event if the process is to handle it now: it waits while the process is paused,
    /// and a timer of an earlier run of the process is void.
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

    /// How many owners may act now, by true time and whatever each of them believes; paused ones
    /// count too.
    pub(super) fn count_holders(&self, now: Duration, lease: &str) -> usize {
        self.iter()
            .filter(|process| process.client.may_act(process.local_time(now), lease))
            .count()
    }

    /// How many voters vote.
    pub(super) fn count_voting(&self) -> usize {
        self.iter()
            .filter(|process| !process.is_paused && process.voter.is_voting())
            .count()
    }

    /// Whether some running process wants a lease.
    pub(super) fn is_wanted(&self, lease: &PlannedLease) -> bool {
        let is_running = |process: &Process| process.client.is_running() && !process.is_paused;
        self.iter()
            .any(|process| process.wants(lease) && is_running(process))
    }

    /// The tokens of operations of paused processes: nothing but the token keeps those from doing
    /// harm when they resume.
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
