use crate::serve;

const FACTS: &str = r#"{"classes":[{"name":"page","objective":1800.0,"deadline":4500.0,"worth":1.0,"effect":"pure"}],
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
    format!("SPAWN backend_id=3 prng=7 facts={}", FACTS.replace('\n', ""))
}

#[test]
fn a_req_is_taken_run_and_forgotten() {
    let incoming =
        "INCOMING backend_id=3 tid=t/a who=1 footprint=10.5 queued_for=2 type=page work=20.0 odd_key=9";
    let done = "DONE backend_id=3 tid=t/a latency=20.0 reason=success";
    let spawn = spawn();
    let lines = ["CLOCK t=5000.5", &spawn, "OVER_TO_YOU", "CLOCK t=5010", incoming, "OVER_TO_YOU"];
    let rest = ["CLOCK t=5030", done, done, "OVER_TO_YOU", "CLOCK t=5040", "OVER_TO_YOU"];
    let (output, result) = run(&[&lines[..], &rest[..]].concat());
    assert_eq!(result, Ok(()));
    let expected = "SET_HEALTH backend_id=3 enable=1 light=1\nTIMER backend_id=3 handle=beat alarm_time=5025.500\n\
                    NEXT\nEXECUTE backend_id=3 tid=t/a\nNEXT\nNEXT\nNEXT\n";
    assert_eq!(output, expected);
}

#[test]
fn what_cannot_be_read_names_line_and_field() {
    let spawn = spawn();
    let incoming = |fields: &str| format!("INCOMING backend_id=3 {fields}");
    for (line, message) in [
        ("HELLO backend_id=3".to_owned(), "line 3: HELLO: it is no known message"),
        (incoming("footprint=1 type=page"), "line 3: tid: it is missing"),
        (incoming("tid=t/a type=page"), "line 3: footprint: it is missing"),
        (incoming("tid=t/a footprint=x type=page"), "line 3: footprint: 'x' is no number of at least 0"),
        (incoming("tid=t/a footprint=1 type=pag"), "line 3: type: 'pag' is no known class"),
        (incoming("tid=t/a footprint"), "line 3: footprint: it is no name=value pair"),
        ("DONE backend_id=3 tid=t/a reason=fine".to_owned(), "line 3: reason: 'fine' is no outcome"),
        ("SIGTERM backend_id=3".to_owned(), "line 3: expires_in: it is missing"),
        ("GONE backend_id=x tid=t/a".to_owned(), "line 3: backend_id: 'x' is no whole number"),
        ("CLOCK t=7".to_owned(), "line 3: CLOCK: it is no known message"),
    ] {
        let (output, result) = run(&["CLOCK t=5000", &spawn, &line, "OVER_TO_YOU"]);
        assert_eq!((output.as_str(), result), ("", Err(message.to_owned())));
    }
}

#[test]
fn start_up_figures_that_make_no_sense_are_turned_down() {
    let wrong = |from: &str, to: &str| run(&["CLOCK t=0", &spawn().replace(from, to), "OVER_TO_YOU"]).1;
    assert_eq!(wrong("\"cores\":2", "\"cores\":0"), Err("line 2: facts: no cores are given".to_owned()));
    let missing = wrong("\"halt\":\"drop\",", "").unwrap_err();
    assert!(missing.starts_with("line 2: facts: missing field `halt`"), "{missing}");
}

#[test]
fn the_clock_and_the_batches_are_in_order() {
    let back = run(&["CLOCK t=10", "OVER_TO_YOU", "CLOCK t=9", "OVER_TO_YOU"]);
    assert_eq!(back, ("NEXT\n".to_owned(), Err("line 3: t: the clock went back".to_owned())));
    let cut = run(&["CLOCK t=10"]).1;
    assert_eq!(cut, Err("line 2: OVER_TO_YOU: the input ends inside a batch".to_owned()));
    assert_eq!(run(&["OVER_TO_YOU"]).1, Err("line 1: OVER_TO_YOU: a batch opens with CLOCK".to_owned()));
}
