//! Tests of the notices that backend servers give in the heads of their answers.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;
use swiftcart_core::{
    Instant, NodeId, Notice, NoticeCache, NoticeError, NoticeTracker, ProcessNotice, ProcessTag,
    RateError, ServerRate, StartTime,
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn rate(per_second: f64) -> Notice {
    Notice::default().with_rate(ServerRate::new(per_second))
}

const NO_NOTICE: Notice = Notice {
    rate: None,
    leaving: false,
};

#[rstest]
#[case::an_integer("56", Ok(56.0))]
#[case::a_decimal_number("49.2", Ok(49.2))]
#[case::surrounding_white_space(" 0.5 ", Ok(0.5))]
#[case::zero("0", Ok(0.0))]
#[case::a_negative_number("-1", Err(RateError::Range))]
#[case::infinity("inf", Err(RateError::Range))]
#[case::not_a_number("NaN", Err(RateError::Range))]
#[case::a_word("few", Err(RateError::Syntax))]
#[case::empty("", Err(RateError::Syntax))]
fn a_rate_limit_is_parsed_from(#[case] text: &str, #[case] expected: Result<f64, RateError>) {
    let parsed: Result<ServerRate, RateError> = text.parse();
    assert_eq!(parsed.map(ServerRate::per_second), expected);
}

#[test]
fn a_process_that_has_not_answered_has_no_known_notice() {
    let mut tracker = NoticeTracker::default();
    assert_eq!(tracker.known(), None);
    tracker.relay(rate(5.0));
    assert_eq!(tracker.known(), Some(rate(5.0)));
    tracker.observe(at(100), at(0), NO_NOTICE);
    assert_eq!(tracker.known(), Some(NO_NOTICE));
}

/// Each answer has the time of its arrival, the time of the hand-over of its request, and a notice.
#[rstest]
#[case::the_first_answer_sets_the_rate(&[(100, 0, rate(20.0))], rate(20.0))]
#[case::a_later_answer_without_a_rate_removes_it(&[(100, 0, rate(20.0)), (200, 110, NO_NOTICE)], NO_NOTICE)]
#[case::an_older_answer_without_a_rate_does_not_remove_it(&[(100, 0, rate(20.0)), (101, 50, NO_NOTICE)], rate(20.0))]
#[case::a_lower_rate_applies_at_once(&[(100, 0, rate(20.0)), (101, 50, rate(10.0))], rate(10.0))]
#[case::an_older_answer_does_not_raise_the_rate(&[(100, 0, rate(10.0)), (101, 50, rate(20.0))], rate(10.0))]
#[case::a_later_answer_raises_the_rate(&[(100, 0, rate(10.0)), (200, 150, rate(20.0))], rate(20.0))]
#[case::a_shutdown_notice_is_not_revoked(
    &[(100, 0, NO_NOTICE.with_leaving(true)), (200, 150, NO_NOTICE)], NO_NOTICE.with_leaving(true))]
#[case::the_rate_changes_during_shutdown(
    &[(100, 0, rate(5.0).with_leaving(true)), (200, 150, rate(4.0))], rate(4.0).with_leaving(true))]
fn answers_set_the_current_notice(
    #[case] answers: &[(u64, u64, Notice)],
    #[case] expected: Notice,
) {
    let mut tracker = NoticeTracker::default();
    for (arrived, sent, notice) in answers {
        tracker.observe(at(*arrived), at(*sent), *notice);
    }
    assert_eq!(tracker.now(), expected);
}

#[test]
fn an_answer_with_the_same_notice_changes_nothing() {
    let mut tracker = NoticeTracker::default();
    assert!(!tracker.observe(at(10), at(0), NO_NOTICE));
    assert!(tracker.observe(at(20), at(11), rate(8.0)));
    assert!(!tracker.observe(at(30), at(21), rate(8.0)));
}

#[test]
fn a_relayed_notice_applies_until_the_process_answers() {
    let mut tracker = NoticeTracker::default();
    assert!(tracker.relay(rate(8.0)));
    assert_eq!(tracker.now(), rate(8.0));
    assert!(
        tracker.observe(at(20), at(11), NO_NOTICE),
        "the process no longer states a rate limit"
    );
    assert!(!tracker.relay(rate(8.0)));
    assert_eq!(tracker.now(), NO_NOTICE);
}

#[test]
fn a_relayed_shutdown_notice_is_not_revoked_by_answers() {
    let mut tracker = NoticeTracker::default();
    tracker.observe(at(20), at(11), NO_NOTICE);
    assert!(tracker.relay(NO_NOTICE.with_leaving(true)));
    tracker.observe(at(40), at(31), NO_NOTICE);
    assert!(tracker.now().leaving);
}

#[rstest]
#[case::a_rate(rate(49.2), "49.2")]
#[case::a_small_rate(rate(0.125), "0.125")]
#[case::a_shutdown(NO_NOTICE.with_leaving(true), "- leaving")]
#[case::both(rate(3.0).with_leaving(true), "3 leaving")]
#[case::nothing(NO_NOTICE, "-")]
fn a_notice_is_parsed_from_its_text(#[case] notice: Notice, #[case] text: &str) {
    let process = ProcessTag::new(b"i-1", Some(StartTime(5)));
    let sent = ProcessNotice { process, notice };
    assert!(sent.to_string().ends_with(&format!(" {text}")), "{sent}");
    assert_eq!(sent.to_string().parse(), Ok(sent));
}

#[rstest]
#[case::empty("", NoticeError::Process)]
#[case::invalid_process("fast 3", NoticeError::Process)]
#[case::invalid_rate("0000000000000001 fast", NoticeError::Rate(RateError::Syntax))]
fn an_invalid_notice_is_rejected(#[case] text: &str, #[case] expected: NoticeError) {
    assert_eq!(text.parse::<ProcessNotice>(), Err(expected));
}

#[rstest]
#[case::other_id(b"i-2", Some(5))]
#[case::other_start(b"i-1", Some(6))]
#[case::no_start(b"i-1", None)]
fn process_tags_differ_by(#[case] id: &[u8], #[case] start: Option<u64>) {
    let one = ProcessTag::new(b"i-1", Some(StartTime(5)));
    assert_ne!(ProcessTag::new(id, start.map(StartTime)), one);
}

#[test]
fn the_notice_cache_is_bounded() {
    let mut cache = NoticeCache::default();
    let guard = |n: u32| NodeId((n.to_be_bytes(), 7000).into());
    let process = ProcessTag::new(b"i-1", None);
    let notice = rate(1.0);
    (0..10_000).for_each(|n| cache.note(guard(n), ProcessNotice { process, notice }));
    assert_eq!(
        (0..10_000)
            .filter(|n| cache.of(guard(*n)).is_some())
            .count(),
        4096
    );
    let notice = rate(2.0);
    cache.note(guard(7), ProcessNotice { process, notice });
    assert_eq!(cache.of(guard(7)).map(|cached| cached.notice), Some(notice));
}
