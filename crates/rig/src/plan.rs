//! What a file says: members by zone, faults with their times, and the bounds that are checked.

use std::time::Duration;

use serde::Deserialize;
use tulipgap_cluster::{About, Terms, VERSIONS};

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
    fn terms(self) -> Result<Terms, PlanError> {
        let usual = Terms::default();
        let span = |name: &str, value: Option<f64>, usual: Duration| match value {
            None => Ok(usual),
            Some(value) => Duration::try_from_secs_f64(value).map_err(|error| PlanError::Meaning {
                place: format!("terms.{name}"),
                problem: error.to_string(),
            }),
        };
        Ok(Terms {
            period: span("period", self.period, usual.period)?,
            timeout: span("timeout", self.timeout, usual.timeout)?,
            awareness_most: self.awareness.unwrap_or(usual.awareness_most),
            suspicion: self.suspicion.unwrap_or(usual.suspicion),
            suspicion_most: self.suspicion_most.unwrap_or(usual.suspicion_most),
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
}

impl Default for Checks {
    fn default() -> Self {
        Checks { held_dead: 10.0, known: 30.0, agree: 30.0 }
    }
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
    },
    /// Stopped; it wakes with the view it had and all that came meanwhile.
    Stop {
        at: f64,
        of: String,
        back: Option<f64>,
    },
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub length: f64,
    pub members: Vec<Members>,
    pub faults: Vec<Fault>,
    pub checks: Checks,
    pub terms: Terms,
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
        let process = |p: Process| (p.at, p.of, p.back);
        faults.extend(file.crash.all().into_iter().map(process).map(|(at, of, back)| Fault::Crash {
            at,
            of,
            back,
        }));
        faults.extend(file.stop.all().into_iter().map(process).map(|(at, of, back)| Fault::Stop {
            at,
            of,
            back,
        }));
        let plan = Plan {
            length: file.length,
            members: file.members.all(),
            faults,
            checks: file.check.unwrap_or_default(),
            terms: file.terms.terms()?,
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
                Fault::Crash { at, of, back } | Fault::Stop { at, of, back } => {
                    (Span { from: *at, to: back.unwrap_or(self.length) }, vec![of])
                }
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
                Fault::Cut { flap, .. } => flap.is_none_or(|flap| (0.01..=3600.0).contains(&flap)),
                _ => true,
            };
            if !fine {
                return wrong(place, "a part from 0 to 1, a delay up to a minute, a flap from 0.01 s");
            }
        }
        let about = About {
            name: "a".into(),
            address: ([127, 0, 0, 1], 1).into(),
            region: "a".into(),
            zone: "a".into(),
            version: *VERSIONS.end(),
        };
        if let Err(unfit) = tulipgap_cluster::Members::new(self.terms.clone(), about, 0, 0) {
            return wrong("terms".into(), &unfit.to_string());
        }
        let Checks { held_dead, known, agree } = self.checks;
        match [held_dead, known, agree].iter().all(|bound| bound.is_finite() && *bound > 0.0) {
            true => Ok(()),
            false => wrong("check".into(), "bounds are seconds above 0"),
        }
    }

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
            Fault::Crash { at, back, .. } | Fault::Stop { at, back, .. } => back.unwrap_or(*at),
        };
        Duration::from_secs_f64(self.faults.iter().map(end).fold(0.0, f64::max))
    }
}
