//! Messages of edge nodes and the replies to them, in framed strict binary Thrift. A codec without
//! I/O. The method names and the keys of replies are spelled here alone, those of requests in
//! `parse`.

use std::borrow::Cow;
use std::sync::LazyLock;
use std::time::Duration;

use thrift::protocol::{
    TBinaryInputProtocol, TBinaryOutputProtocol, TFieldIdentifier, TInputProtocol, TMapIdentifier,
    TMessageIdentifier, TMessageType, TOutputProtocol, TStructIdentifier, TType,
};
use thrift::{ApplicationError, ApplicationErrorKind, TConfiguration};

/// The longest frame that is read.
pub(super) const MAX_FRAME_BYTES: usize = 16 * 1024;
/// The bytes before a frame that give its length.
pub(super) const FRAME_HEADER_BYTES: usize = 4;
/// How deep unknown fields may nest, in levels. Each level takes space of a coroutine's small
/// stack.
const MAX_SKIP_DEPTH: i8 = 8;
/// The fields that one request may have.
const MAX_FIELDS: usize = 64;

/// The method that has a request processed.
pub(super) const PROCESS: &str = "process";
/// The method of health checks.
pub(super) const HEALTH_CHECK: &str = "probe";
/// The method with which a caller cancels a request.
const CANCEL: &str = "giveUp";
/// The method of the drain notification.
const DRAIN_NOTIFICATION: &str = "noMore";

/// The ids of the fields of structs on the wire.
mod field_id {
    /// A request: its fields.
    pub(super) const REQUEST_FIELDS: i16 = 1;
    /// A request: its body.
    pub(super) const REQUEST_BODY: i16 = 2;
    /// A health check: whether it is deep.
    pub(super) const IS_DEEP: i16 = 1;
    /// A cancellation: the sequence number of the request.
    pub(super) const CANCELLED_SEQUENCE: i16 = 1;
    /// A reply: the result.
    pub(super) const RESULT: i16 = 0;
    /// A reply: the rejection.
    pub(super) const REJECTED: i16 = 1;
    /// A reply: the failure.
    pub(super) const FAILED: i16 = 2;
    /// A result: its body.
    pub(super) const RESULT_BODY: i16 = 1;
    /// A result: its fields.
    pub(super) const RESULT_FIELDS: i16 = 2;
    /// A result: whether it succeeded.
    pub(super) const SUCCEEDED: i16 = 3;
    /// A rejection or a failure: its fields.
    pub(super) const REPLY_FIELDS: i16 = 1;
}

/// Lengths in a message are checked against these before anything is allocated.
static LIMITS: LazyLock<TConfiguration> = LazyLock::new(|| {
    let limits = TConfiguration::builder()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
        .max_string_size(Some(MAX_FRAME_BYTES))
        .max_container_size(Some(MAX_FIELDS))
        .max_recursion_depth(Some(MAX_SKIP_DEPTH as usize))
        .build();
    limits.unwrap_or_default()
});

/// The fields of a request, in the order of the wire.
pub(super) type Fields = Vec<(String, String)>;

