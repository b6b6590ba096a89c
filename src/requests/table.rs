//! The requests that a server knows, by index.

use std::ops::{Index, IndexMut};

use super::request::{Request, Stage};
use crate::event::RequestIndex;

/// Owner of every [`Request`] between its arrival and its release.
#[derive(Default)]
pub(crate) struct RequestTable {
    slots: Vec<Option<Request>>,
    /// Requests that wait for their call to be made, in the order in which they reached it. Each is
    /// in [`Stage::OffCore`], but not every request in that stage waits for a call.
    awaiting_call: Vec<RequestIndex>,
    /// Requests on the cores.
    running: usize,
    /// Requests whose call is in flight.
    calling: usize,
}

impl RequestTable {
    /// The indices in use or used before.
    pub(crate) fn indices(&self) -> std::ops::Range<RequestIndex> {
        0..self.slots.len()
    }

    /// The request with this index, unless it was released.
    pub(crate) fn get(&self, request: RequestIndex) -> Option<&Request> {
        self.slots.get(request).and_then(Option::as_ref)
    }

    /// The request with this index, unless it was released.
    pub(crate) fn get_mut(&mut self, request: RequestIndex) -> Option<&mut Request> {
        self.slots.get_mut(request).and_then(Option::as_mut)
    }

    /// Adds a request under an index that is not in use.
    pub(crate) fn insert(&mut self, index: RequestIndex, request: Request) {
        if self.slots.len() <= index {
            self.slots.resize_with(index + 1, || None);
        }
        self.slots[index] = Some(request);
    }

    /// Removes a request and subtracts it from the counts.
    pub(crate) fn remove(&mut self, request: RequestIndex) -> Option<Request> {
        let entry = self.slots.get_mut(request).and_then(Option::take)?;
        match entry.stage {
            Stage::Queued | Stage::Coalesced => {}
            Stage::Running => self.running -= 1,
            Stage::Calling => self.calling -= 1,
            Stage::OffCore => self.stop_awaiting_call(request),
        }
        Some(entry)
    }

    /// All requests in a stage, in the order of their indices.
    pub(crate) fn in_stage(&self, stage: Stage) -> impl Iterator<Item = &Request> {
        self.slots
            .iter()
            .flatten()
            .filter(move |request| request.stage == stage)
    }

    /// The number of requests on the cores.
    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// The number of requests whose call is in flight.
    pub(crate) fn calling(&self) -> usize {
        self.calling
    }

    /// The number of requests that are on a core, at the dependency or waiting for their call. A
    /// request that was answered while it waited is no longer counted, although its run ends only
    /// when the host reports it.
    pub(crate) fn started(&self) -> usize {
        self.running + self.calling + self.awaiting_call.len()
    }

    /// The requests that wait for their call to be made, in the order in which they reached it.
    pub(crate) fn awaiting_call(&self) -> &[RequestIndex] {
        &self.awaiting_call
    }

    /// Puts a request on the cores; `awake_seconds` are the seconds for which the process was not
    /// stalled so far.
    pub(crate) fn enter_core(&mut self, request: RequestIndex, awake_seconds: f64) {
        let entry = &mut self[request];
        entry.stage = Stage::Running;
        entry.on_core_since_seconds = awake_seconds;
        self.running += 1;
    }

    /// Takes a request off the cores, to wait for a call or to end.
    pub(crate) fn leave_core(&mut self, request: RequestIndex, awake_seconds: f64) {
        let entry = &mut self[request];
        entry.core_seconds += awake_seconds - entry.on_core_since_seconds;
        entry.stage = Stage::OffCore;
        self.running -= 1;
    }

    /// Records that a request waits for its call to be made.
    pub(crate) fn await_call(&mut self, request: RequestIndex) {
        self.awaiting_call.push(request);
    }

    /// Records that a request no longer waits for its call to be made.
    pub(crate) fn stop_awaiting_call(&mut self, request: RequestIndex) {
        self.awaiting_call.retain(|&other| other != request);
    }

    /// Records that the call of a request is in flight.
    pub(crate) fn start_call(&mut self, request: RequestIndex) {
        self.stop_awaiting_call(request);
        self[request].stage = Stage::Calling;
        self.calling += 1;
    }

    /// Records that the call of a request has ended.
    pub(crate) fn end_call(&mut self, request: RequestIndex) {
        self[request].stage = Stage::OffCore;
        self.calling -= 1;
    }
}

impl Index<RequestIndex> for RequestTable {
    type Output = Request;

    fn index(&self, request: RequestIndex) -> &Request {
        self.get(request)
            .expect("the caller has looked the request up")
    }
}

impl IndexMut<RequestIndex> for RequestTable {
    fn index_mut(&mut self, request: RequestIndex) -> &mut Request {
        self.get_mut(request)
            .expect("the caller has looked the request up")
    }
}
