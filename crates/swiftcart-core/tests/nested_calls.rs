//! Tests that calls of running requests get the rank and the maximum wait of the requests
//! that they serve.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use swiftcart_core::*;

const START: Instant = Instant::from_millis(0);

/// Number of guards of each of the two services.
const GUARDS: usize = 8;

/// Number of slots of each guard.
const SLOTS: u32 = 6;

/// Simulated time.
const SIMULATED_MS: u64 = 20_000;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Request that occupies or awaits a slot: the guard and its ticket.
type JobId = (usize, Ticket);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Kind {
    /// Look-up at the first service, which makes two nested calls between two parts of its work.
    Lookup,
    /// Call of a look-up at the second service.
    Nested(JobId),
    /// Paid request at the second service, more urgent than all others.
    Paid,
    /// Long request at the second service, less urgent than all others.
    Long,
}

impl Kind {
    /// Returns the mean time of the work, or of one part of it.
    const fn work_ms(self) -> f64 {
        match self {
            Self::Lookup => 60.0,
            Self::Nested(_) => 30.0,
            Self::Paid => 84.0,
            Self::Long => 160.0,
        }
    }

    /// Returns a request with the target, deadline and priority of the route.
    fn request(self, now: Instant) -> AdmissionRequest {
        let (target, time, priority) = match self {
            Self::Lookup => (400, 1000, 1),
            Self::Nested(_) => (120, 400, 2),
            Self::Paid => (250, 800, 0),
            Self::Long => (800, 1200, 2),
        };
        AdmissionRequest::new(Deadline::new(now, ms(time)))
            .with_target(ms(target))
            .with_priority(Priority(priority))
    }
}

/// Look-up that waits for its nested calls.
#[derive(Debug)]
struct Parent {
    id: Option<ParentId>,
    waits_for: u32,
}

/// Simulation of two services, the second of which gets one and a half times the load that it can
/// serve.
struct Simulation {
    as_nested: bool,
    rng: SmallRng,
    guards: Vec<Admission>,
    jobs: HashMap<JobId, (Kind, AdmissionRequest)>,
    parents: HashMap<JobId, Parent>,
    running: RunningRequests,
    /// Ends of work by time, in milliseconds.
    ends: BTreeMap<u64, Vec<JobId>>,
    /// Numbers of offered and of served paid requests.
    paid: [u32; 2],
    /// Numbers of look-ups that ran, and of those that failed.
    lookups: [u32; 2],
    /// Slots in use at the second service, summed over the milliseconds.
    used: u64,
}

impl Simulation {
    fn run(seed: u64, as_nested: bool) -> Self {
        let settings = AdmissionSettings {
            limit: LimitSettings {
                rule: LimitRule::Fixed,
                ..LimitSettings::default()
            },
            ..AdmissionSettings::default()
        };
        let guard = || Admission::new(START, settings).with_slots(SLOTS);
        let mut simulation = Self {
            as_nested,
            rng: SmallRng::seed_from_u64(seed),
            guards: (0..2 * GUARDS).map(|_| guard()).collect(),
            jobs: HashMap::new(),
            parents: HashMap::new(),
            running: RunningRequests::default(),
            ends: BTreeMap::new(),
            paid: [0; 2],
            lookups: [0; 2],
            used: 0,
        };
        for at in 0..SIMULATED_MS {
            let now = Instant::from_millis(at);
            let ended = simulation.ends.remove(&at).unwrap_or_default();
            ended
                .into_iter()
                .for_each(|job| simulation.work_ended(now, job));
            for guard in 0..simulation.guards.len() {
                let refused = simulation.guards[guard].expire(now, &mut simulation.rng);
                simulation.refuse(now, guard, refused);
            }
            for (kind, rate) in [(Kind::Lookup, 0.25), (Kind::Paid, 0.05), (Kind::Long, 0.33)] {
                if simulation.rng.random_bool(rate) {
                    simulation.paid[0] += u32::from(kind == Kind::Paid);
                    simulation.offer(now, kind, kind.request(now));
                }
            }
            let second = simulation.guards[GUARDS..].iter();
            simulation.used += second.map(|guard| u64::from(guard.running())).sum::<u64>();
        }
        simulation
    }

