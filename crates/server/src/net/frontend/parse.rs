//! Parsing the fields of a request, which the edge node sends as a map of strings. Only this module
//! defines the keys of the map.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tulipgap::{HandlerIndex, TenantIndex};
use tulipgap_settings::Names;
use tulipgap_trace::hash_text;

use super::codec::{CallError, Fields};
use crate::requests::{ClassName, IdempotencyKey, IncomingRequest};
use crate::trace::TraceContext;

/// The tolerance on both sides of the valid range of a request's timestamp: it may be this far in
/// the future, or this much older than the oldest request whose caller can still be waiting.
const TIMESTAMP_SLACK: Duration = Duration::from_secs(1);
/// The memory that a request states has to be below this, in kilobytes.
const MAX_QUEUED_KB: f64 = 2000.0;
/// The limit on the work estimate of a request, as a multiple of its client timeout.
const MAX_WORK_FACTOR: f64 = 2.0;

/// The number of digits of a request's id, which is a hexadecimal number.
const ID_DIGITS: usize = 16;
/// The radix of hexadecimal numbers.
const HEXADECIMAL: u32 = 16;

/// The priority level that a request states has to be below this.
const MAX_LEVEL: f64 = 1.0;

/// The key of the field that names the handler.
const KEY_HANDLER: &str = "kind";
/// The key of the field that names the tenant; its value is empty if there is none.
const KEY_TENANT: &str = "owner";
/// The key of the field with the request's id.
const KEY_ID: &str = "req";
/// The key of the field with the time at which the request reached the machine, in Unix
/// milliseconds.
const KEY_TIMESTAMP: &str = "ts";
/// The key of the field with the memory that the request takes while it is queued, in kilobytes.
const KEY_MEMORY: &str = "need";
/// The key of the field with the caller's work estimate, in milliseconds; its value is 0 if there
/// is none.
const KEY_WORK: &str = "ms";
/// The key of the field with the priority level.
const KEY_LEVEL: &str = "level";
/// The key of the field with the idempotency key; its value is empty if there is none.
const KEY_IDEMPOTENCY: &str = "opkey";
/// The key of the field with the time that the caller waits for the reply, in milliseconds.
const KEY_CLIENT_WAIT: &str = "timeout";
/// The key of the field with the retry flag; its value is 1 if the request is a retry.
const KEY_IS_RETRY: &str = "resent";
/// The key of the field with the subject, for the recording.
const KEY_SUBJECT: &str = "subject";
/// The key of the field with the caller, for the recording.
const KEY_CALLER: &str = "via";

/// The parsed fields of a request.
pub(super) struct ParsedRequest {
    pub(super) incoming: IncomingRequest,
    pub(super) class: ClassName,
    /// The request's id as a number.
    pub(super) number: u64,
    /// When the request arrived at the machine, since the Unix epoch.
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

