//! Long answers on a short link: what a guard takes, and how long others wait behind them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use swiftcart_core::*;

/// A link of 15 Mbit/s carries an answer of 90 kB in 48 ms.
const RATE: LinkRate = LinkRate { kbit_s: 15_000 };
const LONG_BYTES: u64 = 90_000;
const SHORT_BYTES: u64 = 2_000;

/// The time in which the backend server makes an answer, long or short.
const MADE_MS: u64 = 200;

/// The milliseconds that a load is played for.
const PLAYED_MS: u64 = 20_000;

/// What came of a load.
#[derive(Debug, Default)]
struct Played {
    long: u32,
    short: u32,
    refused_short: u32,
    /// The times that short answers waited for the link, in milliseconds.
    waits: Vec<u64>,
}

impl Played {
    fn p90(&mut self) -> u64 {
        self.waits.sort_unstable();
        self.waits[self.waits.len() * 9 / 10]
    }
}

/// Plays `long_s` long and `short_s` short requests a second at one guard of 18 slots, whose
/// admission knows the link's rate or not.
fn play(known: Option<LinkRate>, long_s: f64, short_s: f64) -> Played {
    let mut rng = SmallRng::seed_from_u64(7);
    let settings = AdmissionSettings {
        link: known,
        ..AdmissionSettings::default()
    };
    let mut guard = Admission::new(Instant::from_millis(0), settings).with_slots(18);
    let mut link = Link::new(RATE);
    let mut played = Played::default();
    let mut waiting: HashMap<Ticket, bool> = HashMap::new();
    let mut ending: BinaryHeap<Reverse<(u64, Ticket, bool)>> = BinaryHeap::new();
    for ms in 0..PLAYED_MS {
        let now = Instant::from_millis(ms);
        while let Some(Reverse((_, ticket, long))) = ending.peek().copied().filter(|e| e.0.0 <= ms)
        {
            ending.pop();
            if long {
                guard.head(ticket, now, LONG_BYTES);
                link.sent(now, LONG_BYTES);
                played.long += 1;
            } else {
                played.waits.push(link.delay(now).as_millis() as u64);
                link.sent(now, SHORT_BYTES);
                played.short += 1;
            }
            let sample = Sample::new(Duration::from_millis(MADE_MS), CallResult::Success);
            guard.set_link_delay(link.delay(now));
            for started in guard.done(ticket, now, &sample) {
                let long = waiting.remove(&started).expect("it waited");
                ending.push(Reverse((ms + MADE_MS, started, long)));
            }
        }
        for refused in guard.expire(now, &mut rng) {
            let long = waiting.remove(&refused.ticket).expect("it waited");
            played.refused_short += u32::from(!long);
        }
        for (long, rate) in [(true, long_s), (false, short_s)] {
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
                Admit::Run(ticket) => ending.push(Reverse((ms + MADE_MS, ticket, long))),
                Admit::Queue(ticket) => {
                    waiting.insert(ticket, long);
                }
                Admit::Refuse(refusal) if long => {
                    assert!(refusal.retry_after.is_some() || refusal.reason != Reason::LinkBusy);
                }
                Admit::Refuse(_) => played.refused_short += 1,
            }
            for refused in guard.displaced() {
                let long = waiting.remove(&refused.ticket).expect("it waited");
                played.refused_short += u32::from(!long);
            }
        }
    }
    played
}

#[test]
fn short_answers_hardly_wait_behind_more_long_ones_than_the_link_carries() {
    let mut bound = play(Some(RATE), 40.0, 25.0);
    let mut unbound = play(None, 40.0, 25.0);
    let (bound_ms, unbound_ms) = (bound.p90(), unbound.p90());
    assert!(bound_ms <= 150, "{bound_ms} ms");
    assert!(unbound_ms >= 1000, "{unbound_ms} ms without the bound");
    assert!(bound.refused_short <= unbound.refused_short);
    assert!(bound.short >= unbound.short);
}

#[test]
fn a_short_link_is_kept_busy_with_long_answers() {
    let played = play(Some(RATE), 40.0, 0.0);
    let carried = f64::from(played.long) * RATE.time(LONG_BYTES as f64).as_secs_f64();
    let share = carried / Duration::from_millis(PLAYED_MS).as_secs_f64();
    assert!(share >= 0.85, "{share}");
}

#[rstest]
#[case::over_a_fast_link(Some(LinkRate { kbit_s: 1_000_000 }))]
#[case::over_a_link_of_unknown_rate(None)]
fn nothing_is_bound(#[case] known: Option<LinkRate>) {
    let mut guard = EgressLimiter::new(known);
    for _ in 0..40 {
        assert!(guard.has_room(Duration::ZERO));
        guard.begin();
        guard.head(Duration::from_millis(MADE_MS), LONG_BYTES);
    }
}

#[test]
fn a_link_of_no_rate_at_all_is_not_divided_by() {
    let mut link = Link::new(LinkRate { kbit_s: 0 });
    link.sent(Instant::from_millis(0), 1_000);
    assert!(link.delay(Instant::from_millis(0)) > Duration::ZERO);
}

#[test]
fn what_waits_for_the_link_goes_before_a_later_request() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (at, ms) = (Instant::from_millis, Duration::from_millis);
    let settings = AdmissionSettings {
        link: Some(RATE),
        ..AdmissionSettings::default()
    };
    let mut guard = Admission::new(at(0), settings).with_slots(18);
    let request = |now| {
        AdmissionRequest::new(Deadline::new(now, Duration::from_secs(5)))
            .with_target(ms(1000))
            .with_response_length(ResponseLength::Long)
    };
    let Admit::Run(first) = guard.offer(at(0), request(at(0)), &mut rng) else {
        panic!("there is room")
    };
    guard.head(first, at(10), LONG_BYTES);
    guard.set_link_delay(ms(60));
    let Admit::Queue(waiting) = guard.offer(at(10), request(at(10)), &mut rng) else {
        panic!("the link is busy")
    };
    assert_eq!(guard.resume(at(20)), []);
    guard.done(first, at(30), &Sample::new(ms(30), CallResult::Success));
    guard.set_link_delay(Duration::ZERO);
    assert_eq!(guard.resume(at(70)), [waiting]);
}
