//! What a guard believes of its backend server from the heads of its answers.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;
use swiftcart_core::{Instant, Notice, NoticeBelief, RateError, ServerRate};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn rate(per_second: f64) -> Notice {
    Notice::default().with_rate(ServerRate::new(per_second))
}

const NOTHING: Notice = Notice {
    rate: None,
    leaving: false,
};

#[rstest]
#[case::a_whole_number("56", Ok(56.0))]
#[case::a_decimal_one("49.2", Ok(49.2))]
#[case::white_space_around_it(" 0.5 ", Ok(0.5))]
#[case::nothing_at_all("0", Ok(0.0))]
#[case::below_zero("-1", Err(RateError::Range))]
#[case::without_bounds("inf", Err(RateError::Range))]
#[case::no_number("NaN", Err(RateError::Range))]
#[case::a_word("few", Err(RateError::Syntax))]
#[case::empty("", Err(RateError::Syntax))]
fn a_rate_is_read_from(#[case] text: &str, #[case] expected: Result<f64, RateError>) {
    let read: Result<ServerRate, RateError> = text.parse();
    assert_eq!(read.map(ServerRate::per_second), expected);
}

/// Each step: when the answer came, when its request was handed over, and what it said.
#[rstest]
#[case::a_rate_counts_from_its_first_answer(&[(100, 0, rate(20.0))], rate(20.0))]
#[case::an_answer_without_it_ends_it(&[(100, 0, rate(20.0)), (200, 110, NOTHING)], NOTHING)]
#[case::an_overtaken_answer_does_not_end_it(&[(100, 0, rate(20.0)), (101, 50, NOTHING)], rate(20.0))]
#[case::a_lower_one_counts_at_once(&[(100, 0, rate(20.0)), (101, 50, rate(10.0))], rate(10.0))]
#[case::an_overtaken_higher_one_does_not(&[(100, 0, rate(10.0)), (101, 50, rate(20.0))], rate(10.0))]
#[case::a_later_higher_one_does(&[(100, 0, rate(10.0)), (200, 150, rate(20.0))], rate(20.0))]
#[case::who_leaves_leaves_for_good(
    &[(100, 0, NOTHING.with_leaving(true)), (200, 150, NOTHING)], NOTHING.with_leaving(true))]
#[case::who_leaves_names_its_rate_too(
    &[(100, 0, rate(5.0).with_leaving(true)), (200, 150, rate(4.0))], rate(4.0).with_leaving(true))]
fn belief(#[case] answers: &[(u64, u64, Notice)], #[case] expected: Notice) {
    let mut belief = NoticeBelief::default();
    for (came, sent, said) in answers {
        belief.hear(at(*came), at(*sent), *said);
    }
    assert_eq!(belief.now(), expected);
}

#[test]
fn an_answer_that_says_nothing_new_changes_nothing() {
    let mut belief = NoticeBelief::default();
    assert!(!belief.hear(at(10), at(0), NOTHING));
    assert!(belief.hear(at(20), at(11), rate(8.0)));
    assert!(!belief.hear(at(30), at(21), rate(8.0)));
}
