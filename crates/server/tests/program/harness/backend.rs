//! A process of the program with stubs of its peers.

use std::io::Read;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::MutexGuard;
use std::time::{Duration, Instant};

use super::edge_node::{AnswerKind, EdgeConnection, ReceivedAnswer};
use super::executor::{ExecutorStub, SharedExecutor, serve_executor};
use super::store::{StoreStub, start_store};
use super::{EDGE_PORT, LONG_TIMEOUT, unique_address, wait_until};

/// A process of the program, the stubs of its peers, and its configuration file.
pub(crate) struct TestBackend {
    pub(crate) host: String,
    pub(crate) executor: SharedExecutor,
    pub(crate) store: StoreStub,
    pub(crate) child: Child,
    pub(crate) config_file: PathBuf,
}

/// Writes the configuration file of a backend, and returns its path.
pub(crate) fn write_config(host: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("tulipgapd-{host}.json"));
    std::fs::write(&path, text).unwrap();
    path
}

/// Starts the program with a configuration that it rejects; returns its exit status and its output
/// on standard error.
pub(crate) fn run_until_rejected(file: &Path) -> (ExitStatus, String) {
    let mut child = spawn_program(file);
    let start = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status;
        }
        assert!(
            start.elapsed() < LONG_TIMEOUT,
            "the program did not exit after an invalid configuration"
        );
        std::thread::sleep(Duration::from_millis(5));
    };
    let mut written = String::new();
    child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut written)
        .unwrap();
    (status, written)
}

/// Starts the program with a configuration file and without a settings file.
pub(crate) fn spawn_program(file: &Path) -> Child {
    spawn_program_with_settings(file, None)
}

/// The path of the program: the build of these sources, or the one that `TULIPGAP_PROGRAM` names,
/// such as a build with an injected bug.
fn program_under_test() -> String {
    let built = env!("CARGO_BIN_EXE_tulipgapd");
    std::env::var("TULIPGAP_PROGRAM").unwrap_or_else(|_| built.to_owned())
}

/// Starts the program with a configuration file and, if there is one, the product's settings file.
pub(crate) fn spawn_program_with_settings(file: &Path, settings: Option<&Path>) -> Child {
    let program = program_under_test();
    // Measurements set `TULIPGAP_CORE`, which runs all threads of the program on one core as in the
    // deployment.
    let mut command = match std::env::var("TULIPGAP_CORE") {
        Ok(core) => {
            let mut command = Command::new("taskset");
            command.args(["-c", &core, &program]);
            command
        }
        Err(_) => Command::new(&program),
    };
    if let Some(settings) = settings {
        command.arg("--settings").arg(settings);
    }
    command
        .env("LB_CONFIG", file)
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// The configuration of a backend with one handler, `page`, whose peers listen on its host.
pub(crate) fn config_json(host: &str) -> String {
    let settings = r#"{"classes":[{"name":"page","objective":10000.0,"deadline":20000.0,"worth":1.0,"effect":"pure"}],
        "family_info":{"below":"shared","calls_out":20.0,"share_span":5000.0,"stays_for":100.0,"blowup":4.0,"cores":4,
        "class_calls":[true],"class_skip_worth":[0.5],"halt":"drop","idle":9000.0,"mem_limit_kb":9000.0,"say":"weight",
        "own_stats":["core_use","on_cores","heap_share","links"]},
        "limits":{"max_retry_after":1000.0,"retry_after":true},"tenants":[{"name":"acme","allowance_per_s":40.0}],
        "rules":{"cold_from":0.3,"drain_grace":1000.0,"fall":2000.0,"fall_multiple":4.0,"grace_to_answer":60.0,"warm_up":9000.0}}"#;
    format!(
        r#"{{"name":"n3","listen":"{host}:6565","kernel":"{host}:7300","announce":"{host}:7946","store":"{host}:7700",
        "seed":"8c1f30d27a5be964","stop_ms":4000,"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{settings}}}"#
    )
}

/// The setup of a process of the program: its address, the stubs of its peers and its
/// configuration.
pub(crate) struct BackendSetup {
    pub(crate) host: String,
    pub(crate) executor: SharedExecutor,
    pub(crate) store: StoreStub,
    configuration: String,
    settings: Option<PathBuf>,
}

impl BackendSetup {
    /// A unique address with stubs of an executor and a store that listen there.
    pub(crate) fn new() -> Self {
        let host = unique_address();
        let executor = serve_executor(SharedExecutor::default(), &host);
        let store = start_store(&host);
        BackendSetup::with_peers(host, executor, store)
    }

    /// A setup with stubs that the test has started.
    pub(crate) fn with_peers(host: String, executor: SharedExecutor, store: StoreStub) -> Self {
        let configuration = config_json(&host);
        BackendSetup {
            host,
            executor,
            store,
            configuration,
            settings: None,
        }
    }

    /// Replaces a text of the configuration; panics if the configuration does not contain it.
    pub(crate) fn change(mut self, from: &str, to: &str) -> Self {
        assert!(self.configuration.contains(from), "{from}");
        self.configuration = self.configuration.replace(from, to);
        self
    }

    /// Sets the product's settings file; `None` starts the program without one.
    pub(crate) fn settings(mut self, file: Option<&Path>) -> Self {
        self.settings = file.map(Path::to_owned);
        self
    }

