//! What processes of a cluster say to each other, as bytes: one frame, in a datagram or on a stream. A frame has a bound
//! length, a version, the cluster it is of, a checksum, and a hash under the cluster's key; nothing in it is looked at
//! before all of these fit. No I/O. docs/design-leases.md has the layout.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tulipgap_consensus::PeerMessage;
use tulipgap_leases::{Command, Incarnation, Lease, Name, RequestId, Response};

pub const VERSION: u16 = 1;
/// Magic, version, cluster, length, checksum, hash.
pub const HEAD: usize = 2 + 2 + 4 + 4 + 4 + 16;
/// No frame is longer; what is longer than a datagram may be goes over a stream.
pub const FRAME_MOST: usize = 4 * 1024 * 1024;
pub const DATAGRAM_MOST: usize = 1400;
pub const KEY_LEAST: usize = 16;
const MAGIC: [u8; 2] = *b"tG";

/// One thing that is said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    Member(tulipgap_cluster::Message),
    Peer(PeerMessage),
    Ask {
        ask: RequestId,
        command: Command,
    },
    Answer {
        life: Incarnation,
        ask: RequestId,
        answer: Response,
    },
    NotLeading {
        ask: RequestId,
        leader: Option<Name>,
    },
    Turn {
        lease: Name,
    },
    List {
        number: RequestId,
        lease: Option<Name>,
    },
    Listing {
        number: RequestId,
        leases: Vec<(Name, Lease)>,
    },
    /// An operator's: who votes changes.
    Replace {
        old: Name,
        new: Name,
    },
}

/// Who says it, and where it is to be answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Said {
    pub from: Name,
    pub address: SocketAddr,
    /// Of the process, drawn when it was started.
    pub life: Incarnation,
    pub word: Word,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Bad {
    #[error("it is no frame")]
    NoFrame,
    #[error("version {0} is not known")]
    Version(u16),
    #[error("it is of another cluster")]
    OtherCluster,
    #[error("it is {0} bytes long (up to {FRAME_MOST} are taken)")]
    TooLong(usize),
    #[error("it is damaged")]
    Damaged,
    #[error("it was made with another key")]
    OtherKey,
    #[error("what it says makes no sense")]
    Senseless,
}

/// Makes and opens the frames of one cluster.
#[derive(Clone)]
pub struct Frames {
    tag: [u8; 4],
    key: [u8; 32],
}

impl Frames {
    /// None where the key is too short to keep anybody out.
    pub fn new(cluster: &str, key: &[u8]) -> Option<Self> {
        if key.len() < KEY_LEAST {
            return None;
        }
        let hash = blake3::hash(cluster.as_bytes());
        let tag = [hash.as_bytes()[0], hash.as_bytes()[1], hash.as_bytes()[2], hash.as_bytes()[3]];
        let mut from = blake3::Hasher::new_derive_key("tulipgap peer frames, version 1");
        from.update(&(cluster.len() as u64).to_le_bytes()).update(cluster.as_bytes()).update(key);
        Some(Frames { tag, key: *from.finalize().as_bytes() })
    }

    fn hash(&self, head: &[u8], body: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(head).update(body);
        hasher.finalize()
    }

    pub fn make(&self, said: &Said) -> Vec<u8> {
        let body = postcard::to_stdvec(said).unwrap_or_default();
        let mut frame = Vec::with_capacity(HEAD + body.len());
        frame.extend(MAGIC);
        frame.extend(VERSION.to_le_bytes());
        frame.extend(self.tag);
        frame.extend((body.len() as u32).to_le_bytes());
        let mut sum = crc32fast::Hasher::new();
        sum.update(&frame);
        sum.update(&body);
        frame.extend(sum.finalize().to_le_bytes());
        let hash = self.hash(&frame, &body);
        frame.extend(&hash.as_bytes()[..16]);
        frame.extend(body);
        frame
    }

    /// How long the body is that follows this head; all that can be known of it so far fits.
    pub fn body(&self, head: &[u8; HEAD]) -> Result<usize, Bad> {
        let two = |at: usize| u16::from_le_bytes([head[at], head[at + 1]]);
        if head[..2] != MAGIC {
            return Err(Bad::NoFrame);
        }
        if two(2) != VERSION {
            return Err(Bad::Version(two(2)));
        }
        if head[4..8] != self.tag {
            return Err(Bad::OtherCluster);
        }
        let length = u32::from_le_bytes([head[8], head[9], head[10], head[11]]) as usize;
        if length > FRAME_MOST { Err(Bad::TooLong(length)) } else { Ok(length) }
    }

    pub fn open(&self, head: &[u8; HEAD], body: &[u8]) -> Result<Said, Bad> {
        if self.body(head)? != body.len() {
            return Err(Bad::NoFrame);
        }
        let mut sum = crc32fast::Hasher::new();
        sum.update(&head[..12]);
        sum.update(body);
        if head[12..16] != sum.finalize().to_le_bytes() {
            return Err(Bad::Damaged);
        }
        // Compared in one go whatever differs: how much fits is not told by the time it takes.
        let hash = self.hash(&head[..16], body);
        let differs = head[16..].iter().zip(hash.as_bytes()).fold(0, |all, (a, b)| all | (a ^ b));
        if differs != 0 {
            return Err(Bad::OtherKey);
        }
        postcard::from_bytes(body).map_err(|_| Bad::Senseless)
    }

    /// A frame that is whole: a datagram.
    pub fn open_whole(&self, bytes: &[u8]) -> Result<Said, Bad> {
        let (head, body) = bytes.split_first_chunk::<HEAD>().ok_or(Bad::NoFrame)?;
        self.open(head, body)
    }
}
