//! Quotas of client accounts over a whole mesh, played in virtual time.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/quota.rs"]
mod quota;

use std::time::Duration;

use quota::{Load, bound, play};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use swiftcart_core::{
    AccountTag, AdmissionRatio, Instant, Quota, QuotaMeter, Reason, RequestTiming,
};

const SECOND: Duration = Duration::from_secs(1);
const TIME: Duration = Duration::from_secs(25);

#[rstest]
#[case::a_large_account_that_asks_five_times_its_quota(Load::new(69, 320, 1600.0))]
#[case::a_middling_one(Load::new(69, 40, 200.0))]
#[case::a_small_one_through_many_nodes(Load::new(69, 4, 40.0))]
#[case::one_that_comes_through_one_node(Load { skew: 0.9, ..Load::new(69, 100, 700.0) })]
#[case::over_links_that_lose_a_tenth(Load { lost: 0.1, ..Load::new(69, 160, 800.0) })]
#[case::in_a_small_mesh(Load::new(13, 60, 400.0))]
#[case::beside_a_cut(Load { cut: Some((5 * SECOND, 8 * SECOND)), ..Load::new(69, 160, 800.0) })]
#[case::whose_ledger_is_killed(Load { killed: Some((6 * SECOND, 0)), ..Load::new(69, 160, 800.0) })]
#[case::while_all_nodes_are_killed(Load { killed: Some((6 * SECOND, 68)), ..Load::new(69, 160, 800.0) })]
#[case::whose_quota_is_lowered(Load { lowered: Some((6 * SECOND, Quota { rate: 20, burst: 20 })), ..Load::new(69, 160, 100.0) })]
fn the_sum_over_all_nodes_stays_within_the_quota(
    #[case] load: Load,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let outcome = play(load, TIME, seed);
    // A lower quota binds one window after it is in force everywhere.
    let (quota, from) = match load.lowered {
        Some((at, quota)) => (quota, at + 6 * SECOND),
        None => (load.quota, Duration::ZERO),
    };
    let (most, bound) = (outcome.most(from), bound(quota));
    assert!(
        most <= bound,
        "{most} requests in a window, {bound} allowed"
    );
}

#[rstest]
#[case::large(Load::new(69, 320, 1600.0))]
#[case::middling(Load::new(69, 40, 200.0))]
#[case::small(Load::new(69, 4, 40.0))]
#[case::skewed(Load { skew: 0.9, ..Load::new(69, 100, 700.0) })]
#[case::lossy(Load { lost: 0.1, ..Load::new(69, 160, 800.0) })]
fn an_account_that_asks_for_much_more_gets_its_quota(
    #[case] load: Load,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let outcome = play(load, TIME, seed);
    let owed = f64::from(load.quota.rate) * TIME.as_secs_f64();
    let got = outcome.admitted.len() as f64 / owed;
    assert!(got >= 0.95, "{got:.3} of the quota");
}

#[rstest]
#[case::large(Load::new(69, 320, 200.0))]
#[case::small(Load::new(69, 4, 2.5))]
#[case::skewed(Load { skew: 0.9, ..Load::new(69, 100, 62.0) })]
#[case::lossy(Load { lost: 0.1, ..Load::new(69, 160, 100.0) })]
#[case::whose_ledger_is_killed(Load { killed: Some((6 * SECOND, 0)), ..Load::new(69, 160, 100.0) })]
#[case::after_a_restart_of_all(Load { killed: Some((6 * SECOND, 68)), ..Load::new(69, 160, 100.0) })]
fn an_account_below_its_quota_is_not_refused(
    #[case] load: Load,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let outcome = play(load, TIME, seed);
    let served = outcome.admitted.len() as f64 / outcome.asked as f64;
    assert!(served >= 0.98, "{served:.3} of what was asked");
}

const ACCOUNT: AccountTag = AccountTag(7);

/// Asks a meter that no ledger answers every ten milliseconds for ten seconds; returns how many
/// requests it admits.
fn alone(meter: &mut QuotaMeter, quota: Quota) -> usize {
    let mut rng = SmallRng::seed_from_u64(1);
    let times = (0..10_000).step_by(10).map(Instant::from_millis);
    let admitted = times.filter(|now| {
        let asked = meter.admit(*now, ACCOUNT, quota, RequestTiming::InTime, &mut rng);
        meter.due(*now);
        asked.is_ok()
    });
    admitted.count()
}

#[test]
fn a_node_without_a_ledger_admits_its_equal_part() {
    let quota = Quota {
        rate: 40,
        burst: 40,
    };
    let mut meter = QuotaMeter::new(1);
    meter.set_nodes(10);
    let admitted = alone(&mut meter, quota);
    // Some 100 in the second before it knows, then 4 a second.
    assert!((130..=145).contains(&admitted), "{admitted}");
}

#[test]
fn a_node_that_counted_before_it_knew_the_others_admits_no_more() {
    let quota = Quota {
        rate: 40,
        burst: 40,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut meter = QuotaMeter::new(1);
    let start = Instant::from_millis(0);
    let first = meter.admit(start, ACCOUNT, quota, RequestTiming::InTime, &mut rng);
    assert!(first.is_ok());
    meter.set_nodes(10);
    let admitted = alone(&mut meter, quota);
    assert!((130..=145).contains(&admitted), "{admitted}");
}

/// A meter that heard which part to admit.
fn told(permille: u16) -> QuotaMeter {
    let mut meter = QuotaMeter::new(1);
    let account = ACCOUNT;
    meter.receive(
        Instant::from_millis(0),
        AdmissionRatio { account, permille },
    );
    meter
}

const TEN: Quota = Quota {
    rate: 10,
    burst: 10,
};

#[test]
fn a_refusal_tells_each_caller_a_later_time() {
    let (mut meter, mut rng) = (told(0), SmallRng::seed_from_u64(1));
    let now = Instant::from_millis(0);
    let mut admit = || meter.admit(now, ACCOUNT, TEN, RequestTiming::InTime, &mut rng);
    let (first, second) = (admit().unwrap_err(), admit().unwrap_err());
    assert_eq!(first.reason, Reason::OverQuota);
    assert!(first.retry_after < second.retry_after);
}

#[rstest]
#[case::an_account_that_is_not_limited(AdmissionRatio::ALL, true)]
#[case::a_limited_account(990, false)]
fn a_request_that_is_too_late_is_admitted_for(#[case] permille: u16, #[case] expected: bool) {
    let (mut meter, mut rng) = (told(permille), SmallRng::seed_from_u64(1));
    let now = Instant::from_millis(0);
    let mut admit = |timing| meter.admit(now, ACCOUNT, TEN, timing, &mut rng).is_ok();
    assert_eq!(admit(RequestTiming::Late), expected);
    assert!(admit(RequestTiming::InTime));
}
