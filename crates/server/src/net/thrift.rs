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
    Process {
        fields: Fields,
        body: Vec<u8>,
    },
    Probe {
        deep: bool,
    },
    /// Nobody waits for the answer to that message any more.
    GiveUp {
        sequence: i32,
    },
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
        "giveUp" if oneway => give_up(&mut protocol),
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

fn give_up(protocol: &mut TBinaryInputProtocol<&[u8]>) -> Result<Asked, Fault> {
    let mut sequence = None;
    each_field(protocol, |protocol, id, kind| match (id, kind) {
        (1, TType::I32) => {
            sequence = Some(protocol.read_i32()?);
            Ok(true)
        }
        _ => Ok(false),
    })?;
    let sequence = sequence.ok_or_else(|| Fault::Malformed("no sequence".into()))?;
    Ok(Asked::GiveUp { sequence })
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
    crate::invariant!(written.is_ok(), "a message can be written to memory");
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

#[cfg(test)]
mod tests {
    use super::*;

    fn call(
        method: &str,
        kind: TMessageType,
        write: impl FnOnce(&mut Output) -> thrift::Result<()>,
    ) -> Vec<u8> {
        framed(method, kind, 9, write).split_off(4)
    }

    fn process(fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
        call("process", TMessageType::Call, |protocol| {
            // Unknown fields, nested ones too, are skipped.
            protocol.write_field_begin(&field(TType::Struct, 7))?;
            protocol.write_field_begin(&field(TType::I32, 1))?;
            protocol.write_i32(5)?;
            protocol.write_field_stop()?;
            write_map(protocol, 1, fields)?;
            protocol.write_field_begin(&field(TType::String, 2))?;
            protocol.write_bytes(body)?;
            protocol.write_field_stop()
        })
    }

    quickcheck::quickcheck! {
        /// What is asked comes out as it went in; cut at any byte or followed by more it is malformed.
        fn a_req_is_read_as_written(value: String, body: Vec<u8>, cut: usize) -> bool {
            let frame = process(&[("kind", value.clone())], &body);
            let read = read(&frame).unwrap();
            let asked = Asked::Process { fields: vec![("kind".to_owned(), value)], body };
            let cut = super::read(&frame[..cut % frame.len()]);
            let longer = super::read(&[&frame[..], b"x"].concat()).unwrap();
            read.sequence == 9
                && read.asked == Ok(asked)
                && cut.is_none_or(|cut| matches!(cut.asked, Err(Fault::Malformed(_))))
                && matches!(longer.asked, Err(Fault::Malformed(_)))
        }

        /// One byte changed anywhere is read or turned down, and never panics.
        fn a_mutilated_req_does_no_harm(at: usize, byte: u8) -> bool {
            let mut frame = process(&[("kind", "page".to_owned()), ("req", "x".to_owned())], b"body");
            let at = at % frame.len();
            frame[at] = byte;
            read(&frame);
            true
        }

        fn any_bytes_can_be_read(bytes: Vec<u8>) -> bool {
            read(&bytes);
            !matches!(frame(&bytes), Ok(Some(length)) if length + 4 > bytes.len())
        }
    }

    #[test]
    fn hostile_lengths_and_depths_are_turned_down() {
        assert_eq!(frame(&[0, 0, 0]), Ok(None));
        assert_eq!(frame(&[0, 0, 0, 1]), Ok(None));
        for head in [[0xff, 0xff, 0xff, 0xff], [0x7f, 0, 0, 0], [0, 0, 0, 0]] {
            assert_eq!(frame(&head), Err(()));
        }
        let malformed = |write: fn(&mut Output) -> thrift::Result<()>| {
            let read = read(&call("process", TMessageType::Call, write)).unwrap();
            assert!(matches!(read.asked, Err(Fault::Malformed(_))), "{read:?}");
        };
        // A body of two gigabytes, a map of a million entries, a map of numbers, no fields at all.
        malformed(|protocol| {
            protocol.write_field_begin(&field(TType::String, 2))?;
            protocol.write_i32(i32::MAX)
        });
        malformed(|protocol| {
            protocol.write_field_begin(&field(TType::Map, 1))?;
            protocol.write_map_begin(&TMapIdentifier::new(TType::String, TType::String, 1_000_000))
        });
        malformed(|protocol| {
            protocol.write_field_begin(&field(TType::Map, 1))?;
            protocol.write_map_begin(&TMapIdentifier::new(TType::I32, TType::I32, 1))?;
            protocol.write_i32(1)?;
            protocol.write_i32(2)?;
            protocol.write_field_stop()
        });
        malformed(|protocol| protocol.write_field_stop());
        malformed(|protocol| {
            for _ in 0..2000 {
                protocol.write_field_begin(&field(TType::Struct, 3))?;
            }
            Ok(())
        });
    }

    #[test]
    fn methods_and_kinds_of_message_are_told_apart() {
        let read = |method, kind| read(&call(method, kind, |protocol| protocol.write_field_stop()));
        let asked = |method, kind| read(method, kind).unwrap().asked;
        assert_eq!(asked("probe", TMessageType::Call), Ok(Asked::Probe { deep: false }));
        assert_eq!(asked("prob", TMessageType::Call), Err(Fault::UnknownMethod));
        assert_eq!(asked("process", TMessageType::OneWay), Err(Fault::MessageType));
        assert_eq!(read("process", TMessageType::Reply), None);
        assert_eq!(super::read(b"\0\0\0\x05probe\x01\0\0\0\x01\0"), None, "the old form is not strict");
    }

    #[test]
    fn answers_are_what_the_declaration_says() {
        let fields = [("signal", "0.2500".to_owned())];
        let bytes = answer("process", 9, &Said::Rejected { fields: &fields });
        let head =
            b"\0\0\0\x35\x80\x01\0\x02\0\0\0\x07process\0\0\0\x09\x0c\0\x01\x0d\0\x01\x0b\x0b\0\0\0\x01";
        assert_eq!(bytes, [&head[..], b"\0\0\0\x06signal\0\0\0\x060.2500\0\0"].concat());
        let bytes = answer("probe", 1, &Said::Answer { body: b"ab", fields: &[], good: true });
        let head = b"\0\0\0\x2c\x80\x01\0\x02\0\0\0\x05probe\0\0\0\x01\x0c\0\0";
        let rest = b"\x0b\0\x01\0\0\0\x02ab\x0d\0\x02\x0b\x0b\0\0\0\0\x02\0\x03\x01\0\0";
        assert_eq!(bytes, [&head[..], rest].concat());
        let bytes = answer("x", 1, &Said::Exception(&Fault::UnknownMethod));
        assert_eq!(bytes[4..8], [0x80, 1, 0, 3]);
        assert!(bytes.ends_with(b"\x08\0\x02\0\0\0\x01\0"));
        assert_eq!(no_more(0), b"\0\0\0\x13\x80\x01\0\x04\0\0\0\x06noMore\0\0\0\0\0");
    }
}
