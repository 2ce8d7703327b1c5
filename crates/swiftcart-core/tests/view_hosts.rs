//! Host-specific routes, and weighted splits on routes with a policy.

mod support;

use std::sync::Arc;

use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use support::{member, node};
use swiftcart_core::*;

fn policy(priority: u8) -> Policy {
    Policy {
        class: RequestClass::NonIdempotent,
        attempts: 2,
        timeout_ms: 1000,
        target_ms: 400,
        priority: Priority(priority),
    }
}

fn snapshot() -> Snapshot {
    let services = ["sensor", "booking", "survey", "empty"];
    let table = services
        .into_iter()
        .fold(Table::new(), |t, name| {
            t.with_service(name, Limits::default())
        })
        .with_route("//a.example/read/", "sensor", 1)
        .with_route("//a.example/read/crew/", "booking", 1)
        .with_route("//b.example/", "survey", 1)
        .with_route("//a.example/split/", "sensor", 60)
        .with_route("//a.example/split/", "empty", 40)
        .with_route("/read", "survey", 1);
    let prefixes = [
        "//a.example/read/",
        "//a.example/read/crew/",
        "//a.example/split/",
    ];
    let policies = prefixes.into_iter().zip(1..);
    let policies = policies.map(|(prefix, n)| (prefix.to_owned(), policy(n)));
    Snapshot::new(Version(3), table).with_policies(policies.collect())
}

fn view() -> View {
    let members = [
        member(1, "sensor", "norte"),
        member(2, "booking", "sur"),
        member(3, "survey", "sur"),
    ];
    let routes = Arc::new(Routes::from_snapshot(&snapshot()));
    View::with_routes(
        routes,
        members.iter(),
        node(1),
        &FailureDomain::new("norte"),
    )
}

#[rstest]
#[case::prefix_of_the_host(Some("a.example"), "/read/7", Ok("sensor"))]
#[case::longest_prefix_of_the_host_wins(Some("a.example"), "/read/crew/7", Ok("booking"))]
#[case::port_is_ignored(Some("a.example:8080"), "/read/7", Ok("sensor"))]
#[case::trailing_slash_is_required(Some("a.example"), "/read/crew", Ok("sensor"))]
#[case::falls_back_to_any_host_without_the_trailing_slash(Some("a.example"), "/read", Ok("survey"))]
#[case::no_match_inside_a_segment(Some("a.example"), "/reader/7", Err(Reason::NoRoute))]
#[case::root_prefix_of_the_host_matches_any_path(Some("b.example"), "/anything", Ok("survey"))]
#[case::root_prefix_of_the_host_matches_the_root(Some("b.example"), "/", Ok("survey"))]
#[case::other_host_uses_routes_of_any_host(Some("c.example"), "/read/7", Ok("survey"))]
#[case::missing_host_uses_routes_of_any_host(None, "/read/7", Ok("survey"))]
#[case::unknown_path(Some("a.example"), "/nowhere/7", Err(Reason::NoRoute))]
#[case::query_is_ignored(Some("a.example"), "/read/?x=/read/crew/", Ok("sensor"))]
fn routes_by_host_and_longest_prefix(
    #[case] host: Option<&str>,
    #[case] path: &str,
    #[case] expected: Result<&str, Reason>,
) {
    let view = view();
    let mut rng = SmallRng::seed_from_u64(1);
    let found = view.find(host, path, &mut rng);
    assert_eq!(found.map(|routed| routed.entry.name().as_str()), expected);
}

#[rstest]
#[case::matching_prefix("/read/7", Some(policy(1)))]
#[case::longest_matching_prefix("/read/crew/7", Some(policy(2)))]
#[case::any_host_prefix_without_policy("/read", None)]
fn returns_the_policy_of_the_route(#[case] path: &str, #[case] expected: Option<Policy>) {
    let view = view();
    let mut rng = SmallRng::seed_from_u64(1);
    let routed = view.find(Some("a.example"), path, &mut rng).unwrap();
    assert_eq!(routed.policy, expected);
}

#[test]
fn split_with_a_policy_includes_services_without_backend_servers() {
    let view = view();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut chooses_empty = || {
        let routed = view.find(Some("a.example"), "/split/7", &mut rng).unwrap();
        routed.entry.name().as_str() == "empty"
    };
    let empty = (0..1000).filter(|_| chooses_empty()).count();
    assert!((350..450).contains(&empty), "{empty} of 1000");
}
