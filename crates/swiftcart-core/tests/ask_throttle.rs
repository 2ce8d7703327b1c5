//! Throttling of asks at a service without room, under a load in virtual time.

#[path = "support/mesh_load.rs"]
mod mesh_load;
mod support;

use std::time::Duration;

use mesh_load::{Outcome, WARMUP, Workload, simulate};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use swiftcart_core::*;

/// Seeds of the simulations whose results are added up.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Creates a service of 12 backend servers whose callers want `load` times its capacity.
fn service(load: f64) -> Workload {
    let service = Workload {
        nodes: 30,
        servers: 12,
        domains: 3,
        slots: 6,
        service_time: Duration::from_millis(80),
        duration: Duration::from_secs(12),
        ..Workload::default()
    };
    Workload {
        request_rate: load * service.capacity(),
        ..service
    }
}

fn throttled(load: &Workload) -> Workload {
    Workload {
        ask_throttle: Some(AskThrottleSettings::default()),
        ..load.clone()
    }
}

/// Requests that were started, and that were answered in time, over several runs.
#[derive(Debug, Default)]
struct Served {
    started: f64,
    in_time: f64,
}

impl Served {
    fn add(&mut self, load: &Workload, outcome: &Outcome) {
        self.started += outcome.started(WARMUP, load.duration) as f64;
        self.in_time += outcome.in_time as f64;
    }
}

#[rstest]
#[case::one_and_a_half_times_the_capacity(1.5, 2.2)]
#[case::twice_the_capacity(2.0, 1.5)]
#[case::four_times_the_capacity(4.0, 0.8)]
fn overloaded_service_is_asked_less_and_used_as_much(#[case] load: f64, #[case] max_asks: f64) {
    let load = service(load);
    let (mut usual, mut outcome, mut asks) = (Served::default(), Served::default(), 0.0);
    for seed in SEEDS {
        usual.add(&load, &simulate(&load, seed));
        let throttled = simulate(&throttled(&load), seed);
        outcome.add(&load, &throttled);
        asks += throttled.attempts_per_request() / SEEDS.len() as f64;
    }
    assert!(asks <= max_asks, "{asks:.2} asks per request");
    assert!(
        outcome.started >= 0.98 * usual.started,
        "{outcome:?}, {usual:?}"
    );
    assert!(
        outcome.in_time >= 0.98 * usual.in_time,
        "{outcome:?}, {usual:?}"
    );
}

#[rstest]
#[case::room_for_all(0.7, 0)]
#[case::one_guard_refuses_everything(0.7, 1)]
#[case::two_guards_refuse_everything(0.6, 2)]
fn service_with_room_stays_open(
    #[case] load: f64,
    #[case] broken_guards: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let load = Workload {
        broken_guards,
        ..service(load)
    };
    let outcome = simulate(&throttled(&load), seed);
    let refused = outcome.refused as f64 / outcome.requests as f64;
    assert!(refused <= 0.01, "{refused:.3} of the requests");
}

#[rstest]
#[case::twice_the_load(2.0)]
#[case::four_times_the_load(4.0)]
fn returning_room_is_used_within_a_second(#[case] load: f64) {
    let returns = Duration::from_secs(7);
    let load = Workload {
        slot_change: Some((returns, 24)),
        ..service(load)
    };
    let from = returns + Duration::from_secs(1);
    let until = from + Duration::from_secs(1);
    let started = |load: &Workload| -> usize {
        let started = SEEDS.map(|seed| simulate(load, seed).started(from, until));
        started.iter().sum()
    };
    let (usual, outcome) = (started(&load), started(&throttled(&load)));
    assert!(outcome * 100 >= usual * 95, "{outcome} of {usual}");
}

fn pick(n: u16, rule: PickRule) -> Pick {
    let id = support::node(n);
    Pick {
        id,
        peer: id.0,
        rule,
        cause: None,
        free: true,
    }
}

fn class(priority: u8) -> AskRequest {
    let class = AskClass {
        priority: Priority(priority),
        timing: RequestTiming::InTime,
        ..AskClass::default()
    };
    AskRequest {
        class,
        returning: false,
    }
}

/// Lets `guards` guards fail 60 requests of the class, at 20 ms intervals.
fn fail(throttle: &mut AskThrottle, request: AskRequest, guards: u16, reason: Reason) -> Instant {
    let mut rng = SmallRng::seed_from_u64(1);
    for n in 0..60 {
        let now = Instant::from_millis(u64::from(n) * 20);
        let pick = pick(1 + n % guards, PickRule::Near);
        throttle.admit(now, request, &mut rng);
        throttle.asked(now, request, &pick);
        throttle.failed(now, request, &pick, reason);
    }
    Instant::from_millis(1_200)
}

/// Returns how many of 100 requests are admitted at once.
fn admitted(throttle: &AskThrottle, now: Instant, request: AskRequest) -> usize {
    let mut rng = SmallRng::seed_from_u64(2);
    let admit = |_: &usize| throttle.clone().admit(now, request, &mut rng);
    (0..100).filter(admit).count()
}

