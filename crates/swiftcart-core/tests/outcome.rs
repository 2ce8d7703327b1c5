//! Tests of the names, statuses and outcomes of reasons.

use std::collections::BTreeSet;

use rstest::rstest;
use swiftcart_core::*;

#[rstest]
fn names_are_unique_and_equal_the_serialized_ones() {
    let names: BTreeSet<_> = Reason::ALL.iter().map(|r| r.as_str()).collect();
    assert_eq!(names.len(), Reason::ALL.len());
    for reason in Reason::ALL {
        let text = serde_json::to_string(reason).unwrap();
        assert_eq!(text, format!("{:?}", reason.as_str()));
    }
}

/// Guards against a reason that reports `not-run` to the caller of a request that may have run.
#[rstest]
fn reasons_after_a_handover_never_have_the_outcome_not_run() {
    let after_handover = [
        Reason::AnswerBroken,
        Reason::Crashed,
        Reason::ServerError,
        Reason::AnswerDropped,
        Reason::AnswerTooLarge,
        Reason::CallerGone,
        Reason::KeyInProgress,
        Reason::KeyUnknown,
        Reason::NotIdempotent,
        Reason::RetryBudget,
        Reason::Timeout,
        Reason::TriesSpent,
    ];
    let unknown = Reason::ALL
        .iter()
        .filter(|r| r.outcome() != Outcome::NotRun);
    let unknown: BTreeSet<_> = unknown.copied().collect();
    assert_eq!(unknown, after_handover.into());
}

#[rstest]
fn every_status_is_an_http_error() {
    assert!(Reason::ALL.iter().all(|r| (400..600).contains(&r.status())));
}
