//! The codec, without I/O, of the messages of edge nodes and the replies to them, in framed strict
//! binary Thrift. It defines the method names and the keys of reply fields; `parse` defines the
//! keys of request fields.

use std::borrow::Cow;
use std::sync::LazyLock;
use std::time::Duration;

use thrift::protocol::{
    TBinaryInputProtocol, TBinaryOutputProtocol, TFieldIdentifier, TInputProtocol, TMapIdentifier,
    TMessageIdentifier, TMessageType, TOutputProtocol, TStructIdentifier, TType,
};
use thrift::{ApplicationError, ApplicationErrorKind, TConfiguration};

/// The longest frame that is accepted, in bytes.
pub(super) const MAX_FRAME_BYTES: usize = 16 * 1024;
/// The size of the length field before a frame, in bytes.
pub(super) const FRAME_HEADER_BYTES: usize = 4;
/// The maximum nesting depth of unknown fields. Skipping each level takes space on a coroutine's
/// small stack.
const MAX_SKIP_DEPTH: i8 = 8;
/// The maximum number of fields of a request.
const MAX_FIELDS: usize = 64;

/// The method that processes a request.
pub(super) const PROCESS: &str = "process";
/// The method of health checks.
pub(super) const HEALTH_CHECK: &str = "probe";
/// The method that cancels a request.
const CANCEL: &str = "giveUp";
/// The method of the drain notification.
const DRAIN_NOTIFICATION: &str = "noMore";

/// The field ids of structs on the wire.
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

/// The limits that lengths in a message are checked against before any allocation.
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

/// The fields of a request, in wire order.
pub(super) type Fields = Vec<(String, String)>;

