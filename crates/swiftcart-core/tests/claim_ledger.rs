//! Tests of the ledger's verdicts, one record at a time.

use std::time::Duration;

use Op::{Abandon, Answer, Claim, OtherKeys};
use rstest::rstest;
use swiftcart_core::*;

const KEY: ClaimKey = ClaimKey(7);

/// Content of a record.
#[derive(Debug, Clone, Copy)]
enum Op {
    Claim(u128),
    Abandon(u128),
    Answer(u128),
    /// Claims on this number of other keys.
    OtherKeys(u128),
}

fn entry(offset: u64, at_ms: u64, op: Op) -> Entry {
    let hash = RequestHash(1);
    let claim = |key, n| ClaimRecord {
        key,
        hash,
        attempt: AttemptId(n),
    };
    let mut batch = ClaimBatch::default();
    match op {
        Claim(n) => batch.claims.push(claim(KEY, n)),
        OtherKeys(n) => batch
            .claims
            .extend((0..n).map(|n| claim(ClaimKey(100 + n), n))),
        Abandon(n) => batch.abandoned.push(AbandonRecord {
            key: KEY,
            attempt: AttemptId(n),
        }),
        Answer(n) => {
            let (key, attempt, reply) = (KEY, AttemptId(n), Reply::Broken);
            batch.answers.push(AnswerRecord {
                key,
                hash,
                attempt,
                reply,
            });
        }
    }
    let body = batch.encode().expect("record fits the size limit");
    Entry {
        offset: Offset(offset),
        at_ms,
        body,
    }
}

/// Returns the verdict on each claim in `ops`, as of the time at which its record is read.
///
/// The ledger reads from the record `first` on, after the earlier records have been deleted.
fn verdicts(first: usize, ops: &[(u64, Op)]) -> Vec<(u128, Option<ClaimVerdict>)> {
    let ms = Duration::from_millis;
    let settings = ClaimSettings::new(ms(1200))
        .with_window(ms(1000), ms(100))
        .with_memory(16, 0);
    let mut ledger = ClaimLedger::new(&settings);
    let now = if first == 0 {
        0
    } else {
        ops[first - 1].0 + 1201
    };
    ledger.begin_read(Offset(first as u64), PlatformTime(now));
    let mut verdicts = Vec::new();
    for (n, (at, op)) in ops.iter().enumerate().skip(first) {
        ledger
            .apply(&entry(n as u64, *at, *op))
            .expect("record follows the current claim rule");
        if let Claim(n) = *op {
            verdicts.push((n, ledger.verdict(KEY, AttemptId(n))));
        }
    }
    verdicts
}

#[rstest]
#[case::lowest_offset_wins(&[(0, Claim(1)), (0, Claim(9))], ClaimVerdict::Lost)]
#[case::blocked_at_end_of_blocking_period(&[(0, Claim(1)), (1100, Claim(9))], ClaimVerdict::Lost)]
#[case::free_after_blocking_period(&[(0, Claim(1)), (1101, Claim(9))], ClaimVerdict::Won)]
#[case::losing_claim_blocks_key(
    &[(0, Claim(1)), (900, Claim(2)), (1150, Claim(9))],
    ClaimVerdict::Lost)]
#[case::answer_blocks_key(&[(0, Claim(1)), (900, Answer(1)), (1150, Claim(9))], ClaimVerdict::Lost)]
#[case::answer_of_losing_claim_is_ignored(
    &[(0, Claim(1)), (1, Claim(2)), (2, Answer(2)), (3, Abandon(2)), (4, Abandon(1)),
        (5, Claim(9))],
    ClaimVerdict::Won)]
#[case::abandoned_claim_frees_key(
    &[(0, Claim(1)), (1, Abandon(1)), (2, Claim(9))],
    ClaimVerdict::Won)]
#[case::abandon_record_of_other_attempt_is_ignored(
    &[(0, Claim(1)), (1, Abandon(2)), (2, Claim(9))],
    ClaimVerdict::Lost)]
#[case::repeat_of_abandoned_claim_is_ignored(
    &[(0, Claim(1)), (1, Abandon(1)), (2, Claim(1)), (3, Claim(9))], ClaimVerdict::Won)]
#[case::claim_after_its_abandon_record_is_ignored(
    &[(0, Abandon(1)), (1, Claim(1)), (2, Claim(9))],
    ClaimVerdict::Won)]
#[case::clock_step_back_does_not_extend_blocking(
    &[(5000, Claim(1)), (6101, OtherKeys(1)), (100, Claim(9))],
    ClaimVerdict::Won)]
#[case::undecided_after_event_dropped_by_full_ledger(
    &[(0, OtherKeys(16)), (1, Claim(1)), (1101, Claim(9))],
    ClaimVerdict::Undecided)]
#[case::decided_again_after_dropped_event_expired(
    &[(0, OtherKeys(16)), (1, Claim(1)), (1102, Claim(9))],
    ClaimVerdict::Won)]
fn last_claim_gets_expected_verdict(#[case] ops: &[(u64, Op)], #[case] expected: ClaimVerdict) {
    assert_eq!(verdicts(0, ops).last(), Some(&(9, Some(expected))));
}

#[rstest]
#[case::winning_claim_expired(
    &[(0, Claim(1)), (900, Claim(2)), (1150, Claim(3)), (2010, Claim(4)), (3200, Claim(5))],
    &[(3, Some(ClaimVerdict::Lost)), (4, Some(ClaimVerdict::Lost)), (5, Some(ClaimVerdict::Won))])]
#[case::winning_claim_abandoned(
    &[(0, Claim(1)), (900, Claim(2)), (1000, Abandon(1)), (2050, Claim(3)), (2100, Claim(4)),
        (3201, Claim(5))],
    &[(3, Some(ClaimVerdict::Won)), (4, Some(ClaimVerdict::Lost)), (5, Some(ClaimVerdict::Won))])]
fn reader_without_first_record_reaches_same_verdicts(
    #[case] ops: &[(u64, Op)],
    #[case] expected: &[(u128, Option<ClaimVerdict>)],
) {
    assert_eq!(verdicts(0, ops)[2..], *expected);
    let later_reader = verdicts(1, ops);
    assert_eq!(
        later_reader,
        [&[(2, Some(ClaimVerdict::Undecided))], expected].concat()
    );
}
