//! Routes lead to known services and backend servers only, by longest prefix and weight.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use support::{member, node, view};
use swiftcart_core::*;

fn table() -> Table {
    ["sensor", "booking", "survey", "report"]
        .into_iter()
        .fold(Table::new(), |t, name| {
            t.with_service(name, Limits::default())
        })
        .with_route("/", "sensor", 1)
        .with_route("/book", "booking", 1)
        .with_route("/book/crew/", "survey", 1)
        .with_route("/off", "sensor", 0)
        .with_route("/empty", "report", 1)
        .with_route("/cold", "report", 1)
        .with_route("/cold", "survey", 0)
        .with_route("/lost", "nowhere", 1)
        .with_route("/mixed", "report", 1000)
        .with_route("/mixed", "booking", 1)
}

#[rstest]
#[case::root("/", Ok("sensor"))]
#[case::root_takes_any_path("/moisture/7", Ok("sensor"))]
#[case::exact("/book", Ok("booking"))]
#[case::below("/book/7", Ok("booking"))]
#[case::with_query("/book?day=/book/crew", Ok("booking"))]
#[case::no_match_inside_a_segment("/booking", Ok("sensor"))]
#[case::longest_wins("/book/crew/1", Ok("survey"))]
#[case::trailing_slash_of_a_prefix_is_left_out("/book/crew", Ok("survey"))]
#[case::empty_segment_is_a_segment("/book//crew", Ok("booking"))]
#[case::weight_zero_gets_nothing("/off", Err(Reason::NoRoute))]
#[case::no_backend_server("/empty", Err(Reason::NoBackend))]
#[case::weight_zero_does_not_stand_in("/cold", Err(Reason::NoBackend))]
#[case::unknown_service_is_no_target("/lost", Ok("sensor"))]
#[case::service_without_backend_server_is_left_out("/mixed", Ok("booking"))]
#[case::not_absolute("book", Ok("booking"))]
#[case::empty("", Ok("sensor"))]
fn a_path_leads_to(#[case] path: &str, #[case] expected: Result<&str, Reason>) {
    let members = [
        member(1, "sensor", "norte"),
        member(2, "booking", "sur"),
        member(3, "survey", "sur"),
    ];
    let view = view(&table(), &members);
    let mut rng = SmallRng::seed_from_u64(1);
    let service = view.route(path, &mut rng).map(|s| s.name().as_str());
    assert_eq!(service, expected);
}

#[rstest]
#[case::warming(Readiness::Warming)]
#[case::draining(Readiness::Draining)]
fn a_backend_server_takes_no_work_while(#[case] readiness: Readiness) {
    let mut only = member(2, "report", "norte");
    only.backend.as_mut().unwrap().readiness = readiness;
    let view = view(&table(), &[only]);
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(view.route("/empty", &mut rng), Err(Reason::NotReady));
}

#[rstest]
fn weights_share_the_requests() {
    let table = Table::new()
        .with_service("a", Limits::default())
        .with_service("b", Limits::default())
        .with_route("/", "a", 3)
        .with_route("/", "b", 1);
    let view = view(&table, &[member(2, "a", "sur"), member(3, "b", "sur")]);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut to_a = || view.route("/", &mut rng).unwrap().name().as_str() == "a";
    let share = (0..10_000).filter(|_| to_a()).count();
    assert!((7_300..7_700).contains(&share), "{share}");
}

#[rstest]
fn the_own_failure_domain_comes_first() {
    let members = [3, 2, 1, 4].map(|n| member(n, "a", if n % 2 == 1 { "norte" } else { "sur" }));
    let view = view(&Table::new().with_service("a", Limits::default()), &members);
    let entry = view.service("a").unwrap();
    let ids = |list: &[Candidate]| list.iter().map(|c| c.id).collect::<Vec<_>>();
    assert_eq!(ids(entry.near()), [node(1), node(3)]);
    assert_eq!(ids(entry.far()), [node(2), node(4)]);
    assert_eq!(entry.own().map(|c| c.id), Some(node(1)));
}

/// A service of the table, or one that it lacks.
fn name() -> impl Strategy<Value = String> {
    "[a-e]"
}

fn readiness() -> impl Strategy<Value = Readiness> {
    prop_oneof![
        Just(Readiness::Ready),
        Just(Readiness::Warming),
        Just(Readiness::Draining)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(500) })]

    #[test]
    fn a_route_never_points_at_what_the_view_lacks(
        services in prop::collection::btree_set(name(), 0..5),
        routes in prop::collection::btree_map(("(/[a-b]?){0,3}", name()), 0..3_u32, 0..12),
        hosts in prop::collection::btree_map(1..20_u16, (name(), readiness(), any::<bool>()), 0..12),
        paths in prop::collection::vec("(/[a-c]?){0,4}", 20),
    ) {
        let table = services.iter().fold(Table::new(), |t, s| t.with_service(s, Limits::default()));
        let table = routes.iter().fold(table, |t, ((p, s), w)| t.with_route(p, s, *w));
        let members: Vec<_> = hosts.iter().map(|(n, (service, ready, near))| {
            let mut member = member(*n, service, if *near { "norte" } else { "sur" });
            member.backend.as_mut().unwrap().readiness = *ready;
            member
        }).collect();
        let ready: BTreeMap<NodeId, &String> = hosts.iter()
            .filter(|(_, (_, ready, _))| *ready == Readiness::Ready)
            .map(|(n, (service, ..))| (node(*n), service))
            .collect();
        let view = view(&table, &members);
        let mut rng = SmallRng::seed_from_u64(1);
        for path in &paths {
            let Ok(entry) = view.route(path, &mut rng) else { continue };
            let name = &entry.name().0;
            prop_assert!(services.contains(name));
            prop_assert!(routes.iter().any(|((_, s), w)| s == name && *w > 0));
            prop_assert!(!entry.candidates().is_empty());
        }
        for entry in view.services() {
            let there: BTreeSet<_> = entry.candidates().iter().map(|c| c.id).collect();
            let expected = ready.iter().filter(|(_, s)| **s == &entry.name().0);
            prop_assert_eq!(there, expected.map(|(id, _)| *id).collect::<BTreeSet<_>>());
            prop_assert!(entry.candidates().iter().all(|c| view.has_candidate(c.id)));
        }
    }
}
