//! The kinds of lines that the simulator sends. Only this module has the words of the protocol for
//! them.

/// The kind of a line.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum MessageKind {
    /// Opens a batch and gives its time.
    OpenBatch,
    /// Closes a batch: the controllers then decide.
    CloseBatch,
    /// A backend starts.
    StartBackend,
    /// A backend stops.
    StopBackend,
    /// An event of a backend.
    Event(EventKind),
}

/// The kind of an event of a backend.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum EventKind {
    /// A request has arrived.
    Arrived,
    /// The caller of a request is gone.
    CallerGone,
    /// A run has reached a dependency call.
    ReachedCall,
    /// A run has ended.
    RunFinished,
    /// A dependency call has ended.
    CallFinished,
    /// A timer is due.
    TimerFired,
    /// The backend receives a shutdown notice and drains.
    ShutdownNotice,
}

impl MessageKind {
    /// The kind of a line with this first word.
    pub(crate) fn parse(word: &str) -> Option<Self> {
        Some(match word {
            "CLOCK" => MessageKind::OpenBatch,
            "OVER_TO_YOU" => MessageKind::CloseBatch,
            "SPAWN" => MessageKind::StartBackend,
            "POWER_OFF" => MessageKind::StopBackend,
            "INCOMING" => MessageKind::Event(EventKind::Arrived),
            "GONE" => MessageKind::Event(EventKind::CallerGone),
            "AT_CALL" => MessageKind::Event(EventKind::ReachedCall),
            "DONE" => MessageKind::Event(EventKind::RunFinished),
            "CAME_BACK" => MessageKind::Event(EventKind::CallFinished),
            "ELAPSED" => MessageKind::Event(EventKind::TimerFired),
            "SIGTERM" => MessageKind::Event(EventKind::ShutdownNotice),
            _ => return None,
        })
    }
}
