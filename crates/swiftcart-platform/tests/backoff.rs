//! Tests of the delays between failed reads.

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
