//! Retries stay within the budget, within the deadline and at one level of the call chain.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use swiftcart_core::*;

const START: Instant = Instant::from_millis(0);

fn due(ms: u64) -> Deadline {
    Deadline::new(START, Duration::from_millis(ms))
}

fn budget(burst: f64) -> RetryBudget {
    let settings = RetrySettings {
        burst,
        floor: 0.0,
        ..RetrySettings::default()
    };
    RetryBudget::new(START, settings)
}

#[rstest]
#[case::not_run(Reason::QueueFull, false, 0, false, 1000, Ok(Attempt(1)))]
#[case::unknown_and_idempotent(Reason::Timeout, false, 0, true, 1000, Ok(Attempt(1)))]
#[case::unknown_and_not_idempotent(
    Reason::AnswerBroken,
    false,
    0,
    false,
    1000,
    Err(Reason::NotIdempotent)
)]
#[case::received_as_retry(Reason::QueueFull, false, 1, true, 1000, Err(Reason::TriesSpent))]
#[case::retried_by_a_lower_level(Reason::QueueFull, true, 0, true, 1000, Err(Reason::TriesSpent))]
#[case::no_time_left(Reason::QueueFull, false, 0, true, 4, Err(Reason::DeadlinePassed))]
#[case::not_retryable(Reason::KeyReused, false, 0, true, 1000, Err(Reason::KeyReused))]
#[case::caller_gone(Reason::CallerGone, false, 0, true, 1000, Err(Reason::CallerGone))]
fn retry_decision(
    #[case] reason: Reason,
    #[case] retried: bool,
    #[case] received: u8,
    #[case] idempotent: bool,
    #[case] left: u64,
    #[case] expected: Result<Attempt, Reason>,
) {
    let failure = Failure { reason, retried };
    let mut state = RetryState::new(Attempt(received));
    let decision = state.retry(START, failure, idempotent, due(left), &mut budget(1.0));
    assert_eq!(decision, expected);
    assert_eq!(state.retried(), expected.is_ok());
}

#[rstest]
fn empty_budget_refuses_until_first_attempts_refill_it() {
    let failure = Failure {
        reason: Reason::Draining,
        retried: false,
    };
    let mut budget = budget(1.0);
    let retry = |budget: &mut RetryBudget| {
        RetryState::new(Attempt::FIRST).retry(START, failure, false, due(1000), budget)
    };
    assert_eq!(retry(&mut budget), Ok(Attempt(1)));
    assert_eq!(retry(&mut budget), Err(Reason::RetryBudget));
    (0..11).for_each(|_| budget.first());
    assert_eq!(retry(&mut budget), Ok(Attempt(1)));
}

/// Sends a call through `levels`, of which the lowest one fails.
///
/// The first attempt to reach a level marked in `disconnected` fails to connect.
fn call(levels: u32, disconnected: &[bool], received: Attempt, reached: &mut u32) -> Failure {
    let Some(below) = levels.checked_sub(1) else {
        *reached += 1;
        return Failure {
            reason: Reason::Timeout,
            retried: false,
        };
    };
    let mut budget = budget(100.0);
    let mut state = RetryState::new(received);
    loop {
        let refused =
            disconnected.get(below as usize).copied().unwrap_or(false) && !state.retried();
        let failure = match refused {
            true => Failure {
                reason: Reason::ConnectFailed,
                retried: false,
            },
            false => call(below, disconnected, state.attempt(), reached),
        };
        let next = state.retry(START, failure, true, due(1000), &mut budget);
        if next.is_err() {
            let retried = failure.retried || state.retried();
            return Failure { retried, ..failure };
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(200) })]

    #[test]
    fn lowest_of_seven_levels_is_reached_at_most_max_attempts_times(disconnected in prop::collection::vec(any::<bool>(), 7)) {
        let mut reached = 0;
        call(7, &disconnected, Attempt::FIRST, &mut reached);
        prop_assert!(reached <= u32::from(MAX_ATTEMPTS), "{} attempts", reached);
    }

    #[test]
    fn retries_stay_within_the_budget(events in prop::collection::vec((any::<bool>(), 0..200_u64), 1..2000)) {
        let settings = RetrySettings::default();
        let mut budget = RetryBudget::new(START, settings);
        let (mut first, mut retries, mut now) = (0_u32, 0_u32, START);
        for (is_first, ms) in events {
            now = now + Duration::from_millis(ms / 40);
            match is_first {
                true => { budget.first(); first += 1; }
                false => retries += u32::from(budget.take(now)),
            }
            let floor = settings.floor * now.since(START).as_secs_f64();
            let bound = settings.burst + floor + settings.share * f64::from(first);
            prop_assert!(f64::from(retries) <= bound + 1e-6);
        }
    }
}

#[rstest]
#[case::plain("250", 60_000, Ok(250))]
#[case::limited_to_the_maximum("90000", 60_000, Ok(60_000))]
#[case::zero("0", 60_000, Ok(0))]
#[case::negative(
    "-1",
    60_000,
    Err(
        "Swiftcart-Deadline-Ms: invalid digit found in string; send the time left in whole milliseconds"
    )
)]
#[case::too_large(
    "18446744073709551616",
    60_000,
    Err(
        "Swiftcart-Deadline-Ms: number too large to fit in target type; send the time left in whole milliseconds"
    )
)]
fn deadline_is_parsed(
    #[case] text: &str,
    #[case] maximum: u64,
    #[case] expected: Result<u64, &str>,
) {
    let now = Instant::from_millis(77);
    let parsed = Deadline::parse(now, text, Duration::from_millis(maximum));
    let parsed = parsed
        .map(|due| due.left(now).as_millis() as u64)
        .map_err(|e| e.to_string());
    assert_eq!(parsed, expected.map_err(str::to_owned));
}

#[rstest]
fn each_hop_deducts_its_allowance() {
    let mut now = START;
    let mut left = Some(38);
    let mut hops = 0;
    while let Some(ms) = left {
        let due = Deadline::new(now, Duration::from_millis(ms));
        left = due.minus(HOP_ALLOWANCE).left_ms(now);
        now = now + Duration::from_millis(1);
        hops += 1;
    }
    assert_eq!(hops, 8);
}
