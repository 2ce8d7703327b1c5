//! Region preference of calls, and data residency: calls never leave their allowed regions (homes).
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use support::{member, node};
use swiftcart_core::*;

const START: Instant = Instant::from_millis(0);

/// Nodes and their failure domains. `norte` and `sur` are in one region, `este` is in another.
const NODES: [(u16, &str); 6] = [
    (1, "norte"),
    (3, "norte"),
    (2, "sur"),
    (4, "sur"),
    (5, "este"),
    (6, "este"),
];

fn regions() -> Regions {
    let region = |domain: &str| match domain {
        "este" => Region::new("east"),
        _ => Region::new("west"),
    };
    let domains = NODES.iter().map(|(_, domain)| *domain);
    domains
        .map(|domain| (FailureDomain::new(domain), region(domain)))
        .collect()
}

/// Returns the rule by which node 1 picks a backend server among the nodes `present`. The values of
/// `paces` are call durations in thousandths of the latency target.
fn pick(
    present: &[u16],
    paces: &[(u16, u32)],
    requirements: &PickRequirements,
) -> Option<PickRule> {
    let members = NODES.iter().filter(|(n, _)| present.contains(n));
    let members: Vec<_> = members.map(|(n, domain)| member(*n, "a", domain)).collect();
    let table = Table::new().with_service("a", Limits::default());
    let (regions, norte) = (regions(), FailureDomain::new("norte"));
    let locality = Locality::new(&norte).with_regions(&regions);
    let routes = Arc::new(Routes::new(Version(1), &table));
    let view = View::with_routes(routes, members.iter(), node(1), locality);
    let mut balancer = Balancer::new(node(1), BalanceSettings::default());
    balancer.adopt(START, &view);
    for (n, pace) in paces {
        let mut sample = Sample::new(Duration::from_millis(10), CallResult::Success);
        sample.pace = Some(Pace(*pace));
        sample.load = Some(Load {
            running: 0,
            queued: 0,
            limit: 10,
        });
        balancer.started(node(*n));
        balancer.finished(node(*n), START, &sample);
    }
    let entry = view.service("a").expect("the table has it");
    let mut rng = SmallRng::seed_from_u64(1);
    let pick = balancer.pick_for(requirements, START, entry, &[], &mut rng);
    pick.map(|pick| pick.rule)
}

#[rstest]
#[case::own_domain_first(&[1, 2, 5], &[], Payload::Light, PickRule::Own)]
#[case::own_region_before_remote(&[2, 5, 6], &[], Payload::Light, PickRule::Spill)]
#[case::remote_if_own_region_has_no_backend_server(&[5, 6], &[], Payload::Light, PickRule::Remote)]
#[case::remote_for_heavy_payload_if_own_region_has_no_backend_server(&[5, 6], &[], Payload::Heavy, PickRule::Remote)]
#[case::slower_own_region(&[2, 4, 5], &[(2, 900), (4, 900), (5, 200)], Payload::Light, PickRule::Spill)]
#[case::own_region_if_remote_saves_two_targets(&[2, 4, 5], &[(2, 2200), (4, 2200), (5, 200)], Payload::Light, PickRule::Spill)]
#[case::remote_if_it_saves_more_than_two_targets(&[2, 4, 5], &[(2, 2900), (4, 2900), (5, 200)], Payload::Light, PickRule::Remote)]
#[case::own_region_for_heavy_payload(&[2, 4, 5], &[(2, 2900), (4, 2900), (5, 200)], Payload::Heavy, PickRule::Spill)]
fn call_is_picked_by_region(
    #[case] present: &[u16],
    #[case] paces: &[(u16, u32)],
    #[case] payload: Payload,
    #[case] expected: PickRule,
) {
    assert_eq!(pick(present, paces, &payload.into()), Some(expected));
}

#[test]
fn request_refused_in_own_region_queues_there() {
    let mut slot_search = SlotSearch::new(4, Payload::Light);
    let pick = |n, rule| Pick {
        id: node(n),
        peer: node(n).0,
        rule,
        cause: None,
        free: true,
    };
    assert!(!slot_search.switch_to_queueing(Some(&pick(2, PickRule::Spill))));
    slot_search.failed(node(2), Reason::Overloaded);
    assert!(slot_search.switch_to_queueing(Some(&pick(5, PickRule::Remote))));
    assert_eq!(slot_search.queue_wait(), QueueWait::Full);
}

fn homes(regions: &[&str]) -> Homes {
    regions.iter().copied().map(Region::new).collect()
}

/// Node 1 in the west picks among the nodes `present`, for a route and an account with these homes.
#[rstest]
#[case::own_region_only(&["west"], &[], &[2, 5], Some(PickRule::Spill))]
#[case::remote_region_only(&["east"], &[], &[1, 2, 5], Some(PickRule::Remote))]
#[case::both_regions(&["east", "west"], &[], &[1, 2, 5], Some(PickRule::Own))]
#[case::homes_of_account(&[], &["east"], &[1, 2, 5], Some(PickRule::Remote))]
#[case::intersection_of_route_and_account(&["east", "west"], &["east"], &[1, 2, 5], Some(PickRule::Remote))]
#[case::none_if_homes_are_disjoint(&["west"], &["east"], &[1, 2, 5], None)]
#[case::none_without_backend_server_in_homes(&["east"], &[], &[1, 2], None)]
#[case::none_for_region_without_failure_domain(&["south"], &[], &[1, 2, 5], None)]
#[case::unrestricted(&[], &[], &[1, 2, 5], Some(PickRule::Own))]
fn homes_restrict_the_pick(
    #[case] route: &[&str],
    #[case] account: &[&str],
    #[case] present: &[u16],
    #[case] expected: Option<PickRule>,
    #[values(Payload::Light, Payload::Heavy)] payload: Payload,
) {
    let regions = AllowedRegions::from(&homes(route)).and(&AllowedRegions::from(&homes(account)));
    let requirements = PickRequirements::from(payload).with_regions(regions);
    assert_eq!(pick(present, &[], &requirements), expected);
}

#[test]
fn homes_bind_during_ejection_and_release_trial() {
    let mut members: Vec<_> = NODES
        .iter()
        .map(|(n, domain)| member(*n, "a", domain))
        .collect();
    for backend in members
        .iter_mut()
        .filter_map(|member| member.backend.as_mut())
    {
        backend.readiness = Readiness::OnTrial;
    }
    members[0].backend.as_mut().unwrap().readiness = Readiness::Ready;
    let table = Table::new().with_service("a", Limits::default());
    let (regions, norte) = (regions(), FailureDomain::new("norte"));
    let locality = Locality::new(&norte).with_regions(&regions);
    let routes = Arc::new(Routes::new(Version(1), &table));
    let view = View::with_routes(routes, members.iter(), node(1), locality);
    let mut balancer = Balancer::new(node(1), BalanceSettings::default());
    balancer.adopt(START, &view);
    for _ in 0..20 {
        balancer.started(node(1));
        let sample = Sample::new(Duration::ZERO, CallResult::Failure);
        balancer.finished(node(1), START, &sample);
    }
    let entry = view.service("a").unwrap();
    let requirements =
        PickRequirements::default().with_regions(AllowedRegions::from(&homes(&["east"])));
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..100 {
        let pick = balancer.pick_for(&requirements, START, entry, &[], &mut rng);
        assert!(pick.is_none_or(|pick| pick.id >= node(5)), "{pick:?}");
    }
}
