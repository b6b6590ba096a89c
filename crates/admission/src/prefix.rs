//! Addresses and the networks around them.

use std::net::IpAddr;

/// A network: an address with what lies beyond its length cut off. IPv4 goes by its mapped form, so that an address
/// that comes both ways is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Prefix {
    bits: u128,
    length: u8,
}

/// What an IPv4 address adds to a length: it is mapped behind 96 bits.
const MAPPED: u8 = 96;

impl Prefix {
    /// The network of that length around an address; a length beyond the address's is that of the address.
    pub fn new(address: IpAddr, length: u8) -> Prefix {
        let (bits, length) = match address {
            IpAddr::V4(v4) => (v4.to_ipv6_mapped().to_bits(), MAPPED + length.min(32)),
            IpAddr::V6(v6) if v6.to_ipv4_mapped().is_some() => (v6.to_bits(), length.clamp(MAPPED, 128)),
            IpAddr::V6(v6) => (v6.to_bits(), length.min(128)),
        };
        let kept = u128::MAX.checked_shl(128 - u32::from(length)).unwrap_or(0);
        Prefix { bits: bits & kept, length }
    }

    pub fn address(address: IpAddr) -> Prefix {
        Prefix::new(address, 128)
    }

    /// The networks that are counted: the address itself and those around it.
    pub fn around(address: IpAddr) -> [Prefix; 3] {
        let v4 = matches!(address.to_canonical(), IpAddr::V4(_));
        let canonical = address.to_canonical();
        if v4 {
            let own = Prefix::address(canonical);
            [own, Prefix::new(canonical, 24), Prefix::new(canonical, 16)]
        } else {
            [Prefix::address(canonical), Prefix::new(canonical, 64), Prefix::new(canonical, 48)]
        }
    }

    pub fn contains(self, address: IpAddr) -> bool {
        let own = Prefix::address(address.to_canonical());
        let kept = u128::MAX.checked_shl(128 - u32::from(self.length)).unwrap_or(0);
        own.bits & kept == self.bits
    }

    /// A number that depends on a seed, so that nobody can choose addresses that meet in one place.
    pub fn hash(self, seed: u64) -> u64 {
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

impl std::str::FromStr for Prefix {
    type Err = String;

    /// `10.1.2.0/24`, `2001:db8::/32`, or an address alone.
    fn from_str(text: &str) -> Result<Prefix, String> {
        let wrong = || format!("'{text}' is no address and no network such as 10.1.2.0/24");
        let (address, length) = match text.split_once('/') {
            Some((address, length)) => (address, Some(length.parse::<u8>().map_err(|_| wrong())?)),
            None => (text, None),
        };
        let address: IpAddr = address.parse().map_err(|_| wrong())?;
        let most = if address.is_ipv4() { 32 } else { 128 };
        let length = length.unwrap_or(most);
        if length > most {
            return Err(wrong());
        }
        let network = Prefix::new(address, length);
        let whole = Prefix::address(address);
        if network.bits == whole.bits {
            Ok(network)
        } else {
            Err(format!("'{text}' has bits behind its length"))
        }
    }
}
