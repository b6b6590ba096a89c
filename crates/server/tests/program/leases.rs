//! Leases between real processes. Every link passes through a proxy; faults are injected into
//! links, processes, clocks and disks; a history checker receives each operation under a lease. The
//! runs check safety at every step, and the tests wait for progress.

use std::cell::{Cell, RefCell};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpStream, UdpSocket};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Command, Stdio};

use serde_json::Value;
use tulipgap_fault_injection::{RunOutcome, run};

use crate::harness::backend::{BackendSetup, TestBackend, config_json, write_config};
use crate::harness::edge_node::AnswerKind;
use crate::harness::executor::{SharedExecutor, serve_executor};
use crate::harness::lease_runs::{plan, program, run_until_operations_resume};
use crate::harness::store::{StoreStub, start_store};
use crate::harness::{unique_address, wait_until};

/// Guards against an operation that takes effect after its lease was granted to another member:
/// each member in turn is paused for longer than the TTL during an operation. No more operations
/// may overlap than the lease has capacity for, except that a newer token may fence off the
/// operation of the paused owner. Lease `one` must be granted again, and operations must resume. A
/// pause is longer than the 8 s within which a lease has an owner again (docs/design-leases.md),
/// and no two voters are paused at the same time.
#[test]
fn an_owner_paused_during_an_operation_violates_no_invariant() {
    const PAUSE_SECONDS: u32 = 9;
    let pause = |of: &str, at: u32| {
        let back = at + PAUSE_SECONDS;
        format!("stop {{\n at = {at}\n of = \"{of}\"\n back = {back}\n}}\n")
    };
    let all: String = ["a-1", "a-2", "b-1", "b-2", "c-1"]
        .iter()
        .zip([4, 9, 14, 19, 24])
        .map(|(of, at)| pause(of, at))
        .collect();
    let outcome = run_until_operations_resume("stopped", &all);
    assert!(
        outcome.tokens["one"] >= 2,
        "the lease was granted to another member: {:?}",
        outcome.tokens
    );
}

/// Guards against leases that stay with members that nobody can reach: lease holders and the leader
/// of the voters are partitioned, in one direction or in both, and one member is killed, while
/// links lose messages. Leases must be granted to reachable members.
#[test]
fn leases_move_to_reachable_members_after_partitions_and_a_crash() {
    let cut = |of: &str, at: u32, one_way: bool| {
        let to = at + 5;
        format!(
            "cut {{\n from = {at}\n to = {to}\n between = [\"{of}\", \"\"]\n one_way = {one_way}\n}}\n"
        )
    };
    let cuts = cut("a-1", 3, false) + &cut("b-1", 9, true) + &cut("c-1", 15, false);
    run_until_operations_resume(
        "cut off",
        &(cuts
            + "crash {\n at = 12\n of = \"a-2\"\n back = 13\n}\nlinks {\n from = 3\n to = 20\n loss = 0.1\n delay_ms = 20\n twice = 0.1\n}\n"),
    );
}

/// Guards against voters that forget a grant when they are killed: first all voters are killed at
/// the same time, then two of three. The grants are on their disks, so after the restarts leases
/// are held again, and the history checker finds no two holders and no token older than a previous
/// one.
#[test]
fn leases_survive_killed_voters_and_a_lost_quorum() {
    let kill = |of: &str, at: u32, back: u32| {
        format!("crash {{\n at = {at}\n of = \"{of}\"\n back = {back}\n}}\n")
    };
    let all = ["a-1", "b-1", "c-1"].map(|of| kill(of, 4, 5)).concat();
    run_until_operations_resume("killed", &(all + &kill("a-1", 9, 15) + &kill("b-1", 9, 16)));
}

