//! The loopback addresses and ports of a run.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};

use crate::plan::MemberIndex;

/// The port on which a member serves requests.
const FRONTEND_PORT: u16 = 6565;
/// The port at which a member looks for its executor.
const EXECUTOR_PORT: u16 = 7300;
/// The port on which a member hears other members.
const PEER_PORT: u16 = 7100;
/// The port to which operations under leases are reported.
const HISTORY_PORT: u16 = 7000;
/// The port that is bound for as long as a run owns its network.
const CLAIM_PORT: u16 = 7099;
/// The proxy from one member to another listens on the first one's address, on this port plus the
/// other's index.
const FIRST_PROXY_PORT: u16 = 8000;
/// The host of a run's network whose address claims the network.
const CLAIM_HOST: u8 = 1;
/// The host of the first member; the others have those after it.
const FIRST_MEMBER_HOST: usize = 10;
/// The host to which operations under leases are reported.
const HISTORY_HOST: usize = 210;
/// The host that sends delayed datagrams.
const DELAYED_SENDER_HOST: usize = 211;
/// Random networks that are tried before a run gives up.
const CLAIM_ATTEMPTS: u32 = 200;

/// A network of 256 loopback addresses that no other run on this machine uses. Dropping it gives
/// the network back.
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

    /// Where a member serves requests.
    pub(super) fn frontend(&self, member: MemberIndex) -> SocketAddr {
        self.address(FIRST_MEMBER_HOST + member, FRONTEND_PORT)
    }

    /// Where a member looks for its executor.
    pub(super) fn executor(&self, member: MemberIndex) -> SocketAddr {
        self.address(FIRST_MEMBER_HOST + member, EXECUTOR_PORT)
    }

    /// Where a member listens for its peers.
    pub(super) fn peer(&self, member: MemberIndex) -> SocketAddr {
        self.address(FIRST_MEMBER_HOST + member, PEER_PORT)
    }

    /// Where the proxy of the link from one member to another listens.
    pub(super) fn proxy(&self, from: MemberIndex, to: MemberIndex) -> SocketAddr {
        self.address(FIRST_MEMBER_HOST + from, FIRST_PROXY_PORT + to as u16)
    }

    /// Where the history of operations is reported.
    pub(super) fn history(&self) -> SocketAddr {
        self.address(HISTORY_HOST, HISTORY_PORT)
    }

    /// From where delayed datagrams are sent, any port.
    pub(super) fn delayed_sender(&self) -> SocketAddr {
        self.address(DELAYED_SENDER_HOST, 0)
    }

    /// A run of more members than the network has addresses for falls back to one that is in use,
    /// which fails to bind.
    fn address(&self, host: usize, port: u16) -> SocketAddr {
        let [a, b, c] = self.network;
        let address = match u8::try_from(host) {
            Ok(host) => Ipv4Addr::new(a, b, c, host),
            Err(_) => Ipv4Addr::LOCALHOST,
        };
        SocketAddr::new(IpAddr::V4(address), port)
    }
}
