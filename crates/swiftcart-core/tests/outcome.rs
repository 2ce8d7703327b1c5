//! Each reason has one name, one status and one outcome.

use std::collections::BTreeSet;

use rstest::rstest;
use swiftcart_core::*;

#[rstest]
fn names_are_unique_and_the_serialised_ones() {
    let names: BTreeSet<_> = Reason::ALL.iter().map(|r| r.as_str()).collect();
    assert_eq!(names.len(), Reason::ALL.len());
    for reason in Reason::ALL {
        let text = serde_json::to_string(reason).unwrap();
        assert_eq!(text, format!("{:?}", reason.as_str()));
    }
}

/// A careless entry here would tell a caller "not run" of a request that ran.
#[rstest]
fn what_can_follow_a_hand_over_is_never_not_run() {
    let after = [
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
    assert_eq!(unknown, after.into());
}

#[rstest]
fn every_status_is_an_error() {
    assert!(Reason::ALL.iter().all(|r| (400..600).contains(&r.status())));
}
