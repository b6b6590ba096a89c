//! Guards against a history checker that misses overlapping operations or stale tokens, or that
//! excuses operations of processes that were not paused.

use std::collections::BTreeSet;

use tulipgap_fault_injection::{HistoryChecker, OperationError, Plan};
use tulipgap_leases::FencingToken;

fn plan() -> Plan {
    let text = r#"length = 45
        voters = ["north-1"]
        members {
          zone = "north"
          count = 2
        }
        lease {
          name = "one"
          term = 2
        }
        lease {
          name = "two"
          term = 1
          places = 2
          step = 0.2
        }"#;
    Plan::parse(text).unwrap_or_else(|error| panic!("{error}"))
}

#[test]
fn overlapping_operations_and_stale_tokens_are_rejected() {
    let token = FencingToken;
    let overlap = |tokens: &[u64]| OperationError::Overlap {
        tokens: tokens.iter().copied().map(token).collect(),
    };
    let none = BTreeSet::new();

    let mut checker = HistoryChecker::new(&plan());
    assert_eq!(checker.begin("one", token(1), &none), Ok(()));
    assert_eq!(checker.begin("one", token(2), &none), Err(overlap(&[1, 2])));

    let mut checker = HistoryChecker::new(&plan());
    assert_eq!(checker.begin("one", token(1), &none), Ok(()));
    assert_eq!(
        checker.begin("one", token(2), &[token(1)].into()),
        Ok(()),
        "the first is paused and fenced off"
    );
    assert_eq!(
        checker.end("one", token(1)),
        Err(OperationError::StaleToken)
    );
    assert_eq!(
        checker.begin("one", token(1), &none),
        Err(OperationError::StaleToken)
    );
    assert_eq!(checker.begin("two", token(3), &none), Ok(()));
    assert_eq!(checker.begin("two", token(4), &none), Ok(()));
    assert_eq!(
        checker.begin("two", token(5), &none),
        Err(overlap(&[3, 4, 5]))
    );
}
