//! Real processes of the program, each link between them led through a relay, faults played on relays and processes, and a
//! witness that sees each act under a lease begin and end. All on addresses of this machine.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tulipgap_membership::MemberState;

use crate::check::{Checker, Pair, Worst};
use crate::plan::{Fault, Left, Plan, Trouble, Wanted};
use crate::witness::{Refused, Witness};

/// Between two looks at the processes.
const LOOK: Duration = Duration::from_millis(20);
/// Between two looks at what each holds of the others; and how long one that is asked may take.
const ASK: Duration = Duration::from_millis(500);
const ASK_WAIT: Duration = Duration::from_millis(400);
/// Ports of each member, on an address of its own.
const SERVES: u16 = 6565;
const KERNEL: u16 = 7300;
/// A part of a stream that is lost comes after so long.
const AGAIN: Duration = Duration::from_millis(200);
/// Waits of relays, so that they see the end.
const WAKE: Duration = Duration::from_millis(200);
/// When the older copy of a folder is made.
const COPY_AT: f64 = 0.5;

#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("{0}: {1}")]
    Io(String, io::Error),
    #[error("{0} ended by itself at {1:.2} s ({2}); its log is {3}")]
    Ended(String, f64, String, String),
}

/// One thing that the witness saw.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub at: Duration,
    pub member: String,
    pub lease: String,
    pub token: u64,
    /// Begin or end.
    pub begins: bool,
    /// Why it was refused, where it was.
    pub refused: Option<String>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunOutcome {
    /// The first promise that was broken.
    pub broken: Option<(Duration, String)>,
    pub acts: u64,
    /// Acts refused for their token, of processes that were stopped, and of others.
    pub refused: u64,
    pub refused_awake: u64,
    /// By lease: tokens seen, and the longest without an act, between the first and the last.
    pub tokens: BTreeMap<String, usize>,
    pub free: BTreeMap<String, Duration>,
    /// The worst of the membership's promises, and whether by the last look all views were right.
    pub worst: Worst,
    pub agree: bool,
    /// Changes of what is held of members that lived and could be reached, to dead.
    pub false_deaths: u64,
    pub history: Vec<Seen>,
}

struct Watch {
    witness: Witness,
    start: Instant,
    /// Stopped or killed, and not heard of since under that lease; and what each does now.
    asleep: BTreeSet<(String, String)>,
    acting: BTreeMap<(String, u64), String>,
    last_end: BTreeMap<String, Duration>,
    tokens: BTreeSet<(String, u64)>,
    out: RunOutcome,
}

type Shared = Arc<Mutex<Watch>>;

