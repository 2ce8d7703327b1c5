//! Pace of a backend server: measurement at its guard, announcement to all nodes and use in
//! selection.

mod support;

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use support::member;
use swiftcart_core::*;

const START: Instant = Instant::from_millis(0);
const TARGET: Duration = Duration::from_millis(400);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn admission_request() -> AdmissionRequest {
    AdmissionRequest::new(Deadline::new(START, Duration::from_secs(60))).with_target(TARGET)
}

/// Creates a guard whose calls have taken a quarter of their target.
fn guard() -> (Admission, SmallRng) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut guard = Admission::new(START, AdmissionSettings::default()).with_slots(12);
    for _ in 0..8 {
        let Admit::Run(ticket) = guard.offer(START, admission_request(), &mut rng) else {
            unreachable!("slots are free");
        };
        let mut sample = Sample::new(Duration::from_millis(100), CallResult::Success);
        sample.target = Some(TARGET);
        guard.done(ticket, START, &sample);
    }
    (guard, rng)
}

#[rstest]
#[case::calls_just_started(8, 50, Pace(250))]
#[case::calls_of_usual_duration(8, 200, Pace(250))]
#[case::calls_of_four_times_the_duration(8, 400, Pace(500))]
#[case::stalled_calls(8, 4_000, Pace(5_000))]
#[case::too_few_calls(2, 4_000, Pace(250))]
fn pace_with_running_calls(#[case] running: usize, #[case] age_ms: u64, #[case] expected: Pace) {
    let (mut guard, mut rng) = guard();
    for _ in 0..running {
        assert!(matches!(
            guard.offer(START, admission_request(), &mut rng),
            Admit::Run(_)
        ));
    }
    assert_eq!(guard.pace(at(age_ms)), Some(expected));
}

#[rstest]
fn first_long_call_soon_loses_its_weight() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut guard = Admission::new(START, AdmissionSettings::default()).with_slots(12);
    for ms in [4_000, 100, 100, 100] {
        let Admit::Run(ticket) = guard.offer(START, admission_request(), &mut rng) else {
            unreachable!("slots are free");
        };
        let mut sample = Sample::new(Duration::from_millis(ms), CallResult::Success);
        sample.target = Some(TARGET);
        guard.done(ticket, START, &sample);
    }
    let Some(pace) = guard.pace(START) else {
        unreachable!("a pace is known");
    };
    assert!(pace.ratio() < 3.0, "{pace:?}");
}

#[rstest]
#[case::much_slower(2_100, 900, true)]
#[case::much_faster(2_100, 100, true)]
#[case::a_little_slower(2_100, 400, false)]
#[case::much_slower_too_soon(1_900, 900, false)]
fn pace_of_300_is_announced_again_after(
    #[case] ms: u64,
    #[case] pace: u32,
    #[case] announced: bool,
) {
    let mut announcer = PaceAnnouncer::default();
    announcer.due(START, Some(Pace(300)));
    assert_eq!(announcer.due(at(2_000), Some(Pace(300))), Some(Pace(300)));
    let due = announcer.due(at(2_000 + ms), Some(Pace(pace)));
    assert_eq!(due.is_some(), announced);
}

/// Returns the number of picks of the second of two backend servers with announced paces.
fn picks_of_second(paces: [Option<Pace>; 2]) -> usize {
    let members = [1, 2].map(|n| {
        let mut member = member(n, "sensor", "sur");
        member.pace = paces[usize::from(n) - 1];
        member
    });
    let table = Table::new().with_service("sensor", Limits::default());
    let me = NodeId(([127, 0, 0, 1], 9).into());
    let domain = FailureDomain::new("sur");
    let view = View::new(Version(1), &table, members.iter(), me, &domain);
    let mut balancer = Balancer::new(me, BalanceSettings::default());
    balancer.adopt(START, &view);
    let mut rng = SmallRng::seed_from_u64(1);
    // One response from the first backend server, so that a mean pace is known.
    let first = members[0].id;
    balancer.started(first);
    let mut sample = Sample::new(Duration::from_millis(100), CallResult::Success);
    sample.pace = paces[0];
    balancer.finished(first, START, &sample);
    let service = view.service("sensor").expect("service in the table");
    let pick = |_| balancer.pick(START, service, &[], &mut rng).map(|p| p.id);
    let picks: Vec<_> = (0..100).map(pick).collect();
    picks
        .iter()
        .filter(|id| **id == Some(members[1].id))
        .count()
}

