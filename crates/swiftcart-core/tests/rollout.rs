//! Roll-outs: which orders and stages count, how evidence is judged, and what trials end in.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/rollout.rs"]
mod support;

use std::time::Duration;

use rstest::rstest;
use support::{Fault, Play, Trouble};
use swiftcart_core::*;

/// The plays of each row.
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

/// Returns what is known after these orders, each ended as told.
fn after(orders: &[(u64, &str, RolloutStage)]) -> Rollouts {
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
    rollout.stage.clearance(side, Turn::FIRST)
}

use RolloutStage::{Closing, Completed, Ordered, RolledBack, Stopped, Trial as OnTrial};

#[rstest]
#[case::ordered(&[(1, "v2", Ordered)], "v1", Clearance::Open)]
#[case::ordered_new(&[(1, "v2", Ordered)], "v2", Clearance::Closed)]
#[case::on_trial(&[(1, "v2", OnTrial)], "v2", Clearance::OnCredit)]
#[case::closing(&[(1, "v2", Closing)], "v1", Clearance::Draining)]
#[case::closing_new(&[(1, "v2", Closing)], "v2", Clearance::Open)]
#[case::stopped(&[(1, "v2", Stopped)], "v2", Clearance::Closed)]
#[case::stopped_old(&[(1, "v2", Stopped)], "v1", Clearance::Open)]
#[case::taken_back(&[(1, "v2", RolledBack)], "v2", Clearance::Closed)]
#[case::taken_back_and_another_ordered(&[(1, "v2", RolledBack), (2, "v3", Ordered)], "v2", Clearance::Closed)]
#[case::replaced_before_its_end(&[(1, "v2", OnTrial), (2, "v3", Ordered)], "v2", Clearance::Closed)]
#[case::taken_back_and_ordered_again(&[(1, "v2", RolledBack), (2, "v2", OnTrial)], "v2", Clearance::OnCredit)]
#[case::in_use_and_another_ordered(&[(1, "v2", Completed), (2, "v3", Ordered)], "v2", Clearance::Open)]
#[case::in_use_and_ordered_again(&[(1, "v2", Completed), (2, "v2", Ordered)], "v2", Clearance::Open)]
fn a_backend_server_is_given_what_its_release_may_have(
    #[case] orders: &[(u64, &str, RolloutStage)],
    #[case] release: &str,
    #[case] expected: Clearance,
) {
    assert_eq!(clearance(&after(orders), release), expected);
}

#[rstest]
#[case::a_later_stage((1, OnTrial), (1, Stopped), (1, Stopped))]
#[case::an_earlier_stage((1, Stopped), (1, OnTrial), (1, Stopped))]
#[case::a_move_after_a_stop((1, Stopped), (1, Closing), (1, Stopped))]
#[case::an_end_that_the_platform_knows((1, Stopped), (1, Completed), (1, Completed))]
#[case::a_later_order((1, Completed), (2, Ordered), (2, Ordered))]
#[case::an_earlier_order((2, Ordered), (1, Completed), (2, Ordered))]
fn of_two_words_the_later_one_counts_in_either_order(
    #[case] first: (u64, RolloutStage),
    #[case] second: (u64, RolloutStage),
    #[case] expected: (u64, RolloutStage),
) {
    let words = |(id, stage)| after(&[(id, "v2", stage)]).all(at(0));
    let mut forth = Rollouts::default();
    forth.hear(at(0), &words(first));
    forth.hear(at(0), &words(second));
    let mut back = Rollouts::default();
    back.hear(at(0), &words(second));
    back.hear(at(0), &words(first));
    for rollouts in [&forth, &back] {
        let rollout = rollouts.get(&sensor()).unwrap();
        assert_eq!((rollout.order.0, rollout.stage), expected);
    }
    assert_eq!(forth.digest(), back.digest());
}

/// One node knows both orders, the other one read the later one only.
fn one_and_other() -> (Rollouts, Rollouts) {
    let mut one = Rollouts::default();
    one.order(at(0), &order(1, "v2"));
    one.order(at(100), &order(2, "v3"));
    let mut other = Rollouts::default();
    other.order(at(100), &order(2, "v3"));
    (one, other)
}

