//! Shares of a rate limit: their sum keeps the limit.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use swiftcart_core::*;

const START: Instant = Instant::from_millis(0);

/// Sends `arrivals[i]` requests per second to guard `i` for 10 s. Returns the number of admitted
/// requests.
fn admitted(rate: u32, arrivals: &[u32]) -> u32 {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut offer = |count: u32| {
        let mut share = RateShare::new(START).with_rate(START, rate, arrivals.len());
        let at = |i: u32| START + Duration::from_secs(10) * i / (count * 10);
        let taken = (0..count * 10).filter(|i| share.take(at(*i), &mut rng).is_ok());
        taken.count() as u32
    };
    arrivals.iter().map(|count| offer(*count)).sum()
}

#[rstest]
#[case::all_below_the_limit(100, &[20, 20, 20, 20], 800..=800)]
#[case::limit_under_overload(100, &[400, 400, 400, 400], 1000..=1021)]
#[case::less_for_uneven_arrivals(100, &[85, 5, 5, 5], 399..=405)]
#[case::rate_below_number_of_guards(2, &[10, 10, 10, 10], 20..=24)]
#[case::all_without_limit(0, &[500, 500], 10_000..=10_000)]
fn shares_admit(
    #[case] rate: u32,
    #[case] arrivals: &[u32],
    #[case] expected: std::ops::RangeInclusive<u32>,
) {
    let admitted = admitted(rate, arrivals);
    assert!(expected.contains(&admitted), "{admitted}");
}

#[rstest]
#[case::share_of_200_ms(100, 1, 20)]
#[case::at_least_one_token(1, 10, 1)]
fn burst_after_idle_period_is_limited(
    #[case] rate: u32,
    #[case] guards: usize,
    #[case] expected: usize,
) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut share = RateShare::new(START).with_rate(START, rate, guards);
    let now = Instant::from_millis(60_000);
    let admitted = (0..100).filter(|_| share.take(now, &mut rng).is_ok());
    assert_eq!(admitted.count(), expected);
}

#[rstest]
fn retry_delays_of_refused_callers_are_spread() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut share = RateShare::new(START).with_rate(START, 100, 1);
    let refused = (0..120).filter_map(|_| share.take(START, &mut rng).err());
    let mut after: Vec<_> = refused.filter_map(|r| r.retry_after).collect();
    after.sort_unstable();
    let retries_per_window = after.iter().map(|a| {
        after
            .iter()
            .filter(|b| **b >= *a && **b - *a < Duration::from_millis(100))
            .count()
    });
    assert_eq!(after.len(), 119);
    assert!(
        retries_per_window.max() <= Some(20),
        "more than twice the rate retries within 100 ms"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(200) })]

    #[test]
    fn repeated_splits_create_no_tokens(rate in 1..500_u32, steps in prop::collection::vec((1..8_usize, 0..300_u64), 1..60)) {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut now = START;
        let mut share = RateShare::new(now);
        let (mut taken, mut bound) = (0_u32, 1.0);
        for (guards, ms) in steps {
            share.split(now, rate, guards);
            now = now + Duration::from_millis(ms);
            bound += f64::from(rate) / guards as f64 * ms as f64 / 1000.0;
            taken += (0..200).filter(|_| share.take(now, &mut rng).is_ok()).count() as u32;
            prop_assert!(f64::from(taken) <= bound + 1e-6, "{} tokens taken, {} refilled", taken, bound);
        }
    }
}