/// A field of a reply: its key and its value.
pub(super) type ReplyField = (&'static str, String);

/// The field that carries the feedback value.
pub(super) fn feedback_field(value: f64) -> ReplyField {
    ("signal", format!("{value:.4}"))
}

/// The retry-after field of a rejection, in milliseconds.
pub(super) fn retry_after_field(wait: Duration) -> ReplyField {
    ("holdoff", format!("{:.0}", wait.as_secs_f64() * 1e3))
}

/// The field of a rejection that asks the caller not to retry on another server.
pub(super) fn no_retry_other_server_field() -> ReplyField {
    ("nomore", "1".to_owned())
}

/// A call of an edge node.
#[derive(Debug, PartialEq)]
pub(super) enum Call {
    Process {
        fields: Fields,
        body: Vec<u8>,
    },
    HealthCheck {
        deep: bool,
    },
    /// The caller no longer waits for the reply to the message with this sequence number.
    Cancel {
        sequence: i32,
    },
}

/// The error of a message that is answered with an application exception.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(super) enum CallError {
    #[error("unknown method")]
    UnknownMethod,
    #[error("unknown message type")]
    InvalidMessageType,
    #[error("{0}")]
    Malformed(Cow<'static, str>),
}

/// A frame length that is not between 1 and `MAX_FRAME_BYTES`.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("invalid frame length")]
pub(super) struct InvalidFrameLength;

/// A call or a one-way message whose head could be decoded.
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

/// The length of the first frame in bytes, without its length field, or `None` while the input does
/// not hold the whole frame.
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

/// Decodes the message in a frame. Returns `None` if its head, which contains the sequence number,
/// cannot be decoded, or if it is a reply or an exception.
pub(super) fn decode(frame: &[u8]) -> Option<Message> {
    let mut protocol = TBinaryInputProtocol::with_config(frame, true, LIMITS.clone());
    let head = protocol.read_message_begin().ok()?;
    let is_oneway = match head.message_type {
        TMessageType::Call => false,
        TMessageType::OneWay => true,
        TMessageType::Reply | TMessageType::Exception => return None,
    };
    let call = match head.name.as_str() {
        CANCEL if is_oneway => decode_cancel(&mut protocol),
        _ if is_oneway => Err(CallError::InvalidMessageType),
        PROCESS => decode_process(&mut protocol),
        HEALTH_CHECK => decode_health_check(&mut protocol),
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

fn decode_process(protocol: &mut TBinaryInputProtocol<&[u8]>) -> Result<Call, CallError> {
    let (mut fields, mut body) = (None, None);
    read_struct_fields(protocol, |protocol, id, kind| match (id, kind) {
        (field_id::REQUEST_FIELDS, TType::Map) => {
            fields = Some(read_string_map(protocol)?);
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

fn decode_health_check(protocol: &mut TBinaryInputProtocol<&[u8]>) -> Result<Call, CallError> {
    let mut deep = false;
    read_struct_fields(protocol, |protocol, id, kind| match (id, kind) {
        (field_id::IS_DEEP, TType::Bool) => {
            deep = protocol.read_bool()?;
            Ok(true)
        }
        _ => Ok(false),
    })?;
    Ok(Call::HealthCheck { deep })
}

fn decode_cancel(protocol: &mut TBinaryInputProtocol<&[u8]>) -> Result<Call, CallError> {
    let mut sequence = None;
    read_struct_fields(protocol, |protocol, id, kind| match (id, kind) {
        (field_id::CANCELLED_SEQUENCE, TType::I32) => {
            sequence = Some(protocol.read_i32()?);
            Ok(true)
        }
        _ => Ok(false),
    })?;
    let sequence = sequence.ok_or_else(|| CallError::Malformed("no sequence".into()))?;
    Ok(Call::Cancel { sequence })
}

/// Reads the fields of a struct, and skips the fields for which `read_field` returns false.
fn read_struct_fields<'a>(
    protocol: &mut TBinaryInputProtocol<&'a [u8]>,
    mut read_field: impl FnMut(&mut TBinaryInputProtocol<&'a [u8]>, i16, TType) -> thrift::Result<bool>,
) -> Result<(), CallError> {
    let mut all = || -> thrift::Result<()> {
        protocol.read_struct_begin()?;
        loop {
            let field = protocol.read_field_begin()?;
            if field.field_type == TType::Stop {
                return protocol.read_struct_end();
            }
            if !read_field(protocol, field.id.unwrap_or(-1), field.field_type)? {
                protocol.skip_till_depth(field.field_type, MAX_SKIP_DEPTH)?;
            }
        }
    };
    all().map_err(malformed)
}

fn read_string_map(protocol: &mut TBinaryInputProtocol<&[u8]>) -> thrift::Result<Fields> {
    let head = protocol.read_map_begin()?;
    let strings = head.key_type == Some(TType::String) && head.value_type == Some(TType::String);
    if head.size > 0 && !strings {
        return Err("the fields are no strings".into());
    }
    (0..head.size)
        .map(|_| Ok((protocol.read_string()?, protocol.read_string()?)))
        .collect()
}

/// Encodes the reply to a message as a frame.
pub(super) fn encode_reply(method: &str, sequence: i32, reply: &Reply) -> Vec<u8> {
    let kind = match reply {
        Reply::Exception(_) => TMessageType::Exception,
        _ => TMessageType::Reply,
    };
    encode_frame(method, kind, sequence, |protocol| match reply {
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
        } => write_result(protocol, field_id::RESULT, |protocol| {
            protocol.write_field_begin(&field(TType::String, field_id::RESULT_BODY))?;
            protocol.write_bytes(body)?;
            write_map(protocol, field_id::RESULT_FIELDS, fields)?;
            protocol.write_field_begin(&field(TType::Bool, field_id::SUCCEEDED))?;
            protocol.write_bool(*succeeded)
        }),
        Reply::Rejected { fields } => write_result(protocol, field_id::REJECTED, |protocol| {
            write_map(protocol, field_id::REPLY_FIELDS, fields)
        }),
        Reply::Failed { fields } => write_result(protocol, field_id::FAILED, |protocol| {
            write_map(protocol, field_id::REPLY_FIELDS, fields)
        }),
    })
}

/// Encodes the drain notification, which asks an edge node to send nothing more on a connection.
pub(super) fn encode_drain_notification(sequence: i32) -> Vec<u8> {
    encode_frame(
        DRAIN_NOTIFICATION,
        TMessageType::OneWay,
        sequence,
        |protocol| protocol.write_field_stop(),
    )
}

type Output<'a> = TBinaryOutputProtocol<&'a mut Vec<u8>>;

/// Encodes a message as one frame of Thrift's framed transport: the length of the message, and the
/// message. `write` writes the rest of the message after its head.
fn encode_frame(
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

fn write_result(
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
