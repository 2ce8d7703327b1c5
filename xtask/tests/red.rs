//! The list of known failures and the count of a test run.

use std::fs;

use rstest::rstest;
use xtask::{KnownRed, Ledger, SpecRun, Summary};

fn entry(test: &str) -> KnownRed {
    KnownRed {
        test: test.to_owned(),
        cause: "late".to_owned(),
        issue: "#3".to_owned(),
    }
}

fn summary(lines: &[&str]) -> Summary {
    let mut summary = Summary::default();
    lines.iter().for_each(|line| summary.line(line));
    summary
}

const TWO_RED: &[&str] = &[
    "     Running tests/join.rs (target/debug/deps/join-0a1b)",
    "test herd::spread ... FAILED",
    "test herd::quick ... ok",
    "test result: FAILED. 1 passed; 1 failed; 0 ignored; 0 measured; 0 filtered out",
    "   Doc-tests swiftcart_core",
    "test crates/core/src/a.rs - spread (line 3) ... FAILED",
    "test result: FAILED. 0 passed; 1 failed; 0 ignored; 0 measured; 0 filtered out",
];

#[rstest]
#[case::empty_covers_nothing(&[], vec!["join::herd::spread", "swiftcart_core::crates/core/src/a.rs - spread (line 3)"])]
#[case::plain_name(&["herd::spread"], vec!["swiftcart_core::crates/core/src/a.rs - spread (line 3)"])]
#[case::name_with_target(&["join::herd::spread"], vec!["swiftcart_core::crates/core/src/a.rs - spread (line 3)"])]
#[case::part_of_a_name_is_another_test(&["spread"], vec!["join::herd::spread", "swiftcart_core::crates/core/src/a.rs - spread (line 3)"])]
#[case::both(&["herd::spread", "crates/core/src/a.rs - spread (line 3)"], vec![])]
fn only_listed_failures_are_covered(#[case] listed: &[&str], #[case] uncovered: Vec<&str>) {
    let ledger = Ledger(listed.iter().map(|test| entry(test)).collect());
    assert_eq!(summary(TWO_RED).uncovered(&ledger), uncovered);
}

#[rstest]
fn one_entry_covers_one_failure() {
    let twice = ["a", "b"].map(|target| format!("Running tests/{target}.rs (deps/{target}-0)"));
    let red = "test same ... FAILED";
    let end = "test result: FAILED. 0 passed; 1 failed; 0 ignored";
    let run = summary(&[&twice[0], red, end, &twice[1], red, end]);
    assert_eq!(run.uncovered(&Ledger(vec![entry("same")])), ["b::same"]);
    assert_eq!(run.to_string(), "0 passed, 2 failed");
}

#[rstest]
#[case::nothing_ran(&[], true)]
#[case::target_without_result(&TWO_RED[..3], true)]
#[case::target_crashed_before_the_next(&[TWO_RED[0], TWO_RED[4], TWO_RED[5], TWO_RED[6]], true)]
#[case::whole(TWO_RED, false)]
fn a_target_without_a_result_breaks_the_run(#[case] lines: &[&str], #[case] broken: bool) {
    assert_eq!(summary(lines).is_broken(), broken);
}

#[rstest]
#[case::missing_file(None, Ok(vec![]))]
#[case::comments(Some("# none\n\n"), Ok(vec![]))]
#[case::one(Some("a::b | late | #3\n"), Ok(vec![entry("a::b")]))]
#[case::no_issue(Some("\na::b | late\n"), Err("line 2: write `test | cause | issue`"))]
#[case::too_many(
    Some("a|b|c\na|b|c\na|b|c\na|b|c\n"),
    Err("4 tests are listed, at most 3 may be")
)]
fn a_list_is_read_or_refused(
    #[case] text: Option<&str>,
    #[case] expected: Result<Vec<KnownRed>, &str>,
) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("KNOWN-RED.txt");
    if let Some(text) = text {
        fs::write(&path, text).unwrap();
    }
    let read = Ledger::read(&path).map_err(|e| e.to_string());
    let place = format!("{}: ", path.display());
    let expected = expected.map(Ledger).map_err(|e| place + e);
    assert_eq!(read, expected);
}

#[rstest]
#[case::holds("depth reached 9, errors: 0\n   120 states, stored\n", SpecRun::Holds { states: "120".to_owned() })]
#[case::counterexample("errors: 1\n 3 states, stored\n", SpecRun::Errors)]
#[case::cut_short(
    "error: max search depth too small\nerrors: 0\n 3 states, stored\n",
    SpecRun::Incomplete("search depth too small".to_owned())
)]
#[case::silent("", SpecRun::Incomplete("no result".to_owned()))]
fn a_search_is_judged_by_its_end(#[case] output: &str, #[case] expected: SpecRun) {
    assert_eq!(SpecRun::read(output), expected);
}
