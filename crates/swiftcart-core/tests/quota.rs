//! Quotas of client accounts over a whole mesh, simulated in virtual time.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/quota.rs"]
mod quota;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use quota::{Load, bound, simulate};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use swiftcart_core::{
    AccountTag, AdmissionRatio, Instant, NodeId, Priority, Quota, QuotaBounds, QuotaLedger,
    QuotaMeter, QuotaRequest, Reason, RequestTiming, Usage,
};

const SECOND: Duration = Duration::from_secs(1);
const TIME: Duration = Duration::from_secs(25);

#[rstest]
#[case::large_account_at_five_times_its_quota(Load::new(69, 320, 1600.0))]
#[case::medium_account(Load::new(69, 40, 200.0))]
#[case::small_account_through_many_nodes(Load::new(69, 4, 40.0))]
#[case::skewed_to_one_node(Load { skew: 0.9, ..Load::new(69, 100, 700.0) })]
#[case::ten_percent_message_loss(Load { loss: 0.1, ..Load::new(69, 160, 800.0) })]
#[case::small_mesh(Load::new(13, 60, 400.0))]
#[case::network_partition(Load { partition: Some((5 * SECOND, 8 * SECOND)), ..Load::new(69, 160, 800.0) })]
#[case::ledger_killed(Load { killed: Some((6 * SECOND, 0)), ..Load::new(69, 160, 800.0) })]
#[case::all_nodes_killed(Load { killed: Some((6 * SECOND, 68)), ..Load::new(69, 160, 800.0) })]
#[case::small_account_partitioned(Load { partition: Some((5 * SECOND, 6 * SECOND)), ..Load::new(69, 10, 50.0) })]
#[case::herd(Load { killed: Some((6 * SECOND, 68)), returning: Some((6 * SECOND, 800)), ..Load::new(69, 160, 800.0) })]
#[case::ledger_moved_for_a_while(Load { moved: Some((6 * SECOND, 6 * SECOND)), ..Load::new(69, 160, 800.0) })]
#[case::ledger_of_small_account_moved(Load { moved: Some((6 * SECOND, 6 * SECOND)), ..Load::new(69, 10, 50.0) })]
#[case::reports_stalled(Load { stalled: Some((6 * SECOND, 6 * SECOND)), ..Load::new(69, 160, 800.0) })]
#[case::ledger_frozen(Load { frozen: Some((6 * SECOND, 4 * SECOND)), ..Load::new(69, 160, 800.0) })]
#[case::room_returns_to_full_service(Load { unserved: Some((0.85, 8 * SECOND)), ..Load::new(69, 160, 640.0) })]
#[case::quota_lowered(Load { lowered: Some((6 * SECOND, Quota { rate: 20, burst: 20 })), ..Load::new(69, 160, 100.0) })]
fn mesh_total_stays_within_quota_and_tolerance(
    #[case] load: Load,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let outcome = simulate(load, TIME, seed);
    // A lower quota is checked from one window after it is in force on all nodes.
    let (quota, from) = match load.lowered {
        Some((at, quota)) => (quota, at + 6 * SECOND),
        None => (load.quota, Duration::ZERO),
    };
    let (most, bound) = (outcome.max_in_window(from), bound(quota));
    assert!(
        most <= bound,
        "{most} requests in a window, {bound} allowed"
    );
}

#[rstest]
#[case::large(Load::new(69, 320, 1600.0))]
#[case::medium(Load::new(69, 40, 200.0))]
#[case::small(Load::new(69, 4, 40.0))]
#[case::skewed(Load { skew: 0.9, ..Load::new(69, 100, 700.0) })]
#[case::lossy(Load { loss: 0.1, ..Load::new(69, 160, 800.0) })]
fn overloading_account_gets_its_whole_quota(
    #[case] load: Load,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let outcome = simulate(load, TIME, seed);
    let owed = f64::from(load.quota.rate) * TIME.as_secs_f64();
    let got = outcome.admitted.len() as f64 / owed;
    assert!(got >= 0.95, "admitted only {got:.3} of the quota");
}

