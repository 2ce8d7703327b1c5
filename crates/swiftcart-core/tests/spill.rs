//! Spill-over between failure domains: the plan, the selection, and a service under a swinging
//! load.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/mesh_load.rs"]
mod mesh_load;
mod support;

use std::collections::HashMap;
use std::time::Duration;

use mesh_load::{Choice, Outage, Outcome, Scenario, WARMUP, Workload, simulate_scenario};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use support::{member, node, view};
use swiftcart_core::*;

/// Length of a simulation: the warm-up and one period of the swings.
const DURATION: Duration = Duration::from_secs(19);

/// Slots of each domain in the tests of the plan.
const SLOTS: u32 = 90;

fn tag(name: &str) -> DomainTag {
    DomainTag::new(&FailureDomain::new(name))
}

/// Creates a plan of a node with two other domains.
fn plan() -> SpillPlan {
    let mut plan = SpillPlan::default();
    plan.set_domains(&[
        DomainSlots::near(SLOTS),
        DomainSlots::far(tag("sur"), SLOTS),
        DomainSlots::far(tag("este"), 2 * SLOTS),
    ]);
    plan
}

/// Records reports of `guards` guards of one domain in turn, over two seconds.
fn record(plan: &mut SpillPlan, domains: &[(Option<&str>, f64)], guards: u16) {
    for step in 0..200 {
        for (domain, usage) in domains {
            let now = Instant::from_millis(10 * step);
            plan.record(now, domain.map(tag), node(step as u16 % guards), *usage);
        }
    }
}

const NEAR: Option<&str> = None;
const SUR: Option<&str> = Some("sur");
const ESTE: Option<&str> = Some("este");
const NO_ROOM: Option<SpillCause> = Some(SpillCause::NoRoom);
const PROBE: Option<SpillCause> = Some(SpillCause::Probe);

fn to(name: &str) -> SpillTarget {
    SpillTarget::Domain(tag(name))
}

#[rstest]
#[case::calm(&[(NEAR, 0.7), (SUR, 0.5), (ESTE, 0.7)], 2, 0.001, Some((None, to("sur"))))]
#[case::no_room(&[(NEAR, 1.1), (SUR, 0.5), (ESTE, 1.2)], 2, 0.001, Some((NO_ROOM, to("sur"))))]
#[case::no_room_but_high_draw(&[(NEAR, 1.1), (SUR, 0.5), (ESTE, 1.2)], 2, 0.99, Some((None, to("sur"))))]
#[case::low_position_is_sent_to_first_domain(&[(NEAR, 1.1), (SUR, 0.4), (ESTE, 0.4)], 2, 0.001, Some((NO_ROOM, to("sur"))))]
#[case::high_position_is_sent_to_second_domain(&[(NEAR, 1.1), (SUR, 0.4), (ESTE, 0.4)], 2, 0.5, Some((NO_ROOM, to("este"))))]
#[case::all_are_full(&[(NEAR, 1.1), (SUR, 1.05), (ESTE, 1.2)], 2, 0.001, Some((None, SpillTarget::Nowhere)))]
#[case::unknown_domains_are_probed(&[(NEAR, 1.1)], 2, 0.001, Some((PROBE, to("sur"))))]
#[case::few_requests_probe(&[(NEAR, 1.1)], 2, 0.1, Some((None, SpillTarget::Any)))]
#[case::calm_requests_do_not_probe(&[(NEAR, 0.7)], 2, 0.001, Some((None, SpillTarget::Any)))]
#[case::one_unknown_domain_is_probed(&[(NEAR, 1.1), (SUR, 1.1)], 2, 0.001, Some((PROBE, to("este"))))]
#[case::a_single_guard_is_not_enough(&[(NEAR, 1.1), (SUR, 0.5)], 1, 0.001, None)]
#[case::own_domain_unknown(&[(SUR, 0.5)], 2, 0.001, None)]
fn plan_advises_by_usage_and_draw(
    #[case] usages: &[(Option<&str>, f64)],
    #[case] guards: u16,
    #[case] draw: f64,
    #[case] expected: Option<(Option<SpillCause>, SpillTarget)>,
) {
    let mut plan = plan();
    record(&mut plan, usages, guards);
    let advice = plan.advise(Instant::from_millis(2_000), SpillDraw::new(draw), |_| true);
    assert_eq!(advice.map(|a| (a.leaves, a.target)), expected);
}

