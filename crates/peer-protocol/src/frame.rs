//! Frames: encoding, decoding, and the reasons for rejection.

use crate::message::Envelope;

/// The version of the protocol. Frames of another version are rejected.
pub const PROTOCOL_VERSION: u16 = 1;
/// The length of a frame's header, in bytes.
pub const HEADER_BYTES: usize = HASH_OFFSET + HASH_BYTES;
/// The maximum length of a frame's body, in bytes. It bounds the memory that a peer can make this
/// process allocate.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The maximum length of a frame in a datagram, in bytes, so that it fits into one Ethernet packet.
/// Longer frames are sent on a stream.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The minimum length of a key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// The first bytes of each frame.
const MAGIC: [u8; 2] = *b"tG";
/// The length of the cluster tag, in bytes.
const TAG_BYTES: usize = 4;
/// The length of the keyed hash, in bytes.
const HASH_BYTES: usize = 16;
/// The offset of the version, in bytes from the start of a frame.
const VERSION_OFFSET: usize = MAGIC.len();
/// The offset of the cluster tag, in bytes from the start of a frame.
const TAG_OFFSET: usize = VERSION_OFFSET + 2;
/// The offset of the length of the body, in bytes from the start of a frame.
const LENGTH_OFFSET: usize = TAG_OFFSET + TAG_BYTES;
/// The offset of the checksum, in bytes from the start of a frame.
const CHECKSUM_OFFSET: usize = LENGTH_OFFSET + 4;
/// The offset of the keyed hash, in bytes from the start of a frame.
const HASH_OFFSET: usize = CHECKSUM_OFFSET + 4;
/// The context of the key derivation, which separates the frame key from other keys derived from
/// the same secret.
const KEY_CONTEXT: &str = "tulipgap peer frames, version 1";

/// Why a frame was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The bytes do not begin with a header, or the length of the body differs from the length in
    /// the header.
    #[error("it is malformed")]
    Malformed,
    /// The frame has another version of the protocol.
    #[error("version {0} of the protocol is not known")]
    UnknownVersion(u16),
    /// The frame has the tag of another cluster.
    #[error("it belongs to another cluster")]
    OtherCluster,
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("its body has {0} bytes (at most {MAX_BODY_BYTES} are allowed)")]
    BodyTooLong(usize),
    /// The frame was damaged in transit.
    #[error("its checksum does not match")]
    ChecksumMismatch,
    /// The sender has another key.
    #[error("it was made with another key")]
    OtherKey,
    /// The body is not a valid envelope.
    #[error("its message can't be decoded: {0}")]
    InvalidMessage(#[source] postcard::Error),
}

/// A key is shorter than [`MIN_KEY_BYTES`], so it does not protect the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key takes {MIN_KEY_BYTES} bytes or more")]
pub struct KeyTooShort;

/// Encodes and decodes the frames of one cluster.
///
/// | bytes | content |
/// | --- | --- |
/// | 2 | `tG` |
/// | 2 | version, little-endian as all integers |
/// | 4 | cluster tag: the first bytes of the BLAKE3 hash of the cluster's name |
/// | 4 | length of the body |
/// | 4 | CRC-32 of all of the above and the body |
/// | 16 | the first bytes of the keyed BLAKE3 hash of all of the above and the body |
/// | length | body: an [`Envelope`], encoded by postcard |
#[derive(Clone)]
pub struct FrameCodec {
    cluster_tag: [u8; TAG_BYTES],
    key: [u8; 32],
}

