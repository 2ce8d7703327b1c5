//! Tests of the delays between failed reads.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use swiftcart_platform::{Backoff, PlatformError};

#[rstest]
#[case::first(0, 250..=500)]
#[case::second(1, 500..=1000)]
#[case::later(9, 2000..=4000)]
fn delay_doubles_up_to_its_maximum(
    #[case] failures: usize,
    #[case] expected: std::ops::RangeInclusive<u128>,
) {
    let delays = (0..100).map(|seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut backoff = Backoff::new();
        for _ in 0..failures {
            backoff.failed(&PlatformError::Timeout, &mut rng);
        }
        backoff
            .failed(&PlatformError::Timeout, &mut rng)
            .as_millis()
    });
    let delays: Vec<_> = delays.collect();
    assert!(
        delays.iter().all(|delay| expected.contains(delay)),
        "{delays:?}"
    );
    assert_ne!(
        delays.iter().min(),
        delays.iter().max(),
        "delays have no jitter"
    );
}

#[test]
fn success_resets_the_backoff() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut backoff = Backoff::new();
    backoff.failed(&PlatformError::Timeout, &mut rng);
    backoff.succeeded();
    assert_eq!(backoff, Backoff::new());
}

#[rstest]
#[case::a_short_request(100, 250..=500)]
#[case::a_long_request(9_000, 2000..=2000)]
fn a_limit_bounds_the_delay_that_the_platform_asks_for(
    #[case] asked_ms: u64,
    #[case] expected: std::ops::RangeInclusive<u128>,
) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut backoff = Backoff::new().with_limit(Duration::from_secs(2));
    let retry_after = Some(Duration::from_millis(asked_ms));
    let first = backoff.failed(&PlatformError::Throttled { retry_after }, &mut rng);
    assert!(expected.contains(&first.as_millis()), "{first:?}");
    for _ in 0..9 {
        assert!(backoff.failed(&PlatformError::Timeout, &mut rng) <= Duration::from_secs(2));
    }
    backoff.succeeded();
    let again = backoff.failed(&PlatformError::Timeout, &mut rng);
    assert!(again <= Duration::from_millis(500), "{again:?}");
}
