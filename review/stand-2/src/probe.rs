//! Not cases: small probes.
use crate::backend::Platform;
use crate::edge::{Edge, Send};
use crate::kernel::{Kernel, KernelRules};
use crate::store::{Store, StoreRules};
use crate::world::{World, ms};
use crate::{Place, Verdict};
use std::time::Duration;

pub fn send(class: &str, key: &str, body: &str, deadline_ms: u64) -> Send {
    Send {
        class: class.into(),
        key: key.into(),
        body: body.as_bytes().to_vec(),
        deadline_ms,
        says_wait: false,
        slack_ms: 80,
        work_ms: 10.0,
        need_kb: 24.5,
        is_retry: false,
    }
}

pub fn restart(place: &Place) -> Verdict {
    let world = World::new(&place.case.join("record.txt"), 7);
    let rules = KernelRules {
        can_halt: true,
        can_skip: true,
        state: "steady",
    };
    let (_k, ka) = Kernel::start(&world, rules.clone());
    let (_s, sa) = Store::start(
        &world,
        StoreRules {
            delay_ms: 20,
            ..StoreRules::default()
        },
    );
    let mut platform = Platform::new(&place.root, &place.folder, ka, sa);
    platform.settings = crate::storm::settings(3000);
    let edge = Edge::new(&world, platform.listen);
    for round in 0..5 {
        // A kernel of its own for each life.
        let (_k, ka) = Kernel::start(&world, rules.clone());
        platform.kernel = ka;
        let mut backend = platform.start();
        if !edge.wait_until_healthy(Duration::from_secs(5)) {
            println!(
                "{}",
                std::fs::read_to_string(place.folder.join("backend.log")).unwrap()
            );
            return Verdict::Broken(format!(
                "round {round}: not healthy, ended {:?}",
                backend.has_ended()
            ));
        }
        for n in 0..60 {
            edge.send(&send("read", "", &format!("w200 r100 {n}"), 2000), 2);
        }
        std::thread::sleep(ms(300));
        backend.signal("KILL");
        std::thread::sleep(ms(30));
    }
    world.flush();
    Verdict::Held
}

/// Clients that send unreadable data, half messages, or nothing.
pub fn bad_clients(
    world: &crate::world::Shared,
    address: std::net::SocketAddr,
    stop: &std::sync::atomic::AtomicBool,
) {
    use std::io::Write;
    let mut held = std::collections::VecDeque::new();
    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
        std::thread::sleep(ms(5));
        let Ok(mut stream) = std::net::TcpStream::connect_timeout(&address, ms(200)) else {
            continue;
        };
        let noise: Vec<u8> = (0..world.random(300))
            .map(|_| world.random(256) as u8)
            .collect();
        let _ = match world.random(6) {
            0 => stream.write_all(&noise),
            1 => stream.write_all(&[0, 0, 1, 0, 0x80, 1, 0, 1]),
            2 => stream.write_all(&[0xff, 0xff, 0xff, 0xff]),
            3 => stream.write_all(
                &[
                    &[0, 0, 0, 200, 0x80, 1, 0, 1, 0, 0, 0, 7][..],
                    b"process",
                    &noise,
                ]
                .concat(),
            ),
            4 => stream.write_all(&[
                0, 0, 0, 17, 0x80, 1, 0, 1, 0, 0, 0, 5, b'p', b'r', b'o', b'b', b'e', 0, 0,
            ]),
            _ => Ok(()),
        };
        held.push_back(stream);
        if held.len() > 250 {
            held.pop_front();
        }
    }
}

pub fn memory(place: &Place) -> Verdict {
    use std::io::Write;
    let world = World::new(&place.case.join("record.txt"), 7);
    let rules = KernelRules {
        can_halt: true,
        can_skip: true,
        state: "steady",
    };
    let (_k, ka) = Kernel::start(&world, rules);
    let (_s, sa) = Store::start(
        &world,
        StoreRules {
            delay_ms: 20,
            ..StoreRules::default()
        },
    );
    let mut platform = Platform::new(&place.root, &place.folder, ka, sa);
    platform.settings = crate::storm::settings(3000)
        .replace("\"mem_limit_kb\":60768.0", "\"mem_limit_kb\":900000.0")
        .replace("\"objective\":900.0", "\"objective\":20000.0")
        .replace("\"deadline\":2000.0", "\"deadline\":20000.0");
    platform.memory_mb = 32;
    let backend = platform.start();
    let edge = Edge::new(&world, platform.listen);
    if !edge.wait_until_healthy(Duration::from_secs(5)) {
        return Verdict::CouldNotRun("not healthy".into());
    }
    println!("rest {:?}", backend.memory_kb());
    let many: u64 = crate::storm::env("REQUESTS", 700);
    for n in 0..many {
        let mut body = format!("w6000 r4096 {n}").into_bytes();
        body.resize(2048, b'x');
        let mut s = send("read", "", "", 20000);
        s.body = body;
        s.work_ms = 1.0;
        s.need_kb = 1.0;
        edge.send(&s, 32);
    }
    std::thread::sleep(ms(500));
    println!("with requests {:?}", backend.memory_kb());
    let mut streams = Vec::new();
    let mut frame = vec![0, 0, 0x3f, 0xff, 0x80, 1, 0, 1, 0, 0, 0, 7];
    frame.extend(b"process");
    frame.resize(16000, 7);
    for _ in 0..crate::storm::env("PARTIAL", 290) {
        if let Ok(mut stream) = std::net::TcpStream::connect(platform.listen) {
            let _ = stream.write_all(&frame);
            streams.push(stream);
        }
    }
    for _ in 0..10 {
        std::thread::sleep(ms(200));
        println!("with partial {:?}", backend.memory_kb());
    }
    std::thread::sleep(ms(4000));
    println!("after {:?}", backend.memory_kb());
    world.flush();
    Verdict::Held
}
