//! Which order for a failure domain counts, in whatever way and sequence they arrive.

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

/// Everything up to `place`, where the orders at `standing` have not been taken back.
fn list(place: u64, standing: &[u64]) -> DrainUpdate {
    let orders = standing.iter().map(|place| DrainOrder {
        domain: sur(),
        place: DrainPosition(*place),
        drained: true,
    });
    DrainUpdate::List(DrainList {
        place: DrainPosition(place),
        orders: orders.collect(),
    })
}

fn take(drains: &mut Drains, news: &DrainUpdate) -> bool {
    match news {
        DrainUpdate::Order(order) => drains.take(order),
        DrainUpdate::List(list) => drains.take_list(list),
    }
}

#[rstest]
#[case::nothing(&[], false)]
#[case::an_order(&[order(3, true)], true)]
#[case::one_that_was_taken_back(&[order(3, true), order(5, false)], false)]
#[case::one_that_arrives_after_it_was_taken_back(&[order(5, false), order(3, true)], false)]
#[case::a_list_that_has_it(&[list(9, &[3])], true)]
#[case::a_list_that_lacks_it(&[order(3, true), list(9, &[])], false)]
#[case::an_old_list_that_lacks_a_later_one(&[order(7, true), list(5, &[])], true)]
#[case::an_order_right_behind_a_list(&[order(3, true), list(9, &[]), order(10, true)], true)]
#[case::an_order_of_before_behind_a_list_without_it(&[list(9, &[]), order(3, true)], false)]
#[case::one_that_a_list_after_its_end_lacks(&[order(2, false), list(4, &[]), order(3, true)], false)]
#[case::an_older_order_behind_a_list(&[order(3, true), list(9, &[]), order(7, true)], false)]
fn a_domain_is_drained_after(#[case] news: &[DrainUpdate], #[case] expected: bool) {
    let mut drains = Drains::new();
    for news in news {
        take(&mut drains, news);
    }
    assert_eq!(drains.is_drained(&sur()), expected);
}

#[test]
fn a_node_that_missed_the_end_of_an_order_hears_of_it_from_one_that_never_knew_the_order() {
    let (mut one, mut other) = (Drains::new(), Drains::new());
    take(&mut one, &order(3, true));
    take(&mut other, &list(9, &[]));
    assert!(!other.merge(&one.message()));
    assert!(one.merge(&other.message()));
    assert!(!one.is_drained(&sur()) && !other.is_drained(&sur()));
}

#[test]
fn a_comparison_that_lists_nothing_ends_nothing() {
    let mut drains = Drains::new();
    take(&mut drains, &order(3, true));
    let word = DrainMessage {
        digest: 5,
        ..DrainMessage::default()
    };
    assert!(!drains.merge(&word));
    assert!(drains.is_drained(&sur()));
}

#[test]
fn two_nodes_that_heard_the_same_agree_in_whatever_sequence() {
    let mut heard = [
        order(3, true),
        list(9, &[]),
        order(10, true),
        order(12, false),
    ];
    let digest = |heard: &[DrainUpdate]| {
        let mut drains = Drains::new();
        for news in heard {
            take(&mut drains, news);
        }
        drains.digest()
    };
    let forward = digest(&heard);
    heard.reverse();
    assert_eq!(digest(&heard), forward);
}
