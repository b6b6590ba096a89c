//! The lines of the wire: batches of events in, actions out. The wire's words end here.

use std::collections::{HashMap, HashSet};
use std::fmt::Write;
use std::time::Duration;

use slab::Slab;
use tulipgap::{Action, Arrival, Controller, Event, Gauges, Outcome};
use tulipgap_settings::{Names, Settings, gauge_mut, milliseconds};

/// Input that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    #[error("line {line}: {field}: {problem}")]
    Malformed { line: usize, field: String, problem: String },
    #[error("standard streams: {0}")]
    Io(#[from] std::io::Error),
}

impl WireError {
    pub fn at(line: usize, field: &str, problem: impl Into<String>) -> Self {
        WireError::Malformed { line, field: field.to_owned(), problem: problem.into() }
    }
}

/// A time in the wire's milliseconds.
fn as_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// The name=value pairs of one line.
struct Fields<'a> {
    line: usize,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    fn read(line: usize, mut rest: &'a str) -> Result<Self, WireError> {
        let mut pairs = Vec::with_capacity(14);
        while !rest.is_empty() {
            let Some((name, after)) = rest.split_once('=') else {
                return Err(WireError::at(line, rest, "it is no name=value pair"));
            };
            let text = name == "facts";
            let (value, next) = if text { (after, "") } else { after.split_once(' ').unwrap_or((after, "")) };
            pairs.push((name, value));
            rest = next;
        }
        Ok(Fields { line, pairs })
    }

    fn find(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(key, _)| *key == name).map(|(_, value)| *value)
    }

    fn error(&self, name: &str, problem: impl Into<String>) -> WireError {
        WireError::at(self.line, name, problem)
    }

    fn text(&self, name: &str) -> Result<&'a str, WireError> {
        self.find(name).filter(|value| !value.is_empty()).ok_or_else(|| self.error(name, "it is missing"))
    }

    fn whole(&self, name: &str) -> Result<u64, WireError> {
        let value = self.text(name)?;
        value.parse().map_err(|_| self.error(name, format!("'{value}' is no whole number")))
    }

    fn number(&self, name: &str) -> Result<Option<f64>, WireError> {
        let Some(value) = self.find(name) else {
            return Ok(None);
        };
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(Some(number)),
            _ => Err(self.error(name, format!("'{value}' is no number of at least 0"))),
        }
    }

    fn needed(&self, name: &str) -> Result<f64, WireError> {
        self.number(name)?.ok_or_else(|| self.error(name, "it is missing"))
    }

    fn time(&self, name: &str, value: f64) -> Result<Duration, WireError> {
        milliseconds(name, value).map_err(|error| self.error(name, error.to_string()))
    }

    fn flag(&self, name: &str) -> Result<bool, WireError> {
        match self.find(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.error(name, format!("'{value}' is not 0 or 1"))),
        }
    }

    /// An id that is left out, or 0, where there is none.
    fn optional(&self, name: &str) -> Option<&'a str> {
        self.find(name).filter(|value| !matches!(*value, "" | "0"))
    }

    fn outcome(&self) -> Result<Outcome, WireError> {
        Ok(match self.text("reason")? {
            "success" => Outcome::Succeeded,
            "failure" => Outcome::Failed,
            "overloaded" => Outcome::Rejected,
            "timed_out" => Outcome::TimedOut,
            "unreachable" => Outcome::Unreachable,
            "broken" => Outcome::ConnectionLost,
            "withdrawn" => Outcome::Cancelled,
            "void" => Outcome::NotStarted,
            other => return Err(self.error("reason", format!("'{other}' is no outcome"))),
        })
    }

    fn gauges(&self) -> Result<Gauges, WireError> {
        let mut gauges = Gauges::default();
        for pair in self.find("feedback").unwrap_or("").split(',').filter(|pair| !pair.is_empty()) {
            let Some((name, value)) = pair.split_once(':') else {
                return Err(self.error("feedback", format!("'{pair}' is no name:value pair")));
            };
            let Some(slot) = gauge_mut(&mut gauges, name) else {
                continue;
            };
            match value.parse::<f64>() {
                Ok(number) if number.is_finite() => *slot = Some(number),
                _ => return Err(self.error("feedback", format!("'{value}' is no number"))),
            }
        }
        Ok(gauges)
    }
}

/// One backend: its module, and the ids of the reqs that the module knows by index.
struct Backend {
    started: f64,
    controller: Controller,
    names: Names,
    ids: Slab<String>,
    indices: HashMap<String, usize>,
    events: Vec<Event>,
}

