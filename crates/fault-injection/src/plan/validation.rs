//! Checks each value of a plan against its limits before a run begins. A value out of range could
//! cause a run that never ends, or an outcome without meaning.

use std::ops::RangeInclusive;

use tulipgap_consensus::MAX_VOTERS;
use tulipgap_leases::{MAX_CAPACITY, MAX_LEASE_TTL, MAX_NAME_BYTES, MIN_LEASE_TTL};
use tulipgap_membership::{Incarnation, Membership, Node, SUPPORTED_VERSIONS};

use super::fault::FaultTimes;
use super::{Bounds, Fault, Member, Plan, PlanError, PlannedLease, TimeWindow};

/// The maximum number of members in a run.
const MAX_MEMBERS: usize = 2000;
/// The maximum duration of a run, in seconds.
const MAX_LENGTH_SECONDS: f64 = 3600.0;
/// The maximum length of a zone's name, in bytes.
const MAX_ZONE_NAME_BYTES: usize = 40;
/// The range of fractions of messages.
const FRACTION: RangeInclusive<f64> = 0.0..=1.0;
/// The range of delays that are added to the usual latency, in milliseconds.
const DELAY_MS: RangeInclusive<f64> = 0.0..=60_000.0;
/// The range of clock rates, in seconds that a clock shows for each true second.
const CLOCK_RATE: RangeInclusive<f64> = 0.5..=2.0;
/// The range of times for which a flapping link stays cut or open, in seconds.
const FLAP_SECONDS: RangeInclusive<f64> = 0.01..=3600.0;
/// The range of lease TTLs, in seconds.
const TTL_SECONDS: RangeInclusive<f64> = MIN_LEASE_TTL.as_secs_f64()..=MAX_LEASE_TTL.as_secs_f64();
/// The range of lease capacities.
const CAPACITY: RangeInclusive<u32> = 1..=MAX_CAPACITY;
/// The maximum duration of an operation, as a fraction of the lease's TTL.
const MAX_OPERATION_FRACTION: f64 = 0.25;

fn ensure(is_valid: bool, location: impl Into<String>, expected: &str) -> Result<(), PlanError> {
    match is_valid {
        true => Ok(()),
        false => Err(PlanError::InvalidValue {
            location: location.into(),
            expected: expected.to_owned(),
        }),
    }
}

fn is_known_target(members: &[Member], target: &str) -> bool {
    target.is_empty() || members.iter().any(|member| member.matches(target))
}

impl Plan {
    /// Checks every value of the plan.
    ///
    /// # Errors
    /// [`PlanError::InvalidValue`] for the first value that is out of range.
    pub(super) fn validate(&self) -> Result<(), PlanError> {
        ensure(
            self.length > 0.0 && self.length <= MAX_LENGTH_SECONDS,
            "length",
            "must be above 0 and at most 3600 seconds",
        )?;
        self.validate_zones()?;
        let members = self.members();
        for (index, fault) in self.faults.iter().enumerate() {
            let location = format!("fault {} ({fault:?})", index + 1);
            fault.validate(&location, self.length, &members)?;
        }
        self.validate_membership()?;
        self.validate_voters(&members)?;
        for (index, lease) in self.leases.iter().enumerate() {
            ensure(
                lease.is_valid(&members),
                format!("lease[{index}]"),
                "needs a name of 1 to 64 bytes, a TTL (`term`) of at least 0.2 s, a capacity (`places`) of at \
                 least 1, operations (`step`) of at most a quarter of the TTL",
            )?;
        }
        self.bounds.validate()
    }

    fn validate_zones(&self) -> Result<(), PlanError> {
        let count: usize = self.zones.iter().map(|zone| zone.count).sum();
        ensure(
            (2..=MAX_MEMBERS).contains(&count),
            "members",
            "the total count must be 2 to 2000",
        )?;
        for (index, zone) in self.zones.iter().enumerate() {
            ensure(
                (1..=MAX_ZONE_NAME_BYTES).contains(&zone.zone.len()) && zone.count > 0,
                format!("members[{index}]"),
                "needs a zone name of 1 to 40 bytes and a count of at least 1",
            )?;
        }
        Ok(())
    }

