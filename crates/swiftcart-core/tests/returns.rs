//! Who comes back after a refusal, and who only looks like it.

use rstest::rstest;
use swiftcart_core::*;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[test]
fn a_caller_that_is_refused_again_is_as_old_as_its_first_try() {
    let mut returns = Returns::new();
    returns.refused(at(100), HeadHash(7), at(0));
    assert_eq!(returns.came(at(400), HeadHash(7)), Some(at(0)));
    returns.refused(at(500), HeadHash(7), at(0));
    assert_eq!(returns.came(at(900), HeadHash(7)), Some(at(0)));
}

#[test]
fn of_many_callers_with_one_head_as_many_count_as_were_refused() {
    let mut returns = Returns::new();
    (0..3).for_each(|n| returns.refused(at(n), HeadHash(7), at(n)));
    let came = (0..10).filter_map(|n| returns.came(at(300 + n), HeadHash(7)));
    assert_eq!(came.collect::<Vec<_>>(), [at(0), at(1), at(2)]);
}

#[rstest]
#[case::within_its_time(9_000, Some(at(0)))]
#[case::too_late(10_500, None)]
fn one_who_was_refused_is_expected(#[case] ms: u64, #[case] expected: Option<Instant>) {
    let mut returns = Returns::new();
    returns.refused(at(0), HeadHash(7), at(0));
    assert_eq!(returns.came(at(ms), HeadHash(7)), expected);
}

#[test]
fn a_later_refusal_outlasts_an_earlier_one_that_came_back() {
    let mut returns = Returns::new();
    returns.refused(at(0), HeadHash(7), at(0));
    assert_eq!(returns.came(at(300), HeadHash(7)), Some(at(0)));
    returns.refused(at(6_000), HeadHash(7), at(5_900));
    returns.refused(at(10_100), HeadHash(8), at(10_100));
    assert_eq!(returns.came(at(10_200), HeadHash(7)), Some(at(5_900)));
}

#[test]
fn the_memory_is_bounded() {
    let mut returns = Returns::new();
    (0..10_000).for_each(|n| returns.refused(at(1), HeadHash(n), at(0)));
    let known = (0..10_000).filter(|n| returns.came(at(2), HeadHash(*n)).is_some());
    assert_eq!(known.count(), 4096);
}