    /// Offers a request to three guards of its service that may let it wait briefly, and then to
    /// one that may queue it.
    fn offer(&mut self, now: Instant, kind: Kind, request: AdmissionRequest) {
        let first = GUARDS * usize::from(kind != Kind::Lookup);
        for wait in [[QueueWait::Short; 3].as_slice(), &[QueueWait::Full]].concat() {
            let guard = first + self.rng.random_range(0..GUARDS);
            let admit = self.guards[guard].offer(now, request.with_queue_wait(wait), &mut self.rng);
            let displaced = self.guards[guard].displaced();
            self.refuse(now, guard, displaced);
            match admit {
                Admit::Run(ticket) | Admit::Queue(ticket) => {
                    self.jobs.insert((guard, ticket), (kind, request));
                    if matches!(admit, Admit::Run(_)) {
                        self.start(now, vec![(guard, ticket)]);
                    }
                    return;
                }
                Admit::Refuse(_) => {}
            }
        }
        self.fail_parent(now, kind);
    }

    fn start(&mut self, now: Instant, started: Vec<JobId>) {
        for job in started {
            let (kind, request) = self.jobs[&job];
            if kind == Kind::Lookup {
                self.lookups[0] += 1;
                let target = request.target.map(|target| now + target);
                let rank = ParentRank {
                    priority: request.priority,
                    target,
                };
                let id = self.running.start(request.due, rank);
                self.parents.insert(job, Parent { id, waits_for: 2 });
            }
            self.work(now, job, kind);
        }
    }

    fn work(&mut self, now: Instant, job: JobId, kind: Kind) {
        let time = ms((kind.work_ms() * self.rng.random_range(0.5..1.5)) as u64);
        let at = (now + time).elapsed().as_millis() as u64;
        self.ends.entry(at).or_default().push(job);
    }

    fn work_ended(&mut self, now: Instant, job: JobId) {
        let Some((kind, request)) = self.jobs.get(&job).copied() else {
            return;
        };
        match kind {
            Kind::Lookup if self.parents[&job].waits_for > 0 => self.call(now, job, &request),
            Kind::Nested(parent) => {
                self.end(now, job);
                let waits_for = self.parents.get_mut(&parent).map(|p| &mut p.waits_for);
                if let Some(waits_for) = waits_for {
                    *waits_for -= 1;
                    if *waits_for == 0 {
                        self.work(now, parent, Kind::Lookup);
                    }
                }
            }
            Kind::Lookup | Kind::Paid | Kind::Long => {
                self.paid[1] += u32::from(kind == Kind::Paid);
                self.end(now, job);
            }
        }
    }

    /// Makes both calls of a look-up.
    fn call(&mut self, now: Instant, job: JobId, parent: &AdmissionRequest) {
        // The time left is sent in whole milliseconds.
        let due = Deadline::new(now, ms(parent.due.left_ms(now).unwrap_or(0)));
        let mut request = Kind::Nested(job).request(now);
        request.due = request.due.min(due);
        if let (true, Some(rank)) = (self.as_nested, self.running.parent(due)) {
            let rest = rank.target.map(|end| end.since(now));
            request = request
                .with_origin(RequestOrigin::Backend)
                .with_priority(request.priority.min(rank.priority))
                .with_parent_target(rest);
        }
        for _ in 0..2 {
            self.offer(now, Kind::Nested(job), request);
        }
    }

    /// Releases the slot of a job.
    fn end(&mut self, now: Instant, job: JobId) {
        let (guard, ticket) = job;
        let ended = self.jobs.remove(&job);
        if let Some(id) = self.parents.remove(&job).and_then(|parent| parent.id) {
            self.running.end(id);
        }
        let time = ended.map_or(0.0, |(kind, _)| kind.work_ms());
        let sample = Sample::new(ms(time as u64), CallResult::Success);
        let started = self.guards[guard].done(ticket, now, &sample);
        self.start(
            now,
            started.into_iter().map(|ticket| (guard, ticket)).collect(),
        );
    }

