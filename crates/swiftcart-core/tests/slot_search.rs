//! Which guards a request asks for a place, and where it waits.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use swiftcart_core::*;

const START: Instant = Instant::from_millis(0);

fn guard(n: u8) -> NodeId {
    NodeId(([10, 0, 0, n], 7000).into())
}

fn pick(n: u8, rule: PickRule, free: bool) -> Pick {
    Pick {
        id: guard(n),
        peer: guard(n).0,
        rule,
        free,
    }
}

fn near(n: u8) -> Pick {
    pick(n, PickRule::Near, true)
}

#[rstest]
#[case::many_candidates(SlotSearch::new(5, Payload::Light), Patience::Short)]
#[case::a_single_candidate(SlotSearch::new(1, Payload::Light), Patience::Full)]
#[case::a_route_without_a_policy(SlotSearch::queueing(), Patience::Full)]
fn the_first_guard(#[case] slot_search: SlotSearch, #[case] expected: Patience) {
    assert_eq!(slot_search.patience(), expected);
}

#[rstest]
#[case::a_guard_with_a_place(Some(near(1)), false)]
#[case::a_guard_that_is_believed_full(Some(pick(1, PickRule::Near, false)), true)]
#[case::nobody(None, false)]
fn without_a_refusal_the_request_waits_at(#[case] next: Option<Pick>, #[case] waits: bool) {
    let mut slot_search = SlotSearch::new(5, Payload::Light);
    assert_eq!(slot_search.switch_to_queueing(next.as_ref()), waits);
    assert_eq!(slot_search.patience() == Patience::Full, waits);
}

#[rstest]
#[case::light_goes_on_asking_in_another_domain(Payload::Light, PickRule::Spill, false)]
#[case::heavy_waits_in_its_own_domain(Payload::Heavy, PickRule::Spill, true)]
#[case::heavy_goes_on_asking_in_its_own_domain(Payload::Heavy, PickRule::Near, false)]
fn after_one_refusal(#[case] payload: Payload, #[case] rule: PickRule, #[case] waits: bool) {
    let mut slot_search = SlotSearch::new(5, payload);
    slot_search.failed(guard(1), Reason::Overloaded);
    assert_eq!(
        slot_search.switch_to_queueing(Some(&pick(2, rule, true))),
        waits
    );
}

#[rstest]
fn three_guards_are_asked_and_all_of_them_may_be_waited_at() {
    let mut slot_search = SlotSearch::new(9, Payload::Light);
    for n in 1..=3 {
        assert!(!slot_search.switch_to_queueing(Some(&near(n))));
        slot_search.failed(guard(n), Reason::QueueFull);
    }
    assert_eq!(slot_search.excluded(), [guard(1), guard(2), guard(3)]);
    assert!(slot_search.switch_to_queueing(Some(&near(4))));
    assert_eq!(slot_search.excluded(), []);
    slot_search.failed(guard(2), Reason::Overloaded);
    assert!(!slot_search.switch_to_queueing(Some(&near(1))));
    assert_eq!(slot_search.excluded(), [guard(2)]);
}

#[rstest]
fn a_guard_that_failed_otherwise_is_not_waited_at() {
    let mut slot_search = SlotSearch::new(2, Payload::Light);
    slot_search.failed(guard(1), Reason::PeerUnreachable);
    slot_search.failed(guard(2), Reason::Overloaded);
    assert!(slot_search.switch_to_queueing(None));
    assert_eq!(slot_search.excluded(), [guard(1)]);
}

#[rstest]
#[case::light_waits_at_the_next(Payload::Light, Patience::Full)]
#[case::heavy_only_asks(Payload::Heavy, Patience::Short)]
fn after_waiting_in_vain(#[case] payload: Payload, #[case] expected: Patience) {
    let mut slot_search = SlotSearch::new(3, payload);
    slot_search.failed(guard(1), Reason::Overloaded);
    assert!(slot_search.switch_to_queueing(None));
    slot_search.failed(guard(1), Reason::Overloaded);
    assert_eq!(slot_search.patience(), expected);
}

#[rstest]
fn a_request_that_may_go_nowhere_else_waits() {
    let mut slot_search = SlotSearch::new(9, Payload::Light);
    slot_search.settle();
    assert_eq!(slot_search.patience(), Patience::Full);
}

/// A guard with one slot taken by a call that takes 100 ms.
fn busy() -> (Admission, SmallRng) {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut guard = Admission::new(START, AdmissionSettings::default()).with_slots(1);
    let due = Deadline::new(START, Duration::from_secs(5));
    for _ in 0..2 {
        let Admit::Run(ticket) = guard.offer(START, due, &mut rng) else {
            unreachable!("a free slot");
        };
        let sample = Sample::new(Duration::from_millis(100), CallResult::Success);
        guard.done(ticket, START, &sample);
    }
    assert!(matches!(guard.offer(START, due, &mut rng), Admit::Run(_)));
    (guard, rng)
}

#[rstest]
#[case::that_asks_on_is_refused_without_a_time(Patience::Short, None)]
#[case::that_may_wait_is_queued(Patience::Full, Some(()))]
fn at_a_busy_guard_a_request(#[case] patience: Patience, #[case] queued: Option<()>) {
    let (mut guard, mut rng) = busy();
    let bid = Bid::new(Deadline::new(START, Duration::from_secs(5)))
        .with_target(Duration::from_millis(1000))
        .with_patience(patience);
    match guard.offer(START, bid, &mut rng) {
        Admit::Queue(_) => assert_eq!(queued, Some(())),
        Admit::Refuse(refusal) => assert_eq!((refusal.retry_after, queued), (None, None)),
        Admit::Run(_) => unreachable!("no slot is free"),
    }
}

#[rstest]
fn a_refusal_that_follows_a_paid_retry_costs_no_other() {
    let mut tries = PolicyRetryState::default();
    let due = Deadline::new(START, Duration::from_secs(1));
    let terms = RetryPolicy {
        idempotent: true,
        attempts: 3,
    };
    let mut taken = 0;
    let reasons = [
        Reason::Shed,
        Reason::QueueFull,
        Reason::Overloaded,
        Reason::Shed,
        Reason::QueueFull,
    ];
    for (n, reason) in (1..).zip(reasons) {
        let pay = || {
            taken += 1;
            true
        };
        let next = tries.retry(START, guard(n), reason, terms, due, pay);
        assert!(next.is_ok(), "{next:?}");
    }
    assert_eq!(taken, 2, "one for each refusal of a backend server");
}
