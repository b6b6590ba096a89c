//! The processes of a run: what each owns, and how it starts, crashes, is paused and resumes.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipgap_consensus::{Config as VoterConfig, DurableVoter, Event as VoterEvent};
use tulipgap_leases::{
    Config as ClientConfig, Event as ClientEvent, FencingToken, Incarnation, LeaseClient,
    LeaseGuard, LeaseSpec, Name, Owner,
};
use tulipgap_write_ahead_log::FaultyDisk;

use super::{LeaseSimulation, ProcessEvent, SimulationEvent};
use crate::plan::{DirectoryAfterCrash, Fault, MemberIndex};
use crate::scheduler::ProcessGeneration;

/// How far clocks may be off in rate, as the clients are configured, in thousandths.
const MAX_CLOCK_DRIFT_PERMILLE: u32 = 50;
/// The jitter of the clients' pauses, in thousandths of a pause.
const JITTER_PERMILLE: u32 = 250;
/// Events that wait for a paused process, at most, as in a socket's buffer.
const MAX_PENDING_EVENTS: usize = 2000;
/// How much later a timer elapses by true time. Timers are set by clocks of another rate; this
/// covers the rounding, so that none elapses before its time.
const TIMER_ROUNDING: Duration = Duration::from_nanos(10);

/// A lease under which a client has a guard; the lease itself may have ended meanwhile.
pub(super) struct ActiveLease {
    pub(super) guard: LeaseGuard,
    /// The token of the operation that is under way.
    pub(super) operation: Option<FencingToken>,
}

/// One process and its machine. Owns its state machines, its disk, and what waits while it is
/// paused.
pub(super) struct Process {
    pub(super) name: Name,
    clock_rate: f64,
    /// When the process started, by true time; its own clock starts at zero then.
    started_at: Duration,
    pub(super) disk: FaultyDisk,
    /// What was on the disk when it was backed up.
    backup: BTreeMap<String, Vec<u8>>,
    pub(super) voter: Option<DurableVoter<FaultyDisk>>,
    /// `None` while the process is dead or has not started yet.
    pub(super) client: Option<LeaseClient>,
    pub(super) generation: ProcessGeneration,
    pub(super) is_paused: bool,
    pending_events: Vec<ProcessEvent>,
    pub(super) active_leases: BTreeMap<Name, ActiveLease>,
}

