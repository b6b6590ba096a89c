//! Grants and renewals a second with real disks: each voter on a thread of its own with a folder, messages by channels; askers
//! that each wait for their answer before they ask again. `cargo bench -p tulipgap-fault-injection`.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tulipgap_consensus::{Action, Config, DurableVoter, Event};
use tulipgap_leases::{Command, Incarnation, Name, Owner, RequestId, Response};
use tulipgap_write_ahead_log::{Directory, Disk};

const RUN: Duration = Duration::from_secs(4);

/// Counts syncs and bytes.
struct Counted {
    disk: Directory,
    syncs: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl Disk for Counted {
    fn list(&self) -> std::io::Result<Vec<String>> {
        self.disk.list()
    }
    fn read(&self, name: &str) -> std::io::Result<Vec<u8>> {
        self.disk.read(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.disk.append(name, bytes)
    }
    fn sync(&mut self, name: &str) -> std::io::Result<()> {
        self.syncs.fetch_add(1, Ordering::Relaxed);
        self.disk.sync(name)
    }
    fn replace(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.disk.replace(name, bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> std::io::Result<()> {
        self.disk.truncate(name, length)
    }
    fn remove(&mut self, name: &str) -> std::io::Result<()> {
        self.disk.remove(name)
    }
}

enum Note {
    Answered(usize, Response),
    NotLeading(usize),
}

fn seat(
    mut seat: DurableVoter<Counted>,
    me: Name,
    events: Receiver<Event>,
    others: Arc<HashMap<Name, Sender<Event>>>,
    notes: Sender<Note>,
    leader: Arc<Mutex<Option<Name>>>,
    over: Arc<AtomicBool>,
) {
    let start = Instant::now();
    let mut alarm = Duration::ZERO;
    while !over.load(Ordering::Relaxed) {
        let wait = alarm.saturating_sub(start.elapsed()).min(Duration::from_millis(50));
        let mut batch = match events.recv_timeout(wait) {
            Ok(event) => vec![event],
            Err(RecvTimeoutError::Timeout) => Vec::new(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        batch.extend(events.try_iter().take(256));
        if start.elapsed() >= alarm {
            alarm = start.elapsed() + Duration::from_millis(50);
            batch.push(Event::TimerElapsed);
        }
        let (said, done) = seat.handle_events(start.elapsed(), batch);
        done.expect("the disk holds");
        if seat.voter().is_leader() {
            *leader.lock().unwrap() = Some(me.clone());
        }
        for action in said {
            match action {
                Action::Send { to, message } => {
                    let _ = others[&to].send(Event::PeerMessage { from: me.clone(), message });
                }
                Action::Respond { request: ask, response: answer, .. } => {
                    _ = notes.send(Note::Answered(ask.0 as usize, answer))
                }
                Action::RejectNotLeader { request: ask, .. } => {
                    _ = notes.send(Note::NotLeading(ask.0 as usize))
                }
                Action::SetTimer { at } => alarm = alarm.min(at),
                _ => {}
            }
        }
    }
}

fn measure(voters: usize, askers: usize) {
    let folder = tempfile::tempdir().unwrap();
    let names: Vec<Name> = (0..voters).map(|at| format!("v{at}").into()).collect();
    let (syncs, bytes, over) =
        (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let (senders, receivers): (Vec<_>, Vec<_>) = (0..voters).map(|_| channel::<Event>()).unzip();
    let others: Arc<HashMap<Name, Sender<Event>>> = Arc::new(names.iter().cloned().zip(senders).collect());
    let (notes, told) = channel();
    let leader = Arc::new(Mutex::new(None));
    for (at, events) in receivers.into_iter().enumerate() {
        let disk = Directory::open(&folder.path().join(&*names[at])).unwrap();
        let disk = Counted { disk, syncs: syncs.clone(), bytes: bytes.clone() };
        let taken =
            DurableVoter::open(Config::default(), &names[at], names.clone(), disk, at as u64 + 1).unwrap();
        let (me, others, notes, leader, over) =
            (names[at].clone(), others.clone(), notes.clone(), leader.clone(), over.clone());
        std::thread::spawn(move || seat(taken, me, events, others, notes, leader, over));
    }
    let leads = loop {
        if let Some(leads) = leader.lock().unwrap().clone() {
            break leads;
        }
        std::thread::sleep(Duration::from_millis(10));
    };
    let ask = |asker: usize| {
        let owner = Owner { name: format!("a{asker}").into(), incarnation: Incarnation(1) };
        let (lease, ttl) = (format!("l{asker}").into(), Duration::from_secs(60));
        let command = Command::Acquire { lease, owner, ttl, capacity: 1, wait: true };
        let _ = others[&leads].send(Event::Propose {
            from: "bench".into(),
            request: RequestId(asker as u64),
            command,
        });
        Instant::now()
    };
    let (syncs_before, bytes_before) = (syncs.load(Ordering::Relaxed), bytes.load(Ordering::Relaxed));
    let mut spans = Histogram::<u64>::new(3).unwrap();
    let mut sent: Vec<Instant> = (0..askers).map(ask).collect();
    let (start, mut answers) = (Instant::now(), 0u64);
    while start.elapsed() < RUN {
        match told.recv_timeout(Duration::from_secs(1)) {
            Ok(Note::Answered(asker, answer)) => {
                assert!(matches!(answer, Response::Granted { .. }));
                spans.record(sent[asker].elapsed().as_micros() as u64).unwrap();
                answers += 1;
                sent[asker] = ask(asker);
            }
            Ok(Note::NotLeading(asker)) => sent[asker] = ask(asker),
            Err(_) => {}
        }
    }
    let elapsed = start.elapsed().as_secs_f64();
    let per = |count: u64| count as f64 / answers as f64;
    println!(
        "{voters} voters, {askers} askers: {:.0} grants and renewals a second; p50 {} us, p99 {} us, worst {} us; {:.3} syncs and {:.0} bytes each, over all voters",
        answers as f64 / elapsed,
        spans.value_at_quantile(0.5),
        spans.value_at_quantile(0.99),
        spans.max(),
        per(syncs.load(Ordering::Relaxed) - syncs_before),
        per(bytes.load(Ordering::Relaxed) - bytes_before),
    );
    over.store(true, Ordering::Relaxed);
}

fn main() {
    for voters in [3, 5] {
        for askers in [1, 30, 300] {
            measure(voters, askers);
        }
    }
    // Each its own lease.
    measure(3, 10_000);
}