    fn validate_membership(&self) -> Result<(), PlanError> {
        let node = Node {
            name: "a".into(),
            address: ([127, 0, 0, 1], 1).into(),
            region: "a".into(),
            zone: "a".into(),
            version: *SUPPORTED_VERSIONS.end(),
        };
        match Membership::new(self.membership.clone(), node, Incarnation::default(), 0) {
            Ok(_) => Ok(()),
            Err(error) => Err(PlanError::InvalidValue {
                location: "terms".into(),
                expected: error.to_string(),
            }),
        }
    }

    fn validate_voters(&self, members: &[Member]) -> Result<(), PlanError> {
        let mut voters = self.voters.clone();
        voters.sort();
        voters.dedup();
        let is_member = |name: &String| members.iter().any(|member| member.name == *name);
        ensure(
            voters.len() == self.voters.len()
                && voters.len() <= MAX_VOTERS
                && voters.iter().all(is_member),
            "voters",
            "must be at most 7 members, each named once",
        )?;
        ensure(
            self.leases.is_empty() || !voters.is_empty(),
            "lease",
            "leases need voters",
        )
    }
}

impl Fault {
    fn validate(&self, location: &str, length: f64, members: &[Member]) -> Result<(), PlanError> {
        let window = self.window(length);
        ensure(
            window.from >= 0.0 && window.from < window.to && window.to <= length,
            location,
            "its times must lie within the run, and its end must be after its beginning",
        )?;
        ensure(
            self.targets()
                .iter()
                .all(|target| is_known_target(members, target)),
            location,
            "a target names no zone and no member",
        )?;
        ensure(
            self.has_valid_amounts(),
            location,
            "needs fractions from 0 to 1, a delay of at most 60 s, a flap of 0.01 s to 3600 s, a rate from 0.5 to 2",
        )
    }

    /// The time from the beginning of the fault to its end, or to the end of the run.
    fn window(&self, length: f64) -> TimeWindow {
        let FaultTimes { begin, end } = self.times();
        TimeWindow {
            from: begin,
            to: end.unwrap_or(length),
        }
    }

    fn targets(&self) -> Vec<&str> {
        match self {
            Fault::Partition { a, b, .. } => vec![a, b],
            Fault::DegradedLinks { target, .. }
            | Fault::Crash { target, .. }
            | Fault::Pause { target, .. }
            | Fault::ClockRate { target, .. }
            | Fault::Disk { target, .. } => vec![target],
            Fault::ReplaceVoter { old, new, .. } => vec![old, new],
        }
    }

    fn has_valid_amounts(&self) -> bool {
        match self {
            Fault::DegradedLinks {
                loss,
                delay_ms,
                duplication,
                ..
            } => {
                FRACTION.contains(loss)
                    && FRACTION.contains(duplication)
                    && DELAY_MS.contains(delay_ms)
            }
            Fault::ClockRate { rate, .. } => CLOCK_RATE.contains(rate),
            Fault::Partition { flap, .. } => flap.is_none_or(|flap| FLAP_SECONDS.contains(&flap)),
            Fault::Crash { .. }
            | Fault::Pause { .. }
            | Fault::Disk { .. }
            | Fault::ReplaceVoter { .. } => true,
        }
    }
}

impl PlannedLease {
    fn is_valid(&self, members: &[Member]) -> bool {
        (1..=MAX_NAME_BYTES).contains(&self.name.len())
            && TTL_SECONDS.contains(&self.ttl)
            && CAPACITY.contains(&self.capacity)
            && self.max_operation > 0.0
            && self.max_operation <= self.ttl * MAX_OPERATION_FRACTION
            && is_known_target(members, &self.target)
    }
}

impl Bounds {
    fn validate(&self) -> Result<(), PlanError> {
        let Bounds {
            false_death,
            death_detection,
            convergence,
            vacancy,
        } = *self;
        let is_valid = |bound: f64| bound.is_finite() && bound > 0.0;
        ensure(
            [false_death, death_detection, convergence, vacancy]
                .into_iter()
                .all(is_valid),
            "check",
            "bounds must be finite and above 0 seconds",
        )
    }
}
