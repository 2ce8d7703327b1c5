//! Tests of roll-outs: merging of orders and stages, analysis of evidence, and results of trials.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/rollout.rs"]
mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Defect, Disturbance, Simulation};
use swiftcart_core::*;

/// Number of simulations per test case.
const SEEDS: u64 = 10;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn sensor() -> ServiceName {
    ServiceName::new("sensor")
}

fn order(id: u64, target: &str) -> RolloutOrder {
    RolloutOrder {
        id: OrderId(id),
        service: sensor(),
        target: Release::new(target),
        duration: Duration::from_secs(12),
    }
}

/// Returns the roll-outs after these orders, each advanced to the given stage.
fn rollouts_after(orders: &[(u64, &str, RolloutStage)]) -> Rollouts {
    let mut rollouts = Rollouts::default();
    for (id, target, stage) in orders {
        rollouts.order(at(0), &order(*id, target));
        rollouts.advance(&sensor(), OrderId(*id), *stage);
    }
    rollouts
}

fn clearance(rollouts: &Rollouts, release: &str) -> Clearance {
    let release = Release::new(release);
    let (rollout, side) = rollouts.side(&sensor(), Some(&release)).unwrap();
    rollout.stage.clearance(side, RolloutBatch::FIRST)
}

use RolloutStage::{Closing, Completed, Ordered, RolledBack, Stopped, Trial as OnTrial};

#[rstest]
#[case::ordered_old(&[(1, "v2", Ordered)], "v1", Clearance::Open)]
#[case::ordered_new(&[(1, "v2", Ordered)], "v2", Clearance::Closed)]
#[case::on_trial(&[(1, "v2", OnTrial)], "v2", Clearance::OnCredit)]
#[case::closing_old(&[(1, "v2", Closing)], "v1", Clearance::Draining)]
#[case::closing_new(&[(1, "v2", Closing)], "v2", Clearance::Open)]
#[case::stopped(&[(1, "v2", Stopped)], "v2", Clearance::Closed)]
#[case::stopped_old(&[(1, "v2", Stopped)], "v1", Clearance::Open)]
#[case::rolled_back(&[(1, "v2", RolledBack)], "v2", Clearance::Closed)]
#[case::rolled_back_then_superseded(&[(1, "v2", RolledBack), (2, "v3", Ordered)], "v2", Clearance::Closed)]
#[case::superseded_during_trial(&[(1, "v2", OnTrial), (2, "v3", Ordered)], "v2", Clearance::Closed)]
#[case::rolled_back_then_reordered(&[(1, "v2", RolledBack), (2, "v2", OnTrial)], "v2", Clearance::OnCredit)]
#[case::completed_then_superseded(&[(1, "v2", Completed), (2, "v3", Ordered)], "v2", Clearance::Open)]
#[case::completed_then_reordered(&[(1, "v2", Completed), (2, "v2", Ordered)], "v2", Clearance::Open)]
fn clearance_follows_stage_and_release(
    #[case] orders: &[(u64, &str, RolloutStage)],
    #[case] release: &str,
    #[case] expected: Clearance,
) {
    assert_eq!(clearance(&rollouts_after(orders), release), expected);
}

#[rstest]
#[case::later_stage((1, OnTrial), (1, Stopped), (1, Stopped))]
#[case::earlier_stage((1, Stopped), (1, OnTrial), (1, Stopped))]
#[case::move_after_stop((1, Stopped), (1, Closing), (1, Stopped))]
#[case::completion_on_platform((1, Stopped), (1, Completed), (1, Completed))]
#[case::later_order((1, Completed), (2, Ordered), (2, Ordered))]
#[case::earlier_order((2, Ordered), (1, Completed), (2, Ordered))]
fn merged_statuses_keep_the_latest_in_either_order(
    #[case] first: (u64, RolloutStage),
    #[case] second: (u64, RolloutStage),
    #[case] expected: (u64, RolloutStage),
) {
    let statuses = |(id, stage)| rollouts_after(&[(id, "v2", stage)]).all(at(0));
    let mut forward = Rollouts::default();
    forward.merge(at(0), &statuses(first));
    forward.merge(at(0), &statuses(second));
    let mut reverse = Rollouts::default();
    reverse.merge(at(0), &statuses(second));
    reverse.merge(at(0), &statuses(first));
    for rollouts in [&forward, &reverse] {
        let rollout = rollouts.get(&sensor()).unwrap();
        assert_eq!((rollout.order.0, rollout.stage), expected);
    }
    assert_eq!(forward.digest(), reverse.digest());
}