#[rstest]
#[case::fresh(2_000, &["sur", "este"], Some(to("sur")))]
#[case::reports_are_old(4_500, &["sur", "este"], None)]
#[case::domain_is_cut_off(2_000, &["este"], Some(SpillTarget::Nowhere))]
fn plan_avoids_domains_with_old_reports_or_without_a_connection(
    #[case] at_ms: u64,
    #[case] reachable: &[&str],
    #[case] expected: Option<SpillTarget>,
) {
    let mut plan = plan();
    record(&mut plan, &[(NEAR, 1.1), (SUR, 0.5), (ESTE, 1.2)], 2);
    let is_reachable = |domain| reachable.iter().any(|name| tag(name) == domain);
    let now = Instant::from_millis(at_ms);
    let advice = plan.advise(now, SpillDraw::new(0.05), is_reachable);
    assert_eq!(advice.map(|a| a.target), expected);
}

#[rstest]
fn domains_never_send_requests_to_each_other(
    #[values(0.6, 0.9, 1.0, 1.3)] here: f64,
    #[values(0.6, 0.9, 1.0, 1.3)] there: f64,
) {
    let sends = |own: f64, other: f64| {
        let mut plan = plan();
        record(&mut plan, &[(NEAR, own), (SUR, other), (ESTE, 2.0)], 2);
        let advice = plan.advise(Instant::from_millis(2_000), SpillDraw::new(0.0), |_| true);
        advice.is_some_and(|a| a.leaves == NO_ROOM || a.max_refusals.is_some())
    };
    assert!(!(sends(here, there) && sends(there, here)));
}

/// The demand rises to 1.3 times the slots at once. A third of it then has to leave.
#[test]
fn share_settles_after_a_step_of_the_demand() {
    let mut plan = plan();
    let mut shares = Vec::new();
    for step in 0..600 {
        let now = Instant::from_millis(10 * step);
        let near = 1.3 * (1.0 - plan.share());
        plan.record(now, None, node(step as u16 % 4), near);
        plan.record(now, Some(tag("sur")), node(5 + step as u16 % 4), 0.4);
        shares.push(plan.share());
    }
    let needed = 1.0 - 0.85 / 1.3;
    assert!(
        shares[200..].iter().all(|s| (s - needed).abs() < 0.1),
        "{shares:?}"
    );
    assert!(
        shares[400..].iter().all(|s| (s - needed).abs() < 0.02),
        "{shares:?}"
    );
}

/// Nodes 1, 3, 5, 7, 9 and 11 are in the own domain, and all of them but node 11 have refused. Nodes
/// 2 and 4 are in the other domain.
#[rstest]
#[case::off(None, Payload::Light, &[], PickRule::Spill)]
#[case::on(Some(SpillDraw::new(0.5)), Payload::Light, &[], PickRule::Near)]
#[case::own_domain_is_exhausted(Some(SpillDraw::new(0.5)), Payload::Light, &[node(11)], PickRule::Spill)]
#[case::heavy_payload_stays(Some(SpillDraw::new(0.5)), Payload::Heavy, &[node(11)], PickRule::Near)]
fn own_domain_is_searched_first(
    #[case] draw: Option<SpillDraw>,
    #[case] payload: Payload,
    #[case] exclude: &[NodeId],
    #[case] expected: PickRule,
) {
    let domain = |n: u16| if n % 2 == 1 { "norte" } else { "sur" };
    let members = [1, 2, 3, 4, 5, 7, 9, 11].map(|n| member(n, "a", domain(n)));
    let view = view(&Table::new().with_service("a", Limits::default()), &members);
    let now = Instant::from_millis(1_000);
    let mut balancer = Balancer::new(node(1), BalanceSettings::default());
    balancer.adopt(now, &view);
    for n in [1, 3, 5, 7, 9] {
        balancer.started(node(n));
        let refused = Sample::new(Duration::ZERO, CallResult::Refused);
        balancer.finished(node(n), now, &refused);
    }
    let requirements = PickRequirements::from(payload).with_spill(draw);
    let entry = view.service("a").unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    let rules = (0..50).map(|_| {
        let pick = balancer.pick_for(&requirements, now, entry, exclude, &mut rng);
        pick.unwrap().rule
    });
    let rules: Vec<_> = rules.collect();
    match draw {
        None => assert!(rules.contains(&expected), "{rules:?}"),
        Some(_) => assert!(rules.iter().all(|rule| *rule == expected), "{rules:?}"),
    }
}

