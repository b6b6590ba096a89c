//! Reading the fields of a request. The keys of requests are spelled here and nowhere else.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tulipgap::HandlerIndex;
use tulipgap_settings::Names;
use tulipgap_trace::hash_text;

use super::codec::{CallError, Fields};
use crate::requests::{ClassName, IdempotencyKey, IncomingRequest};
use crate::trace::TraceContext;

/// How far the timestamp of a request may lie before its connection was accepted, or after now.
const TIMESTAMP_SLACK: Duration = Duration::from_secs(1);
/// The memory that a request may ask for is below this, in kilobytes.
const MEMORY_LIMIT_KB: f64 = 2000.0;
/// The limit on the work that a request announces, as a multiple of its client timeout.
const MAX_WORK_FACTOR: f64 = 2.0;

/// What the fields of a request say.
pub(super) struct ParsedRequest {
    pub(super) incoming: IncomingRequest,
    pub(super) class: ClassName,
    /// Its id as a number.
    pub(super) number: u64,
    /// When it arrived at the machine, since the Unix epoch.
    pub(super) arrived: Duration,
}

/// The time since the Unix epoch.
pub(super) fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Typed access to the fields of a request.
struct FieldReader<'a>(&'a Fields);

impl<'a> FieldReader<'a> {
    fn get(&self, name: &str) -> Option<&'a str> {
        self.0
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    fn non_empty(&self, name: &str) -> Option<&'a str> {
        self.get(name).filter(|value| !value.is_empty())
    }

    fn required(&self, name: &'static str) -> Result<&'a str, CallError> {
        self.get(name).ok_or_else(|| invalid(name))
    }

    fn number(&self, name: &'static str) -> Result<Option<f64>, CallError> {
        let Some(text) = self.get(name) else {
            return Ok(None);
        };
        match text.parse::<f64>() {
            Ok(value) if value.is_finite() && value >= 0.0 => Ok(Some(value)),
            _ => Err(invalid(name)),
        }
    }

    /// A time in milliseconds; none where the field is 0.
    fn milliseconds(&self, name: &'static str) -> Result<Option<Duration>, CallError> {
        let Some(value) = self.number(name)?.filter(|&value| value > 0.0) else {
            return Ok(None);
        };
        Duration::try_from_secs_f64(value / 1e3)
            .map(Some)
            .map_err(|_| invalid(name))
    }
}

fn invalid(name: &'static str) -> CallError {
    CallError::Malformed(format!("{name}: missing or senseless").into())
}

/// The number behind an id of 16 hexadecimal digits.
fn parse_id(id: &str) -> Option<u64> {
    u64::from_str_radix(id, 16)
        .ok()
        .filter(|_| id.len() == 16 && !id.starts_with('+'))
}

/// The timestamp of a request from a connection that was accepted at `accepted_at`. The controller
/// measures by timestamps how long requests were unread, so a caller with an impossible one could
/// have the requests of others rejected. Such a request is malformed.
fn parse_timestamp(fields: &FieldReader, accepted_at: Instant) -> Result<Duration, CallError> {
    let arrived = fields
        .required("ts")?
        .parse()
        .map(Duration::from_millis)
        .map_err(|_| invalid("ts"))?;
    let now = unix_now();
    let is_too_old = now.saturating_sub(arrived) > accepted_at.elapsed() + TIMESTAMP_SLACK;
    if is_too_old || arrived > now + TIMESTAMP_SLACK {
        return Err(invalid("ts"));
    }
    Ok(arrived)
}

/// Parses the fields of requests. It owns the names that the settings declare.
pub(super) struct RequestParser {
    names: Names,
    /// How long clients wait, by handler.
    client_timeouts: Vec<Duration>,
    /// Requests are recorded, so what only the recording needs is parsed as well.
    is_recording: bool,
}

impl RequestParser {
    pub(super) fn new(names: Names, client_timeouts: Vec<Duration>, is_recording: bool) -> Self {
        RequestParser {
            names,
            client_timeouts,
            is_recording,
        }
    }

    /// Parses the fields of a request from a connection that was accepted at `accepted_at`.
    ///
    /// # Errors
    /// [`CallError::Malformed`] with the first field that is missing or invalid.
    pub(super) fn parse(
        &self,
        fields: &Fields,
        accepted_at: Instant,
    ) -> Result<ParsedRequest, CallError> {
        let fields = FieldReader(fields);
        let class = fields.required("kind")?;
        let &handler = self
            .names
            .handlers
            .get(class)
            .ok_or_else(|| invalid("kind"))?;
        let tenant = match fields.non_empty("owner") {
            None => None,
            Some(owner) => Some(
                *self
                    .names
                    .tenants
                    .get(owner)
                    .ok_or_else(|| invalid("owner"))?,
            ),
        };
        let id = fields.required("req")?;
        let number = parse_id(id).ok_or_else(|| invalid("req"))?;
        let arrived = parse_timestamp(&fields, accepted_at)?;
        let queued_kb = fields
            .number("need")?
            .filter(|&kb| kb > 0.0 && kb < MEMORY_LIMIT_KB);
        // An estimate is rough, and at times far more than any client waits for. Such a request may
        // be rejected for it, but it is not malformed.
        let client_timeout = self.client_timeout(handler);
        let max_work = client_timeout.mul_f64(MAX_WORK_FACTOR);
        let estimated_work = fields.milliseconds("ms")?.map(|work| work.min(max_work));
        if fields.number("level")?.is_some_and(|level| level >= 1.0) {
            return Err(invalid("level"));
        }
        let idempotency_key = fields.non_empty("opkey").map(IdempotencyKey::from);
        let trace = self
            .is_recording
            .then(|| trace_context(&fields, number, idempotency_key.as_deref()));
        let incoming = IncomingRequest {
            id: id.into(),
            handler,
            tenant,
            age: Duration::ZERO,
            // No client waits longer than its handler's timeout. With a longer wait, the request
            // would be owed an answer, and take memory, for as long as its caller likes to state.
            client_wait: fields
                .milliseconds("timeout")?
                .map(|wait| wait.min(client_timeout)),
            estimated_work,
            queued_kb: queued_kb.ok_or_else(|| invalid("need"))?,
            is_retry: fields.get("resent").is_some_and(|value| value == "1"),
            idempotency_key,
            body_hash: 0,
            trace,
        };
        Ok(ParsedRequest {
            incoming,
            class: class.into(),
            number,
            arrived,
        })
    }

    fn client_timeout(&self, handler: HandlerIndex) -> Duration {
        let timeout = self.client_timeouts.get(handler);
        timeout.copied().unwrap_or(Duration::MAX)
    }
}

fn trace_context(fields: &FieldReader, number: u64, key: Option<&str>) -> TraceContext {
    let subject = |subject| u64::from_str_radix(subject, 16).unwrap_or_else(|_| hash_text(subject));
    let caller = |caller: &str| caller.parse().unwrap_or_else(|_| hash_text(caller));
    TraceContext {
        number,
        key: key.map(hash_text),
        subject: fields.get("subject").map(subject),
        caller: fields.get("via").map(caller),
        read: Instant::now(),
    }
}
