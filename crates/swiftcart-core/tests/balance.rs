//! Calls go to known, healthy, near backend servers, and some backend server is always left.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use support::{member, node, view};
use swiftcart_core::*;

const START: Instant = Instant::from_millis(0);

/// A balancer of node 1 and the view that it has adopted.
struct Rig {
    balancer: Balancer,
    view: View,
    rng: SmallRng,
}

/// Node `n` is in `norte` when odd; node 1 has the own backend server.
fn rig(nodes: &[u16]) -> Rig {
    let mut rig = Rig {
        balancer: Balancer::new(node(1), BalanceSettings::default()),
        view: view(&Table::new(), &[]),
        rng: SmallRng::seed_from_u64(1),
    };
    rig.adopt(START, nodes);
    rig
}

impl Rig {
    fn adopt(&mut self, now: Instant, nodes: &[u16]) {
        let domain = |n| if n % 2 == 1 { "norte" } else { "sur" };
        let members: Vec<_> = nodes.iter().map(|n| member(*n, "a", domain(*n))).collect();
        let table = Table::new().with_service("a", Limits::default());
        self.view = view(&table, &members);
        self.balancer.adopt(now, &self.view);
    }

    fn pick(&mut self, now: Instant, exclude: &[NodeId]) -> Option<Pick> {
        let entry = self.view.service("a").expect("the table has it");
        self.balancer.pick(now, entry, exclude, &mut self.rng)
    }

    fn feed(&mut self, n: u16, now: Instant, sample: Sample, count: u32) {
        for _ in 0..count {
            self.balancer.started(node(n));
            self.balancer.finished(node(n), now, &sample);
        }
    }

    /// Returns how many of 1000 picks go to node `n`, no call staying open.
    fn share(&mut self, now: Instant, n: u16) -> usize {
        let picks = (0..1000).filter_map(|_| self.pick(now, &[]));
        picks.filter(|p| p.id == node(n)).count()
    }
}

fn took(ms: u64) -> Sample {
    Sample::new(Duration::from_millis(ms), CallResult::Success)
}

fn failed() -> Sample {
    Sample::new(Duration::ZERO, CallResult::Failure)
}

fn unreachable() -> Sample {
    Sample::new(Duration::ZERO, CallResult::Unreachable)
}

fn loaded(running: u32) -> Sample {
    let load = Load {
        running,
        queued: 0,
        limit: 10,
    };
    took(10).with_load(load)
}

#[rstest]
#[case::own_first(&[1, 2, 3], |_: &mut Rig| (), Some((1, PickRule::Own)))]
#[case::near_when_own_is_full(&[1, 2, 3], |r: &mut Rig| (0..10).for_each(|_| r.balancer.started(node(1))), Some((3, PickRule::Near)))]
#[case::near_when_own_is_ejected(&[1, 2, 3], |r: &mut Rig| r.feed(1, START, failed(), 5), Some((3, PickRule::Near)))]
#[case::spill_when_near_is_absent(&[2], |_: &mut Rig| (), Some((2, PickRule::Spill)))]
#[case::spill_when_near_is_ejected(&[2, 3], |r: &mut Rig| r.feed(3, START, failed(), 5), Some((2, PickRule::Spill)))]
#[case::spill_when_near_reports_full(&[2, 3], |r: &mut Rig| r.feed(3, START, loaded(10), 1), Some((2, PickRule::Spill)))]
#[case::spill_when_near_refuses(&[2, 3], |r: &mut Rig| r.feed(3, START, Sample::new(Duration::ZERO, CallResult::Refused), 1), Some((2, PickRule::Spill)))]
#[case::near_when_all_are_full(&[2, 3], |r: &mut Rig| [2, 3].into_iter().for_each(|n| r.feed(n, START, loaded(10), 1)), Some((3, PickRule::Near)))]
#[case::the_only_one_is_never_ejected(&[2], |r: &mut Rig| r.feed(2, START, failed(), 50), Some((2, PickRule::Spill)))]
#[case::none_without_candidates(&[], |_: &mut Rig| (), None)]
fn the_choice_is(
    #[case] nodes: &[u16],
    #[case] before: fn(&mut Rig),
    #[case] expected: Option<(u16, PickRule)>,
) {
    let mut rig = rig(nodes);
    before(&mut rig);
    let pick = rig.pick(START, &[]).map(|p| (p.id, p.rule));
    assert_eq!(pick, expected.map(|(n, rule)| (node(n), rule)));
}