/// Without a draw, the reports that a plan uses do not change the selection.
#[test]
fn selection_without_a_draw_ignores_the_plan() {
    let view_of = |service: &str| {
        let domain = |n| if n % 2 == 1 { "norte" } else { "sur" };
        let members: Vec<_> = (1..9).map(|n| member(n, service, domain(n))).collect();
        let table = Table::new().with_service(service, Limits::default());
        view(&table, &members)
    };
    let view = view_of("a");
    let entry = view.service("a").unwrap();
    let picks = |service: &str| {
        let mut balancer = Balancer::new(node(1), BalanceSettings::default());
        balancer.adopt(Instant::default(), &view_of(service));
        let mut rng = SmallRng::seed_from_u64(1);
        let mut picks = Vec::new();
        for step in 0..400 {
            let now = Instant::from_millis(5 * step);
            let pick = balancer.pick(now, entry, &[], &mut rng).unwrap();
            let usage = if pick.rule == PickRule::Spill { 5 } else { 12 };
            let load = Load {
                running: usage,
                queued: 0,
                limit: 10,
            };
            balancer.started(pick.id);
            let sample = Sample::new(Duration::from_millis(20), CallResult::Success);
            balancer.finished(pick.id, now, &sample.with_load(load).with_pace(Pace(300)));
            picks.push((pick.id, pick.rule, pick.free));
        }
        picks
    };
    // No plan applies to a service of another name.
    assert_eq!(picks("a"), picks("b"));
}

fn workload(nodes: usize) -> Workload {
    let mut load = Workload {
        nodes,
        servers: 30,
        domains: 3,
        slots: 9,
        service_time: Duration::from_millis(80),
        request_rate: 0.0,
        duration: DURATION,
        ..Workload::default()
    };
    load.request_rate = 0.75 * (0..3).map(|domain| capacity(&load, domain)).sum::<f64>();
    load
}

/// Returns the requests per second that a domain's backend servers can run.
fn capacity(load: &Workload, domain: usize) -> f64 {
    let servers = (domain..load.servers).step_by(load.domains);
    let rate = |n: usize| {
        let slowdown = 1.0 + 2.0 * n as f64 / (load.servers - 1) as f64;
        f64::from(load.slots) / load.service_time.mul_f64(slowdown).as_secs_f64()
    };
    servers.map(rate).sum()
}

/// Returns the least share of the requests that has to leave its domain.
fn least_crossed(load: &Workload, scenario: &Scenario) -> f64 {
    let steps = WARMUP.as_millis() as u64..load.duration.as_millis() as u64;
    let (mut excess, mut demand) = (0.0, 0.0);
    for at in steps.step_by(10).map(Instant::from_millis) {
        for domain in 0..load.domains {
            let swing = scenario.demand(domain, load.domains, at);
            let arrivals = load.request_rate / load.domains as f64 * swing;
            demand += arrivals;
            excess += (arrivals - capacity(load, domain)).max(0.0);
        }
    }
    excess / demand
}

