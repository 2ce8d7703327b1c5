//! List of known failures, summary of a test run, and outcome of a model search.

use std::fs;

use rstest::rstest;
use xtask::{KnownFailure, KnownFailures, SearchOutcome, TestSummary};

fn entry(test: &str) -> KnownFailure {
    KnownFailure {
        test: test.to_owned(),
        cause: "late".to_owned(),
        issue: "#3".to_owned(),
    }
}

fn summary(lines: &[&str]) -> TestSummary {
    let mut summary = TestSummary::default();
    lines.iter().for_each(|line| summary.add_line(line));
    summary
}

const TWO_FAILURES: &[&str] = &[
    "     Running tests/join.rs (target/debug/deps/join-0a1b)",
    "test herd::spread ... FAILED",
    "test herd::quick ... ok",
    "test result: FAILED. 1 passed; 1 failed; 0 ignored; 0 measured; 0 filtered out",
    "   Doc-tests swiftcart_core",
    "test crates/core/src/a.rs - spread (line 3) ... FAILED",
    "test result: FAILED. 0 passed; 1 failed; 0 ignored; 0 measured; 0 filtered out",
];

#[rstest]
#[case::empty_list(&[], vec!["join::herd::spread", "swiftcart_core::crates/core/src/a.rs - spread (line 3)"])]
#[case::plain_name(&["herd::spread"], vec!["swiftcart_core::crates/core/src/a.rs - spread (line 3)"])]
#[case::name_with_target(&["join::herd::spread"], vec!["swiftcart_core::crates/core/src/a.rs - spread (line 3)"])]
#[case::partial_name(&["spread"], vec!["join::herd::spread", "swiftcart_core::crates/core/src/a.rs - spread (line 3)"])]
#[case::both_listed(&["herd::spread", "crates/core/src/a.rs - spread (line 3)"], vec![])]
fn only_listed_failures_are_accepted(#[case] listed: &[&str], #[case] unlisted: Vec<&str>) {
    let known_failures = KnownFailures(listed.iter().map(|test| entry(test)).collect());
    assert_eq!(
        summary(TWO_FAILURES).unlisted_failures(&known_failures),
        unlisted
    );
}

#[rstest]
fn one_entry_covers_one_failure() {
    let headers = ["a", "b"].map(|target| format!("Running tests/{target}.rs (deps/{target}-0)"));
    let failure = "test same ... FAILED";
    let end = "test result: FAILED. 0 passed; 1 failed; 0 ignored";
    let run = summary(&[&headers[0], failure, end, &headers[1], failure, end]);
    assert_eq!(
        run.unlisted_failures(&KnownFailures(vec![entry("same")])),
        ["b::same"]
    );
    assert_eq!(run.to_string(), "0 passed, 2 failed");
}

#[rstest]
#[case::no_tests(&[], true)]
#[case::target_without_result(&TWO_FAILURES[..3], true)]
#[case::target_crashed_before_the_next(&[TWO_FAILURES[0], TWO_FAILURES[4], TWO_FAILURES[5], TWO_FAILURES[6]], true)]
#[case::complete_run(TWO_FAILURES, false)]
fn run_is_incomplete_if_a_target_has_no_result(#[case] lines: &[&str], #[case] incomplete: bool) {
    assert_eq!(summary(lines).is_incomplete(), incomplete);
}

#[rstest]
#[case::missing_file(None, Ok(vec![]))]
#[case::comments(Some("# none\n\n"), Ok(vec![]))]
#[case::one_entry(Some("a::b | late | #3\n"), Ok(vec![entry("a::b")]))]
#[case::missing_issue(
    Some("\na::b | late\n"),
    Err("line 2: expected `test | cause | issue`")
)]
#[case::too_many_entries(
    Some("a|b|c\na|b|c\na|b|c\na|b|c\n"),
    Err("4 tests are listed, at most 3 are allowed")
)]
fn reading_validates_the_list_of_known_failures(
    #[case] text: Option<&str>,
    #[case] expected: Result<Vec<KnownFailure>, &str>,
) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("KNOWN-RED.txt");
    if let Some(text) = text {
        fs::write(&path, text).unwrap();
    }
    let read = KnownFailures::read(&path).map_err(|e| e.to_string());
    let place = format!("{}: ", path.display());
    let expected = expected.map(KnownFailures).map_err(|e| place + e);
    assert_eq!(read, expected);
}

#[rstest]
#[case::holds("depth reached 9, errors: 0\n   120 states, stored\n", SearchOutcome::Holds { states: "120".to_owned() })]
#[case::counterexample("errors: 1\n 3 states, stored\n", SearchOutcome::Counterexample)]
#[case::depth_limit(
    "error: max search depth too small\nerrors: 0\n 3 states, stored\n",
    SearchOutcome::Incomplete("search depth too small".to_owned())
)]
#[case::empty_output("", SearchOutcome::Incomplete("no result".to_owned()))]
fn search_output_determines_the_outcome(#[case] output: &str, #[case] expected: SearchOutcome) {
    assert_eq!(SearchOutcome::parse(output), expected);
}
