//! Search for a free slot: which guards are asked, and when the request queues.

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
        cause: None,
        free,
    }
}

fn near(n: u8) -> Pick {
    pick(n, PickRule::Near, true)
}

#[rstest]
#[case::many_candidates(SlotSearch::new(5, Payload::Light), QueueWait::Short)]
#[case::single_candidate(SlotSearch::new(1, Payload::Light), QueueWait::Full)]
#[case::route_without_policy(SlotSearch::queueing(), QueueWait::Full)]
fn patience_at_the_first_guard(#[case] slot_search: SlotSearch, #[case] expected: QueueWait) {
    assert_eq!(slot_search.queue_wait(), expected);
}

#[rstest]
#[case::free_guard(Some(near(1)), false)]
#[case::guard_believed_full(Some(pick(1, PickRule::Near, false)), true)]
#[case::no_guard(None, false)]
fn request_queues_before_any_refusal(#[case] next: Option<Pick>, #[case] queues: bool) {
    let mut slot_search = SlotSearch::new(5, Payload::Light);
    assert_eq!(slot_search.switch_to_queueing(next.as_ref()), queues);
    assert_eq!(slot_search.queue_wait() == QueueWait::Full, queues);
}

#[rstest]
#[case::light_asks_in_another_domain(Payload::Light, PickRule::Spill, false)]
#[case::heavy_queues_in_its_own_domain(Payload::Heavy, PickRule::Spill, true)]
#[case::heavy_asks_in_its_own_domain(Payload::Heavy, PickRule::Near, false)]
fn request_queues_after_one_refusal(
    #[case] payload: Payload,
    #[case] rule: PickRule,
    #[case] queues: bool,
) {
    let mut slot_search = SlotSearch::new(5, payload);
    slot_search.failed(guard(1), Reason::Overloaded);
    assert_eq!(
        slot_search.switch_to_queueing(Some(&pick(2, rule, true))),
        queues
    );
}

#[rstest]
fn request_queues_at_any_guard_after_asking_three() {
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
fn guard_with_another_failure_stays_excluded() {
    let mut slot_search = SlotSearch::new(2, Payload::Light);
    slot_search.failed(guard(1), Reason::PeerUnreachable);
    slot_search.failed(guard(2), Reason::Overloaded);
    assert!(slot_search.switch_to_queueing(None));
    assert_eq!(slot_search.excluded(), [guard(1)]);
}

#[rstest]
#[case::light_queues_at_the_next(Payload::Light, QueueWait::Full)]
#[case::heavy_only_asks(Payload::Heavy, QueueWait::Short)]
fn patience_after_queueing_has_failed(#[case] payload: Payload, #[case] expected: QueueWait) {
    let mut slot_search = SlotSearch::new(3, payload);
    slot_search.failed(guard(1), Reason::Overloaded);
    assert!(slot_search.switch_to_queueing(None));
    slot_search.failed(guard(1), Reason::Overloaded);
    assert_eq!(slot_search.queue_wait(), expected);
}

#[rstest]
fn request_without_other_targets_queues() {
    let mut slot_search = SlotSearch::new(9, Payload::Light);
    slot_search.settle();
    assert_eq!(slot_search.queue_wait(), QueueWait::Full);
}

/// Creates a guard whose only slot is taken by a call of 100 ms.
fn busy_guard() -> (Admission, SmallRng) {
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
#[case::short_patience_is_refused_without_a_retry_delay(QueueWait::Short, None)]
#[case::full_patience_is_queued(QueueWait::Full, Some(()))]
fn request_at_a_busy_guard(#[case] queue_wait: QueueWait, #[case] queued: Option<()>) {
    let (mut guard, mut rng) = busy_guard();
    let admission_request = AdmissionRequest::new(Deadline::new(START, Duration::from_secs(5)))
        .with_target(Duration::from_millis(1000))
        .with_queue_wait(queue_wait);
    match guard.offer(START, admission_request, &mut rng) {
        Admit::Queue(_) => assert_eq!(queued, Some(())),
        Admit::Refuse(refusal) => assert_eq!((refusal.retry_after, queued), (None, None)),
        Admit::Run(_) => unreachable!("no slot is free"),
    }
}

#[rstest]
fn guard_refusal_after_a_charged_retry_is_free() {
    let mut state = PolicyRetryState::default();
    let due = Deadline::new(START, Duration::from_secs(1));
    let policy = RetryPolicy {
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
        let take_retry = || {
            taken += 1;
            true
        };
        let next = state.retry(START, guard(n), reason, policy, due, take_retry);
        assert!(next.is_ok(), "{next:?}");
    }
    assert_eq!(taken, 2, "one retry for each refusal by a backend server");
}
