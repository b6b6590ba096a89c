//! Links to the other processes of a cluster: streams for Raft messages and for messages that are
//! too long for a datagram, datagrams for all others. Only the process that opened a stream sends
//! messages on it.
//!
//! [`PeerLinks`] runs on dedicated threads: one for datagrams, one that accepts streams, and one
//! for each open stream. The message router passes it the messages to send; received messages go to
//! the event loop. The worker thread that serves requests does none of this work, and a slow peer
//! fills only its own queue.
//!
//! A link may fail at any time, and messages may be lost; their senders retry. A frame that is not
//! authentic or not readable is logged as `peer frame rejected`, and a stream that cannot be opened
//! or written as `peer stream failed`. The control socket reports the number of frames that were
//! dropped because a queue was full or too many streams were open.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Weak};
use std::time::Duration;

use parking_lot::Mutex;
use tulipgap_consensus::PeerMessage;
use tulipgap_leases::{Incarnation, Name};
use tulipgap_peer_protocol::{
    Envelope, FrameCodec, FrameError, HEADER_BYTES, MAX_DATAGRAM_BYTES, Message,
};

use super::threads::spawn_thread;
use crate::log::LogLimit;

/// The maximum number of frames that are queued for one peer. If the queue is full, new frames are
/// dropped.
const MAX_QUEUED_FRAMES: usize = 256;
/// The maximum number of streams that this process opens.
const MAX_OUTGOING_STREAMS: usize = 24;
/// The maximum number of streams that other processes open to this one.
const MAX_INCOMING_STREAMS: usize = 32;
/// The maximum number of open streams, in both directions.
pub(crate) const MAX_STREAMS: usize = MAX_OUTGOING_STREAMS + MAX_INCOMING_STREAMS;
/// How long a stream without a frame is kept open. Streams between the leader and the other voters
/// always carry heartbeats; other streams are used rarely.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a peer may pause in the middle of a frame before its stream is closed.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The time limit for opening a stream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The factor by which the pause after a failed stream grows with each further failure.
const RECONNECT_BACKOFF_FACTOR: u32 = 2;
/// The first pause after a stream has failed.
const MIN_RECONNECT_BACKOFF: Duration = Duration::from_millis(50);
/// The longest pause after a stream has failed.
const MAX_RECONNECT_BACKOFF: Duration = Duration::from_secs(2);
/// The minimum pause after a stream has failed, as a fraction of the backoff.
const MIN_PAUSE_FRACTION: f64 = 0.5;
/// The number of datagrams that the thread reads before it yields to other threads.
const DATAGRAMS_PER_YIELD: u32 = 32;
/// The buffer for a datagram, in bytes: the longest that UDP allows.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;
/// The pause after a failed read of a datagram.
const DATAGRAM_ERROR_PAUSE: Duration = Duration::from_millis(1);
/// The pause after a failed accept of a stream.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Limits the log lines about rejected frames, of all links together.
static REJECTED_FRAMES: LogLimit = LogLimit::new();
/// Limits the log lines about failed streams, of all links together.
static FAILED_STREAMS: LogLimit = LogLimit::new();

/// The parameters of [`PeerLinks::open`].
pub(crate) struct PeerLinksConfig {
    /// The UDP and TCP address at which other members reach this process.
    pub(crate) listen: SocketAddr,
    /// Encodes and decodes the frames of the cluster.
    pub(crate) codec: FrameCodec,
    /// The name of this process.
    pub(crate) local_name: Name,
    /// The incarnation of this process, which identifies its run.
    pub(crate) incarnation: Incarnation,
    /// For fault injection: messages to an address that is a key are sent to its value instead.
    pub(crate) routes: HashMap<SocketAddr, SocketAddr>,
}

/// All links of this process. It owns the sockets and the queues of the outgoing streams.
pub(crate) struct PeerLinks {
    config: PeerLinksConfig,
    udp: UdpSocket,
    /// The queue of each outgoing stream.
    outgoing: Mutex<HashMap<SocketAddr, SyncSender<Vec<u8>>>>,
    /// The number of open incoming streams.
    incoming_streams: AtomicUsize,
    /// See [`PeerLinks::dropped_frames`].
    dropped_frames: AtomicUsize,
}

