//! Comparison of the responses that callers got with the executions that backend servers counted.

use swiftcart_standin::{BackendStats, Ledger, Report};

use super::figures::Figures;
use crate::Error;
use crate::fleet::Fleet;

/// Maximum number of requests to list for one violated guarantee.
const MAX_LISTED: usize = 8;

/// Returns the executions that all running backend servers recorded.
pub(crate) async fn ledger(fleet: &Fleet) -> Result<Ledger, Error> {
    let mut sum = Ledger::default();
    for instance in fleet.instances.iter().filter(|i| i.backend.is_some()) {
        let addr = instance.addrs.backend;
        let own: Ledger = fleet.client.json(addr, "/standin/executions").await?;
        sum.merge(&own);
    }
    Ok(sum)
}

/// Returns the counters of a backend server.
pub(crate) async fn stats(fleet: &Fleet, i: usize) -> Result<BackendStats, Error> {
    let addr = fleet.instances[i].addrs.backend;
    fleet.client.json(addr, "/standin/stats").await
}

/// Checks the guarantees that hold for every call under all failures.
pub(crate) fn check(figures: &mut Figures, reports: &[&Report], ledger: &Ledger) {
    let told = || reports.iter().flat_map(|report| &report.told);
    let count = |verdict: &str| told().filter(|t| t.verdict == verdict).count();
    let wrong = count("foreign") + count("corrupt");
    figures.guarantee(
        "a caller gets the complete response to its own request",
        format!(
            "{} complete, {wrong} foreign or corrupt, {} truncated",
            count("good"),
            count("broken")
        ),
        wrong == 0,
    );
    let claims = || told().filter(|t| t.outcome.as_deref() == Some("not-run") && t.retries == 0);
    let was_executed = |id: &str| ledger.callers.get(id).is_some_and(|runs| runs.started > 0);
    let false_ids: Vec<_> = claims()
        .filter(|t| was_executed(&t.id))
        .map(|t| &t.id)
        .collect();
    for id in false_ids.iter().take(MAX_LISTED) {
        println!("    reported as not-run, but executed: {id}");
    }
    let false_claims = false_ids.len();
    figures.guarantee(
        "a request reported as not-run was not executed",
        format!(
            "{} reported, {false_claims} of them executed",
            claims().count()
        ),
        false_claims == 0,
    );
    let missing = told().filter(|t| t.verdict == "good" && t.key.is_some());
    let missing = missing.filter(|t| {
        t.key
            .as_deref()
            .is_some_and(|k| ledger.by_key(k).finished == 0)
    });
    let missing = missing.count();
    figures.guarantee(
        "a confirmed request with a key was executed",
        format!("{missing} not executed"),
        missing == 0,
    );
}

/// Checks that no request without a key was executed twice.
pub(crate) fn check_once(figures: &mut Figures, report: &Report, ledger: &Ledger) {
    let runs = |id: &str| ledger.callers.get(id).map_or(0, |runs| runs.started);
    let most = report
        .told
        .iter()
        .map(|told| runs(&told.id))
        .max()
        .unwrap_or(0);
    figures.guarantee(
        "a request without a key is executed at most once",
        format!(
            "{} requests, maximum executions per request: {most}",
            report.told.len()
        ),
        most <= 1 && ledger.forgotten == 0,
    );
}

/// Checks that requests respect the rate limits and shutdown notices that backend servers send in
/// their responses.
pub(crate) async fn check_notices(figures: &mut Figures, fleet: &Fleet) -> Result<(), Error> {
    let (mut over_rate, mut late) = (0, 0);
    for i in 0..fleet.instances.len() {
        let stats = stats(fleet, i).await?;
        over_rate += stats.beyond_rate;
        late += stats.after_leaving;
    }
    figures.guarantee(
        "a backend server gets no requests above the rate that it announces",
        format!("{over_rate} requests above the rate"),
        over_rate == 0,
    );
    figures.guarantee(
        "a backend server that leaves gets no new requests",
        format!("{late} late requests"),
        late == 0,
    );
    Ok(())
}

/// Checks that no key was executed twice.
pub(crate) fn check_keys(figures: &mut Figures, ledger: &Ledger) {
    let most = ledger
        .keys
        .values()
        .map(|runs| runs.started)
        .max()
        .unwrap_or(0);
    figures.guarantee(
        "a request with a key is executed at most once",
        format!(
            "{} keys, maximum executions per key: {most}",
            ledger.keys.len()
        ),
        most <= 1 && ledger.forgotten == 0,
    );
}

/// Checks that every call of a load got a valid response.
pub(crate) fn check_all_good(figures: &mut Figures, guarantee: &str, report: &Report) {
    let lost = report.offered - report.good;
    figures.guarantee(
        guarantee,
        format!(
            "{lost} of {} calls without a valid response",
            report.offered
        ),
        lost == 0,
    );
}
