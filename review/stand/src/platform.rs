//! The platform: it writes the configuration, starts a backend with the `run` command of the deploy
//! file, and signals it.

use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::record::Record;

/// The `run` command of the deploy file of the repository at `root`.
pub fn run_command(root: &Path) -> Option<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text.lines().find(|line| line.starts_with("run"))?;
    let value = line.split_once('=')?.1.trim();
    Some(value.trim_matches('"').to_owned())
}

/// An address with a port that is free now.
pub fn free_address(host: &str) -> std::io::Result<SocketAddr> {
    TcpListener::bind((host, 0))?.local_addr()
}

/// Starts an announce service, which takes reports. Returns its address.
pub fn start_announce_service(host: &str) -> std::io::Result<SocketAddr> {
    let socket = UdpSocket::bind((host, 0))?;
    let address = socket.local_addr()?;
    std::thread::spawn(move || {
        let mut report = [0; 512];
        while socket.recv(&mut report).is_ok() {}
    });
    Ok(address)
}

/// The processes that the case has started and not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills every process that the case has started.
pub fn kill_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -KILL {id}"))
            .status();
    }
}

pub struct Backend {
    /// Kills the backend when this process ends in any way: it reads from a pipe of this process.
    watchdog: Child,
    pub child: Child,
    pub listen: SocketAddr,
    pub config: PathBuf,
    record: Record,
}

/// What a configuration file holds.
#[derive(Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub kernel: SocketAddr,
    pub store: SocketAddr,
    pub announce: SocketAddr,
    pub stop_ms: u64,
    pub memory_mb: u32,
    pub sockets: u32,
    pub settings: String,
}

impl Config {
    pub fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"kernel\":\"{}\",\"announce\":\"{}\",\"store\":\"{}\",\
             \"seed\":\"8c1f30d27a5be964\",\"stop_ms\":{},\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
             \"settings\":{}}}",
            self.name,
            self.listen,
            self.kernel,
            self.announce,
            self.store,
            self.stop_ms,
            self.memory_mb,
            self.sockets,
            self.settings
        )
    }
}

impl Backend {
    /// Starts a backend in the folder `root`, with its file and its log in `folder`.
    pub fn start(
        root: &Path,
        folder: &Path,
        config: &Config,
        record: &Record,
    ) -> std::io::Result<Self> {
        let command = run_command(root).ok_or(std::io::ErrorKind::NotFound)?;
        let path = folder.join(format!("{}.json", config.name));
        std::fs::write(&path, config.json())?;
        let private = folder.join("tmp");
        std::fs::create_dir_all(&private)?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", config.name)))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&command)
            .current_dir(root)
            .env("LB_CONFIG", &path)
            .env("LB_NAME", &config.name)
            .env("LB_LISTEN", config.listen.to_string())
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        let watchdog = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("read end; kill -KILL {}", child.id()))
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        record.line(format!("backend {} started", config.name));
        Ok(Backend {
            watchdog,
            child,
            listen: config.listen,
            config: path,
            record: record.clone(),
        })
    }

    /// Waits until a connection is accepted.
    pub fn wait_until_listening(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if TcpStream::connect_timeout(&self.listen, Duration::from_millis(200)).is_ok() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        self.record.line(format!("backend signal {name}"));
        let _ = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.child.id()))
            .status();
    }

    pub fn exit(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        let _ = self.watchdog.kill();
        let _ = self.watchdog.wait();
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }
}