/// A slot for an incoming stream. Dropping it frees the slot.
struct IncomingStreamSlot(Arc<PeerLinks>);

impl IncomingStreamSlot {
    fn try_acquire(links: &Arc<PeerLinks>) -> Option<Self> {
        let slot = IncomingStreamSlot(links.clone());
        let open = links.incoming_streams.fetch_add(1, Ordering::AcqRel);
        (open < MAX_INCOMING_STREAMS).then_some(slot)
    }
}

impl Drop for IncomingStreamSlot {
    fn drop(&mut self) {
        self.0.incoming_streams.fetch_sub(1, Ordering::AcqRel);
    }
}

impl PeerLinks {
    /// Listens for peers. Their messages go to `received`.
    ///
    /// # Errors
    /// The error of the operating system, if the process can't listen on the address or start a
    /// thread.
    pub(crate) fn open(
        config: PeerLinksConfig,
        received: SyncSender<Envelope>,
    ) -> io::Result<Arc<Self>> {
        let udp = UdpSocket::bind(config.listen)?;
        let listener = TcpListener::bind(config.listen)?;
        let links = Arc::new(PeerLinks {
            config,
            udp: udp.try_clone()?,
            outgoing: Mutex::new(HashMap::new()),
            incoming_streams: AtomicUsize::new(0),
            dropped_frames: AtomicUsize::new(0),
        });
        let (udp_links, udp_received) = (links.clone(), received.clone());
        spawn_thread("peers-udp", move || {
            udp_links.read_datagrams(&udp, &udp_received)
        })?;
        let tcp_links = links.clone();
        spawn_thread("peers-tcp", move || tcp_links.accept(&listener, &received))?;
        Ok(links)
    }

    /// The number of frames that were dropped because their peer reads too slowly or too many
    /// streams are open.
    pub(crate) fn dropped_frames(&self) -> usize {
        self.dropped_frames.load(Ordering::Relaxed)
    }

    /// Sends a message to an address: on a stream if it is a Raft message or too long for a
    /// datagram, otherwise in a datagram. A message on a stream is lost if the stream fails.
    pub(crate) fn send(self: &Arc<Self>, to: SocketAddr, message: Message) {
        let needs_stream = matches!(message, Message::Voter(PeerMessage::Raft(_)));
        let frame = self.config.codec.encode(&Envelope {
            from: self.config.local_name.clone(),
            address: self.config.listen,
            incarnation: self.config.incarnation,
            message,
        });
        let to = self.config.routes.get(&to).copied().unwrap_or(to);
        if needs_stream || frame.len() > MAX_DATAGRAM_BYTES {
            self.send_on_stream(to, frame);
        } else {
            // A failed send has the same effect as a datagram that the network has lost.
            let _ = self.udp.send_to(&frame, to);
        }
    }

