//! Tests that a guard keeps its concurrency limit, and that every request ends in exactly one way.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use swiftcart_core::*;

const START: Instant = Instant::from_millis(0);

fn success(ms: u64) -> Sample {
    Sample::new(Duration::from_millis(ms), CallResult::Success)
}

fn due(now: Instant, ms: u64) -> Deadline {
    Deadline::new(now, Duration::from_millis(ms))
}

/// Creates a guard with two slots that has recorded a service time of 100 ms.
fn guard() -> (Admission, SmallRng) {
    let mut guard = Admission::new(START, AdmissionSettings::default()).with_slots(2);
    let mut rng = SmallRng::seed_from_u64(1);
    let Admit::Run(ticket) = guard.offer(START, due(START, 1000), &mut rng) else {
        panic!("a free slot starts the request")
    };
    guard.done(ticket, START, &success(100));
    (guard, rng)
}

fn name(admit: Admit) -> &'static str {
    match admit {
        Admit::Run(_) => "run",
        Admit::Queue(_) => "queue",
        Admit::Refuse(refusal) => refusal.reason.as_str(),
    }
}

#[rstest]
#[case::free_slot(0, 1000, AdmissionState::Open, "run")]
#[case::all_slots_in_use(2, 1000, AdmissionState::Open, "queue")]
#[case::full_queue(4, 1000, AdmissionState::Open, "queue-full")]
#[case::deadline_ends_before_a_slot_is_free(3, 199, AdmissionState::Open, "overloaded")]
#[case::deadline_shorter_than_a_call(0, 99, AdmissionState::Open, "deadline-passed")]
#[case::draining(0, 1000, AdmissionState::Draining, "draining")]
#[case::warming(0, 1000, AdmissionState::Warming, "warming")]
#[case::stopping(0, 1000, AdmissionState::Stopping, "stopping")]
fn offer_is_decided_by_load_deadline_and_state(
    #[case] earlier: u32,
    #[case] left: u64,
    #[case] state: AdmissionState,
    #[case] expected: &str,
) {
    let (mut guard, mut rng) = guard();
    for _ in 0..earlier {
        guard.offer(START, due(START, 1000), &mut rng);
    }
    guard.set_admission_state(state);
    let admit = guard.offer(START, due(START, left), &mut rng);
    assert_eq!(name(admit), expected);
}

#[rstest]
#[case::announced_slots(3, 0, 3)]
#[case::concurrency_of_the_table(10, 4, 4)]
#[case::no_slots(0, 0, 0)]
#[case::maximum_slots(u32::MAX, 0, 4096)]
fn limit_is_the_minimum_of_its_bounds(
    #[case] slots: u32,
    #[case] concurrency: u32,
    #[case] expected: u32,
) {
    let (mut guard, _) = guard();
    let limits = Limits {
        concurrency,
        ..Limits::default()
    };
    guard.set_slots(START, slots, limits);
    assert_eq!(guard.limit(), expected);
}

#[rstest]
#[case::draining_refuses_them(AdmissionState::Draining, 2, 0)]
#[case::stopping_keeps_them(AdmissionState::Stopping, 0, 1)]
fn closing_refuses_or_keeps_queued_requests(
    #[case] state: AdmissionState,
    #[case] refused: usize,
    #[case] started: usize,
) {
    let (mut guard, mut rng) = guard();
    let offers: Vec<_> = (0..4)
        .map(|_| guard.offer(START, due(START, 1000), &mut rng))
        .collect();
    let Admit::Run(first) = offers[0] else {
        panic!("a free slot starts the request")
    };
    assert_eq!(guard.set_admission_state(state).len(), refused);
    assert_eq!(guard.running(), 2, "running requests are not affected");
    assert_eq!(guard.done(first, START, &success(100)).len(), started);
}