impl Backend {
    fn spawn(fields: &Fields, now: f64) -> Result<Self, WireError> {
        let seed = fields.whole("prng")?;
        let text = fields.text("facts")?;
        let invalid = |error: &dyn std::error::Error| fields.error("facts", error.to_string());
        let settings: Settings = text.parse().map_err(|error| invalid(&error))?;
        let config = settings.controller_config().map_err(|error| invalid(&error))?;
        let controller = Controller::new(&config, seed).map_err(|error| invalid(&error))?;
        let (ids, indices) = (Slab::new(), HashMap::new());
        let names = settings.names();
        Ok(Backend { started: now, controller, names, ids, indices, events: vec![Event::Started] })
    }

    /// The index of a request that the module has not ended yet.
    fn request(&self, fields: &Fields) -> Result<Option<usize>, WireError> {
        Ok(self.indices.get(fields.text("tid")?).copied())
    }

    fn take_in(&mut self, kind: &str, fields: &Fields) -> Result<(), WireError> {
        let event = match kind {
            "INCOMING" => Some(self.arrival(fields)?),
            "GONE" => self.request(fields)?.map(|request| Event::CallerGone { request }),
            "AT_CALL" => self.request(fields)?.map(|request| Event::ReachedCall { request }),
            "DONE" => {
                let outcome = fields.outcome()?;
                self.request(fields)?.map(|request| Event::Finished { request, outcome })
            }
            "CAME_BACK" => {
                let outcome = fields.outcome()?;
                self.request(fields)?.map(|request| Event::CallFinished { request, outcome })
            }
            "ELAPSED" => Some(Event::TimerFired { gauges: fields.gauges()? }),
            "SIGTERM" => {
                let left = fields.time("expires_in", fields.needed("expires_in")?)?;
                Some(Event::ShutdownNotice { since: Duration::ZERO, left })
            }
            other => return Err(WireError::at(fields.line, other, "it is no known message")),
        };
        self.events.extend(event);
        Ok(())
    }

    fn arrival(&mut self, fields: &Fields) -> Result<Event, WireError> {
        let id = fields.text("tid")?;
        if self.indices.contains_key(id) {
            return Err(fields.error("tid", format!("'{id}' is here already")));
        }
        let class = fields.text("type")?;
        let Some(&handler) = self.names.handlers.get(class) else {
            return Err(fields.error("type", format!("'{class}' is no known class")));
        };
        let tenant = match fields.optional("realm") {
            None => None,
            Some(name) => match self.names.tenants.get(name) {
                Some(&tenant) => Some(tenant),
                None => return Err(fields.error("realm", format!("'{name}' is no known tenant"))),
            },
        };
        let positive = |name: &str| -> Result<Option<Duration>, WireError> {
            fields
                .number(name)?
                .filter(|&value| value > 0.0)
                .map(|value| fields.time(name, value))
                .transpose()
        };
        let age = fields.time("queued_for", fields.number("queued_for")?.unwrap_or(0.0))?;
        let (client_wait, estimated_work) = (positive("expires_in")?, positive("work")?);
        let queued_kb = fields.needed("footprint")?;
        let (is_retry, is_duplicate) =
            (fields.flag("again_by_client")?, fields.optional("original").is_some());
        let request = self.ids.insert(id.to_owned());
        self.indices.insert(id.to_owned(), request);
        Ok(Event::Arrived(Arrival {
            request,
            handler,
            tenant,
            age,
            client_wait,
            estimated_work,
            queued_kb,
            is_retry,
            is_duplicate,
        }))
    }

    /// Lets the module decide on the batch's events, and writes down what it wants done.
    fn answer(&mut self, number: u64, now: f64, reply: &mut String) {
        let since_start = Duration::from_secs_f64((now - self.started).max(0.0) / 1e3);
        for action in self.controller.handle_events(since_start, &self.events) {
            self.write(number, &action, reply);
        }
        self.events.clear();
    }

