//! What a file says: members by zone, faults with their times, and the bounds that are checked.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tulipgap_membership::{Config, Incarnation, Membership, Node, SUPPORTED_VERSIONS};

/// More makes no sense in one run.
const MEMBERS_MOST: usize = 2000;
const LENGTH_MOST: f64 = 3600.0;

#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    #[error("{0}")]
    Form(String),
    #[error("{place}: {problem}")]
    Meaning { place: String, problem: String },
}

/// One block of a kind, or several.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum Blocks<T> {
    One(T),
    Many(Vec<T>),
}

impl<T> Default for Blocks<T> {
    fn default() -> Self {
        Blocks::Many(Vec::new())
    }
}

impl<T> Blocks<T> {
    fn all(self) -> Vec<T> {
        match self {
            Blocks::One(one) => vec![one],
            Blocks::Many(many) => many,
        }
    }
}

/// From and to, in seconds since the start.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    pub from: f64,
    pub to: f64,
}

/// Members of one zone.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Members {
    pub zone: String,
    #[serde(default)]
    pub region: String,
    pub count: usize,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Cut {
    from: f64,
    to: f64,
    /// Zones or members on either side.
    between: [String; 2],
    #[serde(default)]
    one_way: bool,
    /// On for so long, off for as long, over and over.
    flap: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Worse {
    from: f64,
    to: f64,
    /// A zone or member whose links are worse, both ways; all where nothing is said.
    #[serde(default)]
    of: String,
    #[serde(default)]
    loss: f64,
    #[serde(default)]
    delay_ms: f64,
    #[serde(default)]
    twice: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Process {
    at: f64,
    of: String,
    /// When it is back; never where nothing is said.
    back: Option<f64>,
    /// Its folder, when it is back.
    #[serde(default)]
    folder: Left,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Clock {
    of: String,
    rate: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Disk {
    at: f64,
    of: String,
    back: Option<f64>,
    what: Trouble,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Replace {
    at: f64,
    old: String,
    new: String,
}

/// A lease that members want for as long as they live.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Wanted {
    pub name: String,
    /// Seconds.
    #[serde(default = "term")]
    pub term: f64,
    #[serde(default = "one")]
    pub places: u32,
    /// A zone or member that wants it; all where nothing is said.
    #[serde(default)]
    pub of: String,
    /// One act takes so long, seconds.
    #[serde(default = "step")]
    pub step: f64,
}

fn term() -> f64 {
    2.0
}
fn one() -> u32 {
    1
}
fn step() -> f64 {
    0.05
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    length: f64,
    members: Blocks<Members>,
    #[serde(default)]
    cut: Blocks<Cut>,
    #[serde(default)]
    links: Blocks<Worse>,
    #[serde(default)]
    crash: Blocks<Process>,
    #[serde(default)]
    stop: Blocks<Process>,
    #[serde(default)]
    clock: Blocks<Clock>,
    #[serde(default)]
    disk: Blocks<Disk>,
    #[serde(default)]
    replace: Blocks<Replace>,
    #[serde(default)]
    voters: Vec<String>,
    #[serde(default)]
    lease: Blocks<Wanted>,
    check: Option<Checks>,
    #[serde(default)]
    terms: Changed,
}

/// Terms that differ from the usual ones.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Changed {
    period: Option<f64>,
    timeout: Option<f64>,
    /// How far a member that does badly stretches its times; 0 is plain SWIM.
    awareness: Option<u32>,
    suspicion: Option<f64>,
    suspicion_most: Option<f64>,
}

impl Changed {
    fn terms(self) -> Result<Config, PlanError> {
        let usual = Config::default();
        let span = |name: &str, value: Option<f64>, usual: Duration| match value {
            None => Ok(usual),
            Some(value) => Duration::try_from_secs_f64(value).map_err(|error| PlanError::Meaning {
                place: format!("terms.{name}"),
                problem: error.to_string(),
            }),
        };
        Ok(Config {
            probe_interval: span("period", self.period, usual.probe_interval)?,
            probe_timeout: span("timeout", self.timeout, usual.probe_timeout)?,
            max_awareness: self.awareness.unwrap_or(usual.max_awareness),
            suspicion_mult: self.suspicion.unwrap_or(usual.suspicion_mult),
            suspicion_max_timeout_mult: self.suspicion_most.unwrap_or(usual.suspicion_max_timeout_mult),
            ..usual
        })
    }
}

/// The bounds, in seconds; each is asserted.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checks {
    /// A live member that can be reached is held dead no longer.
    pub held_dead: f64,
    /// Who is dead is known so to every live member.
    pub known: f64,
    /// After the last fault all views are the same.
    pub agree: f64,
    /// After the last fault no lease that is wanted lacks a holder for longer, where voters can lead.
    #[serde(default = "free")]
    pub free: f64,
}

fn free() -> f64 {
    15.0
}

impl Default for Checks {
    fn default() -> Self {
        Checks { held_dead: 10.0, known: 30.0, agree: 30.0, free: free() }
    }
}

/// What a process that was killed finds in its folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Left {
    #[default]
    Kept,
    Emptied,
    /// What was in it half a second after the start.
    Older,
}

/// What is wrong with a disk.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Trouble {
    Full,
    /// One sync fails.
    Fails,
}