/// Guards against two holders of a lease of capacity one, and against leases that stay without an
/// owner: clocks run 5% fast and slow, a disk is full, a sync fails, and a voter loses its
/// directory and is replaced. Operations must resume after the last fault.
#[test]
fn leases_survive_disk_faults_clock_drift_and_a_lost_directory() {
    let text = r#"
        clock {
          of = "a-2"
          rate = 1.05
        }
        clock {
          of = "b-1"
          rate = 0.95
        }
        disk {
          at = 3
          of = "a-1"
          back = 6
          what = "full"
        }
        crash {
          at = 6.5
          of = "a-1"
          back = 7
        }
        disk {
          at = 10
          of = "b-1"
          back = 11
          what = "fails"
        }
        crash {
          at = 13
          of = "b-1"
          back = 13.5
        }
        crash {
          at = 16
          of = "c-1"
          back = 16.5
          folder = "emptied"
        }
        replace {
          at = 19
          old = "c-1"
          new = "c-1"
        }
        crash {
          at = 23
          of = "a-1"
          back = 25
        }
    "#;
    run_until_operations_resume("disks and clocks", text);
}

/// Sends one command to a control socket and returns the response.
fn send_control_command(socket: &Path, request: &str) -> Value {
    let mut stream = UnixStream::connect(socket).unwrap();
    stream.write_all(format!("{request}\n").as_bytes()).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    serde_json::from_str(&line).unwrap()
}

