//! Tests of the detection of backend server crashes and of the requests that they ended.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;
use swiftcart_core::{Crash, CrashDetector, CrashId, Instant, RunId};

const ID: CrashId = CrashId(1);
const LATER: CrashId = CrashId(2);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Returns a detector with two requests that were handed over at 0 and 10 ms.
fn two_requests() -> (CrashDetector<&'static str>, RunId, RunId) {
    let mut detector = CrashDetector::default();
    let first = detector.start(at(0), "first");
    let second = detector.start(at(10), "second");
    (detector, first, second)
}

fn crash(id: CrashId, runs: &[&'static str]) -> Option<Crash<&'static str>> {
    let runs = runs.to_vec();
    Some(Crash { id, runs })
}

#[test]
fn a_crash_includes_lost_and_running_requests() {
    let (mut detector, first, _) = two_requests();
    assert_eq!(detector.answer_lost(at(20), first), None);
    assert_eq!(
        detector.connect_refused(at(21), ID),
        crash(ID, &["first", "second"])
    );
    assert!(detector.has_ended());
}

#[test]
fn an_answer_lost_after_the_crash_gets_the_same_crash_id() {
    let (mut detector, first, second) = two_requests();
    detector.answer_lost(at(20), first);
    assert_eq!(detector.replaced(at(21), ID), crash(ID, &["first"]));
    assert_eq!(detector.answer_lost(at(22), second), crash(ID, &["second"]));
}

#[test]
fn a_crash_is_reported_once() {
    let (mut detector, first, _) = two_requests();
    detector.answer_lost(at(20), first);
    detector.connect_refused(at(21), ID);
    assert_eq!(detector.connect_refused(at(22), LATER), None);
    assert_eq!(detector.replaced(at(4_000), LATER), None);
}

#[rstest]
#[case::soon_after_the_handover(20)]
#[case::long_after_the_handover(60_000)]
fn a_lost_answer_alone_is_not_a_crash(#[case] ms: u64) {
    let (mut detector, first, _) = two_requests();
    assert_eq!(detector.answer_lost(at(ms), first), None);
    assert!(!detector.has_ended());
}

#[test]
fn a_refused_connection_without_a_lost_answer_is_not_a_crash() {
    let (mut detector, _, _) = two_requests();
    assert_eq!(detector.connect_refused(at(20), ID), None);
    assert!(!detector.has_ended());
}

#[test]
fn an_answer_to_a_later_request_clears_the_lost_one() {
    let (mut detector, first, second) = two_requests();
    detector.answer_lost(at(20), first);
    let third = detector.start(at(21), "third");
    detector.answered(third);
    assert_eq!(
        detector.connect_refused(at(30), ID),
        None,
        "the lost answer is cleared"
    );
    detector.answer_lost(at(31), second);
    assert_eq!(detector.connect_refused(at(32), ID), crash(ID, &["second"]));
}

#[test]
fn an_answer_to_an_earlier_request_does_not_clear_the_lost_one() {
    let (mut detector, first, second) = two_requests();
    detector.answer_lost(at(20), second);
    detector.answered(first);
    assert_eq!(detector.connect_refused(at(21), ID), crash(ID, &["second"]));
}

#[test]
fn the_end_after_a_shutdown_notice_is_not_a_crash() {
    let (mut detector, first, _) = two_requests();
    detector.leaves();
    detector.answer_lost(at(20), first);
    assert_eq!(detector.connect_refused(at(21), ID), None);
    assert_eq!(detector.replaced(at(22), ID), None);
}

#[test]
fn a_request_that_was_not_handed_over_is_not_included() {
    let (mut detector, first, second) = two_requests();
    detector.unsent(second);
    detector.answer_lost(at(20), first);
    assert_eq!(detector.connect_refused(at(21), ID), crash(ID, &["first"]));
}

#[test]
fn an_answer_lost_long_before_the_crash_is_not_included() {
    let (mut detector, first, second) = two_requests();
    detector.answer_lost(at(20), first);
    detector.answer_lost(at(15_000), second);
    assert_eq!(detector.replaced(at(16_000), ID), crash(ID, &["second"]));
}

#[test]
fn a_replacement_without_a_lost_answer_is_not_a_crash() {
    let (mut detector, first, second) = two_requests();
    detector.answered(first);
    detector.answered(second);
    assert_eq!(detector.replaced(at(20), ID), None);
}

#[test]
fn a_backend_server_that_answers_again_can_crash_again() {
    let (mut detector, first, _) = two_requests();
    detector.answer_lost(at(20), first);
    detector.connect_refused(at(21), ID);
    let third = detector.start(at(30), "third");
    detector.answered(third);
    let fourth = detector.start(at(40), "fourth");
    detector.answer_lost(at(50), fourth);
    assert_eq!(
        detector.connect_refused(at(51), LATER),
        crash(LATER, &["fourth"])
    );
}
