//! Load that backend servers state: reading, belief, and what callers get while hosts are slow for
//! moments.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use support::{member, node, view};
use swiftcart_core::*;

/// Latency target of all requests.
const TARGET: Duration = Duration::from_millis(600);

/// Slots of each backend server.
const SLOTS: u32 = 9;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn stated(running: u32, pace: Option<u32>) -> StatedLoad {
    StatedLoad {
        running,
        queued: 0,
        slots: SLOTS,
        pace,
    }
}

#[rstest]
#[case::three_figures("3,0,8", Ok(StatedLoad { running: 3, queued: 0, slots: 8, pace: None }))]
#[case::four_figures(" 3, 1,8 ,250", Ok(StatedLoad { running: 3, queued: 1, slots: 8, pace: Some(250) }))]
#[case::two_figures("3,0", Err(StatedLoadError::Malformed))]
#[case::five_figures("3,0,8,100,1", Err(StatedLoadError::Malformed))]
#[case::no_figure("3,0,8,", Err(StatedLoadError::Malformed))]
#[case::garbage("3,0,8,fast", Err(StatedLoadError::Malformed))]
#[case::negative("3,-1,8", Err(StatedLoadError::Malformed))]
#[case::beyond_32_bits("3,0,8,10000000000", Err(StatedLoadError::Malformed))]
#[case::absurd_count("1000000000,0,8", Err(StatedLoadError::OutOfRange(1_000_000_000)))]
#[case::absurd_pace("3,0,8,1000000000", Err(StatedLoadError::OutOfRange(1_000_000_000)))]
#[case::pace_of_zero("3,0,8,0", Err(StatedLoadError::OutOfRange(0)))]
fn statement_is_read(#[case] text: &str, #[case] expected: Result<StatedLoad, StatedLoadError>) {
    assert_eq!(text.parse(), expected);
}

/// Backend server whose host is slow for moments, with its guard.
struct Server {
    guard: Admission,
    slow: bool,
    changes_at: u64,
    running: Vec<Run>,
    queued: HashMap<Ticket, usize>,
}

#[derive(Clone, Copy)]
struct Run {
    ticket: Ticket,
    call: usize,
    start: u64,
    end: u64,
}

struct Call {
    start: u64,
    work_ms: f64,
    search: SlotSearch,
}

/// Simulation of a service whose requests one ingress distributes.
struct Simulation {
    servers: Vec<Server>,
    calls: Vec<Call>,
    balancer: Balancer,
    view: View,
    rng: SmallRng,
    pace: fn(bool) -> Option<u32>,
    latencies: Vec<u64>,
}

/// Number of backend servers.
const SERVERS: u16 = 14;

/// Mean length of a slow moment. The moments between them last six times as long.
const SLOW_MS: u64 = 600;

/// Factor by which a call takes longer on a slow host.
const SLOW_FACTOR: f64 = 2.5;

/// Simulated time.
const SIMULATED_MS: u64 = 60_000;

/// Time that each caller allows for its request.
const DEADLINE: Duration = Duration::from_secs(4);

impl Server {
    fn start(&mut self, now: u64, ticket: Ticket, call: usize, work_ms: f64) {
        let factor = if self.slow { SLOW_FACTOR } else { 1.0 };
        self.running.push(Run {
            ticket,
            call,
            start: now,
            end: now + (work_ms * factor) as u64,
        });
    }
}

