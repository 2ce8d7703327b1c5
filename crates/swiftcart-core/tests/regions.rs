//! Calls stay in their region as long as that serves them, and where their homes are in any case.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::sync::Arc;
use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use support::{member, node};
use swiftcart_core::*;

const START: Instant = Instant::from_millis(0);

/// The nodes of each failure domain; `norte` and `sur` are in one region, `este` in another.
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

/// Picks as node 1 among `there`, where calls take so many thousandths of their target.
fn pick(there: &[u16], paces: &[(u16, u32)], need: &PickRequirements) -> Option<PickRule> {
    let members = NODES.iter().filter(|(n, _)| there.contains(n));
    let members: Vec<_> = members.map(|(n, domain)| member(*n, "a", domain)).collect();
    let table = Table::new().with_service("a", Limits::default());
    let (regions, norte) = (regions(), FailureDomain::new("norte"));
    let place = Locality::new(&norte).with_regions(&regions);
    let routes = Arc::new(Routes::new(Version(1), &table));
    let view = View::with_routes(routes, members.iter(), node(1), place);
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
    let pick = balancer.pick_for(need, START, entry, &[], &mut rng);
    pick.map(|pick| pick.rule)
}

#[rstest]
#[case::its_own_first(&[1, 2, 5], &[], Payload::Light, PickRule::Own)]
#[case::the_region_before_another(&[2, 5, 6], &[], Payload::Light, PickRule::Spill)]
#[case::another_when_the_region_has_none(&[5, 6], &[], Payload::Light, PickRule::Remote)]
#[case::another_with_a_long_body_too(&[5, 6], &[], Payload::Heavy, PickRule::Remote)]
#[case::the_region_although_it_is_slower(&[2, 4, 5], &[(2, 900), (4, 900), (5, 200)], Payload::Light, PickRule::Spill)]
#[case::the_region_although_another_saves_two_targets(&[2, 4, 5], &[(2, 2200), (4, 2200), (5, 200)], Payload::Light, PickRule::Spill)]
#[case::another_when_it_saves_more_than_that(&[2, 4, 5], &[(2, 2900), (4, 2900), (5, 200)], Payload::Light, PickRule::Remote)]
#[case::the_region_with_a_long_body(&[2, 4, 5], &[(2, 2900), (4, 2900), (5, 200)], Payload::Heavy, PickRule::Spill)]
fn a_call_goes_to(
    #[case] there: &[u16],
    #[case] paces: &[(u16, u32)],
    #[case] payload: Payload,
    #[case] expected: PickRule,
) {
    assert_eq!(pick(there, paces, &payload.into()), Some(expected));
}

#[test]
fn a_request_that_was_refused_in_its_region_waits_there() {
    let mut slot_search = SlotSearch::new(4, Payload::Light);
    let pick = |n, rule| Pick {
        id: node(n),
        peer: node(n).0,
        rule,
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

/// Picks as a node in the west among all, for a route and an account with these homes.
#[rstest]
#[case::the_own_region_only(&["west"], &[], &[2, 5], Some(PickRule::Spill))]
#[case::another_region_only(&["east"], &[], &[1, 2, 5], Some(PickRule::Remote))]
#[case::either(&["east", "west"], &[], &[1, 2, 5], Some(PickRule::Own))]
#[case::those_of_the_account(&[], &["east"], &[1, 2, 5], Some(PickRule::Remote))]
#[case::those_of_both(&["east", "west"], &["east"], &[1, 2, 5], Some(PickRule::Remote))]
#[case::nowhere_where_they_do_not_meet(&["west"], &["east"], &[1, 2, 5], None)]
#[case::nowhere_where_none_is_there(&["east"], &[], &[1, 2], None)]
#[case::nowhere_for_a_region_of_no_domain(&["south"], &[], &[1, 2, 5], None)]
#[case::anywhere(&[], &[], &[1, 2, 5], Some(PickRule::Own))]
fn a_request_with_homes_goes_to(
    #[case] route: &[&str],
    #[case] account: &[&str],
    #[case] there: &[u16],
    #[case] expected: Option<PickRule>,
    #[values(Payload::Light, Payload::Heavy)] payload: Payload,
) {
    let regions = AllowedRegions::from(&homes(route)).and(&AllowedRegions::from(&homes(account)));
    let need = PickRequirements::from(payload).with_regions(regions);
    assert_eq!(pick(there, &[], &need), expected);
}

#[test]
fn homes_bind_when_everybody_is_ejected_and_while_a_release_is_on_trial() {
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
    let place = Locality::new(&norte).with_regions(&regions);
    let routes = Arc::new(Routes::new(Version(1), &table));
    let view = View::with_routes(routes, members.iter(), node(1), place);
    let mut balancer = Balancer::new(node(1), BalanceSettings::default());
    balancer.adopt(START, &view);
    for _ in 0..20 {
        balancer.started(node(1));
        let sample = Sample::new(Duration::ZERO, CallResult::Failure);
        balancer.finished(node(1), START, &sample);
    }
    let entry = view.service("a").unwrap();
    let need = PickRequirements::default().with_regions(AllowedRegions::from(&homes(&["east"])));
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..100 {
        let pick = balancer.pick_for(&need, START, entry, &[], &mut rng);
        assert!(pick.is_none_or(|pick| pick.id >= node(5)), "{pick:?}");
    }
}
