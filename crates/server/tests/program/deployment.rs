//! Requirements of the fleet test on `build` and `run` in the deploy file, checked without its
//! bench.

use std::collections::BTreeSet;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, Stdio};

use crate::harness::backend::{BackendSetup, TestBackend};
use crate::harness::edge_node::AnswerKind;

/// System calls that the filter refuses, in addition to a clone that does not create a thread.
const REFUSED: [i64; 6] = [
    libc::SYS_clone3,
    libc::SYS_io_uring_setup,
    libc::SYS_io_uring_enter,
    libc::SYS_splice,
    libc::SYS_sendfile,
    libc::SYS_vmsplice,
];

fn deploy_entry(key: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(file).unwrap();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('='));
    line.unwrap_or_else(|| panic!("the deploy file has no {key}"))
        .trim()
        .trim_matches('"')
        .to_owned()
}

/// Installs a system call filter for this program and all programs that the process executes later:
/// refused system calls return ENOSYS.
fn install_system_call_filter() -> std::io::Result<()> {
    let step = |code: u32, jt: u8, jf: u8, k: u32| libc::sock_filter {
        code: code as u16,
        jt,
        jf,
        k,
    };
    let load = |at: u32| step(libc::BPF_LD | libc::BPF_W | libc::BPF_ABS, 0, 0, at);
    let equal =
        |k: u32, jt: u8, jf: u8| step(libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K, jt, jf, k);
    let end = |k: u32| step(libc::BPF_RET | libc::BPF_K, 0, 0, k);
    let no = libc::SECCOMP_RET_ERRNO | libc::ENOSYS as u32;
    let mut steps = vec![load(0)];
    for call in REFUSED {
        steps.extend([equal(call as u32, 0, 1), end(no)]);
    }
    // The first argument of a clone has the flag for a thread.
    steps.extend([equal(libc::SYS_clone as u32, 0, 3), load(16)]);
    steps.push(step(
        libc::BPF_JMP | libc::BPF_JSET | libc::BPF_K,
        1,
        0,
        libc::CLONE_THREAD as u32,
    ));
    steps.extend([end(no), end(libc::SECCOMP_RET_ALLOW)]);
    let program = libc::sock_fprog {
        len: steps.len() as u16,
        filter: steps.as_mut_ptr(),
    };
    // Safe: the steps outlive both calls, which allocate no memory and take no lock.
    let set = unsafe {
        libc::prctl(libc::PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0
            && libc::prctl(libc::PR_SET_SECCOMP, libc::SECCOMP_MODE_FILTER, &program) == 0
    };
    if set {
        Ok(())
    } else {
        Err(std::io::Error::last_os_error())
    }
}

/// Guards against a deployment that starts a second process or enables a feature: the deploy file's
/// `run` starts one program by exec and without a settings file, so recordings, which need a
/// lasting disk, and all other features of that file are off.
#[test]
fn the_run_command_is_one_process_by_exec_with_nothing_enabled() {
    assert_eq!(deploy_entry("run"), "exec target/release/tulipgapd");
    assert!(deploy_entry("build").contains("--release --locked --workspace"));
    assert!(env!("CARGO_BIN_EXE_tulipgapd").ends_with("/tulipgapd"));
}

/// Starts the backend with the deploy file's command, under the system call filter.
fn start_as_deployed() -> TestBackend {
    let run =
        deploy_entry("run").replace("target/release/tulipgapd", env!("CARGO_BIN_EXE_tulipgapd"));
    BackendSetup::new().spawn_by(|config_file| {
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .env("LB_CONFIG", config_file)
            .stdin(Stdio::null())
            .stderr(Stdio::piped());
        // Safe: it makes system calls and allocates one vector, which glibc permits after a fork.
        unsafe { command.pre_exec(install_system_call_filter) }
            .spawn()
            .unwrap()
    })
}

/// Asserts that the program has replaced the shell, is linked dynamically, and has neither a child
/// process nor an open file.
fn assert_single_process(backend: &TestBackend) {
    let proc_path = |what: &str| format!("/proc/{}/{what}", backend.child.id());
    let maps = std::fs::read_to_string(proc_path("maps")).unwrap();
    assert!(
        maps.contains("/tulipgapd") && maps.contains("/libc.so"),
        "{maps}"
    );
    let threads = std::fs::read_dir(proc_path("task"))
        .unwrap()
        .map(|thread| thread.unwrap().path());
    let children: Vec<_> = threads
        .filter_map(|thread| std::fs::read_to_string(thread.join("children")).ok())
        .collect();
    assert!(
        children.iter().all(|children| children.is_empty()),
        "{children:?}"
    );
    let links = std::fs::read_dir(proc_path("fd"))
        .unwrap()
        .filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok());
    let known = [
        "socket:",
        "pipe:",
        "anon_inode:[eventpoll]",
        "anon_inode:[eventfd]",
        "/dev/null",
    ];
    let others: BTreeSet<_> = links
        .filter(|link| {
            !known
                .iter()
                .any(|known| link.to_string_lossy().starts_with(known))
        })
        .collect();
    // Standard output is inherited from the test.
    let test_output = std::fs::read_link("/proc/self/fd/1").unwrap();
    assert!(
        others.iter().all(|other| *other == test_output),
        "{others:?}"
    );
}

