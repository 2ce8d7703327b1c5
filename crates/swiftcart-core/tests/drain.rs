//! Drain orders of a failure domain: the newest order takes effect, whatever the order of arrival.

use rstest::rstest;
use swiftcart_core::*;

fn sur() -> FailureDomain {
    FailureDomain::new("sur")
}

fn order(place: u64, drained: bool) -> DrainUpdate {
    let (domain, place) = (sur(), DrainPosition(place));
    DrainUpdate::Order(DrainOrder {
        domain,
        place,
        drained,
    })
}

/// Creates a snapshot up to `place`, in which the orders at the positions `in_force` are not
/// revoked.
fn list(place: u64, in_force: &[u64]) -> DrainUpdate {
    let orders = in_force.iter().map(|place| DrainOrder {
        domain: sur(),
        place: DrainPosition(*place),
        drained: true,
    });
    DrainUpdate::List(DrainList {
        place: DrainPosition(place),
        orders: orders.collect(),
    })
}

fn take(drains: &mut Drains, update: &DrainUpdate) -> bool {
    match update {
        DrainUpdate::Order(order) => drains.take(order),
        DrainUpdate::List(list) => drains.take_list(list),
    }
}

#[rstest]
#[case::no_order(&[], false)]
#[case::drain_order(&[order(3, true)], true)]
#[case::revoked_order(&[order(3, true), order(5, false)], false)]
#[case::order_received_after_its_revocation(&[order(5, false), order(3, true)], false)]
#[case::list_with_order(&[list(9, &[3])], true)]
#[case::newer_list_without_order(&[order(3, true), list(9, &[])], false)]
#[case::older_list_without_order(&[order(7, true), list(5, &[])], true)]
#[case::order_newer_than_list(&[order(3, true), list(9, &[]), order(10, true)], true)]
#[case::order_older_than_list_without_it(&[list(9, &[]), order(3, true)], false)]
#[case::revoked_order_received_after_list(&[order(2, false), list(4, &[]), order(3, true)], false)]
#[case::second_order_older_than_list(&[order(3, true), list(9, &[]), order(7, true)], false)]
fn newest_order_decides_after(#[case] updates: &[DrainUpdate], #[case] expected: bool) {
    let mut drains = Drains::new();
    for update in updates {
        take(&mut drains, update);
    }
    assert_eq!(drains.is_drained(&sur()), expected);
}

#[test]
fn revocation_reaches_node_from_peer_that_never_knew_the_order() {
    let (mut one, mut other) = (Drains::new(), Drains::new());
    take(&mut one, &order(3, true));
    take(&mut other, &list(9, &[]));
    assert!(!other.merge(&one.message()));
    assert!(one.merge(&other.message()));
    assert!(!one.is_drained(&sur()) && !other.is_drained(&sur()));
}

#[test]
fn digest_message_without_orders_revokes_nothing() {
    let mut drains = Drains::new();
    take(&mut drains, &order(3, true));
    let message = DrainMessage {
        digest: 5,
        ..DrainMessage::default()
    };
    assert!(!drains.merge(&message));
    assert!(drains.is_drained(&sur()));
}

#[test]
fn digest_is_independent_of_the_order_of_arrival() {
    let mut received = [
        order(3, true),
        list(9, &[]),
        order(10, true),
        order(12, false),
    ];
    let digest = |received: &[DrainUpdate]| {
        let mut drains = Drains::new();
        for update in received {
            take(&mut drains, update);
        }
        drains.digest()
    };
    let forward = digest(&received);
    received.reverse();
    assert_eq!(digest(&received), forward);
}
