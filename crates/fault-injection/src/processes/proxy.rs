//! Proxies of the links between processes. Each proxy delays, drops, duplicates and blocks data
//! according to the plan.

use std::cmp::{Ordering as CmpOrdering, Reverse};
use std::collections::BinaryHeap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::plan::{LinkQuality, Member, MemberIndex, Plan};

/// The interval at which a proxy checks for a new stream, and for the end of a partition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum wait of a proxy before it checks whether the run is over.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The extra delay for a lost chunk of a stream, as after a retransmission.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);
/// The maximum length of a datagram that a proxy forwards, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// The size of the read buffer for a stream, in bytes.
const STREAM_BUFFER_BYTES: usize = 16_384;

/// The network between the processes of a run, which all proxies share. It holds the plan, and
/// whether the run is over.
pub(super) struct Network {
    pub(super) plan: Plan,
    pub(super) members: Vec<Member>,
    pub(super) start: Instant,
    is_over: AtomicBool,
}

impl Network {
    pub(super) fn new(plan: &Plan, start: Instant) -> Self {
        Network {
            plan: plan.clone(),
            members: plan.members(),
            start,
            is_over: AtomicBool::new(false),
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Stops all proxies within [`SHUTDOWN_CHECK_INTERVAL`].
    pub(super) fn shut_down(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// Seconds since the start of the run.
    pub(super) fn elapsed_seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub(super) fn is_link_open(&self, from: MemberIndex, to: MemberIndex) -> bool {
        self.plan.is_link_open(
            self.elapsed_seconds(),
            &self.members[from],
            &self.members[to],
        )
    }
}

/// One direction of the link between two members.
#[derive(Clone)]
pub(super) struct Link {
    pub(super) network: Arc<Network>,
    pub(super) from: MemberIndex,
    pub(super) to: MemberIndex,
    /// The address on which the receiver listens.
    pub(super) target: SocketAddr,
}

impl Link {
    fn is_open(&self) -> bool {
        self.network.is_link_open(self.from, self.to)
    }

    fn quality(&self) -> LinkQuality {
        let network = &self.network;
        let (from, to) = (&network.members[self.from], &network.members[self.to]);
        network
            .plan
            .link_quality(network.elapsed_seconds(), from, to)
    }
}

/// A datagram and the time at which it is sent.
pub(super) struct DelayedDatagram {
    at: Instant,
    to: SocketAddr,
    bytes: Vec<u8>,
}

impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for DelayedDatagram {}

impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &Self) -> Option<CmpOrdering> {
        Some(self.cmp(other))
    }
}

impl Ord for DelayedDatagram {
    fn cmp(&self, other: &Self) -> CmpOrdering {
        self.at.cmp(&other.at)
    }
}

/// Starts a thread that sends the delayed datagrams of all proxies when they are due.
pub(super) fn spawn_delayed_sender(
    network: &Arc<Network>,
    socket: UdpSocket,
) -> Sender<DelayedDatagram> {
    let (sender, receiver) = channel::<DelayedDatagram>();
    let network = network.clone();
    thread::spawn(move || {
        let mut datagrams = BinaryHeap::new();
        while !network.is_over() {
            let until_next = datagrams.peek().map_or(
                SHUTDOWN_CHECK_INTERVAL,
                |Reverse(next): &Reverse<DelayedDatagram>| {
                    next.at.saturating_duration_since(Instant::now())
                },
            );
            if let Ok(datagram) = receiver.recv_timeout(until_next.min(SHUTDOWN_CHECK_INTERVAL)) {
                datagrams.push(Reverse(datagram));
            }
            while datagrams
                .peek()
                .is_some_and(|Reverse(next)| next.at <= Instant::now())
            {
                if let Some(Reverse(datagram)) = datagrams.pop() {
                    let _ = socket.send_to(&datagram.bytes, datagram.to);
                }
            }
        }
    });
    sender
}

/// Starts the proxy of one link on `listen`, for datagrams and streams.
pub(super) fn spawn_proxy(
    link: &Link,
    listen: SocketAddr,
    delayed: &Sender<DelayedDatagram>,
) -> io::Result<()> {
    let socket = UdpSocket::bind(listen)?;
    let listener = TcpListener::bind(listen)?;
    socket.set_read_timeout(Some(SHUTDOWN_CHECK_INTERVAL))?;
    listener.set_nonblocking(true)?;
    let (datagram_link, delayed) = (link.clone(), delayed.clone());
    thread::spawn(move || forward_datagrams(&datagram_link, &socket, &delayed));
    let link = link.clone();
    thread::spawn(move || accept_streams(&link, &listener));
    Ok(())
}

fn forward_datagrams(link: &Link, socket: &UdpSocket, delayed: &Sender<DelayedDatagram>) {
    let mut rng = fastrand::Rng::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while !link.network.is_over() {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let quality = link.quality();
        if !link.is_open() || quality.sample_loss(&mut rng) {
            continue;
        }
        for _ in 0..quality.sample_copies(&mut rng) {
            let delay = quality.sample_delay(&mut rng);
            if quality.delay > 0.0 {
                let at = Instant::now() + Duration::from_secs_f64(delay);
                let bytes = buffer[..length].to_vec();
                let _ = delayed.send(DelayedDatagram {
                    at,
                    to: link.target,
                    bytes,
                });
            } else {
                let _ = socket.send_to(&buffer[..length], link.target);
            }
        }
    }
}

fn accept_streams(link: &Link, listener: &TcpListener) {
    while !link.network.is_over() {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(POLL_INTERVAL);
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let link = link.clone();
        // After an error the proxy closes the stream; the process that opened it opens another one.
        thread::spawn(move || _ = forward_stream(&link, stream));
    }
}

/// Forwards one stream in one direction. During a partition, the proxy holds the stream's bytes
/// back.
fn forward_stream(link: &Link, mut source: TcpStream) -> io::Result<()> {
    let mut rng = fastrand::Rng::new();
    let mut sink = TcpStream::connect(link.target)?;
    sink.set_nodelay(true)?;
    source.set_read_timeout(Some(SHUTDOWN_CHECK_INTERVAL))?;
    let mut buffer = vec![0; STREAM_BUFFER_BYTES];
    while !link.network.is_over() {
        let length = match source.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(length) => length,
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(error) => return Err(error),
        };
        let quality = link.quality();
        let retransmission = if quality.sample_loss(&mut rng) {
            RETRANSMISSION_DELAY
        } else {
            Duration::ZERO
        };
        thread::sleep(Duration::from_secs_f64(quality.sample_delay(&mut rng)) + retransmission);
        while !link.is_open() && !link.network.is_over() {
            thread::sleep(POLL_INTERVAL);
        }
        sink.write_all(&buffer[..length])?;
    }
    Ok(())
}
