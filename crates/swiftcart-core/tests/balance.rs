//! Selection of backend servers: distance, load, failures, ejection and slow start.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use support::{member, node, view};
use swiftcart_core::*;

const START: Instant = Instant::from_millis(0);

/// Balancer of node 1 with the view that it has adopted.
struct Fixture {
    balancer: Balancer,
    view: View,
    rng: SmallRng,
}

/// Creates a fixture with odd nodes in `norte`, even nodes in `sur` and node 1 as the own node.
fn fixture(nodes: &[u16]) -> Fixture {
    let mut fixture = Fixture {
        balancer: Balancer::new(node(1), BalanceSettings::default()),
        view: view(&Table::new(), &[]),
        rng: SmallRng::seed_from_u64(1),
    };
    fixture.adopt(START, nodes);
    fixture
}

impl Fixture {
    fn adopt(&mut self, now: Instant, nodes: &[u16]) {
        let domain = |n| if n % 2 == 1 { "norte" } else { "sur" };
        let members: Vec<_> = nodes.iter().map(|n| member(*n, "a", domain(*n))).collect();
        let table = Table::new().with_service("a", Limits::default());
        self.view = view(&table, &members);
        self.balancer.adopt(now, &self.view);
    }

    fn pick(&mut self, now: Instant, exclude: &[NodeId]) -> Option<Pick> {
        let entry = self.view.service("a").expect("service in the table");
        self.balancer.pick(now, entry, exclude, &mut self.rng)
    }

    fn record_calls(&mut self, n: u16, now: Instant, sample: Sample, count: u32) {
        for _ in 0..count {
            self.balancer.started(node(n));
            self.balancer.finished(node(n), now, &sample);
        }
    }

    /// Returns how many of 1000 picks select node `n`, without any call in flight.
    fn picks_of(&mut self, now: Instant, n: u16) -> usize {
        let picks = (0..1000).filter_map(|_| self.pick(now, &[]));
        picks.filter(|p| p.id == node(n)).count()
    }
}

fn success(ms: u64) -> Sample {
    Sample::new(Duration::from_millis(ms), CallResult::Success)
}

fn failure() -> Sample {
    Sample::new(Duration::ZERO, CallResult::Failure)
}

fn unreachable() -> Sample {
    Sample::new(Duration::ZERO, CallResult::Unreachable)
}

fn with_reported_load(running: u32) -> Sample {
    let load = Load {
        running,
        queued: 0,
        limit: 10,
    };
    success(10).with_load(load)
}

#[rstest]
#[case::own_backend_server(&[1, 2, 3], |_: &mut Fixture| (), Some((1, PickRule::Own)))]
#[case::near_when_own_is_full(&[1, 2, 3], |r: &mut Fixture| (0..10).for_each(|_| r.balancer.started(node(1))), Some((3, PickRule::Near)))]
#[case::near_when_own_is_ejected(&[1, 2, 3], |r: &mut Fixture| r.record_calls(1, START, failure(), 5), Some((3, PickRule::Near)))]
#[case::spill_when_near_is_absent(&[2], |_: &mut Fixture| (), Some((2, PickRule::Spill)))]
#[case::spill_when_near_is_ejected(&[2, 3], |r: &mut Fixture| r.record_calls(3, START, failure(), 5), Some((2, PickRule::Spill)))]
#[case::spill_when_near_reports_full(&[2, 3], |r: &mut Fixture| r.record_calls(3, START, with_reported_load(10), 1), Some((2, PickRule::Spill)))]
#[case::spill_when_near_refuses(&[2, 3], |r: &mut Fixture| r.record_calls(3, START, Sample::new(Duration::ZERO, CallResult::Refused), 1), Some((2, PickRule::Spill)))]
#[case::near_when_all_are_full(&[2, 3], |r: &mut Fixture| [2, 3].into_iter().for_each(|n| r.record_calls(n, START, with_reported_load(10), 1)), Some((3, PickRule::Near)))]
#[case::only_candidate_is_never_ejected(&[2], |r: &mut Fixture| r.record_calls(2, START, failure(), 50), Some((2, PickRule::Spill)))]
#[case::none_without_candidates(&[], |_: &mut Fixture| (), None)]
fn selects(
    #[case] nodes: &[u16],
    #[case] before: fn(&mut Fixture),
    #[case] expected: Option<(u16, PickRule)>,
) {
    let mut fixture = fixture(nodes);
    before(&mut fixture);
    let pick = fixture.pick(START, &[]).map(|p| (p.id, p.rule));
    assert_eq!(pick, expected.map(|(n, rule)| (node(n), rule)));
}

