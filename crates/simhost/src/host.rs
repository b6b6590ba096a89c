//! The lines of the wire: batches of events in, actions out.

use std::collections::{HashMap, HashSet};

use crate::backend::Backend;
use crate::fields::{Fields, WireError};

/// All backends of this process, and the batch that is being read.
#[derive(Default)]
pub(crate) struct Host {
    backends: HashMap<u64, Backend>,
    /// The time of the last batch, in the wire's milliseconds.
    now: Option<f64>,
    /// A batch is open: its closing line was not read yet.
    in_batch: bool,
    /// Backends with an event in this batch, in the order of their first one.
    with_events: Vec<u64>,
    /// The same backends, so that each is listed once.
    listed: HashSet<u64>,
}

impl Host {
    /// Handles one line; returns the reply when it closes a batch.
    pub(crate) fn line(&mut self, number: usize, line: &str) -> Result<Option<String>, WireError> {
        let (kind, rest) = line.split_once(' ').unwrap_or((line, ""));
        if !self.in_batch {
            if kind != "CLOCK" {
                return Err(WireError::at(number, kind, "a batch opens with CLOCK"));
            }
            let fields = Fields::parse(number, rest)?;
            let now = fields.required_number("t")?;
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
            for number in std::mem::take(&mut self.with_events) {
                if let Some(backend) = self.backends.get_mut(&number) {
                    backend.decide(number, now, &mut reply);
                }
            }
            reply.push_str("NEXT\n");
            return Ok(Some(reply));
        }
        let fields = Fields::parse(number, rest)?;
        let id = match kind {
            "SPAWN" | "POWER_OFF" | "INCOMING" | "GONE" | "AT_CALL" | "DONE" | "CAME_BACK"
            | "ELAPSED" | "SIGTERM" => fields.integer("backend_id")?,
            _ => return Err(WireError::at(number, kind, "it is no known message")),
        };
        match kind {
            "SPAWN" => {
                self.backends.insert(id, Backend::spawn(&fields, now)?);
            }
            "POWER_OFF" => {
                self.backends.remove(&id);
            }
            // Events of a backend that is not running are ignored.
            _ => match self.backends.get_mut(&id) {
                Some(backend) => backend.handle_line(kind, &fields)?,
                None => return Ok(None),
            },
        }
        if self.listed.insert(id) {
            self.with_events.push(id);
        }
        Ok(None)
    }

    /// The input ended before this line.
    pub(crate) fn finish(&self, number: usize) -> Result<(), WireError> {
        match self.in_batch {
            true => Err(WireError::at(
                number,
                "OVER_TO_YOU",
                "the input ends inside a batch",
            )),
            false => Ok(()),
        }
    }
}
