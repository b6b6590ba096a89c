//! The platform: it starts one backend with the command of the deploy file, sends it signals, and
//! watches its memory.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

pub struct Platform {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub listen: SocketAddr,
    pub announce: SocketAddr,
    pub kernel: SocketAddr,
    pub store: SocketAddr,
    pub stop_ms: u64,
    pub memory_mb: u64,
    pub sockets: u64,
    pub settings: String,
    _announce: UdpSocket,
}

pub struct Backend {
    pub child: Child,
}

/// An address that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// The value of a key of the deploy file.
fn deploy_command(root: &Path, key: &str) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let line = text
        .lines()
        .find(|line| line.split('=').next().map(str::trim) == Some(key))
        .expect("the deploy file has the key");
    let value = line.split_once('=').unwrap().1.trim();
    value[1..].split('"').next().unwrap().to_owned()
}

impl Platform {
    pub fn new(root: &Path, folder: &Path, kernel: SocketAddr, store: SocketAddr) -> Platform {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        Platform {
            root: root.to_owned(),
            folder: folder.to_owned(),
            listen: free_address(),
            announce: socket.local_addr().unwrap(),
            kernel,
            store,
            stop_ms: 3200,
            memory_mb: 192,
            sockets: 384,
            settings: String::new(),
            _announce: socket,
        }
    }

    pub fn config_file(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Writes the configuration file, in one step.
    pub fn write_config(&self) {
        let text = format!(
            r#"{{"name":"n3","listen":"{}","kernel":"{}","announce":"{}","store":"{}","seed":"8c1f30d27a5be964",
"stop_ms":{},"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"settings":{}}}"#,
            self.listen,
            self.kernel,
            self.announce,
            self.store,
            self.stop_ms,
            self.memory_mb,
            self.sockets,
            self.settings
        );
        let new = self.folder.join("config.new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, self.config_file()).unwrap();
    }

    pub fn start(&self) -> Backend {
        self.write_config();
        let tmp = self.folder.join("tmp");
        let _ = std::fs::remove_dir_all(&tmp);
        std::fs::create_dir_all(&tmp).unwrap();
        let log = std::fs::File::create(self.folder.join("backend.log")).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(deploy_command(&self.root, "run"))
            .current_dir(&self.root)
            .env("LB_NAME", "n3")
            .env("LB_LISTEN", self.listen.to_string())
            .env("LB_CONFIG", self.config_file())
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Backend { child }
    }
}

impl Backend {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.child.id()))
            .status();
    }

    /// The memory of the process's own, in KB, without the pages of the program's file; `None` if
    /// the process has ended.
    pub fn memory_kb(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with("RssAnon:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn has_ended(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok()??;
        Some(status.code().unwrap_or(-1))
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
