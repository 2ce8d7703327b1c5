//! What a guard believes of its backend server from the heads of its answers.
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

const NOTHING: Notice = Notice {
    rate: None,
    leaving: false,
};

#[rstest]
#[case::a_whole_number("56", Ok(56.0))]
#[case::a_decimal_one("49.2", Ok(49.2))]
#[case::white_space_around_it(" 0.5 ", Ok(0.5))]
#[case::nothing_at_all("0", Ok(0.0))]
#[case::below_zero("-1", Err(RateError::Range))]
#[case::without_bounds("inf", Err(RateError::Range))]
#[case::no_number("NaN", Err(RateError::Range))]
#[case::a_word("few", Err(RateError::Syntax))]
#[case::empty("", Err(RateError::Syntax))]
fn a_rate_is_read_from(#[case] text: &str, #[case] expected: Result<f64, RateError>) {
    let read: Result<ServerRate, RateError> = text.parse();
    assert_eq!(read.map(ServerRate::per_second), expected);
}

/// Each step: when the answer came, when its request was handed over, and what it said.
#[rstest]
#[case::a_rate_counts_from_its_first_answer(&[(100, 0, rate(20.0))], rate(20.0))]
#[case::an_answer_without_it_ends_it(&[(100, 0, rate(20.0)), (200, 110, NOTHING)], NOTHING)]
#[case::an_overtaken_answer_does_not_end_it(&[(100, 0, rate(20.0)), (101, 50, NOTHING)], rate(20.0))]
#[case::a_lower_one_counts_at_once(&[(100, 0, rate(20.0)), (101, 50, rate(10.0))], rate(10.0))]
#[case::an_overtaken_higher_one_does_not(&[(100, 0, rate(10.0)), (101, 50, rate(20.0))], rate(10.0))]
#[case::a_later_higher_one_does(&[(100, 0, rate(10.0)), (200, 150, rate(20.0))], rate(20.0))]
#[case::who_leaves_leaves_for_good(
    &[(100, 0, NOTHING.with_leaving(true)), (200, 150, NOTHING)], NOTHING.with_leaving(true))]
#[case::who_leaves_names_its_rate_too(
    &[(100, 0, rate(5.0).with_leaving(true)), (200, 150, rate(4.0))], rate(4.0).with_leaving(true))]
fn belief(#[case] answers: &[(u64, u64, Notice)], #[case] expected: Notice) {
    let mut belief = NoticeTracker::default();
    for (came, sent, said) in answers {
        belief.observe(at(*came), at(*sent), *said);
    }
    assert_eq!(belief.now(), expected);
}

#[test]
fn an_answer_that_says_nothing_new_changes_nothing() {
    let mut belief = NoticeTracker::default();
    assert!(!belief.observe(at(10), at(0), NOTHING));
    assert!(belief.observe(at(20), at(11), rate(8.0)));
    assert!(!belief.observe(at(30), at(21), rate(8.0)));
}

#[test]
fn what_others_were_told_counts_until_the_process_itself_is_heard() {
    let mut belief = NoticeTracker::default();
    assert!(belief.relay(rate(8.0)));
    assert_eq!(belief.now(), rate(8.0));
    assert!(
        belief.observe(at(20), at(11), NOTHING),
        "it names none any more"
    );
    assert!(!belief.relay(rate(8.0)));
    assert_eq!(belief.now(), NOTHING);
}

#[test]
fn who_leaves_according_to_others_leaves_whatever_its_answers_say() {
    let mut belief = NoticeTracker::default();
    belief.observe(at(20), at(11), NOTHING);
    assert!(belief.relay(NOTHING.with_leaving(true)));
    belief.observe(at(40), at(31), NOTHING);
    assert!(belief.now().leaving);
}

#[rstest]
#[case::a_rate(rate(49.2), "49.2")]
#[case::a_small_one(rate(0.125), "0.125")]
#[case::a_leaving(NOTHING.with_leaving(true), "- leaving")]
#[case::both(rate(3.0).with_leaving(true), "3 leaving")]
#[case::nothing(NOTHING, "-")]
fn a_notice_travels_between_nodes(#[case] notice: Notice, #[case] text: &str) {
    let process = ProcessTag::new(b"i-1", Some(StartTime(5)));
    let told = ProcessNotice { process, notice };
    assert!(told.to_string().ends_with(&format!(" {text}")), "{told}");
    assert_eq!(told.to_string().parse(), Ok(told));
}

#[rstest]
#[case::nothing("", NoticeError::Process)]
#[case::no_process("fast 3", NoticeError::Process)]
#[case::no_rate("0000000000000001 fast", NoticeError::Rate(RateError::Syntax))]
fn no_notice_is_read_from(#[case] text: &str, #[case] expected: NoticeError) {
    assert_eq!(text.parse::<ProcessNotice>(), Err(expected));
}

#[rstest]
#[case::another_id(b"i-2", Some(5))]
#[case::another_start(b"i-1", Some(6))]
#[case::no_start(b"i-1", None)]
fn processes_are_told_apart_by(#[case] id: &[u8], #[case] start: Option<u64>) {
    let one = ProcessTag::new(b"i-1", Some(StartTime(5)));
    assert_ne!(ProcessTag::new(id, start.map(StartTime)), one);
}

#[test]
fn what_guards_told_is_bounded() {
    let mut told = NoticeCache::default();
    let guard = |n: u32| NodeId((n.to_be_bytes(), 7000).into());
    let process = ProcessTag::new(b"i-1", None);
    let notice = rate(1.0);
    (0..10_000).for_each(|n| told.note(guard(n), ProcessNotice { process, notice }));
    assert_eq!(
        (0..10_000).filter(|n| told.of(guard(*n)).is_some()).count(),
        4096
    );
    let notice = rate(2.0);
    told.note(guard(7), ProcessNotice { process, notice });
    assert_eq!(told.of(guard(7)).map(|told| told.notice), Some(notice));
}
