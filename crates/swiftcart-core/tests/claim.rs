//! The claimant and its ledger, event by event.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use swiftcart_core::*;

const HOUR: Duration = Duration::from_secs(3600);

/// A platform stream that the test holds in its hands.
#[derive(Default)]
struct Log(Vec<Entry>);

impl Log {
    fn append(&mut self, at_ms: u64, body: &str) -> Offset {
        let offset = Offset(self.0.len() as u64);
        let body = body.to_owned();
        self.0.push(Entry {
            offset,
            at_ms,
            body,
        });
        offset
    }

    fn page(&self, from: Offset, now: u64) -> ClaimPage<'_> {
        let next = Offset(self.0.len() as u64);
        let entries = &self.0[from.0 as usize..];
        let (first, now) = (Offset(0), PlatformTime(now));
        ClaimPage {
            first,
            next,
            now,
            entries,
        }
    }

    fn follow(&self, claimant: &mut Claimant, now: u64) {
        let from = claimant.ledger().next();
        claimant.apply_page(t(now), &self.page(from, now));
    }
}

fn claimant(log: &Log) -> Claimant {
    let settings = ClaimSettings {
        linger_end: Duration::ZERO,
        ..ClaimSettings::new(HOUR).with_rate(1000.0, Duration::ZERO)
    };
    let mut claimant = Claimant::new(settings, 1);
    log.follow(&mut claimant, 0);
    claimant
}

fn claim(attempt: u128, body: &[u8]) -> Claim {
    Claim {
        key: ClaimKey(7),
        hash: RequestHash::new("POST", "/book", body),
        attempt: AttemptId(attempt),
        deadline: Instant::from_millis(10_000),
    }
}

fn t(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn wait(decision: &Decision) -> ClaimTicket {
    match decision {
        Decision::Wait(ticket) => *ticket,
        other => panic!("expected to wait, got {other:?}"),
    }
}

/// Polls for the append that is due.
fn sent(claimant: &mut Claimant, now: u64) -> String {
    match claimant.poll(t(now)).as_slice() {
        [ClaimAction::Append(body)] => body.clone(),
        other => panic!("expected one append, got {other:?}"),
    }
}

/// Offers `claim`, appends it and follows the log.
fn run(
    log: &mut Log,
    claimant: &mut Claimant,
    now: u64,
    c: Claim,
) -> (ClaimTicket, Vec<ClaimAction>) {
    let ticket = wait(&claimant.offer(t(now), c));
    let offset = log.append(now, &sent(claimant, now));
    claimant.finish_append(t(now), AppendResult::Done(offset));
    log.follow(claimant, now);
    (ticket, claimant.poll(t(now)))
}

fn answer(body: &[u8]) -> Answer {
    let headers = vec![("etag".into(), "1".into())];
    Answer {
        status: 422,
        headers,
        body: body.to_vec(),
    }
}

#[rstest]
#[case::same_request_is_replayed_with_its_status(
    b"a",
    ExecutionResult::Whole(answer(b"no")),
    Decision::Replay(Arc::new(answer(b"no")))
)]
#[case::other_request_conflicts_before_any_replay(
    b"b",
    ExecutionResult::Whole(answer(b"no")),
    Decision::Conflict
)]
#[case::large_answer_is_unknown(b"a", ExecutionResult::Whole(answer(&[0; 70_000])),
    Decision::Unknown(Reason::AnswerTooLarge))]
#[case::broken_answer_is_unknown(
    b"a",
    ExecutionResult::Broken,
    Decision::Unknown(Reason::AnswerBroken)
)]
#[case::not_run_frees_the_key(b"b", ExecutionResult::NotRun, Decision::Wait(ClaimTicket(1)))]
fn later_attempt_after_the_end(
    #[case] body: &[u8],
    #[case] finish: ExecutionResult,
    #[case] expected: Decision,
) {
    let mut log = Log::default();
    let (mut a, mut b) = (claimant(&log), claimant(&log));
    let (ticket, actions) = run(&mut log, &mut a, 10, claim(1, b"a"));
    assert_eq!(actions, [ClaimAction::Run(ticket)]);
    let until = t(10_000);
    assert_eq!(a.try_start(ticket, t(20)), Ok(StartPermit { until }));
    assert!(a.try_start(ticket, t(20)).is_err(), "handed over once");
    log.follow(&mut b, 20);
    let held = Decision::InProgress {
        retry_after: Duration::from_secs(1),
    };
    assert_eq!(b.offer(t(20), claim(2, b"a")), held);
    a.record_result(t(30), ticket, finish);
    log.append(30, &sent(&mut a, 30));
    log.follow(&mut b, 30);
    assert_eq!(b.offer(t(40), claim(3, body)), expected);
}

