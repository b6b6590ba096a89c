//! Links to the other processes of a cluster: datagrams for what may be lost, streams for what must arrive or is long. Each
//! link is used one way, by whoever opened it. Threads of its own, none of them on the reqs' worker; a slow peer fills its
//! own queue and nobody else's.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Weak};
use std::time::Duration;

use parking_lot::Mutex;
use tulipgap_leases::{Incarnation, Name};
use tulipgap_peer_protocol::{Envelope, FrameCodec, FrameError, HEADER_BYTES, MAX_DATAGRAM_BYTES, Message};

use crate::log::LogLimit as Bound;

/// Frames that wait for one peer; beyond, the newest are dropped.
const WAITING: usize = 256;
/// Streams that are open, each way.
const OUT_MOST: usize = 24;
const IN_MOST: usize = 32;
pub const STREAMS: usize = OUT_MOST + IN_MOST;
/// A stream without a frame for so long is closed: those of voters are never, others are opened now and then.
const IDLE: Duration = Duration::from_secs(10);
/// A peer that takes or gives nothing in the middle of a frame for so long has stalled.
const STALL: Duration = Duration::from_secs(2);
const CONNECT: Duration = Duration::from_millis(500);
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));
/// Frames that are opened before other threads have their turn.
const SLICE: u32 = 32;
const STACK: usize = 256 * 1024;

static TURNED_DOWN: Bound = Bound::new();
static BROKEN: Bound = Bound::new();

pub struct Links {
    udp: UdpSocket,
    frames: FrameCodec,
    me: Name,
    address: SocketAddr,
    life: Incarnation,
    /// For the rig: where what is sent to an address goes instead.
    routes: HashMap<SocketAddr, SocketAddr>,
    out: Mutex<HashMap<SocketAddr, SyncSender<Vec<u8>>>>,
    coming: AtomicUsize,
    dropped: AtomicUsize,
}

pub struct Opened {
    pub listen: SocketAddr,
    pub frames: FrameCodec,
    pub me: Name,
    pub life: Incarnation,
    pub routes: HashMap<SocketAddr, SocketAddr>,
}

pub fn thread(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(STACK).spawn(work).map(|_| ())
}

impl Links {
    pub fn open(of: Opened, incoming: SyncSender<Envelope>) -> io::Result<Arc<Self>> {
        let Opened { listen, frames, me, life, routes } = of;
        let (udp, listener) = (UdpSocket::bind(listen)?, TcpListener::bind(listen)?);
        let links = Arc::new(Links {
            udp: udp.try_clone()?,
            frames,
            me,
            address: listen,
            life,
            routes,
            out: Mutex::new(HashMap::new()),
            coming: AtomicUsize::new(0),
            dropped: AtomicUsize::new(0),
        });
        let (datagrams, into) = (links.clone(), incoming.clone());
        thread("peers-udp", move || datagrams.read_datagrams(&udp, &into))?;
        let accepting = links.clone();
        thread("peers-tcp", move || accepting.accept(&listener, &incoming))?;
        Ok(links)
    }

    /// Frames that were dropped as their peer took none.
    pub fn dropped(&self) -> usize {
        self.dropped.load(Ordering::Relaxed)
    }

