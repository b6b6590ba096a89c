//! A process of the program between stubs.

use std::io::Read;
use std::net::TcpStream;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use super::edge_node::{AnswerKind, EdgeConnection, ReceivedAnswer};
use super::executor::{SharedExecutor, serve_executor};
use super::store::{StoreStub, start_store};
use super::{LONG_TIMEOUT, unique_address, wait_until};

/// A process of the program, the stubs around it, and its configuration file.
pub(crate) struct TestBackend {
    pub(crate) host: String,
    pub(crate) kernel: SharedExecutor,
    pub(crate) store: StoreStub,
    pub(crate) child: Child,
    pub(crate) file: std::path::PathBuf,
}

pub(crate) fn write_config(host: &str, text: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("tulipgapd-{host}.json"));
    std::fs::write(&path, text).unwrap();
    path
}

/// Starts the program with a configuration that it refuses; returns its exit status and what it
/// wrote.
pub(crate) fn run_to_refusal(file: &std::path::Path) -> (ExitStatus, String) {
    let mut child = spawn_backend(file);
    let start = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status;
        }
        assert!(start.elapsed() < LONG_TIMEOUT, "it ends by itself");
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

pub(crate) fn spawn_backend(file: &std::path::Path) -> Child {
    spawn_backend_with(file, None)
}

/// Starts the program, with the product's own configuration where one is given.
pub(crate) fn spawn_backend_with(
    file: &std::path::Path,
    settings: Option<&std::path::Path>,
) -> Child {
    let program = env!("CARGO_BIN_EXE_tulipgapd");
    // For measurements: all of its threads on one core, as where it is deployed.
    let mut command = match std::env::var("TULIPGAP_CORE") {
        Ok(core) => {
            let mut command = Command::new("taskset");
            command.args(["-c", &core, program]);
            command
        }
        Err(_) => Command::new(program),
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

/// A backend whose configuration promises more descriptors than the system grants.
pub(crate) fn start_backend_with_descriptor_limit(
    sockets: usize,
    limit: usize,
    settings: &std::path::Path,
) -> TestBackend {
    let host = unique_address();
    let (kernel, store) = (
        serve_executor(SharedExecutor::default(), &host),
        start_store(&host),
    );
    let file = write_config(
        &host,
        &config_json(&host).replace("1024", &sockets.to_string()),
    );
    let mut command = Command::new("sh");
    command.args([
        "-c",
        &format!("ulimit -n {limit}; exec \"$0\" --settings \"$1\""),
    ]);
    command.arg(env!("CARGO_BIN_EXE_tulipgapd")).arg(settings);
    let child = command
        .env("LB_CONFIG", &file)
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let backend = TestBackend {
        host,
        kernel,
        store,
        child,
        file,
    };
    backend.wait_until_serving();
    backend
}

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

pub(crate) fn start_backend() -> TestBackend {
    start_backend_with_sockets(1024)
}

pub(crate) fn start_backend_with_sockets(sockets: usize) -> TestBackend {
    start_backend_with(sockets, None)
}

pub(crate) fn start_backend_with(
    sockets: usize,
    settings: Option<&std::path::Path>,
) -> TestBackend {
    let host = unique_address();
    let (kernel, store) = (
        serve_executor(SharedExecutor::default(), &host),
        start_store(&host),
    );
    let file = write_config(
        &host,
        &config_json(&host).replace("1024", &sockets.to_string()),
    );
    let child = spawn_backend_with(&file, settings);
    let backend = TestBackend {
        host,
        kernel,
        store,
        child,
        file,
    };
    backend.wait_until_serving();
    backend
}

impl TestBackend {
    /// Waits until it is healthy and its answers carry the feedback value.
    pub(crate) fn wait_until_serving(&self) {
        self.wait_until_healthy(|answer| answer.contains(b"signal"));
    }

    /// Waits for a health check that succeeds: a connection alone shows nothing, because requests
    /// are rejected until the executor is up.
    pub(crate) fn wait_until_healthy(&self, is_expected: impl Fn(&ReceivedAnswer) -> bool) {
        wait_until("it serves", || {
            let Ok(stream) = TcpStream::connect((&self.host[..], 6565)) else {
                return false;
            };
            let mut edge = EdgeConnection { stream };
            edge.call(1, "probe", b"\x02\0\x01\x01\0");
            edge.read_answer().is_some_and(|answer| {
                answer.kind == AnswerKind::Answer
                    && is_expected(&answer)
                    && answer.bytes.ends_with(b"\x02\0\x03\x01\0\0")
            })
        });
    }

    pub(crate) fn connect(&self) -> EdgeConnection {
        let stream = TcpStream::connect((&self.host[..], 6565)).unwrap();
        stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
        EdgeConnection { stream }
    }

    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let kill = Command::new("sh")
            .args(["-c", "kill -$1 \"$0\"", &pid, signal])
            .status();
        assert!(kill.unwrap().success());
    }

    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(start.elapsed() < LONG_TIMEOUT, "it ends");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for TestBackend {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Starts a backend whose configuration is changed by these replacements.
pub(crate) fn stand_with_changes(changes: &[(&str, &str)]) -> TestBackend {
    let host = unique_address();
    let (kernel, store) = (
        serve_executor(SharedExecutor::default(), &host),
        start_store(&host),
    );
    let mut configuration = config_json(&host);
    for (from, to) in changes {
        assert!(configuration.contains(from), "{from}");
        configuration = configuration.replace(from, to);
    }
    let file = write_config(&host, &configuration);
    let child = spawn_backend(&file);
    let backend = TestBackend {
        host,
        kernel,
        store,
        child,
        file,
    };
    backend.wait_until_serving();
    backend
}

/// Whether the executor was ever told to run a request.
pub(crate) fn was_run(backend: &TestBackend, id: &str) -> bool {
    let kernel = backend.kernel.lock().unwrap();
    kernel.runs.contains_key(id) || kernel.ends.contains_key(id)
}