#[rstest]
#[case::one_failed_connection(1, &[])]
#[case::two_in_a_row(2, &[3, 5, 7])]
fn a_domain_that_cannot_be_connected_to_is_left_out_after(
    #[case] times: u32,
    #[case] expected: &[u16],
) {
    let mut rig = rig(&[2, 3, 5, 7]);
    for n in [3, 5, 7] {
        rig.feed(n, START, unreachable(), times);
    }
    let out: Vec<_> = [2, 3, 5, 7]
        .into_iter()
        .filter(|n| rig.balancer.ejected(node(*n), START))
        .collect();
    assert_eq!(out, expected);
}

#[rstest]
fn a_failed_connection_is_tried_again_every_second() {
    let mut rig = rig(&[3, 5]);
    let mut now = START;
    for round in 0..8 {
        rig.feed(3, now, unreachable(), if round == 0 { 2 } else { 1 });
        assert!(rig.balancer.ejected(node(3), now));
        now = now + Duration::from_secs(1);
        assert!(!rig.balancer.ejected(node(3), now));
    }
}

#[rstest]
fn an_ejected_one_is_picked_rather_than_none() {
    let mut rig = rig(&[2, 4]);
    rig.feed(2, START, failed(), 5);
    let pick = rig.pick(START, &[node(4)]).map(|p| (p.id, p.rule));
    assert_eq!(pick, Some((node(2), PickRule::Ejected)));
    assert_eq!(rig.pick(START, &[node(2), node(4)]), None);
}

#[rstest]
#[case::slower_gets_less(took(10), took(30), 0..=300)]
#[case::loaded_gets_less(loaded(0), loaded(9), 0..=300)]
#[case::a_claim_to_be_idle_gains_nothing(took(10), loaded(0), 400..=600)]
fn of_two_the_second_gets(
    #[case] first: Sample,
    #[case] second: Sample,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let mut rig = rig(&[3, 5, 7, 9]);
    for n in [3, 7, 9] {
        rig.feed(n, START, first, 10);
    }
    rig.feed(5, START, second, 10);
    let share = rig.share(START, 5) * 2;
    assert!(expected.contains(&share), "{share}");
}

#[rstest]
fn a_reported_load_loses_its_weight_with_age() {
    let mut rig = rig(&[2, 3]);
    rig.feed(3, START, loaded(10), 1);
    let rules = [0, 100, 2000].map(|ms| rig.pick(Instant::from_millis(ms), &[]).unwrap().rule);
    assert_eq!(rules, [PickRule::Spill, PickRule::Near, PickRule::Near]);
}

#[rstest]
#[case::at_first(0, 0..=60)]
#[case::halfway(5_000, 80..=180)]
#[case::after_the_slow_start(10_000, 210..=290)]
fn a_newly_seen_one_gets(#[case] ms: u64, #[case] expected: std::ops::RangeInclusive<usize>) {
    let mut rig = rig(&[3, 5, 7]);
    rig.adopt(START, &[3, 5, 7, 9]);
    let share = rig.share(Instant::from_millis(ms), 9);
    assert!(expected.contains(&share), "{share}");
}

#[rstest]
fn ejections_double_and_a_single_call_tries_again() {
    let mut rig = rig(&[3, 5]);
    let mut now = START;
    let mut times = Vec::new();
    for round in 0..8 {
        rig.feed(3, now, failed(), if round == 0 { 5 } else { 1 });
        let end = (0..).map(|s| now + Duration::from_secs(s));
        let end = end
            .take(100)
            .find(|t| !rig.balancer.ejected(node(3), *t))
            .unwrap();
        times.push(end.since(now).as_secs());
        now = end;
    }
    assert_eq!(times, [1, 2, 4, 8, 16, 32, 60, 60]);

    rig.balancer.started(node(3));
    let rule = rig.pick(now, &[node(5)]).map(|p| p.rule);
    assert_eq!(rule, Some(PickRule::Ejected), "one trial is on its way");
    rig.balancer.finished(node(3), now, &took(10));
    let share = rig.share(now + Duration::from_secs(60), 3);
    assert!(share >= 400, "failures are forgotten: {share}");
}

