//! The protocol between processes of a cluster: [`Message`]s, and the frames that carry them in
//! datagrams and on streams.
//!
//! A [`FrameCodec`] encodes and decodes the frames of one cluster. A frame has a bounded length, a
//! version, a cluster tag, a checksum and a hash keyed by the cluster's secret; the message in it
//! is decoded only after all of these match. The codec does no I/O: a host that reads a stream
//! decodes the header first to learn the length of the body.
//!
//! `docs/design-leases.md` and [`FrameCodec`] describe the layout of a frame.
//!
//! ```
//! use tulipgap_leases::Incarnation;
//! use tulipgap_peer_protocol::{Envelope, FrameCodec, FrameError, Message};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let codec = FrameCodec::new("penhoat", b"a key of twenty bytes")?;
//! let envelope = Envelope {
//!     from: "north-1".into(),
//!     address: "127.0.0.1:7100".parse()?,
//!     incarnation: Incarnation(7),
//!     message: Message::SlotAvailable { lease: "prober".into() },
//! };
//! let mut frame = codec.encode(&envelope);
//! assert_eq!(codec.decode_datagram(&frame)?, envelope);
//!
//! *frame.last_mut().ok_or("an empty frame")? ^= 1;
//! assert_eq!(codec.decode_datagram(&frame), Err(FrameError::ChecksumMismatch));
//! # Ok(())
//! # }
//! ```

mod frame;
mod message;

pub use frame::{
    FrameCodec, FrameError, HEADER_BYTES, KeyTooShort, MAX_BODY_BYTES, MAX_DATAGRAM_BYTES,
    MIN_KEY_BYTES, PROTOCOL_VERSION,
};
pub use message::{Envelope, Message};
