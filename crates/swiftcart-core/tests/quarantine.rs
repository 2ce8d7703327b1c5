//! Tests of the quarantine of requests that crash backend servers, and of its gossip.
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

/// Returns the fingerprint of request `n` from the service `caller`.
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

/// Returns a quarantine that has recorded one crash per second.
///
/// `crashes` has a word for each crash, with a digit for each request that was running.
fn quarantine_after(crashes: &str) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (id, word) in (1..).zip(crashes.split(' ')) {
        let numbers: Vec<u64> = word
            .chars()
            .filter_map(|c| c.to_digit(10))
            .map(u64::from)
            .collect();
        quarantine.crashed(at(id * 1000), CrashId(id), &requests(&numbers));
    }
    quarantine
}

/// Returns the time of the last of these crashes.
fn last_crash(crashes: &str) -> Instant {
    at(crashes.split(' ').count() as u64 * 1000)
}

/// Returns the requests among 1 to 9 that are held 10 ms after the last of `crashes`.
fn held(crashes: &str) -> Vec<u64> {
    let quarantine = quarantine_after(crashes);
    let now = last_crash(crashes) + Duration::from_millis(10);
    let is_held = |n: &u64| quarantine.held(now, request(*n)).is_some();
    (1..=9).filter(is_held).collect()
}

#[rstest]
#[case::one_crash("123", &[])]
#[case::two_crashes("12 13", &[])]
#[case::three_crashes_with_one_common_request("12 13 14", &[1])]
#[case::three_crashes_with_two_common_requests("12 12 12", &[])]
#[case::a_fourth_crash_with_only_one_of_them("12 12 12 1", &[1])]
#[case::four_crashes_with_two_common_requests("12 12 12 12", &[1, 2])]
#[case::a_concurrent_request_at_three_crashes("12 12 12 13 1", &[1])]
#[case::a_concurrent_request_at_four_crashes("1 12 12 12 12", &[1])]
#[case::two_causes_at_separate_crashes("1 2 1 2 1 2", &[1, 2])]
#[case::two_causes_with_one_shared_crash("12 1 2 1 2 2 1", &[1, 2])]
#[case::only_the_cause_with_more_crashes("12 1 2 1 2 2", &[2])]
#[case::no_request_running("- - - -", &[])]
#[case::no_common_request("12 34 56 78", &[])]
fn requests_are_held_after(#[case] crashes: &str, #[case] expected: &[u64]) {
    assert_eq!(held(crashes), expected);
}

/// Returns the services among 1 to 3 for which request 1 is held after one crash for each of
/// `callers`.
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
#[case::the_only_caller(&[1, 1, 1], &[1])]
#[case::the_only_caller_after_five_crashes(&[2, 2, 2, 2, 2], &[2])]
#[case::all_callers_after_a_crash_by_a_second_one(&[1, 1, 1, 2], &[1, 2, 3])]
#[case::all_callers_after_one_crash_each(&[1, 2, 3], &[1, 2, 3])]
#[case::no_caller_after_two_crashes(&[1, 2], &[])]
fn a_request_is_held_for(#[case] callers: &[u16], #[case] expected: &[u16]) {
    assert_eq!(held_for(callers), expected);
}

#[test]
fn completing_for_one_caller_does_not_clear_another() {
    let mut quarantine = quarantine_after("1 1 1");
    quarantine.crashed(at(4000), CrashId(4), &[request_of(1, 2)]);
    assert!(quarantine.finished(at(5000), request_of(1, 2)));
    let held = |caller| quarantine.held(at(5001), request_of(1, caller)).is_some();
    assert_eq!([held(1), held(2), held(3)], [true, false, false]);
}

#[rstest]
#[case::one_crash("12", &[])]
#[case::two_crashes_with_one_common_request("12 13", &[1])]
#[case::two_crashes_with_two_common_requests("12 12", &[])]
#[case::a_concurrent_request_at_two_of_three("12 12 1", &[1])]
#[case::four_crashes_with_two_common_requests_stop_both("12 12 12 12", &[1, 2])]
fn requests_are_not_retried_after(#[case] crashes: &str, #[case] expected: &[u64]) {
    let quarantine = quarantine_after(crashes);
    let again = |n: &u64| quarantine.would_crash_again(request(*n).request);
    let again: Vec<u64> = (1..=3).filter(again).collect();
    assert_eq!(again, expected);
}

#[test]
fn a_repeated_crash_report_is_counted_once() {
    let mut quarantine = Quarantine::default();
    for ms in 0..9 {
        quarantine.crashed(at(ms), CrashId(1), &requests(&[1]));
    }
    assert_eq!(quarantine.held(at(10), request(1)), None);
}

#[test]
fn a_request_running_beside_a_held_one_is_not_suspected() {
    let mut quarantine = quarantine_after("1 1 1");
    for id in 4..9 {
        quarantine.crashed(at(id * 1000), CrashId(id), &requests(&[1, 2]));
    }
    assert_eq!(quarantine.held(at(9000), request(2)), None);
    assert!(!quarantine.has_suspect(HeadHash(2)));
}