    /// Starts the process without waiting until it serves.
    pub(crate) fn spawn(self) -> TestBackend {
        let settings = self.settings.clone();
        self.spawn_by(|config_file| spawn_program_with_settings(config_file, settings.as_deref()))
    }

    /// Starts the process by calling `spawn` with its configuration file, without waiting until it
    /// serves.
    pub(crate) fn spawn_by(self, spawn: impl FnOnce(&Path) -> Child) -> TestBackend {
        let config_file = write_config(&self.host, &self.configuration);
        let child = spawn(&config_file);
        TestBackend {
            host: self.host,
            executor: self.executor,
            store: self.store,
            child,
            config_file,
        }
    }

    /// Starts the process and waits until it serves.
    pub(crate) fn start(self) -> TestBackend {
        let backend = self.spawn();
        backend.wait_until_serving();
        backend
    }
}

/// Starts a backend with 1,024 descriptors and waits until it serves.
pub(crate) fn start_backend() -> TestBackend {
    start_backend_with_sockets(1024)
}

/// Starts a backend with this limit of descriptors in its configuration.
pub(crate) fn start_backend_with_sockets(sockets: usize) -> TestBackend {
    start_backend_with_settings(sockets, None)
}

/// Starts a backend with this limit of descriptors and the product's settings file.
pub(crate) fn start_backend_with_settings(sockets: usize, settings: Option<&Path>) -> TestBackend {
    BackendSetup::new()
        .change("1024", &sockets.to_string())
        .settings(settings)
        .start()
}

/// Starts a backend whose configuration is changed by these replacements.
pub(crate) fn start_backend_with_changes(changes: &[(&str, &str)]) -> TestBackend {
    changes
        .iter()
        .fold(BackendSetup::new(), |setup, (from, to)| {
            setup.change(from, to)
        })
        .start()
}

/// Starts a backend whose configuration has a higher limit of descriptors than the system grants.
pub(crate) fn start_backend_with_descriptor_limit(
    sockets: usize,
    limit: usize,
    settings: &Path,
) -> TestBackend {
    let backend = BackendSetup::new()
        .change("1024", &sockets.to_string())
        .spawn_by(|config_file| {
            let mut command = Command::new("sh");
            command.args([
                "-c",
                &format!("ulimit -n {limit}; exec \"$0\" --settings \"$1\""),
            ]);
            command.arg(env!("CARGO_BIN_EXE_tulipgapd")).arg(settings);
            command
                .env("LB_CONFIG", config_file)
                .stdin(Stdio::null())
                .stderr(Stdio::piped())
                .spawn()
                .unwrap()
        });
    backend.wait_until_serving();
    backend
}

impl TestBackend {
    /// Waits until the backend is healthy and its answers carry the feedback value.
    pub(crate) fn wait_until_serving(&self) {
        self.wait_until_healthy(|answer| answer.contains(b"signal"));
    }

    /// Waits for a health check that succeeds and whose answer is expected. A connection alone is
    /// not enough, because requests are rejected until the executor is up.
    pub(crate) fn wait_until_healthy(&self, is_expected: impl Fn(&ReceivedAnswer) -> bool) {
        wait_until("the backend serves", || {
            let Ok(stream) = TcpStream::connect((&self.host[..], EDGE_PORT)) else {
                return false;
            };
            let mut edge = EdgeConnection { stream };
            edge.send_call(1, "probe", b"\x02\0\x01\x01\0");
            edge.read_answer().is_some_and(|answer| {
                answer.kind == AnswerKind::Answer
                    && is_expected(&answer)
                    && answer.bytes.ends_with(b"\x02\0\x03\x01\0\0")
            })
        });
    }

    /// Locks the stub of the executor.
    pub(crate) fn executor(&self) -> MutexGuard<'_, ExecutorStub> {
        self.executor.lock().unwrap()
    }

    /// Whether the executor has ever started a run of this request.
    pub(crate) fn was_run(&self, id: &str) -> bool {
        let executor = self.executor();
        executor.runs.contains_key(id) || executor.ends.contains_key(id)
    }

    /// Opens a connection of an edge node.
    pub(crate) fn connect(&self) -> EdgeConnection {
        let stream = TcpStream::connect((&self.host[..], EDGE_PORT)).unwrap();
        stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
        EdgeConnection { stream }
    }

    /// Sends a signal by its short name, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let signal = match name {
            "CONT" => libc::SIGCONT,
            "HUP" => libc::SIGHUP,
            "STOP" => libc::SIGSTOP,
            "TERM" => libc::SIGTERM,
            other => panic!("no signal is named {other}"),
        };
        // Safe: the child has not been waited for, so its process id has not been reused.
        let result = unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
        assert_eq!(result, 0, "{}", std::io::Error::last_os_error());
    }

    /// Reads the log of the process; returns once the process has ended.
    pub(crate) fn read_log(&mut self) -> String {
        let mut log = String::new();
        let mut standard_error = self.child.stderr.take().unwrap();
        standard_error.read_to_string(&mut log).unwrap();
        log
    }

    /// Waits until the process exits.
    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(start.elapsed() < LONG_TIMEOUT, "the program did not exit");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for TestBackend {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
    }
}
