//! Routes of hosts, and splits under a policy.

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
#[case::prefix_of_a_host(Some("a.example"), "/read/7", Ok("sensor"))]
#[case::the_longest_one(Some("a.example"), "/read/crew/7", Ok("booking"))]
#[case::port_is_left_out(Some("a.example:8080"), "/read/7", Ok("sensor"))]
#[case::the_slash_is_needed(Some("a.example"), "/read/crew", Ok("sensor"))]
#[case::without_its_slash_that_of_any_host(Some("a.example"), "/read", Ok("survey"))]
#[case::nothing_inside_a_segment(Some("a.example"), "/reader/7", Err(Reason::NoRoute))]
#[case::root_of_a_host(Some("b.example"), "/anything", Ok("survey"))]
#[case::root_itself(Some("b.example"), "/", Ok("survey"))]
#[case::another_host_takes_that_of_any(Some("c.example"), "/read/7", Ok("survey"))]
#[case::no_host(None, "/read/7", Ok("survey"))]
#[case::unknown_path(Some("a.example"), "/nowhere/7", Err(Reason::NoRoute))]
#[case::query_is_left_aside(Some("a.example"), "/read/?x=/read/crew/", Ok("sensor"))]
fn a_request_leads_to(
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
#[case::of_its_prefix("/read/7", Some(policy(1)))]
#[case::of_the_longest_prefix("/read/crew/7", Some(policy(2)))]
#[case::none_of_any_host("/read", None)]
fn the_policy_is_that(#[case] path: &str, #[case] expected: Option<Policy>) {
    let view = view();
    let mut rng = SmallRng::seed_from_u64(1);
    let routed = view.find(Some("a.example"), path, &mut rng).unwrap();
    assert_eq!(routed.policy, expected);
}

#[test]
fn a_split_with_a_policy_goes_by_weight_also_to_a_service_without_backend_servers() {
    let view = view();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut chosen = || {
        let routed = view.find(Some("a.example"), "/split/7", &mut rng).unwrap();
        routed.entry.name().as_str() == "empty"
    };
    let empty = (0..1000).filter(|_| chosen()).count();
    assert!((350..450).contains(&empty), "{empty} of 1000");
}
