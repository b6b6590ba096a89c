//! For the rig alone, off unless the block `trial` says so: acts under leases told to a witness, and a disk that fails on
//! demand.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use tulipgap_config::TestLease;
use tulipgap_durable::Disk;
use tulipgap_leases::{Name, Shape};

use crate::cluster::Leases;

/// Between two looks whether it may act, and two acts.
const REST: Duration = Duration::from_millis(10);
const WITNESS_WAIT: Duration = Duration::from_secs(30);

/// Wants a lease for ever and acts under it: each act is told to the witness as it begins and as it ends.
pub fn act(leases: &Leases, lease: &TestLease, witness: SocketAddr, me: &Name) {
    let shape = Shape { term: lease.term, places: lease.places };
    let mut link = None;
    loop {
        // Asked for anew each time: an operator may have given it back.
        leases.want(&lease.name, shape, lease.step);
        let Ok(permit) = leases.begin(&lease.name) else {
            std::thread::sleep(REST);
            continue;
        };
        while let Ok(token) = leases.step(&permit) {
            let mut tell =
                |word: &str| tell(&mut link, witness, &format!("{word} {} {token} {me}\n", lease.name));
            if tell("begin").is_err() {
                break;
            }
            std::thread::sleep(lease.step.mul_f64(0.2 + 0.4 * fastrand::f64()));
            if tell("end").is_err() {
                break;
            }
            std::thread::sleep(REST);
        }
        leases.done(permit);
        std::thread::sleep(REST);
    }
}

/// Says a line and waits until it was taken.
fn tell(link: &mut Option<BufReader<TcpStream>>, witness: SocketAddr, line: &str) -> io::Result<()> {
    let mut open = match link.take() {
        Some(open) => open,
        None => {
            let stream = TcpStream::connect(witness)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(WITNESS_WAIT))?;
            BufReader::new(stream)
        }
    };
    open.get_mut().write_all(line.as_bytes())?;
    let mut answer = String::new();
    if open.read_line(&mut answer)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    *link = Some(open);
    if answer.trim() == "taken" { Ok(()) } else { Err(io::Error::other("the token is old")) }
}

/// A disk that is full while a file `full` is in that folder, and whose next sync fails where a file `fails` is.
pub struct Troubled<D> {
    disk: D,
    trouble: Option<PathBuf>,
}

impl<D: Disk> Troubled<D> {
    pub fn new(disk: D, trouble: Option<PathBuf>) -> Self {
        Troubled { disk, trouble }
    }

    fn room(&self) -> io::Result<()> {
        let full = self.trouble.as_deref().is_some_and(|folder| folder.join("full").exists());
        if full { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn synced(&self) -> io::Result<()> {
        let fails = |folder: &Path| std::fs::remove_file(folder.join("fails")).is_ok();
        let failed = self.trouble.as_deref().is_some_and(fails);
        if failed { Err(io::Error::other("the disk does not answer")) } else { Ok(()) }
    }
}

impl<D: Disk> Disk for Troubled<D> {
    fn names(&self) -> io::Result<Vec<String>> {
        self.disk.names()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.disk.read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.room()?;
        self.disk.append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.synced()?;
        self.disk.sync(name)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.room()?;
        self.synced()?;
        self.disk.replace(name, bytes)
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.disk.cut(name, length)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.disk.remove(name)
    }
}