#[rstest]
#[case::one_failed_connection(1, &[])]
#[case::two_failed_connections(2, &[3, 5, 7])]
fn unreachable_nodes_of_a_domain_are_ejected_after(#[case] times: u32, #[case] expected: &[u16]) {
    let mut fixture = fixture(&[2, 3, 5, 7]);
    for n in [3, 5, 7] {
        fixture.record_calls(n, START, unreachable(), times);
    }
    let out: Vec<_> = [2, 3, 5, 7]
        .into_iter()
        .filter(|n| fixture.balancer.ejected(node(*n), START))
        .collect();
    assert_eq!(out, expected);
}

#[rstest]
fn unreachable_node_is_retried_every_second() {
    let mut fixture = fixture(&[3, 5]);
    let mut now = START;
    for round in 0..8 {
        fixture.record_calls(3, now, unreachable(), if round == 0 { 2 } else { 1 });
        assert!(fixture.balancer.ejected(node(3), now));
        now = now + Duration::from_secs(1);
        assert!(!fixture.balancer.ejected(node(3), now));
    }
}

#[rstest]
fn ejected_candidate_is_picked_if_no_other_is_left() {
    let mut fixture = fixture(&[2, 4]);
    fixture.record_calls(2, START, failure(), 5);
    let pick = fixture.pick(START, &[node(4)]).map(|p| (p.id, p.rule));
    assert_eq!(pick, Some((node(2), PickRule::Ejected)));
    assert_eq!(fixture.pick(START, &[node(2), node(4)]), None);
}

#[rstest]
#[case::slower_gets_less(success(10), success(30), 0..=300)]
#[case::loaded_gets_less(with_reported_load(0), with_reported_load(9), 0..=300)]
#[case::reporting_no_load_gains_nothing(success(10), with_reported_load(0), 400..=600)]
fn share_of_the_second_candidate(
    #[case] first: Sample,
    #[case] second: Sample,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let mut fixture = fixture(&[3, 5, 7, 9]);
    for n in [3, 7, 9] {
        fixture.record_calls(n, START, first, 10);
    }
    fixture.record_calls(5, START, second, 10);
    let picks = fixture.picks_of(START, 5) * 2;
    assert!(expected.contains(&picks), "{picks}");
}

#[rstest]
fn reported_load_decays() {
    let mut fixture = fixture(&[2, 3]);
    fixture.record_calls(3, START, with_reported_load(10), 1);
    let rules = [0, 100, 2000].map(|ms| fixture.pick(Instant::from_millis(ms), &[]).unwrap().rule);
    assert_eq!(rules, [PickRule::Spill, PickRule::Near, PickRule::Near]);
}

#[rstest]
#[case::initially(0, 0..=60)]
#[case::halfway(5_000, 80..=180)]
#[case::after_the_slow_start(10_000, 210..=290)]
fn slow_start_share_of_a_new_candidate(
    #[case] ms: u64,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let mut fixture = fixture(&[3, 5, 7]);
    fixture.adopt(START, &[3, 5, 7, 9]);
    let picks = fixture.picks_of(Instant::from_millis(ms), 9);
    assert!(expected.contains(&picks), "{picks}");
}

#[rstest]
fn ejection_time_doubles_and_one_call_tests_recovery() {
    let mut fixture = fixture(&[3, 5]);
    let mut now = START;
    let mut times = Vec::new();
    for round in 0..8 {
        fixture.record_calls(3, now, failure(), if round == 0 { 5 } else { 1 });
        let end = (0..).map(|s| now + Duration::from_secs(s));
        let end = end
            .take(100)
            .find(|t| !fixture.balancer.ejected(node(3), *t))
            .unwrap();
        times.push(end.since(now).as_secs());
        now = end;
    }
    assert_eq!(times, [1, 2, 4, 8, 16, 32, 60, 60]);

    fixture.balancer.started(node(3));
    let rule = fixture.pick(now, &[node(5)]).map(|p| p.rule);
    assert_eq!(rule, Some(PickRule::Ejected), "a test call is in flight");
    fixture.balancer.finished(node(3), now, &success(10));
    let picks = fixture.picks_of(now + Duration::from_secs(60), 3);
    assert!(picks >= 400, "failures are reset: {picks}");
}

