//! Guards against invalid plan files that are accepted or rejected without the location of the
//! error, and against faults that change when they are written to a plan file and parsed again.

use tulipgap_fault_injection::{
    DirectoryAfterCrash, DiskFault, Fault, OperationStep, Plan, PlanError, TimeWindow,
};

const MEMBERS: &str = "length = 9\nmembers {\n zone = \"a\"\n count = 3\n}\n";

#[test]
fn invalid_plan_files_are_rejected_with_the_location() {
    let error_of = |text: &str| {
        Plan::parse(text)
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default()
    };
    assert!(
        error_of("length = 0\nmembers {\n zone = \"a\"\n count = 3\n}").starts_with("length: ")
    );
    let unknown_target = format!("{MEMBERS}crash {{\n at = 1\n of = \"b\"\n}}");
    assert!(error_of(&unknown_target).contains("no zone and no member"));
    let unknown_key = "length = 9\nmembers {\n zone = \"a\"\n size = 3\n}";
    assert!(matches!(
        Plan::parse(unknown_key),
        Err(PlanError::Syntax(_))
    ));
    assert!(!error_of(unknown_key).is_empty());
}

#[test]
fn faults_of_every_kind_survive_writing_and_parsing() {
    let window = TimeWindow { from: 1.0, to: 2.5 };
    let (a, b) = ("a-1".to_owned(), "a-2".to_owned());
    let crash = |directory| Fault::Crash {
        at: 1.0,
        target: a.clone(),
        restart_at: Some(2.0),
        directory,
    };
    let disk = |fault| Fault::Disk {
        at: 1.0,
        target: a.clone(),
        repaired_at: None,
        fault,
    };
    let faults = vec![
        Fault::Partition {
            window,
            a: a.clone(),
            b: String::new(),
            one_way: true,
            flap: Some(0.5),
        },
        Fault::Partition {
            window,
            a: a.clone(),
            b: b.clone(),
            one_way: false,
            flap: None,
        },
        Fault::DegradedLinks {
            window,
            target: a.clone(),
            loss: 0.1,
            delay_ms: 20.0,
            duplication: 0.2,
        },
        crash(DirectoryAfterCrash::Kept),
        crash(DirectoryAfterCrash::Emptied),
        crash(DirectoryAfterCrash::RolledBack),
        Fault::Pause {
            at: 3.0,
            target: a.clone(),
            resume_at: None,
            step: None,
        },
        Fault::Pause {
            at: 3.0,
            target: a.clone(),
            resume_at: Some(4.0),
            step: Some(OperationStep::Checked),
        },
        Fault::ClockRate {
            target: String::new(),
            rate: 1.05,
        },
        disk(DiskFault::Full),
        disk(DiskFault::SyncFails),
        Fault::ReplaceVoter {
            at: 4.0,
            old: a.clone(),
            new: b,
        },
    ];
    let mut plan = Plan::parse(MEMBERS).unwrap_or_else(|error| panic!("{error}"));
    plan.faults = faults;
    let text = format!("{MEMBERS}{}", plan.faults_to_hcl());
    let parsed = Plan::parse(&text).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(parsed.faults, plan.faults);
}