#[test]
fn who_read_the_later_order_only_learns_which_release_stays_out() {
    let (one, mut other) = one_and_other();
    assert!(other.hear(at(200), &one.all(at(200))));
    assert_eq!(clearance(&other, "v2"), Clearance::Closed);
    assert_eq!(clearance(&other, "v1"), Clearance::Open);
    assert!(!other.hear(at(300), &one.all(at(300))), "it is no news");
}

#[test]
fn who_knows_the_earlier_order_keeps_its_release_out_whoever_tells_the_later_one() {
    let (_, other) = one_and_other();
    let mut third = Rollouts::default();
    third.order(at(0), &order(1, "v2"));
    assert!(third.hear(at(200), &other.all(at(200))));
    assert_eq!(clearance(&third, "v2"), Clearance::Closed);
}

#[test]
fn a_release_in_use_is_not_kept_out_by_who_missed_its_end() {
    let mut knows = after(&[(1, "v2", Completed), (2, "v3", Ordered)]);
    let missed = after(&[(1, "v2", OnTrial), (2, "v3", Ordered)]);
    assert!(!knows.hear(at(200), &missed.all(at(200))));
    assert_eq!(clearance(&knows, "v2"), Clearance::Open);
}

#[test]
fn two_who_keep_other_releases_out_differ() {
    let (one, other) = one_and_other();
    assert_ne!(one.digest(), other.digest());
}

#[test]
fn an_order_that_is_read_again_changes_nothing() {
    let mut rollouts = after(&[(4, "v2", RolledBack)]);
    assert!(!rollouts.order(at(0), &order(4, "v2")));
    assert!(!rollouts.order(at(0), &order(3, "v3")));
    assert_eq!(rollouts.get(&sensor()).unwrap().stage, RolledBack);
}

#[test]
fn news_is_passed_on_in_three_rounds_and_told_when_asked() {
    let mut rollouts = after(&[(1, "v2", OnTrial)]);
    let rounds: Vec<usize> = (0..5).map(|_| rollouts.round(at(0)).len()).collect();
    assert_eq!(rounds, [1, 1, 1, 0, 0]);
    let other = Rollouts::default();
    assert!(
        other
            .question(&rollouts.word())
            .is_some_and(|words| words.asks)
    );
    assert!(rollouts.question(&rollouts.word()).is_none());
}

#[test]
fn words_of_many_services_fit_datagrams() {
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
    for words in RolloutWords::pack(rollouts.digest(), rollouts.all(at(0))) {
        let datagram = Datagram::Rollouts(RolloutMessage::Words(words));
        let from = NodeId("10.0.0.1:7600".parse().unwrap());
        let sealed = seal(&datagram, from, &MeshKey::new([7; 32]));
        assert!(sealed.unwrap().len() <= MAX_DATAGRAM_LEN);
    }
}

