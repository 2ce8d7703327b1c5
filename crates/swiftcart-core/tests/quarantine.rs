//! Which requests are kept from backend servers, and what nodes tell each other of them.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use swiftcart_core::*;

const MINUTE: Duration = Duration::from_secs(60);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Returns the fingerprint of request `n`.
fn request(n: u64) -> Fingerprint {
    request_of(n, 1)
}

/// Returns the fingerprint of request `n` when the service `caller` sends it.
fn request_of(n: u64, caller: u16) -> Fingerprint {
    let request = RequestDigest {
        head: HeadHash(n),
        body: BodyHash::default(),
    };
    let caller = CallerHash(caller);
    Fingerprint { request, caller }
}

fn requests(numbers: &[u64]) -> Vec<Fingerprint> {
    numbers.iter().map(|n| request(*n)).collect()
}

/// Returns a quarantine that heard of one end a second: a word for each, and in it a digit for each
/// request that was running.
fn after(ends: &str) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (id, word) in (1..).zip(ends.split(' ')) {
        let numbers: Vec<u64> = word
            .chars()
            .filter_map(|c| c.to_digit(10))
            .map(u64::from)
            .collect();
        quarantine.crashed(at(id * 1000), CrashId(id), &requests(&numbers));
    }
    quarantine
}

/// Returns when the last of these ends was.
fn last(ends: &str) -> Instant {
    at(ends.split(' ').count() as u64 * 1000)
}

/// Returns which of the requests 1 to 9 are held a little after `ends`.
fn held(ends: &str) -> Vec<u64> {
    let quarantine = after(ends);
    let now = last(ends) + Duration::from_millis(10);
    let is_held = |n: &u64| quarantine.held(now, request(*n)).is_some();
    (1..=9).filter(is_held).collect()
}

#[rstest]
#[case::one_end("123", &[])]
#[case::two_ends("12 13", &[])]
#[case::three_ends_with_one_request_at_all("12 13 14", &[1])]
#[case::three_ends_with_two_requests_at_all("12 12 12", &[])]
#[case::the_end_that_tells_them_apart("12 12 12 1", &[1])]
#[case::four_ends_with_two_requests_at_all("12 12 12 12", &[1, 2])]
#[case::a_neighbour_of_three_ends("12 12 12 13 1", &[1])]
#[case::a_neighbour_of_four_ends("1 12 12 12 12", &[1])]
#[case::two_causes_at_ends_of_their_own("1 2 1 2 1 2", &[1, 2])]
#[case::two_causes_that_met_once("12 1 2 1 2 2 1", &[1, 2])]
#[case::the_lesser_of_two_causes_that_met("12 1 2 1 2 2", &[2])]
#[case::nobody_was_running("- - - -", &[])]
#[case::all_at_once_without_a_common_one("12 34 56 78", &[])]
fn is_held_after(#[case] ends: &str, #[case] expected: &[u64]) {
    assert_eq!(held(ends), expected);
}

/// Returns for which of three services request 1 is held after these ends, one for each service
/// that sent it.
fn held_for(callers: &[u16]) -> Vec<u16> {
    let mut quarantine = Quarantine::default();
    for (id, caller) in (1..).zip(callers) {
        quarantine.crashed(
            at(id),
            CrashId(id),
            &[request_of(1, *caller), request(id + 10)],
        );
    }
    let is_held = |caller: &u16| quarantine.held(at(99), request_of(1, *caller)).is_some();
    (1..=3).filter(is_held).collect()
}

#[rstest]
#[case::its_own_service(&[1, 1, 1], &[1])]
#[case::the_one_that_ended_many(&[2, 2, 2, 2, 2], &[2])]
#[case::every_service_once_a_second_one_ended_another(&[1, 1, 1, 2], &[1, 2, 3])]
#[case::every_service_when_they_take_turns(&[1, 2, 3], &[1, 2, 3])]
#[case::nobody_after_two(&[1, 2], &[])]
fn the_same_request_is_held_for(#[case] callers: &[u16], #[case] expected: &[u16]) {
    assert_eq!(held_for(callers), expected);
}