#[rstest]
fn departed_candidate_is_removed_after_its_calls_end() {
    let mut fixture = fixture(&[3, 5]);
    fixture.balancer.started(node(5));
    fixture.adopt(START, &[3]);
    assert_eq!(fixture.balancer.len(), 2);
    fixture.balancer.finished(node(5), START, &success(1));
    assert_eq!(fixture.balancer.len(), 1);
    fixture.balancer.finished(node(5), START, &success(1));
    fixture.balancer.started(node(9));
    assert_eq!(fixture.balancer.len(), 1);
}

#[derive(Debug, Clone)]
enum Event {
    Members(Vec<u16>),
    Call { exclude: Vec<u16> },
    End { call: usize, result: CallResult },
    Advance(u64),
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
        2 => (0..3000_u64).prop_map(Event::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(400) })]

    #[test]
    fn picks_are_candidates_and_not_all_are_ejected(events in prop::collection::vec(event(), 1..300)) {
        let mut fixture = fixture(&[1, 2, 3, 4]);
        let (mut now, mut open) = (START, Vec::new());
        for event in events {
            match event {
                Event::Members(mut nodes) => {
                    nodes.sort_unstable();
                    nodes.dedup();
                    fixture.adopt(now, &nodes);
                }
                Event::Call { exclude } => {
                    let exclude: Vec<_> = exclude.into_iter().map(node).collect();
                    let pick = fixture.pick(now, &exclude);
                    let entry = fixture.view.service("a").unwrap();
                    let left = entry.candidates().iter().filter(|c| !exclude.contains(&c.id)).count();
                    prop_assert_eq!(pick.is_some(), left > 0);
                    if let Some(pick) = pick {
                        prop_assert!(fixture.view.has_candidate(pick.id));
                        prop_assert!(!exclude.contains(&pick.id));
                        fixture.balancer.started(pick.id);
                        open.push(pick.id);
                    }
                }
                Event::End { call, result } if !open.is_empty() => {
                    let id = open.swap_remove(call % open.len());
                    fixture.balancer.finished(id, now, &Sample::new(Duration::from_millis(3), result));
                }
                Event::End { .. } => {}
                Event::Advance(ms) => now = now + Duration::from_millis(ms),
            }
            let all = fixture.view.service("a").unwrap().candidates();
            let ejected = all.iter().filter(|c| fixture.balancer.ejected(c.id, now)).count();
            prop_assert!(all.len() < 2 || ejected < all.len(), "{} of {} ejected", ejected, all.len());
            prop_assert!(fixture.balancer.len() <= all.len() + open.len());
        }
    }
}

/// Records one call to node `n` whose response reports `pace` in thousandths of the target.
fn report_pace(fixture: &mut Fixture, n: u16, pace: u32) {
    let sample = success(10).with_pace(Pace(pace));
    fixture.record_calls(n, START, sample, 1);
}

#[rstest]
#[case::own_at_a_similar_pace(&[(1, 250), (3, 240)], Payload::Light, 1)]
#[case::near_when_own_is_much_slower(&[(1, 500), (3, 240)], Payload::Light, 3)]
#[case::own_although_far_saves_a_sixth_of_the_target(&[(1, 400), (3, 400), (2, 230)], Payload::Light, 1)]
#[case::far_when_it_saves_a_quarter_of_the_target(&[(1, 500), (3, 500), (2, 250)], Payload::Light, 2)]
#[case::own_with_a_long_body(&[(1, 500), (3, 500), (2, 250)], Payload::Heavy, 1)]
#[case::far_without_pace_when_all_near_are_slow(&[(1, 900), (3, 900), (5, 900), (4, 90)], Payload::Light, 2)]
fn selects_by_pace(#[case] paces: &[(u16, u32)], #[case] payload: Payload, #[case] expected: u16) {
    let mut ids: Vec<u16> = paces.iter().map(|(n, _)| *n).collect();
    ids.extend(
        [1, 2, 3]
            .iter()
            .filter(|n| !paces.iter().any(|(m, _)| m == *n)),
    );
    let mut fixture = fixture(&ids);
    for (n, pace) in paces {
        report_pace(&mut fixture, *n, *pace);
    }
    if let Some(last) = paces.last().filter(|(n, _)| *n == 4) {
        // A candidate without a reported pace is assumed to have the mean pace.
        (0..100).for_each(|_| report_pace(&mut fixture, last.0, last.1));
        fixture.adopt(START, &[1, 2, 3, 5]);
    }
    let entry = fixture.view.service("a").expect("service in the table");
    let pick = fixture
        .balancer
        .pick_for(&payload.into(), START, entry, &[], &mut fixture.rng);
    assert_eq!(pick.map(|pick| pick.id), Some(node(expected)));
}