#[test]
fn a_completed_request_is_not_suspected_again() {
    let mut quarantine = quarantine_after("12 12");
    assert!(quarantine.finished(at(2500), request(2)));
    for id in 3..8 {
        quarantine.crashed(at(id * 1000), CrashId(id), &requests(&[2, 1]));
    }
    assert_eq!(quarantine.held(at(8000), request(2)), None);
    assert!(quarantine.held(at(8000), request(1)).is_some());
}

#[test]
fn a_held_request_that_completes_is_released() {
    let mut quarantine = quarantine_after("1 1 1");
    assert!(quarantine.finished(at(3500), request(1)));
    assert_eq!(quarantine.held(at(3501), request(1)), None);
}

#[test]
fn a_completed_request_that_is_no_suspect_is_not_recorded() {
    let mut quarantine = quarantine_after("1");
    let before = quarantine.clone();
    assert!(!quarantine.finished(at(1500), request(5)));
    assert_eq!(quarantine, before);
}

#[rstest]
#[case::three_crashes(3, MINUTE)]
#[case::four_crashes(4, MINUTE * 2)]
#[case::five_crashes(5, MINUTE * 4)]
#[case::many_crashes_reach_the_maximum(40, MINUTE * 60)]
fn the_hold_doubles_with_each_crash(#[case] crashes: u64, #[case] expected: Duration) {
    let mut quarantine = Quarantine::default();
    for id in 1..=crashes {
        quarantine.crashed(at(5), CrashId(id), &requests(&[1]));
    }
    assert_eq!(quarantine.held(at(5), request(1)), Some(expected));
}

#[test]
fn a_crash_after_the_hold_starts_a_longer_hold_at_once() {
    let mut quarantine = quarantine_after("1 1 1");
    let hold_end = at(3000) + MINUTE;
    quarantine.sweep(hold_end);
    assert_eq!(quarantine.held(hold_end, request(1)), None);
    quarantine.crashed(hold_end, CrashId(9), &requests(&[1, 2]));
    assert_eq!(quarantine.held(hold_end, request(1)), Some(MINUTE * 2));
    assert_eq!(quarantine.held(hold_end, request(2)), None);
}

#[rstest]
#[case::a_suspect("1", MINUTE)]
#[case::a_held_request("1 1 1", MINUTE * 2)]
fn entries_expire_after(#[case] crashes: &str, #[case] retention: Duration) {
    let mut quarantine = quarantine_after(crashes);
    quarantine.sweep(last_crash(crashes) + (retention - Duration::from_millis(1)));
    assert!(!quarantine.is_empty());
    quarantine.sweep(last_crash(crashes) + retention);
    assert_eq!(quarantine, Quarantine::default());
}