#[test]
fn what_runs_to_its_end_for_one_service_says_nothing_of_another() {
    let mut quarantine = after("1 1 1");
    quarantine.crashed(at(4000), CrashId(4), &[request_of(1, 2)]);
    assert!(quarantine.finished(at(5000), request_of(1, 2)));
    let held = |caller| quarantine.held(at(5001), request_of(1, caller)).is_some();
    assert_eq!([held(1), held(2), held(3)], [true, false, false]);
}

#[rstest]
#[case::one_end("12", &[])]
#[case::two_ends_alone("12 13", &[1])]
#[case::two_ends_beside_another("12 12", &[])]
#[case::a_neighbour_of_three("12 12 1", &[1])]
#[case::four_ends_beside_another("12 12 12 12", &[1, 2])]
fn is_not_tried_again_after(#[case] ends: &str, #[case] expected: &[u64]) {
    let quarantine = after(ends);
    let again = |n: &u64| quarantine.would_crash_again(request(*n).request);
    let again: Vec<u64> = (1..=3).filter(again).collect();
    assert_eq!(again, expected);
}

#[test]
fn an_end_is_counted_once_however_often_it_is_told() {
    let mut quarantine = Quarantine::default();
    for ms in 0..9 {
        quarantine.crashed(at(ms), CrashId(1), &requests(&[1]));
    }
    assert_eq!(quarantine.held(at(10), request(1)), None);
}

#[test]
fn who_runs_beside_a_held_request_is_not_blamed() {
    let mut quarantine = after("1 1 1");
    for id in 4..9 {
        quarantine.crashed(at(id * 1000), CrashId(id), &requests(&[1, 2]));
    }
    assert_eq!(quarantine.held(at(9000), request(2)), None);
    assert!(!quarantine.has_suspect(HeadHash(2)));
}

#[test]
fn who_has_run_to_its_end_is_not_suspected_any_more() {
    let mut quarantine = after("12 12");
    assert!(quarantine.finished(at(2500), request(2)));
    for id in 3..8 {
        quarantine.crashed(at(id * 1000), CrashId(id), &requests(&[2, 1]));
    }
    assert_eq!(quarantine.held(at(8000), request(2)), None);
    assert!(quarantine.held(at(8000), request(1)).is_some());
}

#[test]
fn who_was_held_wrongly_and_ran_after_all_is_let_go() {
    let mut quarantine = after("1 1 1");
    assert!(quarantine.finished(at(3500), request(1)));
    assert_eq!(quarantine.held(at(3501), request(1)), None);
}

#[test]
fn a_request_that_nobody_suspects_leaves_no_trace() {
    let mut quarantine = after("1");
    let before = quarantine.clone();
    assert!(!quarantine.finished(at(1500), request(5)));
    assert_eq!(quarantine, before);
}

#[rstest]
#[case::after_three(3, MINUTE)]
#[case::after_four(4, MINUTE * 2)]
#[case::after_five(5, MINUTE * 4)]
#[case::after_many(40, MINUTE * 60)]
fn the_time_doubles_with_each_end(#[case] ends: u64, #[case] expected: Duration) {
    let mut quarantine = Quarantine::default();
    for id in 1..=ends {
        quarantine.crashed(at(5), CrashId(id), &requests(&[1]));
    }
    assert_eq!(quarantine.held(at(5), request(1)), Some(expected));
}

#[test]
fn who_ends_another_one_when_its_time_is_over_is_held_at_once_and_longer() {
    let mut quarantine = after("1 1 1");
    let over = at(3000) + MINUTE;
    quarantine.sweep(over);
    assert_eq!(quarantine.held(over, request(1)), None);
    quarantine.crashed(over, CrashId(9), &requests(&[1, 2]));
    assert_eq!(quarantine.held(over, request(1)), Some(MINUTE * 2));
    assert_eq!(quarantine.held(over, request(2)), None);
}

#[rstest]
#[case::a_suspect("1", MINUTE)]
#[case::a_held_request("1 1 1", MINUTE * 2)]
fn nothing_is_left_after_its_time(#[case] ends: &str, #[case] time: Duration) {
    let mut quarantine = after(ends);
    quarantine.sweep(last(ends) + (time - Duration::from_millis(1)));
    assert!(!quarantine.is_empty());
    quarantine.sweep(last(ends) + time);
    assert_eq!(quarantine, Quarantine::default());
}

