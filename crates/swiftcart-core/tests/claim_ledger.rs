//! The ledger's verdicts, record by record.

use std::time::Duration;

use Op::{Abandon, Claim, Ended, Other};
use rstest::rstest;
use swiftcart_core::*;

const KEY: ClaimKey = ClaimKey(7);

/// What one record holds.
#[derive(Debug, Clone, Copy)]
enum Op {
    Claim(u128),
    Abandon(u128),
    Ended(u128),
    /// Claims of this many other keys.
    Other(u128),
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
        Other(n) => batch
            .claims
            .extend((0..n).map(|n| claim(ClaimKey(100 + n), n))),
        Abandon(n) => batch.abandoned.push(AbandonRecord {
            key: KEY,
            attempt: AttemptId(n),
        }),
        Ended(n) => {
            let (key, attempt, reply) = (KEY, AttemptId(n), Reply::Broken);
            batch.answers.push(AnswerRecord {
                key,
                hash,
                attempt,
                reply,
            });
        }
    }
    let body = batch.encode().expect("a small record");
    Entry {
        offset: Offset(offset),
        at_ms,
        body,
    }
}

/// Reads `ops` from the record `first` on, once the earlier ones have expired, and
/// returns what each claim was worth when it was read.
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
    ledger.begin(Offset(first as u64), PlatformTime(now));
    let mut verdicts = Vec::new();
    for (n, (at, op)) in ops.iter().enumerate().skip(first) {
        ledger
            .fold(&entry(n as u64, *at, *op))
            .expect("a record of this rule");
        if let Claim(n) = *op {
            verdicts.push((n, ledger.standing(KEY, AttemptId(n))));
        }
    }
    verdicts
}

#[rstest]
#[case::lowest_offset_wins(&[(0, Claim(1)), (0, Claim(9))], ClaimVerdict::Lost)]
#[case::blocked_at_the_end_of_the_window(&[(0, Claim(1)), (1100, Claim(9))], ClaimVerdict::Lost)]
#[case::free_after_the_window(&[(0, Claim(1)), (1101, Claim(9))], ClaimVerdict::Won)]
#[case::loser_blocks_too(&[(0, Claim(1)), (900, Claim(2)), (1150, Claim(9))], ClaimVerdict::Lost)]
#[case::answer_blocks_too(&[(0, Claim(1)), (900, Ended(1)), (1150, Claim(9))], ClaimVerdict::Lost)]
#[case::answer_of_a_loser_is_nothing(
    &[(0, Claim(1)), (1, Claim(2)), (2, Ended(2)), (3, Abandon(2)), (4, Abandon(1)), (5, Claim(9))],
    ClaimVerdict::Won)]
#[case::abandoned_claim_frees(&[(0, Claim(1)), (1, Abandon(1)), (2, Claim(9))], ClaimVerdict::Won)]
#[case::other_attempts_stay(&[(0, Claim(1)), (1, Abandon(2)), (2, Claim(9))], ClaimVerdict::Lost)]
#[case::late_repeat_of_an_abandoned_claim(
    &[(0, Claim(1)), (1, Abandon(1)), (2, Claim(1)), (3, Claim(9))], ClaimVerdict::Won)]
#[case::abandoned_before_it_lands(&[(0, Abandon(1)), (1, Claim(1)), (2, Claim(9))], ClaimVerdict::Won)]
#[case::clock_steps_back(&[(5000, Claim(1)), (6101, Other(1)), (100, Claim(9))], ClaimVerdict::Won)]
#[case::forgotten_for_want_of_room(&[(0, Other(16)), (1, Claim(1)), (1101, Claim(9))],
    ClaimVerdict::Undecided)]
#[case::room_again(&[(0, Other(16)), (1, Claim(1)), (1102, Claim(9))], ClaimVerdict::Won)]
fn standing(#[case] ops: &[(u64, Op)], #[case] expected: ClaimVerdict) {
    assert_eq!(verdicts(0, ops).last(), Some(&(9, Some(expected))));
}

#[rstest]
#[case::winner_expired(
    &[(0, Claim(1)), (900, Claim(2)), (1150, Claim(3)), (2010, Claim(4)), (3200, Claim(5))],
    &[(3, Some(ClaimVerdict::Lost)), (4, Some(ClaimVerdict::Lost)), (5, Some(ClaimVerdict::Won))])]
#[case::winner_abandoned(
    &[(0, Claim(1)), (900, Claim(2)), (1000, Abandon(1)), (2050, Claim(3)), (2100, Claim(4)),
        (3201, Claim(5))],
    &[(3, Some(ClaimVerdict::Won)), (4, Some(ClaimVerdict::Lost)), (5, Some(ClaimVerdict::Won))])]
fn reader_that_missed_the_first_record_agrees(
    #[case] ops: &[(u64, Op)],
    #[case] expected: &[(u128, Option<ClaimVerdict>)],
) {
    assert_eq!(verdicts(0, ops)[2..], *expected);
    let late = verdicts(1, ops);
    assert_eq!(
        late,
        [&[(2, Some(ClaimVerdict::Undecided))], expected].concat()
    );
}
