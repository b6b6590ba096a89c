//! Clients that send figures out of range or not numbers.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::backend::Platform;
use crate::edge::{self, Edge, Send};
use crate::kernel::{Kernel, KernelRules};
use crate::store::Store;
use crate::world::{Answer, Try, World, ms, unix_ms};
use crate::{Place, Verdict};

/// The figures of a request, each with a value that is out of range or no number.
const FIGURES: [(&str, &str); 14] = [
    ("ts", "soon"),
    ("ts", "-1"),
    ("ts", "99999999999999"),
    ("via", "four"),
    ("via", "-4"),
    ("via", ""),
    ("ms", "much"),
    ("ms", "-12.50"),
    ("need", "little"),
    ("need", "0"),
    ("need", "2000.0"),
    ("level", "high"),
    ("level", "1.0000"),
    ("level", "-0.5000"),
];
const ROUNDS: usize = 3;

fn settings() -> String {
    crate::lockout::settings()
}

pub fn run(place: &Place) -> Verdict {
    let world = World::new(&place.case.join("record.txt"), 7);
    let rules = KernelRules {
        can_halt: true,
        can_skip: true,
        state: "steady",
    };
    let (_kernel, kernel_address) = Kernel::start(&world, rules);
    let store_address = Store::start(&world, 10);
    let mut platform = Platform::new(&place.root, &place.folder, kernel_address, store_address);
    platform.settings = settings();
    let _backend = platform.start();
    let edge = Edge::new(&world, platform.listen);
    if !edge.wait_until_healthy(Duration::from_secs(20)) {
        return Verdict::CouldNotRun("the backend is not healthy".into());
    }
    let mut served = Vec::new();
    for round in 0..ROUNDS {
        for (name, value) in FIGURES {
            let send = Send {
                class: "subscriber-page".into(),
                key: String::new(),
                body: b"w5 r400 good".to_vec(),
                deadline_ms: 4500,
                says_wait: false,
                slack_ms: 80,
                work_ms: 5.0,
                need_kb: 24.5,
                is_retry: false,
            };
            edge.send(&send, 8);
            if !place.trouble {
                std::thread::sleep(ms(50));
                continue;
            }
            let id = format!("{:016x}", edge::new_id());
            let mut fields = [
                ("kind", "subscriber-page".to_owned()),
                ("req", id.clone()),
                ("ts", unix_ms().to_string()),
                ("via", "4".to_owned()),
                ("owner", "acme".to_owned()),
                ("ms", "5.00".to_owned()),
                ("need", "24.5".to_owned()),
                ("level", "0.5000".to_owned()),
            ];
            for field in &mut fields {
                if field.0 == name {
                    field.1 = value.to_owned();
                }
            }
            let body = b"w5 r400 bad".to_vec();
            let entry = Try {
                class: "subscriber-page".into(),
                body: body.clone(),
                ..Try::default()
            };
            world.tries.lock().unwrap().insert(id.clone(), entry);
            world.note(format!("bad client sends {id} with {name}={value}"));
            let Ok(mut stream) = TcpStream::connect(platform.listen) else {
                return Verdict::CouldNotRun("a connection was refused".into());
            };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
            let _ = stream.write_all(&edge::process(1, &fields, &body));
            let mut length = [0; 4];
            let mut answer = None;
            if stream.read_exact(&mut length).is_ok() {
                let mut frame = vec![0; u32::from_be_bytes(length) as usize];
                if stream.read_exact(&mut frame).is_ok() {
                    answer = edge::answer_of(&frame);
                }
            }
            world.note(format!("bad client gets {answer:?} to {id}"));
            if answer == Some(Answer::Served) && round == 0 {
                served.push(format!("{name}={value}"));
            }
            std::thread::sleep(ms(20));
        }
    }
    std::thread::sleep(ms(500));
    world.flush();
    if served.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!("served: {}", served.join(", ")))
    }
}
