//! Routing by longest prefix and weight to known services and ready backend servers.

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
#[case::root_prefix_matches_any_path("/moisture/7", Ok("sensor"))]
#[case::exact_match("/book", Ok("booking"))]
#[case::path_below_the_prefix("/book/7", Ok("booking"))]
#[case::query_is_ignored("/book?day=/book/crew", Ok("booking"))]
#[case::no_match_inside_a_segment("/booking", Ok("sensor"))]
#[case::longest_prefix_wins("/book/crew/1", Ok("survey"))]
#[case::trailing_slash_of_the_prefix_is_optional("/book/crew", Ok("survey"))]
#[case::empty_segment_counts_as_a_segment("/book//crew", Ok("booking"))]
#[case::route_with_only_weight_zero_gives_no_route("/off", Err(Reason::NoRoute))]
#[case::service_without_backend_servers("/empty", Err(Reason::NoBackend))]
#[case::service_with_weight_zero_is_no_fallback("/cold", Err(Reason::NoBackend))]
#[case::route_to_an_unknown_service_is_ignored("/lost", Ok("sensor"))]
#[case::service_without_backend_servers_is_skipped("/mixed", Ok("booking"))]
#[case::path_without_leading_slash("book", Ok("booking"))]
#[case::empty_path("", Ok("sensor"))]
fn routes_by_longest_prefix_and_weight(#[case] path: &str, #[case] expected: Result<&str, Reason>) {
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
fn backend_server_receives_no_requests_while(#[case] readiness: Readiness) {
    let mut not_ready = member(2, "report", "norte");
    not_ready.backend.as_mut().unwrap().readiness = readiness;
    let view = view(&table(), &[not_ready]);
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(view.route("/empty", &mut rng), Err(Reason::NotReady));
}

#[rstest]
fn requests_are_split_by_weight() {
    let table = Table::new()
        .with_service("a", Limits::default())
        .with_service("b", Limits::default())
        .with_route("/", "a", 3)
        .with_route("/", "b", 1);
    let view = view(&table, &[member(2, "a", "sur"), member(3, "b", "sur")]);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut chooses_a = || view.route("/", &mut rng).unwrap().name().as_str() == "a";
    let share = (0..10_000).filter(|_| chooses_a()).count();
    assert!((7_300..7_700).contains(&share), "{share}");
}

#[rstest]
fn candidates_are_grouped_by_distance_and_sorted_by_id() {
    let members = [3, 2, 1, 4].map(|n| member(n, "a", if n % 2 == 1 { "norte" } else { "sur" }));
    let view = view(&Table::new().with_service("a", Limits::default()), &members);
    let entry = view.service("a").unwrap();
    let ids = |list: &[Candidate]| list.iter().map(|c| c.id).collect::<Vec<_>>();
    assert_eq!(ids(entry.near()), [node(1), node(3)]);
    assert_eq!(ids(entry.far()), [node(2), node(4)]);
    assert_eq!(entry.own().map(|c| c.id), Some(node(1)));
}

/// Generates a service name, which the table may or may not contain.
fn service_name() -> impl Strategy<Value = String> {
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
    fn routes_lead_only_to_known_services_with_ready_backend_servers(
        services in prop::collection::btree_set(service_name(), 0..5),
        routes in prop::collection::btree_map(("(/[a-b]?){0,3}", service_name()), 0..3_u32, 0..12),
        backends in prop::collection::btree_map(1..20_u16, (service_name(), readiness(), any::<bool>()), 0..12),
        paths in prop::collection::vec("(/[a-c]?){0,4}", 20),
    ) {
        let table = services.iter().fold(Table::new(), |t, s| t.with_service(s, Limits::default()));
        let table = routes.iter().fold(table, |t, ((p, s), w)| t.with_route(p, s, *w));
        let members: Vec<_> = backends.iter().map(|(n, (service, ready, near))| {
            let mut member = member(*n, service, if *near { "norte" } else { "sur" });
            member.backend.as_mut().unwrap().readiness = *ready;
            member
        }).collect();
        let ready: BTreeMap<NodeId, &String> = backends.iter()
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
            let candidate_ids: BTreeSet<_> = entry.candidates().iter().map(|c| c.id).collect();
            let expected = ready.iter().filter(|(_, s)| **s == &entry.name().0);
            prop_assert_eq!(candidate_ids, expected.map(|(id, _)| *id).collect::<BTreeSet<_>>());
            prop_assert!(entry.candidates().iter().all(|c| view.has_candidate(c.id)));
        }
    }
}