#[rstest]
fn a_departed_one_is_forgotten_once_its_calls_have_ended() {
    let mut rig = rig(&[3, 5]);
    rig.balancer.started(node(5));
    rig.adopt(START, &[3]);
    assert_eq!(rig.balancer.len(), 2);
    rig.balancer.finished(node(5), START, &took(1));
    assert_eq!(rig.balancer.len(), 1);
    rig.balancer.finished(node(5), START, &took(1));
    rig.balancer.started(node(9));
    assert_eq!(rig.balancer.len(), 1);
}

#[derive(Debug, Clone)]
enum Event {
    Members(Vec<u16>),
    Call { exclude: Vec<u16> },
    End { call: usize, result: CallResult },
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let result = prop_oneof![
        1 => Just(CallResult::Success),
        4 => Just(CallResult::Failure),
        2 => Just(CallResult::Unreachable),
        1 => Just(CallResult::Refused),
        1 => Just(CallResult::Cancelled),
    ];
    prop_oneof![
        1 => prop::collection::vec(1..12_u16, 0..8).prop_map(Event::Members),
        8 => prop::collection::vec(1..12_u16, 0..3).prop_map(|exclude| Event::Call { exclude }),
        8 => (any::<usize>(), result).prop_map(|(call, result)| Event::End { call, result }),
        2 => (0..3000_u64).prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(400) })]

    #[test]
    fn whatever_happens_picks_are_known_and_half_stays_in(events in prop::collection::vec(event(), 1..300)) {
        let mut rig = rig(&[1, 2, 3, 4]);
        let (mut now, mut open) = (START, Vec::new());
        for event in events {
            match event {
                Event::Members(mut nodes) => {
                    nodes.sort_unstable();
                    nodes.dedup();
                    rig.adopt(now, &nodes);
                }
                Event::Call { exclude } => {
                    let exclude: Vec<_> = exclude.into_iter().map(node).collect();
                    let pick = rig.pick(now, &exclude);
                    let entry = rig.view.service("a").unwrap();
                    let left = entry.candidates().iter().filter(|c| !exclude.contains(&c.id)).count();
                    prop_assert_eq!(pick.is_some(), left > 0);
                    if let Some(pick) = pick {
                        prop_assert!(rig.view.has_candidate(pick.id));
                        prop_assert!(!exclude.contains(&pick.id));
                        rig.balancer.started(pick.id);
                        open.push(pick.id);
                    }
                }
                Event::End { call, result } if !open.is_empty() => {
                    let id = open.swap_remove(call % open.len());
                    rig.balancer.finished(id, now, &Sample::new(Duration::from_millis(3), result));
                }
                Event::End { .. } => {}
                Event::Wait(ms) => now = now + Duration::from_millis(ms),
            }
            let all = rig.view.service("a").unwrap().candidates();
            let ejected = all.iter().filter(|c| rig.balancer.ejected(c.id, now)).count();
            prop_assert!(all.len() < 2 || ejected < all.len(), "{} of {} ejected", ejected, all.len());
            prop_assert!(rig.balancer.len() <= all.len() + open.len());
        }
    }
}

/// Feeds node `n` one call whose answer told this pace, in thousandths of the target.
fn tell(rig: &mut Rig, n: u16, pace: u32) {
    let sample = took(10).with_pace(Pace(pace));
    rig.feed(n, START, sample, 1);
}

#[rstest]
#[case::own_at_a_like_pace(&[(1, 250), (3, 240)], Payload::Light, 1)]
#[case::near_when_own_is_much_slower(&[(1, 500), (3, 240)], Payload::Light, 3)]
#[case::own_although_far_saves_a_sixth_of_the_target(&[(1, 400), (3, 400), (2, 230)], Payload::Light, 1)]
#[case::far_when_that_saves_a_quarter(&[(1, 500), (3, 500), (2, 250)], Payload::Light, 2)]
#[case::own_with_a_long_body(&[(1, 500), (3, 500), (2, 250)], Payload::Heavy, 1)]
#[case::far_unheard_when_all_near_are_slow(&[(1, 900), (3, 900), (5, 900), (4, 90)], Payload::Light, 2)]
fn with_paces_told_the_choice_is(
    #[case] paces: &[(u16, u32)],
    #[case] payload: Payload,
    #[case] expected: u16,
) {
    let mut ids: Vec<u16> = paces.iter().map(|(n, _)| *n).collect();
    ids.extend(
        [1, 2, 3]
            .iter()
            .filter(|n| !paces.iter().any(|(m, _)| m == *n)),
    );
    let mut rig = rig(&ids);
    for (n, pace) in paces {
        tell(&mut rig, *n, *pace);
    }
    if let Some(last) = paces.last().filter(|(n, _)| *n == 4) {
        // The mean of all paces is what an unheard one is taken for.
        (0..100).for_each(|_| tell(&mut rig, last.0, last.1));
        rig.adopt(START, &[1, 2, 3, 5]);
    }
    let entry = rig.view.service("a").expect("the table has it");
    let pick = rig
        .balancer
        .pick_for(&payload.into(), START, entry, &[], &mut rig.rng);
    assert_eq!(pick.map(|pick| pick.id), Some(node(expected)));
}

