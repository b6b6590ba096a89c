//! The requests that a server knows, by index, and the lists that they stand in. No decision is
//! taken here: the order of the queues is chosen in `controller/queueing.rs`.

use std::ops::{Index, IndexMut};

use crate::event::RequestIndex;
use crate::request::{Request, Stage};

/// Owner of every [`Request`] between its arrival and its release.
#[derive(Default)]
pub(crate) struct RequestTable {
    slots: Vec<Option<Request>>,
    /// The queue, in two lists by length of work.
    pub(crate) short_queue: Vec<RequestIndex>,
    pub(crate) long_queue: Vec<RequestIndex>,
    /// Requests that wait until their call is made.
    pub(crate) awaiting_call: Vec<RequestIndex>,
    /// Requests on the cores.
    pub(crate) running: usize,
    /// Requests whose call is in flight.
    pub(crate) calling: usize,
}

impl RequestTable {
    /// The number of indices in use or used before.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(crate) fn get(&self, request: RequestIndex) -> Option<&Request> {
        self.slots.get(request).and_then(Option::as_ref)
    }

    pub(crate) fn get_mut(&mut self, request: RequestIndex) -> Option<&mut Request> {
        self.slots.get_mut(request).and_then(Option::as_mut)
    }

    pub(crate) fn insert(&mut self, index: RequestIndex, request: Request) {
        if self.slots.len() <= index {
            self.slots.resize_with(index + 1, || None);
        }
        self.slots[index] = Some(request);
    }

    pub(crate) fn remove(&mut self, request: RequestIndex) -> Option<Request> {
        self.slots.get_mut(request).and_then(Option::take)
    }

    /// All requests, in the order of their indices.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Request> {
        self.slots.iter().flatten()
    }

    pub(crate) fn in_stage(&self, stage: Stage) -> impl Iterator<Item = &Request> {
        self.iter().filter(move |request| request.stage == stage)
    }

    /// The indices of queued requests, short ones first.
    pub(crate) fn queued_indices(&self) -> impl Iterator<Item = RequestIndex> {
        self.short_queue.iter().chain(&self.long_queue).copied()
    }

    /// Queued requests, short ones first.
    pub(crate) fn queued(&self) -> impl Iterator<Item = &Request> {
        self.queued_indices()
            .filter_map(|request| self.get(request))
    }

    pub(crate) fn queue_is_empty(&self) -> bool {
        self.short_queue.is_empty() && self.long_queue.is_empty()
    }

    pub(crate) fn remove_from_queue(&mut self, request: RequestIndex) {
        self.short_queue.retain(|&other| other != request);
        self.long_queue.retain(|&other| other != request);
    }

    pub(crate) fn stop_awaiting_call(&mut self, request: RequestIndex) {
        self.awaiting_call.retain(|&other| other != request);
    }

    /// Puts a request on the cores; `awake` is the time that the process was awake so far, in
    /// seconds.
    pub(crate) fn enter_core(&mut self, request: RequestIndex, awake: f64) {
        let entry = &mut self[request];
        entry.stage = Stage::Running;
        entry.running_since = awake;
        self.running += 1;
    }

    /// Takes a request off the cores, to wait at a call or to end.
    pub(crate) fn leave_core(&mut self, request: RequestIndex, awake: f64) {
        let entry = &mut self[request];
        entry.core_time += awake - entry.running_since;
        entry.stage = Stage::AwaitingCall;
        self.running -= 1;
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