/// Returns the state of a node that knows both orders, and of a node that read only the later one.
fn two_views() -> (Rollouts, Rollouts) {
    let mut full = Rollouts::default();
    full.order(at(0), &order(1, "v2"));
    full.order(at(100), &order(2, "v3"));
    let mut partial = Rollouts::default();
    partial.order(at(100), &order(2, "v3"));
    (full, partial)
}

#[test]
fn barred_releases_are_merged_from_a_peer() {
    let (full, mut partial) = two_views();
    assert!(partial.merge(at(200), &full.all(at(200))));
    assert_eq!(clearance(&partial, "v2"), Clearance::Closed);
    assert_eq!(clearance(&partial, "v1"), Clearance::Open);
    assert!(
        !partial.merge(at(300), &full.all(at(300))),
        "statuses that are merged again change nothing"
    );
}

#[test]
fn superseded_release_stays_barred_when_a_peer_reports_a_newer_order() {
    let (_, partial) = two_views();
    let mut node = Rollouts::default();
    node.order(at(0), &order(1, "v2"));
    assert!(node.merge(at(200), &partial.all(at(200))));
    assert_eq!(clearance(&node, "v2"), Clearance::Closed);
}

#[test]
fn release_in_use_is_not_barred_by_a_stale_peer() {
    let mut current = rollouts_after(&[(1, "v2", Completed), (2, "v3", Ordered)]);
    let stale = rollouts_after(&[(1, "v2", OnTrial), (2, "v3", Ordered)]);
    assert!(!current.merge(at(200), &stale.all(at(200))));
    assert_eq!(clearance(&current, "v2"), Clearance::Open);
}

#[test]
fn digest_covers_barred_releases() {
    let (full, partial) = two_views();
    assert_ne!(full.digest(), partial.digest());
}

#[test]
fn repeated_or_older_order_is_ignored() {
    let mut rollouts = rollouts_after(&[(4, "v2", RolledBack)]);
    assert!(!rollouts.order(at(0), &order(4, "v2")));
    assert!(!rollouts.order(at(0), &order(3, "v3")));
    assert_eq!(rollouts.get(&sensor()).unwrap().stage, RolledBack);
}

#[test]
fn update_is_gossiped_for_three_rounds_and_digest_mismatch_requests_all() {
    let mut rollouts = rollouts_after(&[(1, "v2", OnTrial)]);
    let rounds: Vec<usize> = (0..5).map(|_| rollouts.gossip_round(at(0)).len()).collect();
    assert_eq!(rounds, [1, 1, 1, 0, 0]);
    let other = Rollouts::default();
    assert!(
        other
            .sync_request(&rollouts.digest_message())
            .is_some_and(|statuses| statuses.asks)
    );
    assert!(rollouts.sync_request(&rollouts.digest_message()).is_none());
}

#[test]
fn statuses_of_many_services_fit_datagrams() {
    let mut rollouts = Rollouts::default();
    for n in 0..52 {
        let service = ServiceName::new(format!("service-{n}"));
        rollouts.order(
            at(0),
            &RolloutOrder {
                service,
                ..order(n, "release-2026-12")
            },
        );
    }
    for statuses in RolloutStatuses::pack(rollouts.digest(), rollouts.all(at(0))) {
        let datagram = Datagram::Rollouts(RolloutMessage::Statuses(statuses));
        let from = NodeId("10.0.0.1:7600".parse().unwrap());
        let sealed = seal(&datagram, from, &MeshKey::new([7; 32]));
        assert!(sealed.unwrap().len() <= MAX_DATAGRAM_LEN);
    }
}

