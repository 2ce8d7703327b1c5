//! Tests of long responses on a slow link: their admission, and the delay of other responses.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use swiftcart_core::*;

/// Link rate of 15 Mbit/s, at which a response of 90 kB takes 48 ms.
const LINK_RATE: LinkRate = LinkRate { kbit_s: 15_000 };
const LONG_BYTES: u64 = 90_000;
const SHORT_BYTES: u64 = 2_000;

/// Service time of the backend server in milliseconds, for long and short responses.
const SERVICE_MS: u64 = 200;

/// Duration of the simulated load in milliseconds.
const DURATION_MS: u64 = 20_000;

/// Result of a simulated load.
#[derive(Debug, Default)]
struct Outcome {
    long: u32,
    short: u32,
    refused_short: u32,
    /// Delays of short responses by the link, in milliseconds.
    waits: Vec<u64>,
}

impl Outcome {
    fn p90(&mut self) -> u64 {
        self.waits.sort_unstable();
        self.waits[self.waits.len() * 9 / 10]
    }
}

/// Simulates requests with long and short responses at one guard with 18 slots.
///
/// `known` is the link rate known to admission control. `long_rate` and `short_rate` are requests
/// per second.
fn simulate(known: Option<LinkRate>, long_rate: f64, short_rate: f64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(7);
    let settings = AdmissionSettings {
        link: known,
        ..AdmissionSettings::default()
    };
    let mut guard = Admission::new(Instant::from_millis(0), settings).with_slots(18);
    let mut link = Link::new(LINK_RATE);
    let mut outcome = Outcome::default();
    let mut waiting: HashMap<Ticket, bool> = HashMap::new();
    let mut running: BinaryHeap<Reverse<(u64, Ticket, bool)>> = BinaryHeap::new();
    for ms in 0..DURATION_MS {
        let now = Instant::from_millis(ms);
        while let Some(Reverse((_, ticket, long))) = running.peek().copied().filter(|e| e.0.0 <= ms)
        {
            running.pop();
            if long {
                guard.head(ticket, now, LONG_BYTES);
                link.sent(now, LONG_BYTES);
                outcome.long += 1;
            } else {
                outcome.waits.push(link.delay(now).as_millis() as u64);
                link.sent(now, SHORT_BYTES);
                outcome.short += 1;
            }
            let sample = Sample::new(Duration::from_millis(SERVICE_MS), CallResult::Success);
            guard.set_link_delay(link.delay(now));
            for started in guard.done(ticket, now, &sample) {
                let long = waiting.remove(&started).expect("the request was queued");
                running.push(Reverse((ms + SERVICE_MS, started, long)));
            }
        }
        for refused in guard.expire(now, &mut rng) {
            let long = waiting
                .remove(&refused.ticket)
                .expect("the request was queued");
            outcome.refused_short += u32::from(!long);
        }
        for (long, rate) in [(true, long_rate), (false, short_rate)] {
            if rng.random::<f64>() >= rate / 1000.0 {
                continue;
            }
            guard.set_link_delay(link.delay(now));
            let request = AdmissionRequest::new(Deadline::new(now, Duration::from_secs(5)))
                .with_target(Duration::from_millis(if long { 1000 } else { 600 }))
                .with_response_length(if long {
                    ResponseLength::Long
                } else {
                    ResponseLength::Short
                });
            match guard.offer(now, request, &mut rng) {
                Admit::Run(ticket) => running.push(Reverse((ms + SERVICE_MS, ticket, long))),
                Admit::Queue(ticket) => {
                    waiting.insert(ticket, long);
                }
                Admit::Refuse(refusal) if long => {
                    assert!(refusal.retry_after.is_some() || refusal.reason != Reason::LinkBusy);
                }
                Admit::Refuse(_) => outcome.refused_short += 1,
            }
            for refused in guard.displaced() {
                let long = waiting
                    .remove(&refused.ticket)
                    .expect("the request was queued");
                outcome.refused_short += u32::from(!long);
            }
        }
    }
    outcome
}

#[test]
fn short_responses_are_hardly_delayed_by_long_ones_beyond_link_capacity() {
    let mut limited = simulate(Some(LINK_RATE), 40.0, 25.0);
    let mut unlimited = simulate(None, 40.0, 25.0);
    let (limited_ms, unlimited_ms) = (limited.p90(), unlimited.p90());
    assert!(limited_ms <= 150, "{limited_ms} ms");
    assert!(
        unlimited_ms >= 1000,
        "{unlimited_ms} ms without the limiter"
    );
    assert!(limited.refused_short <= unlimited.refused_short);
    assert!(limited.short >= unlimited.short);
}

#[test]
fn slow_link_is_kept_busy_with_long_responses() {
    let outcome = simulate(Some(LINK_RATE), 40.0, 0.0);
    let carried = f64::from(outcome.long) * LINK_RATE.time(LONG_BYTES as f64).as_secs_f64();
    let share = carried / Duration::from_millis(DURATION_MS).as_secs_f64();
    assert!(share >= 0.85, "{share}");
}

#[rstest]
#[case::on_a_fast_link(Some(LinkRate { kbit_s: 1_000_000 }))]
#[case::on_a_link_of_unknown_rate(None)]
fn limiter_has_no_effect(#[case] known: Option<LinkRate>) {
    let mut limiter = EgressLimiter::new(known);
    for _ in 0..40 {
        assert!(limiter.has_room(Duration::ZERO));
        limiter.begin();
        limiter.head(Duration::from_millis(SERVICE_MS), LONG_BYTES);
    }
}

#[test]
fn link_of_rate_zero_does_not_divide_by_zero() {
    let mut link = Link::new(LinkRate { kbit_s: 0 });
    link.sent(Instant::from_millis(0), 1_000);
    assert!(link.delay(Instant::from_millis(0)) > Duration::ZERO);
}

#[test]
fn request_queued_for_the_link_starts_when_the_link_is_free() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (at, ms) = (Instant::from_millis, Duration::from_millis);
    let settings = AdmissionSettings {
        link: Some(LINK_RATE),
        ..AdmissionSettings::default()
    };
    let mut guard = Admission::new(at(0), settings).with_slots(18);
    let request = |now| {
        AdmissionRequest::new(Deadline::new(now, Duration::from_secs(5)))
            .with_target(ms(1000))
            .with_response_length(ResponseLength::Long)
    };
    let Admit::Run(first) = guard.offer(at(0), request(at(0)), &mut rng) else {
        panic!("the link must be free")
    };
    guard.head(first, at(10), LONG_BYTES);
    guard.set_link_delay(ms(60));
    let Admit::Queue(waiting) = guard.offer(at(10), request(at(10)), &mut rng) else {
        panic!("the link must be busy")
    };
    assert_eq!(guard.resume(at(20)), []);
    guard.done(first, at(30), &Sample::new(ms(30), CallResult::Success));
    guard.set_link_delay(Duration::ZERO);
    assert_eq!(guard.resume(at(70)), [waiting]);
}
