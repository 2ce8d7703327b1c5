//! Matching of retried requests with earlier refusals.

use rstest::rstest;
use swiftcart_core::*;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[test]
fn repeated_refusals_keep_the_time_of_the_first_attempt() {
    let mut history = RefusalHistory::new();
    history.refused(at(100), HeadHash(7), at(0));
    assert_eq!(history.first_attempt(at(400), HeadHash(7)), Some(at(0)));
    history.refused(at(500), HeadHash(7), at(0));
    assert_eq!(history.first_attempt(at(900), HeadHash(7)), Some(at(0)));
}

#[test]
fn each_refusal_matches_one_request() {
    let mut history = RefusalHistory::new();
    (0..3).for_each(|n| history.refused(at(n), HeadHash(7), at(n)));
    let matched = (0..10).filter_map(|n| history.first_attempt(at(300 + n), HeadHash(7)));
    assert_eq!(matched.collect::<Vec<_>>(), [at(0), at(1), at(2)]);
}

#[rstest]
#[case::within_the_retention(9_000, Some(at(0)))]
#[case::after_the_retention(10_500, None)]
fn refusal_is_matched(#[case] ms: u64, #[case] expected: Option<Instant>) {
    let mut history = RefusalHistory::new();
    history.refused(at(0), HeadHash(7), at(0));
    assert_eq!(history.first_attempt(at(ms), HeadHash(7)), expected);
}

#[test]
fn later_refusal_outlives_an_earlier_one_that_was_matched() {
    let mut history = RefusalHistory::new();
    history.refused(at(0), HeadHash(7), at(0));
    assert_eq!(history.first_attempt(at(300), HeadHash(7)), Some(at(0)));
    history.refused(at(6_000), HeadHash(7), at(5_900));
    history.refused(at(10_100), HeadHash(8), at(10_100));
    assert_eq!(
        history.first_attempt(at(10_200), HeadHash(7)),
        Some(at(5_900))
    );
}

#[test]
fn number_of_refusals_is_bounded() {
    let mut history = RefusalHistory::new();
    (0..10_000).for_each(|n| history.refused(at(1), HeadHash(n), at(0)));
    let matched = (0..10_000).filter(|n| history.first_attempt(at(2), HeadHash(*n)).is_some());
    assert_eq!(matched.count(), 4096);
}

#[rstest]
#[case::in_time(Some(at(400)), 400, true)]
#[case::too_early(Some(at(400)), 399, false)]
#[case::without_a_time(None, 400, false)]
fn caller_has_waited_if_it_comes_back(
    #[case] retry_at: Option<Instant>,
    #[case] ms: u64,
    #[case] expected: bool,
) {
    let mut history = RefusalHistory::new();
    let refusal = PriorRefusal {
        first: at(0),
        retry_at,
    };
    history.record(at(1), HeadHash(7), refusal);
    let prior = history.take(at(ms), HeadHash(7));
    assert_eq!(prior.map(|prior| prior.has_waited(at(ms))), Some(expected));
}
