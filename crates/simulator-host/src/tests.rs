//! Tests of the wire protocol: replies, errors, and two deployments in one process.

use crate::host::Host;
use crate::serve;

const SETTINGS_JSON: &str = r#"{"classes":[{"name":"page","objective":1800.0,"deadline":4500.0,"worth":1.0,"effect":"pure"}],
"family_info":{"below":"silent","blowup":4.0,"cores":2,"halt":"drop","idle":9000.0,"mem_limit_kb":9000.0,"say":"weight","new_key":[1]},
"fleet_size":3,"limits":{"max_retry_after":1000.0,"retry_after":true},"rules":{"cold_from":0.3,"drain_grace":1000.0,
"fall":2000.0,"fall_multiple":4.0,"grace_to_answer":60.0,"warm_up":9000.0}}"#;

fn run(lines: &[&str]) -> (String, Result<(), String>) {
    let mut output = Vec::new();
    let text = lines.join("\n") + "\n";
    let result = serve(text.as_bytes(), &mut output).map_err(|error| error.to_string());
    (String::from_utf8(output).unwrap(), result)
}

fn spawn() -> String {
    format!(
        "SPAWN backend_id=3 prng=7 facts={}",
        SETTINGS_JSON.replace('\n', "")
    )
}

#[test]
fn a_request_is_admitted_run_and_released() {
    let incoming = "INCOMING backend_id=3 tid=t/a who=1 footprint=10.5 queued_for=2 type=page work=20.0 odd_key=9";
    let done = "DONE backend_id=3 tid=t/a latency=20.0 reason=success";
    let spawn = spawn();
    let lines = [
        "CLOCK t=5000.5",
        &spawn,
        "OVER_TO_YOU",
        "CLOCK t=5010",
        incoming,
        "OVER_TO_YOU",
    ];
    let rest = [
        "CLOCK t=5030",
        done,
        done,
        "OVER_TO_YOU",
        "CLOCK t=5040",
        "OVER_TO_YOU",
    ];
    let (output, result) = run(&[&lines[..], &rest[..]].concat());
    assert_eq!(result, Ok(()));
    let expected = "SET_HEALTH backend_id=3 enable=1 light=1\nTIMER backend_id=3 handle=beat alarm_time=5025.500\n\
                    NEXT\nEXECUTE backend_id=3 tid=t/a\nNEXT\nNEXT\nNEXT\n";
    assert_eq!(output, expected);
}

#[test]
fn malformed_input_names_line_and_field() {
    let spawn = spawn();
    let incoming = |fields: &str| format!("INCOMING backend_id=3 {fields}");
    for (line, message) in [
        (
            "HELLO backend_id=3".to_owned(),
            "line 3: HELLO: unknown message",
        ),
        (
            incoming("footprint=1 type=page"),
            "line 3: tid: the field is missing",
        ),
        (
            incoming("tid=t/a type=page"),
            "line 3: footprint: the field is missing",
        ),
        (
            incoming("tid=t/a footprint=x type=page"),
            "line 3: footprint: 'x' is not a non-negative number",
        ),
        (
            incoming("tid=t/a footprint=1 type=pag"),
            "line 3: type: unknown class 'pag'",
        ),
        (
            incoming("tid=t/a footprint"),
            "line 3: footprint: not a name=value pair",
        ),
        (
            "DONE backend_id=3 tid=t/a reason=fine".to_owned(),
            "line 3: reason: 'fine' is not an outcome",
        ),
        (
            "SIGTERM backend_id=3".to_owned(),
            "line 3: expires_in: the field is missing",
        ),
        (
            "GONE backend_id=x tid=t/a".to_owned(),
            "line 3: backend_id: 'x' is not a non-negative integer",
        ),
        ("CLOCK t=7".to_owned(), "line 3: CLOCK: unknown message"),
    ] {
        let (output, result) = run(&["CLOCK t=5000", &spawn, &line, "OVER_TO_YOU"]);
        assert_eq!((output.as_str(), result), ("", Err(message.to_owned())));
    }
}

#[test]
fn invalid_settings_are_rejected_at_start() {
    let wrong =
        |from: &str, to: &str| run(&["CLOCK t=0", &spawn().replace(from, to), "OVER_TO_YOU"]).1;
    assert_eq!(
        wrong("\"cores\":2", "\"cores\":0"),
        Err("line 2: facts: no cores are given".to_owned())
    );
    let missing = wrong("\"halt\":\"drop\",", "").unwrap_err();
    assert!(
        missing.starts_with("line 2: facts: missing field `halt`"),
        "{missing}"
    );
}

#[test]
fn out_of_order_times_and_batch_lines_are_rejected() {
    let back = run(&["CLOCK t=10", "OVER_TO_YOU", "CLOCK t=9", "OVER_TO_YOU"]);
    assert_eq!(
        back,
        (
            "NEXT\n".to_owned(),
            Err("line 3: t: the time is earlier than in the previous batch".to_owned())
        )
    );
    let cut = run(&["CLOCK t=10"]).1;
    assert_eq!(
        cut,
        Err("line 2: OVER_TO_YOU: the input ends inside a batch".to_owned())
    );
    assert_eq!(
        run(&["OVER_TO_YOU"]).1,
        Err("line 1: OVER_TO_YOU: expected CLOCK, which opens a batch".to_owned())
    );
}