/// What is known of the nodes 2 and 4 of `sur` before a choice among 2, 4 and 6.
#[rstest]
#[case::no_connection_to_two(&[(2, 0, unreachable()), (4, 10, unreachable())], 20, PickRule::Ejected)]
#[case::twice_none_to_one(&[(2, 0, unreachable()), (2, 10, unreachable())], 20, PickRule::Spill)]
#[case::none_to_two_long_apart(&[(2, 0, unreachable()), (4, 1_500, unreachable())], 1_520, PickRule::Spill)]
#[case::an_answer_since(&[(2, 0, unreachable()), (4, 10, unreachable()), (6, 15, took(5))], 20, PickRule::Spill)]
#[case::a_second_later(&[(2, 0, unreachable()), (4, 10, unreachable())], 1_100, PickRule::Spill)]
fn a_domain_to_which(
    #[case] calls: &[(u16, u64, Sample)],
    #[case] ms: u64,
    #[case] expected: PickRule,
) {
    let mut rig = rig(&[2, 4, 6]);
    for (n, at, sample) in calls {
        rig.feed(*n, Instant::from_millis(*at), *sample, 1);
    }
    let now = Instant::from_millis(ms);
    assert_eq!(rig.pick(now, &[]).map(|pick| pick.rule), Some(expected));
}

#[test]
fn a_link_without_room_for_long_answers_is_left_to_short_ones() {
    let mut rig = rig(&[2, 4]);
    rig.feed(
        2,
        START,
        Sample::new(Duration::ZERO, CallResult::LinkBusy),
        1,
    );
    let entry = rig.view.service("a").expect("the table has it").clone();
    let mut free = |payload: Payload, ms| {
        let now = Instant::from_millis(ms);
        let pick = rig
            .balancer
            .pick_for(&payload.into(), now, &entry, &[node(4)], &mut rig.rng);
        pick.expect("one is left").free
    };
    assert!(free(Payload::Light, 10));
    assert!(!free(Payload::Heavy, 10));
    assert!(free(Payload::Heavy, 250), "links clear soon");
}

/// Has node `n` tell `pace` to all others.
fn spread(rig: &mut Rig, now: Instant, n: u16, pace: Option<Pace>) {
    let mut members: Vec<_> = [1, 3, 5].map(|n| member(n, "a", "norte")).into();
    members.retain_mut(|m| {
        m.pace = pace.filter(|_| m.id == node(n));
        true
    });
    let table = Table::new().with_service("a", Limits::default());
    rig.view = view(&table, &members);
    rig.balancer.adopt(now, &rig.view);
}

#[rstest]
#[case::withdrawn(None, false)]
#[case::told_anew(Some(Pace(900)), true)]
fn an_ejection_outlasts_a_pace_that_is(#[case] pace: Option<Pace>, #[case] ejected: bool) {
    let mut rig = rig(&[1, 3, 5]);
    spread(&mut rig, START, 3, Some(Pace(300)));
    rig.feed(3, START, failed(), 5);
    assert!(rig.balancer.ejected(node(3), START));
    spread(&mut rig, START, 3, pace);
    assert_eq!(rig.balancer.ejected(node(3), START), ejected);
}

#[test]
fn calls_under_way_are_counted_on_when_a_pace_is_withdrawn() {
    let mut rig = rig(&[1, 3, 5]);
    spread(&mut rig, START, 3, Some(Pace(300)));
    for _ in 0..10 {
        rig.balancer.started(node(3));
    }
    spread(&mut rig, START, 3, None);
    let free = (0..100).filter_map(|_| rig.pick(START, &[node(1), node(5)]));
    assert!(
        free.into_iter().all(|pick| !pick.free),
        "ten calls fill its ten slots"
    );
}