/// Sends a revocation with a token that nobody holds, which is rejected, and then transfers the
/// lease. Returns the new owner and the previous token, or `None` while the voters have no leader.
fn transfer_lease(socket: &Path, held: &Value) -> Option<(&'static str, Value)> {
    let stale = r#"{"do":"revoke","lease":"one","token":999}"#;
    let rejected = send_control_command(socket, stale);
    let error = rejected["error"].as_str().unwrap();
    // While the voters have no leader, the caller tries again later.
    if error.contains("no voter") {
        return None;
    }
    assert!(error.contains("nobody holds it"), "{rejected}");
    assert!(send_control_command(socket, r#"{"do":"hop"}"#)["error"].is_string());
    let to = if held["by"] == "b-2" { "c-1" } else { "b-2" };
    let token = &held["token"];
    // The caller checks for the new owner instead of the response: a response may be lost, and the
    // command is then sent twice.
    send_control_command(
        socket,
        &format!(r#"{{"do":"transfer","lease":"one","token":{token},"to":"{to}"}}"#),
    );
    Some((to, token.clone()))
}

/// Guards against operator commands that change the wrong lease or have no effect: operators list
/// leases and members, transfer a lease, acquire and release one, and drain members of a zone one
/// at a time. A command with a token that nobody holds is rejected and changes nothing.
#[test]
fn operators_list_transfer_and_release_leases() {
    let (plan, folder) = (plan(""), tempfile::tempdir().unwrap());
    let at = |member: &str| folder.path().join(member).join("control");
    let has_drain_lease = |member: &str| {
        let own = send_control_command(&at(member), r#"{"do":"own"}"#);
        let rows = own["wanted"].as_array().unwrap();
        rows.iter()
            .any(|row| row["lease"].as_str().unwrap().starts_with("drain/") && row["held"] == true)
    };
    let socket = at("a-1");
    let step = Cell::new(0);
    let before = RefCell::new(Value::Null);
    let is_finished = |out: &RunOutcome| {
        if out.operations < 5 {
            return false;
        }
        let listing = send_control_command(&socket, r#"{"do":"leases","lease":"one"}"#);
        let held = listing["leases"][0]["held"][0].clone();
        match step.get() {
            0 if held["token"].is_u64() => {
                let Some((to, token)) = transfer_lease(&socket, &held) else {
                    return false;
                };
                *before.borrow_mut() = serde_json::json!([to, token]);
                step.set(1);
            }
            1 if held["by"] == before.borrow()[0] => {
                assert!(
                    held["token"].as_u64() > before.borrow()[1].as_u64(),
                    "tokens only grow"
                );
                let taken = send_control_command(
                    &socket,
                    r#"{"do":"take","lease":"mine","term_ms":2000,"places":1}"#,
                );
                assert_eq!(taken["wanted"], true, "{taken}");
                step.set(2);
            }
            2 => {
                let own = send_control_command(&socket, r#"{"do":"own"}"#);
                let mine = own["wanted"]
                    .as_array()
                    .unwrap()
                    .iter()
                    .find(|row| row["lease"] == "mine")
                    .cloned();
                if mine.is_some_and(|mine| mine["held"] == true) {
                    send_control_command(&socket, r#"{"do":"release","lease":"mine"}"#);
                    step.set(3);
                }
            }
            3 => {
                let listing = send_control_command(&socket, r#"{"do":"leases","lease":"mine"}"#);
                if listing["leases"].as_array().is_some_and(Vec::is_empty) {
                    let members = send_control_command(&socket, r#"{"do":"members"}"#);
                    assert_eq!(members["members"].as_array().unwrap().len(), 5, "{members}");
                    assert_eq!(
                        send_control_command(&socket, r#"{"do":"drain"}"#)["lease"],
                        "drain/a"
                    );
                    step.set(4);
                }
            }
            // One member of a zone drains at a time, members of other zones do not wait for it, and
            // the waiting member of the zone is next.
            4 if has_drain_lease("a-1") => {
                send_control_command(&at("a-2"), r#"{"do":"drain"}"#);
                send_control_command(&at("c-1"), r#"{"do":"drain"}"#);
                step.set(5);
            }
            5 if has_drain_lease("c-1") => {
                assert!(has_drain_lease("a-1") && !has_drain_lease("a-2"));
                send_control_command(&socket, r#"{"do":"release","lease":"drain/a"}"#);
                step.set(6);
            }
            6 if has_drain_lease("a-2") => step.set(7),
            _ => {}
        }
        step.get() == 7
    };
    let outcome = run(&plan, program(), folder.path(), |_| {}, is_finished).unwrap();
    assert_eq!((outcome.violation, step.get()), (None, 7));
}

/// Sends frames of another cluster and random bytes to the peer port.
fn send_invalid_frames(host: &str) {
    let (udp, peer) = (UdpSocket::bind((host, 0)).unwrap(), format!("{host}:7100"));
    let mut rng = fastrand::Rng::with_seed(7);
    let other_cluster =
        tulipgap_peer_protocol::FrameCodec::new("elsewhere", b"long enough to keep anybody out")
            .unwrap();
    let message = tulipgap_peer_protocol::Message::SlotAvailable { lease: "x".into() };
    let envelope = tulipgap_peer_protocol::Envelope {
        from: "m".into(),
        address: peer.parse().unwrap(),
        incarnation: tulipgap_leases::Incarnation(1),
        message,
    };
    for turn in 0..3000 {
        let mut bytes = other_cluster.encode(&envelope);
        if turn % 2 == 0 {
            bytes = (0..rng.usize(0..1400)).map(|_| rng.u8(..)).collect();
        }
        udp.send_to(&bytes, &peer).unwrap();
        if turn % 30 == 0
            && let Ok(mut stream) = TcpStream::connect(&peer)
        {
            let _ = stream.write_all(&bytes);
        }
    }
}

/// Guards against a member that exits, or that accepts a foreign member, because random bytes,
/// frames of another cluster and truncated streams arrive at its peer port. Guards also against a
/// start with a voter without a directory, a key that is too short, or a limit of descriptors that
/// is too low for a cluster: the program rejects each of them.
#[test]
fn malformed_frames_at_the_peer_port_are_ignored() {
    let host = unique_address();
    let folder = tempfile::tempdir().unwrap();
    let at = |name: &str| folder.path().join(name);
    let settings = |voters: &str| {
        format!(
            "cluster {{\n name = \"c\"\n listen = \"{host}:7100\"\n region = \"r\"\n zone = \"z\"\n key = {:?}\n control = {:?}\n{voters}}}\n",
            at("key").display().to_string(),
            at("control").display().to_string()
        )
    };
    let file = write_config(&host, &config_json(&host));
    let start = |text: &str| {
        std::fs::write(at("settings.hcl"), text).unwrap();
        let mut command = Command::new(program());
        command
            .arg("--settings")
            .arg(at("settings.hcl"))
            .env("LB_CONFIG", &file);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    };
    let startup_error = |text: &str| {
        let ended = start(text).wait_with_output().unwrap();
        assert_eq!(ended.status.code(), Some(2));
        String::from_utf8(ended.stderr).unwrap()
    };
    std::fs::write(at("key"), b"short").unwrap();
    assert!(startup_error(&settings("")).contains("a key takes 16 bytes or more"));
    std::fs::write(at("key"), b"long enough to keep anybody out").unwrap();
    assert!(startup_error(&settings(" voters = [\"n3\"]\n")).contains("a voter needs one"));

    std::fs::write(
        &file,
        config_json(&host).replace("\"sockets\":1024", "\"sockets\":64"),
    )
    .unwrap();
    assert!(startup_error(&settings("")).contains("too few to be one of a cluster"));
    std::fs::write(&file, config_json(&host)).unwrap();

    let mut child = start(&settings(""));
    wait_until("the backend listens", || {
        UnixStream::connect(at("control")).is_ok()
    });
    send_invalid_frames(&host);
    let members = send_control_command(&at("control"), r#"{"do":"members"}"#);
    assert_eq!(
        members["members"].as_array().map(Vec::len),
        Some(1),
        "{members}"
    );
    let kill = Command::new("sh")
        .args(["-c", "kill -TERM \"$0\"", &child.id().to_string()])
        .status();
    assert!(kill.unwrap().success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
    assert!(!at("control").exists(), "the control socket is removed");
    let _ = std::fs::remove_file(&file);
}

/// Guards against members that each keep calling a store that is down, and against calls that stay
/// off once the store is up. Three backends of a zone have a store that refuses connections. One of
/// them probes it and publishes a verdict that all of them follow, and requests are answered
/// throughout. When the store listens again, the verdict is withdrawn and all backends make their
/// calls.
#[test]
fn one_member_of_a_zone_probes_a_store_that_is_down() {
    let (hosts, store_host) = (
        [unique_address(), unique_address(), unique_address()],
        unique_address(),
    );
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(
        folder.path().join("key"),
        b"long enough to keep anybody out",
    )
    .unwrap();
    let path = |name: &str| folder.path().join(name).display().to_string();
    let start = |at: usize| {
        let (host, name) = (&hosts[at], format!("m{at}"));
        let settings = format!(
            "cluster {{\n name = \"c\"\n member = \"{name}\"\n listen = \"{host}:7100\"\n region = \"r\"\n zone = \"z\"\n key = {:?}\n seeds = [\"{}:7100\"]\n voters = [\"m0\", \"m1\", \"m2\"]\n folder = {:?}\n control = {:?}\n}}\n",
            path("key"),
            hosts[0],
            path(&name),
            path(&format!("{name}.control")),
        );
        let settings_file = folder.path().join(format!("{name}.hcl"));
        std::fs::write(&settings_file, settings).unwrap();
        let executor = serve_executor(SharedExecutor::default(), host);
        BackendSetup::with_peers(host.clone(), executor, StoreStub::default())
            .change(
                &format!("\"store\":\"{host}:7700\""),
                &format!("\"store\":\"{store_host}:7700\""),
            )
            .settings(Some(&settings_file))
            .start()
    };
    let backends = [start(0), start(1), start(2)];
    let control = |at: usize| folder.path().join(format!("m{at}.control"));
    // The members that publish a verdict, in the view of this member.
    let verdicts = |at: usize| -> Vec<String> {
        let members = send_control_command(&control(at), r#"{"do":"members"}"#);
        let rows = members["members"].as_array().unwrap().iter();
        rows.filter(|row| row["facts"]["store"].is_string())
            .map(|row| row["name"].to_string())
            .collect()
    };
    let number = Cell::new(0);
    let calls = |backend: &TestBackend| {
        number.set(number.get() + 1);
        let mut edge = backend.connect();
        edge.send_request(1, &format!("{:016x}", 0xc000 + number.get()), b"call");
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"richer")
    };
    wait_until("all members have the verdict of one", || {
        assert!(
            !backends.iter().any(&calls),
            "a call succeeded while the store is down"
        );
        (0..3).all(|at| verdicts(at).len() == 1) && (1..3).all(|at| verdicts(at) == verdicts(0))
    });
    let _store = start_store(&store_host);
    wait_until("the verdict is withdrawn", || {
        (0..3).all(|at| verdicts(at).is_empty())
    });
    for backend in &backends {
        wait_until("its calls are made again", || calls(backend));
    }
}
