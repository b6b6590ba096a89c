//! Writes the controllers' actions as lines of the simulator's wire protocol. Only this module has
//! the words of the protocol for actions.

use std::fmt::{Arguments, Write};
use std::time::Duration;

use slab::Slab;
use tulipgap::{Action, RequestIndex};

/// The line that ends a reply.
pub(crate) const END_OF_REPLY: &str = "NEXT\n";

/// Converts a time to milliseconds, the unit of the wire.
fn as_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Writes the actions of one backend.
pub(crate) struct ActionWriter<'a> {
    /// The backend's id on the wire.
    pub(crate) backend: u64,
    /// When the backend started, in milliseconds of the simulator's clock.
    pub(crate) started_at: f64,
    /// The ids of the requests on the wire, by their index.
    pub(crate) ids: &'a Slab<String>,
    pub(crate) reply: &'a mut String,
}

impl ActionWriter<'_> {
    /// Writes an action. The protocol has no line for the release of a request.
    pub(crate) fn write(&mut self, action: &Action) {
        match *action {
            Action::Start { request } => self.request_line("EXECUTE", request, format_args!("")),
            Action::Reject {
                request,
                retry_after,
                retry_other_server,
                ..
            } => {
                let wait = as_millis(retry_after.unwrap_or_default());
                let is_final = u8::from(!retry_other_server);
                let fields = format_args!(" wait={wait:.3} terminal={is_final}");
                self.request_line("TURN_AWAY", request, fields);
            }
            Action::Fail { request, .. } => {
                self.request_line("REPORT_FAILURE", request, format_args!(""));
            }
            Action::Cancel { request } => self.request_line("YANK", request, format_args!("")),
            Action::Coalesce { request } => self.request_line("JOIN", request, format_args!("")),
            Action::RememberKey { request, retention } => {
                let lifetime = as_millis(retention);
                self.request_line("KEEP", request, format_args!(" lifetime={lifetime:.3}"));
            }
            Action::ForgetKey { request } => self.request_line("EVICT", request, format_args!("")),
            Action::StartCall { request, timeout } => {
                let patience = as_millis(timeout);
                self.request_line("DIAL", request, format_args!(" patience={patience:.3}"));
            }
            Action::SkipCall { request } => self.request_line("OMIT", request, format_args!("")),
            Action::SetFeedback { value } => {
                self.backend_line("SAY", format_args!(" amount={value:.4}"));
            }
            Action::SetIdleTimeout { timeout } => {
                let lifetime = as_millis(timeout);
                self.backend_line("CLOSE_IDLE", format_args!(" lifetime={lifetime:.3}"));
            }
            Action::SetHealth { healthy } => {
                let enable = u8::from(healthy);
                self.backend_line("SET_HEALTH", format_args!(" enable={enable} light=1"));
            }
            Action::SetTimer { at } => {
                let alarm_time = self.started_at + as_millis(at);
                let fields = format_args!(" handle=beat alarm_time={alarm_time:.3}");
                self.backend_line("TIMER", fields);
            }
            Action::Release { .. } => {}
        }
    }

    fn request_line(&mut self, word: &str, request: RequestIndex, fields: Arguments) {
        let (backend, id) = (self.backend, &self.ids[request]);
        // Writing to a string does not fail.
        let _ = writeln!(self.reply, "{word} backend_id={backend} tid={id}{fields}");
    }

    fn backend_line(&mut self, word: &str, fields: Arguments) {
        let backend = self.backend;
        // Writing to a string does not fail.
        let _ = writeln!(self.reply, "{word} backend_id={backend}{fields}");
    }
}
