//! Who comes back after a refusal, and who only looks like it.

use rstest::rstest;
use swiftcart_core::*;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[test]
fn a_caller_that_is_refused_again_is_as_old_as_its_first_try() {
    let mut refusal_history = RefusalHistory::new();
    refusal_history.refused(at(100), HeadPrint(7), at(0));
    assert_eq!(
        refusal_history.first_attempt(at(400), HeadPrint(7)),
        Some(at(0))
    );
    refusal_history.refused(at(500), HeadPrint(7), at(0));
    assert_eq!(
        refusal_history.first_attempt(at(900), HeadPrint(7)),
        Some(at(0))
    );
}

#[test]
fn of_many_callers_with_one_head_as_many_count_as_were_refused() {
    let mut refusal_history = RefusalHistory::new();
    (0..3).for_each(|n| refusal_history.refused(at(n), HeadPrint(7), at(n)));
    let first_attempt =
        (0..10).filter_map(|n| refusal_history.first_attempt(at(300 + n), HeadPrint(7)));
    assert_eq!(first_attempt.collect::<Vec<_>>(), [at(0), at(1), at(2)]);
}

#[rstest]
#[case::within_its_time(9_000, Some(at(0)))]
#[case::too_late(10_500, None)]
fn one_who_was_refused_is_expected(#[case] ms: u64, #[case] expected: Option<Instant>) {
    let mut refusal_history = RefusalHistory::new();
    refusal_history.refused(at(0), HeadPrint(7), at(0));
    assert_eq!(
        refusal_history.first_attempt(at(ms), HeadPrint(7)),
        expected
    );
}

#[test]
fn a_later_refusal_outlasts_an_earlier_one_that_came_back() {
    let mut refusal_history = RefusalHistory::new();
    refusal_history.refused(at(0), HeadPrint(7), at(0));
    assert_eq!(
        refusal_history.first_attempt(at(300), HeadPrint(7)),
        Some(at(0))
    );
    refusal_history.refused(at(6_000), HeadPrint(7), at(5_900));
    refusal_history.refused(at(10_100), HeadPrint(8), at(10_100));
    assert_eq!(
        refusal_history.first_attempt(at(10_200), HeadPrint(7)),
        Some(at(5_900))
    );
}

#[test]
fn the_memory_is_bounded() {
    let mut refusal_history = RefusalHistory::new();
    (0..10_000).for_each(|n| refusal_history.refused(at(1), HeadPrint(n), at(0)));
    let known = (0..10_000).filter(|n| {
        refusal_history
            .first_attempt(at(2), HeadPrint(*n))
            .is_some()
    });
    assert_eq!(known.count(), 4096);
}
