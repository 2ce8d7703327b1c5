//! Which announcements of the backend servers beside one node count.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use swiftcart_core::{Announced, AnnouncementOutcome, Instant, StartTime, Succession};

/// The wall clock of these tests, later than each start in them.
const WALL: StartTime = StartTime(1_000_000);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn said(id: &str, start: Option<u64>, seq: u64) -> Announced<'_> {
    Announced {
        id,
        start: start.map(StartTime),
        seq,
    }
}

/// Returns a succession that heard `a` start at 100 and announce itself as number 7.
fn of_a() -> Succession {
    let mut succession = Succession::default();
    succession.on_announcement(at(0), said("a", Some(100), 7));
    succession
}

#[rstest]
#[case::a_later_number("a", Some(100), 8, AnnouncementOutcome::Newer)]
#[case::the_same_number("a", Some(100), 7, AnnouncementOutcome::Late)]
#[case::an_earlier_number("a", Some(100), 6, AnnouncementOutcome::Late)]
#[case::a_later_start("a", Some(101), 1, AnnouncementOutcome::Restarted)]
#[case::an_earlier_start("a", Some(99), 900, AnnouncementOutcome::Late)]
#[case::no_start("a", None, 900, AnnouncementOutcome::MissingStart)]
#[case::another_later("b", Some(101), 1, AnnouncementOutcome::Replaced)]
#[case::another_at_the_same_time("b", Some(100), 1, AnnouncementOutcome::Replaced)]
#[case::another_earlier("b", Some(99), 900, AnnouncementOutcome::Late)]
#[case::another_without_start("b", None, 900, AnnouncementOutcome::MissingStart)]
fn after_a_word_of_a_known_process(
    #[case] id: &str,
    #[case] start: Option<u64>,
    #[case] seq: u64,
    #[case] expected: AnnouncementOutcome,
) {
    assert_eq!(
        of_a().on_announcement(at(1), said(id, start, seq)),
        expected
    );
}

#[rstest]
#[case::a_later_number("a", 8, AnnouncementOutcome::Newer)]
#[case::an_earlier_number("a", 6, AnnouncementOutcome::Late)]
#[case::another("b", 1, AnnouncementOutcome::Replaced)]
fn without_starts(#[case] id: &str, #[case] seq: u64, #[case] expected: AnnouncementOutcome) {
    let mut succession = Succession::default();
    succession.on_announcement(at(0), said("a", None, 7));
    assert_eq!(
        succession.on_announcement(at(1), said(id, None, seq)),
        expected
    );
}

#[rstest]
#[case::its_own_start(Some(100), true)]
#[case::a_later_start(Some(200), true)]
#[case::no_start(None, true)]
#[case::an_earlier_start(Some(50), false)]
fn a_departure_with(#[case] start: Option<u64>, #[case] left: bool) {
    let mut succession = of_a();
    let start = start.map(StartTime);
    assert_eq!(succession.leave(at(1), "a", start, WALL), left);
    assert_eq!(succession.id().is_none(), left);
}

#[rstest]
#[case::by_its_own_start(Some(100), Some(100), AnnouncementOutcome::Retired)]
#[case::by_an_earlier_start(Some(100), Some(50), AnnouncementOutcome::Retired)]
#[case::by_a_later_start(Some(100), Some(101), AnnouncementOutcome::Replaced)]
#[case::when_a_later_start_left_too(Some(200), Some(150), AnnouncementOutcome::Retired)]
#[case::without_a_start(Some(100), None, AnnouncementOutcome::Retired)]
#[case::after_a_departure_without_start(None, Some(101), AnnouncementOutcome::Replaced)]
fn who_left_is_heard_again(
    #[case] gone: Option<u64>,
    #[case] start: Option<u64>,
    #[case] expected: AnnouncementOutcome,
) {
    let mut succession = of_a();
    succession.leave(at(1), "a", gone.map(StartTime), WALL);
    assert_eq!(
        succession.on_announcement(at(2), said("a", start, 900)),
        expected
    );
}

#[rstest]
#[case::from_before(Some(WALL.0), AnnouncementOutcome::Retired)]
#[case::from_after(Some(WALL.0 + 1), AnnouncementOutcome::Replaced)]
#[case::without_a_start(None, AnnouncementOutcome::Retired)]
fn a_departure_of_one_never_heard_of_ends_what_had_started(
    #[case] start: Option<u64>,
    #[case] expected: AnnouncementOutcome,
) {
    let mut succession = Succession::default();
    assert!(!succession.leave(at(0), "a", None, WALL));
    assert_eq!(
        succession.on_announcement(at(1), said("a", start, 1)),
        expected
    );
}