    fn refuse(&mut self, now: Instant, guard: usize, refused: Vec<Refused>) {
        for Refused { ticket, .. } in refused {
            if let Some((kind, _)) = self.jobs.remove(&(guard, ticket)) {
                self.fail_parent(now, kind);
            }
        }
    }

    /// Ends the look-up whose call was refused. Its other call runs in vain.
    fn fail_parent(&mut self, now: Instant, kind: Kind) {
        match kind {
            Kind::Nested(parent) if self.parents.contains_key(&parent) => {
                self.lookups[1] += 1;
                self.end(now, parent);
            }
            _ => {}
        }
    }

    fn failed_share(&self) -> f64 {
        f64::from(self.lookups[1]) / f64::from(self.lookups[0])
    }

    fn paid_share(&self) -> f64 {
        f64::from(self.paid[1]) / f64::from(self.paid[0])
    }

    fn used_share(&self) -> f64 {
        self.used as f64 / (SIMULATED_MS * GUARDS as u64 * u64::from(SLOTS)) as f64
    }
}

#[rstest]
fn look_ups_do_not_fail_for_a_refused_call(#[values(1, 2, 3)] seed: u64) {
    let (without, with) = (Simulation::run(seed, false), Simulation::run(seed, true));
    let shares = |simulation: &Simulation| {
        [
            simulation.failed_share(),
            simulation.paid_share(),
            simulation.used_share(),
        ]
    };
    let ([failed, paid, used], now) = (shares(&without), shares(&with));
    assert!(failed > 0.2, "the load must fail look-ups: {failed}");
    assert!(now[0] <= failed / 20.0, "failed {} after {failed}", now[0]);
    assert!(now[1] >= paid - 0.01, "paid {} after {paid}", now[1]);
    assert!(now[2] >= used - 0.02, "used {} after {used}", now[2]);
}

/// Creates a guard whose two slots are in use, and that has recorded a service time of 20 ms.
fn busy_guard() -> (Admission, SmallRng) {
    let mut guard = Admission::new(START, AdmissionSettings::default()).with_slots(2);
    let mut rng = SmallRng::seed_from_u64(1);
    let Admit::Run(first) = guard.offer(START, caller(0), &mut rng) else {
        panic!("a free slot must start the request")
    };
    guard.done(first, START, &Sample::new(ms(20), CallResult::Success));
    for _ in 0..2 {
        guard.offer(START, caller(0), &mut rng);
    }
    (guard, rng)
}

fn caller(priority: u8) -> AdmissionRequest {
    AdmissionRequest::new(Deadline::new(START, ms(400)))
        .with_target(ms(240))
        .with_priority(Priority(priority))
}

fn nested(priority: u8) -> AdmissionRequest {
    caller(priority).with_origin(RequestOrigin::Backend)
}

#[rstest]
#[case::callers_request_of_the_same_priority(caller(1), nested(1), Some(1))]
#[case::callers_request_of_a_later_priority(caller(2), nested(1), Some(1))]
#[case::no_request_of_an_earlier_priority(caller(0), nested(1), None)]
#[case::no_nested_call(nested(1), nested(1), None)]
#[case::no_nested_call_of_a_later_priority(nested(2), caller(1), None)]
fn full_queue_displaces(
    #[case] queued: AdmissionRequest,
    #[case] new: AdmissionRequest,
    #[case] displaced: Option<usize>,
) {
    let (mut guard, mut rng) = busy_guard();
    let waiting = [(); 2].map(|()| guard.offer(START, queued, &mut rng));
    let admit = guard.offer(START, new, &mut rng);
    assert!(matches!(admit, Admit::Queue(_)), "{admit:?}");
    let expected: Vec<Admit> = displaced.into_iter().map(|i| waiting[i]).collect();
    let displaced = guard.displaced();
    let displaced: Vec<Admit> = displaced.iter().map(|r| Admit::Queue(r.ticket)).collect();
    assert_eq!(displaced, expected);
}