#[test]
fn evidence_of_many_routes_fits_a_datagram() {
    let mut stats = TrialStats::default();
    for n in 0..200_000_u32 {
        stats.arrived();
        let route = RouteTag(n % 300 + 1);
        stats.ended(
            route,
            n % 3 == 0,
            Duration::from_millis(u64::from(n % 4_000)),
        );
    }
    let evidence = Evidence {
        service: ServiceName::new(
            "a-service-with-a-name-of-sixty-three-characters-and-not-one-more",
        ),
        order: OrderId(u64::MAX),
        side: Side::New,
        epoch: u32::MAX,
        ready: true,
        open: true,
        arrived: stats.arrivals(),
        running: 9,
        routes: stats.routes(),
    };
    assert_eq!(
        evidence.routes.iter().map(|(_, t)| t.runs).sum::<u32>(),
        200_000
    );
    let datagram = Datagram::Rollouts(RolloutMessage::Evidence(evidence));
    let from = NodeId("10.0.0.1:7600".parse().unwrap());
    assert!(seal(&datagram, from, &MeshKey::new([7; 32])).unwrap().len() <= MAX_DATAGRAM_LEN);
}

fn evidence(n: u8, side: Side) -> (NodeId, Evidence) {
    let evidence = Evidence {
        service: sensor(),
        order: OrderId(1),
        side,
        epoch: 1,
        ready: true,
        open: side == Side::New,
        arrived: 0,
        running: 0,
        routes: Vec::new(),
    };
    (NodeId(([10, 0, 0, n], 7600).into()), evidence)
}

#[rstest]
#[case::evidence_from_all(4, 4, Some(Completed))]
#[case::one_server_missing(3, 4, None)]
#[case::no_quorum(1, 4, None)]
fn trial_completes_only_with_evidence_from_all_servers(
    #[case] senders: u8,
    #[case] known_servers: usize,
    #[case] expected: Option<RolloutStage>,
) {
    let rollouts = rollouts_after(&[(1, "v2", Closing)]);
    let rollout = rollouts.get(&sensor()).unwrap();
    let settings = TrialSettings {
        share: 0.1,
        extra: 50.0,
    };
    let mut trial = Trial::new(at(0), &rollout, settings);
    for n in 0..senders {
        let side = if n % 2 == 0 { Side::New } else { Side::Old };
        let (id, evidence) = evidence(n, side);
        trial.observe(at(0), id, evidence);
    }
    let actions = trial.evaluate(at(100), &rollout, known_servers);
    let stage = actions.iter().find_map(|action| match action {
        TrialAction::Advance(advance) => Some(advance.stage),
        TrialAction::Grant(..) => None,
    });
    assert_eq!(stage, expected);
}

#[test]
fn partitioned_trial_does_not_stop_the_rollout_at_its_deadline() {
    let rollouts = rollouts_after(&[(1, "v2", OnTrial)]);
    let rollout = rollouts.get(&sensor()).unwrap();
    let settings = TrialSettings {
        share: 0.1,
        extra: 50.0,
    };
    let mut trial = Trial::new(at(0), &rollout, settings);
    let (id, evidence) = evidence(1, Side::New);
    trial.observe(at(11_000), id, evidence);
    let actions = trial.evaluate(at(11_500), &rollout, 6);
    let advances = actions
        .iter()
        .filter(|action| matches!(action, TrialAction::Advance(..)));
    assert_eq!(advances.count(), 0, "{actions:?}");
}

fn route_stats(runs: u32, failed: u32, ms: u64) -> RouteStats {
    let mut stats = RouteStats::default();
    (0..runs).for_each(|i| stats.record(i < failed, Duration::from_millis(ms)));
    stats
}