#[test]
fn stored_suspects_are_bounded_and_the_oldest_crash_is_evicted() {
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
#[case::many_crashes(40, 18)]
#[case::more_requests_than_one_crash_keeps(3, 500)]
fn every_message_fits_into_a_datagram(#[case] crashes: u64, #[case] running: u64) {
    let mut quarantine = Quarantine::default();
    let mut rng = SmallRng::seed_from_u64(7);
    for id in 0..crashes {
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
    let mut receiver = Quarantine::default();
    for findings in packed {
        let node = NodeId(([10, 0, 0, 1], 7000).into());
        let sealed = seal(&Datagram::Findings(findings), node, &key).unwrap();
        let (_, Datagram::Findings(findings)) = open(&sealed, &key).unwrap() else {
            panic!("not a findings message");
        };
        receiver.merge(at(9), &findings.list);
    }
    assert_eq!(receiver.digest(), quarantine.digest());
}

#[test]
fn findings_carry_the_age_of_a_crash() {
    let mut receiver = Quarantine::default();
    let quarantine = quarantine_after("1 1 1");
    // The receiver has just started, so that the crashes lie before the start of its clock.
    receiver.merge(at(2), &quarantine.all(at(43_000)));
    assert_eq!(
        receiver.held(at(2), request(1)),
        Some(MINUTE - Duration::from_secs(40))
    );
}

#[test]
fn expired_findings_are_not_merged() {
    let mut receiver = Quarantine::default();
    let quarantine = quarantine_after("1 1 1");
    receiver.merge(at(2), &quarantine.all(at(3_000) + MINUTE * 60));
    assert!(receiver.is_empty());
}

/// Simulation of the gossip between nodes with packet loss.
///
/// Each node sends its findings to three random nodes per round, and runs an anti-entropy exchange
/// with one random node on each call of `compare`.
struct GossipSimulation {
    nodes: Vec<Quarantine>,
    rng: SmallRng,
    loss: f64,
    sent: usize,
}

impl GossipSimulation {
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
        let indices: Vec<usize> = (0..self.nodes.len()).collect();
        for from in &indices {
            let due = self.nodes[*from].due_findings(now).list;
            let digest = self.nodes[*from].digest();
            for findings in Findings::pack(digest, due) {
                let targets: Vec<usize> =
                    indices.choose_multiple(&mut self.rng, 3).copied().collect();
                for to in targets {
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
            let summary = self.nodes[from].summary();
            let sync_request = match self.send(now, to, &summary) {
                true => self.nodes[to].sync_request(&summary),
                false => None,
            };
            if sync_request.is_some_and(|request| request.asks) {
                self.send_all(now, from, to);
            }
        }
    }

    fn send_all(&mut self, now: Instant, from: usize, to: usize) {
        let (digest, all) = (self.nodes[from].digest(), self.nodes[from].all(now));
        for findings in Findings::pack(digest, all) {
            self.send(now, to, &findings);
        }
    }

    /// Restarts a node, which requests all findings of three other nodes.
    fn restart(&mut self, now: Instant, index: usize) {
        self.nodes[index] = Quarantine::default();
        assert!(self.nodes[index].full_sync().asks);
        for _ in 0..3 {
            let peer = self.rng.random_range(0..self.nodes.len());
            self.send_all(now, peer, index);
        }
    }

    fn count_holding(&self, now: Instant) -> usize {
        let is_holding = |node: &&Quarantine| node.held(now, request(1)).is_some();
        self.nodes.iter().filter(is_holding).count()
    }
}

#[rstest]
#[case::thirteen_nodes(13, 0.0)]
#[case::three_hundred_nodes(300, 0.0)]
#[case::three_hundred_nodes_with_a_tenth_lost(300, 0.1)]
#[case::a_thousand_nodes(1_000, 0.03)]
fn all_nodes_hold_a_request_within_a_second_and_a_half(#[case] count: usize, #[case] loss: f64) {
    let mut mesh = GossipSimulation::new(count, loss);
    for id in 1..=3_u64 {
        mesh.nodes[id as usize].crashed(at(0), CrashId(id), &requests(&[1, 10 + id]));
    }
    for round in 1..=10 {
        mesh.round(at(round * 100));
    }
    let early = mesh.count_holding(at(1000));
    assert!(
        early >= count * 99 / 100,
        "{early} of {count} nodes hold the request after one second"
    );
    mesh.compare(at(1100));
    mesh.compare(at(1500));
    assert_eq!(mesh.count_holding(at(1500)), count);
    let each = mesh.sent as f64 / count as f64;
    assert!(each <= 32.0, "{each} datagrams per node for three crashes");
}

#[test]
fn a_restarted_node_gets_the_findings_from_its_peers() {
    let mut mesh = GossipSimulation::new(20, 0.0);
    for id in 1..=3_u64 {
        mesh.nodes[0].crashed(at(0), CrashId(id), &requests(&[1]));
    }
    for round in 1..=10 {
        mesh.round(at(round * 100));
    }
    mesh.restart(at(2000), 7);
    assert!(mesh.nodes[7].held(at(2000), request(1)).is_some());
}

#[test]
fn only_a_summary_with_another_digest_causes_a_sync_request() {
    let (one, other) = (quarantine_after("1"), quarantine_after("1"));
    assert_eq!(other.sync_request(&one.summary()), None);
    let empty = Quarantine::default();
    let sync_request = empty.sync_request(&one.summary()).unwrap();
    assert!(sync_request.asks);
    assert_eq!(one.sync_request(&sync_request), None);
}

#[test]
fn a_record_restores_the_remaining_hold_time() {
    let writer = quarantine_after("12 12 1 1");
    let record = writer
        .record(at(14_000), 1_000_000, request(1).request)
        .unwrap();
    let mut restarted = Quarantine::default();
    restarted.merge(at(5), &record.findings(1_030_000).unwrap());
    let left = Duration::from_secs(120 - 10 - 30);
    assert_eq!(restarted.held(at(5), request(1)), Some(left));
    assert_eq!(restarted.held(at(5), request(2)), None);
    assert_eq!(
        record.findings(1_000_000 + 110_000 + 60_000),
        None,
        "the record has expired"
    );
}

#[rstest]
#[case::a_request_that_is_not_held("1 1", 1)]
#[case::a_request_that_is_no_suspect("1 1 1", 2)]
fn no_record_is_written_for(#[case] crashes: &str, #[case] n: u64) {
    assert_eq!(
        quarantine_after(crashes).record(at(4_000), 0, request(n).request),
        None
    );
}

#[test]
fn a_node_that_saw_no_crash_itself_writes_no_record() {
    let mut receiver = Quarantine::default();
    receiver.merge(at(9), &quarantine_after("1 1 1").all(at(3_500)));
    assert!(receiver.held(at(9), request(1)).is_some());
    assert_eq!(receiver.record(at(9), 0, request(1).request), None);
}
