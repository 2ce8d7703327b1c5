//! Retries under a route's policy, and the retry budget of the mesh.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use swiftcart_core::*;

const START: Instant = Instant::from_millis(0);

fn guard(n: u16) -> NodeId {
    NodeId(([10, 0, 0, 1], n).into())
}

fn due() -> Deadline {
    Deadline::new(START, Duration::from_secs(1))
}

const fn policy(idempotent: bool, attempts: u8) -> RetryPolicy {
    RetryPolicy {
        idempotent,
        attempts,
    }
}

#[rstest]
#[case::full_guard(Reason::QueueFull, policy(false, 1), false, Ok(RetryTarget::Other))]
#[case::draining_guard(Reason::Draining, policy(false, 1), false, Ok(RetryTarget::Other))]
#[case::unreachable_peer(
    Reason::PeerUnreachable,
    policy(false, 1),
    false,
    Ok(RetryTarget::Other)
)]
#[case::backend_server_refusal(Reason::Shed, policy(false, 2), true, Ok(RetryTarget::Other))]
#[case::backend_server_refusal_with_one_attempt(
    Reason::Shed,
    policy(false, 1),
    true,
    Ok(RetryTarget::Same)
)]
#[case::backend_server_refusal_without_budget(
    Reason::Shed,
    policy(false, 2),
    false,
    Err(Reason::RetryBudget)
)]
#[case::broken_response(Reason::AnswerBroken, policy(true, 2), true, Ok(RetryTarget::Other))]
#[case::broken_response_without_attempts_left(
    Reason::AnswerBroken,
    policy(true, 1),
    true,
    Err(Reason::TriesSpent)
)]
#[case::broken_response_of_a_non_idempotent_request(
    Reason::AnswerBroken,
    policy(false, 2),
    true,
    Err(Reason::NotIdempotent)
)]
#[case::backend_server_error(Reason::ServerError, policy(true, 2), true, Ok(RetryTarget::Other))]
#[case::no_route(Reason::NoRoute, policy(true, 2), true, Err(Reason::NoRoute))]
fn retry_decision_after(
    #[case] reason: Reason,
    #[case] policy: RetryPolicy,
    #[case] budget: bool,
    #[case] expected: Result<RetryTarget, Reason>,
) {
    let mut state = PolicyRetryState::default();
    let next = state.retry(START, guard(1), reason, policy, due(), || budget);
    assert_eq!(next, expected);
}

#[test]
fn request_reaches_no_more_backend_servers_than_its_attempts() {
    let mut state = PolicyRetryState::default();
    let mut shed = |n| {
        state.retry(
            START,
            guard(n),
            Reason::Shed,
            policy(false, 2),
            due(),
            || true,
        )
    };
    let next = [shed(1), shed(2), shed(1), shed(2), shed(1)];
    let (other, same) = (Ok(RetryTarget::Other), Ok(RetryTarget::Same));
    assert_eq!(next, [other, same, same, same, Err(Reason::TriesSpent)]);
    assert_eq!(state.reached(), [guard(1), guard(2)]);
}

#[test]
fn guard_refusals_are_limited() {
    let mut state = PolicyRetryState::default();
    let mut full = |n| {
        let policy = policy(true, 2);
        state.retry(START, guard(n), Reason::QueueFull, policy, due(), || false)
    };
    let allowed = (1..20).take_while(|n| full(*n).is_ok()).count();
    assert_eq!(allowed, usize::from(MAX_GUARD_REFUSALS));
}

/// Creates an unused budget with a window of 10 s.
fn budget(share: f64, floor: f64) -> MeshRetryBudget {
    MeshRetryBudget::new(MeshRetryBudgetSettings {
        share,
        floor,
        window_s: 10,
    })
}

#[rstest]
#[case::single_node(1, 100, RetryCause::Refused, 14)]
#[case::one_of_two_nodes(2, 100, RetryCause::Refused, 12)]
#[case::one_of_two_nodes_without_requests(2, 0, RetryCause::Refused, 2)]
#[case::refused_non_idempotent_requests(1, 100, RetryCause::RefusedNonIdempotent, 20)]
#[case::failed_requests(1, 100, RetryCause::Failed, 8)]
fn share_of_the_budget(
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
#[case::after_the_window(10_000, 3)]
fn retries_leave_the_window(#[case] ms: u64, #[case] expected: usize) {
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
fn calls_made_by_retries_consume_the_budget_of_the_called_service() {
    let mut budget = budget(0.2, 0.0);
    let service = ServiceName::new("booking");
    for _ in 0..100 {
        budget.first(START, &service, 0.085);
    }
    let taken = (0..100).take_while(|_| budget.take(START, &service, 1, RetryCause::Refused));
    assert_eq!(taken.count(), 1, "8.5 of 10 retries are used by calls");
}

#[test]
fn part_of_the_budget_is_reserved_for_non_idempotent_requests() {
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

/// Number of requests of each priority that arrive in one second of the play.
const ARRIVALS_PER_S: u64 = 20;

/// Share of the attempts that the backend servers refuse although they have free slots.
const SHED_SHARE: f64 = 0.55;

/// Plays ten seconds in which a service refuses a fixed share of all attempts, and returns the
/// numbers of requests served for the priorities 0 and 1.
fn play_shedding(by_class: bool) -> [u32; 2] {
    let mut rng = SmallRng::seed_from_u64(3);
    let (mut budget, service) = (budget(0.2, 60.0), ServiceName::new("booking"));
    let mut served = [0; 2];
    for n in 0..10 * 2 * ARRIVALS_PER_S {
        let now = Instant::from_millis(n * 500 / ARRIVALS_PER_S);
        let priority = (n % 2) as u8;
        let class = AskClass {
            priority: Priority(priority),
            timing: RequestTiming::InTime,
            ..AskClass::default()
        };
        budget.first(now, &service, 0.0);
        let mut retry = || match by_class {
            true => budget.take_for(now, &service, 1, RetryCause::RefusedNonIdempotent, class),
            false => budget.take(now, &service, 1, RetryCause::RefusedNonIdempotent),
        };
        let sends = usize::from(MAX_BACKEND_SENDS);
        let runs =
            (0..sends).any(|sent| (sent == 0 || retry()) && rng.random::<f64>() >= SHED_SHARE);
        served[usize::from(priority)] += u32::from(runs);
    }
    served
}

#[test]
fn a_service_that_sheds_serves_urgent_requests_with_the_budget() {
    let [urgent, others] = play_shedding(true);
    let [urgent_before, others_before] = play_shedding(false);
    assert!(
        urgent > urgent_before + 20,
        "{urgent}, {urgent_before} in order of arrival"
    );
    let (all, all_before) = (urgent + others, urgent_before + others_before);
    assert!(
        f64::from(all) >= 0.95 * f64::from(all_before),
        "{all}, {all_before}"
    );
}

#[test]
fn a_budget_without_urgent_demand_is_open_to_all_classes() {
    let mut budget = budget(0.2, 9.0);
    let service = ServiceName::new("booking");
    (0..100).for_each(|_| budget.first(START, &service, 0.0));
    let class = AskClass {
        priority: Priority(7),
        timing: RequestTiming::Late,
        ..AskClass::default()
    };
    let mut take = || budget.take_for(START, &service, 1, RetryCause::Refused, class);
    assert_eq!((0..1000).take_while(|_| take()).count(), 14);
}