fn held(watch: &Shared) -> MutexGuard<'_, Watch> {
    watch.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Watch {
    fn hear(&mut self, line: &str) -> bool {
        let [word, lease, token, member] = line.trim_end().split(' ').collect::<Vec<_>>()[..] else {
            return false;
        };
        let (Ok(token), at) = (token.parse::<u64>(), self.start.elapsed()) else { return false };
        let slept = self.asleep.remove(&(member.to_owned(), lease.to_owned()));
        let key = (lease.to_owned(), token);
        let refused = if word == "begin" {
            let asleep = |((of, _), who): &(&(String, u64), &String)| {
                of == lease && self.asleep.contains(&((*who).clone(), of.clone()))
            };
            let tokens: BTreeSet<u64> =
                self.acting.iter().filter(asleep).map(|((_, token), _)| *token).collect();
            match self.witness.begin(lease, token, &tokens) {
                Ok(()) => {
                    self.acting.insert(key.clone(), member.to_owned());
                    self.out.acts += 1;
                    if self.tokens.insert(key) {
                        *self.out.tokens.entry(lease.to_owned()).or_default() += 1;
                    }
                    if let Some(last) = self.last_end.get(lease) {
                        let free = self.out.free.entry(lease.to_owned()).or_default();
                        *free = at.saturating_sub(*last).max(*free);
                    }
                    None
                }
                Err(Refused::Older) => Some("its token is old".to_owned()),
                Err(Refused::Overlaps(others)) => {
                    let what = format!(
                        "{member} begins an act under {lease} with token {token} while {others:?} act"
                    );
                    if self.out.broken.is_none() {
                        self.out.broken = Some((at, what.clone()));
                    }
                    Some(what)
                }
            }
        } else {
            self.acting.remove(&key);
            self.last_end.insert(lease.to_owned(), at);
            self.witness.end(lease, token).is_err().then(|| "a newer token was seen meanwhile".to_owned())
        };
        if refused.is_some() {
            self.out.refused += 1;
            self.out.refused_awake += u64::from(!slept);
        }
        let taken = refused.is_none();
        let (member, lease) = (member.to_owned(), lease.to_owned());
        self.out.history.push(Seen { at, member, lease, token, begins: word == "begin", refused });
        taken
    }

    fn sleeps(&mut self, member: &str, leases: &[Wanted]) {
        self.asleep.extend(leases.iter().map(|lease| (member.to_owned(), lease.name.clone())));
    }

    fn died(&mut self, member: &str) {
        self.asleep.retain(|(asleep, _)| asleep != member);
        let gone: Vec<(String, u64)> =
            self.acting.iter().filter(|(_, of)| *of == member).map(|(key, _)| key.clone()).collect();
        for key in gone {
            self.witness.gone(&key.0, key.1);
            self.last_end.insert(key.0.clone(), self.start.elapsed());
            self.acting.remove(&key);
        }
    }
}

/// What relays go by.
struct Net {
    plan: Plan,
    names: Vec<(String, String)>,
    start: Instant,
    over: AtomicBool,
}

impl Net {
    fn over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn open(&self, from: usize, to: usize) -> bool {
        self.plan.open(self.now(), &self.names[from], &self.names[to])
    }

    fn worse(&self, from: usize, to: usize) -> (f64, f64, f64) {
        self.plan.worse(self.now(), &self.names[from], &self.names[to])
    }
}

/// A datagram that is to go out later; the soonest first.
struct Late {
    at: Instant,
    to: SocketAddr,
    bytes: Vec<u8>,
}

impl PartialEq for Late {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}
impl Eq for Late {}
impl PartialOrd for Late {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Late {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at)
    }
}

/// Sends what is late once it is due, for all relays.
fn deliver_late(net: &Arc<Net>, socket: UdpSocket) -> Sender<Late> {
    let (late, due) = channel::<Late>();
    let net = net.clone();
    std::thread::spawn(move || {
        let mut heap = BinaryHeap::new();
        while !net.over() {
            let wait =
                heap.peek().map_or(WAKE, |first: &Late| first.at.saturating_duration_since(Instant::now()));
            if let Ok(one) = due.recv_timeout(wait.min(WAKE)) {
                heap.push(one);
            }
            while heap.peek().is_some_and(|first| first.at <= Instant::now()) {
                if let Some(one) = heap.pop() {
                    let _ = socket.send_to(&one.bytes, one.to);
                }
            }
        }
    });
    late
}

fn relay_datagrams(
    net: &Net,
    (from, to): (usize, usize),
    socket: &UdpSocket,
    target: SocketAddr,
    late: &Sender<Late>,
) {
    let mut rng = fastrand::Rng::new();
    let mut bytes = vec![0; 65_536];
    while !net.over() {
        let Ok((length, _)) = socket.recv_from(&mut bytes) else { continue };
        let (delay, loss, twice) = net.worse(from, to);
        if !net.open(from, to) || rng.f64() < loss {
            continue;
        }
        for _ in 0..1 + u32::from(rng.f64() < twice) {
            let at = Instant::now() + Duration::from_secs_f64(delay * (0.5 + rng.f64()));
            let one = Late { at, to: target, bytes: bytes[..length].to_vec() };
            match delay > 0.0 {
                true => _ = late.send(one),
                false => _ = socket.send_to(&one.bytes, one.to),
            }
        }
    }
}

