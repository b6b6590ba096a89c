//! The loopback addresses and ports of a run.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};

use crate::plan::MemberIndex;

/// The port on which a member serves requests.
const FRONTEND_PORT: u16 = 6565;
/// The port on which a member expects its executor.
const EXECUTOR_PORT: u16 = 7300;
/// The port on which a member receives messages from its peers.
const PEER_PORT: u16 = 7100;
/// The port that receives the reports of operations under leases.
const HISTORY_PORT: u16 = 7000;
/// The port that a run keeps bound to claim its network.
const CLAIM_PORT: u16 = 7099;
/// The port of the first proxy. The proxy from one member to another listens on the first member's
/// address, on this port plus the other member's index.
const FIRST_PROXY_PORT: u16 = 8000;
/// The host number of the address that claims a run's network.
const CLAIM_HOST: u8 = 1;
/// The host number of the first member. The other members have the following numbers.
const FIRST_MEMBER_HOST: usize = 10;
/// The host number of the address that receives the reports of operations under leases.
const HISTORY_HOST: usize = 210;
/// The host number of the address that sends delayed datagrams.
const DELAYED_SENDER_HOST: usize = 211;
/// The maximum number of random networks that a run tries to claim.
const CLAIM_ATTEMPTS: u32 = 200;

/// A network of 256 loopback addresses that no other run on this machine uses. Dropping it releases
/// the network.
pub(super) struct AddressBlock {
    network: [u8; 3],
    _claim: UdpSocket,
}

impl AddressBlock {
    /// Claims a random network.
    pub(super) fn claim() -> io::Result<Self> {
        for _ in 0..CLAIM_ATTEMPTS {
            let network = [127, fastrand::u8(200..250), fastrand::u8(1..250)];
            let [a, b, c] = network;
            if let Ok(claim) = UdpSocket::bind((Ipv4Addr::new(a, b, c, CLAIM_HOST), CLAIM_PORT)) {
                return Ok(AddressBlock {
                    network,
                    _claim: claim,
                });
            }
        }
        Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            "no loopback network is free",
        ))
    }

    /// The address on which a member serves requests.
    pub(super) fn frontend(&self, member: MemberIndex) -> SocketAddr {
        self.address(FIRST_MEMBER_HOST + member, FRONTEND_PORT)
    }

    /// The address on which a member expects its executor.
    pub(super) fn executor(&self, member: MemberIndex) -> SocketAddr {
        self.address(FIRST_MEMBER_HOST + member, EXECUTOR_PORT)
    }

    /// The address on which a member listens for its peers.
    pub(super) fn peer(&self, member: MemberIndex) -> SocketAddr {
        self.address(FIRST_MEMBER_HOST + member, PEER_PORT)
    }

    /// The address of the proxy for the link from one member to another.
    pub(super) fn proxy(&self, from: MemberIndex, to: MemberIndex) -> SocketAddr {
        self.address(FIRST_MEMBER_HOST + from, FIRST_PROXY_PORT + to as u16)
    }

    /// The address that receives the reports of operations under leases.
    pub(super) fn history(&self) -> SocketAddr {
        self.address(HISTORY_HOST, HISTORY_PORT)
    }

    /// The address from which delayed datagrams are sent, with any port.
    pub(super) fn delayed_sender(&self) -> SocketAddr {
        self.address(DELAYED_SENDER_HOST, 0)
    }

    /// Returns an address of the network. If the run has more members than the network has
    /// addresses, returns an address on localhost, where binding is expected to fail because the
    /// port is in use.
    fn address(&self, host: usize, port: u16) -> SocketAddr {
        let [a, b, c] = self.network;
        let address = match u8::try_from(host) {
            Ok(host) => Ipv4Addr::new(a, b, c, host),
            Err(_) => Ipv4Addr::LOCALHOST,
        };
        SocketAddr::new(IpAddr::V4(address), port)
    }
}