fn swinging(choice: Choice) -> Scenario {
    Scenario {
        choice,
        swing: 0.55,
        clump: 5,
        far_latency: Duration::from_millis(3),
        ..Scenario::default()
    }
}

/// Returns the share of the answers from other domains that went against the prevailing direction
/// between two domains within the same second.
fn counterflow(outcome: &Outcome) -> f64 {
    let mut flows: HashMap<(u64, usize, usize), usize> = HashMap::new();
    for (at, from, to) in &outcome.crossings {
        *flows
            .entry((at.elapsed().as_secs(), *from, *to))
            .or_default() += 1;
    }
    let back = |(at, from, to)| flows.get(&(at, to, from)).copied().unwrap_or(0);
    let lesser = flows
        .iter()
        .map(|(flow, n)| back(*flow).min(*n))
        .sum::<usize>()
        / 2;
    lesser as f64 / outcome.crossed.max(1) as f64
}

/// Sum of the results of several simulations.
fn sum(outcomes: impl Iterator<Item = Outcome>) -> Outcome {
    outcomes.fold(Outcome::default(), |mut sum, outcome| {
        sum.requests += outcome.requests;
        sum.in_time += outcome.in_time;
        sum.crossed += outcome.crossed;
        sum.crossings.extend(outcome.crossings);
        sum
    })
}

#[rstest]
#[case::reports_abound(60, 0.5)]
#[case::a_dozen_reports_a_second(120, 0.5)]
#[case::two_reports_a_second(600, 1.0)]
fn swinging_demand_is_served_with_few_crossings(#[case] nodes: usize, #[case] max_ratio: f64) {
    let load = workload(nodes);
    let run = |choice| sum((1..=4).map(|seed| simulate_scenario(&load, swinging(choice), seed)));
    let [sampled, planned, oracle] = [Choice::Sampled, Choice::Planned, Choice::Oracle].map(run);
    let figures = format!(
        "in time {:.4} {:.4} {:.4}, crossed {:.4} {:.4} {:.4}, least {:.4}",
        sampled.in_time(),
        planned.in_time(),
        oracle.in_time(),
        sampled.crossed(),
        planned.crossed(),
        oracle.crossed(),
        least_crossed(&load, &swinging(Choice::Planned)),
    );
    assert!(planned.in_time() >= sampled.in_time() - 0.005, "{figures}");
    assert!(planned.in_time() >= oracle.in_time() - 0.02, "{figures}");
    assert!(
        planned.crossed() <= max_ratio * sampled.crossed(),
        "{figures}"
    );
    assert!(counterflow(&planned) <= 0.1, "{figures}");
}

const CUT: Outage = Outage {
    domain: 1,
    from: Duration::from_secs(9),
    until: Duration::from_secs(12),
    restart: false,
};

const RESTART: Outage = Outage {
    restart: true,
    ..CUT
};

#[rstest]
#[case::domain_is_cut_off_after_it_lent_slots(Some(CUT), Duration::ZERO)]
#[case::all_nodes_of_a_domain_restart(Some(RESTART), Duration::ZERO)]
#[case::reports_are_two_seconds_late(None, Duration::from_secs(2))]
fn failure_costs_no_more_than_without_a_plan(
    #[case] outage: Option<Outage>,
    #[case] report_age: Duration,
    #[values(60, 600)] nodes: usize,
) {
    let run = |choice| {
        let scenario = Scenario {
            outage,
            report_age,
            ..swinging(choice)
        };
        sum((1..=4).map(|seed| simulate_scenario(&workload(nodes), scenario, seed)))
    };
    let [sampled, planned] = [Choice::Sampled, Choice::Planned].map(run);
    let in_time = [planned.in_time(), sampled.in_time()];
    let crossed = [planned.crossed(), sampled.crossed()];
    assert!(in_time[0] >= in_time[1] - 0.005, "{in_time:?}");
    assert!(crossed[0] <= crossed[1], "{crossed:?}");
}