#[rstest]
#[case::three_guards_are_full(3, Reason::QueueFull, 0, false)]
#[case::two_guards_are_full(2, Reason::QueueFull, 0, true)]
#[case::guards_drain(3, Reason::Draining, 0, true)]
#[case::guards_are_out_of_reach(3, Reason::PeerUnreachable, 0, true)]
#[case::handed_over_without_a_response(3, Reason::Timeout, 0, true)]
#[case::nothing_was_heard_for_two_seconds(3, Reason::QueueFull, 2_000, true)]
fn class_is_throttled_only_while_three_guards_lack_room(
    #[case] guards: u16,
    #[case] reason: Reason,
    #[case] later_ms: u64,
    #[case] open: bool,
) {
    let mut throttle = AskThrottle::new(AskThrottleSettings::default());
    let now = fail(&mut throttle, class(1), guards, reason) + Duration::from_millis(later_ms);
    let admitted = admitted(&throttle, now, class(1));
    assert_eq!(admitted == 100, open, "{admitted}");
    assert!(admitted > 0, "a share always goes through");
}

#[rstest]
#[case::more_urgent(0, true)]
#[case::same(1, false)]
#[case::less_urgent(2, false)]
fn refusals_throttle_the_same_and_less_urgent_priorities(#[case] priority: u8, #[case] open: bool) {
    let mut throttle = AskThrottle::new(AskThrottleSettings::default());
    let now = fail(&mut throttle, class(1), 3, Reason::Overloaded);
    assert_eq!(admitted(&throttle, now, class(priority)) == 100, open);
}

#[test]
fn returning_request_is_admitted_and_queues_at_three_guards() {
    let mut throttle = AskThrottle::new(AskThrottleSettings::default());
    let now = fail(&mut throttle, class(1), 3, Reason::Overloaded);
    let request = AskRequest {
        returning: true,
        ..class(1)
    };
    assert_eq!(admitted(&throttle, now, request), 100);
    let mut slot_search = SlotSearch::queueing();
    for n in 1..=3 {
        let next = pick(n, PickRule::Near);
        let ask = throttle.next_ask(now, request, &slot_search, &next);
        assert_eq!(ask, NextAsk::Ask);
        slot_search.failed(next.id, Reason::QueueFull);
    }
    let next = throttle.next_ask(now, request, &slot_search, &pick(4, PickRule::Near));
    assert_eq!(next, NextAsk::Refuse);
}

#[test]
fn request_without_prospects_queues_at_one_guard() {
    let mut throttle = AskThrottle::new(AskThrottleSettings::default());
    let mut slot_search = SlotSearch::new(9, Payload::Light);
    let now = fail(&mut throttle, class(1), 3, Reason::Overloaded);
    let next = pick(4, PickRule::Near);
    let queues = throttle.next_ask(now, class(1), &slot_search, &next);
    assert_eq!(queues, NextAsk::Queue);
    slot_search.queue_now();
    let asks = throttle.next_ask(now, class(1), &slot_search, &next);
    assert_eq!(asks, NextAsk::Ask);
    slot_search.failed(next.id, Reason::Overloaded);
    let ends = throttle.next_ask(now, class(1), &slot_search, &pick(5, PickRule::Near));
    assert_eq!(ends, NextAsk::Refuse);
}

#[rstest]
#[case::later_than_the_guard_says(None, 0)]
#[case::as_late_as_the_guard_says(Some(20), 20)]
fn refused_callers_get_increasing_retry_delays(#[case] told_s: Option<u64>, #[case] min_s: u64) {
    let mut throttle = AskThrottle::new(AskThrottleSettings::default());
    let mut rng = SmallRng::seed_from_u64(1);
    let now = fail(&mut throttle, class(1), 3, Reason::Overloaded);
    let told = told_s.map(Duration::from_secs);
    let mut refuse = || throttle.refuse(now, class(1).class, told, &mut rng);
    let refusals: Vec<Refusal> = (0..10).map(|_| refuse()).collect();
    assert!(
        refusals
            .iter()
            .all(|refusal| refusal.reason == Reason::NoRoom)
    );
    let (first, last) = (refusals[0].retry_after, refusals[9].retry_after);
    assert!(first >= Some(Duration::from_secs(min_s)), "{first:?}");
    assert!(last > first || min_s > 0, "{first:?} {last:?}");
}

#[test]
fn requests_beyond_a_share_do_not_close_the_door_for_those_within() {
    let mut throttle = AskThrottle::new(AskThrottleSettings::default());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut beyond = class(1);
    beyond.class.standing = ShareStanding::Beyond;
    let now = fail(&mut throttle, beyond, 4, Reason::QueueFull);
    let mut admitted = |request| {
        (0..100)
            .filter(|_| throttle.admit(now, request, &mut rng))
            .count()
    };
    assert!(admitted(beyond) < 20);
    assert_eq!(admitted(class(1)), 100);
}
