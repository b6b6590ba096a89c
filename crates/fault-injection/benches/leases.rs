//! Measures grants and renewals per second with real disks. Each voter runs on a separate thread
//! with its own directory, messages pass through channels, and each client waits for its response
//! before it sends the next request. Run with `cargo bench -p tulipgap-fault-injection`.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tulipgap_consensus::{Action, Config, DurableVoter, Event};
use tulipgap_leases::{Command, Incarnation, Name, Owner, RequestId, Response};
use tulipgap_write_ahead_log::{Directory, Disk};

const RUN: Duration = Duration::from_secs(4);
const TTL: Duration = Duration::from_secs(60);
/// The maximum time for which a voter waits for events, and the interval of its timer.
const TIMER_INTERVAL: Duration = Duration::from_millis(50);
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(10);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of events that a voter handles in one batch, not counting the first.
const MAX_BATCH: usize = 256;

/// The number of syncs and written bytes of all voters.
#[derive(Default)]
struct Counters {
    syncs: AtomicU64,
    written_bytes: AtomicU64,
}

/// A directory that counts syncs and written bytes.
struct CountingDisk {
    disk: Directory,
    counters: Arc<Counters>,
}

impl Disk for CountingDisk {
    fn list(&self) -> std::io::Result<Vec<String>> {
        self.disk.list()
    }
    fn read(&self, name: &str) -> std::io::Result<Vec<u8>> {
        self.disk.read(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.counters
            .written_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.disk.append(name, bytes)
    }
    fn sync(&mut self, name: &str) -> std::io::Result<()> {
        self.counters.syncs.fetch_add(1, Ordering::Relaxed);
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

/// A message to a client, which is identified by its number.
enum ClientMessage {
    Response { client: usize, response: Response },
    NotLeader { client: usize },
}

/// The state that all voters of a measurement share.
struct Cluster {
    voters: HashMap<Name, Sender<Event>>,
    clients: Sender<ClientMessage>,
    leader: Mutex<Option<Name>>,
    is_over: AtomicBool,
    counters: Arc<Counters>,
}

impl Cluster {
    fn propose(&self, leader: &Name, client: usize) -> Instant {
        let owner = Owner {
            name: format!("a{client}").into(),
            incarnation: Incarnation(1),
        };
        let lease = format!("l{client}").into();
        let command = Command::Acquire {
            lease,
            owner,
            ttl: TTL,
            capacity: 1,
            wait: true,
        };
        let request = RequestId(client as u64);
        let _ = self.voters[leader].send(Event::Propose {
            from: "bench".into(),
            request,
            command,
        });
        Instant::now()
    }

    fn wait_for_leader(&self) -> Name {
        loop {
            if let Some(leader) = self.leader.lock().unwrap().clone() {
                return leader;
            }
            thread::sleep(LEADER_POLL_INTERVAL);
        }
    }

    fn perform(&self, voter: &Name, action: Action) {
        match action {
            Action::Send { to, message } => {
                let _ = self.voters[&to].send(Event::PeerMessage {
                    from: voter.clone(),
                    message,
                });
            }
            Action::Respond {
                request, response, ..
            } => {
                let client = request.0 as usize;
                let _ = self
                    .clients
                    .send(ClientMessage::Response { client, response });
            }
            Action::RejectNotLeader { request, .. } => {
                let _ = self.clients.send(ClientMessage::NotLeader {
                    client: request.0 as usize,
                });
            }
            _ => {}
        }
    }
}

/// Runs one voter until the measurement is over.
fn run_voter(
    mut voter: DurableVoter<CountingDisk>,
    name: &Name,
    events: &Receiver<Event>,
    cluster: &Cluster,
) {
    let start = Instant::now();
    let mut timer = Duration::ZERO;
    while !cluster.is_over.load(Ordering::Relaxed) {
        let wait = timer.saturating_sub(start.elapsed()).min(TIMER_INTERVAL);
        let mut batch = match events.recv_timeout(wait) {
            Ok(event) => vec![event],
            Err(RecvTimeoutError::Timeout) => Vec::new(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        batch.extend(events.try_iter().take(MAX_BATCH));
        if start.elapsed() >= timer {
            timer = start.elapsed() + TIMER_INTERVAL;
            batch.push(Event::TimerElapsed);
        }
        let (actions, result) = voter.handle_events(start.elapsed(), batch);
        result.expect("the disk works");
        if voter.voter().is_leader() {
            *cluster.leader.lock().unwrap() = Some(name.clone());
        }
        for action in actions {
            match action {
                Action::SetTimer { at } => timer = timer.min(at),
                action => cluster.perform(name, action),
            }
        }
    }
}

fn start_cluster(voters: usize, directory: &Path) -> (Arc<Cluster>, Receiver<ClientMessage>) {
    let names: Vec<Name> = (0..voters)
        .map(|voter| format!("v{voter}").into())
        .collect();
    let (senders, receivers): (Vec<_>, Vec<_>) = (0..voters).map(|_| channel::<Event>()).unzip();
    let (clients, messages) = channel();
    let cluster = Arc::new(Cluster {
        voters: names.iter().cloned().zip(senders).collect(),
        clients,
        leader: Mutex::new(None),
        is_over: AtomicBool::new(false),
        counters: Arc::default(),
    });
    for ((index, name), events) in names.iter().enumerate().zip(receivers) {
        let disk = Directory::open(&directory.join(&**name)).unwrap();
        let disk = CountingDisk {
            disk,
            counters: cluster.counters.clone(),
        };
        let seed = index as u64 + 1;
        let voter = DurableVoter::open(Config::default(), name, names.clone(), disk, seed).unwrap();
        let (name, cluster) = (name.clone(), cluster.clone());
        thread::spawn(move || run_voter(voter, &name, &events, &cluster));
    }
    (cluster, messages)
}

/// Makes each client acquire and renew a separate lease, and prints the rate, latencies and costs.
fn measure(voters: usize, clients: usize) {
    let directory = tempfile::tempdir().unwrap();
    let (cluster, messages) = start_cluster(voters, directory.path());
    let leader = cluster.wait_for_leader();
    let syncs_before = cluster.counters.syncs.load(Ordering::Relaxed);
    let bytes_before = cluster.counters.written_bytes.load(Ordering::Relaxed);
    let mut latencies = Histogram::<u64>::new(3).unwrap();
    let mut sent: Vec<Instant> = (0..clients)
        .map(|client| cluster.propose(&leader, client))
        .collect();
    let (start, mut responses) = (Instant::now(), 0u64);
    while start.elapsed() < RUN {
        match messages.recv_timeout(RESPONSE_TIMEOUT) {
            Ok(ClientMessage::Response { client, response }) => {
                assert!(matches!(response, Response::Granted { .. }));
                latencies
                    .record(sent[client].elapsed().as_micros() as u64)
                    .unwrap();
                responses += 1;
                sent[client] = cluster.propose(&leader, client);
            }
            Ok(ClientMessage::NotLeader { client }) => {
                sent[client] = cluster.propose(&leader, client)
            }
            Err(_) => {}
        }
    }
    let elapsed = start.elapsed().as_secs_f64();
    let per_response = |count: u64| count as f64 / responses as f64;
    println!(
        "{voters} voters, {clients} clients: {:.0} grants and renewals a second; p50 {} us, p99 {} us, worst {} us; {:.3} syncs and {:.0} bytes each, over all voters",
        responses as f64 / elapsed,
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        latencies.max(),
        per_response(cluster.counters.syncs.load(Ordering::Relaxed) - syncs_before),
        per_response(cluster.counters.written_bytes.load(Ordering::Relaxed) - bytes_before),
    );
    cluster.is_over.store(true, Ordering::Relaxed);
}

fn main() {
    for voters in [3, 5] {
        for clients in [1, 30, 300] {
            measure(voters, clients);
        }
    }
    measure(3, 10_000);
}