/// The start of a second deployment, whose classes, tenants, effects and figures differ from the
/// first.
fn spawn_other() -> String {
    let other = spawn().replace("backend_id=3", "backend_id=4").replace("prng=7", "prng=8").replace(
        r#""name":"page","objective":1800.0,"deadline":4500.0,"worth":1.0,"effect":"pure"}"#,
        r#""name":"order","objective":300.0,"deadline":900.0,"worth":5.0,"effect":"token","memory_span":2000.0},
           {"name":"page","objective":700.0,"deadline":1500.0,"worth":2.0,"effect":"side_effect"}"#,
    );
    let other = other
        .replace(r#""say":"weight""#, r#""say":"credit","callers":9"#)
        .replace('\n', " ");
    let with_tenants = other.replace(
        r#""fleet_size":3"#,
        r#""tenants":[{"name":"a","allowance_per_s":9.0}],"fleet_size":7"#,
    );
    assert_ne!(with_tenants, other);
    with_tenants
}

fn clock(step: usize) -> String {
    format!("CLOCK t={}", 5000 + step * 3)
}

/// Generates one line per step for the backend of `deployment`: arrivals with random work, more
/// than the backend can process. Each run ends some steps after it starts; a separate host decides
/// which requests start.
fn generate_schedule(deployment: usize, spawn: String, rng: &mut fastrand::Rng) -> Vec<String> {
    let id = deployment + 3;
    let mut host = Host::default();
    let mut schedule = vec![spawn];
    let mut ends: Vec<(usize, String)> = Vec::new();
    for (line, text) in [clock(0), schedule[0].clone(), "OVER_TO_YOU".to_owned()]
        .iter()
        .enumerate()
    {
        host.line(line + 1, text).unwrap();
    }
    for step in 1..3000usize {
        let (class, realm) = match (deployment, rng.u32(..2)) {
            (0, _) => ("page", ""),
            (_, 0) => ("order", " realm=a"),
            _ => ("page", " realm=a"),
        };
        let work = 5 + rng.u32(..400);
        let is_duplicate = class == "order" && step > 9 && rng.u32(..3) == 0;
        let original =
            is_duplicate.then(|| format!(" original=t/{deployment}x{}", step - 1 - rng.usize(..8)));
        let original = original.unwrap_or_default();
        let ended = ends
            .iter()
            .position(|(by, _)| *by <= step)
            .map(|position| ends.swap_remove(position).1);
        schedule.push(match (ended, step % 8) {
            (Some(tid), _) => format!("DONE backend_id={id} tid={tid} latency=20.0 reason=success"),
            (None, 0) => {
                format!("ELAPSED backend_id={id} handle=beat feedback=core_use:0.9,on_cores:{}", rng.u32(..6))
            }
            _ => format!(
                "INCOMING backend_id={id} tid=t/{deployment}x{step} who=1 footprint=10.5 queued_for=2 type={class} \
                 work={work}{realm}{original}"
            ),
        });
        let mut reply = None;
        for (line, text) in [
            clock(step),
            schedule[step].clone(),
            "OVER_TO_YOU".to_owned(),
        ]
        .iter()
        .enumerate()
        {
            reply = host.line(3 * step + line + 1, text).unwrap();
        }
        for line in reply
            .unwrap()
            .lines()
            .filter(|line| line.starts_with("EXECUTE"))
        {
            let tid = line.split(" tid=").nth(1).unwrap();
            ends.push((step + 2 + rng.usize(..20), tid.to_owned()));
        }
    }
    schedule
}

/// The output of a process that runs these schedules in common batches.
fn run_schedules(schedules: &[&Vec<String>]) -> String {
    let mut lines = Vec::new();
    for step in 0..schedules[0].len() {
        lines.push(clock(step));
        lines.extend(schedules.iter().map(|schedule| schedule[step].clone()));
        lines.push("OVER_TO_YOU".to_owned());
    }
    let (output, result) = run(&lines.iter().map(|line| &line[..]).collect::<Vec<_>>());
    assert_eq!(result, Ok(()));
    output
}

fn lines_of(output: &str, id: usize) -> Vec<String> {
    let own = format!(" backend_id={id} ");
    output
        .lines()
        .filter(|line| line.contains(&own))
        .map(str::to_owned)
        .collect()
}

/// Guards against state that deployments in one process share, such as a static or cached figure of
/// one of them. With the events of two deployments interleaved, each acts exactly as it does alone.
#[test]
fn two_deployments_in_one_process_act_as_each_does_alone() {
    let mut rng = fastrand::Rng::with_seed(7);
    let deployments = [spawn(), spawn_other()].into_iter().enumerate();
    let schedules: Vec<Vec<String>> = deployments
        .map(|(deployment, spawn)| generate_schedule(deployment, spawn, &mut rng))
        .collect();
    let together = run_schedules(&[&schedules[0], &schedules[1]]);
    for (deployment, schedule) in schedules.iter().enumerate() {
        let id = deployment + 3;
        let alone = lines_of(&run_schedules(&[schedule]), id);
        assert!(alone.len() > 500, "{}", alone.len());
        assert_eq!(alone, lines_of(&together, id), "backend {id}");
    }
    for word in ["EXECUTE", "TURN_AWAY", "KEEP", "JOIN"] {
        let count = together.matches(word).count();
        assert!(count > 30, "{word}: {count}");
    }
}