    /// A time in milliseconds; `None` if the field is missing or 0.
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

/// Parses an id of exactly `ID_DIGITS` digits.
fn parse_id(id: &str) -> Option<u64> {
    u64::from_str_radix(id, HEXADECIMAL)
        .ok()
        .filter(|_| id.len() == ID_DIGITS && !id.starts_with('+'))
}

/// Parses the timestamp of a request from a connection that was accepted at `accepted_at`. The
/// controller derives from timestamps how long requests were unread, so a caller with an impossible
/// timestamp could cause requests of other callers to be rejected. Such a request is malformed.
///
/// Before `accepted_at`, the connection may have waited with its requests in the backlog of a full
/// or paused server, for up to the client timeout.
fn parse_timestamp(
    fields: &FieldReader,
    accepted_at: Instant,
    client_timeout: Duration,
) -> Result<Duration, CallError> {
    let arrived = fields
        .required(KEY_TIMESTAMP)?
        .parse()
        .map(Duration::from_millis)
        .map_err(|_| invalid(KEY_TIMESTAMP))?;
    let now = unix_now();
    let oldest = accepted_at
        .elapsed()
        .saturating_add(client_timeout)
        .saturating_add(TIMESTAMP_SLACK);
    let is_too_old = now.saturating_sub(arrived) > oldest;
    if is_too_old || arrived > now + TIMESTAMP_SLACK {
        return Err(invalid(KEY_TIMESTAMP));
    }
    Ok(arrived)
}

/// Parses the fields of requests. It owns the names of handlers and tenants in the settings.
pub(super) struct RequestParser {
    names: Names,
    /// The client timeouts, by handler.
    client_timeouts: Vec<Duration>,
    /// Requests are recorded, so the fields that only the recording needs are parsed too.
    is_recording: bool,
}

impl RequestParser {
    /// A parser for requests of the handlers and tenants in `names`.
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
    /// [`CallError::Malformed`] with the key of the first missing or invalid field.
    pub(super) fn parse(
        &self,
        fields: &Fields,
        accepted_at: Instant,
    ) -> Result<ParsedRequest, CallError> {
        let fields = FieldReader(fields);
        let class = fields.required(KEY_HANDLER)?;
        let handler = self.handler(class)?;
        let tenant = self.tenant(&fields)?;
        let id = fields.required(KEY_ID)?;
        let number = parse_id(id).ok_or_else(|| invalid(KEY_ID))?;
        let client_timeout = self.client_timeout(handler);
        let arrived = parse_timestamp(&fields, accepted_at, client_timeout)?;
        let queued_kb = fields
            .number(KEY_MEMORY)?
            .filter(|&kb| kb > 0.0 && kb < MAX_QUEUED_KB);
        let estimated_work = parse_work(&fields, client_timeout)?;
        check_level(&fields)?;
        let idempotency_key = fields.non_empty(KEY_IDEMPOTENCY).map(IdempotencyKey::from);
        let trace = self
            .is_recording
            .then(|| trace_context(&fields, number, idempotency_key.as_deref()));
        let incoming = IncomingRequest {
            id: id.into(),
            handler,
            tenant,
            age: Duration::ZERO,
            client_wait: parse_client_wait(&fields, client_timeout)?,
            estimated_work,
            queued_kb: queued_kb.ok_or_else(|| invalid(KEY_MEMORY))?,
            is_retry: fields.get(KEY_IS_RETRY).is_some_and(|value| value == "1"),
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

    fn handler(&self, class: &str) -> Result<HandlerIndex, CallError> {
        let handler = self.names.handlers.get(class);
        handler.copied().ok_or_else(|| invalid(KEY_HANDLER))
    }

    fn tenant(&self, fields: &FieldReader) -> Result<Option<TenantIndex>, CallError> {
        let Some(name) = fields.non_empty(KEY_TENANT) else {
            return Ok(None);
        };
        let tenant = self.names.tenants.get(name);
        tenant.copied().map(Some).ok_or_else(|| invalid(KEY_TENANT))
    }

    fn client_timeout(&self, handler: HandlerIndex) -> Duration {
        let timeout = self.client_timeouts.get(handler);
        timeout.copied().unwrap_or(Duration::MAX)
    }
}

/// Parses the work estimate of a request. Estimates are rough, and some are far longer than any
/// client waits. Such a request may be rejected because of its estimate, but it is not malformed:
/// the estimate is capped at `MAX_WORK_FACTOR` client timeouts.
fn parse_work(
    fields: &FieldReader,
    client_timeout: Duration,
) -> Result<Option<Duration>, CallError> {
    let max_work = client_timeout.mul_f64(MAX_WORK_FACTOR);
    let work = fields.milliseconds(KEY_WORK)?;
    Ok(work.map(|work| work.min(max_work)))
}

/// Parses how long the caller of a request waits, capped at its handler's client timeout, beyond
/// which no client waits. Without the cap, a caller could keep a request open and in memory for any
/// time that it states.
fn parse_client_wait(
    fields: &FieldReader,
    client_timeout: Duration,
) -> Result<Option<Duration>, CallError> {
    let wait = fields.milliseconds(KEY_CLIENT_WAIT)?;
    Ok(wait.map(|wait| wait.min(client_timeout)))
}

/// Checks the priority level of a request. The level is not used otherwise.
fn check_level(fields: &FieldReader) -> Result<(), CallError> {
    match fields.number(KEY_LEVEL)? {
        Some(level) if level >= MAX_LEVEL => Err(invalid(KEY_LEVEL)),
        _ => Ok(()),
    }
}

fn trace_context(fields: &FieldReader, number: u64, key: Option<&str>) -> TraceContext {
    let subject =
        |subject| u64::from_str_radix(subject, HEXADECIMAL).unwrap_or_else(|_| hash_text(subject));
    let caller = |caller: &str| caller.parse().unwrap_or_else(|_| hash_text(caller));
    TraceContext {
        number,
        key: key.map(hash_text),
        subject: fields.get(KEY_SUBJECT).map(subject),
        caller: fields.get(KEY_CALLER).map(caller),
        read: Instant::now(),
    }
}