/// One stream, one way; a cut holds its bytes back in silence.
fn relay_stream(
    net: &Net,
    (from, to): (usize, usize),
    mut source: TcpStream,
    target: SocketAddr,
) -> io::Result<()> {
    let mut rng = fastrand::Rng::new();
    let mut sink = TcpStream::connect(target)?;
    sink.set_nodelay(true)?;
    source.set_read_timeout(Some(WAKE))?;
    let mut bytes = vec![0; 16_384];
    while !net.over() {
        let length = match source.read(&mut bytes) {
            Ok(0) => return Ok(()),
            Ok(length) => length,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                continue;
            }
            Err(error) => return Err(error),
        };
        let (delay, loss, _) = net.worse(from, to);
        let lost = if rng.f64() < loss { AGAIN } else { Duration::ZERO };
        std::thread::sleep(Duration::from_secs_f64(delay * (0.5 + rng.f64())) + lost);
        while !net.open(from, to) && !net.over() {
            std::thread::sleep(LOOK);
        }
        sink.write_all(&bytes[..length])?;
    }
    Ok(())
}

fn relay(
    net: &Arc<Net>,
    pair: (usize, usize),
    at: SocketAddr,
    target: SocketAddr,
    late: &Sender<Late>,
) -> io::Result<()> {
    let (socket, listener) = (UdpSocket::bind(at)?, TcpListener::bind(at)?);
    socket.set_read_timeout(Some(WAKE))?;
    let (datagrams, late) = (net.clone(), late.clone());
    std::thread::spawn(move || relay_datagrams(&datagrams, pair, &socket, target, &late));
    listener.set_nonblocking(true)?;
    let net = net.clone();
    std::thread::spawn(move || {
        while !net.over() {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(LOOK);
                continue;
            };
            let net = net.clone();
            let _ = stream.set_nonblocking(false);
            // A link that breaks is opened anew by whoever wants it.
            std::thread::spawn(move || _ = relay_stream(&net, pair, stream, target));
        }
    });
    Ok(())
}

