//! Handles batches: reads the events between the line that opens a batch and the line that closes
//! it, and writes the reply with the actions of all controllers.

use std::collections::{HashMap, HashSet};

use crate::action::END_OF_REPLY;
use crate::backend::Backend;
use crate::fields::{Fields, WireError};
use crate::message::MessageKind;

/// All backends of this process, and the batch that is being read.
#[derive(Default)]
pub(crate) struct Host {
    backends: HashMap<u64, Backend>,
    /// The time of the last batch, in milliseconds of the simulator's clock.
    now: Option<f64>,
    /// Whether a batch is open: its closing line was not read yet.
    in_batch: bool,
    /// The backends with an event in this batch, in the order of their first event.
    backends_with_events: Vec<u64>,
    /// The same backends as a set, so that each is listed once.
    listed: HashSet<u64>,
}

impl Host {
    /// Handles a line, and returns the reply where the line closes a batch.
    ///
    /// # Errors
    /// [`WireError`] if the line is invalid, or not allowed at this point of a batch.
    pub(crate) fn line(&mut self, number: usize, line: &str) -> Result<Option<String>, WireError> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let kind = MessageKind::parse(word);
        if !self.in_batch {
            if kind != Some(MessageKind::OpenBatch) {
                return Err(WireError::at(
                    number,
                    word,
                    "expected CLOCK, which opens a batch",
                ));
            }
            self.open_batch(&Fields::parse(number, rest)?)?;
            return Ok(None);
        }
        if kind == Some(MessageKind::CloseBatch) {
            return Ok(Some(self.close_batch()));
        }
        let fields = Fields::parse(number, rest)?;
        match kind {
            None | Some(MessageKind::OpenBatch) => {
                return Err(WireError::at(number, word, "unknown message"));
            }
            Some(kind) => self.handle_message(kind, &fields)?,
        }
        Ok(None)
    }

    fn open_batch(&mut self, fields: &Fields) -> Result<(), WireError> {
        let now = fields.required_number("t")?;
        if self.now.is_some_and(|before| now < before) {
            return Err(fields.error("t", "the time is earlier than in the previous batch"));
        }
        (self.now, self.in_batch) = (Some(now), true);
        Ok(())
    }

    /// Lets the controllers of all backends with an event decide, in the order of their first
    /// event, and returns the reply.
    fn close_batch(&mut self) -> String {
        self.in_batch = false;
        self.listed.clear();
        let now = self.now.unwrap_or_default();
        let mut reply = String::new();
        for id in std::mem::take(&mut self.backends_with_events) {
            if let Some(backend) = self.backends.get_mut(&id) {
                backend.decide(id, now, &mut reply);
            }
        }
        reply.push_str(END_OF_REPLY);
        reply
    }

    fn handle_message(&mut self, kind: MessageKind, fields: &Fields) -> Result<(), WireError> {
        let id = fields.integer("backend_id")?;
        match kind {
            MessageKind::StartBackend => {
                let now = self.now.unwrap_or_default();
                self.backends.insert(id, Backend::spawn(fields, now)?);
            }
            MessageKind::StopBackend => {
                self.backends.remove(&id);
            }
            // Events of a backend that is not running are ignored.
            MessageKind::Event(kind) => match self.backends.get_mut(&id) {
                Some(backend) => backend.queue_event(kind, fields)?,
                None => return Ok(()),
            },
            // `line` has handled these kinds, which change the state of the batch.
            MessageKind::OpenBatch | MessageKind::CloseBatch => {}
        }
        if self.listed.insert(id) {
            self.backends_with_events.push(id);
        }
        Ok(())
    }

    /// Handles the end of the input before line `number`.
    ///
    /// # Errors
    /// [`WireError`] if a batch is open.
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