#[rstest]
fn retry_delays_are_spread_over_the_time_to_serve_the_callers() {
    let (mut guard, mut rng) = guard();
    let mut offer = || guard.offer(START, due(START, 5000), &mut rng);
    let mut after: Vec<_> = (0..104)
        .filter_map(|_| match offer() {
            Admit::Refuse(refusal) => refusal.retry_after,
            _ => None,
        })
        .collect();
    after.sort_unstable();
    assert_eq!(after.len(), 100);
    // Two slots with calls of 100 ms serve 20 requests per second, so the retries of the 100 refused
    // callers spread over at least 5 s.
    let in_second = |from: &Duration| {
        let to = *from + Duration::from_secs(1);
        after.iter().filter(|a| (*from..to).contains(*a)).count()
    };
    assert!(after.iter().map(in_second).max() <= Some(30));
    assert!(
        after[0] >= Duration::from_millis(100),
        "the queue drains first"
    );
}

/// Keeps a guard at its limit. The backend server takes 10 ms per call with up to `knee` concurrent
/// calls, and proportionally longer above `knee`.
///
/// Returns the maximum limit during the last 100 calls, since a probe halves the limit for a short
/// time.
fn saturate(guard: &mut Admission, rng: &mut SmallRng, knee: u32, calls: u32) -> u32 {
    let mut now = START;
    let mut last = 0;
    let mut running = std::collections::VecDeque::new();
    for left in (0..calls).rev() {
        last = if left < 100 {
            last.max(guard.limit())
        } else {
            0
        };
        while guard.running() < guard.limit() {
            match guard.offer(now, due(now, 60_000), rng) {
                Admit::Run(ticket) => running.push_back(ticket),
                other => panic!("{other:?}"),
            }
        }
        now = now + Duration::from_millis(1);
        let ms = 10 * u64::from(guard.running().max(knee)) / u64::from(knee);
        if let Some(ticket) = running.pop_front() {
            guard.done(ticket, now, &success(ms));
        }
    }
    for ticket in running {
        guard.cancel(ticket, now);
    }
    last
}

#[rstest]
#[case::aimd_lowers_overstated_slots(LimitRule::Aimd, 4, 4..=8)]
#[case::fixed_keeps_overstated_slots(LimitRule::Fixed, 4, 16..=16)]
#[case::aimd_keeps_correct_slots(LimitRule::Aimd, 16, 16..=16)]
fn limit_of_a_saturated_guard_follows_its_rule(
    #[case] rule: LimitRule,
    #[case] knee: u32,
    #[case] expected: std::ops::RangeInclusive<u32>,
) {
    let mut rng = SmallRng::seed_from_u64(1);
    let limit = LimitSettings {
        rule,
        ..LimitSettings::default()
    };
    let settings = AdmissionSettings {
        limit,
        ..AdmissionSettings::default()
    };
    let mut guard = Admission::new(START, settings).with_slots(16);
    // The guard is always saturated, so unloaded samples come from its own probes only.
    let limit = saturate(&mut guard, &mut rng, knee, 10_000);
    assert!(expected.contains(&limit), "{limit}");
    let limit = saturate(&mut guard, &mut rng, 16, 20_000);
    assert!(
        limit >= 14,
        "the limit must recover with the latency: {limit}"
    );
}

