//! Compact encoding of snapshots: round trip, arbitrary input and size.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use swiftcart_core::*;

fn policy() -> impl Strategy<Value = Policy> {
    (0..3_u32, 1..4_u8).prop_map(|(n, attempts)| Policy {
        class: RequestClass::Idempotent,
        attempts,
        timeout_ms: 500 * n,
        target_ms: 100 * n,
        priority: Priority(n as u8),
    })
}

fn snapshot() -> impl Strategy<Value = Snapshot> {
    let prefix = "//[a-cä]{1,3}\\.example/[a-dé]{0,3}/";
    let routes = btree_map((prefix, 0..4_usize), any::<u32>(), 0..40);
    let policies = btree_map(prefix, policy(), 0..20);
    (any::<u64>(), routes, policies).prop_map(|(version, routes, policies)| {
        let names = ["a", "b", "c", "d"];
        let table = names.iter().fold(Table::new(), |table, name| {
            table.with_service(*name, Limits::default())
        });
        let table = routes
            .into_iter()
            .fold(table, |table, ((prefix, at), weight)| {
                table.with_route(prefix, names[at], weight)
            });
        Snapshot::new(Version(version), table).with_policies(policies)
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), ..ProptestConfig::with_cases(400) })]

    #[test]
    fn compact_encoding_round_trips(snapshot in snapshot()) {
        let compact = CompactSnapshot::new(&snapshot).unwrap();
        let bytes = postcard::to_stdvec(&compact).unwrap();
        let read: CompactSnapshot = postcard::from_bytes(&bytes).unwrap();
        prop_assert_eq!(read.expand(), Ok(snapshot));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in vec(any::<u8>(), 0..200)) {
        if let Ok(compact) = postcard::from_bytes::<CompactSnapshot>(&bytes) {
            drop(compact.expand());
        }
    }
}

#[test]
fn route_to_an_unknown_service_has_no_compact_form() {
    let table = Table::new().with_route("/a", "nowhere", 1);
    assert_eq!(
        CompactSnapshot::new(&Snapshot::new(Version(1), table)),
        None
    );
}

#[test]
fn compact_form_of_2500_routes_takes_at_most_a_third_of_the_plain_form() {
    let mut table = Table::new().with_service("sensor", Limits::default());
    let mut policies = Policies::new();
    for n in 0..2_500_u32 {
        let hash = n.wrapping_mul(2_654_435_761);
        let prefix = format!(
            "//jepu{}.example/{hash:08x}/{:04x}/",
            n % 7,
            hash >> 9 & 0xffff
        );
        table = table.with_route(prefix.as_str(), "sensor", 1);
        policies.insert(
            prefix,
            Policy {
                class: RequestClass::Idempotent,
                attempts: 2,
                timeout_ms: 3_000,
                target_ms: 1_000,
                priority: Priority(2),
            },
        );
    }
    let snapshot = Snapshot::new(Version(7), table).with_policies(policies);
    let plain = postcard::to_stdvec(&snapshot).unwrap().len();
    let compact = postcard::to_stdvec(&CompactSnapshot::new(&snapshot).unwrap())
        .unwrap()
        .len();
    assert!(compact * 3 <= plain, "{compact} of {plain} bytes");
}