impl Simulation {
    fn new(seed: u64, pace: fn(bool) -> Option<u32>) -> Self {
        let members: Vec<_> = (2..2 + SERVERS).map(|n| member(n, "a", "norte")).collect();
        let table = Table::new().with_service("a", Limits::default());
        let view = view(&table, &members);
        let mut balancer = Balancer::new(node(1), BalanceSettings::default());
        balancer.adopt(at(0), &view);
        let settings = AdmissionSettings {
            limit: LimitSettings {
                rule: LimitRule::Fixed,
                ..LimitSettings::default()
            },
            ..AdmissionSettings::default()
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        let servers = (0..SERVERS).map(|_| Server {
            guard: Admission::new(at(0), settings).with_slots(SLOTS),
            slow: false,
            changes_at: rng.random_range(0..12 * SLOW_MS),
            running: Vec::new(),
            queued: HashMap::new(),
        });
        Self {
            servers: servers.collect(),
            calls: Vec::new(),
            balancer,
            view,
            rng,
            pace,
            latencies: Vec::new(),
        }
    }

    /// Simulates requests that need the share `usage` of all slots, and returns the share of requests
    /// served and the 99th percentile of their latencies in milliseconds.
    fn run(mut self, usage: f64) -> (f64, u64) {
        let slots = f64::from(SLOTS) * f64::from(SERVERS);
        let mean_ms = 180.0 * (1.0 + (SLOW_FACTOR - 1.0) / 7.0);
        for now in 0..SIMULATED_MS {
            for i in 0..self.servers.len() {
                self.step(now, i);
            }
            if self.rng.random::<f64>() < usage * slots / mean_ms {
                let work_ms = self.rng.random_range(120.0..240.0);
                let search = SlotSearch::new(usize::from(SERVERS), Payload::Light);
                self.calls.push(Call {
                    start: now,
                    work_ms,
                    search,
                });
                self.place(now, self.calls.len() - 1);
            }
        }
        self.latencies.sort_unstable();
        let served = self.latencies.len() as f64 / self.calls.len() as f64;
        (served, self.latencies[self.latencies.len() * 99 / 100])
    }

    fn step(&mut self, now: u64, i: usize) {
        let server = &mut self.servers[i];
        if now >= server.changes_at {
            server.slow = !server.slow;
            let mean = if server.slow { SLOW_MS } else { 6 * SLOW_MS };
            server.changes_at = now + self.rng.random_range(mean / 2..mean * 3 / 2);
        }
        while let Some(k) = server.running.iter().position(|run| run.end <= now) {
            let run = server.running.swap_remove(k);
            let running = server.guard.running();
            let stated = stated(running, (self.pace)(server.slow));
            let mut started = server.guard.set_stated_load(at(now), stated);
            let ms = Duration::from_millis(now - run.start);
            let sample = Sample::new(ms, CallResult::Success).with_target(TARGET);
            started.extend(server.guard.done(run.ticket, at(now), &sample));
            self.latencies.push(now - self.calls[run.call].start);
            for ticket in started {
                let call = server.queued.remove(&ticket).expect("a queued call");
                server.start(now, ticket, call, self.calls[call].work_ms);
            }
            report(&mut self.balancer, i, server, now, &sample);
        }
        for refused in server.guard.expire(at(now), &mut self.rng) {
            server.queued.remove(&refused.ticket);
            let sample = Sample::new(Duration::ZERO, CallResult::Refused);
            report(&mut self.balancer, i, server, now, &sample);
        }
    }

    /// Searches a guard for the call, as an ingress does.
    fn place(&mut self, now: u64, call: usize) {
        let entry = self.view.service("a").expect("service in the table");
        loop {
            let Call {
                start,
                work_ms,
                search,
            } = &mut self.calls[call];
            let excluded = search.excluded();
            let pick = self.balancer.pick(at(now), entry, excluded, &mut self.rng);
            if search.switch_to_queueing(pick.as_ref()) {
                continue;
            }
            let Some(pick) = pick else { return };
            let i = usize::from(pick.id.0.port() - 2);
            let server = &mut self.servers[i];
            let request = AdmissionRequest::new(Deadline::new(at(*start), DEADLINE))
                .with_target(TARGET)
                .with_queue_wait(search.queue_wait());
            self.balancer.started(pick.id);
            match server.guard.offer(at(now), request, &mut self.rng) {
                Admit::Run(ticket) => {
                    server.start(now, ticket, call, *work_ms);
                    return;
                }
                Admit::Queue(ticket) => {
                    server.queued.insert(ticket, call);
                    return;
                }
                Admit::Refuse(refusal) => {
                    search.failed(pick.id, refusal.reason);
                    let sample = Sample::new(Duration::ZERO, CallResult::Refused);
                    report(&mut self.balancer, i, server, now, &sample);
                }
            }
        }
    }
}

/// Records the end of a call in the balancer, with the figures that the guard reports.
fn report(balancer: &mut Balancer, i: usize, server: &Server, now: u64, sample: &Sample) {
    let mut sample = sample.with_load(server.guard.load());
    sample.pace = server.guard.pace(at(now));
    sample.slowdown = server.guard.slowdown(at(now));
    balancer.finished(node(i as u16 + 2), at(now), &sample);
}

#[rstest]
#[case::half_of_the_slots(0.5, 0.7)]
#[case::most_slots(0.7, 0.7)]
#[case::more_than_all_slots(1.1, 1.0)]
fn slow_moments_reach_few_callers(
    #[case] usage: f64,
    #[case] max_share: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let (silent_served, silent_p99) = Simulation::new(seed, |_| None).run(usage);
    let pace = |slow| Some(if slow { 250 } else { 100 });
    let (served, p99) = Simulation::new(seed, pace).run(usage);
    assert!(
        p99 as f64 <= max_share * silent_p99 as f64,
        "{p99} ms of {silent_p99} ms"
    );
    assert!(
        served >= silent_served - 0.01,
        "{served} of {silent_served}"
    );
}

#[rstest]
fn statement_without_a_pace_changes_nothing() {
    let mut told = guard();
    told.set_rate(at(0), "20".parse().ok());
    assert!(matches!(
        offer(&mut told, 0, QueueWait::Full),
        Admit::Run(_)
    ));
    assert!(matches!(
        offer(&mut told, 0, QueueWait::Full),
        Admit::Queue(_)
    ));
    let silent = told.clone();
    for ms in 0..100 {
        assert_eq!(told.set_stated_load(at(ms), stated(9, None)), []);
    }
    assert_eq!(told, silent);
}

/// Creates a guard that has finished 32 calls of 100 ms beside usual statements.
fn guard() -> Admission {
    let mut guard = Admission::new(at(0), AdmissionSettings::default()).with_slots(SLOTS);
    for _ in 0..32 {
        call(&mut guard, 0, stated(1, Some(100)));
    }
    guard
}

/// Simulates one call of 100 ms that starts at `ms` and is answered with a statement.
fn call(guard: &mut Admission, ms: u64, stated: StatedLoad) {
    let Admit::Run(ticket) = offer(guard, ms, QueueWait::Full) else {
        panic!("the guard is closed at {ms} ms")
    };
    let end = at(ms + 100);
    guard.set_stated_load(end, stated);
    let sample = Sample::new(Duration::from_millis(100), CallResult::Success);
    guard.done(ticket, end, &sample.with_target(TARGET));
}

fn offer(guard: &mut Admission, ms: u64, wait: QueueWait) -> Admit {
    let request = AdmissionRequest::new(Deadline::new(at(ms), DEADLINE));
    let request = request.with_target(TARGET).with_queue_wait(wait);
    guard.offer(at(ms), request, &mut SmallRng::seed_from_u64(1))
}

/// Returns how many of 20 requests run at `ms`.
fn starts(guard: &Admission, ms: u64, wait: QueueWait) -> usize {
    let mut guard = guard.clone();
    let offers = (0..20).map(|_| offer(&mut guard, ms, wait));
    offers
        .filter(|admit| matches!(admit, Admit::Run(_)))
        .count()
}

#[rstest]
#[case::usual(stated(0, Some(100)), 0, (9, 9), 166)]
#[case::slow(stated(0, Some(250)), 0, (0, 9), 416)]
#[case::slow_a_while_ago(stated(0, Some(250)), 600, (9, 9), 200)]
#[case::slow_long_ago(stated(0, Some(250)), 1_000, (9, 9), 166)]
#[case::fast(stated(0, Some(40)), 0, (9, 9), 166)]
#[case::others_use_slots(stated(4, Some(100)), 0, (5, 5), 166)]
#[case::others_use_all_slots(stated(9, Some(100)), 0, (1, 1), 166)]
#[case::others_used_slots(stated(4, Some(100)), 300, (9, 9), 166)]
fn statement_decides_which_requests_start_and_the_pace(
    #[case] stated: StatedLoad,
    #[case] age_ms: u64,
    #[case] expected: (usize, usize),
    #[case] max_pace: u32,
) {
    let mut guard = guard();
    guard.set_stated_load(at(2_000), stated);
    let ms = 2_000 + age_ms;
    let starts = [QueueWait::Short, QueueWait::Full].map(|wait| starts(&guard, ms, wait));
    assert_eq!(starts, [expected.0, expected.1]);
    let pace = guard.pace(at(ms)).expect("a pace is known");
    assert!(
        pace <= Pace(max_pace) && pace >= Pace(max_pace * 9 / 10),
        "{pace:?}"
    );
}

#[rstest]
#[case::always_slow(|_| stated(1, Some(10_000)))]
#[case::always_fast(|_| stated(1, Some(10)))]
#[case::fast_and_slow(|n| stated(1, Some(if n % 2 == 0 { 10 } else { 10_000 })))]
#[case::always_full(|_| stated(65_536, Some(100)))]
#[case::always_nearly_full(|_| stated(9, Some(100)))]
#[case::free_and_full(|n| stated(if n % 2 == 0 { 1 } else { 65_536 }, Some(100)))]
#[case::no_slots(|_| StatedLoad { slots: 0, ..stated(1, Some(100)) })]
fn hostile_statements_lose_their_effect(#[case] statement: fn(u64) -> StatedLoad) {
    let mut guard = guard();
    for n in 0..400 {
        call(&mut guard, 200 + n * 100, statement(n));
    }
    let ms = 200 + 403 * 100;
    let mut last = statement(399);
    last.running -= 1;
    guard.set_stated_load(at(ms), last);
    for wait in [QueueWait::Short, QueueWait::Full] {
        assert_eq!(starts(&guard, ms, wait), SLOTS as usize);
    }
    let pace = guard.pace(at(ms)).expect("a pace is known");
    assert!((100..=200).contains(&pace.0), "{pace:?}");
}

#[rstest]
fn queued_request_starts_when_others_have_left() {
    let mut guard = guard();
    guard.set_stated_load(at(2_000), stated(9, Some(100)));
    assert!(matches!(
        offer(&mut guard, 2_000, QueueWait::Full),
        Admit::Run(_)
    ));
    let Admit::Queue(ticket) = offer(&mut guard, 2_250, QueueWait::Full) else {
        panic!("others use the slots")
    };
    assert_eq!(guard.next_start_at(at(2_250)), Some(at(2_300)));
    assert_eq!(guard.resume(at(2_300)), [ticket]);
}

#[test]
fn one_low_statement_does_not_make_the_usual_pace_slow() {
    let mut belief = LoadBelief::default();
    (0..40).for_each(|n| belief.observe(at(20 * n), stated(1, Some(100)), 1));
    belief.observe(at(800), stated(1, Some(10)), 1);
    belief.observe(at(820), stated(1, Some(100)), 1);
    assert!(
        belief.slowdown(at(820)) < 2.0,
        "{}",
        belief.slowdown(at(820))
    );
}