#[rstest]
#[case::holder_that_dies_is_unknown_after_patience(31_000, Decision::Unknown(Reason::KeyUnknown))]
#[case::holder_may_still_run(29_000,
    Decision::InProgress { retry_after: Duration::from_secs(1) })]
fn claim_without_an_answer(#[case] now: u64, #[case] expected: Decision) {
    let mut log = Log::default();
    let mut a = claimant(&log);
    run(&mut log, &mut a, 0, claim(1, b"a"));
    let mut b = claimant(&log);
    log.follow(&mut b, now);
    let deadline = t(now + 1000);
    let late = Claim {
        deadline,
        ..claim(2, b"a")
    };
    assert_eq!(b.offer(t(now), late), expected);
}

#[rstest]
#[case::fate_unknown_owes_a_record(AppendResult::Unknown, 1)]
#[case::surely_not_in_the_log_owes_nothing(AppendResult::Failed { retry_after: None }, 0)]
fn claim_given_up_never_runs_and_frees_its_key(#[case] result: AppendResult, #[case] owed: usize) {
    let mut log = Log::default();
    let mut a = claimant(&log);
    let ticket = wait(&a.offer(t(0), claim(1, b"a")));
    let late = sent(&mut a, 0);
    a.finish_append(t(1), result);
    let mut actions = a.poll(t(10_000));
    let down = Refusal::new(Reason::PlatformDown).with_retry(Duration::from_secs(1));
    let told = ClaimAction::Settle(ticket, Decision::Refuse(down));
    assert_eq!(actions.remove(0), told);
    assert!(a.try_start(ticket, t(10_000)).is_err());
    assert_eq!(a.unwritten(), owed);
    if let [ClaimAction::Append(freeing)] = actions.as_slice() {
        // The claim lands before and after the record that frees the key.
        log.append(10_000, &late);
        let offset = log.append(10_000, freeing);
        log.append(10_000, &late);
        a.finish_append(t(10_000), AppendResult::Done(offset));
    }
    log.follow(&mut a, 10_000);
    assert_eq!(a.poll(t(10_000)), []);
    let deadline = t(20_000);
    let (retry, actions) = run(
        &mut log,
        &mut a,
        10_000,
        Claim {
            deadline,
            ..claim(2, b"a")
        },
    );
    assert_eq!(actions, [ClaimAction::Run(retry)]);
}

#[rstest]
#[case::paused_past_the_window(1_620_000, Err(Reason::ClaimLapsed.into()))]
#[case::just_in_time(1_619_999, Ok(StartPermit { until: t(1_620_000) }))]
fn start_is_checked_against_the_age_of_the_claim(
    #[case] now: u64,
    #[case] expected: Result<StartPermit, Refusal>,
) {
    let mut log = Log::default();
    let mut a = claimant(&log);
    let deadline = t(9_000_000);
    let (ticket, _) = run(
        &mut log,
        &mut a,
        0,
        Claim {
            deadline,
            ..claim(1, b"a")
        },
    );
    assert_eq!(a.try_start(ticket, t(now)), expected);
    assert_eq!(
        a.unwritten(),
        usize::from(expected.is_err()),
        "the key is freed"
    );
}

#[rstest]
#[case::not_read_yet(Claimant::new(ClaimSettings::new(HOUR), 1), &[], Reason::CatchingUp)]
#[case::newer_rule(claimant(&Log::default()), &[r#"{"rule":2}"#], Reason::ClaimRule)]
#[case::malformed_records_are_skipped(claimant(&Log::default()), &["{}", "x"],
    Reason::DeadlinePassed)]
fn offer_is_refused(
    #[case] mut claimant: Claimant,
    #[case] records: &[&str],
    #[case] expected: Reason,
) {
    let mut log = Log::default();
    for body in records {
        log.append(0, body);
    }
    if !records.is_empty() {
        log.follow(&mut claimant, 0);
    }
    match claimant.offer(t(10_000), claim(1, b"a")) {
        Decision::Refuse(refusal) => assert_eq!(refusal.reason, expected),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn claims_share_appends_one_at_a_time_and_the_queue_is_bounded() {
    let mut a = claimant(&Log::default());
    let offers = (0..3000).map(|n| {
        let key = ClaimKey(n);
        a.offer(
            t(0),
            Claim {
                key,
                ..claim(n, b"a")
            },
        )
    });
    let waiting = offers.filter(|d| matches!(d, Decision::Wait(_))).count();
    assert_eq!(waiting, ClaimSettings::new(HOUR).queue / 3);
    let batch = ClaimBatch::parse(&sent(&mut a, 0)).map(|b| b.claims.len());
    assert_eq!(batch, Ok(256));
    assert_eq!(a.poll(t(1)), [], "one append in flight");
    a.finish_append(t(1), AppendResult::Done(Offset(0)));
    assert!(sent(&mut a, 1).len() <= RECORD_BYTES);
}