impl FrameCodec {
    /// Creates the codec of the cluster with this name, whose processes share this key.
    ///
    /// # Errors
    /// [`KeyTooShort`] if the key is shorter than [`MIN_KEY_BYTES`].
    pub fn new(cluster: &str, key: &[u8]) -> Result<Self, KeyTooShort> {
        if key.len() < MIN_KEY_BYTES {
            return Err(KeyTooShort);
        }
        let name_hash = *blake3::hash(cluster.as_bytes()).as_bytes();
        let [a, b, c, d, ..] = name_hash;
        let mut derived = blake3::Hasher::new_derive_key(KEY_CONTEXT);
        derived
            .update(&(cluster.len() as u64).to_le_bytes())
            .update(cluster.as_bytes())
            .update(key);
        Ok(FrameCodec {
            cluster_tag: [a, b, c, d],
            key: *derived.finalize().as_bytes(),
        })
    }

    /// Encodes an envelope as a frame.
    pub fn encode(&self, envelope: &Envelope) -> Vec<u8> {
        let body = postcard::to_stdvec(envelope).unwrap_or_default();
        let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
        frame.extend(MAGIC);
        frame.extend(PROTOCOL_VERSION.to_le_bytes());
        frame.extend(self.cluster_tag);
        frame.extend((body.len() as u32).to_le_bytes());
        frame.extend(checksum(&frame, &body));
        let hash = self.hash(&frame, &body);
        frame.extend(&hash.as_bytes()[..HASH_BYTES]);
        frame.extend(body);
        frame
    }

    /// Checks a header as far as possible without the body, and returns the length of the body in
    /// bytes.
    ///
    /// # Errors
    /// [`FrameError::Malformed`], [`FrameError::UnknownVersion`], [`FrameError::OtherCluster`],
    /// [`FrameError::BodyTooLong`].
    pub fn decode_header(&self, header: &[u8; HEADER_BYTES]) -> Result<usize, FrameError> {
        if header[..VERSION_OFFSET] != MAGIC {
            return Err(FrameError::Malformed);
        }
        let version = u16::from_le_bytes([header[VERSION_OFFSET], header[VERSION_OFFSET + 1]]);
        if version != PROTOCOL_VERSION {
            return Err(FrameError::UnknownVersion(version));
        }
        if header[TAG_OFFSET..LENGTH_OFFSET] != self.cluster_tag {
            return Err(FrameError::OtherCluster);
        }
        let [a, b, c, d] = [0, 1, 2, 3].map(|at| header[LENGTH_OFFSET + at]);
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        if length > MAX_BODY_BYTES {
            Err(FrameError::BodyTooLong(length))
        } else {
            Ok(length)
        }
    }

    /// Decodes the envelope in a frame.
    ///
    /// # Errors
    /// Any [`FrameError`]; the body is decoded only after all other checks have passed.
    pub fn decode(&self, header: &[u8; HEADER_BYTES], body: &[u8]) -> Result<Envelope, FrameError> {
        if self.decode_header(header)? != body.len() {
            return Err(FrameError::Malformed);
        }
        if header[CHECKSUM_OFFSET..HASH_OFFSET] != checksum(&header[..CHECKSUM_OFFSET], body) {
            return Err(FrameError::ChecksumMismatch);
        }
        // All bytes are always compared, so that the duration of the comparison does not reveal how
        // many of them match.
        let hash = self.hash(&header[..HASH_OFFSET], body);
        let differences = header[HASH_OFFSET..]
            .iter()
            .zip(hash.as_bytes())
            .fold(0, |all, (a, b)| all | (a ^ b));
        if differences != 0 {
            return Err(FrameError::OtherKey);
        }
        postcard::from_bytes(body).map_err(FrameError::InvalidMessage)
    }

    /// Decodes the envelope in a datagram, which holds one frame.
    ///
    /// # Errors
    /// The errors of [`decode`](Self::decode).
    pub fn decode_datagram(&self, datagram: &[u8]) -> Result<Envelope, FrameError> {
        let (header, body) = datagram.split_first_chunk().ok_or(FrameError::Malformed)?;
        self.decode(header, body)
    }

    fn hash(&self, header: &[u8], body: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(header).update(body);
        hasher.finalize()
    }
}

fn checksum(header: &[u8], body: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(body);
    hasher.finalize().to_le_bytes()
}
