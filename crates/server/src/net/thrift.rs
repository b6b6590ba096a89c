//! Messages of edge nodes and what they are answered, in framed strict binary Thrift. A codec alone, no I/O.

use std::borrow::Cow;
use std::sync::LazyLock;

use thrift::protocol::{
    TBinaryInputProtocol, TBinaryOutputProtocol, TFieldIdentifier, TInputProtocol, TMapIdentifier,
    TMessageIdentifier, TMessageType, TOutputProtocol, TStructIdentifier, TType,
};
use thrift::{ApplicationError, ApplicationErrorKind, TConfiguration};

/// The longest frame that is read.
pub const FRAME_MOST: usize = 16 * 1024;
/// How deep what is unknown may nest; each level takes of a coroutine's small stack.
const DEPTH_MOST: i8 = 8;
const ENTRIES_MOST: usize = 64;

/// Lengths told by a peer are held against these before anything is allocated.
static BOUNDS: LazyLock<TConfiguration> = LazyLock::new(|| {
    let bounds = TConfiguration::builder()
        .max_message_size(Some(FRAME_MOST))
        .max_frame_size(Some(FRAME_MOST))
        .max_string_size(Some(FRAME_MOST))
        .max_container_size(Some(ENTRIES_MOST))
        .max_recursion_depth(Some(DEPTH_MOST as usize))
        .build();
    bounds.unwrap_or_default()
});

pub type Fields = Vec<(String, String)>;

#[derive(Debug, PartialEq)]
pub enum Asked {
    Process { fields: Fields, body: Vec<u8> },
    Probe { deep: bool },
}

/// Why a message is answered with an application exception.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    UnknownMethod,
    MessageType,
    Malformed(Cow<'static, str>),
}

/// A message whose sequence could be read.
#[derive(Debug, PartialEq)]
pub struct Message {
    pub method: String,
    pub sequence: i32,
    /// Nothing is answered.
    pub oneway: bool,
    pub asked: Result<Asked, Fault>,
}

/// What is said to an edge node.
pub enum Said<'a> {
    Answer { body: &'a [u8], fields: &'a [(&'a str, String)], good: bool },
    Rejected { fields: &'a [(&'a str, String)] },
    Crashed { fields: &'a [(&'a str, String)] },
    Exception(&'a Fault),
}

/// The length of the first frame, if it is there as a whole; an error where no frame can be that long.
pub fn frame(input: &[u8]) -> Result<Option<usize>, ()> {
    let Some(head) = input.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = usize::try_from(i32::from_be_bytes(*head)).map_err(|_| ())?;
    match length {
        0 => Err(()),
        length if length > FRAME_MOST => Err(()),
        length => Ok((input.len() >= 4 + length).then_some(length)),
    }
}

/// Reads what stands in a frame; `None` where not even its sequence can be read.
pub fn read(frame: &[u8]) -> Option<Message> {
    let mut protocol = TBinaryInputProtocol::with_config(frame, true, BOUNDS.clone());
    let head = protocol.read_message_begin().ok()?;
    let oneway = match head.message_type {
        TMessageType::Call => false,
        TMessageType::OneWay => true,
        TMessageType::Reply | TMessageType::Exception => return None,
    };
    let asked = match head.name.as_str() {
        _ if oneway => Err(Fault::MessageType),
        "process" => process(&mut protocol),
        "probe" => probe(&mut protocol),
        _ => Err(Fault::UnknownMethod),
    };
    let asked = match asked {
        Ok(_) if !protocol.transport.is_empty() => Err(Fault::Malformed("bytes after the message".into())),
        asked => asked,
    };
    Some(Message { method: head.name, sequence: head.sequence_number, oneway, asked })
}

fn malformed(error: thrift::Error) -> Fault {
    Fault::Malformed(error.to_string().into())
}

fn process(protocol: &mut TBinaryInputProtocol<&[u8]>) -> Result<Asked, Fault> {
    let (mut fields, mut body) = (None, None);
    each_field(protocol, |protocol, id, kind| match (id, kind) {
        (1, TType::Map) => {
            fields = Some(map(protocol)?);
            Ok(true)
        }
        (2, TType::String) => {
            body = Some(protocol.read_bytes()?);
            Ok(true)
        }
        _ => Ok(false),
    })?;
    match (fields, body) {
        (Some(fields), body) => Ok(Asked::Process { fields, body: body.unwrap_or_default() }),
        (None, _) => Err(Fault::Malformed("no fields".into())),
    }
}