#[rstest]
#[case::half_of_requests_fail(vec![route_stats(20, 10, 100), route_stats(20, 9, 100)], true)]
#[case::fifth_of_requests_fails(vec![route_stats(60, 12, 100), route_stats(60, 13, 100)], true)]
#[case::eightfold_latency(vec![route_stats(10, 0, 800), route_stats(10, 0, 800)], true)]
#[case::equivalent_release(vec![route_stats(60, 0, 100), route_stats(60, 1, 100)], false)]
#[case::single_faulty_server(vec![route_stats(40, 20, 100), route_stats(40, 0, 100), route_stats(40, 0, 100)], false)]
#[case::too_few_requests(vec![route_stats(3, 2, 100)], false)]
fn regression_requires_most_backend_servers_to_be_worse(
    #[case] new: Vec<RouteStats>,
    #[case] expected: bool,
) {
    let old = vec![route_stats(100, 1, 100); 8];
    let comparison = RouteComparison {
        old,
        new,
        ..RouteComparison::default()
    };
    let regression = comparison
        .findings()
        .iter()
        .any(RolloutFinding::is_regression);
    assert_eq!(regression, expected);
}

#[test]
fn failures_on_both_releases_are_not_a_regression() {
    let mut old = vec![route_stats(100, 1, 100); 4];
    old.extend(vec![route_stats(100, 40, 100); 4]);
    let new = vec![route_stats(40, 16, 100), route_stats(40, 16, 100)];
    let comparison = RouteComparison {
        old,
        new,
        ..RouteComparison::default()
    };
    assert!(
        !comparison
            .findings()
            .iter()
            .any(RolloutFinding::is_regression)
    );
}

#[rstest]
#[case::no_disturbance(Disturbance::None, 0)]
#[case::failing_servers(Disturbance::Grey(0.15, 0.4), 2)]
#[case::slow_servers(Disturbance::Slow(0.16, 5.0), 2)]
#[case::one_bad_server(Disturbance::OneBad(0.4), 2)]
fn good_release_completes_before_its_deadline(
    #[case] disturbance: Disturbance,
    #[case] max_stopped: usize,
) {
    let runs = (0..SEEDS).map(|seed| {
        Simulation {
            disturbance,
            seed,
            ..Simulation::default()
        }
        .run()
    });
    let results: Vec<_> = runs.collect();
    let other = results.iter().filter(|result| result.stage != Completed);
    assert!(other.count() <= max_stopped, "{results:?}");
    assert!(
        results
            .iter()
            .all(|result| result.stage != Completed || !result.left.is_zero())
    );
}

#[rstest]
#[case::half_fail(Defect::Errors(0.5))]
#[case::quarter_fails(Defect::Errors(0.25))]
#[case::slow(Defect::Slow(0.5, 8.0))]
#[case::fails_late(Defect::Late(0.5, 4.5))]
#[case::fails_very_late(Defect::Late(0.5, 9.0))]
#[case::fails_under_load(Defect::UnderLoad(0.5))]
#[case::fails_on_one_route(Defect::OneRoute(0.5))]
fn bad_release_is_stopped_within_its_bounds(
    #[case] defect: Defect,
    #[values(
        Disturbance::None,
        Disturbance::Grey(0.15, 0.4),
        Disturbance::Slow(0.16, 5.0)
    )]
    disturbance: Disturbance,
) {
    for seed in 0..SEEDS {
        let result = Simulation {
            defect,
            disturbance,
            seed,
            ..Simulation::default()
        }
        .run();
        assert_eq!(result.stage, Stopped, "{seed}: {result:?}");
        assert!(
            result.exposed <= result.total / 10 + 50,
            "{seed}: {result:?}"
        );
        assert!(
            result.stop_delay <= Duration::from_secs(5),
            "{seed}: {result:?}"
        );
    }
}
