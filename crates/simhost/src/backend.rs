//! One simulated backend: its controller, and the wire's words for the controller's events and
//! actions.

use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

use slab::Slab;
use tulipgap::{Action, Arrival, Controller, Event, RequestIndex};
use tulipgap_settings::{Names, Settings};

use crate::fields::{Fields, WireError};

/// A time in the wire's milliseconds.
fn as_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// A backend and the ids of the requests that its controller knows by index.
pub(crate) struct Backend {
    /// When it started, in the wire's milliseconds.
    started_at: f64,
    controller: Controller,
    names: Names,
    ids: Slab<String>,
    indices: HashMap<String, usize>,
    events: Vec<Event>,
}

impl Backend {
    pub(crate) fn spawn(fields: &Fields, now: f64) -> Result<Self, WireError> {
        let seed = fields.integer("prng")?;
        let text = fields.text("facts")?;
        let invalid = |error: &dyn std::error::Error| fields.error("facts", error.to_string());
        let settings: Settings = text.parse().map_err(|error| invalid(&error))?;
        let config = settings
            .controller_config()
            .map_err(|error| invalid(&error))?;
        let controller = Controller::new(&config, seed).map_err(|error| invalid(&error))?;
        let (ids, indices) = (Slab::new(), HashMap::new());
        let names = settings.names();
        Ok(Backend {
            started_at: now,
            controller,
            names,
            ids,
            indices,
            events: vec![Event::Started],
        })
    }

    /// The index of a request that the module has not ended yet.
    fn request(&self, fields: &Fields) -> Result<Option<usize>, WireError> {
        Ok(self.indices.get(fields.text("tid")?).copied())
    }

    /// Queues the event of a line.
    pub(crate) fn handle_line(&mut self, kind: &str, fields: &Fields) -> Result<(), WireError> {
        let event = match kind {
            "INCOMING" => Some(self.arrival(fields)?),
            "GONE" => self
                .request(fields)?
                .map(|request| Event::CallerGone { request }),
            "AT_CALL" => self
                .request(fields)?
                .map(|request| Event::ReachedCall { request }),
            "DONE" => {
                let outcome = fields.outcome()?;
                self.request(fields)?
                    .map(|request| Event::Finished { request, outcome })
            }
            "CAME_BACK" => {
                let outcome = fields.outcome()?;
                self.request(fields)?
                    .map(|request| Event::CallFinished { request, outcome })
            }
            "ELAPSED" => Some(Event::TimerFired {
                gauges: fields.gauges()?,
            }),
            "SIGTERM" => {
                let left = fields.time("expires_in", fields.required_number("expires_in")?)?;
                Some(Event::ShutdownNotice {
                    since: Duration::ZERO,
                    left,
                })
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
        let queued_kb = fields.required_number("footprint")?;
        let (is_retry, is_duplicate) = (
            fields.flag("again_by_client")?,
            fields.optional("original").is_some(),
        );
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

    /// Lets the controller decide on the batch's events, and writes its actions.
    pub(crate) fn decide(&mut self, number: u64, now: f64, reply: &mut String) {
        let since_start = Duration::from_secs_f64((now - self.started_at).max(0.0) / 1e3);
        for action in self.controller.handle_events(since_start, &self.events) {
            self.write(number, &action, reply);
        }
        self.events.clear();
    }

    fn write(&mut self, number: u64, action: &Action, reply: &mut String) {
        let mut line = |word: &str, request: Option<RequestIndex>, rest: std::fmt::Arguments| {
            let _ = write!(reply, "{word} backend_id={number}");
            if let Some(request) = request {
                let _ = write!(reply, " tid={}", self.ids[request]);
            }
            let _ = reply.write_fmt(rest);
            reply.push('\n');
        };
        match *action {
            Action::Start { request } => line("EXECUTE", Some(request), format_args!("")),
            Action::Reject {
                request,
                retry_after,
                retry_other_server,
                ..
            } => {
                let (wait, last) = (
                    as_millis(retry_after.unwrap_or_default()),
                    u8::from(!retry_other_server),
                );
                line(
                    "TURN_AWAY",
                    Some(request),
                    format_args!(" wait={wait:.3} terminal={last}"),
                );
            }
            Action::Fail { request, .. } => line("REPORT_FAILURE", Some(request), format_args!("")),
            Action::Cancel { request } => line("YANK", Some(request), format_args!("")),
            Action::Coalesce { request } => line("JOIN", Some(request), format_args!("")),
            Action::RememberKey { request, retention } => {
                line(
                    "KEEP",
                    Some(request),
                    format_args!(" lifetime={:.3}", as_millis(retention)),
                );
            }
            Action::ForgetKey { request } => line("EVICT", Some(request), format_args!("")),
            Action::StartCall { request, timeout } => {
                line(
                    "DIAL",
                    Some(request),
                    format_args!(" patience={:.3}", as_millis(timeout)),
                );
            }
            Action::SkipCall { request } => line("OMIT", Some(request), format_args!("")),
            Action::SetFeedback { value } => line("SAY", None, format_args!(" amount={value:.4}")),
            Action::SetIdleTimeout { timeout } => {
                line(
                    "CLOSE_IDLE",
                    None,
                    format_args!(" lifetime={:.3}", as_millis(timeout)),
                );
            }
            Action::SetHealth { healthy } => {
                line(
                    "SET_HEALTH",
                    None,
                    format_args!(" enable={} light=1", u8::from(healthy)),
                );
            }
            Action::SetTimer { at } => {
                let at = self.started_at + as_millis(at);
                line(
                    "TIMER",
                    None,
                    format_args!(" handle=beat alarm_time={at:.3}"),
                );
            }
            Action::Release { request } => {
                let id = self.ids.remove(request);
                self.indices.remove(&id);
            }
        }
    }
}
