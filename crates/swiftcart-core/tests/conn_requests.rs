//! Tests of the decision when a caller's connection ends.

use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use swiftcart_core::{ConnEnd, ConnRequests, HeadKind, Instant};

const IDLE: Duration = Duration::from_secs(1);

/// Event on a connection.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A whole head arrives.
    Arrive(HeadKind),
    /// A part of a head arrives.
    Part,
    /// The next request is taken.
    Take,
    /// A response ends at this time, in milliseconds.
    Finish(u64),
    /// A response is sent that ends by this time, in milliseconds.
    SendBy(u64),
    /// The node stops.
    Stop,
}

use Event::{Arrive, Finish, Part, SendBy, Stop, Take};

const PLAIN: Event = Arrive(HeadKind::Plain);
const BODY: Event = Arrive(HeadKind::WithBody);
const LAST: Event = Arrive(HeadKind::Last);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Applies `events`, and returns the number of the last head that arrived, if it is answered.
fn apply(events: &[Event]) -> (ConnRequests, Option<u64>) {
    let mut requests = ConnRequests::default();
    let mut number = None;
    for event in events {
        match event {
            Arrive(kind) => number = requests.arrive(*kind),
            Part => requests.arrive_partly(),
            Take => drop(requests.take()),
            Finish(ms) => requests.finish(at(*ms)),
            SendBy(ms) => requests.send_by(at(*ms)),
            Stop => requests.stop(),
        }
    }
    (requests, number)
}

#[rstest]
#[case::alone(&[PLAIN, Take], false, false)]
#[case::refused(&[PLAIN, Take], true, true)]
#[case::refused_before_another(&[PLAIN, PLAIN, Take], true, false)]
#[case::refused_behind_another(&[PLAIN, PLAIN, Take, Finish(1), Take], true, true)]
#[case::stopping(&[PLAIN, Take, Stop], false, true)]
#[case::stopping_before_another(&[PLAIN, PLAIN, Take, Stop], false, false)]
#[case::stopping_before_others_that_arrive_later(&[PLAIN, Take, Stop, PLAIN], false, true)]
#[case::stopping_behind_another(&[PLAIN, PLAIN, Take, Stop, Finish(1), Take], false, true)]
#[case::last_of_the_caller(&[LAST, Take], false, true)]
#[case::before_the_last_of_the_caller(&[PLAIN, LAST, Take], true, false)]
#[case::last_of_the_caller_before_more(&[LAST, PLAIN, Take], false, true)]
#[case::taken_before_it_was_seen(&[Take], true, true)]
fn a_response_closes_only_if_no_request_is_behind(
    #[case] events: &[Event],
    #[case] preferred: bool,
    #[case] expected: bool,
) {
    let (mut requests, _) = apply(events);
    assert_eq!(requests.closes_after_response(preferred), expected);
}

#[rstest]
#[case::first(&[PLAIN], false)]
#[case::behind_one_at_work(&[PLAIN, Take, PLAIN], true)]
#[case::behind_one_that_is_not_taken(&[PLAIN, PLAIN], true)]
#[case::behind_one_that_is_finished(&[PLAIN, Take, Finish(1), PLAIN], false)]
#[case::with_a_body(&[PLAIN, Take, BODY], false)]
#[case::behind_a_body(&[BODY, Take, PLAIN], false)]
#[case::behind_a_body_and_more(&[BODY, Take, PLAIN, PLAIN], false)]
#[case::behind_a_finished_body(&[BODY, Take, Finish(1), PLAIN, PLAIN], true)]
fn a_request_starts_early_behind_requests_without_bodies(
    #[case] events: &[Event],
    #[case] expected: bool,
) {
    let (requests, number) = apply(events);
    let number = number.expect("the request is answered");
    assert_eq!(requests.may_start(number), expected);
}

#[rstest]
#[case::a_stop(&[PLAIN, Take, Stop, PLAIN])]
#[case::a_stop_without_requests(&[Stop, PLAIN])]
#[case::the_last_of_the_caller(&[LAST, PLAIN])]
fn a_request_is_not_answered_after(#[case] events: &[Event]) {
    let (_, number) = apply(events);
    assert_eq!(number, None);
}

/// Guards against a start behind a response that has already said that the connection closes.
#[test]
fn a_request_is_not_answered_after_a_response_that_closes() {
    let (mut requests, _) = apply(&[PLAIN, Take]);
    assert!(requests.closes_after_response(true));
    assert_eq!(requests.arrive(HeadKind::Plain), None);
    assert!(requests.none_waits());
}