#[rstest]
#[case::while_the_later_one_is_heard(19_999, AnnouncementOutcome::Late)]
#[case::when_it_has_been_silent_for_long(20_000, AnnouncementOutcome::Restarted)]
fn a_start_by_a_clock_that_was_set_back(#[case] ms: u64, #[case] expected: AnnouncementOutcome) {
    let mut succession = of_a();
    assert_eq!(
        succession.on_announcement(at(ms), said("a", Some(90), 1)),
        expected
    );
}

#[test]
fn a_start_by_a_clock_that_was_set_back_after_a_departure_counts_in_the_end() {
    let mut succession = of_a();
    succession.leave(at(0), "a", None, WALL);
    let heard = |succession: &mut Succession, ms| {
        succession.on_announcement(at(ms), said("a", Some(90), ms))
    };
    assert_eq!(heard(&mut succession, 1_500), AnnouncementOutcome::Retired);
    assert_eq!(heard(&mut succession, 19_500), AnnouncementOutcome::Retired);
    assert_eq!(
        heard(&mut succession, 21_000),
        AnnouncementOutcome::Replaced
    );
    // The process that left stays away.
    assert_eq!(
        succession.on_announcement(at(60_000), said("a", Some(100), 99)),
        AnnouncementOutcome::Retired
    );
}

#[test]
fn without_starts_a_number_that_begins_anew_counts_after_a_long_silence() {
    let mut succession = Succession::default();
    succession.on_announcement(at(0), said("a", None, 70));
    assert_eq!(
        succession.on_announcement(at(19_000), said("a", None, 1)),
        AnnouncementOutcome::Late
    );
    assert_eq!(
        succession.on_announcement(at(20_000), said("a", None, 2)),
        AnnouncementOutcome::Restarted
    );
}

/// A word that reaches a node: an announcement, or a departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Word {
    id: usize,
    start: u64,
    /// `None` for a departure.
    seq: Option<u64>,
}

const IDS: [&str; 3] = ["a", "b", "c"];

/// Returns what the processes of one instance say, one process after the other, and in which
/// order that arrives: delayed, repeated, and some of it never.
fn words() -> impl Strategy<Value = Vec<Word>> {
    let process = (0..IDS.len(), 1..6_u64, any::<bool>());
    prop::collection::vec(process, 1..6).prop_flat_map(|processes| {
        let mut said = Vec::new();
        for (i, (id, count, leaves)) in processes.into_iter().enumerate() {
            let start = 1_000 * (i as u64 + 1);
            let seqs = (1..=count).map(Some);
            let seqs = seqs.chain(leaves.then_some(None));
            said.extend(seqs.map(|seq| Word { id, start, seq }));
        }
        let len = said.len();
        prop::collection::vec(0..len, 0..3 * len)
            .prop_map(move |order| order.into_iter().map(|i| said[i]).collect())
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn what_is_shown_never_grows_older_and_the_newest_wins(words in words()) {
        let mut succession = Succession::default();
        let mut shown = 0;
        let mut gone = BTreeMap::new();
        let mut newest: Option<Word> = None;
        for (i, word) in words.iter().enumerate() {
            let (now, id) = (at(i as u64), IDS[word.id]);
            match word.seq {
                Some(seq) => {
                    let heard = succession.on_announcement(now, said(id, Some(word.start), seq));
                    let over = gone.get(&word.id).is_some_and(|until| word.start <= *until);
                    prop_assert!(!(over && heard.is_accepted()), "a process that left is shown");
                    if !over && newest.is_none_or(|old| (old.start, old.seq) < (word.start, word.seq)) {
                        newest = Some(*word);
                    }
                }
                None => {
                    succession.leave(now, id, Some(StartTime(word.start)), WALL);
                    let until = gone.entry(word.id).or_insert(0);
                    *until = word.start.max(*until);
                }
            }
            if let Some(StartTime(start)) = succession.start() {
                prop_assert!(start >= shown, "{start} is shown after {shown}");
                shown = start;
            }
        }
        let last = newest.filter(|word| gone.get(&word.id).is_none_or(|until| word.start > *until));
        let expected = last.map(|word| (IDS[word.id], StartTime(word.start)));
        prop_assert_eq!(succession.id().zip(succession.start()), expected);
    }
}