#[rstest]
#[case::large(Load::new(69, 320, 200.0))]
#[case::small(Load::new(69, 4, 2.5))]
#[case::skewed(Load { skew: 0.9, ..Load::new(69, 100, 62.0) })]
#[case::lossy(Load { loss: 0.1, ..Load::new(69, 160, 100.0) })]
#[case::ledger_killed(Load { killed: Some((6 * SECOND, 0)), ..Load::new(69, 160, 100.0) })]
#[case::all_nodes_restarted(Load { killed: Some((6 * SECOND, 68)), ..Load::new(69, 160, 100.0) })]
#[case::partition(Load { partition: Some((5 * SECOND, 6 * SECOND)), ..Load::new(69, 160, 100.0) })]
#[case::partition_close_to_quota(Load { partition: Some((5 * SECOND, 6 * SECOND)), ..Load::new(69, 160, 140.0) })]
#[case::partition_of_small_account(Load { partition: Some((5 * SECOND, 6 * SECOND)), ..Load::new(69, 10, 6.0) })]
#[case::herd(Load { killed: Some((6 * SECOND, 68)), returning: Some((6 * SECOND, 100)), ..Load::new(69, 160, 100.0) })]
#[case::ledger_moved_for_a_while(Load { moved: Some((6 * SECOND, 6 * SECOND)), ..Load::new(69, 160, 100.0) })]
#[case::ledger_of_small_account_moved(Load { moved: Some((6 * SECOND, 6 * SECOND)), ..Load::new(69, 10, 6.0) })]
#[case::reports_stalled(Load { stalled: Some((6 * SECOND, 6 * SECOND)), ..Load::new(69, 160, 100.0) })]
#[case::ledger_frozen(Load { frozen: Some((6 * SECOND, 4 * SECOND)), ..Load::new(69, 160, 100.0) })]
#[case::callers_return_to_full_service(Load { unserved: Some((0.85, TIME)), ..Load::new(69, 160, 640.0) })]
#[case::ledger_of_account_close_to_quota_frozen(Load { frozen: Some((6 * SECOND, 4 * SECOND)), ..Load::new(69, 160, 140.0) })]
fn account_below_its_quota_is_not_limited(
    #[case] load: Load,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let outcome = simulate(load, TIME, seed);
    let admitted = outcome.admitted.len() + outcome.unserved;
    let served = admitted as f64 / outcome.requests as f64;
    assert!(served >= 0.98, "admitted only {served:.3} of the requests");
}

const ACCOUNT: AccountTag = AccountTag(7);

const LEDGER: NodeId = NodeId(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7600));

/// Sends a request every 10 ms for 10 s to a meter whose reports no ledger answers. Returns the
/// number of admitted requests.
fn admitted_without_ledger(meter: &mut QuotaMeter, quota: Quota) -> usize {
    let mut rng = SmallRng::seed_from_u64(1);
    let times = (0..10_000).step_by(10).map(Instant::from_millis);
    let admitted = times.filter(|now| {
        let result = meter.admit(*now, ACCOUNT, quota, QuotaRequest::default(), &mut rng);
        for account in meter.due(*now) {
            meter.report(*now, account, LEDGER);
        }
        result.is_ok()
    });
    admitted.count()
}

#[test]
fn node_without_ledger_admits_its_equal_share() {
    let quota = Quota {
        rate: 40,
        burst: 40,
    };
    let mut meter = QuotaMeter::new(1);
    meter.set_nodes(10);
    let admitted = admitted_without_ledger(&mut meter, quota);
    // About 100 requests pass in the second before the timeout of the ledger, then 4 per second.
    assert!((130..=145).contains(&admitted), "{admitted}");
}

