//! Route profiles: the estimated age of requests and the length of responses.

use std::time::Duration;

use rstest::rstest;
use swiftcart_core::*;

const FIRST_LIMIT_MS: u64 = 1_200;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Creates an estimator that has recorded `times` first attempts with a limit of 1,200 ms.
fn estimator_after(times: u32) -> RequestAgeEstimator {
    let mut estimator = RequestAgeEstimator::default();
    for _ in 0..times {
        estimator.age(ms(FIRST_LIMIT_MS));
    }
    estimator
}

#[rstest]
#[case::first_attempt(1_200, 0)]
#[case::retry(850, 350)]
#[case::longer_time_limit(6_000, 0)]
#[case::no_time_left(0, 1_200)]
fn age_is_the_difference_to_the_usual_time_limit(#[case] limit_ms: u64, #[case] age_ms: u64) {
    assert_eq!(estimator_after(20).age(ms(limit_ms)), ms(age_ms));
}

#[test]
fn age_is_zero_before_first_attempts_are_known() {
    assert_eq!(estimator_after(7).age(ms(850)), Duration::ZERO);
}

#[test]
fn retries_with_various_time_limits_are_not_taken_for_first_attempts() {
    let mut estimator = estimator_after(30);
    for i in 0..2_000 {
        let first = estimator.age(ms(FIRST_LIMIT_MS));
        let left = 300 + (i * 37) % 700;
        let retry = estimator.age(ms(left));
        assert_eq!((first, retry), (Duration::ZERO, ms(FIRST_LIMIT_MS - left)));
    }
}

#[test]
fn two_time_limits_of_first_attempts_are_recognized() {
    let mut estimator = RequestAgeEstimator::default();
    for _ in 0..200 {
        estimator.age(ms(FIRST_LIMIT_MS));
        estimator.age(ms(FIRST_LIMIT_MS));
        estimator.age(ms(800));
    }
    assert_eq!(estimator.age(ms(800)), Duration::ZERO);
    assert_eq!(estimator.age(ms(700)), ms(500));
}

#[test]
fn change_of_the_usual_time_limit_is_followed() {
    let mut estimator = estimator_after(1_000);
    let mut wrong = 0;
    for _ in 0..1_000 {
        wrong += u32::from(estimator.age(ms(900)) > Duration::ZERO);
    }
    assert!(wrong < 600, "{wrong} first attempts taken for retries");
    assert_eq!(estimator.age(ms(900)), Duration::ZERO);
    assert_eq!(estimator.age(ms(600)), ms(300));
}

#[rstest]
#[case::short_responses(&[1_500, 9_000, 5_000], Payload::Light)]
#[case::long_responses(&[90_000, 40_000, 120_000], Payload::Heavy)]
#[case::short_responses_and_one_long_response(&[1_500, 1_500, 1_500, 90_000], Payload::Light)]
fn payload_follows_response_length(#[case] responses: &[u64], #[case] payload: Payload) {
    let mut profiles = RouteProfiles::default();
    let route = RouteKey::new("//hire.example/plots/");
    for bytes in responses {
        profiles.of(route).record_response(*bytes);
    }
    assert_eq!(profiles.of(route).payload(), payload);
}

#[test]
fn number_of_stored_routes_is_bounded() {
    let mut profiles = RouteProfiles::default();
    for i in 0..10_000 {
        profiles
            .of(RouteKey::new(&format!("/{i}")))
            .record_response(90_000);
    }
    let kept = (0..10_000)
        .filter(|i| profiles.of(RouteKey::new(&format!("/{i}"))).payload() == Payload::Heavy);
    assert!(kept.count() < 1_000);
}
