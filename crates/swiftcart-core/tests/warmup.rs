//! What a cold backend server is handed, in virtual time.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;
use swiftcart_core::*;

const BOUNDS: ColdBounds = ColdBounds {
    overage: 1.5,
    slack: 8.0,
};

const COLD: ColdStart = ColdStart {
    rate: 14,
    lasts_ms: 3_000,
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Asks for a hand-over every `step` milliseconds; returns when they were taken.
fn play(warmup: &mut Warmup, from: u64, to: u64, step: usize) -> Vec<u64> {
    let times = (from..to).step_by(step);
    times.filter(|ms| warmup.take(at(*ms)).is_ok()).collect()
}

/// Returns the most hand-overs of any second.
fn most(times: &[u64]) -> usize {
    let within = |end: &u64| {
        times
            .iter()
            .filter(|t| **t <= *end && **t + 1_000 > *end)
            .count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

#[rstest]
#[case::asked_every_millisecond(1)]
#[case::asked_every_ten(10)]
#[case::asked_every_thirty_seven(37)]
fn no_second_holds_more_than_it_bears(#[case] step: usize) {
    let mut warmup = Warmup::new(at(0), BOUNDS);
    warmup.set_cold_limit(ColdStartLimit::Limited(COLD));
    warmup.set_cold_until(at(60_000));
    let times = play(&mut warmup, 2_000, 20_000, step);
    // 14 x 1.5 + 8 is what the users' pages allow.
    assert!(most(&times) <= 29, "{}", most(&times));
    assert!(
        times.len() >= 18 * 14,
        "it gets what it bears: {}",
        times.len()
    );
}

#[rstest]
#[case::whose_rule_is_not_known(ColdStartLimit::Unknown, 0)]
#[case::that_bears_as_much_as_any(ColdStartLimit::Unlimited, 100)]
#[case::that_bears_little(ColdStartLimit::Limited(COLD), 21)]
fn of_a_hundred_at_once_a_cold_one_gets(#[case] rule: ColdStartLimit, #[case] expected: usize) {
    let mut warmup = Warmup::new(at(0), BOUNDS);
    warmup.set_cold_limit(rule);
    warmup.set_cold_until(at(60_000));
    let taken = (0..100).filter(|_| warmup.take(at(2_000)).is_ok()).count();
    assert_eq!(taken, expected);
}

#[test]
fn a_guard_that_has_just_started_hands_nothing_over() {
    let mut warmup = Warmup::new(at(0), BOUNDS);
    warmup.set_cold_limit(ColdStartLimit::Limited(COLD));
    warmup.set_cold_until(at(60_000));
    let refusal = warmup.take(at(400)).unwrap_err();
    assert_eq!(refusal.reason, Reason::Warming);
    assert!(refusal.retry_after.is_some());
    assert!(warmup.take(at(1_100)).is_ok());
}

#[test]
fn a_second_in_which_it_turns_cold_counts_what_came_before() {
    let mut warmup = Warmup::new(at(0), BOUNDS);
    warmup.set_cold_limit(ColdStartLimit::Limited(COLD));
    let mut times = play(&mut warmup, 2_000, 2_500, 25);
    warmup.set_cold_until(at(60_000));
    times.extend(play(&mut warmup, 2_500, 3_500, 1));
    assert!(most(&times) <= 29, "{}", most(&times));
}

#[test]
fn one_whose_domain_was_taken_back_counts_as_cold_until_it_says_otherwise() {
    let mut warmup = Warmup::new(at(0), BOUNDS);
    warmup.set_cold_limit(ColdStartLimit::Limited(COLD));
    warmup.assume_cold(at(10_000));
    assert!(warmup.is_cold(at(10_500)));
    assert!(!warmup.is_cold(at(13_500)), "a start takes no longer");
    warmup.assume_cold(at(20_000));
    warmup.set_cold_until(at(20_100));
    assert!(!warmup.is_cold(at(20_200)), "it said that it is warm");
}