#[test]
fn equal_share_shrinks_when_more_nodes_become_known() {
    let quota = Quota {
        rate: 40,
        burst: 40,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut meter = QuotaMeter::new(1);
    let start = Instant::from_millis(0);
    let first = meter.admit(start, ACCOUNT, quota, QuotaRequest::default(), &mut rng);
    assert!(first.is_ok());
    meter.set_nodes(10);
    let admitted = admitted_without_ledger(&mut meter, quota);
    assert!((130..=145).contains(&admitted), "{admitted}");
}

/// Creates a meter that has received an admission ratio.
fn meter_with_ratio(permille: u16) -> QuotaMeter {
    let mut meter = QuotaMeter::new(1);
    let account = ACCOUNT;
    meter.receive(
        Instant::from_millis(0),
        AdmissionRatio { account, permille },
    );
    meter
}

const QUOTA: Quota = Quota {
    rate: 10,
    burst: 10,
};

#[test]
fn refused_callers_get_increasing_retry_delays() {
    let (mut meter, mut rng) = (meter_with_ratio(0), SmallRng::seed_from_u64(1));
    let now = Instant::from_millis(0);
    let mut admit = || meter.admit(now, ACCOUNT, QUOTA, QuotaRequest::default(), &mut rng);
    let (first, second) = (admit().unwrap_err(), admit().unwrap_err());
    assert_eq!(first.reason, Reason::OverQuota);
    assert!(first.retry_after < second.retry_after);
}

#[rstest]
#[case::account_without_limit(AdmissionRatio::ALL, true)]
#[case::limited_account(990, false)]
fn late_request_is_admitted_only_without_limit(#[case] permille: u16, #[case] expected: bool) {
    let (mut meter, mut rng) = (meter_with_ratio(permille), SmallRng::seed_from_u64(1));
    let now = Instant::from_millis(0);
    let mut admit = |timing| {
        let request = QuotaRequest::default().with_timing(timing);
        meter.admit(now, ACCOUNT, QUOTA, request, &mut rng).is_ok()
    };
    assert_eq!(admit(RequestTiming::Late), expected);
    assert!(admit(RequestTiming::InTime));
}

#[rstest]
#[case::first_rank_fits(3, [0, 1, 2], [1.0, 0.0, 0.0])]
#[case::second_rank_fits_in_part(2, [0, 1, 2], [1.0, 0.5, 0.0])]
#[case::one_rank_is_drawn_by_lot(2, [0, 0, 0], [0.5, 0.5, 0.5])]
fn quota_goes_to_the_most_urgent_requests(
    #[case] excess: u16,
    #[case] priorities: [u8; 3],
    #[case] expected: [f64; 3],
) {
    let (account, permille) = (ACCOUNT, AdmissionRatio::ALL / excess);
    let mut meter = QuotaMeter::new(1);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut admitted = [0_u32; 3];
    for (at, class) in (0..4_800).map(|at| (at, at as usize % 3)) {
        let now = Instant::from_millis(at);
        meter.report(now, account, LEDGER);
        meter.receive(now, AdmissionRatio { account, permille });
        let request = QuotaRequest::new(Priority(priorities[class]));
        let result = meter.admit(now, ACCOUNT, QUOTA, request, &mut rng);
        admitted[class] += u32::from(result.is_ok());
    }
    let total = f64::from(admitted.iter().sum::<u32>()) / 4_800.0;
    assert!(
        (total * f64::from(excess) - 1.0).abs() < 0.05,
        "{admitted:?}"
    );
    for (admitted, expected) in admitted.iter().zip(expected) {
        let share = f64::from(*admitted) / 1_600.0;
        assert!((share - expected).abs() < 0.1, "{share} of {expected}");
    }
}

#[test]
fn ledger_keeps_debts_and_limits_over_a_stall() {
    let bounds = QuotaBounds {
        window: Duration::from_secs(5),
        overage: 0.1,
        slack: 20.0,
    };
    let mut ledger = QuotaLedger::new(bounds);
    let (node, account) = (
        NodeId(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1)),
        AccountTag(7),
    );
    let quota = Quota {
        rate: 40,
        burst: 40,
    };
    let usage = |sent: u64, counted_ms| Usage {
        account,
        arrived: sent,
        admitted: sent,
        counted_ms,
        epoch: 1,
    };
    let limited = ledger.receive(Instant::from_millis(0), node, &usage(400, 0), quota);
    assert!(limited.permille < AdmissionRatio::ALL, "{limited:?}");
    ledger.limit_updates(Instant::from_millis(100));
    let resumed = Instant::from_millis(1_400);
    let ratio = ledger.receive(resumed, node, &usage(410, 1_400), quota);
    assert!(ratio.permille < AdmissionRatio::ALL, "{ratio:?}");
}

#[test]
fn priorities_that_are_no_longer_sent_leave_their_places() {
    let mut rng = SmallRng::seed_from_u64(3);
    let (account, quota) = (
        AccountTag(7),
        Quota {
            rate: 10,
            burst: 10,
        },
    );
    let mut meter = QuotaMeter::new(1);
    let ledger = NodeId(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1));
    let mut admitted = |now, priority, permille| {
        meter.report(now, account, ledger);
        meter.receive(now, AdmissionRatio { account, permille });
        let request = QuotaRequest::new(Priority(priority));
        meter.admit(now, account, quota, request, &mut rng).is_ok()
    };
    for n in 0..80 {
        admitted(Instant::from_millis(n), (n % 4) as u8, AdmissionRatio::ALL);
    }
    let later = |n: u64| Instant::from_millis(60_000 + n);
    for n in 0..100 {
        admitted(later(n), 5 + (n % 2) as u8, 500);
    }
    let urgent = (0..20).filter(|_| admitted(later(100), 5, 500)).count();
    let others = (0..20).filter(|_| admitted(later(100), 6, 500)).count();
    assert!(urgent >= 17 && others <= 8, "{urgent} and {others} of 20");
}

#[test]
fn limit_that_expired_before_the_control_loop_stalled_does_not_bind() {
    let mut rng = SmallRng::seed_from_u64(3);
    let (account, quota) = (
        AccountTag(7),
        Quota {
            rate: 100,
            burst: 100,
        },
    );
    let mut meter = QuotaMeter::new(1);
    let limited = AdmissionRatio {
        account,
        permille: 100,
    };
    meter.receive(Instant::from_millis(0), limited);
    let mut admit = |ms| {
        meter.admit(
            Instant::from_millis(ms),
            account,
            quota,
            QuotaRequest::default(),
            &mut rng,
        )
    };
    assert!(admit(20_000).is_ok(), "the limit has expired");
    assert!(admit(22_000).is_ok(), "an equal share of the quota remains");
}