/// A field of a reply: its key and its value.
pub(super) type ReplyField = (&'static str, String);

/// The field that carries the feedback value.
pub(super) fn feedback_field(value: f64) -> ReplyField {
    ("signal", format!("{value:.4}"))
}

/// The field that says how long a rejected caller should stay away.
pub(super) fn retry_after_field(wait: Duration) -> ReplyField {
    ("holdoff", format!("{:.0}", wait.as_secs_f64() * 1e3))
}

/// The field that says that a rejected request should not be retried on another server.
pub(super) fn no_retry_other_server_field() -> ReplyField {
    ("nomore", "1".to_owned())
}

/// What an edge node calls.
#[derive(Debug, PartialEq)]
pub(super) enum Call {
    Process {
        fields: Fields,
        body: Vec<u8>,
    },
    HealthCheck {
        deep: bool,
    },
    /// The caller no longer waits for the reply to the message of this sequence number.
    Cancel {
        sequence: i32,
    },
}

/// Why a message is answered with an application exception.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(super) enum CallError {
    #[error("unknown method")]
    UnknownMethod,
    #[error("unknown message type")]
    InvalidMessageType,
    #[error("{0}")]
    Malformed(Cow<'static, str>),
}

/// A length that no frame can have.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("no frame has this length")]
pub(super) struct InvalidFrameLength;

/// A message whose sequence number could be read.
#[derive(Debug, PartialEq)]
pub(super) struct Message {
    pub(super) method: String,
    pub(super) sequence: i32,
    /// No reply is expected.
    pub(super) is_oneway: bool,
    pub(super) call: Result<Call, CallError>,
}

/// The reply to a call.
pub(super) enum Reply<'a> {
    Result {
        body: &'a [u8],
        fields: &'a [ReplyField],
        succeeded: bool,
    },
    Rejected {
        fields: &'a [ReplyField],
    },
    Failed {
        fields: &'a [ReplyField],
    },
    Exception(&'a CallError),
}

/// The length of the first frame in bytes, once the input holds all of it.
pub(super) fn frame_length(input: &[u8]) -> Result<Option<usize>, InvalidFrameLength> {
    let Some(header) = input.first_chunk::<FRAME_HEADER_BYTES>() else {
        return Ok(None);
    };
    let length = usize::try_from(i32::from_be_bytes(*header)).map_err(|_| InvalidFrameLength)?;
    match length {
        0 => Err(InvalidFrameLength),
        length if length > MAX_FRAME_BYTES => Err(InvalidFrameLength),
        length => Ok((input.len() >= FRAME_HEADER_BYTES + length).then_some(length)),
    }
}

/// Decodes the message in a frame; `None` where not even its sequence number can be read.
pub(super) fn decode(frame: &[u8]) -> Option<Message> {
    let mut protocol = TBinaryInputProtocol::with_config(frame, true, LIMITS.clone());
    let head = protocol.read_message_begin().ok()?;
    let is_oneway = match head.message_type {
        TMessageType::Call => false,
        TMessageType::OneWay => true,
        TMessageType::Reply | TMessageType::Exception => return None,
    };
    let call = match head.name.as_str() {
        CANCEL if is_oneway => cancel(&mut protocol),
        _ if is_oneway => Err(CallError::InvalidMessageType),
        PROCESS => process(&mut protocol),
        HEALTH_CHECK => health_check(&mut protocol),
        _ => Err(CallError::UnknownMethod),
    };
    let call = match call {
        Ok(_) if !protocol.transport.is_empty() => {
            Err(CallError::Malformed("bytes after the message".into()))
        }
        call => call,
    };
    Some(Message {
        method: head.name,
        sequence: head.sequence_number,
        is_oneway,
        call,
    })
}

fn malformed(error: thrift::Error) -> CallError {
    CallError::Malformed(error.to_string().into())
}

fn process(protocol: &mut TBinaryInputProtocol<&[u8]>) -> Result<Call, CallError> {
    let (mut fields, mut body) = (None, None);
    each_field(protocol, |protocol, id, kind| match (id, kind) {
        (field_id::REQUEST_FIELDS, TType::Map) => {
            fields = Some(map(protocol)?);
            Ok(true)
        }
        (field_id::REQUEST_BODY, TType::String) => {
            body = Some(protocol.read_bytes()?);
            Ok(true)
        }
        _ => Ok(false),
    })?;
    match (fields, body) {
        (Some(fields), body) => Ok(Call::Process {
            fields,
            body: body.unwrap_or_default(),
        }),
        (None, _) => Err(CallError::Malformed("no fields".into())),
    }
}

fn health_check(protocol: &mut TBinaryInputProtocol<&[u8]>) -> Result<Call, CallError> {
    let mut deep = false;
    each_field(protocol, |protocol, id, kind| match (id, kind) {
        (field_id::IS_DEEP, TType::Bool) => {
            deep = protocol.read_bool()?;
            Ok(true)
        }
        _ => Ok(false),
    })?;
    Ok(Call::HealthCheck { deep })
}

fn cancel(protocol: &mut TBinaryInputProtocol<&[u8]>) -> Result<Call, CallError> {
    let mut sequence = None;
    each_field(protocol, |protocol, id, kind| match (id, kind) {
        (field_id::CANCELLED_SEQUENCE, TType::I32) => {
            sequence = Some(protocol.read_i32()?);
            Ok(true)
        }
        _ => Ok(false),
    })?;
    let sequence = sequence.ok_or_else(|| CallError::Malformed("no sequence".into()))?;
    Ok(Call::Cancel { sequence })
}

/// Reads the fields of a struct; those that `take` does not know are skipped.
fn each_field<'a>(
    protocol: &mut TBinaryInputProtocol<&'a [u8]>,
    mut take: impl FnMut(&mut TBinaryInputProtocol<&'a [u8]>, i16, TType) -> thrift::Result<bool>,
) -> Result<(), CallError> {
    let mut all = || -> thrift::Result<()> {
        protocol.read_struct_begin()?;
        loop {
            let field = protocol.read_field_begin()?;
            if field.field_type == TType::Stop {
                return protocol.read_struct_end();
            }
            if !take(protocol, field.id.unwrap_or(-1), field.field_type)? {
                protocol.skip_till_depth(field.field_type, MAX_SKIP_DEPTH)?;
            }
        }
    };
    all().map_err(malformed)
}

fn map(protocol: &mut TBinaryInputProtocol<&[u8]>) -> thrift::Result<Fields> {
    let head = protocol.read_map_begin()?;
    let strings = head.key_type == Some(TType::String) && head.value_type == Some(TType::String);
    if head.size > 0 && !strings {
        return Err("the fields are no strings".into());
    }
    (0..head.size)
        .map(|_| Ok((protocol.read_string()?, protocol.read_string()?)))
        .collect()
}

/// The frame that replies to a message.
pub(super) fn encode_reply(method: &str, sequence: i32, reply: &Reply) -> Vec<u8> {
    let kind = match reply {
        Reply::Exception(_) => TMessageType::Exception,
        _ => TMessageType::Reply,
    };
    framed(method, kind, sequence, |protocol| match reply {
        Reply::Exception(error) => {
            let (kind, text) = match error {
                CallError::UnknownMethod => (ApplicationErrorKind::UnknownMethod, "unknown method"),
                CallError::InvalidMessageType => (
                    ApplicationErrorKind::InvalidMessageType,
                    "unknown message type",
                ),
                CallError::Malformed(text) => (ApplicationErrorKind::ProtocolError, text.as_ref()),
            };
            let error = ApplicationError::new(kind, text);
            thrift::Error::write_application_error_to_out_protocol(&error, protocol)
        }
        Reply::Result {
            body,
            fields,
            succeeded,
        } => result(protocol, field_id::RESULT, |protocol| {
            protocol.write_field_begin(&field(TType::String, field_id::RESULT_BODY))?;
            protocol.write_bytes(body)?;
            write_map(protocol, field_id::RESULT_FIELDS, fields)?;
            protocol.write_field_begin(&field(TType::Bool, field_id::SUCCEEDED))?;
            protocol.write_bool(*succeeded)
        }),
        Reply::Rejected { fields } => result(protocol, field_id::REJECTED, |protocol| {
            write_map(protocol, field_id::REPLY_FIELDS, fields)
        }),
        Reply::Failed { fields } => result(protocol, field_id::FAILED, |protocol| {
            write_map(protocol, field_id::REPLY_FIELDS, fields)
        }),
    })
}

/// The frame that asks an edge node to send nothing more on a connection.
pub(super) fn encode_drain_notification(sequence: i32) -> Vec<u8> {
    framed(
        DRAIN_NOTIFICATION,
        TMessageType::OneWay,
        sequence,
        |protocol| protocol.write_field_stop(),
    )
}

type Output<'a> = TBinaryOutputProtocol<&'a mut Vec<u8>>;

fn framed(
    method: &str,
    kind: TMessageType,
    sequence: i32,
    write: impl FnOnce(&mut Output) -> thrift::Result<()>,
) -> Vec<u8> {
    let mut bytes = vec![0; FRAME_HEADER_BYTES];
    let mut protocol = TBinaryOutputProtocol::new(&mut bytes, true);
    let written = protocol
        .write_message_begin(&TMessageIdentifier::new(method, kind, sequence))
        .and_then(|()| write(&mut protocol));
    crate::invariant!(written.is_ok(), "a message can be written to memory");
    let length = (bytes.len() - FRAME_HEADER_BYTES) as u32;
    bytes[..FRAME_HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
    bytes
}

fn field(kind: TType, id: i16) -> TFieldIdentifier {
    TFieldIdentifier::new::<Option<String>, String, i16>(None, kind, id)
}

fn result(
    protocol: &mut Output,
    id: i16,
    write: impl FnOnce(&mut Output) -> thrift::Result<()>,
) -> thrift::Result<()> {
    protocol.write_struct_begin(&TStructIdentifier::new(""))?;
    protocol.write_field_begin(&field(TType::Struct, id))?;
    write(protocol)?;
    protocol.write_field_stop()?;
    protocol.write_field_stop()
}

fn write_map(protocol: &mut Output, id: i16, fields: &[ReplyField]) -> thrift::Result<()> {
    protocol.write_field_begin(&field(TType::Map, id))?;
    protocol.write_map_begin(&TMapIdentifier::new(
        TType::String,
        TType::String,
        fields.len() as i32,
    ))?;
    for (name, value) in fields {
        protocol.write_string(name)?;
        protocol.write_string(value)?;
    }
    Ok(())
}

#[cfg(test)]
#[path = "codec_tests.rs"]
mod tests;