/// Short calls are more likely to end before other calls arrive.
///
/// If they prevailed among the unloaded samples, every loaded window would seem slow, and the limit
/// would fall without overload.
#[rstest]
fn correct_slots_are_kept_with_a_mix_of_short_and_long_calls() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut guard = Admission::new(START, AdmissionSettings::default()).with_slots(10);
    let mut running = Vec::new();
    let mut missing = 0;
    for ms in 0..60_000 {
        let now = Instant::from_millis(ms);
        if rng.random_bool(0.3) {
            let admit = guard.offer(now, due(now, 60_000), &mut rng);
            let time = 1 + (-20.0 * (1.0 - rng.random::<f64>()).ln()) as u64;
            match admit {
                Admit::Run(ticket) => running.push((ticket, ms + time, time)),
                Admit::Queue(ticket) => guard.cancel(ticket, now).clear(),
                Admit::Refuse(_) => {}
            }
        }
        for (ticket, _, time) in running.extract_if(.., |(_, end, _)| *end <= ms) {
            guard.done(ticket, now, &success(time));
        }
        missing += 10 - guard.limit();
    }
    assert!(
        missing < 60_000 / 4,
        "mean limit 10 - {}",
        f64::from(missing) / 60_000.0
    );
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Offer(u64),
    Done(usize, u64, CallResult),
    Cancel(usize),
    Expire,
    Slots(u32, u32),
    State(AdmissionState),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let result = prop_oneof![
        4 => Just(CallResult::Success),
        1 => Just(CallResult::Failure),
    ];
    let state = prop_oneof![
        3 => Just(AdmissionState::Open),
        1 => Just(AdmissionState::Warming),
        1 => Just(AdmissionState::Draining),
        1 => Just(AdmissionState::Stopping),
    ];
    prop_oneof![
        20 => (0..400_u64).prop_map(Event::Offer),
        12 => (any::<usize>(), 1..200_u64, result).prop_map(|(i, ms, r)| Event::Done(i, ms, r)),
        3 => any::<usize>().prop_map(Event::Cancel),
        3 => Just(Event::Expire),
        1 => (0..6_u32, 0..4_u32).prop_map(|(slots, concurrency)| Event::Slots(slots, concurrency)),
        1 => state.prop_map(Event::State),
        8 => (0..40_u64).prop_map(Event::Wait),
    ]
}

/// Reference model of the open requests: the running ones, and the queued ones with the time at
/// which they were queued and their deadlines.
struct Model {
    guard: Admission,
    rng: SmallRng,
    settings: AdmissionSettings,
    now: Instant,
    state: AdmissionState,
    max_limit: u32,
    running: Vec<Ticket>,
    waiting: BTreeMap<Ticket, (Instant, Deadline)>,
}

impl Model {
    fn start(&mut self, tickets: &[Ticket]) -> Result<(), TestCaseError> {
        for ticket in tickets {
            let Some((_, due)) = self.waiting.remove(ticket) else {
                return Err(TestCaseError::fail("started a request that was not queued"));
            };
            prop_assert!(!due.misses(self.now, Duration::ZERO), "started too late");
            self.running.push(*ticket);
        }
        prop_assert!(tickets.is_empty() || self.guard.running() <= self.guard.limit());
        Ok(())
    }

    fn refuse(&mut self, refused: &[Refused]) -> Result<(), TestCaseError> {
        for refused in refused {
            prop_assert!(
                self.waiting.remove(&refused.ticket).is_some(),
                "refused a request that was not queued"
            );
        }
        Ok(())
    }

    fn offer(&mut self, left: u64) -> Result<(), TestCaseError> {
        let due = due(self.now, left);
        // One request in three has no target. The others are more urgent.
        let request = match left % 3 {
            0 => AdmissionRequest::new(due),
            n => AdmissionRequest::new(due).with_target(Duration::from_millis(40 * n)),
        };
        let admit = self.guard.offer(self.now, request, &mut self.rng);
        let displaced = self.guard.displaced();
        self.refuse(&displaced)?;
        match admit {
            Admit::Run(ticket) => {
                self.running.push(ticket);
                prop_assert!(self.guard.running() <= self.guard.limit());
            }
            Admit::Queue(ticket) => {
                let fresh = self.waiting.insert(ticket, (self.now, due)).is_none();
                prop_assert!(fresh && !self.running.contains(&ticket));
                let most = f64::from(self.guard.limit()) * self.settings.depth;
                prop_assert!(f64::from(self.guard.queued()) <= most.ceil());
                prop_assert!(self.guard.queued() <= self.settings.queue);
                prop_assert!(self.guard.next_expiry_at().is_some_and(|at| at <= due.at()));
            }
            Admit::Refuse(refusal) => {
                let has_delay = refusal.reason != Reason::DeadlinePassed;
                prop_assert_eq!(refusal.retry_after.is_some(), has_delay);
            }
        }
        let refused = matches!(admit, Admit::Refuse(_));
        prop_assert!(
            self.state == AdmissionState::Open || refused,
            "a request was admitted while not open"
        );
        Ok(())
    }

