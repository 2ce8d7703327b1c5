//! Tests of the history of a kept connection.

use std::time::Duration;

use rstest::rstest;
use swiftcart_core::{AnswerId, ConnHistory, Instant};

const DUE: Duration = Duration::from_secs(3);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Sends the requests of `ids` at the given times, each with a deadline of [`DUE`].
fn history(ids: &[(u64, &str)]) -> ConnHistory {
    let mut history = ConnHistory::default();
    for (ms, id) in ids {
        history.record(at(*ms), id.as_bytes(), at(*ms) + DUE);
    }
    history
}

#[rstest]
#[case::unused(&[], 0, true)]
#[case::another_request(&[(0, "b")], 1, true)]
#[case::right_behind_itself(&[(0, "a")], 1, false)]
#[case::behind_another_request(&[(0, "a"), (20, "b")], 40, false)]
#[case::shortly_before_its_deadline(&[(0, "a")], 2999, false)]
#[case::sent_again_with_a_later_deadline(&[(0, "a")], 4000, false)]
#[case::long_after_its_deadline(&[(0, "a")], 6000, true)]
fn a_connection_carries_a_request_once(
    #[case] sent: &[(u64, &str)],
    #[case] ms: u64,
    #[case] expected: bool,
) {
    assert_eq!(history(sent).may_carry(at(ms), b"a"), expected);
}

#[rstest]
#[case::own_first(1, AnswerId::Own, true)]
#[case::own_later(2, AnswerId::Own, true)]
#[case::no_id_first(1, AnswerId::Missing, true)]
#[case::no_id_later(2, AnswerId::Missing, false)]
#[case::foreign_first(1, AnswerId::Foreign, false)]
#[case::foreign_later(2, AnswerId::Foreign, false)]
fn a_response_counts_only_for_the_request_that_it_can_answer(
    #[case] exchanges: u64,
    #[case] id: AnswerId,
    #[case] expected: bool,
) {
    let mut history = ConnHistory::default();
    for n in 0..exchanges {
        history.record(at(n), &n.to_be_bytes(), at(n) + DUE);
    }
    assert_eq!(history.counts(id), expected);
}

/// A connection must not forget a request that may still be sent again, however busy it is.
#[test]
fn a_busy_connection_is_given_up_before_it_forgets() {
    let mut history = ConnHistory::default();
    let mut sent = 0_u64;
    while history.may_carry(at(0), &sent.to_be_bytes()) {
        history.record(at(0), &sent.to_be_bytes(), at(0) + DUE);
        sent += 1;
        assert!(sent < 100_000, "nothing bounds the history");
    }
    assert!((0..sent).all(|n| !history.may_carry(at(0), &n.to_be_bytes())));
    assert!(sent >= 1000, "given up after {sent} requests");
}

#[test]
fn requests_past_their_deadlines_are_forgotten() {
    let mut history = ConnHistory::default();
    for n in 0_u64..100_000 {
        let now = at(n * 10);
        assert!(history.may_carry(now, &n.to_be_bytes()), "request {n}");
        history.record(now, &n.to_be_bytes(), now + DUE);
    }
    assert_eq!(history.exchanges(), 100_000);
}