    fn write(&mut self, number: u64, action: &Action, reply: &mut String) {
        let mut line = |word: &str, request: Option<usize>, rest: std::fmt::Arguments| {
            let _ = write!(reply, "{word} backend_id={number}");
            if let Some(request) = request {
                let _ = write!(reply, " tid={}", self.ids[request]);
            }
            let _ = reply.write_fmt(rest);
            reply.push('\n');
        };
        match *action {
            Action::Start { request } => line("EXECUTE", Some(request), format_args!("")),
            Action::Reject { request, retry_after, retry_elsewhere, .. } => {
                let (wait, last) = (as_millis(retry_after.unwrap_or_default()), u8::from(!retry_elsewhere));
                line("TURN_AWAY", Some(request), format_args!(" wait={wait:.3} terminal={last}"));
            }
            Action::Fail { request, .. } => line("REPORT_FAILURE", Some(request), format_args!("")),
            Action::Cancel { request } => line("YANK", Some(request), format_args!("")),
            Action::Coalesce { request } => line("JOIN", Some(request), format_args!("")),
            Action::RememberKey { request, retention } => {
                line("KEEP", Some(request), format_args!(" lifetime={:.3}", as_millis(retention)));
            }
            Action::ForgetKey { request } => line("EVICT", Some(request), format_args!("")),
            Action::StartCall { request, timeout } => {
                line("DIAL", Some(request), format_args!(" patience={:.3}", as_millis(timeout)));
            }
            Action::SkipCall { request } => line("OMIT", Some(request), format_args!("")),
            Action::SetFeedback { value } => line("SAY", None, format_args!(" amount={value:.4}")),
            Action::SetIdleTimeout { timeout } => {
                line("CLOSE_IDLE", None, format_args!(" lifetime={:.3}", as_millis(timeout)));
            }
            Action::SetHealth { healthy } => {
                line("SET_HEALTH", None, format_args!(" enable={} light=1", u8::from(healthy)));
            }
            Action::SetTimer { at } => {
                let at = self.started + as_millis(at);
                line("TIMER", None, format_args!(" handle=beat alarm_time={at:.3}"));
            }
            Action::Release { request } => {
                let id = self.ids.remove(request);
                self.indices.remove(&id);
            }
        }
    }
}

/// All backends of this process, and the batch that is being read.
#[derive(Default)]
pub struct Host {
    backends: HashMap<u64, Backend>,
    now: Option<f64>,
    in_batch: bool,
    /// Backends with an event in this batch, in the order of their first.
    turn: Vec<u64>,
    listed: HashSet<u64>,
}

impl Host {
    /// Takes one line; yields the reply when it closes a batch.
    pub fn line(&mut self, number: usize, line: &str) -> Result<Option<String>, WireError> {
        let (kind, rest) = line.split_once(' ').unwrap_or((line, ""));
        if !self.in_batch {
            if kind != "CLOCK" {
                return Err(WireError::at(number, kind, "a batch opens with CLOCK"));
            }
            let fields = Fields::read(number, rest)?;
            let now = fields.needed("t")?;
            if self.now.is_some_and(|before| now < before) {
                return Err(fields.error("t", "the clock went back"));
            }
            (self.now, self.in_batch) = (Some(now), true);
            return Ok(None);
        }
        let now = self.now.unwrap_or_default();
        if kind == "OVER_TO_YOU" {
            self.in_batch = false;
            self.listed.clear();
            let mut reply = String::new();
            for number in std::mem::take(&mut self.turn) {
                if let Some(backend) = self.backends.get_mut(&number) {
                    backend.answer(number, now, &mut reply);
                }
            }
            reply.push_str("NEXT\n");
            return Ok(Some(reply));
        }
        let fields = Fields::read(number, rest)?;
        let id = match kind {
            "SPAWN" | "POWER_OFF" | "INCOMING" | "GONE" | "AT_CALL" | "DONE" | "CAME_BACK" | "ELAPSED"
            | "SIGTERM" => fields.whole("backend_id")?,
            _ => return Err(WireError::at(number, kind, "it is no known message")),
        };
        match kind {
            "SPAWN" => {
                self.backends.insert(id, Backend::spawn(&fields, now)?);
            }
            "POWER_OFF" => {
                self.backends.remove(&id);
            }
            // Events of a backend that is not running have nobody to decide on them.
            _ => match self.backends.get_mut(&id) {
                Some(backend) => backend.take_in(kind, &fields)?,
                None => return Ok(None),
            },
        }
        if self.listed.insert(id) {
            self.turn.push(id);
        }
        Ok(None)
    }

    /// The input ended before this line.
    pub fn finish(&self, number: usize) -> Result<(), WireError> {
        match self.in_batch {
            true => Err(WireError::at(number, "OVER_TO_YOU", "the input ends inside a batch")),
            false => Ok(()),
        }
    }
}
