//! Tries under a route's policy, and the budget that all nodes share.

use std::time::Duration;

use rstest::rstest;
use swiftcart_core::*;

const START: Instant = Instant::from_millis(0);

fn guard(n: u16) -> NodeId {
    NodeId(([10, 0, 0, 1], n).into())
}

fn due() -> Deadline {
    Deadline::new(START, Duration::from_secs(1))
}

const fn terms(idempotent: bool, attempts: u8) -> RetryPolicy {
    RetryPolicy {
        idempotent,
        attempts,
    }
}

#[rstest]
#[case::a_guard_that_is_full(Reason::QueueFull, terms(false, 1), false, Ok(RetryTarget::Other))]
#[case::a_guard_that_drains(Reason::Draining, terms(false, 1), false, Ok(RetryTarget::Other))]
#[case::a_peer_out_of_reach(
    Reason::PeerUnreachable,
    terms(false, 1),
    false,
    Ok(RetryTarget::Other)
)]
#[case::a_refusal_of_the_backend_server(
    Reason::Shed,
    terms(false, 2),
    true,
    Ok(RetryTarget::Other)
)]
#[case::the_same_with_one_attempt(Reason::Shed, terms(false, 1), true, Ok(RetryTarget::Same))]
#[case::the_same_without_budget(Reason::Shed, terms(false, 2), false, Err(Reason::RetryBudget))]
#[case::a_lost_answer(Reason::AnswerBroken, terms(true, 2), true, Ok(RetryTarget::Other))]
#[case::the_same_without_another_attempt(
    Reason::AnswerBroken,
    terms(true, 1),
    true,
    Err(Reason::TriesSpent)
)]
#[case::a_lost_answer_of_what_may_run_once(
    Reason::AnswerBroken,
    terms(false, 2),
    true,
    Err(Reason::NotIdempotent)
)]
#[case::a_failure_of_the_backend_server(
    Reason::ServerError,
    terms(true, 2),
    true,
    Ok(RetryTarget::Other)
)]
#[case::no_route(Reason::NoRoute, terms(true, 2), true, Err(Reason::NoRoute))]
fn after(
    #[case] reason: Reason,
    #[case] terms: RetryPolicy,
    #[case] budget: bool,
    #[case] expected: Result<RetryTarget, Reason>,
) {
    let mut tries = PolicyRetryState::default();
    let next = tries.retry(START, guard(1), reason, terms, due(), || budget);
    assert_eq!(next, expected);
}

#[test]
fn a_request_reaches_no_more_backend_servers_than_its_attempts() {
    let mut tries = PolicyRetryState::default();
    let mut shed = |n| {
        tries.retry(
            START,
            guard(n),
            Reason::Shed,
            terms(false, 2),
            due(),
            || true,
        )
    };
    let next = [shed(1), shed(2), shed(1), shed(2), shed(1)];
    let (other, same) = (Ok(RetryTarget::Other), Ok(RetryTarget::Same));
    assert_eq!(next, [other, same, same, same, Err(Reason::TriesSpent)]);
    assert_eq!(tries.reached(), [guard(1), guard(2)]);
}

#[test]
fn guards_that_refuse_are_asked_so_often_only() {
    let mut tries = PolicyRetryState::default();
    let mut full = |n| {
        let terms = terms(true, 2);
        tries.retry(START, guard(n), Reason::QueueFull, terms, due(), || false)
    };
    let allowed = (1..20).take_while(|n| full(*n).is_ok()).count();
    assert_eq!(allowed, usize::from(MAX_GUARD_REFUSALS));
}

/// A budget of 10 s of which nothing is used.
fn budget(share: f64, floor: f64) -> MeshRetryBudget {
    MeshRetryBudget::new(MeshRetryBudgetSettings {
        share,
        floor,
        window_s: 10,
    })
}

#[rstest]
#[case::alone(1, 100, RetryCause::Refused, 14)]
#[case::of_two(2, 100, RetryCause::Refused, 12)]
#[case::of_two_without_requests(2, 0, RetryCause::Refused, 2)]
#[case::of_requests_that_run_once(1, 100, RetryCause::RefusedNonIdempotent, 20)]
#[case::of_failed_requests(1, 100, RetryCause::Failed, 8)]
fn the_part_of_the_budget(
    #[case] nodes: usize,
    #[case] requests: u32,
    #[case] cause: RetryCause,
    #[case] expected: usize,
) {
    let mut budget = budget(0.2, 9.0);
    let service = ServiceName::new("booking");
    for _ in 0..requests {
        budget.first(START, &service, 0.0);
    }
    let taken = (0..1000).take_while(|_| budget.take(START, &service, nodes, cause));
    assert_eq!(taken.count(), expected);
}

#[rstest]
#[case::within_the_window(9_999, 0)]
#[case::after_it(10_000, 3)]
fn retries_are_forgotten(#[case] ms: u64, #[case] expected: usize) {
    let mut budget = budget(0.0, 6.0);
    let service = ServiceName::new("booking");
    let mut take_all = |now| {
        (0..100)
            .take_while(|_| budget.take(now, &service, 1, RetryCause::Refused))
            .count()
    };
    assert_eq!(take_all(START), 3);
    assert_eq!(take_all(Instant::from_millis(ms)), expected);
}

#[test]
fn calls_of_retries_use_up_the_budget_of_the_service_that_is_called() {
    let mut budget = budget(0.2, 0.0);
    let service = ServiceName::new("booking");
    for _ in 0..100 {
        budget.first(START, &service, 0.085);
    }
    let taken = (0..100).take_while(|_| budget.take(START, &service, 1, RetryCause::Refused));
    assert_eq!(taken.count(), 1, "of 10, 8.5 may have been used");
}

#[test]
fn requests_that_run_once_keep_a_part_of_the_budget_for_themselves() {
    let mut budget = budget(0.2, 0.0);
    let service = ServiceName::new("booking");
    (0..100).for_each(|_| budget.first(START, &service, 0.0));
    let mut taken = |cause| {
        (0..100)
            .take_while(|_| budget.take(START, &service, 1, cause))
            .count()
    };
    assert_eq!(taken(RetryCause::Refused), 10);
    assert_eq!(taken(RetryCause::RefusedNonIdempotent), 4);
}