    fn send_on_stream(self: &Arc<Self>, to: SocketAddr, frame: Vec<u8>) {
        let mut outgoing = self.outgoing.lock();
        if !outgoing.contains_key(&to) {
            if outgoing.len() >= MAX_OUTGOING_STREAMS {
                self.dropped_frames.fetch_add(1, Ordering::Relaxed);
                return;
            }
            let (sender, queue) = sync_channel(MAX_QUEUED_FRAMES);
            let links = Arc::downgrade(self);
            if spawn_thread("peers-out", move || write_frames(&links, to, &queue)).is_err() {
                return;
            }
            outgoing.insert(to, sender);
        }
        if let Some(Err(TrySendError::Full(_))) =
            outgoing.get(&to).map(|queue| queue.try_send(frame))
        {
            self.dropped_frames.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn read_datagrams(&self, udp: &UdpSocket, received: &SyncSender<Envelope>) {
        let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
        for read_count in 1u32.. {
            match udp.recv_from(&mut buffer) {
                Ok((length, from)) => match self.config.codec.decode_datagram(&buffer[..length]) {
                    // If the event loop does not keep up, datagrams are lost, as on the network.
                    Ok(envelope) => _ = received.try_send(envelope),
                    Err(error) => log_rejected_frame(from, &error),
                },
                // The error reports that an earlier datagram of this process found no listener. The
                // socket remains usable.
                Err(_) => std::thread::sleep(DATAGRAM_ERROR_PAUSE),
            }
            if read_count.is_multiple_of(DATAGRAMS_PER_YIELD) {
                std::thread::yield_now();
            }
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, received: &SyncSender<Envelope>) {
        loop {
            let Ok((stream, from)) = listener.accept() else {
                std::thread::sleep(ACCEPT_ERROR_PAUSE);
                continue;
            };
            let Some(slot) = IncomingStreamSlot::try_acquire(self) else {
                continue;
            };
            let received = received.clone();
            // If no thread can be started, the stream is closed and its slot freed.
            let _ = spawn_thread("peers-in", move || {
                slot.0.read_frames(stream, from, &received)
            });
        }
    }

    /// Reads frames until the stream ends, exceeds the idle or the stall timeout, or carries a
    /// frame that is rejected.
    fn read_frames(
        &self,
        mut stream: TcpStream,
        from: SocketAddr,
        received: &SyncSender<Envelope>,
    ) {
        while let Ok(header) = read_header(&mut stream) {
            let body_length = match self.config.codec.decode_header(&header) {
                Ok(length) => length,
                Err(error) => return log_rejected_frame(from, &error),
            };
            let mut body = vec![0; body_length];
            if stream.read_exact(&mut body).is_err() {
                return;
            }
            match self.config.codec.decode(&header, &body) {
                Ok(envelope) => {
                    // If the event loop does not keep up, the thread of this stream waits.
                    if received.send(envelope).is_err() {
                        return;
                    }
                }
                Err(error) => return log_rejected_frame(from, &error),
            }
        }
    }
}

/// Reads the header of the next frame. The frame must begin within the idle timeout; after that,
/// each read has the stall timeout.
fn read_header(stream: &mut TcpStream) -> io::Result<[u8; HEADER_BYTES]> {
    let mut header = [0; HEADER_BYTES];
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    stream.read_exact(&mut header[..1])?;
    stream.set_read_timeout(Some(STALL_TIMEOUT))?;
    stream.read_exact(&mut header[1..])?;
    Ok(header)
}

/// Writes the frames that are queued for one peer. Returns if no frame is queued within the idle
/// timeout, or after the [`PeerLinks`] were dropped.
fn write_frames(links: &Weak<PeerLinks>, to: SocketAddr, queue: &Receiver<Vec<u8>>) {
    let mut open_stream: Option<TcpStream> = None;
    let mut backoff = MIN_RECONNECT_BACKOFF;
    while let Ok(frame) = queue.recv_timeout(IDLE_TIMEOUT) {
        let connected = open_stream.take().map_or_else(|| connect(to), Ok);
        match connected.and_then(|mut stream| stream.write_all(&frame).map(|()| stream)) {
            Ok(stream) => {
                open_stream = Some(stream);
                backoff = MIN_RECONNECT_BACKOFF;
            }
            Err(error) => {
                log_failed_stream(to, &error);
                std::thread::sleep(reconnect_pause(backoff, fastrand::f64()));
                backoff = (backoff * RECONNECT_BACKOFF_FACTOR).min(MAX_RECONNECT_BACKOFF);
                // Frames that were queued during the pause are outdated.
                while queue.try_recv().is_ok() {}
            }
        }
    }
    if let Some(links) = links.upgrade() {
        links.outgoing.lock().remove(&to);
    }
}

/// The pause before a failed stream is opened again: a random fraction of the backoff, so that the
/// processes of a cluster do not all connect to a restarted process at the same time. `random` is
/// at least 0 and less than 1.
fn reconnect_pause(backoff: Duration, random: f64) -> Duration {
    backoff.mul_f64(MIN_PAUSE_FRACTION + (1.0 - MIN_PAUSE_FRACTION) * random)
}

fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(STALL_TIMEOUT))?;
    Ok(stream)
}

fn log_rejected_frame(from: SocketAddr, error: &FrameError) {
    if let Some(count) = REJECTED_FRAMES.count_event() {
        log::warn!("peer frame rejected from={from} count={count} error=\"{error}\"");
    }
}

fn log_failed_stream(to: SocketAddr, error: &io::Error) {
    if let Some(count) = FAILED_STREAMS.count_event() {
        log::info!("peer stream failed to={to} count={count} error=\"{error}\"");
    }
}