/// The results in `calls` are recorded before a selection among nodes 2, 4 and 6 of `sur`.
#[rstest]
#[case::two_failed_nodes(&[(2, 0, unreachable()), (4, 10, unreachable())], 20, PickRule::Ejected)]
#[case::one_node_failed_twice(&[(2, 0, unreachable()), (2, 10, unreachable())], 20, PickRule::Spill)]
#[case::two_failed_nodes_far_apart(&[(2, 0, unreachable()), (4, 1_500, unreachable())], 1_520, PickRule::Spill)]
#[case::response_since(&[(2, 0, unreachable()), (4, 10, unreachable()), (6, 15, success(5))], 20, PickRule::Spill)]
#[case::one_second_later(&[(2, 0, unreachable()), (4, 10, unreachable())], 1_100, PickRule::Spill)]
fn unreachable_domain_is_skipped(
    #[case] calls: &[(u16, u64, Sample)],
    #[case] ms: u64,
    #[case] expected: PickRule,
) {
    let mut fixture = fixture(&[2, 4, 6]);
    for (n, at, sample) in calls {
        fixture.record_calls(*n, Instant::from_millis(*at), *sample, 1);
    }
    let now = Instant::from_millis(ms);
    assert_eq!(fixture.pick(now, &[]).map(|pick| pick.rule), Some(expected));
}

#[test]
fn busy_link_accepts_only_light_payloads() {
    let mut fixture = fixture(&[2, 4]);
    fixture.record_calls(
        2,
        START,
        Sample::new(Duration::ZERO, CallResult::LinkBusy),
        1,
    );
    let entry = fixture
        .view
        .service("a")
        .expect("service in the table")
        .clone();
    let mut free = |requirements: PickRequirements, ms| {
        let now = Instant::from_millis(ms);
        let pick =
            fixture
                .balancer
                .pick_for(&requirements, now, &entry, &[node(4)], &mut fixture.rng);
        pick.expect("one candidate is left").free
    };
    let (light, heavy) = (PickRequirements::default(), Payload::Heavy.into());
    assert!(free(light.clone(), 10));
    assert!(free(light.with_stays_near(true), 10));
    assert!(!free(heavy, 10));
    assert!(
        free(Payload::Heavy.into(), 250),
        "the link is available again"
    );
}

/// Adopts a view in which node `n` has announced `pace`.
fn announce_pace(fixture: &mut Fixture, now: Instant, n: u16, pace: Option<Pace>) {
    let mut members: Vec<_> = [1, 3, 5].map(|n| member(n, "a", "norte")).into();
    members.retain_mut(|m| {
        m.pace = pace.filter(|_| m.id == node(n));
        true
    });
    let table = Table::new().with_service("a", Limits::default());
    fixture.view = view(&table, &members);
    fixture.balancer.adopt(now, &fixture.view);
}

#[rstest]
#[case::withdrawn(None, false)]
#[case::changed(Some(Pace(900)), true)]
fn ejection_after_the_pace_is(#[case] pace: Option<Pace>, #[case] ejected: bool) {
    let mut fixture = fixture(&[1, 3, 5]);
    announce_pace(&mut fixture, START, 3, Some(Pace(300)));
    fixture.record_calls(3, START, failure(), 5);
    assert!(fixture.balancer.ejected(node(3), START));
    announce_pace(&mut fixture, START, 3, pace);
    assert_eq!(fixture.balancer.ejected(node(3), START), ejected);
}

#[test]
fn in_flight_calls_are_kept_when_a_pace_is_withdrawn() {
    let mut fixture = fixture(&[1, 3, 5]);
    announce_pace(&mut fixture, START, 3, Some(Pace(300)));
    for _ in 0..10 {
        fixture.balancer.started(node(3));
    }
    announce_pace(&mut fixture, START, 3, None);
    let free = (0..100).filter_map(|_| fixture.pick(START, &[node(1), node(5)]));
    assert!(
        free.into_iter().all(|pick| !pick.free),
        "ten calls fill its ten slots"
    );
}