    fn step(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Offer(left) => self.offer(left)?,
            Event::Done(i, ms, result) if !self.running.is_empty() => {
                let ticket = self.running.swap_remove(i % self.running.len());
                let sample = Sample::new(Duration::from_millis(ms), result);
                let started = self.guard.done(ticket, self.now, &sample);
                self.start(&started)?;
            }
            Event::Cancel(i) if !self.waiting.is_empty() => {
                let mut tickets = self.waiting.keys().copied();
                let ticket = tickets
                    .nth(i % self.waiting.len())
                    .expect("a request is queued");
                self.waiting.remove(&ticket);
                let started = self.guard.cancel(ticket, self.now);
                self.start(&started)?;
            }
            Event::Cancel(i) if !self.running.is_empty() => {
                let ticket = self.running.swap_remove(i % self.running.len());
                let started = self.guard.cancel(ticket, self.now);
                self.start(&started)?;
            }
            Event::Done(..) | Event::Cancel(_) => {}
            Event::Expire => {
                let refused = self.guard.expire(self.now, &mut self.rng);
                self.refuse(&refused)?;
                let overdue = |(since, due): &(Instant, Deadline)| {
                    due.misses(self.now, Duration::ZERO)
                        || self.now.since(*since) >= self.settings.wait
                };
                prop_assert!(
                    !self.waiting.values().any(overdue),
                    "a request stayed in the queue too long"
                );
            }
            Event::Slots(slots, concurrency) => {
                let limits = Limits {
                    concurrency,
                    ..Limits::default()
                };
                self.max_limit = if concurrency == 0 {
                    slots
                } else {
                    slots.min(concurrency)
                };
                let started = self.guard.set_slots(self.now, slots, limits);
                self.start(&started)?;
            }
            Event::State(state) => {
                self.state = state;
                let refused = self.guard.set_admission_state(state);
                self.refuse(&refused)?;
            }
            Event::Wait(ms) => self.now = self.now + Duration::from_millis(ms),
        }
        self.check_counts()
    }

    fn check_counts(&self) -> Result<(), TestCaseError> {
        prop_assert_eq!(self.guard.running() as usize, self.running.len());
        prop_assert_eq!(self.guard.queued() as usize, self.waiting.len());
        prop_assert!(self.guard.limit() <= self.max_limit);
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(400) })]

    #[test]
    fn each_request_ends_in_exactly_one_way(
        order in prop_oneof![Just(QueueOrder::Fifo), Just(QueueOrder::AdaptiveLifo)],
        events in prop::collection::vec(event(), 1..300),
    ) {
        let limit = LimitSettings { window: 4, probe_after: 16, probe_samples: 2, ..LimitSettings::default() };
        let settings = AdmissionSettings { order, limit, queue: 5, ..AdmissionSettings::default() };
        let mut model = Model {
            guard: Admission::new(START, settings).with_slots(3),
            rng: SmallRng::seed_from_u64(1),
            settings,
            now: START,
            state: AdmissionState::Open,
            max_limit: 3,
            running: Vec::new(),
            waiting: BTreeMap::new(),
        };
        for event in events {
            model.step(event)?;
        }
        while !model.running.is_empty() {
            model.step(Event::Done(0, 10, CallResult::Success))?;
        }
        model.step(Event::Wait(60_000))?;
        model.step(Event::Expire)?;
        prop_assert_eq!((model.guard.running(), model.guard.queued()), (0, 0));
    }
}
