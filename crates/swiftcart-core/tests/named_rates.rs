//! Backend servers that name the requests a second that they take, under callers' load in virtual time.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/mesh_load.rs"]
mod mesh_load;
mod support;

use std::time::Duration;

use mesh_load::{Load, play};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use swiftcart_core::{Admission, AdmissionSettings, Admit, Deadline, Instant, Reason, ServerRate};

/// The time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn small(named: &[f64]) -> Load {
    Load {
        nodes: 13,
        servers: 6,
        domains: 3,
        slots: 18,
        work: Duration::from_millis(80),
        asked: 400.0,
        named: named.to_vec(),
        time: Duration::from_secs(16),
    }
}

fn large(named: &[f64]) -> Load {
    Load {
        nodes: 300,
        servers: 160,
        domains: 5,
        slots: 11,
        asked: 5_000.0,
        ..small(named)
    }
}

/// The most requests in the window at a rate that is kept to a fifth of a second and one request.
fn most(rate: f64) -> usize {
    (rate * (WINDOW.as_secs_f64() + 0.2) + 2.0) as usize
}

#[rstest]
#[case::two_of_six(small(&[56.0, 45.0]))]
#[case::half_of_them(small(&[30.0; 3]))]
#[case::hardly_any(small(&[2.0, 0.5]))]
#[case::in_a_large_mesh(large(&[15.0; 40]))]
fn a_named_rate_is_kept_and_used(#[case] load: Load, #[values(1, 2, 3)] seed: u64) {
    let outcome = play(&load, seed);
    for (server, rate) in load.named.iter().enumerate() {
        let got = outcome.most(server, WINDOW);
        assert!(got <= most(*rate), "{got} of {}", most(*rate));
        let mean = outcome.rate(server, load.time);
        assert!(mean >= 0.85 * rate, "{mean} of {rate}");
    }
}

#[rstest]
#[case::a_few_can_bear(small(&[56.0, 45.0]), 0.99)]
#[case::a_large_mesh_can(large(&[15.0; 40]), 0.99)]
#[case::hardly_anybody_can(small(&[2.0, 0.5]), 0.90)]
fn the_others_take_what(#[case] load: Load, #[case] least: f64, #[values(1, 2, 3)] seed: u64) {
    let outcome = play(&load, seed);
    assert!(outcome.in_time() >= least, "{}", outcome.in_time());
}

#[rstest]
fn few_guards_are_asked_in_vain(#[values(1, 2, 3)] seed: u64) {
    let outcome = play(&large(&[15.0; 40]), seed);
    assert!(outcome.tries_each() <= 1.6, "{}", outcome.tries_each());
}

/// Offers a request at a guard whose backend server takes one in ten seconds.
fn offer(guard: &mut Admission) -> Admit {
    let now = Instant::from_millis(0);
    let mut rng = SmallRng::seed_from_u64(1);
    guard.offer(now, Deadline::new(now, Duration::from_secs(1)), &mut rng)
}

#[test]
fn a_request_that_is_withdrawn_does_not_count() {
    let now = Instant::from_millis(0);
    let mut guard = Admission::new(now, AdmissionSettings::default()).with_slots(4);
    guard.set_rate(now, ServerRate::new(0.1));
    let Admit::Run(ticket) = offer(&mut guard) else {
        panic!("the first one may start");
    };
    guard.withdraw(ticket, now);
    let Admit::Run(ticket) = offer(&mut guard) else {
        panic!("the first one was withdrawn");
    };
    guard.cancel(ticket, now);
    let refused = offer(&mut guard);
    assert!(
        matches!(refused, Admit::Refuse(refusal) if refusal.reason == Reason::Throttled),
        "one whose caller left counts: {refused:?}"
    );
}
