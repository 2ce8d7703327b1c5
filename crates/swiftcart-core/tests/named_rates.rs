//! Tests of backend servers that name a rate limit, under a load in virtual time.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/mesh_load.rs"]
mod mesh_load;
mod support;

use std::time::Duration;

use mesh_load::{Workload, simulate};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use swiftcart_core::{Admission, AdmissionSettings, Admit, Deadline, Instant, Reason, ServerRate};

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn small(rates: &[f64]) -> Workload {
    Workload {
        nodes: 13,
        servers: 6,
        domains: 3,
        slots: 18,
        service_time: Duration::from_millis(80),
        request_rate: 400.0,
        named_rates: rates.to_vec(),
        duration: Duration::from_secs(16),
        ..Workload::default()
    }
}

fn large(rates: &[f64]) -> Workload {
    Workload {
        nodes: 300,
        servers: 160,
        domains: 5,
        slots: 11,
        request_rate: 5_000.0,
        ..small(rates)
    }
}

/// Returns the maximum number of requests in the window at a named rate.
///
/// The bound allows a burst of a fifth of a second and up to two more requests.
fn max_requests(rate: f64) -> usize {
    (rate * (WINDOW.as_secs_f64() + 0.2) + 2.0) as usize
}

#[rstest]
#[case::two_of_six_servers(small(&[56.0, 45.0]))]
#[case::half_of_the_servers(small(&[30.0; 3]))]
#[case::very_low_rates(small(&[2.0, 0.5]))]
#[case::large_mesh(large(&[15.0; 40]))]
fn named_rate_is_respected_and_used(#[case] load: Workload, #[values(1, 2, 3)] seed: u64) {
    let outcome = simulate(&load, seed);
    for (server, rate) in load.named_rates.iter().enumerate() {
        let received = outcome.max_in_window(server, WINDOW);
        assert!(
            received <= max_requests(*rate),
            "{received} of {}",
            max_requests(*rate)
        );
        let mean = outcome.rate(server, load.duration);
        assert!(mean >= 0.85 * rate, "{mean} of {rate}");
    }
}

#[rstest]
#[case::two_of_six_servers(small(&[56.0, 45.0]), 0.99)]
#[case::large_mesh(large(&[15.0; 40]), 0.99)]
#[case::very_low_rates(small(&[2.0, 0.5]), 0.90)]
fn other_servers_take_the_remaining_load(
    #[case] load: Workload,
    #[case] min_share: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = simulate(&load, seed);
    assert!(outcome.in_time() >= min_share, "{}", outcome.in_time());
}

#[rstest]
fn few_attempts_are_refused(#[values(1, 2, 3)] seed: u64) {
    let outcome = simulate(&large(&[15.0; 40]), seed);
    assert!(
        outcome.attempts_per_request() <= 1.6,
        "{}",
        outcome.attempts_per_request()
    );
}

/// Offers a request with a deadline of 1 s to a guard.
fn offer(guard: &mut Admission) -> Admit {
    let now = Instant::from_millis(0);
    let mut rng = SmallRng::seed_from_u64(1);
    guard.offer(now, Deadline::new(now, Duration::from_secs(1)), &mut rng)
}

#[test]
fn withdrawn_request_does_not_count_against_the_rate() {
    let now = Instant::from_millis(0);
    let mut guard = Admission::new(now, AdmissionSettings::default()).with_slots(4);
    guard.set_rate(now, ServerRate::new(0.1));
    let Admit::Run(ticket) = offer(&mut guard) else {
        panic!("the first request must start");
    };
    guard.withdraw(ticket, now);
    let Admit::Run(ticket) = offer(&mut guard) else {
        panic!("the withdrawn request must not count");
    };
    guard.cancel(ticket, now);
    let refused = offer(&mut guard);
    assert!(
        matches!(refused, Admit::Refuse(refusal) if refusal.reason == Reason::Throttled),
        "a cancelled request must count against the rate: {refused:?}"
    );
}
