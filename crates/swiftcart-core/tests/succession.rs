//! Tests of the ordering of announcements by the backend servers beside one node.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use swiftcart_core::{Announced, AnnouncementOutcome, Instant, StartTime, Succession};

/// Wall clock of these tests, later than every start time.
const WALL_CLOCK: StartTime = StartTime(1_000_000);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn announcement(id: &str, start: Option<u64>, seq: u64) -> Announced<'_> {
    Announced {
        id,
        start: start.map(StartTime),
        seq,
    }
}

/// Returns a succession that accepted an announcement of `a` with start time 100 and `seq` 7.
fn succession_with_a() -> Succession {
    let mut succession = Succession::default();
    succession.on_announcement(at(0), announcement("a", Some(100), 7));
    succession
}

#[rstest]
#[case::greater_seq("a", Some(100), 8, AnnouncementOutcome::Newer)]
#[case::same_seq("a", Some(100), 7, AnnouncementOutcome::Late)]
#[case::smaller_seq("a", Some(100), 6, AnnouncementOutcome::Late)]
#[case::later_start("a", Some(101), 1, AnnouncementOutcome::Restarted)]
#[case::earlier_start("a", Some(99), 900, AnnouncementOutcome::Late)]
#[case::no_start("a", None, 900, AnnouncementOutcome::MissingStart)]
#[case::other_id_later_start("b", Some(101), 1, AnnouncementOutcome::Replaced)]
#[case::other_id_same_start("b", Some(100), 1, AnnouncementOutcome::Replaced)]
#[case::other_id_earlier_start("b", Some(99), 900, AnnouncementOutcome::Late)]
#[case::other_id_no_start("b", None, 900, AnnouncementOutcome::MissingStart)]
fn announcements_are_ordered_by_start_and_then_by_seq(
    #[case] id: &str,
    #[case] start: Option<u64>,
    #[case] seq: u64,
    #[case] expected: AnnouncementOutcome,
) {
    assert_eq!(
        succession_with_a().on_announcement(at(1), announcement(id, start, seq)),
        expected
    );
}

#[rstest]
#[case::greater_seq("a", 8, AnnouncementOutcome::Newer)]
#[case::smaller_seq("a", 6, AnnouncementOutcome::Late)]
#[case::other_id("b", 1, AnnouncementOutcome::Replaced)]
fn announcements_without_start_are_ordered_by_seq(
    #[case] id: &str,
    #[case] seq: u64,
    #[case] expected: AnnouncementOutcome,
) {
    let mut succession = Succession::default();
    succession.on_announcement(at(0), announcement("a", None, 7));
    assert_eq!(
        succession.on_announcement(at(1), announcement(id, None, seq)),
        expected
    );
}

#[rstest]
#[case::same_start(Some(100), true)]
#[case::later_start(Some(200), true)]
#[case::no_start(None, true)]
#[case::earlier_start(Some(50), false)]
fn departure_ends_current_process_unless_start_is_earlier(
    #[case] start: Option<u64>,
    #[case] left: bool,
) {
    let mut succession = succession_with_a();
    let start = start.map(StartTime);
    assert_eq!(succession.leave(at(1), "a", start, WALL_CLOCK), left);
    assert_eq!(succession.id().is_none(), left);
}

#[rstest]
#[case::same_start(Some(100), Some(100), AnnouncementOutcome::Retired)]
#[case::earlier_start(Some(100), Some(50), AnnouncementOutcome::Retired)]
#[case::later_start(Some(100), Some(101), AnnouncementOutcome::Replaced)]
#[case::earlier_than_departed_start(Some(200), Some(150), AnnouncementOutcome::Retired)]
#[case::no_start(Some(100), None, AnnouncementOutcome::Retired)]
#[case::later_start_after_departure_without_start(None, Some(101), AnnouncementOutcome::Replaced)]
fn departure_retires_process_and_earlier_ones(
    #[case] departed: Option<u64>,
    #[case] start: Option<u64>,
    #[case] expected: AnnouncementOutcome,
) {
    let mut succession = succession_with_a();
    succession.leave(at(1), "a", departed.map(StartTime), WALL_CLOCK);
    assert_eq!(
        succession.on_announcement(at(2), announcement("a", start, 900)),
        expected
    );
}

#[rstest]
#[case::started_before_departure(Some(WALL_CLOCK.0), AnnouncementOutcome::Retired)]
#[case::started_after_departure(Some(WALL_CLOCK.0 + 1), AnnouncementOutcome::Replaced)]
#[case::no_start(None, AnnouncementOutcome::Retired)]
fn departure_of_unknown_id_ends_processes_started_before_it(
    #[case] start: Option<u64>,
    #[case] expected: AnnouncementOutcome,
) {
    let mut succession = Succession::default();
    assert!(!succession.leave(at(0), "a", None, WALL_CLOCK));
    assert_eq!(
        succession.on_announcement(at(1), announcement("a", start, 1)),
        expected
    );
}