fn watch_at(at: SocketAddr, watch: &Shared, net: &Arc<Net>) -> io::Result<()> {
    let listener = TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    let (watch, net) = (watch.clone(), net.clone());
    std::thread::spawn(move || {
        while !net.over() {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let (watch, _) = (watch.clone(), stream.set_nonblocking(false));
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || {
                let Ok(mut out) = stream.try_clone() else { return };
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    let taken = held(&watch).hear(&line);
                    if out.write_all(if taken { b"taken\n" } else { b"old\n" }).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// Where a member serves reqs, and where it looks for its kernel.
#[derive(Clone, Debug)]
pub struct Serving {
    pub name: String,
    pub listen: SocketAddr,
    pub kernel: SocketAddr,
}

struct Member {
    name: String,
    zone: String,
    region: String,
    address: SocketAddr,
    folder: PathBuf,
    rate: f64,
    child: Option<Child>,
    stopped: bool,
}

/// Plays a plan once with real processes. After the last fault `enough` is asked with what was seen so far; it may end the
/// run before its length. Before the first process is started `begins` is told where each will serve.
pub fn run(
    plan: &Plan,
    program: &Path,
    folder: &Path,
    begins: impl FnOnce(&[Serving]),
    enough: impl Fn(&RunOutcome) -> bool,
) -> Result<RunOutcome, RunError> {
    let names = plan.names();
    let start = Instant::now();
    let watch = Arc::new(Mutex::new(Watch {
        witness: Witness::new(plan),
        start,
        asleep: BTreeSet::new(),
        acting: BTreeMap::new(),
        last_end: BTreeMap::new(),
        tokens: BTreeSet::new(),
        out: RunOutcome::default(),
    }));
    let net = Arc::new(Net { plan: plan.clone(), names: names.clone(), start, over: AtomicBool::new(false) });
    let mut members = Vec::new();
    let ended = play(plan, (program, folder), &net, &watch, &mut members, begins, enough);
    net.over.store(true, Ordering::Relaxed);
    for member in &mut members {
        if let Some(mut child) = member.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    ended?;
    let mut watch = held(&watch);
    Ok(std::mem::take(&mut watch.out))
}

/// An address of this run's own: a second one beside it takes another.
fn host() -> io::Result<(String, UdpSocket)> {
    for _ in 0..200 {
        let host = format!("127.{}.{}", fastrand::u8(200..250), fastrand::u8(1..250));
        if let Ok(claim) = UdpSocket::bind((format!("{host}.1"), 7099)) {
            return Ok((host, claim));
        }
    }
    Err(io::Error::other("no address is free"))
}

fn play(
    plan: &Plan,
    (program, folder): (&Path, &Path),
    net: &Arc<Net>,
    watch: &Shared,
    members: &mut Vec<Member>,
    begins: impl FnOnce(&[Serving]),
    enough: impl Fn(&RunOutcome) -> bool,
) -> Result<(), RunError> {
    let at = |what: &str| {
        let what = what.to_owned();
        move |error: io::Error| RunError::Io(what.clone(), error)
    };
    let (host, _claim) = host().map_err(at("addresses"))?;
    let address = |member: usize, port: u16| -> SocketAddr {
        let text = format!("{host}.{}:{port}", member + 10);
        text.parse().unwrap_or_else(|_| ([127, 0, 0, 1], port).into())
    };
    let witness = address(200, 7000);
    watch_at(witness, watch, net).map_err(at("the witness"))?;
    let late = deliver_late(net, UdpSocket::bind(address(201, 0)).map_err(at("relays"))?);
    fs::create_dir_all(folder).map_err(at("folder"))?;
    fs::write(folder.join("key"), b"of this run alone, and no secret").map_err(at("folder"))?;
    for (member, (name, zone)) in net.names.iter().enumerate() {
        for other in (0..net.names.len()).filter(|&other| other != member) {
            let (relayed, target) = (address(member, 8000 + other as u16), address(other, 7100));
            relay(net, (member, other), relayed, target, &late).map_err(at("relays"))?;
        }
        let rate = plan.faults.iter().find_map(|fault| match fault {
            Fault::Clock { of, rate } if Plan::is(&net.names[member], of) => Some(*rate),
            _ => None,
        });
        let region = plan.members.iter().find(|m| m.zone == *zone).map_or("", |m| m.region.as_str());
        members.push(Member {
            name: name.clone(),
            zone: zone.clone(),
            region: if region.is_empty() { zone.clone() } else { region.to_owned() },
            address: address(member, 7100),
            folder: folder.join(name),
            rate: rate.unwrap_or(1.0),
            child: None,
            stopped: false,
        });
    }
    let ops = operations(plan, &net.names);
    let serving = |(member, (name, _)): (usize, &(String, String))| Serving {
        name: name.clone(),
        listen: address(member, SERVES),
        kernel: address(member, KERNEL),
    };
    begins(&net.names.iter().enumerate().map(serving).collect::<Vec<_>>());
    for member in 0..members.len() {
        told(plan, members, member, &address, witness, folder).map_err(at("configuration"))?;
        spawn(program, folder, &mut members[member]).map_err(at("processes"))?;
    }
    let mut next = 0;
    let mut views = Views::new(plan, members.len());
    while net.now() < plan.length {
        std::thread::sleep(LOOK);
        while let Some((_, member, op)) = ops.get(next).filter(|(due, _, _)| *due <= net.now()) {
            carry_out(op, (program, folder), &mut members[*member], watch, &plan.leases)
                .map_err(at("faults"))?;
            next += 1;
        }
        for member in members.iter_mut() {
            let Some(child) = &mut member.child else { continue };
            if let Some(status) = child.try_wait().map_err(at("processes"))? {
                let log = folder.join(format!("{}.log", member.name)).display().to_string();
                return Err(RunError::Ended(member.name.clone(), net.now(), status.to_string(), log));
            }
        }
        views.look(net, members, watch);
        let watch = held(watch);
        let quiet = next == ops.len() && net.start.elapsed() > plan.quiet_from();
        if watch.out.broken.is_some() || quiet && enough(&watch.out) {
            return Ok(());
        }
    }
    Ok(())
}

/// What each member holds of the others, as it says when it is asked.
struct Views {
    checker: Checker,
    next: Instant,
    held: Vec<Vec<Option<MemberState>>>,
}

impl Views {
    fn new(plan: &Plan, members: usize) -> Self {
        let checker = Checker::new(plan.checks, plan.quiet_from());
        Views { checker, next: Instant::now() + ASK, held: vec![vec![None; members]; members] }
    }

    fn look(&mut self, net: &Net, members: &[Member], watch: &Shared) {
        if Instant::now() < self.next {
            return;
        }
        self.next = Instant::now() + ASK;
        let awake = |member: &Member| member.child.is_some() && !member.stopped;
        let (mut agree, mut false_deaths) = (true, 0);
        for (observer, member) in members.iter().enumerate() {
            if !awake(member) {
                self.checker.anew(observer);
                continue;
            }
            let now = net.start.elapsed();
            let Ok(held) = asked(&member.folder.join("control")) else {
                agree = false;
                continue;
            };
            for (of, other) in members.iter().enumerate().filter(|(of, _)| *of != observer) {
                let state = held.get(&other.name).copied();
                let open = net.open(observer, of) && net.open(of, observer);
                let reachable = awake(other) && open;
                let (dead, names) = (other.child.is_none(), &net.names[..]);
                let before = std::mem::replace(&mut self.held[observer][of], state);
                false_deaths += u64::from(reachable && state == Some(MemberState::Dead) && before != state);
                agree &= if dead {
                    matches!(state, Some(MemberState::Dead | MemberState::Left) | None)
                } else {
                    state == Some(MemberState::Alive)
                };
                self.checker.look(now, &Pair { observer, of, names, held: state, reachable, dead });
            }
        }
        let mut watch = held(watch);
        watch.out.worst = self.checker.worst;
        watch.out.agree = agree;
        watch.out.false_deaths += false_deaths;
        if let (Some(broken), None) = (&self.checker.broken, &watch.out.broken) {
            let what =
                format!("{}: {} of {}, for {:?}", broken.promise, broken.observer, broken.of, broken.span);
            watch.out.broken = Some((broken.at, what));
        }
    }
}

/// What a process says of the others, by name.
fn asked(control: &Path) -> io::Result<BTreeMap<String, MemberState>> {
    let mut stream = std::os::unix::net::UnixStream::connect(control)?;
    stream.set_read_timeout(Some(ASK_WAIT))?;
    stream.write_all(b"{\"do\":\"members\"}\n")?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    let told: serde_json::Value = serde_json::from_str(&line)?;
    let rows = told["members"].as_array().into_iter().flatten();
    let state = |row: &serde_json::Value| {
        let state = match row["state"].as_str()? {
            "alive" => MemberState::Alive,
            "suspect" => MemberState::Suspect,
            "dead" => MemberState::Dead,
            _ => MemberState::Left,
        };
        Some((row["name"].as_str()?.to_owned(), state))
    };
    Ok(rows.filter_map(state).collect())
}

enum Op {
    Kill,
    Start(Left),
    Stop,
    Wake,
    Copy,
    Trouble(Trouble),
    Well,
    Replace(String, String),
}

fn operations(plan: &Plan, names: &[(String, String)]) -> Vec<(f64, usize, Op)> {
    let mut ops: Vec<(f64, usize, Op)> = (0..names.len()).map(|member| (COPY_AT, member, Op::Copy)).collect();
    for fault in &plan.faults {
        let of = |of: &str| -> Vec<usize> { (0..names.len()).filter(|&m| Plan::is(&names[m], of)).collect() };
        match fault {
            Fault::Crash { at, of: who, back, folder } => {
                for member in of(who) {
                    ops.push((*at, member, Op::Kill));
                    ops.extend(back.map(|back| (back, member, Op::Start(*folder))));
                }
            }
            Fault::Stop { at, of: who, back } => {
                for member in of(who) {
                    ops.push((*at, member, Op::Stop));
                    ops.extend(back.map(|back| (back, member, Op::Wake)));
                }
            }
            Fault::Disk { at, of: who, back, what } => {
                for member in of(who) {
                    ops.push((*at, member, Op::Trouble(*what)));
                    ops.extend(back.map(|back| (back, member, Op::Well)));
                }
            }
            Fault::Replace { at, old, new } => {
                for member in of(new) {
                    ops.push((*at, member, Op::Replace(old.clone(), new.clone())));
                }
            }
            Fault::Cut { .. } | Fault::Links { .. } | Fault::Clock { .. } => {}
        }
    }
    ops.sort_by(|a, b| a.0.total_cmp(&b.0));
    ops
}

fn signal(child: &Child, signal: rustix::process::Signal) -> io::Result<()> {
    let pid = rustix::process::Pid::from_child(child);
    Ok(rustix::process::kill_process(pid, signal)?)
}

fn carry_out(
    op: &Op,
    (program, folder): (&Path, &Path),
    member: &mut Member,
    watch: &Shared,
    leases: &[Wanted],
) -> io::Result<()> {
    let (journal, older) = (member.folder.join("journal"), member.folder.join("older"));
    match op {
        Op::Kill => {
            if let Some(mut child) = member.child.take() {
                held(watch).sleeps(&member.name, leases);
                child.kill()?;
                child.wait()?;
                member.stopped = false;
                held(watch).died(&member.name);
            }
        }
        // Where two crashes of one overlap, it is back already.
        Op::Start(_) if member.child.is_some() => {}
        Op::Start(left) => {
            if *left != Left::Kept {
                let _ = fs::remove_dir_all(&journal);
            }
            if *left == Left::Older {
                copy(&older, &journal)?;
            }
            spawn(program, folder, member)?;
        }
        Op::Stop => {
            if let Some(child) = &member.child {
                held(watch).sleeps(&member.name, leases);
                signal(child, rustix::process::Signal::STOP)?;
                member.stopped = true;
            }
        }
        Op::Wake => {
            if let Some(child) = &member.child {
                signal(child, rustix::process::Signal::CONT)?;
                member.stopped = false;
            }
        }
        Op::Copy => copy(&journal, &older)?,
        Op::Trouble(Trouble::Full) => fs::write(member.folder.join("full"), b"")?,
        Op::Trouble(Trouble::Fails) => fs::write(member.folder.join("fails"), b"")?,
        Op::Well => _ = fs::remove_file(member.folder.join("full")),
        Op::Replace(old, new) => {
            let mut control = std::os::unix::net::UnixStream::connect(member.folder.join("control"))?;
            control
                .write_all(format!("{{\"do\":\"replace\",\"old\":{old:?},\"new\":{new:?}}}\n").as_bytes())?;
            let _ = control.read(&mut [0; 256])?;
        }
    }
    Ok(())
}

fn copy(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    let Ok(entries) = fs::read_dir(from) else { return Ok(()) };
    for entry in entries {
        let entry = entry?;
        match fs::copy(entry.path(), to.join(entry.file_name())) {
            // A file may be renamed or removed while its folder is copied.
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
    }
    Ok(())
}

fn spawn(program: &Path, folder: &Path, member: &mut Member) -> io::Result<()> {
    let log =
        fs::OpenOptions::new().create(true).append(true).open(folder.join(format!("{}.log", member.name)))?;
    let child = Command::new(program)
        .arg("--settings")
        .arg(member.folder.join("settings.hcl"))
        .env("LB_CONFIG", member.folder.join("config.json"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()?;
    member.child = Some(child);
    Ok(())
}

/// Writes what a member is told at its start.
fn told(
    plan: &Plan,
    members: &[Member],
    member: usize,
    address: &impl Fn(usize, u16) -> SocketAddr,
    witness: SocketAddr,
    folder: &Path,
) -> io::Result<()> {
    let me = &members[member];
    fs::create_dir_all(&me.folder)?;
    let config = format!(
        r#"{{"name":{:?},"listen":"{}","kernel":"{}","seed":"1","stop_ms":1000,
        "limits":{{"memory_mb":192,"sockets":256}},"settings":{{
        "classes":[{{"name":"page","objective":10000.0,"deadline":20000.0,"worth":1.0,"effect":"side_effect"}}],
        "family_info":{{"below":"shared","calls_out":20.0,"share_span":5000.0,"stays_for":100.0,"blowup":4.0,"cores":4,
        "class_calls":[false],"class_skip_worth":[0.5],"halt":"drop","idle":9000.0,"mem_limit_kb":9000.0,"say":"weight",
        "own_stats":["core_use","on_cores","heap_share","links"]}},
        "limits":{{"max_retry_after":1000.0,"retry_after":true}},"tenants":[{{"name":"acme","allowance_per_s":40.0}}],
        "rules":{{"cold_from":0.3,"drain_grace":100.0,"fall":2000.0,"fall_multiple":4.0,"grace_to_answer":60.0,"warm_up":1000.0}}}}}}"#,
        me.name,
        address(member, SERVES),
        address(member, KERNEL),
    );
    fs::write(me.folder.join("config.json"), config)?;
    let list =
        |texts: Vec<String>| texts.iter().map(|text| format!("{text:?}")).collect::<Vec<_>>().join(", ");
    // One of each zone is enough to find the others by.
    let first = |at: &usize| *at == 0 || members[*at].zone != members[*at - 1].zone;
    let seeds = (0..members.len()).filter(first).map(|at| members[at].address.to_string()).collect();
    let routes = (0..members.len())
        .filter(|&other| other != member)
        .map(|other| format!("{}={}", members[other].address, address(member, 8000 + other as u16)))
        .collect();
    let wanted = |lease: &&Wanted| Plan::is(&(me.name.clone(), me.zone.clone()), &lease.of);
    let leases = (plan.leases.iter().filter(wanted))
        .map(|lease| {
            let ms = |seconds: f64| (seconds * 1000.0).round() as u64;
            format!("{} {} {} {}", lease.name, ms(lease.term), lease.places, ms(lease.step))
        })
        .collect();
    let path = |name: &str| me.folder.join(name).display().to_string();
    let settings = format!(
        "cluster {{\n  name = \"rig\"\n  member = {:?}\n  listen = \"{}\"\n  region = {:?}\n  zone = {:?}\n  key = {:?}\n  seeds = [{}]\n  voters = [{}]\n  folder = {:?}\n  control = {:?}\n  drain {{\n    at_once = 1\n  }}\n  trial {{\n    witness = \"{witness}\"\n    leases = [{}]\n    routes = [{}]\n    clock_rate = {}\n    disk_trouble = {:?}\n  }}\n}}\n",
        me.name,
        me.address,
        me.region,
        me.zone,
        folder.join("key").display().to_string(),
        list(seeds),
        list(plan.voters.clone()),
        path("journal"),
        path("control"),
        list(leases),
        list(routes),
        me.rate,
        me.folder.display().to_string(),
    );
    fs::write(me.folder.join("settings.hcl"), settings)
}