impl Process {
    pub(super) fn new(name: &str, clock_rate: f64) -> Self {
        Process {
            name: name.into(),
            clock_rate,
            started_at: Duration::ZERO,
            disk: FaultyDisk::default(),
            backup: BTreeMap::new(),
            voter: None,
            client: None,
            generation: ProcessGeneration::default(),
            is_paused: false,
            pending_events: Vec::new(),
            active_leases: BTreeMap::new(),
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
        self.is_paused = self.client.is_some();
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
}

impl LeaseSimulation<'_> {
    pub(super) fn start(&mut self, member: MemberIndex, directory: DirectoryAfterCrash) {
        // Where two crashes of one process overlap, it is running already.
        if self.processes[member].client.is_some() {
            return;
        }
        let seed = self.rng.u64(..);
        let process = &mut self.processes[member];
        process.generation = process.generation.next();
        process.started_at = self.scheduler.now();
        process.restore_directory(directory);
        self.start_client(member, seed);
        if self.is_ever_voter(member) {
            self.start_voter(member, seed);
        }
        self.acquire_leases(member);
    }

    fn start_client(&mut self, member: MemberIndex, seed: u64) {
        let process = &mut self.processes[member];
        let owner = Owner {
            name: process.name.clone(),
            incarnation: Incarnation(process.generation.0),
        };
        let config = ClientConfig {
            max_clock_drift_permille: MAX_CLOCK_DRIFT_PERMILLE,
            jitter_permille: JITTER_PERMILLE,
        };
        let mut client = LeaseClient::new(owner, self.voters.clone(), config, seed);
        self.bugs.inject_into_client(&mut client);
        process.client = Some(client);
    }

    /// Whether the plan has the member vote, from the start or later.
    fn is_ever_voter(&self, member: MemberIndex) -> bool {
        let name = &self.processes[member].name;
        let adds = |fault: &Fault| matches!(fault, Fault::ReplaceVoter { new, .. } if new.as_str() == &**name);
        self.voters.contains(name) || self.plan.faults.iter().any(adds)
    }

    fn start_voter(&mut self, member: MemberIndex, seed: u64) {
        let process = &mut self.processes[member];
        let opened = DurableVoter::open(
            VoterConfig::default(),
            &process.name,
            self.voters.clone(),
            process.disk.clone(),
            seed,
        );
        let Ok(mut voter) = opened else {
            self.outcome.stopped_voters += 1;
            return;
        };
        self.bugs.inject_into_voter(&mut voter);
        process.voter = Some(voter);
        self.handle_voter_event(member, VoterEvent::TimerElapsed);
    }

    /// Has a client acquire each lease that the plan has its member want.
    fn acquire_leases(&mut self, member: MemberIndex) {
        let plan = self.plan;
        for lease in &plan.leases {
            if !self.members[member].matches(&lease.target) {
                continue;
            }
            let event = ClientEvent::Acquire {
                lease: lease.name.as_str().into(),
                spec: LeaseSpec {
                    ttl: Duration::from_secs_f64(lease.ttl),
                    capacity: lease.capacity,
                },
                max_step: Duration::from_secs_f64(lease.max_operation),
                wait: true,
            };
            self.handle_client_event(member, event);
        }
    }

    /// The process ends, or its machine: of what was not synced, some survives.
    pub(super) fn crash(&mut self, member: MemberIndex) {
        let process = &mut self.processes[member];
        process.voter = None;
        process.client = None;
        process.is_paused = false;
        process.pending_events.clear();
        for (lease, active) in std::mem::take(&mut process.active_leases) {
            if let Some(token) = active.operation {
                self.invariants.history.abandon(&lease, token);
            }
        }
        let rng = &mut self.rng;
        process
            .disk
            .crash(|unsynced_bytes| rng.usize(0..=unsynced_bytes));
    }

    pub(super) fn resume(&mut self, member: MemberIndex) {
        if !std::mem::replace(&mut self.processes[member].is_paused, false) {
            return;
        }
        for event in std::mem::take(&mut self.processes[member].pending_events) {
            self.handle_process_event(member, event);
        }
    }

    pub(super) fn handle_process_event(&mut self, member: MemberIndex, event: ProcessEvent) {
        let process = &mut self.processes[member];
        if process.is_paused {
            if process.pending_events.len() < MAX_PENDING_EVENTS {
                process.pending_events.push(event);
            }
            return;
        }
        let current = process.generation;
        match event {
            ProcessEvent::Deliver { from, message } => self.deliver(member, from, message),
            ProcessEvent::VoterTimer { generation } if generation == current => {
                self.handle_voter_event(member, VoterEvent::TimerElapsed);
            }
            ProcessEvent::ClientTimer { generation } if generation == current => {
                self.handle_client_event(member, ClientEvent::TimerElapsed);
            }
            ProcessEvent::Operation { generation, lease } if generation == current => {
                self.begin_or_end_operation(member, lease);
            }
            // Of an earlier run of the process.
            ProcessEvent::VoterTimer { .. }
            | ProcessEvent::ClientTimer { .. }
            | ProcessEvent::Operation { .. } => {}
        }
    }

    /// What a member's own clock shows now.
    pub(super) fn local_time(&self, member: MemberIndex) -> Duration {
        self.processes[member].local_time(self.scheduler.now())
    }

    /// Schedules a timer that a state machine set by its process's clock.
    pub(super) fn schedule_timer(
        &mut self,
        member: MemberIndex,
        local_time: Duration,
        event: ProcessEvent,
    ) {
        let at = self.processes[member]
            .true_time(local_time)
            .max(self.scheduler.now());
        self.scheduler
            .schedule(at, member, SimulationEvent::Process(event));
    }
}
