//! Slow start of a cold backend server, in virtual time.
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

/// Attempts a dispatch every `step` milliseconds from `from` to `to`. Returns the times of the
/// admitted dispatches.
fn dispatch_times(warmup: &mut Warmup, from: u64, to: u64, step: usize) -> Vec<u64> {
    let times = (from..to).step_by(step);
    times.filter(|ms| warmup.take(at(*ms)).is_ok()).collect()
}

/// Returns the maximum number of dispatches in any second.
fn max_per_second(times: &[u64]) -> usize {
    let within = |end: &u64| {
        times
            .iter()
            .filter(|t| **t <= *end && **t + 1_000 > *end)
            .count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

#[rstest]
#[case::one_request_per_ms(1)]
#[case::one_request_per_10_ms(10)]
#[case::one_request_per_37_ms(37)]
fn cold_limit_holds_in_every_second(#[case] step: usize) {
    let mut warmup = Warmup::new(at(0), BOUNDS);
    warmup.set_cold_limit(ColdStartLimit::Limited(COLD));
    warmup.set_cold_until(at(60_000));
    let times = dispatch_times(&mut warmup, 2_000, 20_000, step);
    // The documented tolerance allows 14 x 1.5 + 8 requests.
    assert!(max_per_second(&times) <= 29, "{}", max_per_second(&times));
    assert!(
        times.len() >= 18 * 14,
        "fewer requests than the cold rate: {}",
        times.len()
    );
}

#[rstest]
#[case::unknown_limit(ColdStartLimit::Unknown, 0)]
#[case::unlimited(ColdStartLimit::Unlimited, 100)]
#[case::limited(ColdStartLimit::Limited(COLD), 21)]
fn burst_of_100_requests_to_cold_backend_server(
    #[case] limit: ColdStartLimit,
    #[case] expected: usize,
) {
    let mut warmup = Warmup::new(at(0), BOUNDS);
    warmup.set_cold_limit(limit);
    warmup.set_cold_until(at(60_000));
    let taken = (0..100).filter(|_| warmup.take(at(2_000)).is_ok()).count();
    assert_eq!(taken, expected);
}

#[test]
fn new_guard_dispatches_nothing_in_the_first_window() {
    let mut warmup = Warmup::new(at(0), BOUNDS);
    warmup.set_cold_limit(ColdStartLimit::Limited(COLD));
    warmup.set_cold_until(at(60_000));
    let refusal = warmup.take(at(400)).unwrap_err();
    assert_eq!(refusal.reason, Reason::Warming);
    assert!(refusal.retry_after.is_some());
    assert!(warmup.take(at(1_100)).is_ok());
}

#[test]
fn dispatches_before_cold_announcement_count_towards_the_limit() {
    let mut warmup = Warmup::new(at(0), BOUNDS);
    warmup.set_cold_limit(ColdStartLimit::Limited(COLD));
    let mut times = dispatch_times(&mut warmup, 2_000, 2_500, 25);
    warmup.set_cold_until(at(60_000));
    times.extend(dispatch_times(&mut warmup, 2_500, 3_500, 1));
    assert!(max_per_second(&times) <= 29, "{}", max_per_second(&times));
}

#[test]
fn backend_server_assumed_cold_until_announcement_or_end_of_slow_start() {
    let mut warmup = Warmup::new(at(0), BOUNDS);
    warmup.set_cold_limit(ColdStartLimit::Limited(COLD));
    warmup.assume_cold(at(10_000));
    assert!(warmup.is_cold(at(10_500)));
    assert!(!warmup.is_cold(at(13_500)), "the slow start is over");
    warmup.assume_cold(at(20_000));
    warmup.set_cold_until(at(20_100));
    assert!(
        !warmup.is_cold(at(20_200)),
        "the backend server announced itself as warm"
    );
}
