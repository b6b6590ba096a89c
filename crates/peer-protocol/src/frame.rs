//! Frames: encoding, decoding, and why a frame is rejected.

use crate::message::Envelope;

/// The version of the protocol. Frames of another one are rejected.
pub const PROTOCOL_VERSION: u16 = 1;
/// The length of a frame's header, in bytes.
pub const HEADER_BYTES: usize = HASH_OFFSET + HASH_BYTES;
/// The longest body of a frame, in bytes. Bounds what a peer makes this process allocate.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The longest frame that is sent as a datagram, in bytes, so that it fits into one packet of an
/// Ethernet; a longer one goes over a stream.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The shortest key, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// What each frame begins with.
const MAGIC: [u8; 2] = *b"tG";
/// The length of the cluster tag, in bytes.
const TAG_BYTES: usize = 4;
/// The length of the keyed hash, in bytes.
const HASH_BYTES: usize = 16;
/// Where the version begins, in bytes from the start of a frame.
const VERSION_OFFSET: usize = MAGIC.len();
/// Where the cluster tag begins, in bytes from the start of a frame.
const TAG_OFFSET: usize = VERSION_OFFSET + 2;
/// Where the length of the body begins, in bytes from the start of a frame.
const LENGTH_OFFSET: usize = TAG_OFFSET + TAG_BYTES;
/// Where the checksum begins, in bytes from the start of a frame.
const CHECKSUM_OFFSET: usize = LENGTH_OFFSET + 4;
/// Where the keyed hash begins, in bytes from the start of a frame.
const HASH_OFFSET: usize = CHECKSUM_OFFSET + 4;
/// Separates the key of this use from other uses of the same secret.
const KEY_CONTEXT: &str = "tulipgap peer frames, version 1";

/// Why a frame was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The bytes do not begin with a header, or the body has another length than the header says.
    #[error("it is no frame")]
    NotAFrame,
    /// Another version of the protocol.
    #[error("version {0} of the protocol is not known")]
    UnknownVersion(u16),
    /// Another cluster's tag.
    #[error("it belongs to another cluster")]
    OtherCluster,
    /// See [`MAX_BODY_BYTES`].
    #[error("its body has {0} bytes (at most {MAX_BODY_BYTES} are allowed)")]
    BodyTooLong(usize),
    /// The frame was damaged on its way.
    #[error("its checksum does not match")]
    ChecksumMismatch,
    /// The sender has another key.
    #[error("it was made with another key")]
    OtherKey,
    /// The body is no envelope.
    #[error("its message can't be decoded: {0}")]
    InvalidMessage(#[source] postcard::Error),
}

/// A key is too short to keep anybody out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key takes {MIN_KEY_BYTES} bytes or more")]
pub struct KeyTooShort;

/// Encodes and decodes the frames of one cluster.
///
/// | bytes | content |
/// | --- | --- |
/// | 2 | `tG` |
/// | 2 | version, little-endian as all integers |
/// | 4 | cluster tag: the beginning of the BLAKE3 hash of its name |
/// | 4 | length of the body |
/// | 4 | CRC-32 of all of the above and the body |
/// | 16 | the beginning of the keyed BLAKE3 hash of all of the above and the body |
/// | length | body: an [`Envelope`], encoded by postcard |
#[derive(Clone)]
pub struct FrameCodec {
    cluster_tag: [u8; TAG_BYTES],
    key: [u8; 32],
}

impl FrameCodec {
    /// The codec of the cluster of that name, whose processes share that key.
    ///
    /// # Errors
    /// [`KeyTooShort`] below [`MIN_KEY_BYTES`].
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

    /// The frame of an envelope.
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

    /// How many bytes of body follow this header. Whatever can be checked without the body is.
    ///
    /// # Errors
    /// [`FrameError::NotAFrame`], [`FrameError::UnknownVersion`], [`FrameError::OtherCluster`],
    /// [`FrameError::BodyTooLong`].
    pub fn decode_header(&self, header: &[u8; HEADER_BYTES]) -> Result<usize, FrameError> {
        if header[..VERSION_OFFSET] != MAGIC {
            return Err(FrameError::NotAFrame);
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

    /// The envelope in a frame.
    ///
    /// # Errors
    /// Any [`FrameError`]; the body is decoded only where all else matches.
    pub fn decode(&self, header: &[u8; HEADER_BYTES], body: &[u8]) -> Result<Envelope, FrameError> {
        if self.decode_header(header)? != body.len() {
            return Err(FrameError::NotAFrame);
        }
        if header[CHECKSUM_OFFSET..HASH_OFFSET] != checksum(&header[..CHECKSUM_OFFSET], body) {
            return Err(FrameError::ChecksumMismatch);
        }
        // All bytes are compared whichever differ, so that the time it takes does not tell how many
        // match.
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

    /// The envelope in a datagram, which holds one frame.
    ///
    /// # Errors
    /// As [`decode`](Self::decode).
    pub fn decode_datagram(&self, datagram: &[u8]) -> Result<Envelope, FrameError> {
        let (header, body) = datagram.split_first_chunk().ok_or(FrameError::NotAFrame)?;
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