#[test]
fn evidence_of_many_routes_fits_a_datagram() {
    let mut tally = Tally::default();
    for n in 0..200_000_u32 {
        tally.arrived();
        let route = RouteTag(n % 300 + 1);
        tally.ended(
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
        arrived: tally.handed(),
        running: 9,
        routes: tally.routes(),
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
#[case::that_hears_of_all(4, 4, Some(Completed))]
#[case::that_lacks_one_waits_for_it(3, 4, None)]
#[case::that_hears_of_less_than_half(1, 4, None)]
fn a_watcher(#[case] heard: u8, #[case] known: usize, #[case] expected: Option<RolloutStage>) {
    let rollouts = after(&[(1, "v2", Closing)]);
    let rollout = rollouts.get(&sensor()).unwrap();
    let settings = TrialSettings {
        share: 0.1,
        extra: 50.0,
    };
    let mut trial = Trial::new(at(0), &rollout, settings);
    for n in 0..heard {
        let side = if n % 2 == 0 { Side::New } else { Side::Old };
        let (id, evidence) = evidence(n, side);
        trial.hear(at(0), id, evidence);
    }
    let steps = trial.round(at(100), &rollout, known);
    let stage = steps.iter().find_map(|step| match step {
        TrialStep::Advance(step) => Some(step.stage),
        TrialStep::Grant(..) => None,
    });
    assert_eq!(stage, expected);
}

#[test]
fn a_watcher_that_is_cut_off_takes_nothing_back_when_the_time_is_over() {
    let rollouts = after(&[(1, "v2", OnTrial)]);
    let rollout = rollouts.get(&sensor()).unwrap();
    let settings = TrialSettings {
        share: 0.1,
        extra: 50.0,
    };
    let mut trial = Trial::new(at(0), &rollout, settings);
    let (id, evidence) = evidence(1, Side::New);
    trial.hear(at(11_000), id, evidence);
    let steps = trial.round(at(11_500), &rollout, 6);
    let advances = steps
        .iter()
        .filter(|step| matches!(step, TrialStep::Advance(..)));
    assert_eq!(advances.count(), 0, "{steps:?}");
}

fn server(runs: u32, failed: u32, ms: u64) -> RouteTally {
    let mut tally = RouteTally::default();
    (0..runs).for_each(|i| tally.count(i < failed, Duration::from_millis(ms)));
    tally
}

#[rstest]
#[case::half_of_its_requests_fail(vec![server(20, 10, 100), server(20, 9, 100)], true)]
#[case::a_fifth_fails(vec![server(60, 12, 100), server(60, 13, 100)], true)]
#[case::all_take_eight_times_as_long(vec![server(10, 0, 800), server(10, 0, 800)], true)]
#[case::it_is_as_good(vec![server(60, 0, 100), server(60, 1, 100)], false)]
#[case::one_of_three_backend_servers_fails(vec![server(40, 20, 100), server(40, 0, 100), server(40, 0, 100)], false)]
#[case::hardly_any_request_was_seen(vec![server(3, 2, 100)], false)]
fn a_release_is_blamed_when_most_of_its_backend_servers_are_worse(
    #[case] new: Vec<RouteTally>,
    #[case] expected: bool,
) {
    let old = vec![server(100, 1, 100); 8];
    let case = Case {
        old,
        new,
        ..Case::default()
    };
    let blamed = case.findings().iter().any(RolloutFinding::blames);
    assert_eq!(blamed, expected);
}

#[test]
fn what_strikes_old_ones_as_well_is_not_laid_to_the_release() {
    let mut old = vec![server(100, 1, 100); 4];
    old.extend(vec![server(100, 40, 100); 4]);
    let new = vec![server(40, 16, 100), server(40, 16, 100)];
    let case = Case {
        old,
        new,
        ..Case::default()
    };
    assert!(!case.findings().iter().any(RolloutFinding::blames));
}

#[rstest]
#[case::alone(Trouble::None, 0)]
#[case::beside_failing_servers(Trouble::Grey(0.15, 0.4), 2)]
#[case::beside_slow_servers(Trouble::Slow(0.16, 5.0), 2)]
#[case::with_one_bad_server(Trouble::OneBad(0.4), 2)]
fn a_good_release_is_completed_in_time(#[case] trouble: Trouble, #[case] lost: usize) {
    let plays = (0..SEEDS).map(|seed| {
        Play {
            trouble,
            seed,
            ..Play::default()
        }
        .run()
    });
    let endings: Vec<_> = plays.collect();
    let other = endings.iter().filter(|ending| ending.stage != Completed);
    assert!(other.count() <= lost, "{endings:?}");
    assert!(
        endings
            .iter()
            .all(|e| e.stage != Completed || !e.left.is_zero())
    );
}

#[rstest]
#[case::at_once(Fault::Errors(0.5))]
#[case::at_a_quarter(Fault::Errors(0.25))]
#[case::slow(Fault::Slow(0.5, 8.0))]
#[case::late(Fault::Late(0.5, 4.5))]
#[case::very_late(Fault::Late(0.5, 9.0))]
#[case::under_load(Fault::UnderLoad(0.5))]
#[case::on_one_route(Fault::OneRoute(0.5))]
fn a_bad_release_is_stopped_within_its_bounds(
    #[case] fault: Fault,
    #[values(Trouble::None, Trouble::Grey(0.15, 0.4), Trouble::Slow(0.16, 5.0))] trouble: Trouble,
) {
    for seed in 0..SEEDS {
        let ending = Play {
            fault,
            trouble,
            seed,
            ..Play::default()
        }
        .run();
        assert_eq!(ending.stage, Stopped, "{seed}: {ending:?}");
        assert!(
            ending.exposed <= ending.total / 10 + 50,
            "{seed}: {ending:?}"
        );
        assert!(ending.after <= Duration::from_secs(5), "{seed}: {ending:?}");
    }
}