    pub fn send(self: &Arc<Self>, to: SocketAddr, word: Message) {
        let streamed = matches!(word, Message::Voter(tulipgap_consensus::PeerMessage::Raft(_)));
        let said =
            Envelope { from: self.me.clone(), address: self.address, incarnation: self.life, message: word };
        let frame = self.frames.encode(&said);
        let to = self.routes.get(&to).copied().unwrap_or(to);
        if !streamed && frame.len() <= MAX_DATAGRAM_BYTES {
            // Lost, as any datagram may be.
            let _ = self.udp.send_to(&frame, to);
            return;
        }
        let mut out = self.out.lock();
        if !out.contains_key(&to) {
            if out.len() >= OUT_MOST {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                return;
            }
            let (frames, queue) = sync_channel(WAITING);
            let links = Arc::downgrade(self);
            if thread("peers-out", move || write(&links, to, &queue)).is_err() {
                return;
            }
            out.insert(to, frames);
        }
        if let Some(Err(TrySendError::Full(_))) = out.get(&to).map(|queue| queue.try_send(frame)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn turned_down(&self, from: SocketAddr, bad: FrameError) {
        if let Some(count) = TURNED_DOWN.pass() {
            log::warn!("peers: from {from}: {bad} ({count} so far)");
        }
    }

    fn read_datagrams(&self, udp: &UdpSocket, incoming: &SyncSender<Envelope>) {
        let mut bytes = vec![0; 64 * 1024];
        for turn in 1u32.. {
            match udp.recv_from(&mut bytes) {
                Ok((length, from)) => match self.frames.decode_datagram(&bytes[..length]) {
                    // Whoever does not keep up loses some, as on the way.
                    Ok(said) => _ = incoming.try_send(said),
                    Err(bad) => self.turned_down(from, bad),
                },
                // Nobody listened to what was sent before; nothing that ends the socket comes here.
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
            if turn.is_multiple_of(SLICE) {
                std::thread::yield_now();
            }
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, incoming: &SyncSender<Envelope>) {
        loop {
            let Ok((stream, from)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            if self.coming.fetch_add(1, Ordering::AcqRel) >= IN_MOST {
                self.coming.fetch_sub(1, Ordering::AcqRel);
                continue;
            }
            let (links, into) = (self.clone(), incoming.clone());
            let read = move || {
                links.read(stream, from, &into);
                links.coming.fetch_sub(1, Ordering::AcqRel);
            };
            if thread("peers-in", read).is_err() {
                self.coming.fetch_sub(1, Ordering::AcqRel);
            }
        }
    }

    fn read(&self, mut stream: TcpStream, from: SocketAddr, incoming: &SyncSender<Envelope>) {
        let mut head = [0; HEADER_BYTES];
        loop {
            // A frame may be long in coming; once it has begun it must go on.
            let begun = stream.set_read_timeout(Some(IDLE)).and_then(|()| stream.read_exact(&mut head[..1]));
            let whole = begun
                .and_then(|()| stream.set_read_timeout(Some(STALL)))
                .and_then(|()| stream.read_exact(&mut head[1..]));
            if whole.is_err() {
                return;
            }
            let length = match self.frames.decode_header(&head) {
                Ok(length) => length,
                Err(bad) => return self.turned_down(from, bad),
            };
            let mut body = vec![0; length];
            if stream.read_exact(&mut body).is_err() {
                return;
            }
            match self.frames.decode(&head, &body) {
                // Whoever sends more than is taken waits here, on its own thread.
                Ok(said) => {
                    if incoming.send(said).is_err() {
                        return;
                    }
                }
                Err(bad) => return self.turned_down(from, bad),
            }
        }
    }
}

/// Writes what is queued for one peer; ends when nothing was for a while, or the process does.
fn write(links: &Weak<Links>, to: SocketAddr, queue: &Receiver<Vec<u8>>) {
    let (mut stream, mut wait) = (None::<TcpStream>, BACKOFF.0);
    while let Ok(frame) = queue.recv_timeout(IDLE) {
        let connected = match stream.take() {
            Some(stream) => Ok(stream),
            None => TcpStream::connect_timeout(&to, CONNECT).and_then(|stream| {
                stream.set_nodelay(true)?;
                stream.set_write_timeout(Some(STALL))?;
                Ok(stream)
            }),
        };
        match connected.and_then(|mut stream| stream.write_all(&frame).map(|()| stream)) {
            Ok(open) => (stream, wait) = (Some(open), BACKOFF.0),
            Err(error) => {
                if let Some(count) = BROKEN.pass() {
                    log::info!("peers: to {to}: {error} ({count} so far)");
                }
                std::thread::sleep(wait.mul_f64(0.5 + 0.5 * fastrand::f64()));
                wait = (wait * 2).min(BACKOFF.1);
                // What waited meanwhile is out of date.
                while queue.try_recv().is_ok() {}
            }
        }
    }
    if let Some(links) = links.upgrade() {
        links.out.lock().remove(&to);
    }
}
