//! Tests of the claimant and its ledger, one event at a time.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use swiftcart_core::*;

const HOUR: Duration = Duration::from_secs(3600);

/// In-memory stream of the platform's log.
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

    fn read_into(&self, claimant: &mut Claimant, now: u64) {
        let from = claimant.ledger().next();
        claimant.apply_page(t(now), &self.page(from, now));
    }
}

fn claimant(log: &Log) -> Claimant {
    let settings = ClaimSettings {
        result_linger: Duration::ZERO,
        ..ClaimSettings::new(HOUR).with_rate(1000.0, Duration::ZERO)
    };
    let mut claimant = Claimant::new(settings, 1);
    log.read_into(&mut claimant, 0);
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

fn expect_ticket(decision: &Decision) -> ClaimTicket {
    match decision {
        Decision::Wait(ticket) => *ticket,
        other => panic!("expected Decision::Wait, got {other:?}"),
    }
}

/// Returns the body of the append that is due.
fn next_append(claimant: &mut Claimant, now: u64) -> String {
    match claimant.poll(t(now)).as_slice() {
        [ClaimAction::Append(body)] => body.clone(),
        other => panic!("expected exactly one append, got {other:?}"),
    }
}

/// Offers `claim`, appends it and reads the log.
fn offer_and_append(
    log: &mut Log,
    claimant: &mut Claimant,
    now: u64,
    c: Claim,
) -> (ClaimTicket, Vec<ClaimAction>) {
    let ticket = expect_ticket(&claimant.offer(t(now), c));
    let offset = log.append(now, &next_append(claimant, now));
    claimant.finish_append(t(now), AppendResult::Done(offset));
    log.read_into(claimant, now);
    (ticket, claimant.poll(t(now)))
}

fn rejection(body: &[u8]) -> Answer {
    let headers = vec![("etag".into(), "1".into())];
    Answer {
        status: 422,
        headers,
        body: body.to_vec(),
    }
}

#[rstest]
#[case::same_request_replays_stored_status(
    b"a",
    ExecutionResult::Whole(rejection(b"no")),
    Decision::Replay(Arc::new(rejection(b"no")))
)]
#[case::different_request_conflicts_before_replay(
    b"b",
    ExecutionResult::Whole(rejection(b"no")),
    Decision::Conflict
)]
#[case::oversized_answer_is_unknown(b"a", ExecutionResult::Whole(rejection(&[0; 70_000])),
    Decision::Unknown(Reason::AnswerTooLarge))]
#[case::broken_answer_is_unknown(
    b"a",
    ExecutionResult::Broken,
    Decision::Unknown(Reason::AnswerBroken)
)]
#[case::not_run_frees_the_key(b"b", ExecutionResult::NotRun, Decision::Wait(ClaimTicket(1)))]
fn later_attempt_gets_decision_after_earlier_result(
    #[case] body: &[u8],
    #[case] result: ExecutionResult,
    #[case] expected: Decision,
) {
    let mut log = Log::default();
    let (mut a, mut b) = (claimant(&log), claimant(&log));
    let (ticket, actions) = offer_and_append(&mut log, &mut a, 10, claim(1, b"a"));
    assert_eq!(actions, [ClaimAction::Run(ticket)]);
    let until = t(10_000);
    assert_eq!(a.try_start(ticket, t(20)), Ok(StartPermit { until }));
    assert!(
        a.try_start(ticket, t(20)).is_err(),
        "a second start must be refused"
    );
    log.read_into(&mut b, 20);
    let in_progress = Decision::InProgress {
        retry_after: Duration::from_secs(1),
    };
    assert_eq!(b.offer(t(20), claim(2, b"a")), in_progress);
    a.record_result(t(30), ticket, result);
    log.append(30, &next_append(&mut a, 30));
    log.read_into(&mut b, 30);
    assert_eq!(b.offer(t(40), claim(3, body)), expected);
}

#[rstest]
#[case::unknown_after_pending_timeout(31_000, Decision::Unknown(Reason::KeyUnknown))]
#[case::in_progress_before_pending_timeout(29_000,
    Decision::InProgress { retry_after: Duration::from_secs(1) })]
fn claim_without_answer_blocks_key(#[case] now: u64, #[case] expected: Decision) {
    let mut log = Log::default();
    let mut a = claimant(&log);
    offer_and_append(&mut log, &mut a, 0, claim(1, b"a"));
    let mut b = claimant(&log);
    log.read_into(&mut b, now);
    let deadline = t(now + 1000);
    let retry = Claim {
        deadline,
        ..claim(2, b"a")
    };
    assert_eq!(b.offer(t(now), retry), expected);
}

#[rstest]
#[case::unknown_append_queues_abandon_record(AppendResult::Unknown, 1)]
#[case::failed_append_queues_no_record(AppendResult::Failed { retry_after: None }, 0)]
fn expired_claim_never_runs_and_frees_its_key(
    #[case] result: AppendResult,
    #[case] expected: usize,
) {
    let mut log = Log::default();
    let mut a = claimant(&log);
    let ticket = expect_ticket(&a.offer(t(0), claim(1, b"a")));
    let delayed_append = next_append(&mut a, 0);
    a.finish_append(t(1), result);
    let mut actions = a.poll(t(10_000));
    let refusal = Refusal::new(Reason::PlatformDown).with_retry(Duration::from_secs(1));
    let settled = ClaimAction::Settle(ticket, Decision::Refuse(refusal));
    assert_eq!(actions.remove(0), settled);
    assert!(a.try_start(ticket, t(10_000)).is_err());
    assert_eq!(a.unwritten(), expected);
    if let [ClaimAction::Append(abandon_record)] = actions.as_slice() {
        // The claim reaches the log before and after the record that frees the key.
        log.append(10_000, &delayed_append);
        let offset = log.append(10_000, abandon_record);
        log.append(10_000, &delayed_append);
        a.finish_append(t(10_000), AppendResult::Done(offset));
    }
    log.read_into(&mut a, 10_000);
    assert_eq!(a.poll(t(10_000)), []);
    let deadline = t(20_000);
    let (retry, actions) = offer_and_append(
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
#[case::refused_at_end_of_start_window(1_620_000, Err(Reason::ClaimLapsed.into()))]
#[case::permitted_before_end_of_start_window(1_619_999, Ok(StartPermit { until: t(1_620_000) }))]
fn start_depends_on_claim_age(#[case] now: u64, #[case] expected: Result<StartPermit, Refusal>) {
    let mut log = Log::default();
    let mut a = claimant(&log);
    let deadline = t(9_000_000);
    let (ticket, _) = offer_and_append(
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
        "an abandon record must be queued to free the key"
    );
}

#[rstest]
#[case::partition_not_read(Claimant::new(ClaimSettings::new(HOUR), 1), &[], Reason::CatchingUp)]
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
        log.read_into(&mut claimant, 0);
    }
    match claimant.offer(t(10_000), claim(1, b"a")) {
        Decision::Refuse(refusal) => assert_eq!(refusal.reason, expected),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn claims_are_batched_with_one_append_in_flight_and_bounded_queue() {
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
    let batch = ClaimBatch::parse(&next_append(&mut a, 0)).map(|b| b.claims.len());
    assert_eq!(batch, Ok(256));
    assert_eq!(a.poll(t(1)), [], "only one append may be in flight");
    a.finish_append(t(1), AppendResult::Done(Offset(0)));
    assert!(next_append(&mut a, 1).len() <= MAX_RECORD_BYTES);
}