#[rstest]
#[case::slower_gets_no_requests([Some(Pace(250)), Some(Pace(1_000))], 0)]
#[case::faster_gets_all_requests([Some(Pace(1_000)), Some(Pace(250))], 100)]
fn picks_of_a_backend_server_announced_as(
    #[case] paces: [Option<Pace>; 2],
    #[case] expected: usize,
) {
    assert_eq!(picks_of_second(paces), expected);
}

#[rstest]
fn announced_pace_is_dropped_with_its_backend_server() {
    let me = member(1, "sensor", "sur");
    let mut membership = Membership::new(me.clone(), Gossip::default(), Vec::new(), 1);
    membership.announce_pace(START, Pace(900));
    assert_eq!(membership.me().pace, Some(Pace(900)));
    assert!(
        membership.me().incarnation > me.incarnation,
        "the pace is gossiped"
    );
    let mut other = me.backend.clone().expect("a backend server");
    other.slots += 1;
    membership.update_backend(START, Some(other));
    assert_eq!(membership.me().pace, None);
    membership.update_backend(START, None);
    membership.announce_pace(START, Pace(700));
    assert_eq!(membership.me().pace, None, "no backend server");
}

/// Returns the share of 1000 picks that a backend server gets `age_ms` after it reported a slowdown
/// of 2.5, beside one of the same usual pace.
fn picks_after_slowdown(age_ms: u64) -> usize {
    let members = [3, 5].map(|n| member(n, "a", "norte"));
    let table = Table::new().with_service("a", Limits::default());
    let view = support::view(&table, &members);
    let mut balancer = Balancer::new(support::node(1), BalanceSettings::default());
    balancer.adopt(START, &view);
    for (n, slowdown) in [(3, Slowdown(250)), (5, Slowdown(100))] {
        let pace = Pace::from_ratio(0.3 * slowdown.factor());
        let sample = Sample::new(Duration::from_millis(100), CallResult::Success);
        let sample = sample.with_pace(pace).with_slowdown(slowdown);
        balancer.started(support::node(n));
        balancer.finished(support::node(n), START, &sample);
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let entry = view.service("a").expect("service in the table");
    let picks = (0..1000).filter_map(|_| balancer.pick(at(age_ms), entry, &[], &mut rng));
    picks.filter(|pick| pick.id == support::node(3)).count()
}

#[rstest]
#[case::at_once(0, 0..=0)]
#[case::while_it_may_last(300, 0..=0)]
#[case::when_it_has_passed(1_000, 400..=600)]
fn slow_moment_costs_picks(#[case] age_ms: u64, #[case] expected: std::ops::RangeInclusive<usize>) {
    let picks = picks_after_slowdown(age_ms);
    assert!(expected.contains(&picks), "{picks}");
}

#[rstest]
#[case::no_slowdown(None, 0, false)]
#[case::lately(Some(Slowdown(100)), 29_000, true)]
#[case::long_ago(Some(Slowdown(100)), 30_000, false)]
fn service_states_its_pace(
    #[case] slowdown: Option<Slowdown>,
    #[case] age_ms: u64,
    #[case] expected: bool,
) {
    let members = [3, 5].map(|n| member(n, "a", "norte"));
    let table = Table::new().with_service("a", Limits::default());
    let view = support::view(&table, &members);
    let mut balancer = Balancer::new(support::node(1), BalanceSettings::default());
    balancer.adopt(START, &view);
    let mut sample = Sample::new(Duration::from_millis(100), CallResult::Success);
    sample.slowdown = slowdown;
    balancer.finished(support::node(5), START, &sample);
    balancer.adopt(at(100), &view);
    let entry = view.service("a").expect("service in the table");
    assert_eq!(balancer.states_pace(at(age_ms), entry), expected);
}
