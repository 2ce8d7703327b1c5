//! Waits of a reader whose reads fail.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use swiftcart_platform::{Backoff, PlatformError};

#[rstest]
#[case::first(0, 250..=500)]
#[case::second(1, 500..=1000)]
#[case::later(9, 2000..=4000)]
fn the_wait_doubles_within_its_bounds(
    #[case] before: usize,
    #[case] expected: std::ops::RangeInclusive<u128>,
) {
    let waits = (0..100).map(|seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut backoff = Backoff::new();
        for _ in 0..before {
            backoff.failed(&PlatformError::Timeout, &mut rng);
        }
        backoff
            .failed(&PlatformError::Timeout, &mut rng)
            .as_millis()
    });
    let waits: Vec<_> = waits.collect();
    assert!(
        waits.iter().all(|wait| expected.contains(wait)),
        "{waits:?}"
    );
    assert_ne!(waits.iter().min(), waits.iter().max(), "without jitter");
}

#[test]
fn a_success_ends_the_doubling() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut backoff = Backoff::new();
    backoff.failed(&PlatformError::Timeout, &mut rng);
    backoff.succeeded();
    assert_eq!(backoff, Backoff::new());
}
