//! Addresses and the networks that contain them.

use std::net::IpAddr;
use std::str::FromStr;

/// The number of bits before the IPv4 address in an IPv4-mapped IPv6 address.
const IPV4_MAPPED_BITS: u8 = 96;
/// The number of bits of an IPv4 address.
const IPV4_BITS: u8 = 32;
/// The number of bits of an IPv6 address.
const IPV6_BITS: u8 = 128;
/// The prefix length of an IPv4 network for which connections are counted.
const IPV4_NETWORK_LENGTH: u8 = 24;
/// The prefix length of a wider IPv4 network for which connections are counted.
const IPV4_WIDE_NETWORK_LENGTH: u8 = 16;
/// The prefix length of an IPv6 network for which connections are counted: one site's subnet.
const IPV6_NETWORK_LENGTH: u8 = 64;
/// The prefix length of a wider IPv6 network for which connections are counted: one site.
const IPV6_WIDE_NETWORK_LENGTH: u8 = 48;

/// A network: the first bits of an address. An IPv4 address is stored as an IPv4-mapped IPv6
/// address, so that both forms of an address are equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NetworkPrefix {
    /// The address; the bits after the prefix are zero.
    bits: u128,
    length: u8,
}

/// The networks of an address for which connections are counted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EnclosingNetworks {
    /// The address itself.
    pub(crate) address: NetworkPrefix,
    /// The /24 of IPv4, the /64 of IPv6.
    pub(crate) network: NetworkPrefix,
    /// The /16 of IPv4, the /48 of IPv6.
    pub(crate) wide_network: NetworkPrefix,
}

impl EnclosingNetworks {
    /// The number of networks of an address.
    pub(crate) const COUNT: usize = 3;

    pub(crate) fn of(address: IpAddr) -> Self {
        let address = address.to_canonical();
        let (length, wide_length) = match address {
            IpAddr::V4(_) => (IPV4_NETWORK_LENGTH, IPV4_WIDE_NETWORK_LENGTH),
            IpAddr::V6(_) => (IPV6_NETWORK_LENGTH, IPV6_WIDE_NETWORK_LENGTH),
        };
        EnclosingNetworks {
            address: NetworkPrefix::of_address(address),
            network: NetworkPrefix::new(address, length),
            wide_network: NetworkPrefix::new(address, wide_length),
        }
    }

    pub(crate) fn all(self) -> [NetworkPrefix; Self::COUNT] {
        [self.address, self.network, self.wide_network]
    }
}

fn mask(length: u8) -> u128 {
    u128::MAX
        .checked_shl(u32::from(IPV6_BITS - length))
        .unwrap_or(0)
}

impl NetworkPrefix {
    /// The network with a prefix of this length that contains an address. A length beyond that of
    /// the address gives the address itself.
    pub fn new(address: IpAddr, length: u8) -> Self {
        let (bits, length) = match address {
            IpAddr::V4(v4) => (
                v4.to_ipv6_mapped().to_bits(),
                IPV4_MAPPED_BITS + length.min(IPV4_BITS),
            ),
            IpAddr::V6(v6) if v6.to_ipv4_mapped().is_some() => {
                (v6.to_bits(), length.clamp(IPV4_MAPPED_BITS, IPV6_BITS))
            }
            IpAddr::V6(v6) => (v6.to_bits(), length.min(IPV6_BITS)),
        };
        NetworkPrefix {
            bits: bits & mask(length),
            length,
        }
    }

    /// The network that consists of one address.
    pub fn of_address(address: IpAddr) -> Self {
        NetworkPrefix::new(address, IPV6_BITS)
    }

    /// Whether an address belongs to the network.
    pub fn contains(self, address: IpAddr) -> bool {
        let other = NetworkPrefix::of_address(address.to_canonical());
        other.bits & mask(self.length) == self.bits
    }

    /// A hash that depends on a seed, so that a client cannot choose addresses that collide.
    pub(crate) fn hash(self, seed: u64) -> u64 {
        let mut hash = seed ^ u64::from(self.length).wrapping_mul(0xA24B_AED4_963E_E407);
        for word in [self.bits as u64, (self.bits >> 64) as u64] {
            hash = (hash ^ word).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            hash ^= hash >> 29;
            hash = hash.wrapping_mul(0xBF58_476D_1CE4_E5B9);
            hash ^= hash >> 32;
        }
        hash
    }
}

/// Why a text could not be parsed as a network.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParsePrefixError {
    /// The part before the slash is not an address.
    #[error("'{text}' is neither an address nor a network such as 10.1.2.0/24")]
    Address {
        /// The text.
        text: String,
        /// The cause.
        source: std::net::AddrParseError,
    },
    /// The part after the slash is not a number.
    #[error("'{text}' is neither an address nor a network such as 10.1.2.0/24")]
    Length {
        /// The text.
        text: String,
        /// The cause.
        source: std::num::ParseIntError,
    },
    /// The prefix is longer than the address.
    #[error("'{text}' has a prefix length over {max}")]
    LengthOutOfRange {
        /// The text.
        text: String,
        /// The greatest length: 32 for IPv4, 128 for IPv6.
        max: u8,
    },
    /// Bits after the prefix are set.
    #[error("'{text}' has bits set after the prefix")]
    HostBits {
        /// The text.
        text: String,
    },
}

impl FromStr for NetworkPrefix {
    type Err = ParsePrefixError;

    /// Parses `10.1.2.0/24`, `2001:db8::/32`, or a single address.
    fn from_str(text: &str) -> Result<Self, ParsePrefixError> {
        let (address, length) = match text.split_once('/') {
            Some((address, length)) => {
                let parsed = length.parse::<u8>();
                let length = parsed.map_err(|source| ParsePrefixError::Length {
                    text: text.to_owned(),
                    source,
                })?;
                (address, Some(length))
            }
            None => (text, None),
        };
        let address: IpAddr = address
            .parse()
            .map_err(|source| ParsePrefixError::Address {
                text: text.to_owned(),
                source,
            })?;
        let max = if address.is_ipv4() {
            IPV4_BITS
        } else {
            IPV6_BITS
        };
        let length = length.unwrap_or(max);
        if length > max {
            return Err(ParsePrefixError::LengthOutOfRange {
                text: text.to_owned(),
                max,
            });
        }
        let network = NetworkPrefix::new(address, length);
        if network.bits != NetworkPrefix::of_address(address).bits {
            return Err(ParsePrefixError::HostBits {
                text: text.to_owned(),
            });
        }
        Ok(network)
    }
}