fn probe(protocol: &mut TBinaryInputProtocol<&[u8]>) -> Result<Asked, Fault> {
    let mut deep = false;
    each_field(protocol, |protocol, id, kind| match (id, kind) {
        (1, TType::Bool) => {
            deep = protocol.read_bool()?;
            Ok(true)
        }
        _ => Ok(false),
    })?;
    Ok(Asked::Probe { deep })
}

/// Goes through the fields of a struct; what `take` does not know is skipped.
fn each_field<'a>(
    protocol: &mut TBinaryInputProtocol<&'a [u8]>,
    mut take: impl FnMut(&mut TBinaryInputProtocol<&'a [u8]>, i16, TType) -> thrift::Result<bool>,
) -> Result<(), Fault> {
    let mut all = || -> thrift::Result<()> {
        protocol.read_struct_begin()?;
        loop {
            let field = protocol.read_field_begin()?;
            if field.field_type == TType::Stop {
                return protocol.read_struct_end();
            }
            if !take(protocol, field.id.unwrap_or(-1), field.field_type)? {
                protocol.skip_till_depth(field.field_type, DEPTH_MOST)?;
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
    (0..head.size).map(|_| Ok((protocol.read_string()?, protocol.read_string()?))).collect()
}

/// A whole frame that answers a message.
pub fn answer(method: &str, sequence: i32, said: &Said) -> Vec<u8> {
    let kind = match said {
        Said::Exception(_) => TMessageType::Exception,
        _ => TMessageType::Reply,
    };
    framed(method, kind, sequence, |protocol| match said {
        Said::Exception(fault) => {
            let (kind, text) = match fault {
                Fault::UnknownMethod => (ApplicationErrorKind::UnknownMethod, "unknown method"),
                Fault::MessageType => (ApplicationErrorKind::InvalidMessageType, "unknown message type"),
                Fault::Malformed(text) => (ApplicationErrorKind::ProtocolError, text.as_ref()),
            };
            let error = ApplicationError::new(kind, text);
            thrift::Error::write_application_error_to_out_protocol(&error, protocol)
        }
        Said::Answer { body, fields, good } => result(protocol, 0, |protocol| {
            protocol.write_field_begin(&field(TType::String, 1))?;
            protocol.write_bytes(body)?;
            write_map(protocol, 2, fields)?;
            protocol.write_field_begin(&field(TType::Bool, 3))?;
            protocol.write_bool(*good)
        }),
        Said::Rejected { fields } => result(protocol, 1, |protocol| write_map(protocol, 1, fields)),
        Said::Crashed { fields } => result(protocol, 2, |protocol| write_map(protocol, 1, fields)),
    })
}

/// The frame that asks an edge node to send nothing more on a connection.
pub fn no_more(sequence: i32) -> Vec<u8> {
    framed("noMore", TMessageType::OneWay, sequence, |protocol| protocol.write_field_stop())
}

type Output<'a> = TBinaryOutputProtocol<&'a mut Vec<u8>>;

fn framed(
    method: &str,
    kind: TMessageType,
    sequence: i32,
    write: impl FnOnce(&mut Output) -> thrift::Result<()>,
) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    let mut protocol = TBinaryOutputProtocol::new(&mut bytes, true);
    let written = protocol
        .write_message_begin(&TMessageIdentifier::new(method, kind, sequence))
        .and_then(|()| write(&mut protocol));
    crate::must!(written.is_ok(), "a message can be written to memory");
    let length = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
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

fn write_map(protocol: &mut Output, id: i16, fields: &[(&str, String)]) -> thrift::Result<()> {
    protocol.write_field_begin(&field(TType::Map, id))?;
    protocol.write_map_begin(&TMapIdentifier::new(TType::String, TType::String, fields.len() as i32))?;
    for (name, value) in fields {
        protocol.write_string(name)?;
        protocol.write_string(value)?;
    }
    Ok(())
}
