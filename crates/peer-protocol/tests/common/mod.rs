//! The codec of the tests, and the comparison with golden files that an earlier release wrote.

use std::path::Path;

use tulipgap_peer_protocol::{Envelope, FrameCodec, HEADER_BYTES};

pub(crate) const KEY: &[u8] = b"a key of twenty bytes";

pub(crate) fn codec() -> FrameCodec {
    FrameCodec::new("penhoat", KEY).unwrap()
}

/// Asserts that the file consists of the frames of these envelopes, and decodes to them.
/// GOLDEN_WRITE=1 rewrites the file, which only a new version of the protocol may require.
pub(crate) fn assert_golden(file: &str, envelopes: Vec<Envelope>) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    let bytes: Vec<u8> = envelopes
        .iter()
        .flat_map(|envelope| codec().encode(envelope))
        .collect();
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(&file, &bytes).unwrap();
    }
    let golden = std::fs::read(&file).unwrap();
    assert!(
        bytes == golden,
        "the bytes of {} have changed",
        file.display()
    );
    let mut rest = &golden[..];
    for envelope in envelopes {
        let length = HEADER_BYTES + codec().decode_header(rest.first_chunk().unwrap()).unwrap();
        assert_eq!(codec().decode_datagram(&rest[..length]), Ok(envelope));
        rest = &rest[length..];
    }
    assert!(rest.is_empty());
}