/// A fault; `a` and `b` name zones or members.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Cut {
        span: Span,
        a: String,
        b: String,
        one_way: bool,
        flap: Option<f64>,
    },
    Links {
        span: Span,
        of: String,
        loss: f64,
        delay_ms: f64,
        twice: f64,
    },
    /// Killed; it comes back with nothing but its name.
    Crash {
        at: f64,
        of: String,
        back: Option<f64>,
        folder: Left,
    },
    /// Stopped; it wakes with the view it had and all that came meanwhile.
    Stop {
        at: f64,
        of: String,
        back: Option<f64>,
    },
    /// Its clock runs at another rate, all the time.
    Clock {
        of: String,
        rate: f64,
    },
    Disk {
        at: f64,
        of: String,
        back: Option<f64>,
        what: Trouble,
    },
    /// An operator has another vote in its place.
    Replace {
        at: f64,
        old: String,
        new: String,
    },
}

impl Fault {
    /// In this order a file's faults are read, whatever their order in it.
    pub fn rank(&self) -> u32 {
        match self {
            Fault::Cut { .. } => 0,
            Fault::Links { .. } => 1,
            Fault::Crash { .. } => 2,
            Fault::Stop { .. } => 3,
            Fault::Clock { .. } => 4,
            Fault::Disk { .. } => 5,
            Fault::Replace { .. } => 6,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub length: f64,
    pub members: Vec<Members>,
    pub faults: Vec<Fault>,
    pub checks: Checks,
    pub terms: Config,
    /// Who votes on leases.
    pub voters: Vec<String>,
    pub leases: Vec<Wanted>,
}

impl Plan {
    /// Reads a file; says what is wrong with it otherwise, and where.
    pub fn read(text: &str) -> Result<Self, PlanError> {
        let file: File = hcl::from_str(text).map_err(|error| PlanError::Form(error.to_string()))?;
        let mut faults = Vec::new();
        for cut in file.cut.all() {
            let [a, b] = cut.between;
            let span = Span { from: cut.from, to: cut.to };
            faults.push(Fault::Cut { span, a, b, one_way: cut.one_way, flap: cut.flap });
        }
        for links in file.links.all() {
            let span = Span { from: links.from, to: links.to };
            let Worse { of, loss, delay_ms, twice, .. } = links;
            faults.push(Fault::Links { span, of, loss, delay_ms, twice });
        }
        for Process { at, of, back, folder } in file.crash.all() {
            faults.push(Fault::Crash { at, of, back, folder });
        }
        for Process { at, of, back, .. } in file.stop.all() {
            faults.push(Fault::Stop { at, of, back });
        }
        faults.extend(file.clock.all().into_iter().map(|Clock { of, rate }| Fault::Clock { of, rate }));
        for Disk { at, of, back, what } in file.disk.all() {
            faults.push(Fault::Disk { at, of, back, what });
        }
        for Replace { at, old, new } in file.replace.all() {
            faults.push(Fault::Replace { at, old, new });
        }
        let plan = Plan {
            length: file.length,
            members: file.members.all(),
            faults,
            checks: file.check.unwrap_or_default(),
            terms: file.terms.terms()?,
            voters: file.voters,
            leases: file.lease.all(),
        };
        plan.check()?;
        Ok(plan)
    }

    pub fn check(&self) -> Result<(), PlanError> {
        let wrong =
            |place: String, problem: &str| Err(PlanError::Meaning { place, problem: problem.to_owned() });
        if !(self.length > 0.0 && self.length <= LENGTH_MOST) {
            return wrong("length".into(), "from above 0 to 3600 seconds");
        }
        let count: usize = self.members.iter().map(|members| members.count).sum();
        if !(2..=MEMBERS_MOST).contains(&count) {
            return wrong("members".into(), "2 to 2000 in all");
        }
        for (at, members) in self.members.iter().enumerate() {
            if members.zone.is_empty() || members.zone.len() > 40 || members.count == 0 {
                return wrong(format!("members[{at}]"), "a zone of 1 to 40 bytes and a count from 1 up");
            }
        }
        let known =
            |of: &str| of.is_empty() || self.names().iter().any(|(name, zone)| of == name || of == zone);
        let part = |value: f64| (0.0..=1.0).contains(&value);
        for (at, fault) in self.faults.iter().enumerate() {
            let (span, names) = match fault {
                Fault::Cut { span, a, b, .. } => (*span, vec![a, b]),
                Fault::Links { span, of, .. } => (*span, vec![of]),
                Fault::Crash { at, of, back, .. }
                | Fault::Stop { at, of, back }
                | Fault::Disk { at, of, back, .. } => {
                    (Span { from: *at, to: back.unwrap_or(self.length) }, vec![of])
                }
                Fault::Clock { of, .. } => (Span { from: 0.0, to: self.length }, vec![of]),
                Fault::Replace { at, old, new } => (Span { from: *at, to: self.length }, vec![old, new]),
            };
            let place = format!("fault {} ({fault:?})", at + 1);
            if !(span.from >= 0.0 && span.from < span.to && span.to <= self.length) {
                return wrong(place, "its times lie in the run, and it ends after it begins");
            }
            if !names.iter().all(|name| known(name)) {
                return wrong(place, "it names no zone and no member");
            }
            let fine = match fault {
                Fault::Links { loss, delay_ms, twice, .. } => {
                    part(*loss) && part(*twice) && (0.0..=60_000.0).contains(delay_ms)
                }
                Fault::Clock { rate, .. } => (0.5..=2.0).contains(rate),
                Fault::Cut { flap, .. } => flap.is_none_or(|flap| (0.01..=3600.0).contains(&flap)),
                _ => true,
            };
            if !fine {
                return wrong(
                    place,
                    "a part from 0 to 1, a delay up to a minute, a flap from 0.01 s, a rate from 0.5 to 2",
                );
            }
        }
        let node = Node {
            name: "a".into(),
            address: ([127, 0, 0, 1], 1).into(),
            region: "a".into(),
            zone: "a".into(),
            version: *SUPPORTED_VERSIONS.end(),
        };
        if let Err(error) = Membership::new(self.terms.clone(), node, Incarnation::default(), 0) {
            return wrong("terms".into(), &error.to_string());
        }
        let mut voters = self.voters.clone();
        voters.sort();
        voters.dedup();
        let members = self.names();
        let member = |name: &String| members.iter().any(|(member, _)| member == name);
        if voters.len() != self.voters.len() || voters.len() > 7 || !voters.iter().all(member) {
            return wrong("voters".into(), "members, each named once, 7 at the most");
        }
        if !self.leases.is_empty() && voters.is_empty() {
            return wrong("lease".into(), "leases need voters");
        }
        for (at, lease) in self.leases.iter().enumerate() {
            let fine = (1..=64).contains(&lease.name.len())
                && (0.2..=3600.0).contains(&lease.term)
                && (1..=1000).contains(&lease.places)
                && lease.step > 0.0
                && lease.step <= lease.term / 4.0
                && known(&lease.of);
            if !fine {
                let problem = "a name of 1 to 64 bytes, a term from 0.2 s, places from 1, a step up to a quarter of the term";
                return wrong(format!("lease[{at}]"), problem);
            }
        }
        let Checks { held_dead, known, agree, free } = self.checks;
        match [held_dead, known, agree, free].iter().all(|bound| bound.is_finite() && *bound > 0.0) {
            true => Ok(()),
            false => wrong("check".into(), "bounds are seconds above 0"),
        }
    }

    /// The faults as they stand in a file, so that what failed can be played again.
    pub fn faults_written(&self) -> String {
        let back = |back: &Option<f64>| back.map_or_else(String::new, |back| format!("  back = {back}\n"));
        let one = |fault: &Fault| match fault {
            Fault::Cut { span: Span { from, to }, a, b, one_way, flap } => {
                let flap = flap.map_or_else(String::new, |flap| format!("  flap = {flap}\n"));
                format!(
                    "cut {{\n  from = {from}\n  to = {to}\n  between = [{a:?}, {b:?}]\n  one_way = {one_way}\n{flap}}}\n"
                )
            }
            Fault::Links { span: Span { from, to }, of, loss, delay_ms, twice } => format!(
                "links {{\n  from = {from}\n  to = {to}\n  of = {of:?}\n  loss = {loss}\n  delay_ms = {delay_ms}\n  twice = {twice}\n}}\n"
            ),
            Fault::Crash { at, of, back: to, folder } => {
                let folder = format!("{folder:?}").to_lowercase();
                format!("crash {{\n  at = {at}\n  of = {of:?}\n{}  folder = {folder:?}\n}}\n", back(to))
            }
            Fault::Stop { at, of, back: to } => {
                format!("stop {{\n  at = {at}\n  of = {of:?}\n{}}}\n", back(to))
            }
            Fault::Clock { of, rate } => format!("clock {{\n  of = {of:?}\n  rate = {rate}\n}}\n"),
            Fault::Disk { at, of, back: to, what } => {
                let what = format!("{what:?}").to_lowercase();
                format!("disk {{\n  at = {at}\n  of = {of:?}\n{}  what = {what:?}\n}}\n", back(to))
            }
            Fault::Replace { at, old, new } => {
                format!("replace {{\n  at = {at}\n  old = {old:?}\n  new = {new:?}\n}}\n")
            }
        };
        self.faults.iter().map(one).collect()
    }

    /// Whether a member is meant by a name, a zone, or nothing said.
    pub fn is(member: &(String, String), of: &str) -> bool {
        of.is_empty() || member.0 == of || member.1 == of
    }

    /// Whether what the one sends gets to the other at that time, as far as cuts go.
    pub fn open(&self, now: f64, from: &(String, String), to: &(String, String)) -> bool {
        !self.faults.iter().any(|fault| match fault {
            Fault::Cut { span, a, b, one_way, flap } => {
                let on = now >= span.from
                    && now < span.to
                    && flap.is_none_or(|flap| (((now - span.from) / flap) as u64).is_multiple_of(2));
                let forth = Plan::is(from, a) && Plan::is(to, b);
                let back = Plan::is(from, b) && Plan::is(to, a);
                on && from.0 != to.0 && (forth || back && !one_way)
            }
            _ => false,
        })
    }

    /// Delay in seconds, the parts that are lost and that come twice, of what the one sends to the other.
    pub fn worse(&self, now: f64, from: &(String, String), to: &(String, String)) -> (f64, f64, f64) {
        let (mut delay, mut loss, mut twice) = (0.0, 0.0, 0.0);
        for fault in &self.faults {
            if let Fault::Links { span, of, loss: l, delay_ms, twice: t } = fault
                && now >= span.from
                && now < span.to
                && (Plan::is(from, of) || Plan::is(to, of))
            {
                (delay, loss, twice) =
                    (f64::max(delay, *delay_ms / 1e3), f64::max(loss, *l), f64::max(twice, *t));
            }
        }
        (delay, loss, twice)
    }

    /// How long a message takes where nothing is wrong, seconds.
    pub const LATENCY: (f64, f64) = (0.0002, 0.002);

    /// Each member's name and zone.
    pub fn names(&self) -> Vec<(String, String)> {
        let of = |m: &Members| {
            (1..=m.count).map(|n| (format!("{}-{n}", m.zone), m.zone.clone())).collect::<Vec<_>>()
        };
        self.members.iter().flat_map(of).collect()
    }

    /// When the last fault is over.
    pub fn quiet_from(&self) -> Duration {
        let end = |fault: &Fault| match fault {
            Fault::Cut { span, .. } | Fault::Links { span, .. } => span.to,
            Fault::Crash { at, back, .. } | Fault::Stop { at, back, .. } | Fault::Disk { at, back, .. } => {
                back.unwrap_or(*at)
            }
            Fault::Replace { at, .. } => *at,
            Fault::Clock { .. } => 0.0,
        };
        Duration::from_secs_f64(self.faults.iter().map(end).fold(0.0, f64::max))
    }
}