#[rstest]
#[case::late_parent(Some(ms(0)), [1, 0])]
#[case::timely_parent(Some(ms(100)), [0, 1])]
#[case::unknown_parent(None, [0, 1])]
fn nested_call_starts_before_a_callers_request_unless_its_parent_is_late(
    #[case] parent_target: Option<Duration>,
    #[case] order: [usize; 2],
) {
    let (mut guard, mut rng) = busy_guard();
    let requests = [nested(0).with_parent_target(parent_target), caller(0)];
    let queued = requests.map(|request| match guard.offer(START, request, &mut rng) {
        Admit::Queue(ticket) => ticket,
        other => panic!("the request must be queued, got {other:?}"),
    });
    let limits = Limits::default();
    let started = guard.set_slots(START, 4, limits);
    assert_eq!(started, order.map(|i| queued[i]));
}

#[rstest]
#[case::half_of_the_time_left(nested(0), QueueWait::Full, 200)]
#[case::half_of_the_rest_of_the_parents_target(
    nested(0).with_parent_target(Some(ms(160))), QueueWait::Full, 80
)]
#[case::its_own_wait_beside_a_late_parent(
    nested(0).with_parent_target(Some(ms(0))), QueueWait::Full, 30
)]
#[case::briefly_while_another_guard_may_be_free(nested(0), QueueWait::Short, 6)]
#[case::callers_request_as_before(caller(0), QueueWait::Full, 30)]
#[case::callers_request_whatever_it_claims(
    caller(0).with_parent_target(Some(ms(400))), QueueWait::Full, 30
)]
fn request_waits(
    #[case] request: AdmissionRequest,
    #[case] queue_wait: QueueWait,
    #[case] expected_ms: u64,
) {
    let until = request.with_queue_wait(queue_wait).until(START, ms(500));
    assert_eq!(until, Instant::from_millis(expected_ms));
}

#[rstest]
#[case::request_with_its_deadline(1_000, Some((1, Some(400))))]
#[case::rounded_down_on_the_way(998, Some((1, Some(400))))]
#[case::aged_on_the_way(1_006, Some((1, Some(400))))]
#[case::most_urgent_of_several(1_500, Some((0, Some(600))))]
#[case::least_urgent_of_those_that_last_longer(900, Some((2, Some(900))))]
#[case::request_that_lasts_longer(1_200, Some((2, Some(900))))]
#[case::no_request_that_lasts_so_long(1_600, None)]
#[case::ended_request(1_700, None)]
fn nested_call_serves(#[case] due_ms: u64, #[case] expected: Option<(u8, Option<u64>)>) {
    let at = |ms| Deadline::at_instant(Instant::from_millis(ms));
    let rank = |(priority, target): (u8, Option<u64>)| ParentRank {
        priority: Priority(priority),
        target: target.map(Instant::from_millis),
    };
    let mut running = RunningRequests::default();
    for (due, of) in [
        (1_000, (1, Some(400))),
        (1_500, (2, Some(900))),
        (1_500, (0, None)),
        (1_501, (0, Some(600))),
    ] {
        running.start(at(due), rank(of));
    }
    let ended = running.start(at(1_700), rank((0, None)));
    ended.into_iter().for_each(|id| running.end(id));
    assert_eq!(running.parent(at(due_ms)), expected.map(rank));
}

#[test]
fn nested_calls_never_exceed_the_queue() {
    let (mut guard, mut rng) = busy_guard();
    let queue = AdmissionSettings::default().queue;
    for n in 0..2 * u64::from(queue) {
        let due = Deadline::new(START, ms(2_000 - n));
        let request = AdmissionRequest::new(due).with_origin(RequestOrigin::Backend);
        guard.offer(START, request.with_target(ms(500)), &mut rng);
    }
    assert!(guard.queued() <= queue, "{}", guard.queued());
}
