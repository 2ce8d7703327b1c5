//! How fast a backend server is: measured at its guard, told to all nodes, used in the choice.

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

fn bid() -> Bid {
    Bid::new(Deadline::new(START, Duration::from_secs(60))).with_target(TARGET)
}

/// A guard whose calls have taken a quarter of their target.
fn guard() -> (Admission, SmallRng) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut guard = Admission::new(START, AdmissionSettings::default()).with_slots(12);
    for _ in 0..8 {
        let Admit::Run(ticket) = guard.offer(START, bid(), &mut rng) else {
            unreachable!("slots are free");
        };
        let mut sample = Sample::new(Duration::from_millis(100), CallResult::Success);
        sample.target = Some(TARGET);
        guard.done(ticket, START, &sample);
    }
    (guard, rng)
}

#[rstest]
#[case::calls_that_have_just_begun(8, 50, Pace(250))]
#[case::calls_that_run_as_long_as_usual(8, 200, Pace(250))]
#[case::calls_that_run_for_four_times_as_long(8, 400, Pace(500))]
#[case::calls_that_run_for_ever(8, 4_000, Pace(5_000))]
#[case::too_few_calls(2, 4_000, Pace(250))]
fn the_pace_with(#[case] running: usize, #[case] age_ms: u64, #[case] expected: Pace) {
    let (mut guard, mut rng) = guard();
    for _ in 0..running {
        assert!(matches!(guard.offer(START, bid(), &mut rng), Admit::Run(_)));
    }
    assert_eq!(guard.pace(at(age_ms)), Some(expected));
}

#[rstest]
fn one_long_call_at_the_start_is_soon_forgotten() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut guard = Admission::new(START, AdmissionSettings::default()).with_slots(12);
    for ms in [4_000, 100, 100, 100] {
        let Admit::Run(ticket) = guard.offer(START, bid(), &mut rng) else {
            unreachable!("slots are free");
        };
        let mut sample = Sample::new(Duration::from_millis(ms), CallResult::Success);
        sample.target = Some(TARGET);
        guard.done(ticket, START, &sample);
    }
    let Some(pace) = guard.pace(START) else {
        unreachable!("calls have ended");
    };
    assert!(pace.quotient() < 3.0, "{pace:?}");
}

#[rstest]
#[case::much_slower(2_100, 900, true)]
#[case::much_faster(2_100, 100, true)]
#[case::a_little_slower(2_100, 400, false)]
#[case::much_slower_too_soon(1_900, 900, false)]
fn a_pace_of_300_is_told_again_after(#[case] ms: u64, #[case] pace: u32, #[case] told: bool) {
    let mut telling = PaceTelling::default();
    telling.due(START, Some(Pace(300)));
    assert_eq!(telling.due(at(2_000), Some(Pace(300))), Some(Pace(300)));
    let due = telling.due(at(2_000 + ms), Some(Pace(pace)));
    assert_eq!(due.is_some(), told);
}

/// Counts the picks of the second of two backend servers, whose pace is told.
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
    // One answer of the first one, so that a typical pace is known.
    let first = members[0].id;
    balancer.started(first);
    let mut sample = Sample::new(Duration::from_millis(100), CallResult::Success);
    sample.pace = paces[0];
    balancer.finished(first, START, &sample);
    let service = view.service("sensor").expect("the table has it");
    let pick = |_| balancer.pick(START, service, &[], &mut rng).map(|p| p.id);
    let picks: Vec<_> = (0..100).map(pick).collect();
    picks
        .iter()
        .filter(|id| **id == Some(members[1].id))
        .count()
}

#[rstest]
#[case::slower_is_left_alone([Some(Pace(250)), Some(Pace(1_000))], 0)]
#[case::faster_gets_all([Some(Pace(1_000)), Some(Pace(250))], 100)]
fn a_backend_server_that_was_told_to_be(#[case] paces: [Option<Pace>; 2], #[case] expected: usize) {
    assert_eq!(picks_of_second(paces), expected);
}

#[rstest]
fn a_told_pace_spreads_and_ends_with_the_backend_server() {
    let me = member(1, "sensor", "sur");
    let mut membership = Membership::new(me.clone(), Gossip::default(), Vec::new(), 1);
    membership.announce_pace(START, Pace(900));
    assert_eq!(membership.me().pace, Some(Pace(900)));
    assert!(
        membership.me().incarnation > me.incarnation,
        "news to the others"
    );
    let mut other = me.backend.clone().expect("a backend server");
    other.slots += 1;
    membership.update_backend(START, Some(other));
    assert_eq!(membership.me().pace, None);
    membership.update_backend(START, None);
    membership.announce_pace(START, Pace(700));
    assert_eq!(membership.me().pace, None, "of no backend server");
}