/// Asserts that the program listens on one address only and runs no part of a cluster: it has no
/// thread of one, and no datagram socket except the one for its reports.
fn assert_nothing_else_listens(backend: &TestBackend) {
    let proc_path = |what: &str| format!("/proc/{}/{what}", backend.child.id());
    let inodes: BTreeSet<String> = std::fs::read_dir(proc_path("fd"))
        .unwrap()
        .filter_map(|fd| {
            std::fs::read_link(fd.ok()?.path())
                .ok()?
                .to_str()
                .map(str::to_owned)
        })
        .filter_map(|link| Some(link.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
        .collect();
    let count_own_sockets = |table: &str, state: Option<&str>| {
        let text = std::fs::read_to_string(proc_path(table)).unwrap();
        let lines = text
            .lines()
            .skip(1)
            .map(|line| line.split_whitespace().collect::<Vec<_>>());
        lines
            .filter(|row| inodes.contains(row[9]) && state.is_none_or(|state| row[3] == state))
            .count()
    };
    assert_eq!(
        count_own_sockets("net/tcp", Some("0A")) + count_own_sockets("net/tcp6", Some("0A")),
        1,
        "listening sockets"
    );
    assert!(
        count_own_sockets("net/udp", None) + count_own_sockets("net/udp6", None) <= 1,
        "only the socket for reports"
    );
    for thread in std::fs::read_dir(proc_path("task")).unwrap() {
        let name = std::fs::read_to_string(thread.unwrap().path().join("comm")).unwrap_or_default();
        let cluster_threads = ["cluster", "peers", "voter", "control", "trial"];
        assert!(
            !cluster_threads.iter().any(|word| name.starts_with(word)),
            "{name}"
        );
    }
}

/// Guards against a build that fails only in the fleet test, which refuses some system calls and
/// child processes. The backend, started with the deploy file's command, must serve under that
/// filter as one process with one listening socket and without a cluster.
#[test]
fn the_backend_serves_as_one_process_under_the_system_call_filter() {
    let mut backend = start_as_deployed();
    backend.wait_until_serving();
    let mut edge = backend.connect();
    edge.send_request(1, "0000000000000f01", b"run");
    edge.expect_answer(1, AnswerKind::Answer);
    edge.send_request(2, "0000000000000f02", b"call");
    assert!(
        edge.expect_answer(2, AnswerKind::Answer)
            .contains(b"richer")
    );
    backend.signal("HUP");
    edge.send_request(3, "0000000000000f03", b"run");
    edge.expect_answer(3, AnswerKind::Answer);

    assert_single_process(&backend);
    assert_nothing_else_listens(&backend);

    backend.signal("TERM");
    drop(edge);
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}
