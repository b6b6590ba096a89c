//! One simulated backend: its controller, and the events that are queued until a batch closes.

use std::collections::HashMap;
use std::time::Duration;

use slab::Slab;
use tulipgap::{Action, Arrival, Controller, Event};
use tulipgap_settings::{Names, Settings};

use crate::action::ActionWriter;
use crate::fields::{Fields, SETTINGS, WireError};
use crate::message::EventKind;

/// A backend and the ids of the requests that its controller knows by index.
pub(crate) struct Backend {
    /// When the backend started, in milliseconds of the simulator's clock.
    started_at: f64,
    controller: Controller,
    names: Names,
    /// The ids of the requests on the wire, by their index.
    ids: Slab<String>,
    indices: HashMap<String, usize>,
    /// The events of the open batch.
    events: Vec<Event>,
}

impl Backend {
    /// Starts a backend at `now`, in milliseconds of the simulator's clock.
    ///
    /// # Errors
    /// [`WireError`] if the seed or the settings are missing or invalid.
    pub(crate) fn spawn(fields: &Fields, now: f64) -> Result<Self, WireError> {
        let seed = fields.integer("prng")?;
        let text = fields.text(SETTINGS)?;
        let invalid = |error: &dyn std::error::Error| fields.error(SETTINGS, error.to_string());
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

    /// The index of the request that a line names, unless the controller has released it.
    fn request_index(&self, fields: &Fields) -> Result<Option<usize>, WireError> {
        Ok(self.indices.get(fields.text("tid")?).copied())
    }

    /// Queues the event of a line. An event of a request that the controller has released is
    /// ignored.
    ///
    /// # Errors
    /// [`WireError`] if a field is missing or invalid.
    pub(crate) fn queue_event(
        &mut self,
        kind: EventKind,
        fields: &Fields,
    ) -> Result<(), WireError> {
        let event = match kind {
            EventKind::Arrived => Some(self.arrival(fields)?),
            EventKind::CallerGone => self
                .request_index(fields)?
                .map(|request| Event::CallerGone { request }),
            EventKind::ReachedCall => self
                .request_index(fields)?
                .map(|request| Event::ReachedCall { request }),
            EventKind::RunFinished => {
                let outcome = fields.outcome()?;
                self.request_index(fields)?
                    .map(|request| Event::Finished { request, outcome })
            }
            EventKind::CallFinished => {
                let outcome = fields.outcome()?;
                self.request_index(fields)?
                    .map(|request| Event::CallFinished { request, outcome })
            }
            EventKind::TimerFired => Some(Event::TimerFired {
                gauges: fields.gauges()?,
            }),
            EventKind::ShutdownNotice => {
                let left = fields.time("expires_in", fields.required_number("expires_in")?)?;
                Some(Event::ShutdownNotice {
                    since: Duration::ZERO,
                    left,
                })
            }
        };
        self.events.extend(event);
        Ok(())
    }

    fn arrival(&mut self, fields: &Fields) -> Result<Event, WireError> {
        let id = fields.text("tid")?;
        if self.indices.contains_key(id) {
            return Err(fields.error("tid", format!("request '{id}' already exists")));
        }
        let class = fields.text("type")?;
        let Some(&handler) = self.names.handlers.get(class) else {
            return Err(fields.error("type", format!("unknown class '{class}'")));
        };
        let tenant = match fields.optional("realm") {
            None => None,
            Some(name) => match self.names.tenants.get(name) {
                Some(&tenant) => Some(tenant),
                None => return Err(fields.error("realm", format!("unknown tenant '{name}'"))),
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

    /// Lets the controller decide on the batch's events at `now`, in milliseconds of the
    /// simulator's clock, and writes its actions to `reply` for the backend with the id `backend`.
    pub(crate) fn decide(&mut self, backend: u64, now: f64, reply: &mut String) {
        let since_start = Duration::from_secs_f64((now - self.started_at).max(0.0) / 1e3);
        for action in self.controller.handle_events(since_start, &self.events) {
            let mut writer = ActionWriter {
                backend,
                started_at: self.started_at,
                ids: &self.ids,
                reply,
            };
            writer.write(&action);
            if let Action::Release { request } = action {
                let id = self.ids.remove(request);
                self.indices.remove(&id);
            }
        }
        self.events.clear();
    }
}