#[rstest]
#[case::nothing_came(&[], None)]
#[case::at_work(&[PLAIN, Take], None)]
#[case::answered(&[PLAIN, Take, Finish(300)], Some(1300))]
#[case::answered_before_another(&[PLAIN, PLAIN, Take, Finish(300)], None)]
#[case::answered_while_a_head_arrives(&[PLAIN, Take, Finish(300), Part], None)]
#[case::answered_twice(&[PLAIN, Take, Finish(300), PLAIN, Take, Finish(900)], Some(1900))]
fn a_connection_is_idle_once_all_responses_have_ended(
    #[case] events: &[Event],
    #[case] expected_ms: Option<u64>,
) {
    let (requests, _) = apply(events);
    let expected = expected_ms.map(|ms| (at(ms), ConnEnd::Idle));
    assert_eq!(requests.ends_at(Some(IDLE)), expected);
    assert_eq!(requests.ends_at(None), None);
}

/// Guards against a response that lasts beyond its time, with and without a limit of idle time.
#[rstest]
#[case::being_sent(&[PLAIN, Take, SendBy(700)], Some(700))]
#[case::being_sent_for_longer(&[PLAIN, Take, SendBy(700), SendBy(900)], Some(900))]
#[case::being_sent_after_a_stop(&[PLAIN, Take, SendBy(700), Stop], Some(700))]
#[case::being_sent_before_another(&[PLAIN, PLAIN, Take, SendBy(700)], Some(700))]
#[case::not_begun(&[PLAIN, Take], None)]
#[case::ended(&[PLAIN, PLAIN, Take, SendBy(700), Finish(300)], None)]
fn a_connection_ends_by_the_time_of_its_response(
    #[case] events: &[Event],
    #[case] expected_ms: Option<u64>,
    #[values(None, Some(IDLE))] idle_time: Option<Duration>,
) {
    let (requests, _) = apply(events);
    let expected = expected_ms.map(|ms| (at(ms), ConnEnd::Overdue));
    assert_eq!(requests.ends_at(idle_time), expected);
}

#[rstest]
#[case::idle(&[PLAIN, Take, Finish(1)], true)]
#[case::at_work(&[PLAIN, Take], true)]
#[case::one_behind(&[PLAIN, PLAIN, Take], false)]
#[case::not_taken(&[PLAIN], false)]
#[case::later_ones_after_a_stop(&[PLAIN, Take, Stop, PLAIN], true)]
fn a_connection_may_be_shut_down_while_none_waits(
    #[case] events: &[Event],
    #[case] expected: bool,
) {
    let (requests, _) = apply(events);
    assert_eq!(requests.none_waits(), expected);
}

/// Step of a random connection.
#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive(HeadKind),
    /// The next request is taken and its response begins; `true` if it should close the connection.
    Respond(bool),
    Finish,
    Stop,
}

fn step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![
        6 => Just(HeadKind::Plain),
        1 => Just(HeadKind::WithBody),
        1 => Just(HeadKind::Last),
    ];
    prop_oneof![
        4 => kind.prop_map(Step::Arrive),
        4 => prop::bool::weighted(0.3).prop_map(Step::Respond),
        4 => Just(Step::Finish),
        1 => Just(Step::Stop),
    ]
}

proptest! {
    /// Plays random arrivals, refusals and stops. A connection ends behind a response that closes it,
    /// or when it is shut down after a stop while no request waits.
    #[test]
    fn a_started_request_is_answered_before_its_connection_ends(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut requests = ConnRequests::default();
        let mut started = Vec::new();
        let (mut taken, mut sending, mut stopped, mut ended) = (0, false, false, false);
        for step in steps {
            match step {
                Step::Arrive(kind) => {
                    let number = requests.arrive(kind);
                    started.extend(number.filter(|number| requests.may_start(*number)));
                }
                Step::Respond(preferred) if !sending && !requests.none_waits() => {
                    taken = requests.take() + 1;
                    sending = true;
                    ended |= requests.closes_after_response(preferred);
                }
                Step::Finish if sending => {
                    requests.finish(at(0));
                    sending = false;
                }
                Step::Stop => {
                    requests.stop();
                    stopped = true;
                }
                Step::Respond(_) | Step::Finish => {}
            }
            ended |= stopped && requests.none_waits();
            if ended {
                break;
            }
        }
        if ended {
            prop_assert!(started.iter().all(|number| *number < taken), "{started:?}, {taken} taken");
        }
    }
}