#[rstest]
#[case::within_reorder_window(19_999, AnnouncementOutcome::Late)]
#[case::after_reorder_window(20_000, AnnouncementOutcome::Restarted)]
fn start_with_clock_set_back_is_accepted_after_reorder_window(
    #[case] ms: u64,
    #[case] expected: AnnouncementOutcome,
) {
    let mut succession = succession_with_a();
    assert_eq!(
        succession.on_announcement(at(ms), announcement("a", Some(90), 1)),
        expected
    );
}

#[test]
fn start_with_clock_set_back_after_departure_is_accepted_after_reorder_window() {
    let mut succession = succession_with_a();
    succession.leave(at(0), "a", None, WALL_CLOCK);
    let announce = |succession: &mut Succession, ms| {
        succession.on_announcement(at(ms), announcement("a", Some(90), ms))
    };
    assert_eq!(
        announce(&mut succession, 1_500),
        AnnouncementOutcome::Retired
    );
    assert_eq!(
        announce(&mut succession, 19_500),
        AnnouncementOutcome::Retired
    );
    assert_eq!(
        announce(&mut succession, 21_000),
        AnnouncementOutcome::Replaced
    );
    // The departed process remains rejected.
    assert_eq!(
        succession.on_announcement(at(60_000), announcement("a", Some(100), 99)),
        AnnouncementOutcome::Retired
    );
}

#[test]
fn restarted_seq_without_start_is_accepted_after_reorder_window() {
    let mut succession = Succession::default();
    succession.on_announcement(at(0), announcement("a", None, 70));
    assert_eq!(
        succession.on_announcement(at(19_000), announcement("a", None, 1)),
        AnnouncementOutcome::Late
    );
    assert_eq!(
        succession.on_announcement(at(20_000), announcement("a", None, 2)),
        AnnouncementOutcome::Restarted
    );
}

/// Message that a node receives: an announcement or a departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Message {
    id: usize,
    start: u64,
    /// Sequence number of an announcement, or `None` for a departure.
    seq: Option<u64>,
}

const IDS: [&str; 3] = ["a", "b", "c"];

/// Returns a strategy for the messages of successive processes of one instance.
///
/// The messages arrive delayed, repeated and out of order, and some are lost.
fn messages() -> impl Strategy<Value = Vec<Message>> {
    let process = (0..IDS.len(), 1..6_u64, any::<bool>());
    prop::collection::vec(process, 1..6).prop_flat_map(|processes| {
        let mut sent = Vec::new();
        for (i, (id, count, leaves)) in processes.into_iter().enumerate() {
            let start = 1_000 * (i as u64 + 1);
            let seqs = (1..=count).map(Some);
            let seqs = seqs.chain(leaves.then_some(None));
            sent.extend(seqs.map(|seq| Message { id, start, seq }));
        }
        let len = sent.len();
        prop::collection::vec(0..len, 0..3 * len)
            .prop_map(move |order| order.into_iter().map(|i| sent[i]).collect())
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn current_start_never_decreases_and_newest_process_wins(messages in messages()) {
        let mut succession = Succession::default();
        let mut current_start = 0;
        let mut departed = BTreeMap::new();
        let mut newest: Option<Message> = None;
        for (i, message) in messages.iter().enumerate() {
            let (now, id) = (at(i as u64), IDS[message.id]);
            match message.seq {
                Some(seq) => {
                    let outcome = succession
                        .on_announcement(now, announcement(id, Some(message.start), seq));
                    let ended = departed
                        .get(&message.id)
                        .is_some_and(|until| message.start <= *until);
                    prop_assert!(
                        !(ended && outcome.is_accepted()),
                        "an announcement of a departed process was accepted"
                    );
                    if !ended
                        && newest
                            .is_none_or(|old| (old.start, old.seq) < (message.start, message.seq))
                    {
                        newest = Some(*message);
                    }
                }
                None => {
                    succession.leave(now, id, Some(StartTime(message.start)), WALL_CLOCK);
                    let until = departed.entry(message.id).or_insert(0);
                    *until = message.start.max(*until);
                }
            }
            if let Some(StartTime(start)) = succession.start() {
                prop_assert!(
                    start >= current_start,
                    "start time {start} became current after {current_start}"
                );
                current_start = start;
            }
        }
        let last = newest.filter(|message| {
            departed.get(&message.id).is_none_or(|until| message.start > *until)
        });
        let expected = last.map(|message| (IDS[message.id], StartTime(message.start)));
        prop_assert_eq!(succession.id().zip(succession.start()), expected);
    }
}