#[test]
fn what_is_kept_is_bounded_and_the_oldest_end_goes_first() {
    let mut quarantine = Quarantine::default();
    for id in 0..5_000_u64 {
        let many: Vec<Fingerprint> = (0..500).map(|n| request(id * 1000 + n)).collect();
        quarantine.crashed(at(id), CrashId(id), &many);
    }
    let all = quarantine.all(at(5_000));
    let prints = |finding: &Finding| match finding {
        Finding::Crashed { prints, .. } => prints.len(),
        Finding::Finished { .. } => 0,
    };
    assert!(all.iter().map(prints).sum::<usize>() <= 256 * 128);
    assert!(quarantine.has_suspect(HeadHash(4_999_000)));
    assert!(!quarantine.has_suspect(HeadHash(1)));
}

#[rstest]
#[case::a_crowd(40, 18)]
#[case::the_most_that_one_end_has(3, 500)]
fn every_message_fits_a_datagram(#[case] ends: u64, #[case] running: u64) {
    let mut quarantine = Quarantine::default();
    let mut rng = SmallRng::seed_from_u64(7);
    for id in 0..ends {
        let print = |_| Fingerprint {
            request: RequestDigest {
                head: HeadHash(rng.random()),
                body: BodyHash(rng.random()),
            },
            caller: CallerHash(rng.random()),
        };
        let prints: Vec<Fingerprint> = (0..running).map(print).collect();
        quarantine.crashed(at(0), CrashId(id), &prints);
    }
    let key = MeshKey::from_secret("some secret of thirty-two letters");
    let packed = Findings::pack(quarantine.digest(), quarantine.all(at(9)));
    let mut told = Quarantine::default();
    for findings in packed {
        let node = NodeId(([10, 0, 0, 1], 7000).into());
        let sealed = seal(&Datagram::Findings(findings), node, &key).unwrap();
        let (_, Datagram::Findings(findings)) = open(&sealed, &key).unwrap() else {
            panic!("another message");
        };
        told.merge(at(9), &findings.list);
    }
    assert_eq!(told.digest(), quarantine.digest());
}

#[test]
fn the_age_of_an_end_travels_along() {
    let mut told = Quarantine::default();
    let quarantine = after("1 1 1");
    // The other process has just started, so that the ends lie before its clock.
    told.merge(at(2), &quarantine.all(at(43_000)));
    assert_eq!(
        told.held(at(2), request(1)),
        Some(MINUTE - Duration::from_secs(40))
    );
}

#[test]
fn what_is_over_is_not_taken_from_others() {
    let mut told = Quarantine::default();
    let quarantine = after("1 1 1");
    told.merge(at(2), &quarantine.all(at(3_000) + MINUTE * 60));
    assert!(told.is_empty());
}

/// Plays how nodes tell each other: each round goes to three random ones, a part of the datagrams
/// is lost; and each second everyone compares with one other.
struct Spread {
    nodes: Vec<Quarantine>,
    rng: SmallRng,
    loss: f64,
    sent: usize,
}

impl Spread {
    fn new(count: usize, loss: f64) -> Self {
        Self {
            nodes: vec![Quarantine::default(); count],
            rng: SmallRng::seed_from_u64(3),
            loss,
            sent: 0,
        }
    }

    fn send(&mut self, now: Instant, to: usize, findings: &Findings) -> bool {
        self.sent += 1;
        let arrives = !self.rng.random_bool(self.loss);
        if arrives {
            self.nodes[to].merge(now, &findings.list);
        }
        arrives
    }

    fn round(&mut self, now: Instant) {
        let places: Vec<usize> = (0..self.nodes.len()).collect();
        for from in &places {
            let due = self.nodes[*from].due_findings(now).list;
            let digest = self.nodes[*from].digest();
            for findings in Findings::pack(digest, due) {
                let told: Vec<usize> = places.choose_multiple(&mut self.rng, 3).copied().collect();
                for to in told {
                    self.send(now, to, &findings);
                }
            }
        }
    }

    fn compare(&mut self, now: Instant) {
        for from in 0..self.nodes.len() {
            let to = self.rng.random_range(0..self.nodes.len());
            if self.nodes[from].is_empty() {
                continue;
            }
            let mine = self.nodes[from].summary();
            let question = match self.send(now, to, &mine) {
                true => self.nodes[to].sync_request(&mine),
                false => None,
            };
            if question.is_some_and(|question| question.asks) {
                self.tell_all(now, from, to);
            }
        }
    }

