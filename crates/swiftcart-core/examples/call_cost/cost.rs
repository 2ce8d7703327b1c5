//! Time per decision, measured on the local instance.

use std::hint::black_box;
use std::time::{Duration, Instant as WallClock};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use swiftcart_core::*;

use crate::fleet::{SLOTS, node, view};

/// Number of operations per round.
const OPERATIONS: u32 = 100_000;

/// Number of rounds, of which the minimum and the median are printed.
const ROUNDS: usize = 9;

/// Numbers of backend servers: the current fleet size, and larger fleets.
const BACKEND_COUNTS: [usize; 3] = [13, 100, 970];

/// Prints one line per decision and fleet size.
pub fn print() {
    for backends in BACKEND_COUNTS {
        let view = view(0, backends, backends.div_ceil(3));
        let mut rng = SmallRng::seed_from_u64(1);
        print_decision("route", backends, || {
            black_box(view.route(black_box("/a/b/c/7?x=1"), &mut rng).is_ok());
        });
        let mut rng = SmallRng::seed_from_u64(1);
        print_decision("route_weighted", backends, || {
            black_box(view.route(black_box("/a/7"), &mut rng).is_ok());
        });
        print_balance(backends, &view);
    }
    print_admission();
    print_ask_throttle();
}

fn print_balance(backends: usize, view: &View) {
    let now = Instant::from_millis(1);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut balancer = Balancer::new(node(0), BalanceSettings::default());
    balancer.adopt(now, view);
    // Fills the node's own backend server, so that every pick compares two other ones.
    (0..SLOTS).for_each(|_| balancer.started(node(0)));
    let Some(entry) = view.service("a") else {
        return;
    };
    print_decision("pick", backends, || {
        black_box(balancer.pick(now, entry, &[], &mut rng));
    });
    let load = Load {
        running: 5,
        queued: 0,
        limit: SLOTS,
    };
    let sample = Sample::new(Duration::from_millis(20), CallResult::Success).with_load(load);
    let requirements = PickRequirements::default().with_spill(Some(SpillDraw::new(0.5)));
    let mut planned = balancer.clone();
    for candidate in entry.candidates() {
        planned.started(candidate.id);
        planned.finished(candidate.id, now, &sample);
    }
    print_decision("pick_planned", backends, || {
        black_box(planned.pick_for(&requirements, now, entry, &[], &mut rng));
    });
    let mut at = 0;
    print_decision("pick_started_finished", backends, || {
        at += 1;
        let now = Instant::new(Duration::from_micros(at));
        if let Some(pick) = balancer.pick(now, entry, &[], &mut rng) {
            balancer.started(pick.id);
            balancer.finished(pick.id, now, &sample);
        }
    });
    print_time("adopt", backends, OPERATIONS / 1000, || {
        balancer.adopt(now, view);
    });
}

fn print_admission() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut now = Instant::from_millis(1);
    let mut guard = Admission::new(now, AdmissionSettings::default()).with_slots(SLOTS);
    let deadline = Deadline::new(now, Duration::from_secs(3600));
    let sample = Sample::new(Duration::from_millis(20), CallResult::Success);
    print_decision("offer_done", 1, || {
        now = now + Duration::from_micros(10);
        if let Admit::Run(ticket) = guard.offer(now, deadline, &mut rng) {
            black_box(guard.done(ticket, now, &sample));
        }
    });
    while !matches!(guard.offer(now, deadline, &mut rng), Admit::Refuse(_)) {}
    print_decision("offer_refused", 1, || {
        now = now + Duration::from_nanos(10);
        black_box(guard.offer(now, deadline, &mut rng));
    });
}

/// Prints the cost of one ask at a service without room, with four classes of requests.
fn print_ask_throttle() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut throttle = AskThrottle::new(AskThrottleSettings::default());
    let slot_search = SlotSearch::queueing();
    let (mut now, mut n) = (Instant::from_millis(1), 0_usize);
    print_decision("ask", 1, || {
        n += 1;
        now = now + Duration::from_micros(100);
        let id = node(n % 3);
        let pick = Pick {
            id,
            peer: id.0,
            rule: PickRule::Near,
            cause: None,
            free: true,
        };
        let mut request = AskRequest::default();
        request.class.priority = Priority((n % 4) as u8);
        if throttle.admit(now, request, &mut rng) {
            black_box(throttle.next_ask(now, request, &slot_search, &pick));
            throttle.asked(now, request, &pick);
            throttle.failed(now, request, &pick, Reason::QueueFull);
        }
    });
}

fn print_decision(name: &str, backends: usize, operation: impl FnMut()) {
    print_time(name, backends, OPERATIONS, operation);
}

fn print_time(name: &str, backends: usize, operations: u32, mut operation: impl FnMut()) {
    let mut rounds: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let start = WallClock::now();
            (0..operations).for_each(|_| operation());
            start.elapsed().as_secs_f64() * 1e9 / f64::from(operations)
        })
        .collect();
    rounds.sort_unstable_by(f64::total_cmp);
    let line = json!({
        "kind": "cost",
        "operation": name,
        "backends": backends,
        "least_ns": rounds[0].round(),
        "median_ns": rounds[ROUNDS / 2].round(),
    });
    println!("{line}");
}
