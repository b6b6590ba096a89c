//! Decoding of valid, truncated, corrupted and hostile messages, and encoding of replies.

use thrift::protocol::{TMapIdentifier, TMessageType, TOutputProtocol, TType};

use super::{
    Call, CallError, InvalidFrameLength, Output, Reply, decode, encode_drain_notification,
    encode_frame, encode_reply, field, frame_length, write_map,
};

fn call(
    method: &str,
    kind: TMessageType,
    write: impl FnOnce(&mut Output) -> thrift::Result<()>,
) -> Vec<u8> {
    encode_frame(method, kind, 9, write).split_off(4)
}

fn process(fields: &[(&'static str, String)], body: &[u8]) -> Vec<u8> {
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
    /// A request is decoded as it was encoded. Truncated at any byte, or followed by further bytes,
    /// it is malformed.
    fn a_request_is_decoded_as_encoded(value: String, body: Vec<u8>, cut: usize) -> bool {
        let frame = process(&[("kind", value.clone())], &body);
        let read = decode(&frame).unwrap();
        let call = Call::Process { fields: vec![("kind".to_owned(), value)], body };
        let cut = decode(&frame[..cut % frame.len()]);
        let longer = decode(&[&frame[..], b"x"].concat()).unwrap();
        read.sequence == 9
            && read.call == Ok(call)
            && cut.is_none_or(|cut| matches!(cut.call, Err(CallError::Malformed(_))))
            && matches!(longer.call, Err(CallError::Malformed(_)))
    }

    /// A request with one corrupted byte is decoded or rejected without a panic.
    fn a_corrupted_request_causes_no_panic(at: usize, byte: u8) -> bool {
        let mut frame = process(&[("kind", "page".to_owned()), ("req", "x".to_owned())], b"body");
        let at = at % frame.len();
        frame[at] = byte;
        decode(&frame);
        true
    }

    fn arbitrary_bytes_cause_no_panic(bytes: Vec<u8>) -> bool {
        decode(&bytes);
        !matches!(frame_length(&bytes), Ok(Some(length)) if length + 4 > bytes.len())
    }
}

#[test]
fn hostile_lengths_and_depths_are_rejected() {
    assert_eq!(frame_length(&[0, 0, 0]), Ok(None));
    assert_eq!(frame_length(&[0, 0, 0, 1]), Ok(None));
    for head in [[0xff, 0xff, 0xff, 0xff], [0x7f, 0, 0, 0], [0, 0, 0, 0]] {
        assert_eq!(frame_length(&head), Err(InvalidFrameLength));
    }
    let malformed = |write: fn(&mut Output) -> thrift::Result<()>| {
        let read = decode(&call("process", TMessageType::Call, write)).unwrap();
        assert!(
            matches!(read.call, Err(CallError::Malformed(_))),
            "{read:?}"
        );
    };
    // A body of two gigabytes, a map of a million entries, a map of numbers, no fields, and 2,000
    // nested structs.
    malformed(|protocol| {
        protocol.write_field_begin(&field(TType::String, 2))?;
        protocol.write_i32(i32::MAX)
    });
    malformed(|protocol| {
        protocol.write_field_begin(&field(TType::Map, 1))?;
        protocol.write_map_begin(&TMapIdentifier::new(
            TType::String,
            TType::String,
            1_000_000,
        ))
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
fn methods_and_message_types_are_distinguished() {
    let read = |method, kind| decode(&call(method, kind, |protocol| protocol.write_field_stop()));
    let called = |method, kind| read(method, kind).unwrap().call;
    assert_eq!(
        called("probe", TMessageType::Call),
        Ok(Call::HealthCheck { deep: false })
    );
    assert_eq!(
        called("prob", TMessageType::Call),
        Err(CallError::UnknownMethod)
    );
    assert_eq!(
        called("process", TMessageType::OneWay),
        Err(CallError::InvalidMessageType)
    );
    assert_eq!(read("process", TMessageType::Reply), None);
    assert_eq!(
        decode(b"\0\0\0\x05probe\x01\0\0\0\x01\0"),
        None,
        "the non-strict encoding is rejected"
    );
}

#[test]
fn replies_are_encoded_as_declared() {
    let fields = [("signal", "0.2500".to_owned())];
    let bytes = encode_reply("process", 9, &Reply::Rejected { fields: &fields });
    let head = b"\0\0\0\x35\x80\x01\0\x02\0\0\0\x07process\0\0\0\x09\x0c\0\x01\x0d\0\x01\x0b\x0b\0\0\0\x01";
    assert_eq!(
        bytes,
        [&head[..], b"\0\0\0\x06signal\0\0\0\x060.2500\0\0"].concat()
    );
    let bytes = encode_reply(
        "probe",
        1,
        &Reply::Result {
            body: b"ab",
            fields: &[],
            succeeded: true,
        },
    );
    let head = b"\0\0\0\x2c\x80\x01\0\x02\0\0\0\x05probe\0\0\0\x01\x0c\0\0";
    let rest = b"\x0b\0\x01\0\0\0\x02ab\x0d\0\x02\x0b\x0b\0\0\0\0\x02\0\x03\x01\0\0";
    assert_eq!(bytes, [&head[..], rest].concat());
    let bytes = encode_reply("x", 1, &Reply::Exception(&CallError::UnknownMethod));
    assert_eq!(bytes[4..8], [0x80, 1, 0, 3]);
    assert!(bytes.ends_with(b"\x08\0\x02\0\0\0\x01\0"));
    assert_eq!(
        encode_drain_notification(0),
        b"\0\0\0\x13\x80\x01\0\x04\0\0\0\x06noMore\0\0\0\0\0"
    );
}
