//! When a backend server counts as ended, and which requests it took along.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;
use swiftcart_core::{Crash, CrashDetector, CrashId, Instant, RunId};

const ID: CrashId = CrashId(1);
const LATER: CrashId = CrashId(2);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Returns a watch over two requests that were handed over at 0 and 10 ms.
fn two() -> (CrashDetector<&'static str>, RunId, RunId) {
    let mut watch = CrashDetector::default();
    let first = watch.start(at(0), "first");
    let second = watch.start(at(10), "second");
    (watch, first, second)
}

fn crash(id: CrashId, runs: &[&'static str]) -> Option<Crash<&'static str>> {
    let runs = runs.to_vec();
    Some(Crash { id, runs })
}

#[test]
fn an_end_takes_along_what_broke_and_what_is_under_way() {
    let (mut watch, first, _) = two();
    assert_eq!(watch.answer_lost(at(20), first), None);
    assert_eq!(
        watch.connect_refused(at(21), ID),
        crash(ID, &["first", "second"])
    );
    assert!(watch.has_ended());
}

#[test]
fn what_breaks_after_the_end_comes_under_the_same_name() {
    let (mut watch, first, second) = two();
    watch.answer_lost(at(20), first);
    assert_eq!(watch.replaced(at(21), ID), crash(ID, &["first"]));
    assert_eq!(watch.answer_lost(at(22), second), crash(ID, &["second"]));
}

#[test]
fn an_end_is_told_once() {
    let (mut watch, first, _) = two();
    watch.answer_lost(at(20), first);
    watch.connect_refused(at(21), ID);
    assert_eq!(watch.connect_refused(at(22), LATER), None);
    assert_eq!(watch.replaced(at(4_000), LATER), None);
}

#[rstest]
#[case::a_reset_connection(20)]
#[case::long_before(60_000)]
fn a_broken_answer_alone_is_no_end(#[case] ms: u64) {
    let (mut watch, first, _) = two();
    assert_eq!(watch.answer_lost(at(ms), first), None);
    assert!(!watch.has_ended());
}

#[test]
fn a_refused_connection_without_a_broken_answer_is_no_end() {
    let (mut watch, _, _) = two();
    assert_eq!(watch.connect_refused(at(20), ID), None);
    assert!(!watch.has_ended());
}

#[test]
fn an_answer_to_a_later_request_shows_that_the_backend_server_lives() {
    let (mut watch, first, second) = two();
    watch.answer_lost(at(20), first);
    let third = watch.start(at(21), "third");
    watch.answered(third);
    assert_eq!(
        watch.connect_refused(at(30), ID),
        None,
        "the broken one is cleared"
    );
    watch.answer_lost(at(31), second);
    assert_eq!(watch.connect_refused(at(32), ID), crash(ID, &["second"]));
}

#[test]
fn an_answer_to_an_earlier_request_may_have_been_on_its_way() {
    let (mut watch, first, second) = two();
    watch.answer_lost(at(20), second);
    watch.answered(first);
    assert_eq!(watch.connect_refused(at(21), ID), crash(ID, &["second"]));
}

#[test]
fn who_said_that_it_leaves_takes_nobody_along() {
    let (mut watch, first, _) = two();
    watch.leaves();
    watch.answer_lost(at(20), first);
    assert_eq!(watch.connect_refused(at(21), ID), None);
    assert_eq!(watch.replaced(at(22), ID), None);
}

#[test]
fn what_was_not_handed_over_is_not_among_it() {
    let (mut watch, first, second) = two();
    watch.unsent(second);
    watch.answer_lost(at(20), first);
    assert_eq!(watch.connect_refused(at(21), ID), crash(ID, &["first"]));
}

#[test]
fn what_broke_long_before_the_end_is_not_among_it() {
    let (mut watch, first, second) = two();
    watch.answer_lost(at(20), first);
    watch.answer_lost(at(15_000), second);
    assert_eq!(watch.replaced(at(16_000), ID), crash(ID, &["second"]));
}

#[test]
fn a_successor_with_nothing_broken_is_no_crash() {
    let (mut watch, first, second) = two();
    watch.answered(first);
    watch.answered(second);
    assert_eq!(watch.replaced(at(20), ID), None);
}

#[test]
fn an_address_that_answers_again_is_watched_again() {
    let (mut watch, first, _) = two();
    watch.answer_lost(at(20), first);
    watch.connect_refused(at(21), ID);
    let third = watch.start(at(30), "third");
    watch.answered(third);
    let fourth = watch.start(at(40), "fourth");
    watch.answer_lost(at(50), fourth);
    assert_eq!(
        watch.connect_refused(at(51), LATER),
        crash(LATER, &["fourth"])
    );
}
