//! What a node learns of a route: how old requests are, and how long answers are.

use std::time::Duration;

use rstest::rstest;
use swiftcart_core::*;

const FIRST_MS: u64 = 1_200;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A route whose first tries all come with 1,200 ms, as often as asked for.
fn known(times: u32) -> RequestAgeEstimator {
    let mut given = RequestAgeEstimator::default();
    for _ in 0..times {
        given.age(ms(FIRST_MS));
    }
    given
}

#[rstest]
#[case::a_first_try(1_200, 0)]
#[case::a_caller_that_comes_back(850, 350)]
#[case::a_caller_with_more_time(6_000, 0)]
#[case::a_caller_without_time(0, 1_200)]
fn the_age_is_what_the_usual_time_lacks(#[case] given_ms: u64, #[case] age_ms: u64) {
    assert_eq!(known(20).age(ms(given_ms)), ms(age_ms));
}

#[test]
fn nothing_has_an_age_before_first_tries_are_known() {
    assert_eq!(known(7).age(ms(850)), Duration::ZERO);
}

#[test]
fn later_tries_with_all_kinds_of_times_are_never_taken_for_first_ones() {
    let mut given = known(30);
    for i in 0..2_000 {
        let first = given.age(ms(FIRST_MS));
        let left = 300 + (i * 37) % 700;
        let later = given.age(ms(left));
        assert_eq!((first, later), (Duration::ZERO, ms(FIRST_MS - left)));
    }
}

#[test]
fn two_kinds_of_callers_are_both_at_their_first_try() {
    let mut given = RequestAgeEstimator::default();
    for _ in 0..200 {
        given.age(ms(FIRST_MS));
        given.age(ms(FIRST_MS));
        given.age(ms(800));
    }
    assert_eq!(given.age(ms(800)), Duration::ZERO);
    assert_eq!(given.age(ms(700)), ms(500));
}

#[test]
fn callers_that_change_their_time_are_followed() {
    let mut given = known(1_000);
    let mut wrong = 0;
    for _ in 0..1_000 {
        wrong += u32::from(given.age(ms(900)) > Duration::ZERO);
    }
    assert!(wrong < 600, "{wrong} first tries taken for later ones");
    assert_eq!(given.age(ms(900)), Duration::ZERO);
    assert_eq!(given.age(ms(600)), ms(300));
}

#[rstest]
#[case::of_short_answers(&[1_500, 9_000, 5_000], Payload::Light)]
#[case::of_long_answers(&[90_000, 40_000, 120_000], Payload::Heavy)]
#[case::of_short_answers_and_one_long_one(&[1_500, 1_500, 1_500, 90_000], Payload::Light)]
fn a_route_weighs_as_much_as_its_answers(#[case] answers: &[u64], #[case] payload: Payload) {
    let mut profiles = RouteProfiles::default();
    let route = RouteKey::new("//hire.example/plots/");
    for bytes in answers {
        profiles.of(route).record_response(*bytes);
    }
    assert_eq!(profiles.of(route).payload(), payload);
}

#[test]
fn the_routes_that_are_remembered_are_bounded() {
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