    fn tell_all(&mut self, now: Instant, from: usize, to: usize) {
        let (digest, all) = (self.nodes[from].digest(), self.nodes[from].all(now));
        for findings in Findings::pack(digest, all) {
            self.send(now, to, &findings);
        }
    }

    /// Starts a node anew, which asks three others what they know.
    fn restart(&mut self, now: Instant, place: usize) {
        self.nodes[place] = Quarantine::default();
        assert!(self.nodes[place].full_sync().asks);
        for _ in 0..3 {
            let asked = self.rng.random_range(0..self.nodes.len());
            self.tell_all(now, asked, place);
        }
    }

    fn know(&self, now: Instant) -> usize {
        let knows = |node: &&Quarantine| node.held(now, request(1)).is_some();
        self.nodes.iter().filter(knows).count()
    }
}

#[rstest]
#[case::thirteen_nodes(13, 0.0)]
#[case::three_hundred_nodes(300, 0.0)]
#[case::three_hundred_nodes_and_a_tenth_lost(300, 0.1)]
#[case::a_thousand_nodes(1_000, 0.03)]
fn all_nodes_know_within_a_second_and_a_half(#[case] count: usize, #[case] loss: f64) {
    let mut spread = Spread::new(count, loss);
    for id in 1..=3_u64 {
        spread.nodes[id as usize].crashed(at(0), CrashId(id), &requests(&[1, 10 + id]));
    }
    for round in 1..=10 {
        spread.round(at(round * 100));
    }
    let early = spread.know(at(1000));
    assert!(
        early >= count * 99 / 100,
        "{early} of {count} after a second"
    );
    spread.compare(at(1100));
    spread.compare(at(1500));
    assert_eq!(spread.know(at(1500)), count);
    let each = spread.sent as f64 / count as f64;
    assert!(each <= 32.0, "{each} datagrams a node for three ends");
}

#[test]
fn who_starts_later_learns_it_from_whom_it_asks() {
    let mut spread = Spread::new(20, 0.0);
    for id in 1..=3_u64 {
        spread.nodes[0].crashed(at(0), CrashId(id), &requests(&[1]));
    }
    for round in 1..=10 {
        spread.round(at(round * 100));
    }
    spread.restart(at(2000), 7);
    assert!(spread.nodes[7].held(at(2000), request(1)).is_some());
}

#[test]
fn equal_nodes_ask_nothing_and_a_question_is_not_answered_with_another() {
    let (one, other) = (after("1"), after("1"));
    assert_eq!(other.sync_request(&one.summary()), None);
    let empty = Quarantine::default();
    let question = empty.sync_request(&one.summary()).unwrap();
    assert!(question.asks);
    assert_eq!(one.sync_request(&question), None);
}

#[test]
fn a_memo_holds_the_request_for_the_time_that_was_left() {
    let written = after("12 12 1 1");
    let memo = written
        .record(at(14_000), 1_000_000, request(1).request)
        .unwrap();
    let mut anew = Quarantine::default();
    anew.merge(at(5), &memo.findings(1_030_000).unwrap());
    let left = Duration::from_secs(120 - 10 - 30);
    assert_eq!(anew.held(at(5), request(1)), Some(left));
    assert_eq!(anew.held(at(5), request(2)), None);
    assert_eq!(
        memo.findings(1_000_000 + 110_000 + 60_000),
        None,
        "it is over"
    );
}

#[rstest]
#[case::a_request_that_is_not_held("1 1", 1)]
#[case::one_that_nobody_suspects("1 1 1", 2)]
fn there_is_no_memo_of(#[case] ends: &str, #[case] n: u64) {
    assert_eq!(after(ends).record(at(4_000), 0, request(n).request), None);
}

#[test]
fn who_heard_of_all_ends_from_others_leaves_the_memo_to_them() {
    let mut told = Quarantine::default();
    told.merge(at(9), &after("1 1 1").all(at(3_500)));
    assert!(told.held(at(9), request(1)).is_some());
    assert_eq!(told.record(at(9), 0, request(1).request), None);
}
